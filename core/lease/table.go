package lease

import (
	"slices"
	"time"
)

// Table holds the leases of one manager for one term. It is not safe for
// concurrent use.
type Table struct {
	cfg Config
	// leaseBound is the longest time for which a lease can be valid, on the manager's
	// clock and from the arrival of the reply that reported the echoed clock
	// reading. It allows for the drift of both clocks.
	leaseBound         time.Duration
	takeoverEnd        time.Duration // time at which all leases from previous managers have ended
	takenOver          bool          // takeoverEnd has passed
	sequence           uint64        // of the last grant to any server
	servers            map[string]*server
	order              []*server // in order of creation, for deterministic output
	shards             map[Shard]*shardState
	priorLeasesUnknown map[string]int // by service: number of servers whose leases from previous managers are unknown
	dirty              []*server      // servers with dirty set, until their next grant
	actions            []Action       // output of the current step
}

// NewTable returns the table of a manager that starts its term at the clock
// reading now.
func NewTable(cfg Config, now time.Duration) *Table {
	bound := time.Duration(float64(cfg.Duration) * (1 + cfg.DriftBound) / (1 - cfg.DriftBound))
	return &Table{
		cfg: cfg, leaseBound: bound, takeoverEnd: now + max(cfg.TakeoverWait, bound),
		servers: make(map[string]*server), shards: make(map[Shard]*shardState),
		priorLeasesUnknown: make(map[string]int),
	}
}

// Step handles an event at the clock reading now and returns the resulting
// actions in order. Successive clock readings must not decrease.
func (t *Table) Step(now time.Duration, ev Event) []Action {
	t.actions = nil
	switch ev := ev.(type) {
	case Assigned:
		for _, a := range ev.Assignments {
			t.assign(now, a)
		}
	case ServerAdded:
		t.add(now, ev.Server, ev.Service)
	case ServerRemoved:
		t.remove(now, ev.Server)
	case Reply:
		t.reply(now, ev)
	case Blocked:
		st := t.shard(ev.Shard)
		st.blocked = ev.Blocked
		t.markDirty(st.owner)
	case Tick:
		t.tick(now)
	}
	t.flush(now)
	actions := t.actions
	t.actions = nil
	return actions
}

// Holder returns the server that confirmed that it holds the shard, and its
// fencing token. ok is false if there is none.
func (t *Table) Holder(s Shard) (server string, fence uint64, ok bool) {
	if st := t.shards[s]; st != nil {
		for _, h := range st.holdings {
			if h.confirmed {
				return h.server.name, h.fence, true
			}
		}
	}
	return "", 0, false
}

// MayHold returns the names of the servers that are recorded as possible holders
// of the shard at now, sorted. Until the takeover ends, a server that has not
// answered yet may hold the shard without being included.
func (t *Table) MayHold(s Shard, now time.Duration) []string {
	var names []string
	if st := t.shards[s]; st != nil {
		for _, h := range st.holdings {
			if h.until > now {
				names = append(names, h.server.name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// HighestFence returns the highest fencing token that was granted or reported for
// the shard, or 0 if there is none.
func (t *Table) HighestFence(s Shard) uint64 {
	if st := t.shards[s]; st != nil {
		return st.highest
	}
	return 0
}

// LostServers returns the names of the servers that are lost (see Lost), sorted.
func (t *Table) LostServers() []string {
	var names []string
	for _, v := range t.order {
		if v.lost {
			names = append(names, v.name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// markDirty marks a server whose grantable shards may have changed, so that the
// next grant is sent early. A nil server is ignored.
func (t *Table) markDirty(v *server) {
	if v != nil && !v.dirty {
		v.dirty = true
		t.dirty = append(t.dirty, v)
	}
}

// tick removes ended leases before it sends grants, so that shards that became
// free are granted in the same step.
func (t *Table) tick(now time.Duration) {
	if !t.takenOver && now >= t.takeoverEnd {
		t.takenOver = true
		for _, v := range t.order {
			t.markDirty(v)
		}
	}
	for _, v := range t.order {
		t.expire(now, v)
	}
	remaining := t.order[:0]
	for _, v := range t.order {
		if t.removable(now, v) {
			t.recordPriorLeasesKnown(v)
			delete(t.servers, v.name)
			continue
		}
		remaining = append(remaining, v)
		if t.due(now, v) {
			t.send(now, v)
		}
	}
	clear(t.order[len(remaining):])
	t.order = remaining
}

// flush sends the grants that became due through the current event.
func (t *Table) flush(now time.Duration) {
	waiting := t.dirty[:0]
	for _, v := range t.dirty {
		if v.dirty && t.due(now, v) {
			t.send(now, v)
		}
		if v.dirty {
			waiting = append(waiting, v)
		}
	}
	t.dirty = waiting
}
