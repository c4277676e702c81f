package lease

import "time"

// anyService stands for the service of a server that was removed from the document
// before it was added to this table. Such a server may hold shards of any service.
const anyService = ""

// server is the state of one server.
type server struct {
	name, service    string
	inDocument       bool // in the configuration document
	priorLeasesKnown bool // the leases that previous managers granted to it are known
	lost             bool // has not answered for as long as a lease can last
	addedAt          time.Duration

	boot      string
	clock     time.Duration // clock reading of the last reply, echoed in the next grant; 0 for none
	repliedAt time.Duration // arrival of the reply that reported clock
	replied   bool          // has answered at least once

	sent     bool // at least one grant was sent
	sentAt   time.Duration
	sequence uint64 // of the last grant
	acked    uint64 // sequence of the newest grant that was answered

	owned       []*shardState // shards assigned to the server
	held        []*holding    // shards that the server may hold
	minUntil    time.Duration // no lease in held ends before this time
	dirty       bool          // the grantable shards may have changed
	grantShards []Hold        // shards of the last grant with an echo; shared by several grants, so never modified

	grantHoldings []*holding // the holdings of grantShards, in the same order
}

// ensureServer returns the server with a name, and adds it if it is new. A server
// that is added during the takeover may hold shards that previous managers
// granted, until it answers.
func (t *Table) ensureServer(now time.Duration, name, service string) *server {
	v := t.servers[name]
	if v != nil {
		return v
	}
	v = &server{name: name, service: service, addedAt: now, sequence: t.sequence, acked: t.sequence}
	v.priorLeasesKnown = now >= t.takeoverEnd
	if !v.priorLeasesKnown {
		t.priorLeasesUnknown[service]++
	}
	t.servers[name] = v
	t.order = append(t.order, v)
	return v
}

// add handles ServerAdded.
func (t *Table) add(now time.Duration, name, service string) {
	v := t.ensureServer(now, name, service)
	if v.service != service {
		if !v.priorLeasesKnown {
			t.priorLeasesUnknown[v.service]--
			t.priorLeasesUnknown[service]++
		}
		v.service = service
	}
	if !v.inDocument {
		v.inDocument, v.addedAt = true, now
		t.markDirty(v)
	}
}

// remove handles ServerRemoved. The server's holdings stay until they end.
func (t *Table) remove(now time.Duration, name string) {
	v := t.ensureServer(now, name, anyService)
	v.inDocument, v.lost = false, false
	for _, h := range v.held {
		t.withdraw(h)
	}
	t.markDirty(v)
}

// recordPriorLeasesKnown records that the server's leases from previous managers
// are known. If it was the last server of its service for which they were not,
// more shards may be grantable, so the servers of the service are marked dirty.
func (t *Table) recordPriorLeasesKnown(v *server) {
	if v.priorLeasesKnown {
		return
	}
	v.priorLeasesKnown = true
	t.priorLeasesUnknown[v.service]--
	if t.priorLeasesUnknown[v.service] == 0 {
		for _, other := range t.order {
			if other.service == v.service {
				t.markDirty(other)
			}
		}
	}
}

// expire removes the ended leases of a server, and emits Lost once if the server
// has not answered for as long as a lease can last.
func (t *Table) expire(now time.Duration, v *server) {
	if len(v.held) > 0 && now >= v.minUntil {
		for i := len(v.held) - 1; i >= 0; i-- {
			if v.held[i].until <= now {
				t.removeHolding(v.held[i])
			}
		}
		v.setMinUntil()
	}
	since := v.addedAt
	if v.replied {
		since = max(since, v.repliedAt)
	}
	if v.inDocument && !v.lost && now >= since+t.leaseBound {
		v.lost = true
		t.emit(Lost{Server: v.name})
	}
}

// setMinUntil sets minUntil to the earliest end of the held leases.
func (v *server) setMinUntil() {
	for i, h := range v.held {
		if i == 0 || h.until < v.minUntil {
			v.minUntil = h.until
		}
	}
}

// removable reports whether a server that was removed from the document can be
// deleted from the table, because it owns no shard and can hold none.
func (t *Table) removable(now time.Duration, v *server) bool {
	return !v.inDocument && len(v.held) == 0 && len(v.owned) == 0 && (v.priorLeasesKnown || now >= t.takeoverEnd)
}

// due reports whether a grant should be sent now: at first, every Renewal, and
// immediately after a change if the last grant was answered.
func (t *Table) due(now time.Duration, v *server) bool {
	if !v.sent || now >= v.sentAt+t.cfg.Renewal {
		return true
	}
	return v.dirty && v.acked == v.sequence
}

// fresh reports whether a lease that begins at the server's last reported clock
// reading may still be valid now.
func (t *Table) fresh(now time.Duration, v *server) bool {
	return v.replied && v.clock > 0 && now < v.repliedAt+t.leaseBound
}

// send emits a grant, unless the server is not in the document and holds nothing.
// Without a fresh clock reading the grant contains no shards and only asks for a
// reply.
func (t *Table) send(now time.Duration, v *server) {
	changed := v.dirty
	v.dirty = false
	if !v.inDocument && len(v.held) == 0 {
		return
	}
	t.sequence++
	v.sent, v.sentAt, v.sequence = true, now, t.sequence
	g := Grant{Server: v.name, Sequence: v.sequence, Duration: t.cfg.Duration, BootID: v.boot}
	if t.fresh(now, v) {
		if changed {
			v.grantShards = t.selectShards(now, v)
		}
		t.extend(v)
		g.Echo, g.Shards = v.clock, v.grantShards
	}
	t.emit(g)
}

// selectShards returns the shards that are grantable to a server, and records the
// server as a possible holder of each.
func (t *Table) selectShards(now time.Duration, v *server) []Hold {
	shards := make([]Hold, 0, len(v.owned))
	v.grantHoldings = make([]*holding, 0, len(v.owned))
	for _, h := range v.held {
		h.inGrant = false
	}
	for _, st := range v.owned {
		if !t.grantable(now, st, v) {
			continue
		}
		h := st.holding(v)
		if h == nil {
			h = t.addHolding(st, v)
		}
		h.inGrant = true
		t.recordFence(st, v, st.fence)
		v.grantHoldings = append(v.grantHoldings, h)
		shards = append(shards, Hold{Shard: st.id, Fence: st.fence})
	}
	return shards
}

// extend records that the grant being sent contains grantShards, and extends
// their leases.
func (t *Table) extend(v *server) {
	until := v.repliedAt + t.leaseBound
	for _, h := range v.held {
		if h.inGrant {
			h.seq, h.until = v.sequence, max(h.until, until)
		}
	}
	v.setMinUntil()
}
