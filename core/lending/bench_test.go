package lending

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// BenchmarkLeader runs one second of a leader of 266 targets with 4 slots each and 1,700
// requests/s per iteration, ticked as node/cell does. In "even" the keys are spread over the
// targets and few requests wait. In "uneven" a fifth of the targets is slow and a tenth of the
// requests has one key, so that requests wait. "pool" has no keys.
func BenchmarkLeader(b *testing.B) {
	for _, c := range []struct {
		name      string
		key       func(rng *rand.Rand) int
		slowdown  int
		perSecond int
	}{
		{"even", func(rng *rand.Rand) int { return rng.Intn(266) }, 1, 1700},
		{"uneven", func(rng *rand.Rand) int {
			if rng.Intn(10) == 0 {
				return 0
			}
			return rng.Intn(266)
		}, 8, 1700},
		{"pool", func(*rand.Rand) int { return NoKey }, 1, 1700},
		{"pool, full", func(*rand.Rand) int { return NoKey }, 4, 1700},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkLeader(b, c.key, c.slowdown, c.perSecond) })
	}
}

func benchmarkLeader(b *testing.B, key func(*rand.Rand) int, slowdown, perSecond int) {
	const tick = 10 * ms
	rng := rand.New(rand.NewSource(1))
	infos := pool(266)
	for i := range infos {
		infos[i].Slots = 4
	}
	var ids [266]string
	for i := range ids {
		ids[i] = fmt.Sprint("t", i)
	}
	l := newLender(testConfig(), func(_ time.Duration, key int) Ownership { return Ownership{Target: ids[key], State: Held} }, infos...)
	type end struct {
		id   uint64
		took time.Duration
	}
	const rounds = 1024
	ends := make([][]end, rounds) // requests that end, by tick
	id, round, waiting, decisions := uint64(0), 0, 0, 0
	b.ReportAllocs()
	for b.Loop() {
		for range int(time.Second / tick) {
			now := time.Duration(round) * tick
			slot := &ends[round%rounds]
			for _, e := range *slot {
				l.Return(now, Usage{ID: e.id, Result: Answered, Took: e.took, Load: &LoadReport{Slots: 4, Slowdown: 1.1}})
			}
			*slot = (*slot)[:0]
			for range perSecond / int(time.Second/tick) {
				id++
				r := request(id, now)
				r.VM, r.Key, r.Objective, r.Deadline = "vm", key(rng), now+600*ms, now+1500*ms
				l.RequestSlot(now, r)
			}
			l.Tick(now)
			for _, d := range l.TakeDecisions() {
				decisions++
				if !d.Lent {
					continue
				}
				took := time.Duration((0.5 + rng.Float64()) * float64(200*ms))
				if slowdown > 1 && (l.leases[d.ID].Key == NoKey || l.leases[d.ID].Key%5 == 0) {
					took *= time.Duration(slowdown)
				}
				i := (round + 1 + int(took/tick)) % rounds
				ends[i] = append(ends[i], end{d.ID, took})
			}
			waiting += l.Waiting()
			round++
		}
	}
	b.ReportMetric(float64(waiting)/float64(round), "waiting")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(decisions), "us/decision")
}
