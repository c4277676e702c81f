package measure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/mangogate/mangogate/standin/loadgen"
	"golang.org/x/sync/errgroup"
)

// loadResult is the report of a load and the results of all its requests.
type loadResult struct {
	loadgen.Report
	results []loadgen.Result
}

// load runs several loads concurrently and waits until all of them end.
func load(ctx context.Context, cfgs ...loadgen.Config) ([]loadResult, error) {
	runs := make([]loadResult, len(cfgs))
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
	maxLatencyUS      = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// quantiles holds quantiles of a latency in milliseconds.
type quantiles struct{ p50, p99, p999 float64 }

// latencies is a histogram of latencies in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies { return latencies{hdrhistogram.New(1, maxLatencyUS, significantDigits)} }

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS)) // cannot fail: the value is in range
}

func (l latencies) quantiles() quantiles {
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return quantiles{ms(50), ms(99), ms(99.9)}
}

// addServed adds the latencies of the served requests that match to l, and returns
// l. A nil match accepts all.
func addServed(l latencies, results []loadgen.Result, match func(loadgen.Result) bool) latencies {
	for _, r := range results {
		if r.Served && (match == nil || match(r)) {
			l.add(r.End.Sub(r.Start))
		}
	}
	return l
}

// countUnserved returns the number of requests that were not served and the share of
// those that were. Both are 0 without requests.
func countUnserved(r loadResult) (failed int, share float64) {
	if r.Requests == 0 {
		return 0, 0
	}
	return r.Requests - r.Served, float64(r.Served) / float64(r.Requests)
}
