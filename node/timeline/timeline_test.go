package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an effect that is sorted before its cause because the wall clock
// of its VM is behind that of the VM of the cause.
func TestMergeKeepsCausalOrder(t *testing.T) {
	ahead, behind := New("ahead"), New("behind")
	ahead.Observe(Stamp{WallUS: time.Now().Add(time.Hour).UnixMicro()})
	ahead.Record(Event{Kind: "cause"})
	behind.Record(Event{Kind: "before"})
	behind.Observe(ahead.Now())
	behind.Record(Event{Kind: "effect"})
	var kinds []string
	for _, e := range Merge(ahead.Events(), behind.Events()) {
		kinds = append(kinds, e.Kind)
	}
	require.Equal(t, []string{"before", "cause", "effect"}, kinds)
}

// Guards against a recorder that grows without bound or drops the newest events
// when its buffer is full.
func TestRecorderKeepsTheNewest(t *testing.T) {
	r := New("vm")
	for range Capacity {
		r.Record(Event{Kind: "old"})
	}
	r.Record(Event{Kind: "new"})
	events := r.Events()
	require.Len(t, events, Capacity)
	require.Equal(t, "new", events[Capacity-1].Kind)
}
