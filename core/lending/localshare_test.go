package lending

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/retry"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simulatedTarget runs requests in its slots and queues some; those beyond hang.
type simulatedTarget struct {
	running, queue []*simulatedRequest
	overflowed     int // requests that hung
	most           int // most requests in flight
}

type simulatedRequest struct {
	id       uint64
	vm, key  int
	arrived  time.Duration
	work     time.Duration
	endsAt   time.Duration
	local    bool // the VM lends the slot itself
	gaveUp   bool // the VM does not wait for the leader any more
	served   bool
	finished bool
}

// silenceSimulation is a service whose leader does not respond for some time, while VMs
// send requests for keys. Messages take no time.
type silenceSimulation struct {
	rng      *rand.Rand
	leader   *Lender
	vms      []*Lender
	targets  []*simulatedTarget
	requests map[uint64]*simulatedRequest
	hotShare func(now time.Duration) float64 // share of the requests that have the key 0
	lastID   uint64
	toLeader []func(now time.Duration) // messages that the leader has not read
}

const (
	simSlots, simQueue         = 4, 16
	simWork                    = 200 * ms
	simObjective               = 600 * ms
	simDeadline                = 1500 * ms
	simStep                    = 5 * ms
	silentFrom                 = 5 * time.Second
	silentUntil                = 6 * time.Second
	countsAsSilent             = 800 * ms // leaderTimeout in node/cell
	heardAgainAfter            = 250 * ms // syncInterval in node/cell
	simulatedVMs, simulatedAll = 69, 266
)

var simSpeeds = []float64{0.6, 1, 1.6}

func newSilenceSimulation(hotShare func(now time.Duration) float64) *silenceSimulation {
	s := &silenceSimulation{rng: rand.New(rand.NewSource(1)), requests: map[uint64]*simulatedRequest{}, hotShare: hotShare}
	owner := func(_ time.Duration, key int) Ownership { return Ownership{Target: fmt.Sprint("t", key), State: Held} }
	infos := pool(simulatedAll)
	for i := range infos {
		infos[i].Slots = simSlots
		s.targets = append(s.targets, &simulatedTarget{})
	}
	s.leader = newLender(testConfig(), owner, infos...)
	for i := range simulatedVMs {
		cfg := Config{SlotsPerTarget: 1, VMs: simulatedVMs, Budget: retry.BudgetConfig{Share: 0.02, Burst: 1}}
		vm := New(cfg, rand.New(rand.NewSource(int64(i))), owner)
		vm.SetTargets(0, infos)
		s.vms = append(s.vms, vm)
	}
	return s
}

func (s *silenceSimulation) run(end time.Duration, perSecond float64) {
	for now := time.Duration(0); now < end; now += simStep {
		silent := now >= silentFrom && now < silentUntil
		lendsLocally := now >= silentFrom+countsAsSilent && now < silentUntil+heardAgainAfter
		for range int(perSecond * simStep.Seconds()) {
			s.arrive(now, lendsLocally)
		}
		if now == silentFrom+countsAsSilent {
			for _, r := range s.requests {
				if r.arrived >= silentFrom && !r.local && !r.finished {
					r.gaveUp = true
					s.lendLocally(now, r)
				}
			}
		}
		for i := range s.targets {
			s.advance(now, i)
		}
		if !silent {
			messages := s.toLeader
			s.toLeader = nil
			for _, deliver := range messages {
				deliver(now)
			}
			s.leader.Tick(now)
			s.takeLeaderDecisions(now)
		}
		for i, vm := range s.vms {
			if lendsLocally && now%(100*ms) == 0 {
				vm.Tick(now)
			}
			s.takeLocalDecisions(now, i)
		}
	}
}

func (s *silenceSimulation) arrive(now time.Duration, lendsLocally bool) {
	s.lastID++
	r := &simulatedRequest{id: s.lastID, vm: s.rng.Intn(len(s.vms)), key: s.rng.Intn(len(s.targets)), arrived: now}
	if s.rng.Float64() < s.hotShare(now) {
		r.key = 0
	}
	r.work = time.Duration((0.5 + s.rng.Float64()) * float64(simWork) * simSpeeds[r.key%len(simSpeeds)])
	s.requests[r.id] = r
	if lendsLocally {
		s.lendLocally(now, r)
		return
	}
	s.toLeader = append(s.toLeader, func(at time.Duration) { s.leader.RequestSlot(at, s.lendRequest(r, at)) })
}

// lendRequest returns what a lender is told of a request that it reads at the given time.
// A leader does not know for how long it has left a request unread.
func (s *silenceSimulation) lendRequest(r *simulatedRequest, read time.Duration) Request {
	sent := read
	if r.local {
		sent = r.arrived
	}
	return Request{ID: r.id, VM: fmt.Sprint(r.vm), DataCentre: "dc", Route: "r", Idempotent: true, Arrived: sent,
		Objective: sent + simObjective, Deadline: sent + simDeadline, Key: r.key}
}

func (s *silenceSimulation) lendLocally(now time.Duration, r *simulatedRequest) {
	r.local = true
	s.vms[r.vm].RequestSlot(now, s.lendRequest(r, now))
}

func (s *silenceSimulation) takeLeaderDecisions(now time.Duration) {
	for _, d := range s.leader.TakeDecisions() {
		r := s.requests[d.ID]
		switch {
		case r.gaveUp && d.Lent:
			s.toLeader = append(s.toLeader, func(at time.Duration) { s.leader.Return(at, Usage{ID: r.id, Result: Unused}) })
		case r.gaveUp:
		default:
			s.vms[r.vm].NoteDecision(now, fmt.Sprint("t", r.key), d.Lent)
			s.decided(now, r, d.Lent)
		}
	}
}

func (s *silenceSimulation) takeLocalDecisions(now time.Duration, vm int) {
	for _, d := range s.vms[vm].TakeDecisions() {
		s.decided(now, s.requests[d.ID], d.Lent)
	}
}

func (s *silenceSimulation) decided(now time.Duration, r *simulatedRequest, lent bool) {
	if !lent {
		r.finished = true
		return
	}
	t := s.targets[r.key]
	if len(t.running)+len(t.queue) >= simSlots+simQueue {
		t.overflowed++ // the VM gives it up at its deadline, long after what is measured
		r.finished = true
		return
	}
	t.queue = append(t.queue, r)
	t.most = max(t.most, len(t.running)+len(t.queue))
}

// advance ends the requests that are done at a target and begins those that waited.
func (s *silenceSimulation) advance(now time.Duration, i int) {
	t := s.targets[i]
	var running []*simulatedRequest
	for _, r := range t.running {
		if now < r.endsAt {
			running = append(running, r)
			continue
		}
		r.finished, r.served = true, now <= r.arrived+simDeadline
		u := Usage{ID: r.id, Result: Answered, Took: r.work}
		if r.local {
			s.vms[r.vm].Return(now, u)
			continue
		}
		s.vms[r.vm].NoteWork(r.work)
		s.toLeader = append(s.toLeader, func(at time.Duration) { s.leader.Return(at, u) })
	}
	for len(running) < simSlots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		r.endsAt = now + r.work
		running = append(running, r)
	}
	t.running = running
}

// served returns the share of the requests of one second that were served.
func (s *silenceSimulation) served(from time.Duration) float64 {
	all, served := 0, 0
	for _, r := range s.requests {
		if r.arrived >= from && r.arrived < from+time.Second {
			all++
			if r.served {
				served++
			}
		}
	}
	return float64(served) / float64(all)
}

// Guards against the collapse of a service whose leader does not respond for a second:
// every VM lends locally then, and has to go on with about what it sent before.
func TestServiceGoesOnWhileLeaderIsSilent(t *testing.T) {
	s := newSilenceSimulation(func(time.Duration) float64 { return 0 })
	s.run(10*time.Second, 2000)
	before, during, after := s.served(4*time.Second), s.served(silentFrom), s.served(silentUntil+time.Second)
	t.Logf("served: before %.3f, silent %.3f, next second %.3f, normal again %.3f", before, during, s.served(silentUntil), after)
	require.Greater(t, before, 0.9)
	assert.GreaterOrEqual(t, during, 0.8*before)
	assert.GreaterOrEqual(t, after, 0.98*before)
	for i, target := range s.targets {
		assert.Zero(t, target.overflowed, "target %d", i)
	}
}

// Guards against an overload of the target of a hot key that was hot before the leader
// became silent: the VMs together must not send it more than it runs and queues.
func TestHotKeyFitsItsTargetWhileLeaderIsSilent(t *testing.T) {
	s := newSilenceSimulation(func(now time.Duration) float64 {
		if now > 2*time.Second {
			return 0.35
		}
		return 0
	})
	s.run(10*time.Second, 2000)
	before, during := s.served(4*time.Second), s.served(silentFrom)
	t.Logf("served: before %.3f, silent %.3f; most in flight at the hot target %d", before, during, s.targets[0].most)
	assert.GreaterOrEqual(t, during, 0.8*before)
	assert.Zero(t, s.targets[0].overflowed)
	assert.LessOrEqual(t, s.targets[0].most, simSlots+simQueue)
}

// Guards against VMs that start together without a leader and send a target more in the
// first seconds than its slots and queue bear, and against ones that send nothing at all.
func TestVMsWithoutHistoryShareATarget(t *testing.T) {
	const vms, slots, queued = 68, 3, 12
	owner := func(time.Duration, int) Ownership { return Ownership{Target: "t0", State: Held} }
	var lenders []*Lender
	for i := range vms {
		l := New(Config{SlotsPerTarget: 1, VMs: vms, Budget: testConfig().Budget}, rand.New(rand.NewSource(int64(i))), owner)
		l.SetTargets(0, pool(1))
		lenders = append(lenders, l)
	}
	type use struct {
		id     uint64
		lender *Lender
	}
	var inFlight []use
	id, lent, endsAt := uint64(0), 0, time.Duration(0)
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		for _, l := range lenders {
			id++
			r := request(id, now)
			r.Key = 7
			l.RequestSlot(now, r)
			for _, d := range l.TakeDecisions() {
				if d.Lent {
					lent++
					inFlight = append(inFlight, use{d.ID, l})
				}
			}
		}
		require.LessOrEqual(t, len(inFlight), slots+queued, "at %v", now)
		// The target ends one request for each slot in defaultWork.
		for now >= endsAt && len(inFlight) > 0 {
			inFlight[0].lender.Return(now, Usage{ID: inFlight[0].id, Result: Answered, Took: defaultWork})
			inFlight = inFlight[1:]
			endsAt = now + defaultWork/slots
		}
	}
	assert.Greater(t, lent, 60)
}
