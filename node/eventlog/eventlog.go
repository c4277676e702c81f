// Package eventlog writes structured log lines within a budget. It never
// blocks the caller: lines beyond the budget are counted and dropped before
// they are encoded, and lines that the output cannot take are dropped too.
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
	// linesPerSecond and burst bound the lines of one message, such as
	// "request", so that no message can push out the others.
	linesPerSecond = 12.0
	burst          = 80.0
	// queueLines is the number of encoded lines that may wait for the output.
	queueLines = 1024
	// reportPause is the least time between two reports of dropped lines.
	reportPause = 5 * time.Second
)

// New returns a logger that writes JSON lines to an output, and a function
// that waits until the lines so far are written.
func New(name string, out io.Writer, registry metrics.Registry) (hclog.Logger, func()) {
	q := newWriter(out, registry)
	base := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: q, JSONFormat: true})
	b := &budgets{now: time.Now, buckets: map[string]*bucket{}, dropped: metrics.GetOrRegisterCounter("log.lines_over_budget", registry)}
	return &logger{Logger: base, budgets: b}, q.flush
}

// sampleEvery is the share of the requests that are logged although they go well.
const sampleEvery = 64

// Sampled tells whether all VMs log the decisions on a request, also those
// that end well.
func Sampled(requestID string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, requestID) // a hash does not fail
	return h.Sum32()%sampleEvery == 0
}

// logger applies the budgets. Errors are always written.
type logger struct {
	hclog.Logger
	budgets *budgets
}

// Info implements hclog.Logger.
func (l *logger) Info(msg string, args ...any) {
	if l.budgets.take(msg, l.Logger) {
		l.Logger.Info(msg, readable(args)...)
	}
}

// Warn implements hclog.Logger.
func (l *logger) Warn(msg string, args ...any) {
	if l.budgets.take(msg, l.Logger) {
		l.Logger.Warn(msg, readable(args)...)
	}
}

// Named implements hclog.Logger.
func (l *logger) Named(name string) hclog.Logger { return &logger{l.Logger.Named(name), l.budgets} }

// With implements hclog.Logger.
func (l *logger) With(args ...any) hclog.Logger { return &logger{l.Logger.With(args...), l.budgets} }

// readable turns durations and states into text; JSON would show numbers.
func readable(args []any) []any {
	for i, a := range args {
		if s, ok := a.(fmt.Stringer); ok {
			args[i] = s.String()
		}
	}
	return args
}

type bucket struct {
	tokens  float64
	at      time.Time
	dropped int
	told    time.Time
}

type budgets struct {
	now     func() time.Time
	dropped metrics.Counter
	mu      sync.Mutex
	buckets map[string]*bucket
}

// take tells whether a line may be written, and reports lines that were not.
func (b *budgets) take(msg string, out hclog.Logger) bool {
	ok, dropped := b.decide(msg)
	if dropped > 0 {
		out.Warn("log lines were dropped", "message", msg, "lines", dropped)
	}
	return ok
}

func (b *budgets) decide(msg string) (ok bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	k := b.buckets[msg]
	if k == nil {
		k = &bucket{tokens: burst, at: now}
		b.buckets[msg] = k
	}
	k.tokens = min(burst, k.tokens+linesPerSecond*now.Sub(k.at).Seconds())
	k.at = now
	if k.tokens < 1 {
		k.dropped++
		b.dropped.Inc(1)
		return false, 0
	}
	k.tokens--
	if k.dropped > 0 && now.Sub(k.told) >= reportPause {
		dropped, k.dropped, k.told = k.dropped, 0, now
	}
	return true, dropped
}

// writer passes lines to the output in the background.
type writer struct {
	lines chan []byte
	lost  metrics.Counter
	wg    sync.WaitGroup
}

func newWriter(out io.Writer, registry metrics.Registry) *writer {
	w := &writer{lines: make(chan []byte, queueLines), lost: metrics.GetOrRegisterCounter("log.lines_lost", registry)}
	go func() {
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				w.lost.Inc(1) // there is no other place to report it
			}
			w.wg.Done()
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.wg.Add(1)
	select {
	case w.lines <- line:
	default:
		w.wg.Done()
		w.lost.Inc(1)
	}
	return len(p), nil
}

func (w *writer) flush() { w.wg.Wait() }
