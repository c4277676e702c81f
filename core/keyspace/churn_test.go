package keyspace

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// traffic is a stream of requests for keys: most of them spread over all keys,
// and a share for a few busy keys side by side.
type traffic struct {
	rng      *rand.Rand
	rate     float64 // requests/s
	work     time.Duration
	hotShare float64
	hotFrom  int
	hotKeys  int
}

func (tr *traffic) add(load *Load, span time.Duration) {
	for range int(tr.rate * span.Seconds()) {
		key := tr.rng.Intn(Keys)
		if tr.rng.Float64() < tr.hotShare {
			key = tr.hotFrom + tr.rng.Intn(tr.hotKeys)
		}
		load.Add(key, tr.work)
	}
}

// churn is what a span of planning did.
type churn struct {
	records  int     // written to the store
	parts    int     // ranges at the end
	mostBusy float64 // use of the busiest target at the end, without noise
}

const planPause = 400 * time.Millisecond

// play lets plans follow the traffic for a span of time.
func (tr *traffic) play(m *Manager, c []Candidate, load *Load, from, span time.Duration) churn {
	var out churn
	for now := from; now < from+span; now += planPause {
		tr.add(load, planPause)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			out.records++
			m.Committed(now, int64(now)+1)
		}
		for range 3 {
			answerAll(m, now, Accepted)
		}
	}
	out.parts = len(m.Assignments())
	out.mostBusy = tr.busiest(m, c)
	return out
}

// busiest returns the use of the busiest target under the mean traffic.
func (tr *traffic) busiest(m *Manager, c []Candidate) float64 {
	slots := tr.rate * tr.work.Seconds()
	by := map[Holder]float64{}
	for _, a := range m.Assignments() {
		hot := min(a.To, tr.hotFrom+tr.hotKeys-1) - max(a.From, tr.hotFrom) + 1
		by[a.Owner] += slots * ((1-tr.hotShare)*float64(a.To-a.From+1)/Keys + tr.hotShare*float64(max(0, hot))/float64(max(1, tr.hotKeys)))
	}
	most := 0.0
	for _, cand := range c {
		most = max(most, by[cand.Holder]/cand.Capacity)
	}
	return most
}

// fleetOf returns targets of three speeds.
func fleetOf(n int) []Candidate {
	c := many(n)
	for i := range c {
		c[i].Capacity = [...]float64{4.2, 4.2, 1.9}[i%3]
	}
	return c
}

// Many targets with a few requests a second each: what looks like an uneven
// load is mostly chance. Each record is passed on to all VMs and each range is
// a call in each renewal, so neither may grow with the time. Seen on a day with
// 185 targets: 1,400 ranges, each of them in a record every 0.4 s, filled the
// leader's link, and a new configuration reached some VMs too late.
func TestChanceDoesNotCutKeysToPieces(t *testing.T) {
	for _, n := range []int{13, 185} {
		m, load, c := New(testConfig(), nil, 0), &Load{}, fleetOf(n)
		tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 5.5 * float64(n), work: 260 * time.Millisecond, hotKeys: 1}
		tr.play(m, c, load, 0, 20*time.Second)
		after := tr.play(m, c, load, 20*time.Second, 40*time.Second)
		t.Logf("%d targets: %+v", n, after)
		assert.LessOrEqual(t, after.parts, 2*n)
		assert.LessOrEqual(t, after.records, 25, "in 100 plans")
		assert.Less(t, after.mostBusy, 0.8)
	}
}

// Busy keys side by side that change place every few seconds: each hot spot is
// spread within two seconds, and the pieces are joined again afterwards.
func TestWanderingHotSpotLeavesNoPieces(t *testing.T) {
	for _, n := range []int{13, 185} {
		m, load, c := New(testConfig(), nil, 0), &Load{}, fleetOf(n)
		tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 4.5 * float64(n), work: 260 * time.Millisecond, hotShare: 0.3, hotKeys: 200}
		now := time.Duration(0)
		for _, at := range []int{20000, 41000, 3000, 60000, 33000, 12000} {
			tr.hotFrom = at
			spread := tr.play(m, c, load, now, 2*time.Second)
			now += 2 * time.Second
			settled := tr.play(m, c, load, now, 3*time.Second)
			now += 3 * time.Second
			t.Logf("%d targets, hot at %d: after 2 s %+v, after 5 s %+v", n, at, spread, settled)
			assert.Less(t, settled.mostBusy, 1.0)
			assert.LessOrEqual(t, settled.parts, 2*n+2*n/3)
		}
	}
}

// All VMs were lost and the keys are in many ranges. The new leader has not
// seen any load yet: no key may change hands because of that, and once it has
// seen some, only a few at a time, since requests for them wait. Seen on a day
// on which 229 of 251 ranges were moving for 4 s after the VMs came back.
func TestNewLeaderLeavesKeysWhereTheyAre(t *testing.T) {
	const n = 129
	c := fleetOf(n)
	var held []Assignment
	for i := range 250 {
		held = append(held, Assignment{From: i * 262, To: i*262 + 261, Owner: c[i*37%n].Holder, Fence: 1})
	}
	held[len(held)-1].To = Keys - 1
	m, load := New(testConfig(), held, 0), NewLoad(0)
	m.TakeOver()
	m.Committed(0, 2)
	answerAll(m, 0, Accepted)
	tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 6 * n, work: 190 * time.Millisecond, hotKeys: 1}
	most := 0
	for now := time.Duration(0); now < 10*time.Second; now += planPause {
		tr.add(load, planPause)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			m.Committed(now, int64(now)+3)
		}
		if now < loadHalfLife {
			for _, a := range m.Assignments() {
				require.Empty(t, a.Prior, "after %s", now)
			}
		}
		for _, a := range m.Step(now, runs) {
			if a.Kind == Grant { // releases wait for work that runs on the keys
				m.Done(now, a.ID, Accepted, "")
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

// A leader has taken a cell over while one end of the keys is hot. Grants of the
// leader before may still be carried out for some seconds, so that a range that
// moved would have no owner for as long: until then the load stays where it is,
// and is evened out after that. Seen on a day on which 60 ranges waited for 4 s
// and 2,900 requests for them were refused.
func TestLoadStaysWhileEarlierGrantsMayHold(t *testing.T) {
	const n, bound = 20, 5 * time.Second
	c := fleetOf(n)
	var held []Assignment
	for i := range n {
		held = append(held, Assignment{From: i * Keys / n, To: (i+1)*Keys/n - 1, Owner: c[i].Holder, Fence: 1})
	}
	m, load := New(testConfig(), held, bound), NewLoad(0)
	m.TakeOver()
	m.Committed(0, 2)
	tr := &traffic{rng: rand.New(rand.NewSource(1)), rate: 4 * n, work: 260 * time.Millisecond, hotShare: 0.4, hotKeys: 2000}
	moved := 0
	for now := time.Duration(0); now < 10*time.Second; now += planPause {
		tr.add(load, planPause)
		load.Decay(now)
		if _, change := m.Propose(now, c, load); change {
			m.Committed(now, int64(now)+3)
		}
		for _, a := range m.Step(now, runs) {
			m.Done(now, a.ID, Accepted, "h")
			if a.Kind == Release {
				moved++
			}
		}
		m.Step(now, runs) // drops the holders that have released
		without := 0
		for key := 0; key < Keys; key += 64 {
			if _, state, _ := m.Owner(now, key); state != Held && now < bound {
				without++
			}
		}
		require.Zero(t, without, "keys without an owner after %s", now)
		if now < bound {
			require.Zero(t, moved)
		}
	}
	assert.NotZero(t, moved, "the hot end is spread later")
}
