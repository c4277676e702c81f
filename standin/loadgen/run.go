package loadgen

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	maxIdleConnsPerEntry = 1024
	idleConnTimeout      = 30 * time.Second
)

type runner struct {
	cfg          Config
	client       *http.Client
	recorder     *recorder
	entryCounter atomic.Uint64 // number of attempts so far, for nextEntry
}

// Run sends requests until cfg.Duration has passed, cfg.Stop is closed or ctx
// ends, waits for the outstanding answers and returns the report. The only
// errors are those of an invalid cfg.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return Report{}, err
	}
	if cfg.RunID == "" {
		var b [6]byte
		_, _ = rand.Read(b[:]) // crypto/rand never returns an error
		cfg.RunID = hex.EncodeToString(b[:])
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, IdleConnTimeout: idleConnTimeout, DisableCompression: true}
	defer transport.CloseIdleConnections()
	start := time.Now()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, recorder: newRecorder(start)}
	sendCtx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	go func() {
		select {
		case <-cfg.Stop:
			cancel()
		case <-sendCtx.Done():
		}
	}()
	if cfg.Rate > 0 {
		r.runOpenLoop(sendCtx, ctx, start)
	} else {
		r.runClosedLoop(sendCtx, ctx, start)
	}
	return r.recorder.report(cfg, time.Now()), nil
}

// runOpenLoop sends requests at the arrival times of a Poisson process,
// independently of how long answers take.
func (r *runner) runOpenLoop(sendCtx, ctx context.Context, start time.Time) {
	var group errgroup.Group
	group.SetLimit(r.cfg.Outstanding)
	gen := newRequestGenerator(r.cfg, "o", r.cfg.Seed, start)
	for at := start.Add(gen.drawInterarrival()); sleepUntil(sendCtx, at); at = at.Add(gen.drawInterarrival()) {
		c := gen.next(at)
		r.recorder.requestStarted(c)
		if !group.TryGo(func() error { r.sendWithRepeats(ctx, c); return nil }) {
			r.recorder.requestSkipped(c)
		}
	}
	_ = group.Wait() // the functions return no error
}

// runClosedLoop runs concurrent callers that each wait for the answer to a
// request before sending the next one.
func (r *runner) runClosedLoop(sendCtx, ctx context.Context, start time.Time) {
	var group errgroup.Group
	for i := range r.cfg.Callers {
		group.Go(func() error {
			gen := newRequestGenerator(r.cfg, fmt.Sprintf("c%d", i), r.cfg.Seed+int64(i), start)
			for sendCtx.Err() == nil {
				c := gen.next(time.Now())
				r.recorder.requestStarted(c)
				r.sendWithRepeats(ctx, c)
				if r.cfg.Pause > 0 {
					sleepUntil(sendCtx, time.Now().Add(r.cfg.Pause))
				}
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// sleepUntil waits until the given time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	left := time.Until(at)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
