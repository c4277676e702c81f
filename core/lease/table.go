package lease

import (
	"slices"
	"time"
)

// Table is the state of one manager's term. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// bound is how long a server may hold a lease, on this clock, after the
	// reply that the lease's echo came in. Both clocks may drift.
	bound       time.Duration
	takeoverEnd time.Duration // leases of the managers before are over
	takenOver   bool
	sequence    uint64 // of the last grant to any server
	servers     map[string]*server
	order       []*server // by time of creation, for a deterministic output
	shards      map[Shard]*shardState
	unsettled   map[string]int // by service: servers that have not answered
	dirty       []*server
	out         []Action
}

// NewTable returns the table of a manager that begins to act at now.
func NewTable(cfg Config, now time.Duration) *Table {
	bound := time.Duration(float64(cfg.Duration) * (1 + cfg.DriftBound) / (1 - cfg.DriftBound))
	return &Table{
		cfg: cfg, bound: bound, takeoverEnd: now + max(cfg.TakeoverWait, bound),
		servers: make(map[string]*server), shards: make(map[Shard]*shardState),
		unsettled: make(map[string]int),
	}
}

// Step handles an event at the clock reading now, which must not decrease.
func (t *Table) Step(now time.Duration, ev Event) []Action {
	t.out = nil
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
		t.touch(st.owner)
	case Tick:
		t.tick(now)
	}
	t.flush(now)
	out := t.out
	t.out = nil
	return out
}

// Holder returns the server that confirmed the shard, and the fence.
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

// MayHold returns the servers known to possibly hold the shard at now. During
// a takeover servers that have not answered yet may hold it too.
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

// HighestFence returns the highest fence that the shard was granted or
// reported with.
func (t *Table) HighestFence(s Shard) uint64 {
	if st := t.shards[s]; st != nil {
		return st.highest
	}
	return 0
}

// LostServers returns the servers that are lost, sorted.
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

func (t *Table) emit(a Action) { t.out = append(t.out, a) }

// touch marks a server whose set of shards may have changed.
func (t *Table) touch(v *server) {
	if v != nil && !v.dirty {
		v.dirty = true
		t.dirty = append(t.dirty, v)
	}
}

// tick ends leases before it sends grants, so that what became free is offered
// at once.
func (t *Table) tick(now time.Duration) {
	if !t.takenOver && now >= t.takeoverEnd {
		t.takenOver = true
		for _, v := range t.order {
			t.touch(v)
		}
	}
	for _, v := range t.order {
		t.expire(now, v)
	}
	keep := t.order[:0]
	for _, v := range t.order {
		if t.forgettable(now, v) {
			t.settle(v)
			delete(t.servers, v.name)
			continue
		}
		keep = append(keep, v)
		if t.due(now, v) {
			t.send(now, v)
		}
	}
	clear(t.order[len(keep):])
	t.order = keep
}

// flush sends the grants that became due by this event.
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
