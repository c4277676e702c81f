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
	// loadWarmup is how long a new manager collects load reports before it
	// rebalances. Without reports every shard seems to have the same load, and a
	// server that intentionally owns more shards of low load would look overloaded.
	loadWarmup      = 15 * time.Second
	balanceInterval = 5 * time.Second
	// loadWindowSeconds is roughly how many seconds of requests a reported rate
	// averages over.
	loadWindowSeconds = 10.0
	// noiseSigmas is how many standard deviations of a server's load count as random
	// variation, which must not move shards.
	noiseSigmas = 3
	loadMaxAge  = 20 * time.Second // reported loads of this age are no longer used
	// maxDispatcherMovesPerRound bounds the groups whose dispatcher or copies change
	// in one round.
	maxDispatcherMovesPerRound = 2
	maxShardMoveFraction       = 0.05 // of a service's shards per round, but at least one shard
)

// Kinds of the event that is recorded when a group gets a new map entry.
const (
	eventGroupChanged    = "group.changed"    // the dispatcher or a copy was chosen or replaced, for example after the loss of a VM
	eventGroupRebalanced = "group.rebalanced" // the dispatcher or a copy moved only for a better spread over VMs and data centres
)

type shardLoad struct {
	perSecond float64       // rate of requests
	at        time.Duration // when the rate was reported
}

// recordLoads stores the rates that a VM reports for the shards that it
// dispatches. A VM also reports decaying rates for shards that it dispatched
// earlier; these are ignored, because another VM counts their requests now.
func (t *termState) recordLoads(now time.Duration, vm string, loads []mapstore.ShardLoad) {
	for _, l := range loads {
		key := control.ShardKey{Service: l.Service, Shard: l.Shard}
		if g := t.groups[l.Service+"/"+t.assigned[key].Owner]; g != nil && g.entry.Dispatcher == vm {
			t.loads[key] = shardLoad{float64(l.PerSecond), now}
		}
	}
}

// setLoads sets the Load of a service's shards, in requests per second, and
// returns the total. Shards without a report younger than loadMaxAge are taken
// to receive no requests and get minShardLoad.
func (t *termState) setLoads(now time.Duration, service string, shards []placement.Shard) (total float64) {
	for i := range shards {
		l, ok := t.loads[control.ShardKey{Service: service, Shard: i}]
		shards[i].Load = minShardLoad
		if ok && now-l.at < loadMaxAge {
			shards[i].Load = max(l.perSecond, minShardLoad)
		}
		total += shards[i].Load
	}
	return total
}

// minShardLoad is the load of a shard without requests, in requests per second;
// 0 would mean an unknown load.
const minShardLoad = 0.01

// rebalanceByLoad returns the placement after one rebalancing round. It returns
// shards unchanged when no round is due or no server is overloaded.
func (t *termState) rebalanceByLoad(now time.Duration, service string, servers []placement.Server, shards []placement.Shard) []placement.Shard {
	if now-t.started < loadWarmup || now-t.balancedAt[service] < balanceInterval {
		return shards
	}
	t.balancedAt[service] = now
	loaded := slices.Clone(shards)
	total := t.setLoads(now, service, loaded)
	if !isImbalanced(loaded, servers, total) {
		return shards
	}
	budget := max(1, int(maxShardMoveFraction*float64(len(shards))))
	return placement.RebalanceShards(service, servers, loaded, budget)
}

// balanceRound returns the number of the rebalancing round at an age of the
// term; it is 0 until loadWarmup has passed.
func balanceRound(age time.Duration) int64 {
	if age < loadWarmup {
		return 0
	}
	return int64(age / balanceInterval)
}

// isImbalanced reports whether an available server's load exceeds its share by
// more than placement.MaxImbalance and random variation explain.
func isImbalanced(shards []placement.Shard, servers []placement.Server, total float64) bool {
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
		noise := noiseSigmas * math.Sqrt(share*loadWindowSeconds) / loadWindowSeconds
		if s.Available && loads[s.Name] > share*placement.MaxImbalance+noise {
			return true
		}
	}
	return false
}

// balanceDispatchers moves dispatchers back to the data centres of their groups
// and evens out the number of dispatchers per VM. It skips the round if a change
// of dispatcher is in progress.
func (t *termState) balanceDispatchers(now time.Duration) {
	if now-t.started < loadWarmup || now-t.dispatchersBalancedAt < balanceInterval {
		return
	}
	t.dispatchersBalancedAt = now
	vms := t.vmList(now)
	var groups []placement.Group
	for name, g := range t.groups {
		if !g.entry.Active {
			return
		}
		groups = append(groups, placement.Group{Name: name, DataCentre: g.dataCentre, Dispatch: t.currentDispatch(name, g, vms)})
	}
	for _, next := range placement.RebalanceGroups(groups, vms, maxDispatcherMovesPerRound) {
		t.moveDispatcher(now, next, vms)
	}
}

// currentDispatch returns a group's present placement. A group that stores no
// write intents can move to any available VM, so all of these count as copies.
func (t *termState) currentDispatch(name string, g *groupState, vms []placement.VM) placement.DispatchPlacement {
	d := placement.DispatchPlacement{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
	if shardmap.StoresWriteIntents(name) {
		return d
	}
	for _, vm := range vms {
		if vm.Available && vm.Name != d.Dispatcher {
			d.Copies = append(slices.Clone(d.Copies), vm.Name)
		}
	}
	return d
}

func (t *termState) moveDispatcher(now time.Duration, next placement.Group, vms []placement.VM) {
	g := t.groups[next.Name]
	t.groupEvent = eventGroupRebalanced
	defer func() { t.groupEvent = eventGroupChanged }()
	switch {
	case !shardmap.StoresWriteIntents(next.Name):
		next.Dispatch.Copies = nil
		t.changeDispatcher(now, next.Name, g, next.Dispatch, vms)
	case next.Dispatch.Dispatcher == g.entry.Dispatcher:
		t.changeCopies(now, next.Name, g, next.Dispatch.Copies)
	default:
		if !t.isCompleteCopy(next.Name, g, next.Dispatch.Dispatcher) {
			return // retried in a later round, when the copy may be complete
		}
		// changeDispatcher promotes the first complete copy, so the wanted VM has to be
		// first in the list.
		g.entry.Copies = append([]string{next.Dispatch.Dispatcher},
			slices.DeleteFunc(slices.Clone(g.entry.Copies), func(vm string) bool { return vm == next.Dispatch.Dispatcher })...)
		t.changeDispatcher(now, next.Name, g, next.Dispatch, vms)
	}
}
