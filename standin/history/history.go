// Package history checks the recorded executions of targets against the
// guarantees of the router: one owner per key at a time, writes executed at most
// once, and truthful outcomes.
package history

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
)

// maxFaults is the maximum number of faults that a check lists.
const maxFaults = 20

// CheckSingleOwner returns a fault for each execution that overlaps in time with an
// earlier one of its key at another target (one fault per other target), and for
// each that has a lower fence than an earlier one of its key. It skips executions
// without a shard.
func CheckSingleOwner(executions []target.Execution) []string {
	byKey := map[string][]target.Execution{}
	for _, e := range executions {
		if e.Shard >= 0 {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	var faults []string
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b target.Execution) int { return cmp.Compare(a.StartUS, b.StartUS) })
		faults = append(faults, ownerFaultsOfKey(list)...)
	}
	return sortAndLimit(faults)
}

// ownerFaultsOfKey checks the executions of one key, sorted by start.
func ownerFaultsOfKey(list []target.Execution) []string {
	var faults []string
	lastToEnd := map[string]target.Execution{} // by target, the execution that ends last
	withHighestFence := target.Execution{}
	for _, e := range list {
		for name, other := range lastToEnd {
			if name != e.Target && other.EndUS > e.StartUS {
				faults = append(faults, fmt.Sprintf("key %q ran at %s until %d and at %s from %d on (fences %d and %d)",
					e.Key, other.Target, other.EndUS, e.Target, e.StartUS, other.Fence, e.Fence))
			}
		}
		if e.Fence < withHighestFence.Fence {
			faults = append(faults, fmt.Sprintf("key %q ran at %s with fence %d after %s had run it with fence %d",
				e.Key, e.Target, e.Fence, withHighestFence.Target, withHighestFence.Fence))
		}
		if e.Fence > withHighestFence.Fence {
			withHighestFence = e
		}
		if e.EndUS > lastToEnd[e.Target].EndUS {
			lastToEnd[e.Target] = e
		}
	}
	return faults
}

// CheckWriteOnce returns a fault for each idempotency key whose write was executed
// more than once.
func CheckWriteOnce(executions []target.Execution) []string {
	byKey := map[string][]target.Execution{}
	for _, e := range executions {
		if e.IdempotencyKey != "" && e.Method != "GET" && e.Method != "HEAD" {
			byKey[e.IdempotencyKey] = append(byKey[e.IdempotencyKey], e)
		}
	}
	var faults []string
	for key, list := range byKey {
		if len(list) > 1 {
			faults = append(faults, fmt.Sprintf("write %q ran %d times: at %s (%s, %d) and at %s (%s, %d)", key, len(list),
				list[0].Target, list[0].RequestID, list[0].StartUS, list[1].Target, list[1].RequestID, list[1].StartUS))
		}
	}
	return sortAndLimit(faults)
}

// CheckOutcomes returns a fault for each write that was reported as not run on its
// only attempt but was executed, or that was served but never executed. It skips
// writes without an idempotency key.
func CheckOutcomes(results []loadgen.Result, executions []target.Execution) []string {
	ran := map[string]bool{}
	for _, e := range executions {
		ran[e.IdempotencyKey] = true
	}
	var faults []string
	for _, r := range results {
		if r.Read || r.IdempotencyKey == "" {
			continue
		}
		if r.Outcome == "not-run" && ran[r.IdempotencyKey] && r.Attempts == 1 {
			faults = append(faults, fmt.Sprintf("write %q was refused as not run (%s), but it ran", r.IdempotencyKey, r.Reason))
		}
		if r.Served && !ran[r.IdempotencyKey] {
			faults = append(faults, fmt.Sprintf("write %q was answered, but no target ran it", r.IdempotencyKey))
		}
	}
	return sortAndLimit(faults)
}

// CheckNotStarted returns a fault for each execution that one of the targets began
// at or after fromUS and before untilUS, both in microseconds since 1970-01-01 UTC.
func CheckNotStarted(executions []target.Execution, targets map[string]bool, fromUS, untilUS int64) []string {
	var faults []string
	for _, e := range executions {
		if targets[e.Target] && e.StartUS >= fromUS && e.StartUS < untilUS {
			faults = append(faults, fmt.Sprintf("%s began request %s %d µs into the interval in which it must begin none", e.Target, e.RequestID, e.StartUS-fromUS))
		}
	}
	return sortAndLimit(faults)
}

// sortAndLimit sorts the faults and replaces those beyond maxFaults by a count.
func sortAndLimit(faults []string) []string {
	slices.Sort(faults)
	if len(faults) > maxFaults {
		return append(faults[:maxFaults:maxFaults], fmt.Sprintf("and %d more", len(faults)-maxFaults))
	}
	return faults
}
