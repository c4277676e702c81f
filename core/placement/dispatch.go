package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangogate/mangogate/core/shardmap"
)

// maxCopies is the number of VMs that hold write intents besides the dispatcher.
const maxCopies = 2

// Dispatchers returns the dispatcher and copies of a group whose targets are
// mainly in dataCentre. An available dispatcher stays, so the return of a VM
// never moves one. A lost one is replaced by the first available copy, because
// only a copy knows the write intents, and failing that by the VM that ranks
// highest by rendezvous hash, those in dataCentre first. Available copies stay;
// missing ones are chosen in data centres of their own where possible. Without
// an available VM the placement is returned as it is.
//
// Balance after a return comes back through RebalanceDispatchers.
func Dispatchers(group, dataCentre string, vms []VM, current Dispatch) Dispatch {
	pool := newVMPool(group, vms)
	if len(pool.ranked) == 0 {
		return Dispatch{Dispatcher: current.Dispatcher, Copies: slices.Clone(current.Copies)}
	}
	copies := pool.availableCopies(current)
	next := Dispatch{Dispatcher: current.Dispatcher}
	if _, ok := pool.byName[current.Dispatcher]; !ok {
		if len(copies) > 0 {
			next.Dispatcher, copies = copies[0], copies[1:]
		} else {
			next.Dispatcher = pool.preferred(dataCentre)
		}
	}
	next.Copies = copies
	pool.fillCopies(&next)
	return next
}

// vmPool is the available VMs in the rendezvous order of a group.
type vmPool struct {
	ranked []VM
	byName map[string]VM
}

func newVMPool(group string, vms []VM) *vmPool {
	pool := &vmPool{byName: map[string]VM{}}
	score := map[string]float64{}
	for _, vm := range vms {
		if _, twice := pool.byName[vm.Name]; vm.Available && !twice {
			pool.ranked = append(pool.ranked, vm)
			pool.byName[vm.Name] = vm
			score[vm.Name] = rendezvous(shardmap.Hash(group, "group"), shardmap.Hash(vm.Name))
		}
	}
	slices.SortFunc(pool.ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(score[b.Name], score[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return pool
}

func (pool *vmPool) availableCopies(d Dispatch) []string {
	var copies []string
	for _, name := range d.Copies {
		_, ok := pool.byName[name]
		if ok && name != d.Dispatcher && !slices.Contains(copies, name) && len(copies) < maxCopies {
			copies = append(copies, name)
		}
	}
	return copies
}

func (pool *vmPool) preferred(dataCentre string) string {
	for _, vm := range pool.ranked {
		if vm.DataCentre == dataCentre {
			return vm.Name
		}
	}
	return pool.ranked[0].Name
}

func (pool *vmPool) fillCopies(d *Dispatch) {
	for len(d.Copies) < maxCopies {
		name, _ := pool.nextCopy(*d)
		if name == "" {
			return
		}
		d.Copies = append(d.Copies, name)
	}
}

// nextCopy returns the best further copy and how many of the group's VMs share
// its data centre.
func (pool *vmPool) nextCopy(d Dispatch) (name string, shared int) {
	for _, vm := range pool.ranked {
		if vm.Name == d.Dispatcher || slices.Contains(d.Copies, vm.Name) {
			continue
		}
		if n := pool.sharing(vm.DataCentre, d); name == "" || n < shared {
			name, shared = vm.Name, n
		}
	}
	return name, shared
}

// sharing counts the VMs of a group in a data centre; the dispatcher counts
// more, because a copy has to survive the loss of its data centre.
func (pool *vmPool) sharing(dataCentre string, d Dispatch) int {
	n := 0
	if vm, ok := pool.byName[d.Dispatcher]; ok && vm.DataCentre == dataCentre {
		n += maxCopies + 1
	}
	for _, c := range d.Copies {
		if pool.byName[c].DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// Group is a group and its placement.
type Group struct {
	Name       string
	DataCentre string // where most of its targets are
	Dispatch   Dispatch
}

// RebalanceDispatchers returns the groups whose placement should change, at
// most maxMoves of them, to bring dispatchers back to their groups' data
// centres and to an even number per VM. It changes one VM of a group at a time:
// a group's dispatcher moves only to a VM that is a copy already, and the old
// dispatcher takes that copy's place. Where the wanted VM is no copy, it becomes
// one first, and a later call moves the dispatcher; the caller leaves enough time
// between calls for a new copy to become complete. Groups whose dispatcher or
// copies are unavailable are left to Dispatchers.
func RebalanceDispatchers(groups []Group, vms []VM, maxMoves int) []Group {
	groups = slices.Clone(groups)
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	b := newDispatchBalance(groups, vms)
	var changed []Group
	for _, g := range groups {
		if len(changed) >= maxMoves {
			break
		}
		pool := newVMPool(g.Name, vms)
		if _, ok := pool.byName[g.Dispatch.Dispatcher]; !ok || len(pool.availableCopies(g.Dispatch)) != len(g.Dispatch.Copies) {
			continue
		}
		if next, ok := b.improve(g, pool); ok {
			g.Dispatch = next
			changed = append(changed, g)
		}
	}
	return changed
}

type dispatchBalance struct {
	count map[string]int // dispatchers by VM
	bound int            // dispatchers that a VM has at an even spread
}

func newDispatchBalance(groups []Group, vms []VM) *dispatchBalance {
	b := &dispatchBalance{count: map[string]int{}}
	for _, g := range groups {
		b.count[g.Dispatch.Dispatcher]++
	}
	if n := len(newVMPool("", vms).ranked); n > 0 {
		b.bound = int(math.Ceil(float64(len(groups)) / float64(n)))
	}
	return b
}

func (b *dispatchBalance) improve(g Group, pool *vmPool) (Dispatch, bool) {
	d := g.Dispatch
	to := b.wanted(g, pool)
	if at := slices.Index(d.Copies, to); at >= 0 {
		next := Dispatch{Dispatcher: to, Copies: slices.Clone(d.Copies)}
		next.Copies[at] = d.Dispatcher
		b.count[d.Dispatcher]--
		b.count[to]++
		return next, true
	}
	if to != "" && len(d.Copies) > 0 {
		// The last copy gives way: the first one is the next dispatcher after a loss.
		b.count[d.Dispatcher]-- // so that one call does not prepare several groups for the same place
		b.count[to]++
		copies := append(slices.Clone(d.Copies[:len(d.Copies)-1]), to)
		return Dispatch{Dispatcher: d.Dispatcher, Copies: copies}, true
	}
	return pool.spreadCopies(d)
}

// wanted returns the VM that should dispatch a group instead of the present
// one, or "". Copies are preferred over other VMs.
func (b *dispatchBalance) wanted(g Group, pool *vmPool) string {
	from := pool.byName[g.Dispatch.Dispatcher]
	best, bestCost := "", 0
	for _, vm := range pool.ranked {
		if vm.Name == from.Name || !b.gains(g, from, vm) {
			continue
		}
		cost := 2 * b.count[vm.Name]
		if !slices.Contains(g.Dispatch.Copies, vm.Name) {
			cost++
		}
		if best == "" || cost < bestCost {
			best, bestCost = vm.Name, cost
		}
	}
	return best
}

// gains tells whether a group gains from another dispatcher: its own data
// centre while there is room, or a clearly less loaded VM that is not farther.
func (b *dispatchBalance) gains(g Group, from, to VM) bool {
	away, toAway := from.DataCentre != g.DataCentre, to.DataCentre != g.DataCentre
	switch {
	case away && !toAway:
		return b.count[to.Name] < b.bound
	case toAway && !away:
		return false
	default:
		return b.count[from.Name]-b.count[to.Name] >= 2
	}
}

// spreadCopies replaces one copy that shares a data centre with the rest of
// the group when a VM elsewhere is available.
func (pool *vmPool) spreadCopies(d Dispatch) (Dispatch, bool) {
	for i, c := range d.Copies {
		rest := Dispatch{Dispatcher: d.Dispatcher, Copies: slices.Delete(slices.Clone(d.Copies), i, i+1)}
		name, shared := pool.nextCopy(rest)
		if name != "" && shared < pool.sharing(pool.byName[c].DataCentre, rest) {
			rest.Copies = append(rest.Copies, name)
			return rest, true
		}
	}
	return d, false
}
