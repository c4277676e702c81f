package lease

import "time"

// holding says that a server may hold a shard.
type holding struct {
	server    *server
	shard     *shardState
	pos       int           // in server.held
	seq       uint64        // of the last grant with the shard; 0: of a manager before
	seen      uint64        // sequence of the last reply that listed the shard
	until     time.Duration // the latest instant at which the lease may be valid
	fence     uint64        // last reported
	confirmed bool
	offered   bool // in the set that is granted now
}

type shardState struct {
	id       Shard
	owner    *server
	pos      int // in owner.owned
	fence    uint64
	holdings []*holding // one, but during moves and takeovers
	blocked  bool
	// proven is set once a server reported a valid lease of a manager before.
	// That manager granted it only when no other server could hold the shard.
	proven    bool
	stale     bool
	highest   uint64
	highestAt string // the server of the highest fence
}

func (t *Table) shard(id Shard) *shardState {
	st := t.shards[id]
	if st == nil {
		st = &shardState{id: id}
		t.shards[id] = st
	}
	return st
}

func (st *shardState) holding(v *server) *holding {
	for _, h := range st.holdings {
		if h.server == v {
			return h
		}
	}
	return nil
}

func (t *Table) hold(st *shardState, v *server) *holding {
	h := &holding{server: v, shard: st, pos: len(v.held)}
	v.held = append(v.held, h)
	st.holdings = append(st.holdings, h)
	return h
}

// drop removes a holding that is certainly over.
func (t *Table) drop(h *holding) {
	t.withdraw(h)
	v, st := h.server, h.shard
	last := v.held[len(v.held)-1]
	v.held[h.pos], last.pos = last, h.pos
	v.held = v.held[:len(v.held)-1]
	for i, other := range st.holdings {
		if other == h {
			st.holdings = append(st.holdings[:i], st.holdings[i+1:]...)
			break
		}
	}
	t.touch(st.owner)
}

func (t *Table) withdraw(h *holding) {
	if h.confirmed {
		h.confirmed = false
		t.emit(Withdrawn{Shard: h.shard.id, Server: h.server.name})
	}
}

// offerable reports whether the shard may be granted to v: v owns it, and no
// other server can hold it.
func (t *Table) offerable(now time.Duration, st *shardState, v *server) bool {
	if st.owner != v || !v.known || st.stale {
		return false
	}
	holds := false
	for _, h := range st.holdings {
		if h.server == v {
			holds = true
		} else if h.until > now {
			return false
		}
	}
	return holds || !st.blocked && t.settled(now, st)
}

// settled reports whether the holders left by the managers before are known.
func (t *Table) settled(now time.Duration, st *shardState) bool {
	return st.proven || now >= t.takeoverEnd || t.unsettled[st.id.Service]+t.unsettled[anyService] == 0
}

func (t *Table) assign(now time.Duration, a Assignment) {
	st, owner := t.shard(a.Shard), (*server)(nil)
	if a.Owner != "" {
		owner = t.named(now, a.Owner, a.Shard.Service)
	}
	for _, name := range a.Standbys {
		t.named(now, name, a.Shard.Service)
	}
	if st.owner == owner && st.fence == a.Fence {
		return
	}
	for _, h := range st.holdings {
		if h.server != owner {
			t.withdraw(h)
		} else {
			h.confirmed = false // until the new fence is confirmed
		}
	}
	t.disown(st)
	st.owner, st.fence = owner, a.Fence
	if owner != nil {
		st.pos = len(owner.owned)
		owner.owned = append(owner.owned, st)
	}
	t.checkFence(st)
	t.touch(owner)
}

func (t *Table) disown(st *shardState) {
	if v := st.owner; v != nil {
		last := v.owned[len(v.owned)-1]
		v.owned[st.pos], last.pos = last, st.pos
		v.owned = v.owned[:len(v.owned)-1]
		t.touch(v)
	}
}

func (t *Table) noteFence(st *shardState, v *server, fence uint64) {
	if fence > st.highest {
		st.highest, st.highestAt = fence, v.name
		t.checkFence(st)
	}
}

// checkFence holds an assignment back whose fence is not above that of every
// other server. Otherwise a late request of the other server would pass.
func (t *Table) checkFence(st *shardState) {
	stale := false
	if st.owner != nil && st.highest > 0 {
		stale = st.fence < st.highest || st.fence == st.highest && st.highestAt != st.owner.name
	}
	if stale {
		t.emit(FenceStale{Shard: st.id, Highest: st.highest})
	}
	if stale != st.stale {
		st.stale = stale
		t.touch(st.owner)
	}
}
