package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

type call struct {
	at    time.Duration
	order int
	run   func()
}

type calls []call

func (c calls) Len() int      { return len(c) }
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c calls) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].order < c[j].order
}
func (c *calls) Push(x any) { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

type clock struct {
	rate   float64
	offset time.Duration
}

type held struct {
	fence           uint64
	until, released time.Duration // on the own clock; released 0: not left out
}

// target is the model of a server.
type target struct {
	clock
	name        string
	boot        int
	frozenUntil time.Duration
	term, seq   uint64
	holds       map[Shard]held
	highest     map[Shard]uint64
}

// rules are the rules of servers that a test can remove.
type rules struct{ fromArrival, anySequence, anyBoot bool }

// world runs a manager and its servers; its time is the real time.
type world struct {
	rules
	rng        *rand.Rand
	now        time.Duration
	queue      calls
	order      int
	faults     bool
	targets    []*target
	shards     []Shard
	assigned   map[Shard]Assignment // the log
	table      *Table
	term       uint64
	manager    clock
	idle       time.Duration // no manager before
	violations int
	granted    map[Shard]time.Duration
	dead       *target
}

func (w *world) read(c clock) time.Duration { return c.offset + time.Duration(c.rate*float64(w.now)) }

func (w *world) newClock() clock {
	return clock{1 + 0.02*(w.rng.Float64()-0.5), time.Duration(1+w.rng.IntN(1000)) * time.Second}
}

func newWorld(seed uint64, servers, shards int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: true,
		assigned: map[Shard]Assignment{}, granted: map[Shard]time.Duration{}}
	for i := range servers {
		w.targets = append(w.targets, &target{clock: w.newClock(), name: fmt.Sprintf("t%d", i),
			holds: map[Shard]held{}, highest: map[Shard]uint64{}})
	}
	for i := range shards {
		w.shards = append(w.shards, Shard{"s", i})
		w.move(w.shards[i])
	}
	w.takeOver()
	return w
}

// move assigns a shard anew. The former owner is a standby by chance only.
func (w *world) move(s Shard) Assigned {
	a := Assignment{Shard: s, Fence: w.assigned[s].Fence + 1024}
	a.Owner = w.targets[w.rng.IntN(len(w.targets))].name
	a.Standbys = []string{w.targets[w.rng.IntN(len(w.targets))].name}
	w.assigned[s] = a
	return Assigned{[]Assignment{a}}
}

// takeOver replaces the table by that of a new manager.
func (w *world) takeOver() {
	w.term++
	w.manager = w.newClock()
	w.table = NewTable(DefaultConfig(), w.read(w.manager))
	for _, t := range w.targets {
		w.step(ServerAdded{t.name, "s"})
	}
	for _, s := range w.shards {
		w.step(Assigned{[]Assignment{w.assigned[s]}})
	}
}

func (w *world) step(ev Event) {
	for _, a := range w.table.Step(w.read(w.manager), ev) {
		switch a := a.(type) {
		case Grant:
			w.sendGrant(a)
		case Granted:
			w.granted[a.Shard] = w.now
		case Lost:
			for _, s := range w.shards {
				if w.assigned[s].Owner == a.Server {
					ev := w.move(s)
					w.later(0, func() { w.step(ev) })
				}
			}
		case FenceStale:
			ev := w.move(a.Shard)
			w.later(0, func() { w.step(ev) })
		}
	}
}

func (w *world) later(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, call{w.now + delay, w.order, run})
}

// carry delivers a message never, once or twice, and in any order.
func (w *world) carry(run func()) {
	copies := 1
	if w.faults {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[w.rng.IntN(8)]
	}
	for range copies {
		delay := time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
		if w.faults && w.rng.IntN(5) == 0 {
			delay = time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
		}
		w.later(delay, run)
	}
}

func (w *world) sendGrant(g Grant) {
	term := w.term
	for _, t := range w.targets {
		if t.name == g.Server {
			w.carry(func() { w.receive(t, term, g) })
		}
	}
}

func (w *world) receive(t *target, term uint64, g Grant) {
	if t == w.dead {
		return
	}
	if w.now < t.frozenUntil {
		w.later(t.frozenUntil-w.now, func() { w.receive(t, term, g) })
		return
	}
	r := Reply{Server: t.name, Sequence: g.Sequence, BootID: fmt.Sprint(t.boot), Refused: term < t.term}
	if term > t.term {
		t.term, t.seq = term, 0
	}
	known := w.anyBoot || g.BootID == r.BootID
	if !r.Refused && (g.Sequence > t.seq || w.anySequence) {
		t.seq = g.Sequence
		if g.Echo > 0 && known {
			w.apply(t, g)
		}
	}
	r.Clock = w.read(t.clock)
	for _, s := range w.shards {
		if h, ok := t.holds[s]; ok && t.valid(h, r.Clock) {
			r.Holds = append(r.Holds, Hold{s, h.fence})
		}
		if f := t.highest[s]; f > 0 {
			r.Highest = append(r.Highest, Hold{s, f})
		}
	}
	w.carry(func() {
		if w.now >= w.idle && term == w.term {
			w.step(r)
		}
	})
}

func (t *target) valid(h held, now time.Duration) bool {
	return now < h.until && (h.released == 0 || now < h.released)
}

// apply replaces the set of shards; a busy one that is left out goes later.
func (w *world) apply(t *target, g Grant) {
	now := w.read(t.clock)
	for s, h := range t.holds {
		if h.released == 0 {
			h.released = now + time.Duration(int64(s.Index%3)*int64(100*time.Millisecond))
		}
		t.holds[s] = h
	}
	until := g.Echo + g.Duration
	if w.fromArrival {
		until = now + g.Duration
	}
	for _, s := range g.Shards {
		t.holds[s.Shard] = held{fence: s.Fence, until: until}
		t.highest[s.Shard] = max(t.highest[s.Shard], s.Fence)
		w.check(t, s.Shard)
	}
}

// check counts other servers with a valid lease. A lease becomes valid on the
// arrival of a grant only, so that no overlap is missed.
func (w *world) check(t *target, s Shard) {
	if !t.valid(t.holds[s], w.read(t.clock)) {
		return
	}
	for _, other := range w.targets {
		if h, ok := other.holds[s]; ok && other != t && other.valid(h, w.read(other.clock)) {
			w.violations++
		}
	}
}

func (w *world) run(length time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now + length; w.now < end; {
		next := w.now + tick
		for len(w.queue) > 0 && w.queue[0].at <= next {
			c := heap.Pop(&w.queue).(call)
			w.now = max(w.now, c.at)
			c.run()
		}
		w.now = next
		if w.faults {
			w.fault()
		}
		if w.idle > 0 && w.now >= w.idle {
			w.idle = 0
			w.takeOver()
		}
		if w.idle == 0 {
			w.step(Tick{})
		}
	}
}

func (w *world) fault() {
	t := w.targets[w.rng.IntN(len(w.targets))]
	switch w.rng.IntN(60) {
	case 0:
		t.frozenUntil = w.now + time.Duration(w.rng.Int64N(int64(3*time.Second)))
	case 1:
		t.boot, t.term, t.seq, t.frozenUntil = t.boot+1, 0, 0, 0
		t.holds, t.highest = map[Shard]held{}, map[Shard]uint64{}
	case 2, 3, 4:
		if s := w.shards[w.rng.IntN(len(w.shards))]; w.idle == 0 {
			w.step(w.move(s))
		}
	case 5:
		if w.rng.IntN(3) == 0 && w.idle == 0 {
			w.idle = w.now + time.Duration(w.rng.Int64N(int64(300*time.Millisecond)))
		}
	}
}
