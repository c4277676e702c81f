package keyspace

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// traffic generates requests: hotShare of them for hotKeys adjacent keys from
// hotFrom on, the others uniformly over all keys.
type traffic struct {
	rng      *rand.Rand
	rate     float64 // requests/s
	work     time.Duration
	hotShare float64
	hotFrom  int
	hotKeys  int
}

// add counts the requests of a span of time in a load.
func (tr *traffic) add(load *Load, span time.Duration) {
	for range int(tr.rate * span.Seconds()) {
		key := tr.rng.Intn(Keys)
		if tr.rng.Float64() < tr.hotShare {
			key = tr.hotFrom + tr.rng.Intn(tr.hotKeys)
		}
		load.Add(key, tr.work)
	}
}

// planningResult is the outcome of repeated planning.
type planningResult struct {
	records        int     // number written to the store
	ranges         int     // ranges at the end
	maxUtilization float64 // of the most utilized target at the end, under the mean traffic
}

// planInterval is the time between two plans.
const planInterval = 400 * time.Millisecond

// run generates traffic for a span of time and applies a plan each planInterval.
func (tr *traffic) run(m *Manager, c []Candidate, load *Load, from, span time.Duration) planningResult {
	var out planningResult
	for now := from; now < from+span; now += planInterval {
		tr.add(load, planInterval)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			out.records++
			m.Committed(now, int64(now)+1)
		}
		for range 3 {
			completeDueCalls(m, now, Accepted)
		}
	}
	out.ranges = len(m.Assignments())
	out.maxUtilization = tr.busiestUtilization(m, c)
	return out
}

// busiestUtilization returns the utilization of the most utilized target under the
// mean traffic, that is, without random variation.
func (tr *traffic) busiestUtilization(m *Manager, c []Candidate) float64 {
	slots := tr.rate * tr.work.Seconds()
	loadByHolder := map[Holder]float64{}
	for _, a := range m.Assignments() {
		hot := min(a.To, tr.hotFrom+tr.hotKeys-1) - max(a.From, tr.hotFrom) + 1
		loadByHolder[a.Owner] += slots * ((1-tr.hotShare)*float64(a.To-a.From+1)/Keys + tr.hotShare*float64(max(0, hot))/float64(max(1, tr.hotKeys)))
	}
	most := 0.0
	for _, cand := range c {
		most = max(most, loadByHolder[cand.Holder]/cand.Capacity)
	}
	return most
}

// mixedCandidates returns candidates of different capacities.
func mixedCandidates(n int) []Candidate {
	c := manyCandidates(n)
	for i := range c {
		c[i].Capacity = [...]float64{4.2, 4.2, 1.9}[i%3]
	}
	return c
}

// Guards against ranges that are split ever further because of random load
// variation, which is large when each target gets a few requests per second. Once,
// with 185 targets, a record of 1,400 ranges every 0.4 s, sent to all VMs, filled the
// leader's link, and a new configuration reached some VMs too late. Each range also
// costs one call per renewal.
func TestLoadNoiseDoesNotFragmentRanges(t *testing.T) {
	for _, n := range []int{13, 185} {
		m, load, c := New(testConfig(), nil, 0), &Load{}, mixedCandidates(n)
		tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 5.5 * float64(n), work: 260 * time.Millisecond, hotKeys: 1}
		tr.run(m, c, load, 0, 20*time.Second)
		after := tr.run(m, c, load, 20*time.Second, 40*time.Second)
		t.Logf("%d targets: %+v", n, after)
		assert.LessOrEqual(t, after.ranges, 2*n)
		assert.LessOrEqual(t, after.records, 25, "in 100 plans")
		assert.Less(t, after.maxUtilization, 0.8)
	}
}

// Guards against a hot spot that stays on few targets and against leftover small
// ranges. A group of adjacent hot keys moves every five seconds; by then its load
// must be spread and the split ranges merged. The state after two seconds is logged.
func TestMovingHotSpotDoesNotFragmentRanges(t *testing.T) {
	for _, n := range []int{13, 185} {
		m, load, c := New(testConfig(), nil, 0), &Load{}, mixedCandidates(n)
		tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 4.5 * float64(n), work: 260 * time.Millisecond, hotShare: 0.3, hotKeys: 200}
		now := time.Duration(0)
		for _, at := range []int{20000, 41000, 3000, 60000, 33000, 12000} {
			tr.hotFrom = at
			after2s := tr.run(m, c, load, now, 2*time.Second)
			now += 2 * time.Second
			after5s := tr.run(m, c, load, now, 3*time.Second)
			now += 3 * time.Second
			t.Logf("%d targets, hot at %d: after 2 s %+v, after 5 s %+v", n, at, after2s, after5s)
			assert.Less(t, after5s.maxUtilization, 1.0)
			assert.LessOrEqual(t, after5s.ranges, 2*n+2*n/3)
		}
	}
}

// Guards against a new leader that moves most ranges at once after all VMs were
// lost. Until it has measured the load, no range may change owner; later at most a
// third may at a time, because requests for moving keys wait. Once, 229 of 251
// ranges were moving for 4 s after the VMs came back.
func TestNewLeaderKeepsAssignments(t *testing.T) {
	const n = 129
	c := mixedCandidates(n)
	var held []Assignment
	for i := range 250 {
		held = append(held, Assignment{From: i * 262, To: i*262 + 261, Owner: c[i*37%n].Holder, Fence: 1})
	}
	held[len(held)-1].To = Keys - 1
	m, load := New(testConfig(), held, 0), NewLoad(0)
	m.TakeOver()
	m.Committed(0, 2)
	completeDueCalls(m, 0, Accepted)
	tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 6 * n, work: 190 * time.Millisecond, hotKeys: 1}
	most := 0
	for now := time.Duration(0); now < 10*time.Second; now += planInterval {
		tr.add(load, planInterval)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			m.Committed(now, int64(now)+3)
		}
		if now < loadHalfLife {
			for _, a := range m.Assignments() {
				require.Empty(t, a.Prior, "after %s", now)
			}
		}
		for _, a := range m.Step(now, alwaysMayRun) {
			if a.Kind == Grant { // releases stay unanswered: work on the keys goes on
				m.ReportResult(now, a.ID, Accepted, "")
			}
		}
		moving := 0
		for _, a := range m.Assignments() {
			if len(a.Prior) > 0 {
				moving++
			}
		}
		most = max(most, moving)
	}
	assert.LessOrEqual(t, most, 250/3)
}

// Guards against balancing too early after a failover. Grants of the previous
// leader may still take effect for some seconds, and a range moved in that time
// has no owner until they expire. Once, 60 ranges waited for 4 s and 2,900 requests
// for them were refused.
func TestLoadStaysWhileEarlierGrantsMayHold(t *testing.T) {
	const n, bound = 20, 5 * time.Second
	c := mixedCandidates(n)
	var held []Assignment
	for i := range n {
		held = append(held, Assignment{From: i * Keys / n, To: (i+1)*Keys/n - 1, Owner: c[i].Holder, Fence: 1})
	}
	m, load := New(testConfig(), held, bound), NewLoad(0)
	m.TakeOver()
	m.Committed(0, 2)
	tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 4 * n, work: 260 * time.Millisecond, hotShare: 0.4, hotKeys: 2000}
	moved := 0
	for now := time.Duration(0); now < 10*time.Second; now += planInterval {
		tr.add(load, planInterval)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			m.Committed(now, int64(now)+3)
		}
		for _, a := range m.Step(now, alwaysMayRun) {
			m.ReportResult(now, a.ID, Accepted, "h")
			if a.Kind == Release {
				moved++
			}
		}
		m.Step(now, alwaysMayRun) // removes the prior holders that have released
		unowned := 0
		for key := 0; key < Keys; key += 64 {
			if _, state, _ := m.Owner(now, key); state != Held && now < bound {
				unowned++
			}
		}
		require.Zero(t, unowned, "keys without an owner after %s", now)
		if now < bound {
			require.Zero(t, moved)
		}
	}
	assert.NotZero(t, moved, "the load of the hot keys is spread after the bound")
}
