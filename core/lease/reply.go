package lease

import "time"

// reply handles a server's reply, in time proportional to the number of its
// shards. It ignores refusals, and replies that arrive after the reply to a newer
// grant, which is more recent information.
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

// restarted clears the confirmations of a server's previous process. endUnlisted
// then removes the holdings, except those in grants that may still arrive.
func (t *Table) restarted(v *server, boot string) {
	t.emit(Restarted{Server: v.name, BootID: boot})
	for _, h := range v.held {
		h.confirmed = false
	}
	t.markDirty(v)
}

// recordHold records a hold that a server reported. A hold without a holding comes
// from a previous manager: its lease can last until takeoverEnd, and it is ignored
// after that.
func (t *Table) recordHold(now time.Duration, v *server, sequence uint64, i int, reported Hold) {
	if h := v.grantHoldingAt(i, reported.Shard); h != nil {
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

// grantHoldingAt returns the holding at index i of grantHoldings if it is for the
// given shard and has not been removed since, otherwise nil. Servers usually
// report holds in the order of the grant, so this avoids most lookups by shard,
// which would take most of the time of handling a reply.
func (v *server) grantHoldingAt(i int, id Shard) *holding {
	if i >= len(v.grantHoldings) {
		return nil
	}
	h := v.grantHoldings[i]
	if h.shard.id != id || h.pos >= len(v.held) || v.held[h.pos] != h {
		return nil
	}
	return h
}

// confirm emits Granted for a holding if its lease has not ended, the server
// reported the assigned fencing token, and the shard is grantable to it.
func (t *Table) confirm(now time.Duration, h *holding) {
	st := h.shard
	if h.until <= now || h.fence != st.fence || !t.grantable(now, st, h.server) {
		return
	}
	h.confirmed = true
	t.emit(Granted{Shard: st.id, Server: h.server.name, Fence: h.fence})
}

// endUnlisted removes the holdings that the reply does not list. A holding in a
// newer grant than the answered one is only withdrawn, because that grant may
// still arrive.
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
