package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the refusal of a read that many callers send and that caused no
// crash. It was in flight at two crashes but ran alone to its end in between, which
// only the VM that dispatched it knows. Another VM that hears of both crashes must
// not refuse it.
func TestClearedRequestIsNotRefusedByOtherVMs(t *testing.T) {
	dispatcher, other := New(DefaultConfig()), New(DefaultConfig())
	dispatcher.Crashed(0, "t1", "1", []Fingerprint{7})
	other.MergeSuspects(0, dispatcher.Suspects(0))
	dispatcher.CompletedAlone(time.Second, 7)

	dispatcher.Crashed(5*time.Second, "t2", "1", []Fingerprint{7})
	other.MergeSuspects(5*time.Second, dispatcher.Suspects(5*time.Second))
	require.Equal(t, RunAlone, dispatcher.Check(5*time.Second, 7))
	require.Equal(t, RunAlone, other.Check(5*time.Second, 7))
	require.Empty(t, other.Refusals(5*time.Second), "other VMs, including the dispatcher, would adopt the refusal")
}
