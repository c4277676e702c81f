package lending

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/locality"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// centres returns 10 warm targets with 3 slots in each of some data centres.
func centres(names ...string) []TargetInfo {
	var out []TargetInfo
	for _, dc := range names {
		for i := range 10 {
			out = append(out, TargetInfo{ID: fmt.Sprintf("%s%d", dc, i), Address: "a", DataCentre: dc, Slots: 3, Life: 1, ColdRate: 11})
		}
	}
	return out
}

func spilloverConfig() Config {
	cfg := testConfig()
	cfg.Spillover = &locality.Config{PricePerMB: 100 * ms}
	return cfg
}

// traffic simulates requests of three data centres at the targets of a lender. Work is
// exponential with a mean of 80 ms, which the lender assumes at first.
type traffic struct {
	lender  *Lender
	rng     *rand.Rand
	now     time.Duration
	nextID  uint64
	open    map[uint64]Request
	ends    endings
	targets map[string]TargetInfo
	rate    func(now time.Duration, dc string) float64 // requests/s
	delay   func(from, to string) time.Duration        // one way
	load    *LoadReport                                // of each answer, or nil

	asked, inTime, refused, away int
	sent                         map[link]int
	total                        time.Duration // of the times of all answers
}

type ending struct {
	at time.Duration
	u  Usage
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newTraffic(cfg Config, rate func(time.Duration, string) float64) *traffic {
	tr := &traffic{
		lender: newLender(cfg, nil, centres("a", "b", "c")...), rng: rand.New(rand.NewSource(7)), open: map[uint64]Request{},
		targets: map[string]TargetInfo{}, rate: rate, sent: map[link]int{},
		delay: func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return ms
		},
	}
	for _, info := range centres("a", "b", "c") {
		tr.targets[info.ID] = info
	}
	return tr
}

// run advances the simulation, in steps of 1 ms, by some time and returns itself.
func (tr *traffic) run(d time.Duration) *traffic {
	for end := tr.now + d; tr.now < end; tr.now += ms {
		for len(tr.ends) > 0 && tr.ends[0].at <= tr.now {
			tr.lender.Return(tr.now, heap.Pop(&tr.ends).(ending).u)
			tr.collect()
		}
		for _, dc := range []string{"a", "b", "c"} {
			for n := tr.poisson(tr.rate(tr.now, dc) / 1000); n > 0; n-- {
				tr.nextID++
				r := request(tr.nextID, tr.now)
				r.DataCentre, r.VM = dc, "vm-"+dc
				tr.asked++
				tr.open[r.ID] = r
				tr.lender.RequestSlot(tr.now, r)
			}
		}
		if tr.now%(10*ms) == 0 {
			tr.lender.Tick(tr.now)
		}
		tr.collect()
	}
	return tr
}

func (tr *traffic) poisson(mean float64) int {
	n := 0
	for p := tr.rng.Float64(); p > math.Exp(-mean); p *= tr.rng.Float64() {
		n++
	}
	return n
}

func (tr *traffic) collect() {
	for _, d := range tr.lender.TakeDecisions() {
		r := tr.open[d.ID]
		delete(tr.open, d.ID)
		if !d.Lent {
			tr.refused++
			continue
		}
		dc := tr.targets[d.Target].DataCentre
		took := time.Duration(tr.rng.ExpFloat64()*float64(80*ms)) + 2*tr.delay(r.DataCentre, dc)
		heap.Push(&tr.ends, ending{tr.now + took, Usage{ID: d.ID, Result: Answered, Took: took, Bytes: 20_000, Load: tr.load}})
		tr.sent[link{r.DataCentre, dc}]++
		if dc != r.DataCentre {
			tr.away++
		}
		tr.total += tr.now + took - r.Arrived
		if tr.now+took <= r.Objective {
			tr.inTime++
		}
	}
}

func (tr *traffic) meanTime() time.Duration { return tr.total / time.Duration(tr.asked-tr.refused) }

func (tr *traffic) String() string {
	return fmt.Sprintf("asked %d, away %.1f %%, in time %.1f %%, refused %.1f %%, mean %v", tr.asked, 100*float64(tr.away)/float64(tr.asked),
		100*float64(tr.inTime)/float64(tr.asked), 100*float64(tr.refused)/float64(tr.asked), tr.meanTime().Round(100*time.Microsecond))
}

// Guards against a spillover that saves bytes at the cost of answers, or the reverse: with
// it, no load has fewer answers in time, and normal loads have at most half the requests
// that leave their data centre.
func TestSpilloverAgainstConstantPenalty(t *testing.T) {
	const full = 375.0 // requests/s that keep 30 slots busy
	constant := func(a, b, c float64) func(time.Duration, string) float64 {
		return func(_ time.Duration, dc string) float64 {
			return full * map[string]float64{"a": a, "b": b, "c": c}[dc]
		}
	}
	for _, test := range []struct {
		name    string
		rate    func(time.Duration, string) float64
		maxAway float64 // most requests away, relative to those without spillover
	}{
		{"normal load", constant(0.5, 0.6, 0.7), 0.5},
		{"uneven load", constant(0.85, 0.4, 0.5), 0.5},
		{"one at twice its capacity", constant(2, 0.2, 0.2), 1.05},
		{"all full", constant(1.2, 1.2, 1.2), 0.5},
		{"wave", func(now time.Duration, dc string) float64 {
			phase := 2 * math.Pi * (now.Seconds()/10 - float64(dc[0]-'a')/3)
			return full * (0.2 + 1.2*max(0, math.Cos(phase)))
		}, 1.05},
	} {
		for name, load := range map[string]*LoadReport{"targets report": {Slots: 3, Slowdown: 1}, "targets report nothing": nil} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				before, after := newTraffic(testConfig(), test.rate), newTraffic(spilloverConfig(), test.rate)
				before.load, after.load = load, load
				t.Logf("without: %v", before.run(20*time.Second))
				t.Logf("with:    %v", after.run(20*time.Second))
				assert.LessOrEqual(t, float64(after.away), test.maxAway*float64(before.away))
				assert.GreaterOrEqual(t, float64(after.inTime)/float64(after.asked), float64(before.inTime)/float64(before.asked)-0.005)
			})
		}
	}
}

// Guards against a change of deployments that do not enable spillover: their requests pay
// the constant penalty for other data centres, whatever their size, and nothing is counted.
func TestSpilloverIsOffByDefault(t *testing.T) {
	l := newLender(testConfig(), nil, centres("a", "b")...)
	r := request(1, 0)
	r.DataCentre = "a"
	penalty := l.expectedTime(0, &r, l.targets["b0"]) - l.expectedTime(0, &r, l.targets["a0"])
	assert.InDelta(t, float64(crossDataCentreCost), penalty, 1)
	l.RequestSlot(0, r)
	assert.Nil(t, l.TakeCounts(0).Locality)
}

// Guards against any effect of spillover on a fleet with one data centre.
func TestOneDataCentreIsServedAsBefore(t *testing.T) {
	decisions := func(cfg Config) (out []Decision) {
		l := newLender(cfg, nil, centres("dc")...)
		rng := rand.New(rand.NewSource(3))
		var ends endings
		for now := time.Duration(0); now < 10*time.Second; now += 2 * ms {
			for len(ends) > 0 && ends[0].at <= now {
				l.Return(now, heap.Pop(&ends).(ending).u)
			}
			l.RequestSlot(now, request(uint64(now), now))
			l.Tick(now)
			for _, d := range l.TakeDecisions() {
				out = append(out, d)
				if took := time.Duration(rng.ExpFloat64() * float64(80*ms)); d.Lent {
					heap.Push(&ends, ending{now + took, Usage{ID: d.ID, Result: Answered, Took: took}})
				}
			}
		}
		return out
	}
	assert.Equal(t, decisions(testConfig()), decisions(spilloverConfig()))
}

// Guards against requests that wait for targets of a lost data centre or are sent there:
// from its loss on its callers are served elsewhere, and at home again after its return.
func TestLossOfADataCentreWithSpillover(t *testing.T) {
	tr := newTraffic(spilloverConfig(), func(time.Duration, string) float64 { return 150 }).run(3 * time.Second)
	assert.Zero(t, tr.sent[link{"c", "a"}]+tr.sent[link{"c", "b"}])
	tr.lender.SetTargets(tr.now, centres("a", "b"))
	atHome := tr.sent[link{"c", "c"}]
	tr.run(3 * time.Second)
	assert.Equal(t, atHome, tr.sent[link{"c", "c"}], "requests at targets that are lost")
	assert.Zero(t, tr.refused)
	counts := tr.lender.TakeCounts(tr.now).Locality
	assert.Equal(t, locality.HomeLost, counts[2].Reason)
	tr.lender.SetTargets(tr.now, centres("a", "b", "c"))
	away := tr.sent[link{"c", "a"}] + tr.sent[link{"c", "b"}]
	tr.run(3 * time.Second)
	assert.InDelta(t, away, tr.sent[link{"c", "a"}]+tr.sent[link{"c", "b"}], 5, "requests that leave although home has capacity again")
}

// Guards against requests that go over a slow link and fare worse than by waiting. The
// delay is known only from the times of the requests that were sent over it.
func TestSlowLinkGetsLittleSpill(t *testing.T) {
	tr := newTraffic(spilloverConfig(), func(_ time.Duration, dc string) float64 {
		return map[string]float64{"a": 500, "b": 100, "c": 100}[dc]
	})
	tr.load = &LoadReport{Slots: 3, Slowdown: 1}
	usual := tr.delay
	tr.delay = func(from, to string) time.Duration {
		if from == "a" && to == "b" {
			return 100 * ms
		}
		return usual(from, to)
	}
	tr.run(3 * time.Second)
	learned := tr.sent[link{"a", "b"}]
	asked := tr.asked
	tr.run(5 * time.Second)
	assert.Less(t, float64(tr.sent[link{"a", "b"}]-learned), 0.02*float64(tr.asked-asked), "requests over the slow link")
	assert.Greater(t, tr.sent[link{"a", "c"}], 400, "the excess goes over the other link")
}

// Guards against a data centre whose waiting requests hold up those of the others, which
// share one queue with them: a request for a data centre with free slots is sent at once.
func TestWaitingForHomeHoldsUpNoOther(t *testing.T) {
	l := newLender(spilloverConfig(), nil, centres("a", "b")...)
	send := func(id uint64, dc string) Decision {
		r := request(id, 0)
		r.DataCentre, r.Objective, r.Deadline = dc, time.Second, 3*time.Second
		l.RequestSlot(0, r)
		return takeDecisions(l)[id]
	}
	for id := uint64(1); id <= 30; id++ {
		assert.True(t, send(id, "a").Lent)
	}
	assert.False(t, send(31, "a").Lent, "waits at home, because a slot there is free sooner than an answer comes from elsewhere")
	d := send(32, "b")
	assert.True(t, d.Lent)
	assert.Equal(t, "b", l.targets[d.Target].DataCentre)
}

// Guards against a spill that depends on what an earlier leader knew: a leader that starts
// under load sends the excess away within two seconds.
func TestNewLeaderLearnsTheShares(t *testing.T) {
	tr := newTraffic(spilloverConfig(), func(_ time.Duration, dc string) float64 {
		return map[string]float64{"a": 600, "b": 60, "c": 60}[dc]
	})
	tr.run(2 * time.Second)
	counts := tr.lender.TakeCounts(tr.now).Locality
	assert.Less(t, counts[0].Share, 0.8)
	assert.Equal(t, locality.HomeShort, counts[0].Reason)
	assert.Zero(t, tr.refused)
}

// Guards against overload of a target, lost requests and requests that wait although home
// has a free slot, for any sequence of requests, losses and cold starts of data centres.
func TestSpilloverKeepsSlotsAndDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		l := newLender(spilloverConfig(), nil, centres(names...)...)
		inFlight, dataCentre := map[string]int{}, map[string]string{}
		for _, info := range centres(names...) {
			dataCentre[info.ID] = info.DataCentre
		}
		asked, decided := map[uint64]Request{}, map[uint64]bool{}
		var open []Decision
		now, id := time.Duration(0), uint64(0)
		lost, cold := map[string]bool{}, map[string]bool{}
		for range 100 {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				dc := rapid.SampledFrom(names).Draw(t, "changes")
				lost[dc], cold[dc] = rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "cold")
				var infos []TargetInfo
				for _, info := range centres(names...) {
					if cold[info.DataCentre] {
						info.ColdUntil = now + 100*ms
					}
					if !lost[info.DataCentre] {
						infos = append(infos, info)
					}
				}
				l.SetTargets(now, infos)
			case 1, 2, 3:
				for n := rapid.IntRange(1, 10).Draw(t, "ends"); n > 0 && len(open) > 0; n-- {
					d := open[0]
					open = open[1:]
					inFlight[d.Target]--
					l.Return(now, Usage{ID: d.ID, Result: Answered, Took: time.Duration(rapid.IntRange(1, 400).Draw(t, "took")) * ms, Bytes: 1000})
				}
			default:
				dc := rapid.SampledFrom(names).Draw(t, "from")
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					id++
					r := request(id, now)
					r.DataCentre, r.VM = dc, "vm-"+dc
					asked[id] = r
					l.RequestSlot(now, r)
				}
			}
			l.Tick(now)
			for _, d := range l.TakeDecisions() {
				require.False(t, decided[d.ID], "request %d is decided twice", d.ID)
				decided[d.ID] = true
				if d.Lent {
					open = append(open, d)
					inFlight[d.Target]++
					require.LessOrEqual(t, inFlight[d.Target], 3)
					require.False(t, lost[dataCentre[d.Target]] && l.targets[d.Target].usable)
				}
			}
			free := map[string]bool{}
			for _, target := range l.targets {
				free[target.DataCentre] = free[target.DataCentre] || target.available(now) && l.hasRoom(now, target)
			}
			for _, r := range l.sharedQueue {
				require.False(t, free[r.DataCentre], "a request waits although home, %s, has a free slot", r.DataCentre)
			}
			require.Equal(t, len(asked), len(decided)+l.Waiting())
			// Leases that expired are free for others.
			open = slices.DeleteFunc(open, func(d Decision) bool {
				_, _, held := l.SlotLease(d.ID)
				if !held {
					inFlight[d.Target]--
				}
				return !held
			})
		}
	})
}
