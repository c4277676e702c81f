package lease

import "time"

// reply handles a server's answer in time proportional to its shards. Answers
// that arrive out of order are ignored: a newer one has told more.
func (t *Table) reply(now time.Duration, r Reply) {
	v := t.servers[r.Server]
	if v == nil || r.Refused || r.Sequence <= v.acked || r.Sequence > v.sequence {
		return
	}
	if !t.fresh(now, v) {
		t.touch(v)
	}
	if v.heard && r.BootID != v.boot {
		t.restarted(v, r.BootID)
	}
	v.boot, v.clock, v.heardAt, v.heard = r.BootID, r.Clock, now, true
	v.acked, v.lost = r.Sequence, false
	for _, h := range r.Highest {
		t.noteFence(t.shard(h.Shard), v, h.Fence)
	}
	for i, h := range r.Holds {
		t.noteHold(now, v, r.Sequence, i, h)
	}
	t.settle(v)
	for _, h := range v.held {
		if h.seen == r.Sequence && !h.confirmed {
			t.confirm(now, h)
		}
	}
	t.release(v, r.Sequence)
}

// restarted ends what the former process of the server had confirmed. The
// holdings stay until the reply is matched with the grants that were sent.
func (t *Table) restarted(v *server, boot string) {
	t.emit(Restarted{Server: v.name, BootID: boot})
	for _, h := range v.held {
		h.confirmed = false
	}
	t.touch(v)
}

// noteHold notes a reported hold. One that this table did not grant is of a
// manager before, and ends with the takeover.
func (t *Table) noteHold(now time.Duration, v *server, sequence uint64, i int, reported Hold) {
	if h := v.offeredAt(i, reported.Shard); h != nil {
		t.noteFence(h.shard, v, reported.Fence)
		h.seen, h.fence = sequence, reported.Fence
		return
	}
	st := t.shard(reported.Shard)
	t.noteFence(st, v, reported.Fence)
	h := st.holding(v)
	if h == nil {
		if now >= t.takeoverEnd {
			return
		}
		h = t.hold(st, v)
		h.until = t.takeoverEnd
		v.setMinUntil()
		st.proven = true
		t.touch(st.owner)
	}
	h.seen, h.fence = sequence, reported.Fence
}

// offeredAt returns the holding at an index of the last offer, if it is of the
// shard and still counts. Servers usually report in the order of the grant,
// and a lookup by shard takes most of the time of a reply.
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

// confirm reports a hold that its owner has, if no other server can hold it.
func (t *Table) confirm(now time.Duration, h *holding) {
	st := h.shard
	if h.until <= now || h.fence != st.fence || !t.offerable(now, st, h.server) {
		return
	}
	h.confirmed = true
	t.emit(Granted{Shard: st.id, Server: h.server.name, Fence: h.fence})
}

// release ends the holdings that the reply does not list, unless a grant that
// is newer than the reply contains the shard and may still arrive.
func (t *Table) release(v *server, sequence uint64) {
	for i := len(v.held) - 1; i >= 0; i-- {
		h := v.held[i]
		switch {
		case h.seen == sequence:
		case h.seq <= sequence:
			t.drop(h)
		default:
			t.withdraw(h)
		}
	}
}
