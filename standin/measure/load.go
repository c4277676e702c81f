package measure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/mangogate/mangogate/standin/loadgen"
	"golang.org/x/sync/errgroup"
)

// run is a load with all its results.
type run struct {
	loadgen.Report
	results []loadgen.Result
}

// load runs loads side by side and waits for them.
func load(ctx context.Context, cfgs ...loadgen.Config) ([]run, error) {
	runs := make([]run, len(cfgs))
	var group errgroup.Group
	for i, cfg := range cfgs {
		var mu sync.Mutex
		cfg.OnResult = func(r loadgen.Result) {
			mu.Lock()
			defer mu.Unlock()
			runs[i].results = append(runs[i].results, r)
		}
		group.Go(func() (err error) {
			runs[i].Report, err = loadgen.Run(ctx, cfg)
			return err
		})
	}
	return runs, group.Wait()
}

const (
	highestUS = int64(time.Minute / time.Microsecond)
	digits    = 3
)

// tail is the three quantiles of a latency in milliseconds.
type tail struct{ p50, p99, p999 float64 }

// latencies is a histogram of microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies { return latencies{hdrhistogram.New(1, highestUS, digits)} }

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), 1), highestUS)) // in range
}

func (l latencies) tail() tail {
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return tail{ms(50), ms(99), ms(99.9)}
}

// served collects the latencies of the served requests that match.
func served(l latencies, results []loadgen.Result, match func(loadgen.Result) bool) latencies {
	for _, r := range results {
		if r.Served && (match == nil || match(r)) {
			l.add(r.End.Sub(r.Start))
		}
	}
	return l
}

// unserved counts the requests that were not served and the share that was.
func unserved(r run) (failed int, share float64) {
	if r.Requests == 0 {
		return 0, 0
	}
	return r.Requests - r.Served, float64(r.Served) / float64(r.Requests)
}
