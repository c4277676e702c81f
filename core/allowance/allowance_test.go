package allowance

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var usualBounds = Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// simulation connects the spenders and granters of some VMs. Messages take delay() to arrive;
// a negative delay loses them. Each VM has a clock of its own.
type simulation struct {
	now      time.Duration
	random   *rand.Rand
	bounds   Bounds
	vms      []*simulatedVM
	messages []message
	delay    func(from, to int) time.Duration
	taken    map[string][]time.Duration // by workspace: when requests that were not refunded took a token
}

type simulatedVM struct {
	number  int
	boots   int
	offset  time.Duration // of its clock
	limits  map[string]Limit
	spender *Spender
	granter *Granter // nil if it has none
	granted int      // granters so far
	asks    int      // the VM that it takes for the reader
	due     bool     // a request waits for a report
	again   bool     // a report is due at once
	reports int
	ended   int           // reports that were answered or given up
	sentAt  time.Duration // of the last report
}

// reportTimeout is how long a VM waits for a reply, as in package node/allowance.
const reportTimeout = 300 * ms

// message is in transit; deliver runs on its arrival.
type message struct {
	at      time.Duration
	deliver func()
}

func newSimulation(random *rand.Rand, b Bounds, vms int, limits map[string]Limit) *simulation {
	s := &simulation{random: random, bounds: b, taken: map[string][]time.Duration{}, delay: func(int, int) time.Duration { return 2 * ms }}
	for i := range vms {
		vm := &simulatedVM{number: i, offset: time.Duration(random.Int63n(int64(time.Hour))), limits: limits}
		s.vms = append(s.vms, vm)
		s.restart(vm)
	}
	return s
}

func (vm *simulatedVM) id() string                                  { return fmt.Sprint("vm", vm.number) }
func (vm *simulatedVM) boot() string                                { return fmt.Sprint(vm.boots) }
func (s *simulation) clock(vm *simulatedVM) time.Duration           { return s.now + vm.offset }
func (s *simulation) configure(vm *simulatedVM, l map[string]Limit) { vm.limits = l }

// restart starts another process on the VM, whose clock is another, too.
func (s *simulation) restart(vm *simulatedVM) {
	vm.boots++
	vm.offset += time.Duration(s.random.Int63n(int64(time.Hour)))
	vm.spender, vm.granter, vm.due = NewSpender(s.clock(vm), vm.id(), vm.boot(), s.bounds), nil, false
}

func (s *simulation) lead(vm *simulatedVM) {
	vm.granted++
	vm.granter = NewGranter(vm.id(), vm.boot(), vm.granted, s.bounds)
}

// send delivers a message after a delay, unless it is lost.
func (s *simulation) send(from, to int, deliver func()) {
	if d := s.delay(from, to); d >= 0 {
		s.messages = append(s.messages, message{s.now + d, deliver})
	}
}

// report sends a report of vm, which is also lost if the process has ended on its arrival.
func (s *simulation) report(vm *simulatedVM) {
	vm.reports++
	vm.sentAt = s.now
	spender := vm.spender
	toVM, r := spender.Report(s.clock(vm), s.vms[vm.asks].id())
	to := s.vms[slices.IndexFunc(s.vms, func(o *simulatedVM) bool { return o.id() == toVM })]
	vm.due, vm.again = false, false
	copies := 1
	if s.random.Intn(10) == 0 {
		copies = 2
	}
	for range copies {
		s.send(vm.number, to.number, func() {
			var reply Reply
			if to.granter == nil {
				reply = ReplyWithoutGranter(to.id(), to.boot(), r)
			} else {
				to.granter.Configure(s.clock(to), to.limits, len(s.vms))
				reply = to.granter.Handle(s.clock(to), r)
			}
			s.send(to.number, vm.number, func() {
				if vm.spender == spender {
					vm.ended++
					vm.again = vm.spender.HandleReply(s.clock(vm), reply) || vm.again
				}
			})
		})
	}
}

// step advances the time and delivers messages and reports.
func (s *simulation) step(d time.Duration) {
	s.now += d
	for {
		i := slices.IndexFunc(s.messages, func(m message) bool { return m.at <= s.now })
		if i < 0 {
			break
		}
		m := s.messages[i]
		s.messages = slices.Delete(s.messages, i, i+1)
		m.deliver()
	}
	for _, vm := range s.vms {
		vm.spender.Configure(s.clock(vm), vm.limits, len(s.vms))
		if vm.spender.awaiting {
			if s.now < vm.sentAt+reportTimeout {
				continue
			}
			vm.spender.ReportEnded()
			vm.ended++
		}
		if vm.due && vm.spender.MayReportIn(s.clock(vm)) == 0 || vm.again || vm.spender.ReportIn(s.clock(vm)) == 0 {
			s.report(vm)
		}
	}
}

// take takes a token at vm and reports whether it got one.
func (s *simulation) take(vm *simulatedVM, workspace string, again bool) (Ticket, Outcome) {
	t, o, retryAfter := vm.spender.Take(s.clock(vm), workspace, again)
	switch o {
	case Taken:
		s.taken[workspace] = append(s.taken[workspace], s.now)
	case Ask:
		vm.due = true
	case Denied:
		if retryAfter < 0 || retryAfter > s.bounds.Window {
			panic(fmt.Sprint("Retry-After of ", retryAfter))
		}
	}
	return t, o
}

// mostIn returns the largest number of times in a sliding window, and its end.
func mostIn(times []time.Duration, window time.Duration) (most int, end time.Duration) {
	first := 0
	for i, at := range times {
		for times[first] < at-window {
			first++
		}
		if n := i - first + 1; n > most {
			most, end = n, at
		}
	}
	return most, end
}

// Guards against more requests in a window than the bound allows, whatever becomes of
// messages, VMs, granters and limits.
func TestBoundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		vms := rapid.IntRange(1, 6).Draw(t, "vms")
		low := Limit{Rate: rapid.Float64Range(20, 300).Draw(t, "rate"), Burst: rapid.Float64Range(0, 100).Draw(t, "burst")}
		high := Limit{Rate: low.Rate * rapid.Float64Range(1, 2).Draw(t, "raise"), Burst: low.Burst}
		loss := max(0, rapid.Float64Range(-0.1, 0.1).Draw(t, "loss"))
		late := max(0, rapid.Float64Range(-0.1, 0.1).Draw(t, "late"))
		faults := rapid.Float64Range(0, 0.01).Draw(t, "faults per step")
		refunds := max(0, rapid.Float64Range(-0.2, 0.2).Draw(t, "refunds"))
		switches := rapid.Float64Range(0, 0.05).Draw(t, "changes of the reader per step")
		load := rapid.Float64Range(2, 8).Draw(t, "load")
		everywhere := rapid.Bool().Draw(t, "callers use all VMs")
		bounds := Bounds{Window: 5 * time.Second, Over: 0.1, Slack: rapid.Float64Range(2, 20).Draw(t, "slack")}
		s := newSimulation(random, bounds, vms, map[string]Limit{"w": high})
		cut := make([]int, vms) // sides of a partition
		s.delay = func(from, to int) time.Duration {
			switch x := random.Float64(); {
			case cut[from] != cut[to] || x < loss:
				return -1
			case x < loss+late:
				return time.Duration(random.Int63n(int64(3 * time.Second)))
			}
			return time.Duration(random.Int63n(int64(20 * ms)))
		}
		s.lead(s.vms[0])
		if vms > 1 && rapid.Bool().Draw(t, "two granters") {
			s.lead(s.vms[1])
		}
		const step, length = 10 * ms, 20 * time.Second
		reduceAt := length / 3
		received := make([]time.Duration, vms) // when the VMs receive the lower limit
		for i := range received {
			received[i] = reduceAt + time.Duration(random.Int63n(int64(2500*ms)))
		}
		idleUntil, target := time.Duration(0), 0
		for s.now < length {
			for i, vm := range s.vms {
				if s.now >= received[i] {
					s.configure(vm, map[string]Limit{"w": low})
				}
			}
			if random.Float64() < faults {
				vm := s.vms[random.Intn(vms)]
				switch random.Intn(8) {
				case 0:
					s.restart(vm)
				case 1, 2:
					if vm.granter == nil {
						s.lead(vm) // beside the others
					}
				case 3:
					vm.granter = nil
				case 4:
					for i := range cut {
						cut[i] = random.Intn(2)
					}
				case 5:
					clear(cut)
				case 6, 7: // requests stop, so that buckets fill up
					idleUntil = s.now + time.Duration(random.Int63n(int64(2*time.Second)))
				}
			}
			if random.Float64() < switches { // VMs differ in which one they take for the reader
				vm, reader := s.vms[random.Intn(vms)], random.Intn(vms)
				if s.vms[reader].granter != nil || random.Intn(10) == 0 {
					vm.asks = reader
				}
			}
			s.step(step)
			if s.now < idleUntil {
				continue
			}
			rate := load * low.Rate * step.Seconds()
			n := int(rate + random.Float64())
			for range n {
				if everywhere || random.Intn(500) == 0 {
					target = random.Intn(vms)
				}
				vm := s.vms[target]
				ticket, o := s.take(vm, "w", false)
				if o == Taken && random.Float64() < refunds { // it is refused later and was not run
					at, spender := s.now, vm.spender
					s.messages = append(s.messages, message{s.now + time.Duration(random.Int63n(int64(600*ms))), func() {
						i, _ := slices.BinarySearch(s.taken["w"], at)
						s.taken["w"] = slices.Delete(s.taken["w"], i, i+1)
						spender.Refund(s.clock(vm), "w", ticket)
					}})
				}
			}
		}
		bound := func(l Limit) float64 {
			b := s.bounds
			return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Over) + b.Slack
		}
		most, end := mostIn(s.taken["w"], s.bounds.Window)
		if float64(most) > bound(high) {
			t.Fatalf("%d requests in the window that ends at %v, bound %.1f", most, end, bound(high))
		}
		reduced := slices.Max(received) + s.bounds.Window
		i, _ := slices.BinarySearch(s.taken["w"], reduced)
		most, end = mostIn(s.taken["w"][i:], s.bounds.Window)
		if float64(most) > bound(low) {
			t.Fatalf("%d requests in the window that ends at %v, bound of the reduced limit %.1f", most, end, bound(low))
		}
	})
}

// load sends the requests of one workspace for a while and counts those that are refused.
// A request that has to ask is decided by the reply, as in package node/allowance.
type load struct {
	workspace  string
	perSecond  float64
	vms        func(now time.Duration) []int // the VMs that its callers use
	sent, lost int
}

func (s *simulation) run(length time.Duration, loads ...*load) {
	type waiting struct {
		vm    *simulatedVM
		l     *load
		until time.Duration
		ended int // vm.ended at the last Take
	}
	var waits []waiting
	for end := s.now + length; s.now < end; {
		s.step(ms)
		for _, l := range loads {
			for x := random(s.random, l.perSecond/1000); x > 0; x-- {
				among := l.vms(s.now)
				vm := s.vms[among[s.random.Intn(len(among))]]
				l.sent++
				switch _, o := s.take(vm, l.workspace, false); o {
				case Denied:
					l.lost++
				case Ask:
					waits = append(waits, waiting{vm, l, s.now + reportTimeout, vm.ended})
				}
			}
		}
		kept := waits[:0]
		for _, w := range waits {
			if w.ended != w.vm.ended {
				w.ended = w.vm.ended
				if _, o := s.take(w.vm, w.l.workspace, true); o != Ask {
					if o == Denied {
						w.l.lost++
					}
					continue
				}
			}
			if s.now >= w.until {
				w.l.lost++
				continue
			}
			kept = append(kept, w)
		}
		waits = kept
	}
}

// random returns a Poisson number for a small mean.
func random(r *rand.Rand, mean float64) int {
	n := 0
	for x := r.ExpFloat64(); x < mean; x += r.ExpFloat64() {
		n++
	}
	return n
}

func vmsFrom(first, n int) func(time.Duration) []int {
	var out []int
	for i := range n {
		out = append(out, first+i)
	}
	return func(time.Duration) []int { return out }
}

// Load pattern: one workspace at 7 times its usual load, beside others that use most of
// their allowances, from all VMs, from a few, and from VMs that change. Guards against
// refusals below the limit, against a workspace that gets less than its allowance, and
// against reports that grow with the load.
func TestOneWorkspaceAtSevenTimesItsLoad(t *testing.T) {
	for seed := range int64(5) {
		testOneWorkspaceAtSevenTimesItsLoad(t, seed)
	}
}

func testOneWorkspaceAtSevenTimesItsLoad(t *testing.T, seed int64) {
	const vms = 40
	s := newSimulation(rand.New(rand.NewSource(seed)), usualBounds, vms, map[string]Limit{
		"greedy": {Rate: 100, Burst: 50}, "all": {Rate: 100, Burst: 50}, "few": {Rate: 200, Burst: 100}, "moving": {Rate: 60, Burst: 30}, "small": {Rate: 10, Burst: 5},
	})
	s.lead(s.vms[0])
	loads := []*load{
		{workspace: "greedy", perSecond: 560, vms: vmsFrom(0, vms)},
		{workspace: "all", perSecond: 80, vms: vmsFrom(0, vms)},
		{workspace: "few", perSecond: 160, vms: vmsFrom(3, 2)},
		{workspace: "moving", perSecond: 48, vms: func(now time.Duration) []int { return vmsFrom(int(now/(400*ms))*7%vms, 1)(now) }},
		{workspace: "small", perSecond: 7, vms: vmsFrom(0, vms)},
	}
	s.run(3 * time.Second) // until the granter has the support of all VMs and full buckets
	s.taken = map[string][]time.Duration{}
	reports := 0
	for _, vm := range s.vms {
		reports -= vm.reports
	}
	s.run(20*time.Second, loads...)
	for _, vm := range s.vms {
		reports += vm.reports
	}
	for _, l := range loads[1:] {
		assert.Less(t, float64(l.lost), 0.01*float64(l.sent), "%s: %d of %d refused below the limit", l.workspace, l.lost, l.sent)
		t.Logf("%s: %d of %d refused", l.workspace, l.lost, l.sent)
	}
	served := len(s.taken["greedy"])
	t.Logf("greedy: %d of %d served; %.1f reports a second and VM", served, loads[0].sent, float64(reports)/vms/20)
	assert.Greater(t, served, 1900, "of 100/s for 20 s")
	most, _ := mostIn(s.taken["greedy"], usualBounds.Window)
	assert.LessOrEqual(t, most, 625, "the bound")
	assert.Less(t, float64(reports)/vms/20, 12.0, "reports a second and VM")
}

// Guards against callers that come back when Retry-After tells them and are refused again
// although nobody else took the room.
func TestThereIsRoomAfterRetryAfter(t *testing.T) {
	s := newSimulation(rand.New(rand.NewSource(1)), usualBounds, 3, map[string]Limit{"w": {Rate: 100, Burst: 20}})
	s.lead(s.vms[0])
	s.run(4 * time.Second)
	type retry struct {
		at time.Duration
		vm *simulatedVM
	}
	var retries []retry
	burst := &load{workspace: "w", perSecond: 1500, vms: vmsFrom(0, 3)}
	s.run(400*ms, burst)
	for i := range 150 {
		vm := s.vms[i%3]
		if _, o, after := vm.spender.Take(s.clock(vm), "w", false); o == Denied {
			retries = append(retries, retry{s.now + after, vm})
		}
	}
	require.GreaterOrEqual(t, len(retries), 50)
	slices.SortFunc(retries, func(a, b retry) int { return int(a.at - b.at) })
	again := 0
	for _, r := range retries {
		s.run(max(0, r.at-s.now))
		back := &load{workspace: "w", perSecond: 0}
		_, o := s.take(r.vm, "w", false)
		for end := s.now + reportTimeout; o == Ask && s.now < end; {
			s.run(leastInterval+10*ms, back)
			_, o = s.take(r.vm, "w", true)
		}
		if o != Taken {
			again++
		}
	}
	assert.LessOrEqual(t, again, len(retries)/50, "of %d", len(retries))
	t.Logf("%d of %d refused again", again, len(retries))
}

// Guards against a lost granter whose successor has to wait long, and against VMs that spend
// nothing in between.
func TestGranterIsLost(t *testing.T) {
	const vms = 5
	s := newSimulation(rand.New(rand.NewSource(1)), usualBounds, vms, map[string]Limit{"w": {Rate: 100, Burst: 20}})
	s.lead(s.vms[0])
	l := &load{workspace: "w", perSecond: 80, vms: vmsFrom(0, vms)}
	s.run(3*time.Second, l)
	s.delay = func(from, to int) time.Duration {
		if from == 0 || to == 0 {
			return -1
		}
		return 2 * ms
	}
	lostAt := s.now
	s.run(1500*ms, l)
	ownFrom, _ := slices.BinarySearch(s.taken["w"], lostAt+supportTime+50*ms)
	assert.Greater(t, len(s.taken["w"])-ownFrom, 10, "requests of the shares of VMs that reach no granter")
	s.lead(s.vms[1])
	for _, vm := range s.vms[1:] {
		vm.asks = 1
	}
	s.run(time.Second, l)
	l.sent, l.lost = 0, 0
	l.vms = vmsFrom(1, vms-1)
	l.perSecond = 60 // four of five shares are there
	s.run(5*time.Second, l)
	assert.Less(t, float64(l.lost), 0.02*float64(l.sent), "%d of %d", l.lost, l.sent)
}

// Guards against a handover of the reader during which nothing is granted: VMs tell the
// earlier granter that they leave it, and do not wait until its support ends.
func TestGranterIsReplacedAtOnce(t *testing.T) {
	s := newSimulation(rand.New(rand.NewSource(1)), usualBounds, 5, map[string]Limit{"w": {Rate: 100, Burst: 20}})
	s.lead(s.vms[0])
	l := &load{workspace: "w", perSecond: 60, vms: vmsFrom(0, 5)}
	s.run(3*time.Second, l)
	s.lead(s.vms[1])
	for _, vm := range s.vms {
		vm.asks = 1
	}
	s.run(600*ms, l)
	assert.Equal(t, 1.0, s.vms[1].granter.Share(s.clock(s.vms[1])))
	assert.Equal(t, 0.0, s.vms[0].granter.Share(s.clock(s.vms[0])))
}

// Guards against a VM that spends before it has heard from a granter, and against leases
// that outlast the bounds.
func TestNothingIsSpentWithoutAGranter(t *testing.T) {
	require.Equal(t, 300*ms, usualBounds.Lease())
	require.Equal(t, "rack/v", VMOf(NewGranter("rack/v", "b", 1, usualBounds).ID()))
	require.Empty(t, VMOf(""))
	s := NewSpender(0, "v", "b", usualBounds)
	s.Configure(0, map[string]Limit{"w": {Rate: 1000, Burst: 1000}}, 1)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * ms {
		_, o, _ := s.Take(now, "w", false)
		require.Equal(t, Ask, o)
	}
}

// support makes a VM support the granter.
func support(g *Granter, s *Spender, now time.Duration) {
	for range 2 {
		_, r := s.Report(now, VMOf(g.ID()))
		s.HandleReply(now, g.Handle(now, r))
	}
}

// newPair returns a granter that the spender of its VM supports at the time now, with full
// buckets.
func newPair(l Limit) (g *Granter, s *Spender, now time.Duration) {
	limits := map[string]Limit{"w": l}
	g, s = NewGranter("v", "b", 1, usualBounds), NewSpender(0, "v", "b", usualBounds)
	g.Configure(0, limits, 1)
	s.Configure(0, limits, 1)
	for now = supportTime; now < 20*time.Second; now += 100 * ms {
		support(g, s, now)
	}
	return g, s, now
}

func want(vm string, number uint64, waiting, ahead int, back ...Returned) Report {
	return Report{VM: vm, Process: "b", Number: number, Wants: []Want{{Workspace: "w", Waiting: waiting, Ahead: ahead, Returned: back}}}
}

// Guards against a bucket that holds more than its capacity: tokens that were out while it
// was full come back once it has been emptied.
func TestReturnedTokensDoNotAddToTheCapacity(t *testing.T) {
	g, _, now := newPair(Limit{Rate: 100, Burst: 100})
	require.Equal(t, 50, g.Handle(now, want("a", 1, 50, 0)).Grants[0].Tokens)
	for range 5 {
		now += 100 * ms / 2
		g.Handle(now, want("c", uint64(now), 0, 0)) // the bucket is full again after 0.5 s
	}
	now += 40 * ms
	emptied := g.Handle(now, want("b", 1, 1000, 0)).Grants[0].Tokens
	again := g.Handle(now, want("a", 2, 1000, 0, Returned{1, 50})).Grants[0].Tokens
	assert.LessOrEqual(t, 50+emptied+again-50, int(usualBounds.capacity(Limit{100, 100}))+1)
}

// Guards against tokens that are returned twice, more than were granted, or too late.
func TestTokensAreReturnedOnce(t *testing.T) {
	g, s, now := newPair(Limit{Rate: 10, Burst: 200})
	for now < 25*time.Second { // empty for longer than the bucket remembers
		now += 10 * ms
		support(g, s, now)
		g.Handle(now, want("b", uint64(now), 1000, 0))
	}
	g.buckets["w"].level = 60
	require.Equal(t, 60, g.Handle(now, want("a", 1, 60, 0)).Grants[0].Tokens)
	assert.Equal(t, 20, g.Handle(now, want("a", 2, 1000, 0, Returned{1, 20})).Grants[0].Tokens)
	assert.Equal(t, 40, g.Handle(now, want("a", 3, 1000, 0, Returned{1, 1000})).Grants[0].Tokens)
	assert.Equal(t, 0, g.Handle(now, want("a", 4, 1000, 0, Returned{1, 20})).Grants[0].Tokens)
	now += usualBounds.Lease() + ms
	assert.LessOrEqual(t, g.Handle(now, want("a", 5, 1000, 0, Returned{3, 40})).Grants[0].Tokens, 4)
}

// Guards against tokens that are granted or used twice, and against support that outlives
// its time because its message was late.
func TestLateAndRepeatedMessagesChangeNothing(t *testing.T) {
	g, s, now := newPair(Limit{Rate: 100, Burst: 100})
	_, outcome, _ := s.Take(now, "w", false)
	require.Equal(t, Ask, outcome)
	_, report := s.Report(now, "v")
	reply := g.Handle(now, report)
	require.Len(t, reply.Grants, 1)
	assert.Empty(t, g.Handle(now, report).Grants, "a repeated report")
	s.HandleReply(now, reply)
	s.HandleReply(now, reply)
	ticket, outcome, _ := s.Take(now, "w", true)
	require.Equal(t, Taken, outcome)
	_, outcome, _ = s.Take(now, "w", false)
	assert.Equal(t, Ask, outcome, "a repeated reply")

	s.accounts["w"].leases = append(s.accounts["w"].leases, lease{number: 1, expires: now + usualBounds.Lease(), tokens: 5})
	_, outcome, _ = s.Take(now+usualBounds.Lease(), "w", false)
	assert.Equal(t, Ask, outcome, "a lease that has ended")

	_, report = s.Report(now, "v")
	late := now + usualBounds.Lease()
	s.HandleReply(late, g.Handle(now, report))
	s.Refund(late, "w", ticket)
	_, outcome, _ = s.Take(late, "w", false)
	assert.Equal(t, Ask, outcome, "a late reply, and a refund after the lease")

	_, report = s.Report(late, "v")
	require.True(t, report.Supports)
	late = now + 3*supportTime
	g.Handle(late, report)
	assert.Zero(t, g.Share(late), "a late report")
}

// Guards against a share that two granters count, or that a granter counts while the VM uses
// it itself.
func TestShareHasOneUser(t *testing.T) {
	g, s, now := newPair(Limit{Rate: 100, Burst: 100})
	other := NewGranter("o", "b", 1, usualBounds)
	other.Configure(now, map[string]Limit{"w": {Rate: 100, Burst: 100}}, 1)
	s.Report(now, "o") // leaves g, and is lost
	for end := now + 3*supportTime; now < end; now += 10 * ms {
		_, r := s.Report(now, "o")
		s.HandleReply(now, other.Handle(now, r))
		require.LessOrEqual(t, g.Share(now)+other.Share(now), 1.0)
		require.False(t, s.IsOnItsOwn(now) && g.Share(now)+other.Share(now) > 0)
	}
	assert.Equal(t, 1.0, other.Share(now-10*ms))

	restarted := NewSpender(now, "v", "b2", usualBounds)
	restarted.Configure(now, map[string]Limit{"w": {Rate: 100, Burst: 100}}, 1)
	again := NewGranter("n", "b", 1, usualBounds)
	again.Configure(now, map[string]Limit{"w": {Rate: 100, Burst: 100}}, 1)
	for end := now + 2*supportTime; now < end; now += 10 * ms {
		_, r := restarted.Report(now, "n")
		restarted.HandleReply(now, again.Handle(now, r))
		require.LessOrEqual(t, again.Share(now)+other.Share(now), 1.0)
	}
	assert.Equal(t, 1.0, again.Share(now-10*ms))
}

// BenchmarkReport measures a report with five workspaces at a granter of 80 workspaces and 79
// VMs, which may get several hundred a second.
func BenchmarkReport(b *testing.B) {
	limits := map[string]Limit{}
	for i := range 80 {
		limits[fmt.Sprint("workspace-", i)] = Limit{Rate: 100, Burst: 50}
	}
	g := NewGranter("vm0", "b", 1, usualBounds)
	g.Configure(0, limits, 79)
	var wants []Want
	for i := range 5 {
		wants = append(wants, Want{Workspace: fmt.Sprint("workspace-", i), Waiting: 1, Ahead: 3})
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 3 * ms
		g.Handle(now, Report{VM: fmt.Sprint("vm", i%79), Process: "b", Number: uint64(i), Granter: g.ID(), Echo: now - 100*ms, Supports: true, Wants: wants})
	}
}
