package dedupe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func complete() *Table {
	table := NewTable(DefaultConfig())
	table.SetComplete(true)
	return table
}

func begin(t *testing.T, table *Table, epoch uint64) Entry {
	decision, _ := table.Begin(0, "k", 1, epoch)
	require.Equal(t, Run, decision)
	entry, _ := table.Lookup("k")
	return entry
}

// Guards against a late withdrawal that removes the intent of a later attempt.
func TestWithdrawOfEarlierAttempt(t *testing.T) {
	dispatcher, holder := complete(), complete()
	first := begin(t, dispatcher, 1)
	dispatcher.Fail(0, "k", true)
	second := begin(t, dispatcher, 1)
	require.Equal(t, Run, holder.Copy(0, first))
	require.Equal(t, Run, holder.Copy(0, second))
	holder.Withdraw("k", first.Epoch, first.Attempt)
	require.Equal(t, 1, holder.Len())
	holder.Withdraw("k", second.Epoch, second.Attempt)
	require.Zero(t, holder.Len())
}

// Guards against counting a restarted VM, whose table is empty, as a copy.
func TestIncompleteCopyDoesNotAcknowledge(t *testing.T) {
	holder := NewTable(DefaultConfig())
	require.Equal(t, Incomplete, holder.Copy(0, begin(t, complete(), 1)))
	require.Equal(t, 1, holder.Len())
}

// Guards against an earlier dispatcher that sends after it learned of the next
// one, and against its copy being run again after a promotion.
func TestDispatcherChange(t *testing.T) {
	dispatcher, holder := complete(), complete()
	entry := begin(t, dispatcher, 1)
	require.Equal(t, Run, holder.Copy(0, entry))
	require.True(t, dispatcher.MaySend("k", entry.Attempt))
	dispatcher.Observe(2)
	require.False(t, dispatcher.MaySend("k", entry.Attempt))

	require.True(t, holder.Promote(time.Second, 2))
	require.Equal(t, OldEpoch, holder.Copy(0, entry))
	decision, _ := holder.Begin(time.Second, "k", 1, 2)
	require.Equal(t, Unknown, decision, "a wait would never end")
	require.True(t, dispatcher.Promote(time.Second, 3))
	require.False(t, dispatcher.MaySend("k", entry.Attempt), "its copies may have been promoted meanwhile")
	dispatcher.Complete(time.Second, "k", Answer{Status: 200})
	decision, answer := dispatcher.Begin(time.Second, "k", 1, 3)
	require.Equal(t, Replay, decision, "a late answer counts")
	require.Equal(t, 200, answer.Status)
}

// Guards against a repeat that waits for an intent which began elsewhere.
func TestImportAtDispatcher(t *testing.T) {
	holder, dispatcher := complete(), complete()
	begin(t, holder, 1)
	require.True(t, dispatcher.Promote(0, 2))
	require.NoError(t, dispatcher.Import(0, holder.Export()))
	decision, _ := dispatcher.Begin(0, "k", 1, 2)
	require.Equal(t, Unknown, decision)
}
