package admission

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// job is one request of a simulation. Its service time at a target is service
// multiplied by the target's factor. simulate and optimalLatencies set latency.
type job struct {
	arrival, service, latency time.Duration
}

// completion is the end of a started request.
type completion struct {
	at     time.Duration
	finish Finish
	target int
}

// completions is a heap by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulate runs the jobs through a group of targets with 3 slots each and sets
// their latencies. factor returns the slowdown of a target, given its numbers of
// requests in flight and completed.
func simulate(t *testing.T, jobs []job, targets int, factor func(target, inFlight, done int) float64) {
	g := NewGroup(DefaultConfig(len(jobs)))
	index, inFlight, done := map[string]int{}, make([]int, targets), make([]int, targets)
	for i := range targets {
		name := fmt.Sprint("t", i)
		index[name] = i
		g.Step(0, TargetUpdate{Target: name, BootID: "b", Slots: 3, Available: true})
	}
	var running completions
	step := func(now time.Duration, ev Event) {
		for _, a := range g.Step(now, ev) {
			s, ok := a.(Start)
			require.True(t, ok, "%#v", a)
			i := index[s.Target]
			inFlight[i]++
			took := time.Duration(float64(jobs[s.ID].service) * factor(i, inFlight[i], done[i]))
			heap.Push(&running, completion{now + took, Finish{ID: s.ID, Result: ResultDone, ServiceTime: took}, i})
		}
	}
	for next := 0; next < len(jobs) || len(running) > 0; {
		if len(running) == 0 || next < len(jobs) && jobs[next].arrival <= running[0].at {
			step(jobs[next].arrival, Arrive{ID: ID(next), Deadline: jobs[next].arrival + time.Hour})
			next++
			continue
		}
		c := heap.Pop(&running).(completion)
		inFlight[c.target]--
		done[c.target]++
		jobs[c.finish.ID].latency = c.at - jobs[c.finish.ID].arrival
		step(c.at, c.finish)
	}
	require.Zero(t, g.QueueLength()+g.InFlight(), "requests were lost")
}

// optimalLatencies sets the latencies that result if each job is assigned, as
// it arrives, to the slot that finishes it first, with all service times known.
func optimalLatencies(jobs []job, factors []float64) {
	free := make([]time.Duration, 3*len(factors))
	for k := range jobs {
		j := &jobs[k]
		slot, end := 0, time.Duration(-1)
		for s, at := range free {
			if e := max(at, j.arrival) + time.Duration(float64(j.service)*factors[s/3]); end < 0 || e < end {
				slot, end = s, e
			}
		}
		free[slot], j.latency = end, end-j.arrival
	}
}

// poisson returns n jobs with exponential gaps (rate jobs/s) and exponential
// service times.
func poisson(seed int64, n int, rate float64, mean time.Duration) []job {
	rng := rand.New(rand.NewSource(seed))
	jobs, now := make([]job, n), time.Duration(0)
	for k := range jobs {
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		jobs[k] = job{arrival: now, service: time.Duration(rng.ExpFloat64() * float64(mean))}
	}
	return jobs
}

// p99 returns the 99th percentile of the latencies. It leaves out the jobs of
// the first second, in which the limits of the targets still grow.
func p99(jobs []job) time.Duration {
	var latencies []time.Duration
	for _, j := range jobs {
		if j.arrival > time.Second {
			latencies = append(latencies, j.latency)
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// Guards against a high tail latency from one slow target that gets too many
// requests.
func TestStragglerTail(t *testing.T) {
	factors := []float64{10, 1, 1, 1, 1, 1, 1, 1, 1}
	rate := 0.5 * (8 + 0.1) * 3 / 0.005
	for seed := int64(1); seed <= 3; seed++ {
		jobs := poisson(seed, 30_000, rate, 5*time.Millisecond)
		optimal := slices.Clone(jobs)
		simulate(t, jobs, len(factors), func(i, _, _ int) float64 { return factors[i] })
		optimalLatencies(optimal, factors)
		ratio := float64(p99(jobs)) / float64(p99(optimal))
		t.Logf("seed %d: p99 %v, optimal %v, ratio %.3f", seed, p99(jobs), p99(optimal), ratio)
		require.LessOrEqual(t, ratio, 1.2)
	}
}

// Guards against overload of a cold target: it must not get two requests in
// flight before its first 8 completions.
func TestColdTargetNeverFallsOver(t *testing.T) {
	for _, targets := range []int{1, 3} {
		jobs := poisson(1, 2000, 300, 5*time.Millisecond)
		simulate(t, jobs, targets, func(i, inFlight, done int) float64 {
			require.True(t, inFlight == 1 || done >= 8, "target %d was overloaded after %d completions", i, done)
			return 1
		})
	}
}
