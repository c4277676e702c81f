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

// TestMain makes runs reproducible: unless -rapid.seed is set, the seed is 1.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	clusterSize = 8
	tick        = 10 * time.Millisecond
)

// delivery is a message in flight; order breaks ties between equal times.
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
	node         *Node
	rate         float64       // of the member's clock relative to cluster.now
	offset       time.Duration // of the member's clock: its reading when cluster.now is 0
	pausedAt     time.Duration
	pausedUntil  time.Duration
	clockStopped bool // the member's clock stands still during the pause
	downUntil    time.Duration
	partition    int // members in different partitions cannot reach each other
	inbox        []delivery
}

// cluster runs members on a simulated network. now is the simulated real time, from
// which the members' clocks differ.
type cluster struct {
	rng                   *rand.Rand
	now                   time.Duration
	names                 []string
	members               []*member
	queue                 deliveries
	sendCount             int
	lossShare, delayShare float64 // shares of lost and of delayed messages
	forgetPromises        bool    // members forget their promises, which breaks the protocol
	highestLoggedTerm     uint64  // highest term in the control log
	overlaps              int
	lastActingAt          time.Duration // last time at which there was a manager
	longestGap            time.Duration
	gaps                  []time.Duration
}

func newCluster(seed uint64) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range clusterSize {
		c.names = append(c.names, fmt.Sprintf("vm-%d", i))
	}
	for range clusterSize {
		m := &member{rate: 1 + 0.02*(c.rng.Float64()-0.5)}
		c.members = append(c.members, m)
	}
	for i := range c.members {
		c.startProcess(i)
	}
	return c
}

// startProcess starts the process of a member with a random clock reading.
func (c *cluster) startProcess(i int) {
	m := c.members[i]
	m.offset, m.inbox = time.Duration(c.rng.Int64N(int64(time.Second)))-c.elapsed(m), nil
	m.node = New(DefaultConfig(c.names[i]), c.clock(m), rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	c.step(i, MembersChanged{Members: c.names})
	if c.rng.IntN(2) == 0 { // otherwise the control log is unavailable
		c.step(i, TermSeen{Term: c.highestLoggedTerm})
	}
}

func (c *cluster) elapsed(m *member) time.Duration      { return time.Duration(m.rate * float64(c.now)) }
func (c *cluster) clock(m *member) time.Duration        { return m.offset + c.elapsed(m) }
func (c *cluster) running(m *member) bool               { return c.now >= m.downUntil && c.now >= m.pausedUntil }
func (c *cluster) randomDuration(n int64) time.Duration { return time.Duration(c.rng.Int64N(n)) }
func (c *cluster) reachable(a, b int) bool              { return c.members[a].partition == c.members[b].partition }
func (c *cluster) acting(m *member) (uint64, bool)      { return m.node.Acting(c.clock(m)) }

// step applies an event to a member and then counts the other managers if the member
// is one. A member starts to act only in its own step, so this misses no overlap.
func (c *cluster) step(i int, ev Event) {
	m := c.members[i]
	if _, ok := ev.(Received); ok && c.forgetPromises {
		m.node.promise.until = c.clock(m)
	}
	for _, a := range m.node.Step(c.clock(m), ev) {
		switch a := a.(type) {
		case Send:
			c.send(i, a)
		case Acquired:
			c.highestLoggedTerm = max(c.highestLoggedTerm, a.Term)
		}
	}
	if _, ok := c.acting(m); !ok {
		return
	}
	for j, other := range c.members {
		if _, ok := c.acting(other); ok && j != i && c.now >= other.downUntil &&
			(c.now >= other.pausedUntil || !other.clockStopped) {
			c.overlaps++
		}
	}
}

func (c *cluster) send(from int, s Send) {
	to := 0
	for c.names[to] != s.To {
		to++
	}
	if c.rng.Float64() < c.lossShare || !c.reachable(from, to) {
		return
	}
	delay := time.Millisecond + c.randomDuration(int64(4*time.Millisecond))
	if c.rng.Float64() < c.delayShare {
		delay = c.randomDuration(int64(600 * time.Millisecond))
	}
	c.sendCount++
	heap.Push(&c.queue, delivery{at: c.now + delay, order: c.sendCount, from: from, to: to, message: s.Message})
}

func (c *cluster) deliver(d delivery) {
	m := c.members[d.to]
	switch {
	case c.now < m.downUntil || !c.reachable(d.from, d.to):
	case c.now < m.pausedUntil:
		m.inbox = append(m.inbox, d)
	default:
		c.step(d.to, Received{From: c.names[d.from], Message: d.message})
	}
}

func (c *cluster) pause(i int, length time.Duration, clockStopped bool) {
	m := c.members[i]
	m.pausedAt, m.pausedUntil, m.clockStopped = c.now, c.now+length, clockStopped
}

func (c *cluster) resume(i int) {
	m := c.members[i]
	if m.clockStopped {
		m.offset -= time.Duration(m.rate * float64(c.now-m.pausedAt))
		c.step(i, ClockJumped{})
	}
	inbox := m.inbox
	m.pausedUntil, m.inbox = 0, nil
	for _, d := range inbox {
		c.deliver(d)
	}
}

func (c *cluster) kill(i int, length time.Duration) {
	c.members[i].downUntil, c.members[i].pausedUntil = c.now+length, 0
}

// run advances the simulated time. It calls faults, if not nil, before each tick.
func (c *cluster) run(length time.Duration, faults func()) {
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

func (c *cluster) tickAll() {
	acting := false
	for i, m := range c.members {
		if m.downUntil > 0 && c.now >= m.downUntil {
			m.downUntil = 0
			c.startProcess(i)
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
		if gap := c.now - c.lastActingAt; gap > tick {
			c.gaps = append(c.gaps, gap)
			c.longestGap = max(c.longestGap, gap)
		}
		c.lastActingAt = c.now
	}
}

// injectFault injects a random pause, restart, partition or repair, about one per
// second.
func (c *cluster) injectFault() {
	if c.rng.IntN(100) != 0 {
		return
	}
	i := c.rng.IntN(clusterSize)
	length := c.randomDuration(int64(4 * time.Second))
	switch kind := c.rng.IntN(6); {
	case kind < 2 && c.running(c.members[i]):
		c.pause(i, length, kind == 0)
	case kind == 2:
		// The restarts take less than Config.Promise, so that promises made by the
		// former processes still count.
		for k := range 1 + c.rng.IntN(4) {
			c.kill((i+k)%clusterSize, length/20)
		}
	case kind == 3:
		for _, m := range c.members {
			m.partition = c.rng.IntN(2)
		}
	default:
		c.heal()
	}
}

func (c *cluster) heal() {
	for _, m := range c.members {
		m.partition = 0
	}
}

// endFaults ends all faults: no message is lost or delayed beyond the normal
// latency, and every process runs.
func (c *cluster) endFaults() {
	c.heal()
	c.lossShare, c.delayShare = 0, 0
	for _, m := range c.members {
		m.downUntil, m.pausedUntil = min(m.downUntil, c.now), min(m.pausedUntil, c.now)
	}
}
