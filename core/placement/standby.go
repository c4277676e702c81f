package placement

import (
	"math"
	"slices"
)

// maxStandbys is the number of standbys of a shard.
const maxStandbys = 2

// standbyPlan counts the standbys that are placed already, by owner and by server.
type standbyPlan struct {
	*plan
	first          [][]int32    // [owner][server]: number of shards whose first standby is the server
	second         [][]int32    // [owner][server]: number of shards whose second standby is the server
	centre         []int        // data centre by server, as the index of the first server in it
	total          []int32      // by server: number of shards that it is a standby of
	owned          []int        // by server: number of shards that it owns
	otherCentres   []int        // by owner: number of available servers in other data centres
	eligibleWeight []float64    // by owner: total weight of the servers that may be first standbys
	chosen         [][2]int     // by shard: servers of the first and second standby, or none
	counts         [2][][]int32 // first and second, by standby slot
}

// placeStandbys keeps the standbys that are still valid, and chooses the missing
// ones so that the standbys of one owner's shards are spread evenly. Every shard
// must have an available owner.
func (p *plan) placeStandbys() {
	sp := newStandbyPlan(p)
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

func newStandbyPlan(p *plan) *standbyPlan {
	n := len(p.servers)
	sp := &standbyPlan{plan: p, total: make([]int32, n), owned: make([]int, n), otherCentres: make([]int, n), eligibleWeight: make([]float64, n)}
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

// matrix returns an n by n matrix of zeros.
func matrix(n int) [][]int32 {
	cells := make([]int32, n*n)
	rows := make([][]int32, n)
	for i := range rows {
		rows[i] = cells[i*n : (i+1)*n]
	}
	return rows
}

// setEligible sets otherCentres and eligibleWeight of an owner. Servers in the
// owner's data centre are eligible as first standbys only if there are no others.
func (sp *standbyPlan) setEligible(owner int) {
	same, other := 0.0, 0.0
	for _, i := range sp.available {
		switch {
		case sp.differentCentre(owner, i):
			other += sp.servers[i].Weight
			sp.otherCentres[owner]++
		case i != owner:
			same += sp.servers[i].Weight
		}
	}
	sp.eligibleWeight[owner] = other
	if other == 0 {
		sp.eligibleWeight[owner] = same
	}
}

// differentCentre reports whether two servers are in different data centres.
func (sp *standbyPlan) differentCentre(a, b int) bool {
	return sp.centre[a] != sp.centre[b]
}

// firstLimit returns the number of shards of an owner that may have server i as
// first standby: the even share, and one more so that small changes move no
// standby.
func (sp *standbyPlan) firstLimit(owner, i int) int32 {
	even := float64(sp.owned[owner]) * sp.servers[i].Weight / sp.eligibleWeight[owner]
	return int32(math.Ceil(even-epsilon)) + 1
}

// keep keeps the standbys of a shard that are still valid. A first standby that has
// reached its limit for this owner becomes the second one, and the second one, if
// any, the first. If that has reached its limit too, the first standby is removed.
func (sp *standbyPlan) keep(shard int) {
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

// validStandbys returns the available standbys of a shard that may stay, and their
// number. A standby in the owner's data centre is valid only if no available server
// is elsewhere, or as the second standby beside the only one elsewhere.
func (sp *standbyPlan) validStandbys(shard int) (kept [2]int, n int) {
	owner, sameCentre := sp.owner[shard], none
	kept = [2]int{none, none}
	for _, name := range sp.shards[shard].Standbys {
		switch i := sp.lookup(name); {
		case i == none || i == owner || i == kept[0] || n == maxStandbys:
		case sp.differentCentre(owner, i), sp.otherCentres[owner] == 0:
			kept[n] = i
			n++
		case sameCentre == none:
			sameCentre = i
		}
	}
	if sameCentre != none && n == 1 && sp.otherCentres[owner] == 1 {
		kept[n] = sameCentre
		n++
	}
	return kept, n
}

// count adds server i as a standby of one of the owner's shards.
func (sp *standbyPlan) count(owner, slot, i int) {
	if i != none {
		sp.counts[slot][owner][i]++
		sp.total[i]++
	}
}

// choose fills one standby slot of a shard. The available servers are compared
// by data centre (see centreRank), then by the number of this owner's shards
// that have the server in the same slot, then by the number of all shards that
// the server is a standby of, each relative to the server's weight, and then by
// rendezvous score.
func (sp *standbyPlan) choose(shard, slot int) {
	owner, other := sp.owner[shard], sp.chosen[shard][1-slot]
	counts := sp.counts[slot][owner]
	best, bestRank, bestCount, bestTotal := none, 0, 0.0, 0.0
	for _, i := range sp.available {
		if i == other || i == owner {
			continue
		}
		// Most servers lose at the first comparison, so each later criterion is
		// computed only when the earlier ones do not rule the server out.
		rank, w := sp.centreRank(owner, other, slot, i), sp.servers[i].Weight
		if best != none && rank > bestRank {
			continue
		}
		count := float64(counts[i]+1) / w
		if best != none && rank == bestRank && count > bestCount {
			continue
		}
		total := float64(sp.total[i]+1) / w
		if best != none && rank == bestRank && count == bestCount &&
			(total > bestTotal || total == bestTotal && sp.score(shard, i) <= sp.score(shard, best)) {
			continue
		}
		best, bestRank, bestCount, bestTotal = i, rank, count, total
	}
	sp.chosen[shard][slot] = best
	sp.count(owner, slot, best)
}

// centreRank ranks the data centre of a possible standby; the lowest rank is
// best. Servers outside the owner's data centre come first. Only the second
// standby also avoids the data centre of the first: for first standbys an even
// spread matters more, because they take the load of a lost owner.
func (sp *standbyPlan) centreRank(owner, other, slot, i int) int {
	switch {
	case !sp.differentCentre(owner, i):
		return 2
	case slot == 1 && other != none && !sp.differentCentre(other, i):
		return 1
	default:
		return 0
	}
}

// store writes the chosen standbys of a shard to the plan's result.
func (sp *standbyPlan) store(shard int) {
	standbys := sp.shards[shard].Standbys[:0]
	for _, i := range sp.chosen[shard] {
		if i != none {
			standbys = append(standbys, sp.servers[i].Name)
		}
	}
	sp.shards[shard].Standbys = standbys
}
