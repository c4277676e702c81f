package placement

// Rebalance moves shards away from servers whose measured load is more than
// MaxImbalance times their share, at most budget of them, and returns the new
// placement. It returns the placement unchanged when no loads are known. It
// does not replace unavailable owners; Assign does.
func Rebalance(service string, servers []Server, shards []Shard, budget int) []Shard {
	p := newPlan(service, servers, shards)
	if !p.measured || len(p.available) < 2 {
		return p.shards
	}
	lists := p.shardsByOwner()
	moved := make([]bool, len(p.shards))  // no shard moves twice in one call
	stuck := make([]bool, len(p.servers)) // no move of theirs helps
	changed := false
	for budget > 0 {
		from := p.hottest(stuck)
		if from == none {
			break
		}
		shard, to := p.relieve(from, lists[from], moved)
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

// allOwned tells whether every shard has an available owner.
func (p *plan) allOwned() bool {
	for _, o := range p.owner {
		if o == none {
			return false
		}
	}
	return true
}

// hottest returns the server with the highest load above MaxImbalance, or none.
func (p *plan) hottest(stuck []bool) int {
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
	enough    bool    // brings the giver within MaxImbalance
	within    bool    // keeps the receiver within MaxImbalance
	load      float64 // of the shard
	ratio     float64 // load of the receiver after the move, relative to its share
}

// relieve picks the move that needs the fewest further ones: one that keeps the
// receiver within bounds, and of these the smallest shard that is enough alone
// or else the largest.
func (p *plan) relieve(from int, shards []int, moved []bool) (shard, to int) {
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

func (t transfer) better(than transfer) bool {
	switch {
	case t.within != than.within:
		return t.within
	case !t.within:
		return t.ratio < than.ratio
	case t.enough != than.enough:
		return t.enough
	case t.enough:
		return t.load < than.load
	default:
		return t.load > than.load
	}
}

// transferFrom returns the move of a shard to the server that is least loaded
// after it. There is none if that server would have as much as the giver has now.
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
