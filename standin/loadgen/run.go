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
	idlePerEntry    = 1024
	idleConnTimeout = 30 * time.Second
)

type runner struct {
	cfg    Config
	client *http.Client
	rec    *recorder
	turn   atomic.Uint64 // of the entries
}

// Run sends requests until the duration is over or ctx ends, waits for the
// answers that are outstanding, and reports. The error is one of the Config.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return Report{}, err
	}
	if cfg.RunID == "" {
		var b [6]byte
		_, _ = rand.Read(b[:]) // never fails
		cfg.RunID = hex.EncodeToString(b[:])
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry, IdleConnTimeout: idleConnTimeout, DisableCompression: true}
	defer transport.CloseIdleConnections()
	began := time.Now()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, rec: newRecorder(began)}
	sending, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	go func() {
		select {
		case <-cfg.Stop:
			cancel()
		case <-sending.Done():
		}
	}()
	if cfg.Rate > 0 {
		r.open(sending, ctx, began)
	} else {
		r.closed(sending, ctx, began)
	}
	return r.rec.report(cfg, time.Now()), nil
}

// open sends at the arrival times of a Poisson process, however long the
// answers take. Latencies count from the arrival.
func (r *runner) open(sending, ctx context.Context, began time.Time) {
	var group errgroup.Group
	group.SetLimit(r.cfg.Outstanding)
	plan := newPlanner(r.cfg, "o", r.cfg.Seed, began)
	for at := began.Add(plan.gap()); sleepUntil(sending, at); at = at.Add(plan.gap()) {
		c := plan.next(at)
		r.rec.began(c)
		if !group.TryGo(func() error { r.do(ctx, c); return nil }) {
			r.rec.skip(c)
		}
	}
	_ = group.Wait() // the functions return no error
}

// closed runs callers that each wait for their answer.
func (r *runner) closed(sending, ctx context.Context, began time.Time) {
	var group errgroup.Group
	for i := range r.cfg.Callers {
		group.Go(func() error {
			plan := newPlanner(r.cfg, fmt.Sprintf("c%d", i), r.cfg.Seed+int64(i), began)
			for sending.Err() == nil {
				c := plan.next(time.Now())
				r.rec.began(c)
				r.do(ctx, c)
				if r.cfg.Pause > 0 {
					sleepUntil(sending, time.Now().Add(r.cfg.Pause))
				}
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// sleepUntil returns false when ctx ended.
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
