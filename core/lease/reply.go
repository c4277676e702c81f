package lease

import "time"

// reply handles a server's reply in time proportional to the number of its
// shards. A reply that arrives after the reply to a newer grant is ignored,
// because the newer reply is more recent information.
func (t *Table) reply(now time.Duration, r Reply) {
	v := t.servers[r.Server]
	if v == nil || r.Refused || r.Sequence <= v.acked || r.Sequence > v.sequence {
		return
	}
	if !t.fresh(now, v) {
		t.markDirty(v)
	}
	if v.replied && r.BootID != v.boot {
		t.restarted(v, r.BootID)
	}
	v.boot, v.clock, v.repliedAt, v.replied = r.BootID, r.Clock, now, true
	v.acked, v.lost = r.Sequence, false
	for _, h := range r.Highest {
		t.recordFence(t.shard(h.Shard), v, h.Fence)
	}
	for i, h := range r.Holds {
		t.recordHold(now, v, r.Sequence, i, h)
	}
	t.recordPriorLeasesKnown(v)
	for _, h := range v.held {
		if h.seen == r.Sequence && !h.confirmed {
			t.confirm(now, h)
		}
	}
	t.endUnlisted(v, r.Sequence)
}

// restarted clears the confirmations of a server's previous process. The holdings
// remain for now: endUnlisted later removes those that the new process cannot
// hold, depending on which grants may still arrive.
func (t *Table) restarted(v *server, boot string) {
	t.emit(Restarted{Server: v.name, BootID: boot})
	for _, h := range v.held {
		h.confirmed = false
	}
	t.markDirty(v)
}

// recordHold records a hold that a server reported. A hold that this table did
// not grant comes from a previous manager; that lease can last until the end of
// the takeover at most.
func (t *Table) recordHold(now time.Duration, v *server, sequence uint64, i int, reported Hold) {
	if h := v.offeredAt(i, reported.Shard); h != nil {
		t.recordFence(h.shard, v, reported.Fence)
		h.seen, h.fence = sequence, reported.Fence
		return
	}
	st := t.shard(reported.Shard)
	t.recordFence(st, v, reported.Fence)
	h := st.holding(v)
	if h == nil {
		if now >= t.takeoverEnd {
			return
		}
		h = t.addHolding(st, v)
		h.until = t.takeoverEnd
		v.setMinUntil()
		st.priorLease = true
		t.markDirty(st.owner)
	}
	h.seen, h.fence = sequence, reported.Fence
}

// offeredAt returns the holding at index i of the last offer if it is for the
// given shard and has not been removed since, otherwise nil. Servers usually
// report holds in the order of the grant, so this avoids most lookups by shard,
// which would take most of the time of handling a reply.
func (v *server) offeredAt(i int, id Shard) *holding {
	if i >= len(v.offeredHeld) {
		return nil
	}
	h := v.offeredHeld[i]
	if h.shard.id != id || h.pos >= len(v.held) || v.held[h.pos] != h {
		return nil
	}
	return h
}

// confirm emits Granted for a holding of the shard's owner, if the owner reported
// the assigned fencing token, its lease has not ended, and no other server can
// hold the shard.
func (t *Table) confirm(now time.Duration, h *holding) {
	st := h.shard
	if h.until <= now || h.fence != st.fence || !t.offerable(now, st, h.server) {
		return
	}
	h.confirmed = true
	t.emit(Granted{Shard: st.id, Server: h.server.name, Fence: h.fence})
}

// endUnlisted removes the holdings that the reply does not list. If a newer grant
// than the one answered contains the shard, that grant may still arrive, so the
// holding remains and is only withdrawn.
func (t *Table) endUnlisted(v *server, sequence uint64) {
	for i := len(v.held) - 1; i >= 0; i-- {
		h := v.held[i]
		switch {
		case h.seen == sequence:
		case h.seq <= sequence:
			t.removeHolding(h)
		default:
			t.withdraw(h)
		}
	}
}
