package placement

import (
	"cmp"
	"math"
	"slices"
)

// Assign returns the new owner and up to two standbys of each shard (by index).
// The result does not depend on the order of servers.
//
// A shard moves only if its owner is unavailable, its owner is above its bound
// (the ceiling of its share of the shards), or it fills a server that has less
// than half of its share. A shard of an unavailable server goes to its first
// available standby with room, otherwise to the server with room that ranks
// highest by weighted rendezvous hash. When no server is available, the shards
// are returned as they are.
//
// When loads are known they take the place of counts, and only a server above
// 1.25 times its share gives shards away; see Rebalance for smaller differences.
func Assign(service string, servers []Server, shards []Shard) []Shard {
	p := newPlan(service, servers, shards)
	if len(p.available) == 0 {
		return p.shards
	}
	waiting := p.promote()
	f := p.findUnderfilled()
	for _, s := range waiting {
		p.move(s, p.destination(s, f))
	}
	p.shed(f)
	p.fill(f)
	p.placeStandbys()
	return p.shards
}

// promote moves shards without an available owner to a standby and returns
// those for which no standby has room.
func (p *plan) promote() (waiting []int) {
	for s := range p.shards {
		if p.owner[s] != none {
			continue
		}
		if to := p.promotable(s); to != none {
			p.move(s, to)
		} else {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

func (p *plan) promotable(shard int) int {
	for _, name := range p.shards[shard].Standbys {
		if i := p.lookup(name); i != none && p.fits(shard, i, p.limit(i)) {
			return i
		}
	}
	return none
}

// underfilled holds the share of each server that is to be filled; 0 for the
// others. Shards that move anyway fill it up to the whole share, further ones
// only up to fillTo of it.
type underfilled []float64

func (p *plan) findUnderfilled() underfilled {
	f := make(underfilled, len(p.servers))
	for _, i := range p.available {
		if p.used[i] < math.Floor(fillBelow*p.share[i]) {
			f[i] = math.Floor(p.share[i] + epsilon)
		}
	}
	return f
}

// destination returns the server for a shard that moves: one to be filled if
// there is any, else one with room, else the one with the least load after it.
func (p *plan) destination(shard int, f underfilled) int {
	if to := p.withRoom(shard, func(i int) float64 { return f[i] }); to != none {
		return to
	}
	if to := p.withRoom(shard, p.placeLimit); to != none {
		return to
	}
	return slices.MinFunc(p.available, func(a, b int) int {
		return cmp.Compare((p.used[a]+p.load[shard])/p.share[a], (p.used[b]+p.load[shard])/p.share[b])
	})
}

// withRoom returns the server with room below a limit that ranks highest, or none.
func (p *plan) withRoom(shard int, limit func(int) float64) int {
	best, bestScore := none, 0.0
	for _, i := range p.available {
		if i == p.owner[shard] || !p.fits(shard, i, limit(i)) {
			continue
		}
		if score := p.score(shard, i); best == none || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// shed moves shards away from servers above their limit, beginning with those
// for which the server ranks lowest.
func (p *plan) shed(f underfilled) {
	lists := p.shardsByOwner()
	for _, i := range p.available {
		if p.used[i] <= p.limit(i)+epsilon {
			continue
		}
		p.sortByScore(lists[i], i)
		for _, s := range lists[i] {
			if p.used[i] <= p.limit(i)+epsilon {
				break
			}
			// A shard that fits nowhere stays: moving it would only move the excess.
			if to := p.shedTo(s, f); to != none {
				p.move(s, to)
			}
		}
	}
}

func (p *plan) shedTo(shard int, f underfilled) int {
	if to := p.withRoom(shard, func(i int) float64 { return f[i] }); to != none {
		return to
	}
	return p.withRoom(shard, p.placeLimit)
}

func (p *plan) sortByScore(shards []int, server int) {
	slices.SortFunc(shards, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.score(a, server), p.score(b, server)), cmp.Compare(a, b))
	})
}

// fill moves shards from the fullest servers to those that are still underfilled.
func (p *plan) fill(f underfilled) {
	var lists [][]int
	for _, i := range p.available {
		if f[i] == 0 {
			continue
		}
		target := math.Floor(fillTo * p.share[i])
		for p.used[i]+epsilon < target {
			if lists == nil {
				lists = p.shardsByOwner()
			}
			s := p.donated(lists, i, target)
			if s == none {
				break
			}
			from := p.owner[s]
			lists[from] = slices.DeleteFunc(lists[from], func(x int) bool { return x == s })
			lists[i] = append(lists[i], s)
			p.move(s, i)
		}
	}
}

// donated picks, from the fullest server, the shard for which the receiver
// ranks highest. A donor keeps at least what a filled server has.
func (p *plan) donated(lists [][]int, to int, target float64) int {
	from := slices.MaxFunc(p.available, func(a, b int) int {
		return cmp.Compare(p.used[a]/p.share[a], p.used[b]/p.share[b])
	})
	best, bestScore := none, 0.0
	for _, s := range lists[from] {
		if from == to || p.used[from]-p.load[s] < math.Floor(fillTo*p.share[from]) || !p.fits(s, to, max(target, p.placeLimit(to))) {
			continue
		}
		if score := p.score(s, to); best == none || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
