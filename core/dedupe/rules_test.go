package dedupe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newCompleteTable() *Table {
	table := NewTable(DefaultConfig())
	table.SetComplete(true)
	return table
}

// beginWrite records the intent of a write with the key k and returns its entry.
func beginWrite(t *testing.T, table *Table, epoch uint64) Entry {
	decision, _ := table.Begin(0, "k", 1, epoch)
	require.Equal(t, Run, decision)
	entry, _ := table.Lookup("k")
	return entry
}

// Guards against a delayed withdrawal removing the intent of a later attempt
// with the same key. The copy holder, once promoted, would run the write again.
func TestWithdrawOfEarlierAttempt(t *testing.T) {
	dispatcher, holder := newCompleteTable(), newCompleteTable()
	first := beginWrite(t, dispatcher, 1)
	dispatcher.Fail(0, "k", true)
	second := beginWrite(t, dispatcher, 1)
	require.Equal(t, Run, holder.ApplyReplicated(0, first))
	require.Equal(t, Run, holder.ApplyReplicated(0, second))
	holder.Withdraw("k", first.Epoch, first.Attempt)
	require.Equal(t, 1, holder.Len())
	holder.Withdraw("k", second.Epoch, second.Attempt)
	require.Zero(t, holder.Len())
}

// Guards against counting the acknowledgement of a restarted VM. Its table lost the
// earlier entries, so the VM cannot tell which writes may have run.
func TestIncompleteCopyDoesNotAcknowledge(t *testing.T) {
	holder := NewTable(DefaultConfig())
	require.Equal(t, Incomplete, holder.ApplyReplicated(0, beginWrite(t, newCompleteTable(), 1)))
	require.Equal(t, 1, holder.Len())
}

// Guards against a dispatcher that sends a write after it learned of a newer
// dispatch epoch, and against a promoted copy holder running a write whose
// replicated intent the earlier dispatcher may already have sent.
func TestDispatcherChange(t *testing.T) {
	dispatcher, holder := newCompleteTable(), newCompleteTable()
	entry := beginWrite(t, dispatcher, 1)
	require.Equal(t, Run, holder.ApplyReplicated(0, entry))
	require.True(t, dispatcher.MaySend("k", entry.Attempt))
	dispatcher.Observe(2)
	require.False(t, dispatcher.MaySend("k", entry.Attempt))

	require.True(t, holder.Promote(time.Second, 2))
	require.Equal(t, StaleEpoch, holder.ApplyReplicated(0, entry))
	decision, _ := holder.Begin(time.Second, "k", 1, 2)
	require.Equal(t, Unknown, decision, "no answer reaches this VM, so a wait would never end")
	require.True(t, dispatcher.Promote(time.Second, 3))
	require.False(t, dispatcher.MaySend("k", entry.Attempt), "another dispatcher may have existed in epoch 2")
	dispatcher.Complete(time.Second, "k", Answer{Status: 200})
	decision, answer := dispatcher.Begin(time.Second, "k", 1, 3)
	require.Equal(t, Replay, decision, "an answer that arrives late is recorded")
	require.Equal(t, 200, answer.Status)
}

// Guards against a repeated request that waits forever at a new dispatcher. The
// imported intent began at another VM, so its answer does not arrive here.
func TestImportAtDispatcher(t *testing.T) {
	holder, dispatcher := newCompleteTable(), newCompleteTable()
	beginWrite(t, holder, 1)
	require.True(t, dispatcher.Promote(0, 2))
	require.NoError(t, dispatcher.Import(0, holder.Export()))
	decision, _ := dispatcher.Begin(0, "k", 1, 2)
	require.Equal(t, Unknown, decision)
}
