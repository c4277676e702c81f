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
	reportedKeys    = 20 // with the longest gaps
)

// Result is the end of one request, after its repeats.
type Result struct {
	Key            string
	IdempotencyKey string // sent with writes only
	Read           bool
	Outcome        string // of the last attempt
	Reason         string
	Status         int
	Served         bool // run, with a status of 2xx, and the answer is the request's own
	Mismatch       Mismatch
	Target         string
	Attempts       int
	Start, End     time.Time
}

// OutcomeCount counts the attempts that ended alike.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	Count   int    `json:"count"`
}

// Latency holds latencies of served requests in milliseconds, counted from
// their arrival and over all attempts.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is what callers saw in a run.
type Report struct {
	RunID           string           `json:"run_id"`
	Seed            int64            `json:"seed"`
	Seconds         float64          `json:"seconds"`
	Requests        int              `json:"requests"` // skipped ones included
	Attempts        int              `json:"attempts"`
	Served          int              `json:"served"`
	ServedReads     int              `json:"served_reads"`
	ServedWrites    int              `json:"served_writes"`
	ServedByRepeat  int              `json:"served_by_repeat"`
	HungUp          int              `json:"hung_up"`
	Skipped         int              `json:"skipped"`
	Failed          int              `json:"failed"`           // neither served, hung up nor skipped
	AttemptOutcomes []OutcomeCount   `json:"attempt_outcomes"` // of all attempts
	Outcomes        []OutcomeCount   `json:"outcomes"`         // of the last attempt of each request
	MismatchTotal   int              `json:"mismatch_total"`
	Mismatches      map[Mismatch]int `json:"mismatches"`
	Latency         Latency          `json:"latency"`
	ReadLatency     Latency          `json:"read_latency"`
	WriteLatency    Latency          `json:"write_latency"`
	ServedPerSecond []int            `json:"served_per_second"`
	// LongestGapMS is the longest time during which requests waited or failed
	// and none was served; KeyGaps is the same by key, the longest first.
	LongestGapMS float64  `json:"longest_gap_ms"`
	KeyGaps      []KeyGap `json:"key_gaps"`
}

type outcomeKey struct {
	outcome, reason string
	status          int
}

// recorder collects the report.
type recorder struct {
	start time.Time

	mu             sync.Mutex
	rep            Report
	attempts, last map[outcomeKey]int
	reads, writes  *hdrhistogram.Histogram
	all            availability
	keys           map[string]*availability
}

func newRecorder(start time.Time) *recorder {
	return &recorder{start: start, rep: Report{Mismatches: map[Mismatch]int{}}, keys: map[string]*availability{},
		attempts: map[outcomeKey]int{}, last: map[outcomeKey]int{},
		reads: hdrhistogram.New(1, maxLatencyUS, histogramDigits), writes: hdrhistogram.New(1, maxLatencyUS, histogramDigits)}
}

func (r *recorder) began(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Requests++
	if r.keys[c.key] == nil {
		r.keys[c.key] = &availability{}
	}
	r.keys[c.key].began(c.start)
	r.all.began(c.start)
}

func (r *recorder) attempt(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.Attempts++
	r.attempts[outcomeKey{a.outcome, a.reason, a.status}]++
	if a.mismatch != MismatchNone {
		r.rep.MismatchTotal++
		r.rep.Mismatches[a.mismatch]++
	}
}

func (r *recorder) skip(c *call) {
	r.finish(Result{Key: c.key, Outcome: OutcomeSkipped})
}

func (r *recorder) finish(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[outcomeKey{res.Outcome, res.Reason, res.Status}]++
	both := []*availability{&r.all, r.keys[res.Key]}
	switch {
	case res.Served:
		r.served(res)
		each(both, func(a *availability) { a.served(res.End) })
	case res.Outcome == OutcomeHungUp:
		r.rep.HungUp++
		each(both, (*availability).withdrawn)
	case res.Outcome == OutcomeSkipped:
		r.rep.Skipped++
		each(both, (*availability).withdrawn)
	default:
		r.rep.Failed++
		each(both, (*availability).lost)
	}
}

func each(list []*availability, f func(*availability)) {
	for _, a := range list {
		f(a)
	}
}

func (r *recorder) served(res Result) {
	r.rep.Served++
	if res.Attempts > 1 {
		r.rep.ServedByRepeat++
	}
	us := min(max(res.End.Sub(res.Start).Microseconds(), 1), maxLatencyUS)
	if res.Read {
		r.rep.ServedReads++
		_ = r.reads.RecordValue(us) // in range
	} else {
		r.rep.ServedWrites++
		_ = r.writes.RecordValue(us) // in range
	}
	second := int(res.End.Sub(r.start) / time.Second)
	for len(r.rep.ServedPerSecond) <= second {
		r.rep.ServedPerSecond = append(r.rep.ServedPerSecond, 0)
	}
	r.rep.ServedPerSecond[second]++
}

func (r *recorder) report(cfg Config, end time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.rep
	rep.RunID, rep.Seed, rep.Seconds = cfg.RunID, cfg.Seed, end.Sub(r.start).Seconds()
	rep.AttemptOutcomes, rep.Outcomes = counts(r.attempts), counts(r.last)
	rep.ReadLatency, rep.WriteLatency = latency(r.reads), latency(r.writes)
	both := hdrhistogram.Import(r.reads.Export())
	both.Merge(r.writes)
	rep.Latency = latency(both)
	r.all.extend(end)
	rep.LongestGapMS = milliseconds(r.all.longest)
	rep.KeyGaps = worstKeys(r.keys, end, reportedKeys)
	return rep
}

func counts(m map[outcomeKey]int) []OutcomeCount {
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

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max())}
}
