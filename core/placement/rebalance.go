package placement

// RebalanceShards moves at most budget shards away from servers whose measured load is
// more than MaxImbalance times their share, and returns the new placement. Nothing
// changes when no loads are known or fewer than two servers are available.
// Unavailable owners are left to Assign; while there are any, no standbys change.
func RebalanceShards(service string, servers []Server, shards []Shard, budget int) []Shard {
	p := newPlan(service, servers, shards)
	if !p.measured || len(p.available) < 2 {
		return p.shards
	}
	lists := p.shardsByOwner()
	moved := make([]bool, len(p.shards))  // no shard moves twice in one call
	stuck := make([]bool, len(p.servers)) // no move from the server reduces the imbalance
	changed := false
	for budget > 0 {
		from := p.mostOverloaded(stuck)
		if from == none {
			break
		}
		shard, to := p.bestTransfer(from, lists[from], moved)
		if shard == none {
			stuck[from] = true
			continue
		}
		p.move(shard, to)
		moved[shard], changed = true, true
		budget--
	}
	if changed && p.allOwned() {
		p.placeStandbys()
	}
	return p.shards
}

// allOwned reports whether every shard has an available owner.
func (p *plan) allOwned() bool {
	for _, o := range p.owner {
		if o == none {
			return false
		}
	}
	return true
}

// mostOverloaded returns the server with the highest load relative to its share,
// or none if no ratio is above MaxImbalance. Servers marked as stuck are skipped.
func (p *plan) mostOverloaded(stuck []bool) int {
	best, bestRatio := none, MaxImbalance+epsilon
	for _, i := range p.available {
		if ratio := p.used[i] / p.share[i]; !stuck[i] && ratio > bestRatio {
			best, bestRatio = i, ratio
		}
	}
	return best
}

// transfer is a possible move of one shard.
type transfer struct {
	shard, to int
	enough    bool    // brings the giving server within MaxImbalance
	within    bool    // keeps the receiving server within MaxImbalance
	load      float64 // of the shard
	ratio     float64 // load of the receiving server after the move, relative to its share
}

// bestTransfer returns the best move away from an overloaded server (see better),
// chosen so that few further moves are needed, or none if no move reduces the
// imbalance. Shards that have moved already are skipped.
func (p *plan) bestTransfer(from int, shards []int, moved []bool) (shard, to int) {
	best := transfer{shard: none, to: none}
	for _, s := range shards {
		if moved[s] {
			continue
		}
		if t := p.transferFrom(from, s); t.to != none && (best.shard == none || t.better(best)) {
			best = t
		}
	}
	return best.shard, best.to
}

// better reports whether t is preferred over another transfer. Transfers that keep
// the receiving server within MaxImbalance come first. Of these, the smallest shard
// that brings the giving server within MaxImbalance is best, else the largest shard.
// Of the others, the one with the lowest ratio of the receiving server is best.
func (t transfer) better(other transfer) bool {
	switch {
	case t.within != other.within:
		return t.within
	case !t.within:
		return t.ratio < other.ratio
	case t.enough != other.enough:
		return t.enough
	case t.enough:
		return t.load < other.load
	default:
		return t.load > other.load
	}
}

// transferFrom returns the move of a shard to the server that has the lowest ratio
// of load to share after the move. The destination is none if that ratio would not
// be below the giving server's ratio before the move.
func (p *plan) transferFrom(from, shard int) transfer {
	t := transfer{shard: shard, to: none, load: p.load[shard], ratio: p.used[from]/p.share[from] - epsilon}
	for _, i := range p.available {
		if ratio := (p.used[i] + t.load) / p.share[i]; i != from && ratio < t.ratio {
			t.to, t.ratio = i, ratio
		}
	}
	t.enough = p.used[from]-t.load <= MaxImbalance*p.share[from]+epsilon
	t.within = t.ratio <= MaxImbalance+epsilon
	return t
}
