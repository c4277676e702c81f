package history

import (
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
)

// Waits returns, for each key that was served after an instant, how long its
// requests waited for that: from the instant, or from the first request that
// ended after it when that began later.
func Waits(results []loadgen.Result, at time.Time) map[string]time.Duration {
	began, served := map[string]time.Time{}, map[string]time.Time{}
	for _, r := range results {
		if r.End.Before(at) {
			continue
		}
		earliest(began, r.Key, r.Start)
		if r.Served {
			earliest(served, r.Key, r.End)
		}
	}
	waits := map[string]time.Duration{}
	for key, end := range served {
		from := began[key]
		if from.Before(at) {
			from = at
		}
		waits[key] = end.Sub(from)
	}
	return waits
}

func earliest(times map[string]time.Time, key string, at time.Time) {
	if old, ok := times[key]; !ok || at.Before(old) {
		times[key] = at
	}
}

// Pause is a time in which a target's process was stopped, in microseconds
// since 1970.
type Pause struct {
	Target          string
	FromUS, UntilUS int64
}

// Attempt is a request at a target. A router may send a request with the same
// id to the next owner.
type Attempt struct{ Target, RequestID string }

// WithoutCaught separates the executions that only a target's own check of
// fences can prevent: requests that had reached the target before the next
// owner of the key began, and that a pause of the target caught there. sent
// holds the time at which each attempt last reached its target; an attempt
// without one is never taken out.
func WithoutCaught(executions []target.Execution, pauses []Pause, sent map[Attempt]int64) (rest, caught []target.Execution) {
	for _, e := range executions {
		if isCaught(e, executions, pauses, sent) {
			caught = append(caught, e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest, caught
}

func isCaught(e target.Execution, all []target.Execution, pauses []Pause, sent map[Attempt]int64) bool {
	at, known := sent[Attempt{e.Target, e.RequestID}]
	if !known || e.Shard < 0 {
		return false
	}
	for _, p := range pauses {
		if p.Target == e.Target && at < p.UntilUS && e.EndUS >= p.UntilUS {
			return at < nextOwner(e, all)
		}
	}
	return false
}

// nextOwner returns when another target first ran the key under a higher fence.
func nextOwner(e target.Execution, all []target.Execution) int64 {
	first := int64(1<<63 - 1)
	for _, o := range all {
		if o.Key == e.Key && o.Target != e.Target && o.Fence > e.Fence {
			first = min(first, o.StartUS)
		}
	}
	return first
}
