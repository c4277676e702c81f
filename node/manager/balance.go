package manager

import (
	"math"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
)

const (
	// loadsAfter is how long a new manager collects loads before it balances:
	// without them it would take an intended difference for an imbalance.
	loadsAfter = 15 * time.Second
	// balanceInterval is the time between two rounds of balancing.
	balanceInterval = 5 * time.Second
	// loadMemory is about how many seconds of requests a reported rate rests on.
	loadMemory = 10.0
	// noiseBound is the number of standard deviations that a server's load has
	// to exceed the mean by, so that chance alone moves nothing.
	noiseBound = 3
	// loadsStale is the age from which a shard's load counts as unknown.
	loadsStale = 20 * time.Second
	// movesPerRound bounds the dispatchers that change in one round.
	movesPerRound = 2
	// shardMovesShare bounds the shards that move in one round, as a share.
	shardMovesShare = 0.05
)

// The events of a new map entry of a group.
const (
	eventGroupChanged    = "group.changed"    // a VM was lost, is leaving or returned
	eventGroupRebalanced = "group.rebalanced" // only to even the VMs out
)

// shardLoad is a shard's rate as a dispatcher reported it.
type shardLoad struct {
	perSecond float64
	at        time.Duration
}

// noteLoads takes the rates of the shards that a VM dispatches. Rates of shards
// that it dispatched before fade there while another VM counts their requests.
func (t *tenure) noteLoads(now time.Duration, vm string, loads []mapstore.ShardLoad) {
	for _, l := range loads {
		key := control.ShardKey{Service: l.Service, Shard: l.Shard}
		if g := t.groups[l.Service+"/"+t.assigned[key].Owner]; g != nil && g.entry.Dispatcher == vm {
			t.loads[key] = shardLoad{float64(l.PerSecond), now}
		}
	}
}

// withLoads sets the loads of a service's shards. Shards without a fresh report
// get a small load: nobody asks for them.
func (t *tenure) withLoads(now time.Duration, service string, shards []placement.Shard) (total float64) {
	for i := range shards {
		l, ok := t.loads[control.ShardKey{Service: service, Shard: i}]
		shards[i].Load = minShardLoad
		if ok && now-l.at < loadsStale {
			shards[i].Load = max(l.perSecond, minShardLoad)
		}
		total += shards[i].Load
	}
	return total
}

// minShardLoad stands for a shard without requests; 0 would mean unknown.
const minShardLoad = 0.01

// balanced returns the placement after a round of balancing by load, or the
// same placement when it is even enough.
func (t *tenure) balanced(now time.Duration, service string, servers []placement.Server, shards []placement.Shard) []placement.Shard {
	if now-t.started < loadsAfter || now-t.balancedAt[service] < balanceInterval {
		return shards
	}
	t.balancedAt[service] = now
	loaded := slices.Clone(shards)
	total := t.withLoads(now, service, loaded)
	if !uneven(loaded, servers, total) {
		return shards
	}
	budget := max(1, int(shardMovesShare*float64(len(shards))))
	return placement.Rebalance(service, servers, loaded, budget)
}

// balanceRound numbers the rounds of balancing in a term; 0 before the first.
func balanceRound(age time.Duration) int64 {
	if age < loadsAfter {
		return 0
	}
	return int64(age / balanceInterval)
}

// uneven tells whether a server's load is above its share by more than chance.
func uneven(shards []placement.Shard, servers []placement.Server, total float64) bool {
	loads := map[string]float64{}
	for _, s := range shards {
		loads[s.Owner] += s.Load
	}
	weights := 0.0
	for _, s := range servers {
		if s.Available {
			weights += s.Weight
		}
	}
	for _, s := range servers {
		share := total * s.Weight / weights
		noise := noiseBound * math.Sqrt(share*loadMemory) / loadMemory
		if s.Available && loads[s.Name] > share*placement.MaxImbalance+noise {
			return true
		}
	}
	return false
}

// balanceDispatchers brings dispatchers back to their data centres and to an
// even number a VM, a few at a time and only while no change is under way.
func (t *tenure) balanceDispatchers(now time.Duration) {
	if now-t.started < loadsAfter || now-t.dispatchersAt < balanceInterval {
		return
	}
	t.dispatchersAt = now
	vms := t.vmList(now)
	var groups []placement.Group
	for name, g := range t.groups {
		if !g.entry.Active {
			return
		}
		groups = append(groups, placement.Group{Name: name, DataCentre: g.dataCentre, Dispatch: t.dispatchOf(name, g, vms)})
	}
	for _, next := range placement.RebalanceDispatchers(groups, vms, movesPerRound) {
		t.moveDispatcher(now, next, vms)
	}
}

// dispatchOf returns a group's placement. A group without write intents can
// move to any VM, as if all held a copy.
func (t *tenure) dispatchOf(name string, g *groupState, vms []placement.VM) placement.Dispatch {
	d := placement.Dispatch{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
	if shardmap.IsLedger(name) {
		return d
	}
	for _, vm := range vms {
		if vm.Available && vm.Name != d.Dispatcher {
			d.Copies = append(slices.Clone(d.Copies), vm.Name)
		}
	}
	return d
}

func (t *tenure) moveDispatcher(now time.Duration, next placement.Group, vms []placement.VM) {
	g := t.groups[next.Name]
	t.groupEvent = eventGroupRebalanced
	defer func() { t.groupEvent = eventGroupChanged }()
	switch {
	case !shardmap.IsLedger(next.Name):
		next.Dispatch.Copies = nil
		t.changeDispatcher(now, next.Name, g, next.Dispatch, vms)
	case next.Dispatch.Dispatcher == g.entry.Dispatcher:
		t.changeCopies(now, next.Name, g, next.Dispatch.Copies)
	default:
		if !t.isCompleteCopy(next.Name, g, next.Dispatch.Dispatcher) {
			return // a later round moves it
		}
		// The wanted VM goes first, because the first complete copy takes over.
		g.entry.Copies = append([]string{next.Dispatch.Dispatcher},
			slices.DeleteFunc(slices.Clone(g.entry.Copies), func(vm string) bool { return vm == next.Dispatch.Dispatcher })...)
		t.changeDispatcher(now, next.Name, g, next.Dispatch, vms)
	}
}
