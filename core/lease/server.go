package lease

import "time"

// anyService stands for the unknown service of a server that was removed from
// the document before this table heard of it.
const anyService = ""

type server struct {
	name, service string
	known         bool // in the document
	settled       bool // its holds of the managers before are known
	lost          bool
	addedAt       time.Duration

	boot    string
	clock   time.Duration // the echo of the next grant; 0 for none
	heardAt time.Duration // arrival of the reply that reported clock
	heard   bool

	sent     bool
	sentAt   time.Duration
	sequence uint64 // of the last grant
	acked    uint64 // of the newest grant that was answered

	owned    []*shardState
	held     []*holding
	minUntil time.Duration // no lease in held ends before
	dirty    bool
	offered  []Hold // of the last grant; shared by grants, never changed

	offeredHeld []*holding // of offered, in the same order
}

// named returns a server that an assignment or the document names. It may
// hold shards of the managers before until it answers.
func (t *Table) named(now time.Duration, name, service string) *server {
	v := t.servers[name]
	if v != nil {
		return v
	}
	v = &server{name: name, service: service, addedAt: now, sequence: t.sequence, acked: t.sequence}
	v.settled = now >= t.takeoverEnd
	if !v.settled {
		t.unsettled[service]++
	}
	t.servers[name] = v
	t.order = append(t.order, v)
	return v
}

func (t *Table) add(now time.Duration, name, service string) {
	v := t.named(now, name, service)
	if v.service != service {
		if !v.settled {
			t.unsettled[v.service]--
			t.unsettled[service]++
		}
		v.service = service
	}
	if !v.known {
		v.known, v.addedAt = true, now
		t.touch(v)
	}
}

func (t *Table) remove(now time.Duration, name string) {
	v := t.named(now, name, anyService)
	v.known, v.lost = false, false
	for _, h := range v.held {
		t.withdraw(h)
	}
	t.touch(v)
}

// settle notes that the server's holds of the managers before are known.
func (t *Table) settle(v *server) {
	if v.settled {
		return
	}
	v.settled = true
	t.unsettled[v.service]--
	if t.unsettled[v.service] == 0 {
		for _, other := range t.order {
			if other.service == v.service {
				t.touch(other)
			}
		}
	}
}

// expire ends the leases of a server that are over, and notes its loss.
func (t *Table) expire(now time.Duration, v *server) {
	if len(v.held) > 0 && now >= v.minUntil {
		for i := len(v.held) - 1; i >= 0; i-- {
			if v.held[i].until <= now {
				t.drop(v.held[i])
			}
		}
		v.setMinUntil()
	}
	since := v.addedAt
	if v.heard {
		since = max(since, v.heardAt)
	}
	if v.known && !v.lost && now >= since+t.bound {
		v.lost = true
		t.emit(Lost{Server: v.name})
	}
}

func (v *server) setMinUntil() {
	for i, h := range v.held {
		if i == 0 || h.until < v.minUntil {
			v.minUntil = h.until
		}
	}
}

func (t *Table) forgettable(now time.Duration, v *server) bool {
	return !v.known && len(v.held) == 0 && len(v.owned) == 0 && (v.settled || now >= t.takeoverEnd)
}

// due reports whether a grant is to be sent: every Renewal, or at once after a
// change when the last grant was answered.
func (t *Table) due(now time.Duration, v *server) bool {
	if !v.sent || now >= v.sentAt+t.cfg.Renewal {
		return true
	}
	return v.dirty && v.acked == v.sequence
}

// fresh reports whether a lease that counts from the server's last known clock
// reading can still be valid.
func (t *Table) fresh(now time.Duration, v *server) bool {
	return v.heard && v.clock > 0 && now < v.heardAt+t.bound
}

func (t *Table) send(now time.Duration, v *server) {
	changed := v.dirty
	v.dirty = false
	if !v.known && len(v.held) == 0 {
		return
	}
	t.sequence++
	v.sent, v.sentAt, v.sequence = true, now, t.sequence
	g := Grant{Server: v.name, Sequence: v.sequence, Duration: t.cfg.Duration, BootID: v.boot}
	if t.fresh(now, v) {
		if changed {
			v.offered = t.offer(now, v)
		}
		t.extend(v)
		g.Echo, g.Shards = v.clock, v.offered
	}
	t.emit(g)
}

// offer collects what may be granted to a server, and makes it a possible
// holder of that.
func (t *Table) offer(now time.Duration, v *server) []Hold {
	offered := make([]Hold, 0, len(v.owned))
	v.offeredHeld = make([]*holding, 0, len(v.owned))
	for _, h := range v.held {
		h.offered = false
	}
	for _, st := range v.owned {
		if !t.offerable(now, st, v) {
			continue
		}
		h := st.holding(v)
		if h == nil {
			h = t.hold(st, v)
		}
		h.offered = true
		t.noteFence(st, v, st.fence)
		v.offeredHeld = append(v.offeredHeld, h)
		offered = append(offered, Hold{Shard: st.id, Fence: st.fence})
	}
	return offered
}

// extend notes that the grant being sent contains the offered shards.
func (t *Table) extend(v *server) {
	until := v.heardAt + t.bound
	for _, h := range v.held {
		if h.offered {
			h.seq, h.until = v.sequence, max(h.until, until)
		}
	}
	v.setMinUntil()
}
