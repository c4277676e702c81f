package placement

import (
	"cmp"
	"math"
	"slices"
)

// Assign returns the new owner and up to two standbys of each shard (by index).
// The result does not depend on the order of servers.
//
// A shard moves only in three cases: its owner is unavailable, its owner has more
// shards than the ceiling of its share, or the receiving server has less than half
// of its share. A shard of an unavailable server goes to its first available
// standby with room, otherwise to the server with room that ranks highest by
// weighted rendezvous hash, those below half of their share first. When no server
// is available, the shards are returned unchanged.
//
// When shard loads are known, Assign balances loads instead of shard counts. In the
// second case, the load must also exceed 1.25 times the share; RebalanceShards evens out
// smaller differences.
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
	p.moveExcess(f)
	p.fill(f)
	p.placeStandbys()
	return p.shards
}

// promote moves each shard without an available owner to one of its standbys, and
// returns the shards for which no available standby has room.
func (p *plan) promote() (waiting []int) {
	for s := range p.shards {
		if p.owner[s] != none {
			continue
		}
		if to := p.promotableStandby(s); to != none {
			p.move(s, to)
		} else {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// promotableStandby returns the shard's first available standby with room, or none.
func (p *plan) promotableStandby(shard int) int {
	for _, name := range p.shards[shard].Standbys {
		if i := p.lookup(name); i != none && p.fits(shard, i, p.limit(i)) {
			return i
		}
	}
	return none
}

// underfilled holds, by server, the rounded-down share of each underfilled server
// and 0 for all others. Shards that have to move anyway fill an underfilled server
// up to this value; shards that move only to fill it do so up to fillTo of the share.
type underfilled []float64

// findUnderfilled finds the available servers whose load is below fillBelow of
// their share.
func (p *plan) findUnderfilled() underfilled {
	f := make(underfilled, len(p.servers))
	for _, i := range p.available {
		if p.used[i] < math.Floor(fillBelow*p.share[i]) {
			f[i] = math.Floor(p.share[i] + epsilon)
		}
	}
	return f
}

// destination returns the new owner of a shard that has to move: an underfilled
// server with room, else any server with room, else the server with the lowest
// load relative to its share after the move.
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

// withRoom returns the highest-ranked available server that has room for the
// shard within its limit, or none. The current owner is excluded.
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

// moveExcess moves shards away from servers above their limit, beginning with the
// shards that have the lowest score on the server.
func (p *plan) moveExcess(f underfilled) {
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
			// A shard that fits on no other server stays: moving it would put
			// that server above its limit instead.
			if to := p.excessDestination(s, f); to != none {
				p.move(s, to)
			}
		}
	}
}

// excessDestination returns the new owner of a shard of an overloaded server: an
// underfilled server with room, else any server with room, else none.
func (p *plan) excessDestination(shard int, f underfilled) int {
	if to := p.withRoom(shard, func(i int) float64 { return f[i] }); to != none {
		return to
	}
	return p.withRoom(shard, p.placeLimit)
}

// sortByScore sorts shards by their rendezvous score on a server, lowest first.
func (p *plan) sortByScore(shards []int, server int) {
	slices.SortFunc(shards, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.score(a, server), p.score(b, server)), cmp.Compare(a, b))
	})
}

// fill moves shards from the servers with the highest load relative to their
// share to servers that are still underfilled.
func (p *plan) fill(f underfilled) {
	var lists [][]int
	for _, i := range p.available {
		if f[i] == 0 {
			continue
		}
		goal := math.Floor(fillTo * p.share[i])
		for p.used[i]+epsilon < goal {
			if lists == nil {
				lists = p.shardsByOwner()
			}
			s := p.shardToFill(lists, i, goal)
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

// shardToFill returns, from the server with the highest load relative to its share,
// the shard with the highest score on the receiving server, or none. The giving
// server keeps at least fillTo of its own share.
func (p *plan) shardToFill(lists [][]int, to int, goal float64) int {
	from := slices.MaxFunc(p.available, func(a, b int) int {
		return cmp.Compare(p.used[a]/p.share[a], p.used[b]/p.share[b])
	})
	best, bestScore := none, 0.0
	for _, s := range lists[from] {
		if from == to || p.used[from]-p.load[s] < math.Floor(fillTo*p.share[from]) || !p.fits(s, to, max(goal, p.placeLimit(to))) {
			continue
		}
		if score := p.score(s, to); best == none || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
