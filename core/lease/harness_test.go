package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// scheduledCall is a function that the simulation runs at a point in time.
type scheduledCall struct {
	at    time.Duration
	order int // breaks ties: calls for the same time run in the order of scheduling
	run   func()
}

// callQueue is a priority queue by time.
type callQueue []scheduledCall

func (c callQueue) Len() int      { return len(c) }
func (c callQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c callQueue) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].order < c[j].order
}
func (c *callQueue) Push(x any) { *c = append(*c, x.(scheduledCall)) }
func (c *callQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// clock is a local clock that differs from the simulated time by rate and offset.
type clock struct {
	rate   float64
	offset time.Duration
}

// heldLease is a lease that a target holds.
type heldLease struct {
	fence uint64
	// until and released are readings of the target's clock. The lease ends at
	// the earlier one; released is 0 unless a grant omitted the shard.
	until, released time.Duration
}

// target simulates a server.
type target struct {
	clock
	name        string
	boot        int
	frozenUntil time.Duration // processes no message before this time
	term, seq   uint64        // of the newest grant received
	holds       map[Shard]heldLease
	highest     map[Shard]uint64 // highest fencing token ever held
}

// disabledRules disables rules that servers follow, so that a test can check that
// the simulation detects the violation. leaseFromArrival counts leases from the
// arrival of the grant instead of its echo, acceptAnySequence accepts grants older
// than the newest one, and acceptAnyBoot accepts grants to an earlier process.
type disabledRules struct{ leaseFromArrival, acceptAnySequence, acceptAnyBoot bool }

// simulation runs a manager and its servers in simulated time.
type simulation struct {
	disabledRules
	rng            *rand.Rand
	now            time.Duration // simulated time
	queue          callQueue
	order          int
	faults         bool
	targets        []*target
	shards         []Shard
	assigned       map[Shard]Assignment // as recorded in the log
	table          *Table
	term           uint64
	manager        clock
	noManagerUntil time.Duration           // until this time there is no manager; 0 if there is one
	violations     int                     // times that a second server held a valid lease on a shard
	confirmedAt    map[Shard]time.Duration // time of the last confirmation
	lostTarget     *target                 // receives no messages
}

func (sim *simulation) clockReading(c clock) time.Duration {
	return c.offset + time.Duration(c.rate*float64(sim.now))
}

func (sim *simulation) newClock() clock {
	return clock{1 + 0.02*(sim.rng.Float64()-0.5), time.Duration(1+sim.rng.IntN(1000)) * time.Second}
}

func newSimulation(seed uint64, servers, shards int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: true,
		assigned: map[Shard]Assignment{}, confirmedAt: map[Shard]time.Duration{}}
	for i := range servers {
		sim.targets = append(sim.targets, &target{clock: sim.newClock(), name: fmt.Sprintf("t%d", i),
			holds: map[Shard]heldLease{}, highest: map[Shard]uint64{}})
	}
	for i := range shards {
		sim.shards = append(sim.shards, Shard{"s", i})
		sim.reassign(sim.shards[i])
	}
	sim.takeOver()
	return sim
}

// reassign assigns a shard to a random owner and a random standby, with a higher
// fencing token. Both can be the previous owner.
func (sim *simulation) reassign(s Shard) Assigned {
	a := Assignment{Shard: s, Fence: sim.assigned[s].Fence + 1024}
	a.Owner = sim.targets[sim.rng.IntN(len(sim.targets))].name
	a.Standbys = []string{sim.targets[sim.rng.IntN(len(sim.targets))].name}
	sim.assigned[s] = a
	return Assigned{[]Assignment{a}}
}

// takeOver starts a new manager with an empty table, in a new term.
func (sim *simulation) takeOver() {
	sim.term++
	sim.manager = sim.newClock()
	sim.table = NewTable(DefaultConfig(), sim.clockReading(sim.manager))
	for _, t := range sim.targets {
		sim.step(ServerAdded{t.name, "s"})
	}
	for _, s := range sim.shards {
		sim.step(Assigned{[]Assignment{sim.assigned[s]}})
	}
}

// step passes an event to the manager's table and carries out the actions.
func (sim *simulation) step(ev Event) {
	for _, a := range sim.table.Step(sim.clockReading(sim.manager), ev) {
		switch a := a.(type) {
		case Grant:
			sim.sendGrant(a)
		case Granted:
			sim.confirmedAt[a.Shard] = sim.now
		case Lost:
			for _, s := range sim.shards {
				if sim.assigned[s].Owner == a.Server {
					ev := sim.reassign(s)
					sim.schedule(0, func() { sim.step(ev) })
				}
			}
		case FenceStale:
			ev := sim.reassign(a.Shard)
			sim.schedule(0, func() { sim.step(ev) })
		}
	}
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, scheduledCall{sim.now + delay, sim.order, run})
}

// transmit delivers a message. With faults, the message may be lost, duplicated,
// delayed and reordered.
func (sim *simulation) transmit(run func()) {
	copies := 1
	if sim.faults {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[sim.rng.IntN(8)]
	}
	for range copies {
		delay := time.Millisecond + time.Duration(sim.rng.Int64N(int64(4*time.Millisecond)))
		if sim.faults && sim.rng.IntN(5) == 0 {
			delay = time.Duration(sim.rng.Int64N(int64(1500 * time.Millisecond)))
		}
		sim.schedule(delay, run)
	}
}

func (sim *simulation) sendGrant(g Grant) {
	term := sim.term
	for _, t := range sim.targets {
		if t.name == g.Server {
			sim.transmit(func() { sim.receive(t, term, g) })
		}
	}
}

func (sim *simulation) receive(t *target, term uint64, g Grant) {
	if t == sim.lostTarget {
		return
	}
	if sim.now < t.frozenUntil {
		sim.schedule(t.frozenUntil-sim.now, func() { sim.receive(t, term, g) })
		return
	}
	r := Reply{Server: t.name, Sequence: g.Sequence, BootID: fmt.Sprint(t.boot), Refused: term < t.term}
	if term > t.term {
		t.term, t.seq = term, 0
	}
	bootMatches := sim.acceptAnyBoot || g.BootID == r.BootID
	if !r.Refused && (g.Sequence > t.seq || sim.acceptAnySequence) {
		t.seq = g.Sequence
		if g.Echo > 0 && bootMatches {
			sim.apply(t, g)
		}
	}
	r.Clock = sim.clockReading(t.clock)
	for _, s := range sim.shards {
		if h, ok := t.holds[s]; ok && t.valid(h, r.Clock) {
			r.Holds = append(r.Holds, Hold{s, h.fence})
		}
		if f := t.highest[s]; f > 0 {
			r.Highest = append(r.Highest, Hold{s, f})
		}
	}
	sim.transmit(func() {
		if sim.now >= sim.noManagerUntil && term == sim.term {
			sim.step(r)
		}
	})
}

func (t *target) valid(h heldLease, now time.Duration) bool {
	return now < h.until && (h.released == 0 || now < h.released)
}

// apply replaces the set of shards that a target holds. A shard that the grant
// omits is released after up to 200 ms, like a shard with requests in flight.
func (sim *simulation) apply(t *target, g Grant) {
	now := sim.clockReading(t.clock)
	for s, h := range t.holds {
		if h.released == 0 {
			h.released = now + time.Duration(int64(s.Index%3)*int64(100*time.Millisecond))
		}
		t.holds[s] = h
	}
	until := g.Echo + g.Duration
	if sim.leaseFromArrival {
		until = now + g.Duration
	}
	for _, s := range g.Shards {
		t.holds[s.Shard] = heldLease{fence: s.Fence, until: until}
		t.highest[s.Shard] = max(t.highest[s.Shard], s.Fence)
		sim.check(t, s.Shard)
	}
}

// check adds a violation for each other target that holds a valid lease on the
// shard. Leases become valid only when a grant arrives, so checking then finds
// every overlap.
func (sim *simulation) check(t *target, s Shard) {
	if !t.valid(t.holds[s], sim.clockReading(t.clock)) {
		return
	}
	for _, other := range sim.targets {
		if h, ok := other.holds[s]; ok && other != t && other.valid(h, sim.clockReading(other.clock)) {
			sim.violations++
		}
	}
}

// run advances the simulated time by length.
func (sim *simulation) run(length time.Duration) {
	const tick = 20 * time.Millisecond
	for end := sim.now + length; sim.now < end; {
		next := sim.now + tick
		for len(sim.queue) > 0 && sim.queue[0].at <= next {
			c := heap.Pop(&sim.queue).(scheduledCall)
			sim.now = max(sim.now, c.at)
			c.run()
		}
		sim.now = next
		if sim.faults {
			sim.injectFault()
		}
		if sim.noManagerUntil > 0 && sim.now >= sim.noManagerUntil {
			sim.noManagerUntil = 0
			sim.takeOver()
		}
		if sim.noManagerUntil == 0 {
			sim.step(Tick{})
		}
	}
}

// injectFault injects at most one random fault.
func (sim *simulation) injectFault() {
	t := sim.targets[sim.rng.IntN(len(sim.targets))]
	switch sim.rng.IntN(60) {
	case 0:
		t.frozenUntil = sim.now + time.Duration(sim.rng.Int64N(int64(3*time.Second)))
	case 1:
		t.boot, t.term, t.seq, t.frozenUntil = t.boot+1, 0, 0, 0
		t.holds, t.highest = map[Shard]heldLease{}, map[Shard]uint64{}
	case 2, 3, 4:
		if s := sim.shards[sim.rng.IntN(len(sim.shards))]; sim.noManagerUntil == 0 {
			sim.step(sim.reassign(s))
		}
	case 5:
		if sim.rng.IntN(3) == 0 && sim.noManagerUntil == 0 {
			sim.noManagerUntil = sim.now + time.Duration(sim.rng.Int64N(int64(300*time.Millisecond)))
		}
	}
}
