package lease

import "time"

// holding records that a server may hold a shard.
type holding struct {
	server    *server
	shard     *shardState
	pos       int           // index in server.held
	seq       uint64        // sequence of the last grant with the shard; 0 if only a previous manager granted it
	seen      uint64        // sequence of the last reply that listed the shard
	until     time.Duration // the latest time at which the lease may be valid
	fence     uint64        // fencing token last reported by the server
	confirmed bool          // requests may be sent to the server; see Granted
	inGrant   bool          // the shard is in server.grantShards
}

// shardState is the state of one shard.
type shardState struct {
	id       Shard
	owner    *server    // assigned owner, or nil
	pos      int        // index in owner.owned
	fence    uint64     // assigned fencing token
	holdings []*holding // at most one, except during moves and takeovers
	blocked  bool       // see Blocked
	// priorLease is set once a server has reported a lease from a previous manager.
	// That manager granted it only when no other server could hold the shard, so
	// there is no need to wait for the other servers' replies.
	priorLease    bool
	stale         bool   // fence is too low to be granted; see FenceStale
	highest       uint64 // highest fencing token granted or reported
	highestServer string // name of the server with the highest token
}

// shard returns the state of a shard, and creates it if needed.
func (t *Table) shard(id Shard) *shardState {
	st := t.shards[id]
	if st == nil {
		st = &shardState{id: id}
		t.shards[id] = st
	}
	return st
}

// holding returns the server's holding of the shard, or nil.
func (st *shardState) holding(v *server) *holding {
	for _, h := range st.holdings {
		if h.server == v {
			return h
		}
	}
	return nil
}

// addHolding records a server as a possible holder of a shard.
func (t *Table) addHolding(st *shardState, v *server) *holding {
	h := &holding{server: v, shard: st, pos: len(v.held)}
	v.held = append(v.held, h)
	st.holdings = append(st.holdings, h)
	return h
}

// removeHolding removes a holding after the server can no longer hold the shard.
func (t *Table) removeHolding(h *holding) {
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
	t.markDirty(st.owner)
}

// withdraw ends the confirmation of a holding, if any, and emits Withdrawn.
func (t *Table) withdraw(h *holding) {
	if h.confirmed {
		h.confirmed = false
		t.emit(Withdrawn{Shard: h.shard.id, Server: h.server.name})
	}
}

// grantable reports whether a shard may be granted to server v: v is in the
// document and owns the shard with a fencing token that is not stale, and no
// other server can hold the shard. If v does not hold it yet, the shard must also
// not be blocked, and priorLeasesKnown must be true.
func (t *Table) grantable(now time.Duration, st *shardState, v *server) bool {
	if st.owner != v || !v.inDocument || st.stale {
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
	return holds || !st.blocked && t.priorLeasesKnown(now, st)
}

// priorLeasesKnown reports whether st.holdings includes every server that can hold
// a lease on the shard from a previous manager.
func (t *Table) priorLeasesKnown(now time.Duration, st *shardState) bool {
	return st.priorLease || now >= t.takeoverEnd || t.priorLeasesUnknown[st.id.Service]+t.priorLeasesUnknown[anyService] == 0
}

// assign sets the assignment of a shard, and adds its servers if they are new.
func (t *Table) assign(now time.Duration, a Assignment) {
	st, owner := t.shard(a.Shard), (*server)(nil)
	if a.Owner != "" {
		owner = t.ensureServer(now, a.Owner, a.Shard.Service)
	}
	for _, name := range a.Standbys {
		t.ensureServer(now, name, a.Shard.Service)
	}
	if st.owner == owner && st.fence == a.Fence {
		return
	}
	for _, h := range st.holdings {
		if h.server != owner {
			t.withdraw(h)
		} else {
			h.confirmed = false // until the owner reports the new fencing token
		}
	}
	t.removeFromOwner(st)
	st.owner, st.fence = owner, a.Fence
	if owner != nil {
		st.pos = len(owner.owned)
		owner.owned = append(owner.owned, st)
	}
	t.checkFence(st)
	t.markDirty(owner)
}

// removeFromOwner removes a shard from its owner's list; the caller sets st.owner.
func (t *Table) removeFromOwner(st *shardState) {
	if v := st.owner; v != nil {
		last := v.owned[len(v.owned)-1]
		v.owned[st.pos], last.pos = last, st.pos
		v.owned = v.owned[:len(v.owned)-1]
		t.markDirty(v)
	}
}

// recordFence records a fencing token that was granted to or reported by a server.
func (t *Table) recordFence(st *shardState, v *server, fence uint64) {
	if fence > st.highest {
		st.highest, st.highestServer = fence, v.name
		t.checkFence(st)
	}
}

// checkFence emits FenceStale and keeps an assignment from being granted if its
// fencing token is below the highest one, or equals it and belongs to another
// server. Otherwise a late request with that server's token would be accepted.
func (t *Table) checkFence(st *shardState) {
	stale := false
	if st.owner != nil && st.highest > 0 {
		stale = st.fence < st.highest || st.fence == st.highest && st.highestServer != st.owner.name
	}
	if stale {
		t.emit(FenceStale{Shard: st.id, Highest: st.highest})
	}
	if stale != st.stale {
		st.stale = stale
		t.markDirty(st.owner)
	}
}
