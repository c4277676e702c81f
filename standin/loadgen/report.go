package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUS    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxKeyGaps      = 20 // maximum number of keys in Report.KeyGaps
)

// Result is the final result of one request, after all its attempts.
type Result struct {
	Key            string
	IdempotencyKey string // sent with writes only
	Read           bool
	Outcome        string // of the last attempt
	Reason         string
	Status         int
	Served         bool // outcome run, status 2xx and no mismatch
	Mismatch       Mismatch
	Target         string
	Attempts       int
	Start, End     time.Time
}

// OutcomeCount is the number of attempts with the same outcome, reason and
// status.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	Count   int    `json:"count"`
}

// Latency holds latency quantiles of served requests in milliseconds, from the
// scheduled arrival of a request to the answer of its last attempt.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Report holds the results of a run as callers saw them.
type Report struct {
	RunID           string           `json:"run_id"`
	Seed            int64            `json:"seed"`
	Seconds         float64          `json:"seconds"`
	Requests        int              `json:"requests"` // including skipped requests
	Attempts        int              `json:"attempts"`
	Served          int              `json:"served"`
	ServedReads     int              `json:"served_reads"`
	ServedWrites    int              `json:"served_writes"`
	ServedByRepeat  int              `json:"served_by_repeat"`
	HungUp          int              `json:"hung_up"`
	Skipped         int              `json:"skipped"`
	Failed          int              `json:"failed"`           // neither served, hung up nor skipped
	AttemptOutcomes []OutcomeCount   `json:"attempt_outcomes"` // of all attempts
	Outcomes        []OutcomeCount   `json:"outcomes"`         // of the last attempt of each request, or skipped
	MismatchTotal   int              `json:"mismatch_total"`
	Mismatches      map[Mismatch]int `json:"mismatches"`
	Latency         Latency          `json:"latency"`
	ReadLatency     Latency          `json:"read_latency"`
	WriteLatency    Latency          `json:"write_latency"`
	ServedPerSecond []int            `json:"served_per_second"`
	// LongestGapMS is the longest time in which requests were outstanding or
	// failed and none was served. KeyGaps holds the keys with the longest gaps,
	// longest first.
	LongestGapMS float64  `json:"longest_gap_ms"`
	KeyGaps      []KeyGap `json:"key_gaps"`
}

type outcomeKey struct {
	outcome, reason string
	status          int
}

// recorder accumulates the results of a run for its Report.
type recorder struct {
	start time.Time

	mu                             sync.Mutex
	partial                        Report
	attemptOutcomes, finalOutcomes map[outcomeKey]int
	reads, writes                  *hdrhistogram.Histogram
	overall                        gapTracker
	keys                           map[string]*gapTracker
}

func newRecorder(start time.Time) *recorder {
	return &recorder{start: start, partial: Report{Mismatches: map[Mismatch]int{}}, keys: map[string]*gapTracker{},
		attemptOutcomes: map[outcomeKey]int{}, finalOutcomes: map[outcomeKey]int{},
		reads: hdrhistogram.New(1, maxLatencyUS, histogramDigits), writes: hdrhistogram.New(1, maxLatencyUS, histogramDigits)}
}

func (r *recorder) requestStarted(c *callerRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial.Requests++
	if r.keys[c.key] == nil {
		r.keys[c.key] = &gapTracker{}
	}
	r.keys[c.key].requestStarted(c.start)
	r.overall.requestStarted(c.start)
}

func (r *recorder) attemptEnded(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial.Attempts++
	r.attemptOutcomes[outcomeKey{a.outcome, a.reason, a.status}]++
	if a.mismatch != MismatchNone {
		r.partial.MismatchTotal++
		r.partial.Mismatches[a.mismatch]++
	}
}

func (r *recorder) requestSkipped(c *callerRequest) {
	r.requestEnded(Result{Key: c.key, Outcome: OutcomeSkipped})
}

func (r *recorder) requestEnded(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finalOutcomes[outcomeKey{res.Outcome, res.Reason, res.Status}]++
	affected := []*gapTracker{&r.overall, r.keys[res.Key]}
	switch {
	case res.Served:
		r.countServed(res)
		forEach(affected, func(g *gapTracker) { g.requestServed(res.End) })
	case res.Outcome == OutcomeHungUp:
		r.partial.HungUp++
		forEach(affected, (*gapTracker).requestAbandoned)
	case res.Outcome == OutcomeSkipped:
		r.partial.Skipped++
		forEach(affected, (*gapTracker).requestAbandoned)
	default:
		r.partial.Failed++
		forEach(affected, (*gapTracker).requestFailed)
	}
}

func forEach(trackers []*gapTracker, f func(*gapTracker)) {
	for _, g := range trackers {
		f(g)
	}
}

func (r *recorder) countServed(res Result) {
	r.partial.Served++
	if res.Attempts > 1 {
		r.partial.ServedByRepeat++
	}
	us := min(max(res.End.Sub(res.Start).Microseconds(), 1), maxLatencyUS)
	if res.Read {
		r.partial.ServedReads++
		_ = r.reads.RecordValue(us) // in range
	} else {
		r.partial.ServedWrites++
		_ = r.writes.RecordValue(us) // in range
	}
	second := int(res.End.Sub(r.start) / time.Second)
	for len(r.partial.ServedPerSecond) <= second {
		r.partial.ServedPerSecond = append(r.partial.ServedPerSecond, 0)
	}
	r.partial.ServedPerSecond[second]++
}

func (r *recorder) report(cfg Config, end time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.partial
	report.RunID, report.Seed, report.Seconds = cfg.RunID, cfg.Seed, end.Sub(r.start).Seconds()
	report.AttemptOutcomes, report.Outcomes = sortedCounts(r.attemptOutcomes), sortedCounts(r.finalOutcomes)
	report.ReadLatency, report.WriteLatency = latencyOf(r.reads), latencyOf(r.writes)
	combined := hdrhistogram.Import(r.reads.Export())
	combined.Merge(r.writes)
	report.Latency = latencyOf(combined)
	r.overall.extendLongest(end)
	report.LongestGapMS = milliseconds(r.overall.longest)
	report.KeyGaps = longestKeyGaps(r.keys, end, maxKeyGaps)
	return report
}

func sortedCounts(m map[outcomeKey]int) []OutcomeCount {
	out := make([]OutcomeCount, 0, len(m))
	for k, n := range m {
		out = append(out, OutcomeCount{Outcome: k.outcome, Reason: k.reason, Status: k.status, Count: n})
	}
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
	return out
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max())}
}
