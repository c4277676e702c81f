package lending

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testConfig() Config { return Config{Budget: retry.BudgetConfig{Share: 0.1, Burst: 5}} }

func newLender(cfg Config, owner func(time.Duration, int) Ownership, targets ...TargetInfo) *Lender {
	l := New(cfg, rand.New(rand.NewSource(1)), owner)
	l.SetTargets(0, targets)
	return l
}

func pool(n int) []TargetInfo {
	var out []TargetInfo
	for i := range n {
		out = append(out, TargetInfo{ID: fmt.Sprintf("t%d", i), Address: "a", DataCentre: "dc", Slots: 3, Life: 1, ColdRate: 11})
	}
	return out
}

func request(id uint64, now time.Duration) Request {
	return Request{
		ID: id, VM: "vm", DataCentre: "dc", Route: "r", Idempotent: true, Arrived: now,
		Objective: now + 300*ms, Deadline: now + 1200*ms, Key: NoKey, Print: 0,
	}
}

// take returns the decisions by request.
func take(l *Lender) map[uint64]Decision {
	out := map[uint64]Decision{}
	for _, d := range l.Take() {
		out[d.ID] = d
	}
	return out
}

// A target that hangs once its slots and queue are full must never get more
// requests than it has slots, from all VMs together.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLender(testConfig(), nil, pool(3)...)
		inFlight := map[string]int{}
		var open []Decision
		deadline := map[uint64]time.Duration{}
		now := time.Duration(0)
		finish := func(i int) {
			l.Return(now, Usage{ID: open[i].ID, Result: Answered, Took: 50 * ms})
			inFlight[open[i].Target]--
			open = slices.Delete(open, i, i+1)
		}
		for id := uint64(1); id < 200; id++ {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			for i := len(open) - 1; i >= 0; i-- {
				if now > deadline[open[i].ID] {
					finish(i) // a VM gives a request up at its deadline
				}
			}
			if rapid.Bool().Draw(t, "ends") && len(open) > 0 {
				finish(0)
			} else {
				deadline[id] = request(id, now).Deadline
				l.Ask(now, request(id, now))
			}
			l.Tick(now)
			for _, d := range l.Take() {
				if d.Lent {
					open = append(open, d)
					inFlight[d.Target]++
					require.LessOrEqual(t, inFlight[d.Target], 3)
				}
			}
		}
	})
}

// A cold target crashes above its rate: in no second does it get more than the
// rate and the small burst, also in the first second and after it was idle.
func TestColdTargetGetsNoBurst(t *testing.T) {
	cold := pool(1)
	cold[0].ColdUntil = 3 * time.Second
	l := newLender(testConfig(), nil, cold...)
	var sent []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
		l.Ask(now, request(uint64(now), now))
		l.Tick(now)
		for id, d := range take(l) {
			if d.Lent {
				sent = append(sent, now)
				l.Return(now, Usage{ID: id, Result: Answered, Took: ms})
			}
		}
	}
	most := 0
	for i := range sent {
		n := 0
		for _, s := range sent[i:] {
			if s < sent[i]+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	assert.LessOrEqual(t, most, 11+2, "in a second")
	assert.GreaterOrEqual(t, len(sent), 20, "a cold target still works")
}

// VMs that lend to themselves share a cold target's rate: none of them may
// begin with a saved-up request, or all of them together flood it.
func TestColdTargetOfManyVMsStartsEmpty(t *testing.T) {
	cold := pool(1)
	cold[0].ColdUntil, cold[0].ColdRate = 3*time.Second, 5.2/67
	l := newLender(Config{SlotsPerTarget: 1, Budget: testConfig().Budget}, nil, cold...)
	l.Ask(ms, request(1, ms))
	l.Tick(2 * ms)
	assert.False(t, take(l)[1].Lent)
}

// fill occupies all slots of n targets.
func fill(l *Lender, now time.Duration, slots int) []uint64 {
	var ids []uint64
	for i := range slots {
		id := uint64(1000 + i)
		l.Ask(now, request(id, now))
		ids = append(ids, id)
	}
	take(l)
	return ids
}

// A burst of three times what the targets can do: urgent requests go first,
// and those that cannot be answered in time are refused at once, not held
// until their deadline.
func TestBurstServesUrgentFirstAndRefusesAtOnce(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	ids := fill(l, 0, 3)
	for i := range 40 {
		r := request(uint64(i+1), 10*ms)
		r.Priority = 2
		l.Ask(10*ms, r)
	}
	refused := 0
	for _, d := range take(l) {
		if !d.Lent {
			refused++
			assert.Equal(t, Overload, d.Reason)
			assert.Positive(t, d.RetryAfter)
		}
	}
	assert.Greater(t, refused, 10)
	urgent := request(500, 20*ms)
	urgent.Priority = 0
	l.Ask(20*ms, urgent)
	l.Return(30*ms, Usage{ID: ids[0], Result: Answered, Took: 30 * ms})
	assert.True(t, take(l)[500].Lent, "the urgent request goes before those that waited")
}

// Callers that are refused together must not be asked to return together.
func TestRefusedCallersAreSpread(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	fill(l, 0, 3)
	seen := map[time.Duration]bool{}
	n := 0
	for i := range 60 {
		l.Ask(ms, request(uint64(i+1), ms))
	}
	for _, d := range take(l) {
		if !d.Lent {
			seen[d.RetryAfter] = true
			n++
		}
	}
	assert.Greater(t, len(seen), n/2)
}

// Requests without a key are lent a slot at once also by a lender that knows
// owners: it must not wait for the next tick.
func TestSlotIsLentWithoutTick(t *testing.T) {
	owner := func(time.Duration, int) Ownership { return Ownership{State: Lost} }
	l := newLender(testConfig(), owner, pool(1)...)
	l.Ask(0, request(1, 0))
	require.True(t, take(l)[1].Lent)
	ids := fill(l, 0, 2)
	l.Ask(0, request(2, 0))
	require.Empty(t, take(l))
	l.Return(ms, Usage{ID: ids[0], Result: Answered, Took: ms})
	assert.True(t, take(l)[2].Lent)
}

// One hot key keeps its owner busy; requests for keys of other owners must not
// wait behind those for it.
func TestHotKeyDoesNotHoldUpOtherOwners(t *testing.T) {
	owner := func(_ time.Duration, key int) Ownership {
		return Ownership{Target: fmt.Sprintf("t%d", key%2), State: Held}
	}
	l := newLender(testConfig(), owner, pool(2)...)
	for i := range 10 {
		r := request(uint64(i+1), 0)
		r.Key = 0
		l.Ask(0, r)
	}
	take(l)
	r := request(100, ms)
	r.Key = 1
	l.Ask(ms, r)
	assert.True(t, take(l)[100].Lent)
}

// A key whose last holder does not answer has no owner for seconds: its
// requests are refused at once. One that is being moved is waited for.
func TestLostKeyIsRefusedAtOnceAndMovingKeyWaits(t *testing.T) {
	state := Lost
	wait := 3 * time.Second
	owner := func(time.Duration, int) Ownership { return Ownership{Target: "t0", State: state, Wait: wait} }
	l := newLender(testConfig(), owner, pool(1)...)
	r := request(1, 0)
	r.Key = 5
	l.Ask(0, r)
	assert.Equal(t, NoOwner, take(l)[1].Reason)
	wait = 100 * ms
	r.ID = 3
	l.Ask(0, r)
	assert.Empty(t, take(l), "a key that gets an owner within the objective is waited for")
	state = Moving
	r.ID = 2
	l.Ask(ms, r)
	assert.Empty(t, take(l))
	state = Held
	l.Tick(50 * ms)
	decided := take(l)
	assert.True(t, decided[2].Lent)
	assert.True(t, decided[3].Lent)
}

// Repeats draw on one budget, so that failing targets are not flooded.
func TestRepeatsAreBounded(t *testing.T) {
	l := newLender(testConfig(), nil, pool(30)...)
	lent := 0
	for i := range 50 {
		r := request(uint64(i+1), 0)
		r.Repeat = true
		l.Ask(0, r)
	}
	for _, d := range take(l) {
		if d.Lent {
			lent++
		}
	}
	assert.LessOrEqual(t, lent, 5)
}

// A request that crashed two targets must not reach a third.
func TestCrashingRequestIsRefused(t *testing.T) {
	l := newLender(testConfig(), nil, pool(4)...)
	crash := func(id uint64, now time.Duration) {
		r := request(id, now)
		r.Print = 7
		l.Ask(now, r)
		d := take(l)[id]
		require.True(t, d.Lent)
		l.Return(now+10*ms, Usage{ID: id, Result: Broken})
		probe := request(id+100, now+20*ms) // finds the port closed
		l.Ask(now+20*ms, probe)
		for pid, p := range take(l) {
			result := Answered
			if p.Target == d.Target {
				result = Refused
			}
			l.Return(now+30*ms, Usage{ID: pid, Result: result, Took: ms})
		}
		l.targets[d.Target].usable = true
		l.noteCrash(now+40*ms, l.targets[d.Target])
	}
	crash(1, 0)
	crash(2, 100*ms)
	r := request(3, 200*ms)
	r.Print = 7
	l.Ask(200*ms, r)
	assert.Equal(t, Suspect, take(l)[3].Reason)
}

// Neighbours on a target's machine slow it down: work goes to the others.
func TestSlowTargetGetsLessWork(t *testing.T) {
	l := newLender(testConfig(), nil, pool(4)...)
	got := map[string]int{}
	now := time.Duration(0)
	for id := uint64(1); id <= 400; id++ {
		now += 30 * ms
		l.Ask(now, request(id, now))
		for _, d := range take(l) {
			took := 60 * ms
			if d.Target == "t0" {
				took *= 5
			}
			got[d.Target]++
			l.Return(now+ms, Usage{ID: d.ID, Result: Answered, Took: took})
		}
	}
	assert.Less(t, got["t0"], 40)
}

// Neighbours on a target's machine change several times a second. A target that
// says that it is slow now gets no work while others are free, and gets work
// again soon after.
func TestTargetThatSaysItIsSlowIsLeftAlone(t *testing.T) {
	l := newLender(testConfig(), nil, pool(6)...)
	type end struct {
		at time.Duration
		Usage
	}
	now, got, open := time.Duration(0), map[string]int{}, []end{}
	run := func(span time.Duration, slow string) {
		got = map[string]int{}
		for stop := now + span; now < stop; now += 5 * ms {
			l.Ask(now, request(uint64(now), now))
			for id, d := range take(l) {
				e := end{now + 60*ms, Usage{ID: id, Result: Answered, Took: 60 * ms, Load: &LoadReport{Slots: 3, Slowdown: 1}}}
				if d.Target == slow {
					e.at, e.Took, e.Load.Slowdown = now+180*ms, 180*ms, 3
				}
				got[d.Target]++
				open = append(open, e)
			}
			open = slices.DeleteFunc(open, func(e end) bool {
				if e.at <= now {
					l.Return(now, e.Usage)
				}
				return e.at <= now
			})
		}
	}
	run(time.Second, "")
	before := got["t0"]
	require.NotZero(t, before)
	run(300*ms, "t0") // of which the target can tell nothing for 180 ms
	run(700*ms, "t0")
	assert.Less(t, got["t0"], before/4)
	run(time.Second, "")
	run(time.Second, "")
	assert.Greater(t, got["t0"], before/2)
}

// A VM that was given slots and is gone must not keep them.
func TestLostLoansExpire(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	fill(l, 0, 3)
	now := 1200*ms + loanSlack + ms
	l.Tick(now)
	l.Ask(now, request(1, now))
	assert.True(t, take(l)[1].Lent)
}

// In a lasting overload the queue fills with requests that have missed their
// objective. A new request that can still meet its own passes them and must
// not be refused because of them.
func TestLateRequestsDoNotPushOutThoseInTime(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	ids := fill(l, 0, 3)
	for i := range 40 {
		r := request(uint64(i+1), 0)
		r.Deadline = 100 * time.Second // patient, but late soon
		l.Ask(0, r)
	}
	take(l)
	now := 290 * ms
	l.Tick(now)
	fresh := request(100, now)
	l.Ask(now, fresh)
	l.Return(now+ms, Usage{ID: ids[0], Result: Answered, Took: 80 * ms})
	assert.True(t, take(l)[100].Lent)
}

// Targets that shed at random report free slots: the next request for their
// keys goes to them at once, and is not refused for want of an owner.
func TestRandomSheddingLeavesOwnerUsable(t *testing.T) {
	owner := func(time.Duration, int) Ownership { return Ownership{Target: "t0", State: Held} }
	l := newLender(testConfig(), owner, pool(1)...)
	ask := func(id uint64, now time.Duration) Decision {
		r := request(id, now)
		r.Key = 1
		l.Ask(now, r)
		return take(l)[id]
	}
	require.True(t, ask(1, 0).Lent)
	l.Return(ms, Usage{ID: 1, Result: Shed, Load: &LoadReport{Running: 0, Slots: 3}})
	assert.True(t, ask(2, 2*ms).Lent)
	l.Return(3*ms, Usage{ID: 2, Result: Shed, Load: &LoadReport{Running: 3, Slots: 3}})
	assert.Equal(t, Decision{}, ask(3, 4*ms), "waits for the full target")
	l.Tick(3*ms + shedPause)
	assert.True(t, take(l)[3].Lent)
}

// Many callers read one hot thing. The refusal of one must not make the others
// look as if they had waited since then: they would be refused at once.
func TestRefusedReadDoesNotAgeOthers(t *testing.T) {
	state := Moving
	owner := func(time.Duration, int) Ownership { return Ownership{Target: "t0", State: state} }
	l := newLender(testConfig(), owner, pool(1)...)
	ask := func(id uint64, now time.Duration) {
		r := request(id, now)
		r.Key, r.Print = 5, 77
		l.Ask(now, r)
	}
	ask(1, 0)
	l.Tick(ownerWait + ms)
	require.Equal(t, NoOwner, take(l)[1].Reason)
	ask(2, ownerWait+2*ms)
	l.Tick(ownerWait + 3*ms)
	assert.Empty(t, take(l))
}

// A write that comes back after a refusal goes before those that came later
// than its first attempt.
func TestReturningWriteKeepsItsPlace(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	ids := fill(l, 0, 3)
	write := func(id uint64, now time.Duration, print quarantine.Fingerprint) {
		r := request(id, now)
		r.Idempotent, r.Print = false, print
		l.Ask(now, r)
	}
	for i := range uint64(60) {
		write(i+1, ms, quarantine.Fingerprint(i+1))
	}
	var refused quarantine.Fingerprint
	for id, d := range take(l) {
		if !d.Lent {
			refused = quarantine.Fingerprint(id)
		}
	}
	require.NotZero(t, refused)
	l.Tick(1190 * ms) // refuses all that wait
	take(l)
	write(200, 1195*ms, 999)
	write(201, 1196*ms, refused)
	l.Return(1197*ms, Usage{ID: ids[0], Result: Answered, Took: 50 * ms})
	assert.True(t, take(l)[201].Lent)
}

// A leader that stops under load hands over: its successor knows which targets
// are slow from the first request on, but nothing of a later life of a target.
func TestSuccessorKnowsWhatWasLearned(t *testing.T) {
	l := newLender(testConfig(), nil, pool(3)...)
	for id := uint64(1); id < 200; id++ {
		now := time.Duration(id) * 30 * ms
		l.Ask(now, request(id, now))
		for _, d := range take(l) {
			took := 200 * ms
			if d.Target == "t0" {
				took *= 5
			}
			l.Return(now+ms, Usage{ID: d.ID, Result: Answered, Took: took})
		}
	}
	targets := pool(3)
	targets[2].Life = 2
	next := newLender(testConfig(), nil, targets...)
	next.Begin(l.Learned())
	assert.Equal(t, l.ExpectedWork("r"), next.ExpectedWork("r"))
	assert.Greater(t, next.Slowness("t0"), 1.5)
	assert.Equal(t, 1.0, next.Slowness("t2"))
	next.Ask(10*time.Second, request(1, 10*time.Second))
	assert.NotEqual(t, "t0", take(next)[1].Target)
}

// The keys of a target that went dark have no owner for some seconds. Callers
// are told that time, and not to come back before it for a second refusal.
func TestLostKeyTellsWhenItIsServedAgain(t *testing.T) {
	owner := func(time.Duration, int) Ownership { return Ownership{State: Lost, Wait: 2300 * ms} }
	l := newLender(testConfig(), owner, pool(1)...)
	r := request(1, 0)
	r.Key = 5
	l.Ask(0, r)
	d := take(l)[1]
	assert.Equal(t, NoOwner, d.Reason)
	assert.GreaterOrEqual(t, d.RetryAfter, 2300*ms)
}

// The line that sums up a cell's lending must tell each decision once.
func TestCountsTellEachDecisionOnce(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	fill(l, 0, 3)
	for i := range 40 {
		l.Ask(ms, request(uint64(i+1), ms))
	}
	refused := 0
	for _, d := range take(l) {
		if !d.Lent {
			refused++
		}
	}
	require.NotZero(t, refused)
	c := l.TakeCounts(ms)
	assert.Equal(t, 3, c.Lent)
	assert.Equal(t, map[Reason]int{Overload: refused}, c.Refused)
	assert.Equal(t, 40-refused, c.Waiting)
	assert.Equal(t, []int{1, 3, 3}, []int{c.Targets, c.Slots, c.InFlight})
	again := l.TakeCounts(ms)
	assert.Zero(t, again.Lent+len(again.Refused))
}

// Targets of a pool fall silent and their addresses go to another service, whose
// targets turn each request away at once. With their free slots they would draw
// most requests, and use up the retry budget. Seen on a day on which 15 of 79
// addresses were taken and 951 of 3,200 requests were refused within two seconds.
func TestAddressTakenByAnotherServiceIsLeftAlone(t *testing.T) {
	const rate = 600 // requests/s
	l := newLender(Config{Budget: retry.BudgetConfig{Share: 0.16, Burst: 20}}, nil, pool(40)...)
	taken := func(id string) bool { return id < "t2" } // t0, t1, t10 to t19
	answered, turnedAway, refused, id := 0, 0, 0, uint64(0)
	var open []Usage
	var ends []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += time.Second / rate {
		id++
		l.Ask(now, request(id, now))
		for {
			again := false
			for _, d := range l.Take() {
				switch {
				case !d.Lent:
					refused++
				case taken(d.Target):
					turnedAway++
					l.Return(now, Usage{ID: d.ID, Result: WrongOwner, Took: ms})
					r := request(d.ID, now)
					r.Repeat, r.Avoid = true, d.Target
					l.Ask(now, r)
					again = true
				default:
					open, ends = append(open, Usage{ID: d.ID, Result: Answered, Took: 80 * ms}), append(ends, now+80*ms)
				}
			}
			if !again {
				break
			}
		}
		for len(ends) > 0 && ends[0] <= now {
			l.Return(now, open[0])
			open, ends, answered = open[1:], ends[1:], answered+1
		}
	}
	assert.Less(t, turnedAway, 12*10, "each address is tried a few times")
	assert.Zero(t, refused)
	assert.Greater(t, answered, 1700)
}
