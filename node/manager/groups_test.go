package manager

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against write intents that are treated as lost in a rolling restart:
// the old manager named a new dispatcher and stopped before the dispatcher
// became active, and this dispatcher is about to stop as well. The next manager
// has to accept a copy that was complete before that change.
func TestCopyIsKnownToBeCompleteAfterAChangeOfManager(t *testing.T) {
	const group = "slow"
	m := &Manager{events: timeline.New("vm-6"), clock: clock.New()}
	m.metrics.maps = metrics.NewCounter()
	first := &termState{
		m: m, term: 6, vms: map[string]*vmState{}, docVersion: 1, opened: true, sequence: 4, groupEvent: eventGroupChanged,
		groups: map[string]*groupState{},
	}
	g := &groupState{}
	first.groups[group] = g
	first.setEntry(0, group, g, shardmap.Group{Dispatcher: "vm-6", Active: true, Copies: []string{"vm-7", "vm-2"}})
	complete := g.entry.Epoch
	want := placement.DispatchPlacement{Dispatcher: "vm-7", Copies: []string{"vm-2", "vm-0"}}
	first.vms["vm-7"] = &vmState{replied: true, report: mapstore.Report{Groups: []mapstore.GroupReport{{Group: group, Epoch: complete, Complete: true}}}}
	first.changeDispatcher(time.Second, group, g, want, []placement.VM{{Name: "vm-7", Available: true}})
	require.Equal(t, "vm-7", g.entry.Dispatcher)
	require.False(t, g.entry.Active)
	first.sequence, first.dirty = 5, true
	baseMap := first.newMap()

	next := &termState{m: m, term: 8, baseMap: baseMap, groups: map[string]*groupState{}, vms: map[string]*vmState{
		"vm-2": {replied: true, report: mapstore.Report{Groups: []mapstore.GroupReport{{Group: group, Epoch: complete, Complete: true}}}},
	}}
	next.adoptGroups()
	name, ok := next.completeCopy(group, next.groups[group], []placement.VM{{Name: "vm-2", Available: true}})
	require.True(t, ok, "vm-2 has all write intents")
	require.Equal(t, "vm-2", name)
}
