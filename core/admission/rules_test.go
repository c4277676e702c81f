package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// harness applies single events to a group.
type harness struct {
	g    *Group
	now  time.Duration
	next ID
}

func newHarness(targets ...string) *harness {
	r := &harness{g: NewGroup(DefaultConfig(1000))}
	for _, name := range targets {
		r.g.Step(0, TargetUpdate{Target: name, BootID: "1", Slots: 3, Available: true})
	}
	return r
}

// step applies an event and returns the requests that it started, in order.
func (r *harness) step(ev Event) (started []Start) {
	for _, a := range r.g.Step(r.now, ev) {
		started = append(started, a.(Start))
	}
	return started
}

// arrive adds a request. It returns the request's ID, and the target if the
// request was started at once.
func (r *harness) arrive(avoid string) (ID, string) {
	r.next++
	for _, s := range r.step(Arrive{ID: r.next, Deadline: r.now + time.Minute, Avoid: avoid}) {
		return s.ID, s.Target
	}
	return r.next, ""
}

// finish ends a started request.
func (r *harness) finish(id ID, result Result, took time.Duration) {
	r.step(Finish{ID: id, Result: result, ServiceTime: took})
}

// run runs n requests one after another.
func (r *harness) run(n int, took time.Duration, avoid string) {
	for range n {
		id, _ := r.arrive(avoid)
		r.now += took
		r.finish(id, ResultDone, took)
	}
}

// limit returns the limit of the first target.
func (r *harness) limit() int { return r.g.Targets()[0].Limit }

// Guards against a full limit on a target that has become cold again: a shed, a
// longer service time, a new process or a new grant has to reset the limit to
// one slot.
func TestSignsOfCold(t *testing.T) {
	signs := map[string]func(*harness){
		"shed":         func(r *harness) { id, _ := r.arrive(""); r.finish(id, ResultShed, 0) },
		"service time": func(r *harness) { r.run(4, 10*time.Millisecond, "") },
		"new process":  func(r *harness) { r.step(TargetUpdate{Target: "a", BootID: "2", Slots: 3, Available: true}) },
		"grant": func(r *harness) {
			r.step(TargetUpdate{Target: "a", BootID: "1", Slots: 3, Available: true, Granted: true})
		},
	}
	for name, sign := range signs {
		r := newHarness("a")
		r.run(40, time.Millisecond, "")
		require.Equal(t, 3, r.limit())
		first, _ := r.arrive("")
		second, _ := r.arrive("")
		sign(r)
		require.Equal(t, 1, r.limit(), name)
		// Requests that were started under the old limit do not count.
		r.finish(first, ResultDone, time.Millisecond)
		r.finish(second, ResultDone, time.Millisecond)
		r.now += time.Second
		if name != "service time" {
			r.run(7, time.Millisecond, "")
			require.Equal(t, 1, r.limit(), name)
			r.run(1, time.Millisecond, "")
			require.Equal(t, 2, r.limit(), name)
		}
	}
}

// Guards against retries at a fixed rate: a target that keeps shedding must be
// tried with exponential backoff.
func TestPauseDoubles(t *testing.T) {
	r := newHarness("a")
	for _, pause := range []int{100, 200, 400, 800, 1000, 1000} {
		id, target := r.arrive("")
		require.Equal(t, "a", target)
		r.finish(id, ResultShed, 0)
		id, target = r.arrive("")
		require.Empty(t, target)
		at, _ := r.g.NextTick(r.now)
		require.Equal(t, r.now+time.Duration(pause)*time.Millisecond, at)
		r.now = at
		require.Len(t, r.step(Tick{}), 1)
		r.step(Finish{ID: id, Result: ResultCancelled})
	}
}

// Guards against a start on a slow target while a fast one is about to free a
// slot, and against a slow target that stays unused while the queue is long.
func TestWaitsForFasterTarget(t *testing.T) {
	r := newHarness("fast", "slow")
	r.run(30, time.Millisecond, "slow")
	r.run(30, 10*time.Millisecond, "fast")
	for range 3 {
		_, target := r.arrive("")
		require.Equal(t, "fast", target)
	}
	_, target := r.arrive("")
	require.Empty(t, target, "waiting for the fast target is expected to be faster")
	_, target = r.arrive("fast")
	require.Empty(t, target)
	for i := 0; target == ""; i++ {
		_, target = r.arrive("")
		require.Less(t, i, 50)
	}
	require.Equal(t, "slow", target)
}

// Guards against a target that is never used again after it has recovered from
// a slowdown.
func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	calls, lateStarts := 0, map[string]int{}
	simulate(t, poisson(1, 30_000, 2400, 5*time.Millisecond), 9, func(i, _, done int) float64 {
		if calls++; calls > 25_000 {
			lateStarts[fmt.Sprint(i)]++
		}
		if i == 0 && done < 20 {
			return 10
		}
		return 1
	})
	require.Greater(t, lateStarts["0"], 250, "of 5000 starts on 9 targets")
}

// Guards against starvation of an exclusive request by a steady stream of earlier
// deadlines, and against other targets of the group that idle while it waits.
func TestExclusiveRequestDoesNotStarve(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		r, others := newHarness(names...), 0
		r.run(100, time.Millisecond, "")
		var running []Start
		for range 3 * len(names) {
			id, target := r.arrive("")
			running = append(running, Start{id, target})
		}
		const exclusiveID = ID(1000)
		running = append(running, r.step(Arrive{ID: exclusiveID, Deadline: r.now + time.Hour, Exclusive: true})...)
		for i := 0; running[len(running)-1].ID != exclusiveID; i++ {
			require.Less(t, i, 3*len(names), "the exclusive request has to start once each request in flight has ended")
			r.arrive("")
			started := r.step(Finish{ID: running[0].ID, Result: ResultDone, ServiceTime: time.Millisecond})
			running = append(running[1:], started...)
			others += len(started)
		}
		require.True(t, len(names) == 1 || others > 1, "the other targets keep starting requests")
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newHarness()
			for i := range n {
				r.step(TargetUpdate{Target: fmt.Sprint(i), BootID: "1", Slots: 3, Available: true})
			}
			// Each operation is one Arrive and one Finish; 100 requests wait at the
			// start.
			var running []Start
			arrive := func() {
				r.next++
				running = append(running, r.step(Arrive{ID: r.next, Deadline: r.now + time.Hour})...)
			}
			for range n + 100 {
				arrive()
			}
			for b.Loop() {
				r.now += time.Microsecond
				arrive()
				first := running[0]
				running = append(running[1:], r.step(Finish{ID: first.ID, Result: ResultDone, ServiceTime: time.Millisecond})...)
			}
		})
	}
}
