// Package model simulates one cell: its leader's lender and, if the targets
// hold keys, its manager of keys, with targets of different speeds and callers
// by a pattern of load. Time is simulated and everything is drawn from a seed,
// so that a run repeats.
package model

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
)

// Config is an experiment.
type Config struct {
	Seed    int64
	Targets int
	Slots   int       // of each target
	Speeds  []float64 // work takes this much longer, by target in turn
	// Neighbours slow a target down: at any moment a share of the targets, by a
	// factor, for a span.
	NoiseShare, NoiseFactor float64
	NoiseSpan               time.Duration

	Rate      float64       // requests/s
	Work      time.Duration // mean at a target of usual speed
	Spread    float64       // sigma of the logarithm of the work
	Objective time.Duration
	Deadline  time.Duration
	Keyed     bool
	Skew      float64 // exponent by which keys are busier than others; busy keys are close to one another
	Hot       []HotSpot
	Bursts    []Burst

	Warm   time.Duration // not measured
	Length time.Duration // measured
}

// HotSpot gives a share of the requests to keys side by side for some time.
type HotSpot struct {
	From, For time.Duration
	Share     float64
	Keys      int
}

// Burst multiplies the rate for some time.
type Burst struct {
	From, For time.Duration
	Factor    float64
}

// Result is what callers got in the measured time.
type Result struct {
	Requests                   int
	InAim, Late, Refused, Lost float64 // shares of the requests
	WaitedP50, WaitedP90       time.Duration
	WaitedP99                  time.Duration
	Records                    int // of owners that were written
	Ranges                     int // at the end
	Use                        float64
}

const (
	step       = 5 * time.Millisecond
	hop        = 2 * time.Millisecond // one way between caller, leader and target
	keyTick    = 50 * time.Millisecond
	planPause  = 400 * time.Millisecond
	storeDelay = 30 * time.Millisecond
	coldRate   = 5.0
)

// The figures of a leader.
var (
	keyConfig = keyspace.Config{Hold: 1800 * time.Millisecond, Renew: 500 * time.Millisecond, CallTimeout: 500 * time.Millisecond,
		ClockError: 0.02, MaxParts: 8}
	budget = retry.BudgetConfig{Share: 0.16, Burst: 30}
)

// outcome is how a request ended for its caller.
type outcome int

const (
	inAim outcome = iota
	late
	refused
	lost
	outcomes
)

type target struct {
	info    lending.TargetInfo
	speed   float64
	noise   float64
	running []*request
}

type request struct {
	id        uint64
	arrived   time.Duration
	key       int
	work      float64 // seconds that are left at usual speed
	startedAt time.Duration
	target    *target
}

type model struct {
	Config
	rng      *rand.Rand
	now      time.Duration
	lender   *lending.Lender
	keys     *keyspace.Manager
	load     *keyspace.Load
	targets  map[string]*target
	order    []*target
	asked    map[uint64]*request
	nextID   uint64
	releases []keyspace.Action
	commitAt time.Duration
	fence    int64
	waits    []time.Duration
	result   Result
	ended    [outcomes]int
	busy     float64
}

// Run plays an experiment.
func Run(c Config) Result {
	m := &model{Config: c, rng: rand.New(rand.NewSource(c.Seed)), targets: map[string]*target{}, asked: map[uint64]*request{}, fence: 1}
	if c.Keyed {
		m.keys = keyspace.New(keyConfig, nil, 0)
		m.load = keyspace.NewLoad(0)
	}
	m.lender = lending.New(lending.Config{Budget: budget}, m.rng, m.ownerOf)
	m.addTargets()
	for m.now = 0; m.now < c.Warm+c.Length; m.now += step {
		m.step()
	}
	return m.finish()
}

func (m *model) addTargets() {
	var infos []lending.TargetInfo
	for i := range m.Targets {
		t := &target{speed: m.Speeds[i%len(m.Speeds)], noise: 1,
			info: lending.TargetInfo{ID: id(i), Address: "a", DataCentre: "dc", Slots: m.Slots, Life: 1, ColdRate: coldRate}}
		m.targets[t.info.ID] = t
		m.order = append(m.order, t)
		infos = append(infos, t.info)
	}
	m.lender.SetTargets(0, infos)
}

func id(i int) string {
	return string([]byte{'t', byte('a' + i/676), byte('a' + i/26%26), byte('a' + i%26)})
}

func (m *model) ownerOf(now time.Duration, key int) lending.Ownership {
	if m.keys == nil {
		return lending.Ownership{State: lending.Lost}
	}
	h, state, wait := m.keys.Owner(now, key)
	states := map[keyspace.OwnerState]lending.OwnerState{keyspace.Held: lending.Held, keyspace.Moving: lending.Moving, keyspace.Lost: lending.Lost}
	return lending.Ownership{Target: h.Target, State: states[state], Wait: wait}
}

func (m *model) step() {
	if m.NoiseSpan > 0 && m.now%m.NoiseSpan < step {
		m.drawNoise()
	}
	m.work()
	m.arrive()
	if m.keys != nil {
		m.stepKeys()
	}
	m.lender.Tick(m.now)
	m.deliver()
}

func (m *model) drawNoise() {
	for _, t := range m.order {
		t.noise = 1
		if m.rng.Float64() < m.NoiseShare {
			t.noise = m.NoiseFactor
		}
	}
}

// work lets all targets work for one step.
func (m *model) work() {
	for _, t := range m.order {
		m.busy += float64(len(t.running))
		t.running = slices.DeleteFunc(t.running, func(r *request) bool {
			r.work -= step.Seconds() / (t.speed * t.noise)
			if r.work > 0 && m.now < r.arrived+m.Deadline {
				return false
			}
			result := lending.Answered
			if r.work > 0 {
				result = lending.TimedOut
			}
			m.lender.Return(m.now, lending.Usage{ID: r.id, Result: result, Took: m.now - r.startedAt,
				Load: &lending.LoadReport{Running: len(t.running) - 1, Slots: m.Slots, Slowdown: t.noise}})
			m.end(r, result == lending.Answered)
			return true
		})
	}
}

func (m *model) end(r *request, answered bool) {
	took := m.now + 2*hop - r.arrived
	switch {
	case !answered:
		m.count(r, lost)
	case took <= m.Objective:
		m.count(r, inAim)
	default:
		m.count(r, late)
	}
}

func (m *model) count(r *request, how outcome) {
	if r.arrived >= m.Warm {
		m.ended[how]++
	}
}

func (m *model) arrive() {
	rate := m.Rate
	for _, b := range m.Bursts {
		if m.now >= b.From && m.now < b.From+b.For {
			rate *= b.Factor
		}
	}
	for n := m.poisson(rate * step.Seconds()); n > 0; n-- {
		m.nextID++
		r := &request{id: m.nextID, arrived: m.now, key: lending.NoKey, work: m.drawWork()}
		if m.keys != nil {
			r.key = m.drawKey()
			m.load.Add(r.key, m.lender.ExpectedWork("r"))
		}
		m.asked[r.id] = r
		m.lender.Ask(m.now, lending.Request{
			ID: r.id, VM: "vm", DataCentre: "dc", Route: "r", Idempotent: true, Arrived: m.now, Objective: m.now + m.Objective - 2*hop,
			Deadline: m.now + m.Deadline, Key: r.key, Print: quarantine.Fingerprint(r.id),
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
	// The inverse of the sum of rank^-skew; ranks lie side by side.
	rank := math.Pow(m.rng.Float64(), 1/(1-m.Skew)) * keyspace.Keys
	return (int(rank) + 40000) % keyspace.Keys
}

// stepKeys answers calls to targets, plans new owners and writes them.
func (m *model) stepKeys() {
	if m.now%keyTick < step {
		for _, a := range m.keys.Step(m.now, func(keyspace.Holder) bool { return true }) {
			if a.Kind == keyspace.Release {
				m.releases = append(m.releases, a)
			} else {
				m.keys.Done(m.now, a.ID, keyspace.Accepted, "")
			}
		}
	}
	m.releases = slices.DeleteFunc(m.releases, func(a keyspace.Action) bool {
		busy := slices.ContainsFunc(m.targets[a.Holder.Target].running, func(r *request) bool { return a.From <= r.key && r.key <= a.To })
		if !busy {
			m.keys.Done(m.now, a.ID, keyspace.Accepted, "h")
		}
		return !busy
	})
	if m.commitAt > 0 && m.now >= m.commitAt {
		m.fence++
		m.keys.Committed(m.now, m.fence)
		m.commitAt = 0
	}
	if m.now%planPause < step && m.commitAt == 0 {
		m.load.Decay(m.now)
		if _, change := m.keys.Propose(m.now, m.candidates(), m.load); change {
			m.commitAt = m.now + storeDelay
			if m.now >= m.Warm {
				m.result.Records++
			}
		}
	}
}

func (m *model) candidates() []keyspace.Candidate {
	var out []keyspace.Candidate
	for _, t := range m.order {
		out = append(out, keyspace.Candidate{Holder: keyspace.Holder{Target: t.info.ID, Life: 1},
			Capacity: float64(m.Slots) / m.lender.Slowness(t.info.ID)})
	}
	return out
}

func (m *model) deliver() {
	for _, d := range m.lender.Take() {
		r := m.asked[d.ID]
		delete(m.asked, d.ID)
		if !d.Lent {
			m.count(r, refused)
			continue
		}
		t := m.targets[d.Target]
		r.startedAt, r.target = m.now, t
		t.running = append(t.running, r)
		if r.arrived >= m.Warm {
			m.waits = append(m.waits, d.Waited)
		}
	}
}

func (m *model) finish() Result {
	r := m.result
	for _, n := range m.ended {
		r.Requests += n
	}
	n := float64(max(1, r.Requests))
	share := func(o outcome) float64 { return float64(m.ended[o]) / n }
	r.InAim, r.Late, r.Refused, r.Lost = share(inAim), share(late), share(refused), share(lost)
	slices.Sort(m.waits)
	at := func(q float64) time.Duration {
		if len(m.waits) == 0 {
			return 0
		}
		return m.waits[int(q*float64(len(m.waits)-1))]
	}
	r.WaitedP50, r.WaitedP90, r.WaitedP99 = at(0.5), at(0.9), at(0.99)
	if m.keys != nil {
		r.Ranges = len(m.keys.Assignments())
	}
	r.Use = m.busy * step.Seconds() / (m.Warm + m.Length).Seconds() / float64(m.Targets*m.Slots)
	return r
}
