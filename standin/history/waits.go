package history

import (
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
)

// TimeToServe returns how long each key waited after the given time until one of
// its requests was served. Requests that ended before the given time are ignored;
// if all others of a key started later, its wait begins with the first of them.
// Keys that were not served are left out.
func TimeToServe(results []loadgen.Result, at time.Time) map[string]time.Duration {
	firstStart, firstServed := map[string]time.Time{}, map[string]time.Time{}
	for _, r := range results {
		if r.End.Before(at) {
			continue
		}
		keepEarliest(firstStart, r.Key, r.Start)
		if r.Served {
			keepEarliest(firstServed, r.Key, r.End)
		}
	}
	timeToServe := map[string]time.Duration{}
	for key, end := range firstServed {
		from := firstStart[key]
		if from.Before(at) {
			from = at
		}
		timeToServe[key] = end.Sub(from)
	}
	return timeToServe
}

func keepEarliest(times map[string]time.Time, key string, at time.Time) {
	if old, ok := times[key]; !ok || at.Before(old) {
		times[key] = at
	}
}

// Pause is an interval in which the process of a target was stopped, in
// microseconds since 1970-01-01 UTC.
type Pause struct {
	Target          string
	FromUS, UntilUS int64
}

// Attempt identifies one delivery of a request. The target is part of it because
// a router may retry a request at the next owner under the same request id.
type Attempt struct{ Target, RequestID string }

// SplitDelayedByPause separates the executions that a pause of their target
// delayed: the request arrived before the pause ended and before any later owner
// of the key executed one, and its execution ended after the pause. The router
// cannot prevent these; only a fence check by the target could. arrivals holds the
// time at which each attempt last reached its target, in microseconds since
// 1970-01-01 UTC. Executions without such a time or without a shard stay in rest.
func SplitDelayedByPause(executions []target.Execution, pauses []Pause, arrivals map[Attempt]int64) (rest, delayed []target.Execution) {
	for _, e := range executions {
		if isDelayedByPause(e, executions, pauses, arrivals) {
			delayed = append(delayed, e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest, delayed
}

// isDelayedByPause tells whether SplitDelayedByPause separates an execution.
func isDelayedByPause(e target.Execution, all []target.Execution, pauses []Pause, arrivals map[Attempt]int64) bool {
	arrivedAt, known := arrivals[Attempt{e.Target, e.RequestID}]
	if !known || e.Shard < 0 {
		return false
	}
	for _, p := range pauses {
		if p.Target == e.Target && arrivedAt < p.UntilUS && e.EndUS >= p.UntilUS {
			return arrivedAt < nextOwnerStart(e, all)
		}
	}
	return false
}

// nextOwnerStart returns the start of the first execution of the key at another
// target with a higher fence, or the maximum int64 if there is none.
func nextOwnerStart(e target.Execution, all []target.Execution) int64 {
	first := int64(1<<63 - 1)
	for _, o := range all {
		if o.Key == e.Key && o.Target != e.Target && o.Fence > e.Fence {
			first = min(first, o.StartUS)
		}
	}
	return first
}
