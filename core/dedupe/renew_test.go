package dedupe

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against in-flight writes turning unknown when only the copy holders of
// their group change. Such a change raises the epoch, but the dispatcher stays
// the same and still waits for the answers.
func TestRenewKeepsTheIntentsOfTheSameDispatcher(t *testing.T) {
	table := NewTable(DefaultConfig())
	table.SetComplete(true)
	require.True(t, table.Promote(0, 3))
	decision, _ := table.Begin(0, "k", 1, 3)
	require.Equal(t, Run, decision)

	require.True(t, table.Renew(5))
	decision, _ = table.Begin(0, "k", 1, 5)
	require.Equal(t, Wait, decision)
	table.Fail(0, "k", true)
	require.Zero(t, table.Len())

	require.False(t, table.Renew(5), "renewing to the current epoch has no effect")
	require.False(t, NewTable(DefaultConfig()).Renew(9), "a VM that does not dispatch cannot renew")
}
