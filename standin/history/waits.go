package history

import (
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
)

// TimeToServe returns, for each key that was served at or after the given time, how
// long the key took to be served. The wait starts at the given time, or at the
// start of the key's first request that ended after the given time if that start
// is later. It ends when a request of the key is first served.
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

// SplitDelayedByPause separates the executions that the router cannot prevent because
// only a fence check by the target itself would: the request had reached the
// target before the next owner of the key executed anything, and a pause of the
// target delayed it until later. sent holds the time, in microseconds since
// 1970-01-01 UTC, at which each attempt last reached its target. An execution
// whose attempt has no such time stays in rest.
func SplitDelayedByPause(executions []target.Execution, pauses []Pause, sent map[Attempt]int64) (rest, delayed []target.Execution) {
	for _, e := range executions {
		if isDelayedByPause(e, executions, pauses, sent) {
			delayed = append(delayed, e)
		} else {
			rest = append(rest, e)
		}
	}
	return rest, delayed
}

// isDelayedByPause tells whether SplitDelayedByPause separates an execution.
func isDelayedByPause(e target.Execution, all []target.Execution, pauses []Pause, sent map[Attempt]int64) bool {
	sentAt, known := sent[Attempt{e.Target, e.RequestID}]
	if !known || e.Shard < 0 {
		return false
	}
	for _, p := range pauses {
		if p.Target == e.Target && sentAt < p.UntilUS && e.EndUS >= p.UntilUS {
			return sentAt < nextOwnerStart(e, all)
		}
	}
	return false
}

// nextOwnerStart returns the earliest time at which another target executed a
// request for the key with a higher fence, or the maximum int64 if none did.
func nextOwnerStart(e target.Execution, all []target.Execution) int64 {
	first := int64(1<<63 - 1)
	for _, o := range all {
		if o.Key == e.Key && o.Target != e.Target && o.Fence > e.Fence {
			first = min(first, o.StartUS)
		}
	}
	return first
}
