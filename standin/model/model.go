// Package model is a discrete-time simulation of one cell. It drives the lender
// of the cell's leader and, for keyed targets, the leader's key manager with
// generated requests and simulated targets. The clock is simulated and all random
// values come from one seed, so the same Config always yields the same Result.
package model

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
)

// Config describes the targets, the load and the length of one simulation.
type Config struct {
	Seed    int64
	Targets int
	Slots   int       // of each target
	Speeds  []float64 // service time factors, assigned to the targets in turn
	// Noisy neighbours: in each NoiseSpan, every target is slower by NoiseFactor
	// with probability NoiseShare, for the requests that begin in it. A NoiseSpan of 0
	// means no noise.
	NoiseShare, NoiseFactor float64
	NoiseSpan               time.Duration
	NoReports               bool // targets do not report how slow they are

	Rate      float64       // requests/s
	Work      time.Duration // mean service time at a target of speed factor 1
	Spread    float64       // sigma of the log-normal service time
	Objective time.Duration // highest latency, at the caller, that counts as WithinObjective
	Deadline  time.Duration // time from the arrival at which a running request times out
	// Hold is how long a grant of keys lasts; 0 means defaultHold. A request that still
	// runs when the grant under which it began would have expired fails, although the
	// grant is renewed meanwhile.
	Hold   time.Duration
	Keyed  bool    // requests carry keys, and targets own ranges of keys
	Skew   float64 // exponent of the key popularity, below 1; 0 is uniform; popular keys are adjacent
	Hot    []HotSpot
	Bursts []Burst

	Warm   time.Duration // warm-up; requests that arrive in it are not counted
	Length time.Duration // measured time after the warm-up
}

// HotSpot sends a share of the requests to Keys adjacent keys for the duration
// For. From is a time since the start of the simulation, warm-up included.
type HotSpot struct {
	From, For time.Duration
	Share     float64
	Keys      int
}

// Burst multiplies the request rate by Factor, with From and For as in HotSpot.
type Burst struct {
	From, For time.Duration
	Factor    float64
}

// Result holds the outcomes of the requests that arrived in the measured time.
type Result struct {
	Requests                                 int
	WithinObjective, Late, Refused, TimedOut float64       // shares of the requests
	OutlastedGrant                           float64       // share of the requests that failed because of Config.Hold
	QueueWaitP50, QueueWaitP90               time.Duration // time in the lender's queue, of requests that got a slot
	QueueWaitP99                             time.Duration
	OwnershipRecords                         int     // ownership changes that were committed
	Ranges                                   int     // ranges of keys with an owner at the end
	Utilisation                              float64 // share of the slots in use on average, warm-up included
}

const (
	stepLength      = 5 * time.Millisecond
	networkDelay    = 2 * time.Millisecond // one-way latency between caller, leader and target
	keyStepInterval = 50 * time.Millisecond
	proposeInterval = 400 * time.Millisecond
	storeLatency    = 30 * time.Millisecond // from the proposal of an ownership change to its commit
	coldRate        = 5.0                   // requests/s of a cold target
	defaultHold     = fleet.ShortestHold
)

// The settings that a leader uses.
var (
	keyConfig   = keyspace.Config{Renew: 500 * time.Millisecond, CallTimeout: 500 * time.Millisecond, ClockError: 0.02, MaxRanges: 8}
	retryBudget = retry.BudgetConfig{Share: 0.16, Burst: 30}
)

// outcome is the result of a request as its caller sees it.
type outcome int

const (
	withinObjective outcome = iota
	late
	refused
	timedOut
	outlastedGrant
	outcomeCount
)

type target struct {
	info    lending.TargetInfo
	speed   float64
	noise   float64
	running []*request
	grants  []grant
}

// grant is the last accepted grant of a range.
type grant struct {
	from, to int
	at       time.Duration
}

func (t *target) noteGrant(a keyspace.Action, now time.Duration) {
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool { return a.From <= g.from && g.to <= a.To })
	t.grants = append(t.grants, grant{a.From, a.To, now})
}

// grantedAt returns when a key was last granted to the target.
func (t *target) grantedAt(key int) time.Duration {
	var at time.Duration
	for _, g := range t.grants {
		if g.from <= key && key <= g.to {
			at = max(at, g.at)
		}
	}
	return at
}

type request struct {
	id            uint64
	arrived       time.Duration
	key           int
	remainingWork float64 // seconds of service time left at speed factor 1
	startedAt     time.Duration
	slowdown      float64       // of its target when it began
	grantEnds     time.Duration // when the grant under which it began would expire; 0 without keys
	target        *target
}

type model struct {
	Config
	rng             *rand.Rand
	now             time.Duration
	lender          *lending.Lender
	keys            *keyspace.Manager
	load            *keyspace.Load
	targets         map[string]*target
	orderedTargets  []*target
	pending         map[uint64]*request
	nextID          uint64
	pendingReleases []keyspace.Action
	commitDue       time.Duration // of the proposed ownership change; 0 if there is none
	fence           int64
	queueWaits      []time.Duration
	result          Result
	outcomes        [outcomeCount]int
	busySlotSteps   float64
}

// Run simulates c.Warm + c.Length.
func Run(c Config) Result {
	m := &model{Config: c, rng: rand.New(rand.NewSource(c.Seed)), targets: map[string]*target{}, pending: map[uint64]*request{}, fence: 1}
	if c.Keyed {
		if m.Hold == 0 {
			m.Hold = defaultHold
		}
		cfg := keyConfig
		cfg.Hold = m.Hold
		m.keys = keyspace.New(cfg, nil, 0)
		m.load = keyspace.NewLoad(0)
	}
	m.lender = lending.New(lending.Config{Budget: retryBudget}, m.rng, m.ownerOf)
	m.addTargets()
	for m.now = 0; m.now < c.Warm+c.Length; m.now += stepLength {
		m.step()
	}
	return m.finish()
}

func (m *model) addTargets() {
	var infos []lending.TargetInfo
	for i := range m.Targets {
		t := &target{speed: m.Speeds[i%len(m.Speeds)], noise: 1,
			info: lending.TargetInfo{ID: targetID(i), Address: "a", DataCentre: "dc", Slots: m.Slots, Life: 1, ColdRate: coldRate}}
		m.targets[t.info.ID] = t
		m.orderedTargets = append(m.orderedTargets, t)
		infos = append(infos, t.info)
	}
	m.lender.SetTargets(0, infos)
}

func targetID(i int) string {
	return string([]byte{'t', byte('a' + i/676), byte('a' + i/26%26), byte('a' + i%26)})
}

func (m *model) ownerOf(now time.Duration, key int) lending.Ownership {
	if m.keys == nil {
		return lending.Ownership{State: lending.Lost}
	}
	h, state, wait := m.keys.Owner(now, key)
	lendingStates := map[keyspace.OwnerState]lending.OwnerState{keyspace.Held: lending.Held, keyspace.Moving: lending.Moving, keyspace.Lost: lending.Lost}
	return lending.Ownership{Target: h.Target, State: lendingStates[state], Wait: wait}
}

func (m *model) step() {
	if m.NoiseSpan > 0 && m.now%m.NoiseSpan < stepLength {
		m.drawNoise()
	}
	m.runRequests()
	m.generateArrivals()
	if m.keys != nil {
		m.stepKeys()
	}
	m.lender.Tick(m.now)
	m.dispatch()
}

func (m *model) drawNoise() {
	for _, t := range m.orderedTargets {
		t.noise = 1
		if m.rng.Float64() < m.NoiseShare {
			t.noise = m.NoiseFactor
		}
	}
}

// runRequests advances the running requests of all targets by one step and ends
// those that are done or past their deadline.
func (m *model) runRequests() {
	for _, t := range m.orderedTargets {
		m.busySlotSteps += float64(len(t.running))
		t.running = slices.DeleteFunc(t.running, func(r *request) bool {
			r.remainingWork -= stepLength.Seconds() / r.slowdown
			outlasted := r.grantEnds > 0 && m.now >= r.grantEnds
			if r.remainingWork > 0 && m.now < r.arrived+m.Deadline && !outlasted {
				return false
			}
			result := lending.Answered
			switch {
			case r.remainingWork <= 0:
			case outlasted:
				result = lending.Failed
			default:
				result = lending.TimedOut
			}
			m.lender.Return(m.now, lending.Usage{ID: r.id, Result: result, Took: m.now - r.startedAt,
				Load: m.loadReport(t)})
			m.complete(r, result)
			return true
		})
	}
}

func (m *model) loadReport(t *target) *lending.LoadReport {
	report := &lending.LoadReport{Running: len(t.running) - 1, Slots: m.Slots}
	if !m.NoReports {
		report.Slowdown = t.speed * t.noise
	}
	return report
}

func (m *model) complete(r *request, result lending.Result) {
	took := m.now + 2*networkDelay - r.arrived
	switch {
	case result == lending.TimedOut:
		m.countOutcome(r, timedOut)
	case result == lending.Failed:
		m.countOutcome(r, outlastedGrant)
	case took <= m.Objective:
		m.countOutcome(r, withinObjective)
	default:
		m.countOutcome(r, late)
	}
}

func (m *model) countOutcome(r *request, o outcome) {
	if r.arrived >= m.Warm {
		m.outcomes[o]++
	}
}

func (m *model) generateArrivals() {
	rate := m.Rate
	for _, b := range m.Bursts {
		if m.now >= b.From && m.now < b.From+b.For {
			rate *= b.Factor
		}
	}
	for n := m.poisson(rate * stepLength.Seconds()); n > 0; n-- {
		m.nextID++
		r := &request{id: m.nextID, arrived: m.now, key: lending.NoKey, remainingWork: m.drawWork()}
		if m.keys != nil {
			r.key = m.drawKey()
			m.load.Add(r.key, m.lender.ExpectedWork("r"))
		}
		m.pending[r.id] = r
		m.lender.RequestSlot(m.now, lending.Request{
			ID: r.id, VM: "vm", DataCentre: "dc", Route: "r", Idempotent: true, Arrived: m.now, Objective: m.now + m.Objective - 2*networkDelay,
			Deadline: m.now + m.Deadline, Key: r.key, Fingerprint: quarantine.Fingerprint(r.id),
		})
	}
}

func (m *model) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), m.rng.Float64(), 0
	for p > limit {
		p *= m.rng.Float64()
		n++
	}
	return n
}

func (m *model) drawWork() float64 {
	mean := m.Work.Seconds()
	return mean * math.Exp(m.Spread*m.rng.NormFloat64()-m.Spread*m.Spread/2)
}

func (m *model) drawKey() int {
	for i, h := range m.Hot {
		if m.now >= h.From && m.now < h.From+h.For && m.rng.Float64() < h.Share {
			return (17011*(i+1) + m.rng.Intn(h.Keys)) % keyspace.Keys
		}
	}
	// Inverse transform sampling of a popularity proportional to rank^-Skew.
	// Neighbouring ranks are neighbouring keys.
	rank := math.Pow(m.rng.Float64(), 1/(1-m.Skew)) * keyspace.Keys
	return (int(rank) + 40000) % keyspace.Keys
}

// stepKeys accepts the key manager's calls to targets, proposes ownership changes
// and commits them after storeLatency. A release is accepted once its target runs
// no request for the released range; other calls are accepted at once.
func (m *model) stepKeys() {
	if m.now%keyStepInterval < stepLength {
		for _, a := range m.keys.Step(m.now, func(keyspace.Holder) bool { return true }) {
			if a.Kind == keyspace.Release {
				m.pendingReleases = append(m.pendingReleases, a)
			} else {
				m.targets[a.Holder.Target].noteGrant(a, m.now)
				m.keys.ReportResult(m.now, a.ID, keyspace.Accepted, "")
			}
		}
	}
	m.pendingReleases = slices.DeleteFunc(m.pendingReleases, func(a keyspace.Action) bool {
		busy := slices.ContainsFunc(m.targets[a.Holder.Target].running, func(r *request) bool { return a.From <= r.key && r.key <= a.To })
		if !busy {
			m.keys.ReportResult(m.now, a.ID, keyspace.Accepted, "h")
		}
		return !busy
	})
	if m.commitDue > 0 && m.now >= m.commitDue {
		m.fence++
		m.keys.Committed(m.now, m.fence)
		m.commitDue = 0
	}
	if m.now%proposeInterval < stepLength && m.commitDue == 0 {
		m.load.Decay(m.now)
		if _, change := m.keys.Propose(m.now, m.candidates(), m.load); change {
			m.commitDue = m.now + storeLatency
			if m.now >= m.Warm {
				m.result.OwnershipRecords++
			}
		}
	}
}

func (m *model) candidates() []keyspace.Candidate {
	var out []keyspace.Candidate
	for _, t := range m.orderedTargets {
		out = append(out, keyspace.Candidate{Holder: keyspace.Holder{Target: t.info.ID, Life: 1},
			Capacity: float64(m.Slots) / m.lender.Slowness(t.info.ID)})
	}
	return out
}

func (m *model) dispatch() {
	for _, d := range m.lender.TakeDecisions() {
		r := m.pending[d.ID]
		delete(m.pending, d.ID)
		if !d.Lent {
			m.countOutcome(r, refused)
			continue
		}
		t := m.targets[d.Target]
		r.startedAt, r.target, r.slowdown = m.now, t, t.speed*t.noise
		if m.keys != nil {
			r.grantEnds = t.grantedAt(r.key) + m.Hold
		}
		t.running = append(t.running, r)
		if r.arrived >= m.Warm {
			m.queueWaits = append(m.queueWaits, d.Waited)
		}
	}
}

func (m *model) finish() Result {
	r := m.result
	for _, n := range m.outcomes {
		r.Requests += n
	}
	n := float64(max(1, r.Requests))
	share := func(o outcome) float64 { return float64(m.outcomes[o]) / n }
	r.WithinObjective, r.Late, r.Refused, r.TimedOut = share(withinObjective), share(late), share(refused), share(timedOut)
	r.OutlastedGrant = share(outlastedGrant)
	slices.Sort(m.queueWaits)
	waitQuantile := func(q float64) time.Duration {
		if len(m.queueWaits) == 0 {
			return 0
		}
		return m.queueWaits[int(q*float64(len(m.queueWaits)-1))]
	}
	r.QueueWaitP50, r.QueueWaitP90, r.QueueWaitP99 = waitQuantile(0.5), waitQuantile(0.9), waitQuantile(0.99)
	if m.keys != nil {
		r.Ranges = len(m.keys.Assignments())
	}
	r.Utilisation = m.busySlotSteps * stepLength.Seconds() / (m.Warm + m.Length).Seconds() / float64(m.Targets*m.Slots)
	return r
}
