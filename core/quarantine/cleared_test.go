package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusing a read that many callers send: it ran alone between
// two crashes at its dispatcher, but another VM does not know that.
func TestClearedRequestIsNotRefusedByOtherVMs(t *testing.T) {
	dispatcher, other := New(DefaultConfig()), New(DefaultConfig())
	dispatcher.Crashed(0, "t1", "1", []Fingerprint{7})
	other.MergeSuspects(0, dispatcher.Suspects(0))
	dispatcher.CompletedAlone(time.Second, 7)

	dispatcher.Crashed(5*time.Second, "t2", "1", []Fingerprint{7})
	other.MergeSuspects(5*time.Second, dispatcher.Suspects(5*time.Second))
	require.Equal(t, Alone, dispatcher.Check(5*time.Second, 7))
	require.Equal(t, Alone, other.Check(5*time.Second, 7))
	require.Empty(t, other.Refusals(5*time.Second), "a refusal would spread to the dispatcher")
}
