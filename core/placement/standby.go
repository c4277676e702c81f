package placement

import (
	"math"
	"slices"
)

// maxStandbys is the number of standbys of a shard.
const maxStandbys = 2

// spread holds what placing standbys needs to know of the others.
type spread struct {
	*plan
	first  [][]int32    // [owner][server] shards whose first standby is the server
	second [][]int32    // the same for the second standby
	centre []int        // data centre by server, as the index of its first server
	total  []int32      // standbys by server
	owned  []int        // shards by owner
	others []int        // by owner: available servers in other data centres
	weight []float64    // by owner: weight of the servers that may be standbys
	chosen [][2]int     // by shard
	counts [2][][]int32 // first and second, by slot
}

// placeStandbys keeps the standbys that are still valid and chooses the others
// so that the shards of one owner are spread evenly over the other servers.
func (p *plan) placeStandbys() {
	sp := newSpread(p)
	for s := range p.shards {
		sp.keep(s)
	}
	for s := range p.shards {
		for slot := range maxStandbys {
			if sp.chosen[s][slot] == none {
				sp.choose(s, slot)
			}
		}
		sp.store(s)
	}
}

func newSpread(p *plan) *spread {
	n := len(p.servers)
	sp := &spread{plan: p, total: make([]int32, n), owned: make([]int, n), others: make([]int, n), weight: make([]float64, n)}
	sp.first, sp.second = matrix(n), matrix(n)
	sp.counts = [2][][]int32{sp.first, sp.second}
	sp.chosen = make([][2]int, len(p.shards))
	sp.centre = make([]int, n)
	for i, s := range p.servers {
		sp.centre[i] = slices.IndexFunc(p.servers, func(x Server) bool { return x.DataCentre == s.DataCentre })
	}
	for _, o := range p.owner {
		sp.owned[o]++
	}
	for _, o := range p.available {
		sp.setEligible(o)
	}
	return sp
}

func matrix(n int) [][]int32 {
	cells := make([]int32, n*n)
	rows := make([][]int32, n)
	for i := range rows {
		rows[i] = cells[i*n : (i+1)*n]
	}
	return rows
}

func (sp *spread) setEligible(owner int) {
	same, other := 0.0, 0.0
	for _, i := range sp.available {
		switch {
		case sp.apart(owner, i):
			other += sp.servers[i].Weight
			sp.others[owner]++
		case i != owner:
			same += sp.servers[i].Weight
		}
	}
	sp.weight[owner] = other
	if other == 0 {
		sp.weight[owner] = same
	}
}

// apart tells whether two servers are in different data centres.
func (sp *spread) apart(a, b int) bool {
	return sp.centre[a] != sp.centre[b]
}

// firstLimit is the number of shards of an owner that may share a first
// standby: the even share, and one more so that small changes move no standby.
func (sp *spread) firstLimit(owner, i int) int32 {
	even := float64(sp.owned[owner]) * sp.servers[i].Weight / sp.weight[owner]
	return int32(math.Ceil(even-epsilon)) + 1
}

// keep takes over the standbys that are still valid. A first standby that has
// more than its limit of the owner's shards is exchanged with the second one
// or given up.
func (sp *spread) keep(shard int) {
	owner := sp.owner[shard]
	kept, n := sp.validStandbys(shard)
	if n > 0 && sp.first[owner][kept[0]] >= sp.firstLimit(owner, kept[0]) {
		switch {
		case n == 1:
			kept = [2]int{none, kept[0]}
		case sp.first[owner][kept[1]] < sp.firstLimit(owner, kept[1]):
			kept[0], kept[1] = kept[1], kept[0]
		default:
			kept[0] = none
		}
	}
	sp.chosen[shard] = kept
	for slot, i := range kept {
		sp.count(owner, slot, i)
	}
}

// validStandbys returns the available standbys. Those in the owner's data
// centre count only as far as there are too few servers elsewhere.
func (sp *spread) validStandbys(shard int) (kept [2]int, n int) {
	owner, near := sp.owner[shard], none
	kept = [2]int{none, none}
	for _, name := range sp.shards[shard].Standbys {
		switch i := sp.lookup(name); {
		case i == none || i == owner || i == kept[0] || n == maxStandbys:
		case sp.apart(owner, i), sp.others[owner] == 0:
			kept[n] = i
			n++
		case near == none:
			near = i
		}
	}
	if near != none && n == 1 && sp.others[owner] == 1 {
		kept[n] = near
		n++
	}
	return kept, n
}

func (sp *spread) count(owner, slot, i int) {
	if i != none {
		sp.counts[slot][owner][i]++
		sp.total[i]++
	}
}

// choose fills one standby slot: another data centre than the owner's if
// possible, for the second standby one of its own, then the server with the fewest shards of this owner, then the one with the
// fewest standbys, each relative to its weight, then the rendezvous order.
func (sp *spread) choose(shard, slot int) {
	owner, other := sp.owner[shard], sp.chosen[shard][1-slot]
	counts := sp.counts[slot][owner]
	best, bestShared, bestCount, bestTotal := none, 0, 0.0, 0.0
	for _, i := range sp.available {
		if i == other || i == owner {
			continue
		}
		// Most servers drop out at the first comparison, so each rank is worked
		// out only when those before it are equal.
		shared, w := sp.shared(owner, other, slot, i), sp.servers[i].Weight
		if best != none && shared > bestShared {
			continue
		}
		count := float64(counts[i]+1) / w
		if best != none && shared == bestShared && count > bestCount {
			continue
		}
		total := float64(sp.total[i]+1) / w
		if best != none && shared == bestShared && count == bestCount &&
			(total > bestTotal || total == bestTotal && sp.score(shard, i) <= sp.score(shard, best)) {
			continue
		}
		best, bestShared, bestCount, bestTotal = i, shared, count, total
	}
	sp.chosen[shard][slot] = best
	sp.count(owner, slot, best)
}

// shared ranks the data centre of a possible standby, best first. Only the
// second standby avoids the other's data centre: an even spread of first
// standbys matters more, because they take the load of a lost owner.
func (sp *spread) shared(owner, other, slot, i int) int {
	switch {
	case !sp.apart(owner, i):
		return 2
	case slot == 1 && other != none && !sp.apart(other, i):
		return 1
	default:
		return 0
	}
}

func (sp *spread) store(shard int) {
	standbys := sp.shards[shard].Standbys[:0]
	for _, i := range sp.chosen[shard] {
		if i != none {
			standbys = append(standbys, sp.servers[i].Name)
		}
	}
	sp.shards[shard].Standbys = standbys
}
