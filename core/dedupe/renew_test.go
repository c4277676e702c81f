package dedupe

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against writes in flight that become unknown merely because the
// copies of their group changed while the dispatcher stayed.
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

	require.False(t, table.Renew(5), "an epoch is renewed once")
	require.False(t, NewTable(DefaultConfig()).Renew(9), "a copy holder has nothing to renew")
}
