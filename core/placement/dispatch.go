package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangogate/mangogate/core/shardmap"
)

// maxCopies is the number of VMs that hold write intents besides the dispatcher.
const maxCopies = 2

// PlaceGroup returns the dispatcher and copies of a group whose targets are
// mainly in dataCentre. An available dispatcher stays, so the return of a VM never
// moves a dispatcher; RebalanceGroups evens out their number per VM. An
// unavailable dispatcher is replaced by the first available copy, because only
// copies hold the write intents, or else by the VM that ranks highest by rendezvous
// hash, with VMs in dataCentre first. Available copies stay; missing copies are
// placed in data centres without another VM of the group where possible. Without
// an available VM the placement is returned unchanged.
func PlaceGroup(group, dataCentre string, vms []VM, current DispatchPlacement) DispatchPlacement {
	pool := newVMPool(group, vms)
	if len(pool.ranked) == 0 {
		return DispatchPlacement{Dispatcher: current.Dispatcher, Copies: slices.Clone(current.Copies)}
	}
	copies := pool.availableCopies(current)
	next := DispatchPlacement{Dispatcher: current.Dispatcher}
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

// vmPool holds the available VMs, ranked by the rendezvous hash of a group.
type vmPool struct {
	ranked []VM
	byName map[string]VM
}

func newVMPool(group string, vms []VM) *vmPool {
	pool := &vmPool{byName: map[string]VM{}}
	score := map[string]float64{}
	for _, vm := range vms {
		if _, duplicate := pool.byName[vm.Name]; vm.Available && !duplicate {
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

// availableCopies returns the available copies, without duplicates and without
// the dispatcher, up to maxCopies.
func (pool *vmPool) availableCopies(d DispatchPlacement) []string {
	var copies []string
	for _, name := range d.Copies {
		_, ok := pool.byName[name]
		if ok && name != d.Dispatcher && !slices.Contains(copies, name) && len(copies) < maxCopies {
			copies = append(copies, name)
		}
	}
	return copies
}

// preferred returns the highest-ranked VM in dataCentre or, if there is none,
// the highest-ranked VM.
func (pool *vmPool) preferred(dataCentre string) string {
	for _, vm := range pool.ranked {
		if vm.DataCentre == dataCentre {
			return vm.Name
		}
	}
	return pool.ranked[0].Name
}

// fillCopies adds copies until there are maxCopies or no VM is left.
func (pool *vmPool) fillCopies(d *DispatchPlacement) {
	for len(d.Copies) < maxCopies {
		name, _ := pool.nextCopy(*d)
		if name == "" {
			return
		}
		d.Copies = append(d.Copies, name)
	}
}

// nextCopy returns the VM with the least overlap for a further copy, and that
// overlap. The name is empty if no VM is left.
func (pool *vmPool) nextCopy(d DispatchPlacement) (name string, overlap int) {
	for _, vm := range pool.ranked {
		if vm.Name == d.Dispatcher || slices.Contains(d.Copies, vm.Name) {
			continue
		}
		if n := pool.overlap(vm.DataCentre, d); name == "" || n < overlap {
			name, overlap = vm.Name, n
		}
	}
	return name, overlap
}

// overlap returns the weighted number of a group's VMs in a data centre. The
// dispatcher counts more than all copies together, because a copy has to survive
// the loss of the dispatcher's data centre.
func (pool *vmPool) overlap(dataCentre string, d DispatchPlacement) int {
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

// Group is a dispatch group and its placement.
type Group struct {
	Name       string
	DataCentre string // where most of its targets are
	Dispatch   DispatchPlacement
}

// RebalanceGroups returns at most maxMoves groups with a changed placement. It
// brings dispatchers back to their groups' data centres and to an even number per
// VM, and then the copies of a group to different data centres. A dispatcher moves
// only to a VM that is a copy already, and the old dispatcher becomes a copy in its
// place. If the VM that should dispatch is not a copy, this call makes it one and a
// later call moves the dispatcher; the caller must leave enough time between calls
// for a new copy to become complete. Groups with an unavailable dispatcher or copy
// are skipped, because PlaceGroup replaces these.
func RebalanceGroups(groups []Group, vms []VM, maxMoves int) []Group {
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

// dispatchBalance counts dispatchers while RebalanceGroups plans moves.
type dispatchBalance struct {
	count map[string]int // number of groups that each VM dispatches, by VM name
	bound int            // most dispatchers per VM when they are spread evenly
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

// improve returns the placement of a group after its next change, and false if
// there is nothing to improve.
func (b *dispatchBalance) improve(g Group, pool *vmPool) (DispatchPlacement, bool) {
	d := g.Dispatch
	to := b.betterDispatcher(g, pool)
	if at := slices.Index(d.Copies, to); at >= 0 {
		next := DispatchPlacement{Dispatcher: to, Copies: slices.Clone(d.Copies)}
		next.Copies[at] = d.Dispatcher
		b.count[d.Dispatcher]--
		b.count[to]++
		return next, true
	}
	if to != "" && len(d.Copies) > 0 {
		// The last copy is replaced, because the first copy becomes dispatcher
		// when the dispatcher is lost. The move is counted already, so that one
		// call does not prepare too many groups for a move to the same VM.
		b.count[d.Dispatcher]--
		b.count[to]++
		copies := append(slices.Clone(d.Copies[:len(d.Copies)-1]), to)
		return DispatchPlacement{Dispatcher: d.Dispatcher, Copies: copies}, true
	}
	return pool.spreadCopies(d)
}

// betterDispatcher returns the VM that should dispatch a group instead of the
// current dispatcher, or "" if the current one should stay. It chooses the VM
// with the fewest dispatchers, and prefers copies among equals.
func (b *dispatchBalance) betterDispatcher(g Group, pool *vmPool) string {
	from := pool.byName[g.Dispatch.Dispatcher]
	best, bestCost := "", 0
	for _, vm := range pool.ranked {
		if vm.Name == from.Name || !b.isBetter(g, from, vm) {
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

// isBetter reports whether a group's dispatcher should move from one VM to another.
// A move into the group's data centre needs a VM below the bound, a move out of it
// is never better, and any other move needs a VM with at least two dispatchers fewer.
func (b *dispatchBalance) isBetter(g Group, from, to VM) bool {
	fromOutside, toOutside := from.DataCentre != g.DataCentre, to.DataCentre != g.DataCentre
	switch {
	case fromOutside && !toOutside:
		return b.count[to.Name] < b.bound
	case toOutside && !fromOutside:
		return false
	default:
		return b.count[from.Name]-b.count[to.Name] >= 2
	}
}

// spreadCopies replaces the first copy for which a VM in a data centre with less
// overlap is available. It returns false if there is none.
func (pool *vmPool) spreadCopies(d DispatchPlacement) (DispatchPlacement, bool) {
	for i, c := range d.Copies {
		rest := DispatchPlacement{Dispatcher: d.Dispatcher, Copies: slices.Delete(slices.Clone(d.Copies), i, i+1)}
		name, overlap := pool.nextCopy(rest)
		if name != "" && overlap < pool.overlap(pool.byName[c].DataCentre, rest) {
			rest.Copies = append(rest.Copies, name)
			return rest, true
		}
	}
	return d, false
}
