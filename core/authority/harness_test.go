package authority

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// TestMain fixes the seed of rapid, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	cellSize = 8
	tick     = 10 * time.Millisecond
)

type delivery struct {
	at       time.Duration
	order    int
	from, to int
	message  Message
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

type member struct {
	node        *Node
	rate        float64       // of the own clock
	offset      time.Duration // of the own clock
	pausedAt    time.Duration
	pausedUntil time.Duration
	stopped     bool // the own clock stands still during the pause
	downUntil   time.Duration
	group       int // members of different groups do not reach each other
	inbox       []delivery
}

// cell runs members on a simulated network; its time is the real time.
type cell struct {
	rng           *rand.Rand
	now           time.Duration
	names         []string
	members       []*member
	queue         deliveries
	sent          int
	loss, slow    float64 // shares of lost and of delayed messages
	ignorePromise bool    // supporters forget their promises
	logged        uint64  // highest term in the control log
	overlaps      int
	actingAt      time.Duration // last instant with a manager
	longestGap    time.Duration
	gaps          []time.Duration
}

func newCell(seed uint64) *cell {
	c := &cell{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range cellSize {
		c.names = append(c.names, fmt.Sprintf("vm-%d", i))
	}
	for range cellSize {
		m := &member{rate: 1 + 0.02*(c.rng.Float64()-0.5)}
		c.members = append(c.members, m)
	}
	for i := range c.members {
		c.start(i)
	}
	return c
}

// start starts the process of a member; its clock starts anywhere.
func (c *cell) start(i int) {
	m := c.members[i]
	m.offset, m.inbox = time.Duration(c.rng.Int64N(int64(time.Second)))-c.scaled(m), nil
	m.node = New(DefaultConfig(c.names[i]), c.clock(m), rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	c.step(i, MembersChanged{Members: c.names})
	if c.rng.IntN(2) == 0 { // otherwise the log is down
		c.step(i, TermSeen{Term: c.logged})
	}
}

func (c *cell) scaled(m *member) time.Duration  { return time.Duration(m.rate * float64(c.now)) }
func (c *cell) clock(m *member) time.Duration   { return m.offset + c.scaled(m) }
func (c *cell) running(m *member) bool          { return c.now >= m.downUntil && c.now >= m.pausedUntil }
func (c *cell) between(n int64) time.Duration   { return time.Duration(c.rng.Int64N(n)) }
func (c *cell) reachable(a, b int) bool         { return c.members[a].group == c.members[b].group }
func (c *cell) acting(m *member) (uint64, bool) { return m.node.Acting(c.clock(m)) }

// step runs one event on a member and then looks for a second manager. A
// member begins to act in its own step only, so that no overlap is missed.
func (c *cell) step(i int, ev Event) {
	m := c.members[i]
	if _, ok := ev.(Received); ok && c.ignorePromise {
		m.node.promise.until = c.clock(m)
	}
	for _, a := range m.node.Step(c.clock(m), ev) {
		switch a := a.(type) {
		case Send:
			c.send(i, a)
		case Acquired:
			c.logged = max(c.logged, a.Term)
		}
	}
	if _, ok := c.acting(m); !ok {
		return
	}
	for j, other := range c.members {
		if _, ok := c.acting(other); ok && j != i && c.now >= other.downUntil &&
			(c.now >= other.pausedUntil || !other.stopped) {
			c.overlaps++
		}
	}
}

func (c *cell) send(from int, s Send) {
	to := 0
	for c.names[to] != s.To {
		to++
	}
	if c.rng.Float64() < c.loss || !c.reachable(from, to) {
		return
	}
	delay := time.Millisecond + c.between(int64(4*time.Millisecond))
	if c.rng.Float64() < c.slow {
		delay = c.between(int64(600 * time.Millisecond))
	}
	c.sent++
	heap.Push(&c.queue, delivery{at: c.now + delay, order: c.sent, from: from, to: to, message: s.Message})
}

func (c *cell) deliver(d delivery) {
	m := c.members[d.to]
	switch {
	case c.now < m.downUntil || !c.reachable(d.from, d.to):
	case c.now < m.pausedUntil:
		m.inbox = append(m.inbox, d)
	default:
		c.step(d.to, Received{From: c.names[d.from], Message: d.message})
	}
}

func (c *cell) pause(i int, length time.Duration, stopped bool) {
	m := c.members[i]
	m.pausedAt, m.pausedUntil, m.stopped = c.now, c.now+length, stopped
}

func (c *cell) resume(i int) {
	m := c.members[i]
	if m.stopped {
		m.offset -= time.Duration(m.rate * float64(c.now-m.pausedAt))
		c.step(i, ClockJumped{})
	}
	inbox := m.inbox
	m.pausedUntil, m.inbox = 0, nil
	for _, d := range inbox {
		c.deliver(d)
	}
}

func (c *cell) kill(i int, length time.Duration) {
	c.members[i].downUntil, c.members[i].pausedUntil = c.now+length, 0
}

// run advances the cell; faults, if any, is called before each tick.
func (c *cell) run(length time.Duration, faults func()) {
	for end := c.now + length; c.now < end; {
		next := c.now + tick
		for len(c.queue) > 0 && c.queue[0].at <= next {
			d := heap.Pop(&c.queue).(delivery)
			c.now = max(c.now, d.at)
			c.deliver(d)
		}
		c.now = next
		if faults != nil {
			faults()
		}
		c.tickAll()
	}
}

func (c *cell) tickAll() {
	acting := false
	for i, m := range c.members {
		if m.downUntil > 0 && c.now >= m.downUntil {
			m.downUntil = 0
			c.start(i)
		}
		if m.pausedUntil > 0 && c.now >= m.pausedUntil {
			c.resume(i)
		}
		if c.running(m) {
			c.step(i, Tick{})
			_, ok := c.acting(m)
			acting = acting || ok
		}
	}
	if acting {
		if gap := c.now - c.actingAt; gap > tick {
			c.gaps = append(c.gaps, gap)
			c.longestGap = max(c.longestGap, gap)
		}
		c.actingAt = c.now
	}
}

// anyFault injects pauses, restarts and partitions, about one a second.
func (c *cell) anyFault() {
	if c.rng.IntN(100) != 0 {
		return
	}
	i := c.rng.IntN(cellSize)
	length := c.between(int64(4 * time.Second))
	switch kind := c.rng.IntN(6); {
	case kind < 2 && c.running(c.members[i]):
		c.pause(i, length, kind == 0)
	case kind == 2:
		// Short restarts: the former promises of the members still count.
		for k := range 1 + c.rng.IntN(4) {
			c.kill((i+k)%cellSize, length/20)
		}
	case kind == 3:
		for _, m := range c.members {
			m.group = c.rng.IntN(2)
		}
	default:
		c.heal()
	}
}

func (c *cell) heal() {
	for _, m := range c.members {
		m.group = 0
	}
}

// calm ends all faults: the network is good and every process runs.
func (c *cell) calm() {
	c.heal()
	c.loss, c.slow = 0, 0
	for _, m := range c.members {
		m.downUntil, m.pausedUntil = min(m.downUntil, c.now), min(m.pausedUntil, c.now)
	}
}
