// Package eventlog writes structured log lines with a rate limit per message. It
// never blocks the caller: lines over the limit are counted and dropped before
// they are encoded, and lines that the output is too slow for are dropped too.
package eventlog

import (
	"fmt"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// linesPerSecond and burst configure the token bucket of each message text, such as
	// "request ended". Separate buckets keep a frequent message from displacing the others.
	linesPerSecond = 12.0
	burst          = 80.0
	// queueLines is the capacity of the queue of encoded lines.
	queueLines = 1024
	// reportInterval is the least time between reports of dropped lines of one message.
	reportInterval = 5 * time.Second
)

// New returns a logger that writes JSON lines of level Info and above to an output, and
// a function that waits until the queued lines are written.
func New(name string, out io.Writer, registry metrics.Registry) (hclog.Logger, func()) {
	q := newWriter(out, registry)
	base := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: q, JSONFormat: true})
	limits := &rateLimits{now: time.Now, buckets: map[string]*bucket{}, dropped: metrics.GetOrRegisterCounter("log.lines_over_budget", registry)}
	return &logger{Logger: base, limits: limits}, q.flush
}

// sampleInterval makes Sampled select about one in 64 requests.
const sampleInterval = 64

// Sampled reports whether the decisions on a request are logged even if it
// succeeds. The result depends only on the id, so that all VMs log the same
// requests.
func Sampled(requestID string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, requestID) // writing to a hash never fails
	return h.Sum32()%sampleInterval == 0
}

// logger applies the rate limits to Info and Warn. Lines of level Error have no limit.
type logger struct {
	hclog.Logger
	limits *rateLimits
}

// Info implements hclog.Logger. Lines over the rate limit are dropped.
func (l *logger) Info(msg string, args ...any) {
	if l.limits.allow(msg, l.Logger) {
		l.Logger.Info(msg, stringify(args)...)
	}
}

// Warn implements hclog.Logger. Lines over the rate limit are dropped.
func (l *logger) Warn(msg string, args ...any) {
	if l.limits.allow(msg, l.Logger) {
		l.Logger.Warn(msg, stringify(args)...)
	}
}

// Named implements hclog.Logger. The new logger shares the rate limits.
func (l *logger) Named(name string) hclog.Logger { return &logger{l.Logger.Named(name), l.limits} }

// With implements hclog.Logger. The new logger shares the rate limits.
func (l *logger) With(args ...any) hclog.Logger { return &logger{l.Logger.With(args...), l.limits} }

// stringify replaces values that implement fmt.Stringer, such as durations and
// states, by their text. JSON would show them as numbers.
func stringify(args []any) []any {
	for i, a := range args {
		if s, ok := a.(fmt.Stringer); ok {
			args[i] = s.String()
		}
	}
	return args
}

// bucket is the token bucket of one message.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int // lines dropped since the last report
	reportedAt time.Time
}

// rateLimits holds the token buckets of all messages.
type rateLimits struct {
	now     func() time.Time
	dropped metrics.Counter
	mu      sync.Mutex
	buckets map[string]*bucket
}

// allow reports whether a line may be written. It also logs the number of dropped lines
// of the same message if a report is due.
func (r *rateLimits) allow(msg string, out hclog.Logger) bool {
	ok, dropped := r.take(msg)
	if dropped > 0 {
		out.Warn("log lines over the rate limit were dropped", "message", msg, "lines", dropped)
	}
	return ok
}

// take takes a token for a line. If that succeeds and a report is due, it returns the
// number of lines dropped since the last report, otherwise 0.
func (r *rateLimits) take(msg string) (ok bool, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	entry := r.buckets[msg]
	if entry == nil {
		entry = &bucket{tokens: burst, refilledAt: now}
		r.buckets[msg] = entry
	}
	entry.tokens = min(burst, entry.tokens+linesPerSecond*now.Sub(entry.refilledAt).Seconds())
	entry.refilledAt = now
	if entry.tokens < 1 {
		entry.dropped++
		r.dropped.Inc(1)
		return false, 0
	}
	entry.tokens--
	if entry.dropped > 0 && now.Sub(entry.reportedAt) >= reportInterval {
		dropped, entry.dropped, entry.reportedAt = entry.dropped, 0, now
	}
	return true, dropped
}

// writer queues lines and writes them to the output in the background.
type writer struct {
	lines     chan []byte
	linesLost metrics.Counter
	wg        sync.WaitGroup
}

func newWriter(out io.Writer, registry metrics.Registry) *writer {
	w := &writer{lines: make(chan []byte, queueLines), linesLost: metrics.GetOrRegisterCounter("log.lines_lost", registry)}
	go func() {
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				w.linesLost.Inc(1) // a failed log output can only be counted
			}
			w.wg.Done()
		}
	}()
	return w
}

// Write implements io.Writer. It drops the line if the queue is full and never
// returns an error.
func (w *writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.wg.Add(1)
	select {
	case w.lines <- line:
	default:
		w.wg.Done()
		w.linesLost.Inc(1)
	}
	return len(p), nil
}

// flush waits until all queued lines are written.
func (w *writer) flush() { w.wg.Wait() }
