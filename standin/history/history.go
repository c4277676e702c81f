// Package history checks what targets executed against what the router promises.
package history

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
)

// maxFaults bounds the list of faults that a check returns.
const maxFaults = 20

// Owners returns a fault for each pair of executions of one key that two
// targets ran at the same time, or with fences out of order.
func Owners(executions []target.Execution) []string {
	byKey := map[string][]target.Execution{}
	for _, e := range executions {
		if e.Shard >= 0 {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	var faults []string
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b target.Execution) int { return cmp.Compare(a.StartUS, b.StartUS) })
		faults = append(faults, ownersOfKey(list)...)
	}
	return first(faults)
}

func ownersOfKey(list []target.Execution) []string {
	var faults []string
	latest := map[string]target.Execution{} // by target, the one that ends last
	highest := target.Execution{}
	for _, e := range list {
		for name, other := range latest {
			if name != e.Target && other.EndUS > e.StartUS {
				faults = append(faults, fmt.Sprintf("key %q ran at %s until %d and at %s from %d on (fences %d and %d)",
					e.Key, other.Target, other.EndUS, e.Target, e.StartUS, other.Fence, e.Fence))
			}
		}
		if e.Fence < highest.Fence {
			faults = append(faults, fmt.Sprintf("key %q ran at %s with fence %d after %s had run it with fence %d",
				e.Key, e.Target, e.Fence, highest.Target, highest.Fence))
		}
		if e.Fence > highest.Fence {
			highest = e
		}
		if e.EndUS > latest[e.Target].EndUS {
			latest[e.Target] = e
		}
	}
	return faults
}

// Writes returns a fault for each idempotency key that ran more than once.
func Writes(executions []target.Execution) []string {
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
	return first(faults)
}

// Refusals returns a fault for each write that callers were told was not run,
// or was run, when the executions say otherwise.
func Refusals(results []loadgen.Result, executions []target.Execution) []string {
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
	return first(faults)
}

// Started returns a fault for each execution that one of the targets began
// between two instants, in microseconds since 1970.
func Started(executions []target.Execution, targets map[string]bool, fromUS, untilUS int64) []string {
	var faults []string
	for _, e := range executions {
		if targets[e.Target] && e.StartUS >= fromUS && e.StartUS < untilUS {
			faults = append(faults, fmt.Sprintf("%s began %s %d µs after the limit", e.Target, e.RequestID, e.StartUS-fromUS))
		}
	}
	return first(faults)
}

func first(faults []string) []string {
	slices.Sort(faults)
	if len(faults) > maxFaults {
		return append(faults[:maxFaults:maxFaults], fmt.Sprintf("and %d more", len(faults)-maxFaults))
	}
	return faults
}
