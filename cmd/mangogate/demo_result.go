package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/target"
)

// demoResult is the result of a run of the demo. A promise is a guarantee of the
// router that the demo checks.
type demoResult struct {
	Seconds  float64         `json:"seconds"`
	Services []serviceResult `json:"services"`
	Owners   map[string]int  `json:"shards_by_owner"` // number of shards by owner at the end of the run
	Promises []promiseResult `json:"promises"`
	Held     bool            `json:"held"` // all promises were kept
}

// serviceResult sums up the requests to one service.
type serviceResult struct {
	Service          string  `json:"service"`
	Requests         int     `json:"requests"`
	Served           int     `json:"served"`
	NotRun           int     `json:"not_run"`      // refused without being executed
	Unknown          int     `json:"unknown"`      // failed, but may have been executed
	OtherFailed      int     `json:"other_failed"` // got no complete answer or were not sent
	P50MS            float64 `json:"p50_ms"`
	P99MS            float64 `json:"p99_ms"`
	LongestGapMS     float64 `json:"longest_gap_ms"`
	WorstKey         string  `json:"worst_key"` // key that was unavailable for the longest time
	UnavailableKeyMS float64 `json:"unavailable_worst_key_ms"`
}

// promiseResult is the result of a promise. Faults are its violations.
type promiseResult struct {
	Promise string   `json:"promise"`
	Held    bool     `json:"held"`
	Faults  []string `json:"faults,omitempty"`
}

// check checks the promises against the executions of the targets and the results
// of the callers.
func (r *demoRun) check(executions []target.Execution, length time.Duration) *demoResult {
	out := &demoResult{Seconds: length.Seconds(), Owners: r.shardsByOwner(), Held: true}
	var mismatches, slow []string
	for _, name := range slices.Sorted(maps.Keys(r.reports)) {
		s := r.service(name)
		out.Services = append(out.Services, s)
		if n := r.reports[name].MismatchTotal; n > 0 {
			mismatches = append(mismatches, fmt.Sprintf("%d answers of %s were not the complete answers to their requests", n, name))
		}
		if s.UnavailableKeyMS > float64(failoverLimit.Milliseconds()) {
			slow = append(slow, fmt.Sprintf("key %s of %s was unavailable for %.0f ms", s.WorstKey, name, s.UnavailableKeyMS))
		}
	}
	drained := map[string]bool{}
	for _, t := range r.dep.document.Targets {
		drained[t.Name] = t.DataCentre == r.dep.document.DataCentres[2].Name
	}
	out.addPromise("no key has two owners at once", history.CheckSingleOwner(executions))
	out.addPromise("a write runs at most once", history.CheckWriteOnce(executions))
	out.addPromise("a refusal that says a request was not run is true", history.CheckOutcomes(r.results, executions))
	out.addPromise("every caller gets its own whole answer", mismatches)
	out.addPromise(fmt.Sprintf("a data centre that is out gets no new work after %v", drainLimit),
		history.CheckNotStarted(executions, drained, r.drainedAt.Add(drainLimit).UnixMicro(), r.restoredAt.UnixMicro()))
	out.addPromise(fmt.Sprintf("a key is served again within %v of a loss", failoverLimit), slow)
	return out
}

// addPromise adds the result of a promise, which is kept if there are no violations.
func (d *demoResult) addPromise(text string, violations []string) {
	d.Promises = append(d.Promises, promiseResult{Promise: text, Held: len(violations) == 0, Faults: violations})
	d.Held = d.Held && len(violations) == 0
}

// service sums up the load report of a service.
func (r *demoRun) service(name string) serviceResult {
	report := r.reports[name]
	s := serviceResult{
		Service: name, Requests: report.Requests, Served: report.Served, P50MS: report.Latency.P50, P99MS: report.Latency.P99, LongestGapMS: report.LongestGapMS,
	}
	for _, o := range report.Outcomes {
		switch o.Outcome {
		case "run":
		case "not-run":
			s.NotRun += o.Count
		case "unknown":
			s.Unknown += o.Count
		default:
			s.OtherFailed += o.Count
		}
	}
	if len(report.KeyGaps) > 0 {
		s.WorstKey, s.UnavailableKeyMS = report.KeyGaps[0].Key, report.KeyGaps[0].MS
	}
	return s
}

// shardsByOwner returns the number of shards that each target owns in the dispatch
// map of the first VM.
func (r *demoRun) shardsByOwner() map[string]int {
	counts := map[string]int{}
	m := r.dep.vms[0].Map()
	if m == nil {
		return counts
	}
	for _, s := range r.dep.document.Services {
		if s.Ownership == inventory.OwnershipKey {
			for _, route := range m.Shards[s.Name] {
				counts[route.Owner]++
			}
		}
	}
	return counts
}

func (d *demoResult) print(out io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(d)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREQUESTS\tSERVED\tNOT RUN\tUNKNOWN\tOTHER\tP50 MS\tP99 MS\tLONGEST GAP MS\tWORST KEY UNAVAILABLE MS")
	for _, s := range d.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.0f\n", s.Service, s.Requests, s.Served, s.NotRun, s.Unknown,
			s.OtherFailed, s.P50MS, s.P99MS, s.LongestGapMS, s.UnavailableKeyMS)
	}
	fmt.Fprintln(w, "\nOWNER\tSHARDS")
	for _, name := range slices.Sorted(maps.Keys(d.Owners)) {
		fmt.Fprintf(w, "%s\t%d\n", name, d.Owners[name])
	}
	fmt.Fprintln(w, "\nPROMISE\tHELD")
	for _, p := range d.Promises {
		fmt.Fprintf(w, "%s\t%v\n", p.Promise, p.Held)
		for _, f := range p.Faults {
			fmt.Fprintf(w, "  %s\t\n", f)
		}
	}
	return w.Flush()
}
