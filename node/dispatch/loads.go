package dispatch

import (
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/mapstore"
)

const (
	// rateWindow is the period over which requests are counted for one sample of
	// a rate. Rates are reported to the manager once per window.
	rateWindow = 2 * time.Second
	// rateSmoothing is the weight of the newest window in the moving average.
	rateSmoothing = 0.2
	minRate       = 0.01 // requests per second below which a shard is no longer tracked
	// minReportedWeight is the accumulated weight from which a rate is reported.
	// It is reached after three windows; before that, the rate is based on too
	// few requests.
	minReportedWeight = 0.48
)

// rate is an exponential moving average that starts at zero. Dividing by the
// accumulated weight corrects for this; otherwise a shard that was just moved to
// this VM would look idle.
type rate struct{ sum, weight float64 }

func (r rate) add(perSecond float64) rate {
	return rate{r.sum + rateSmoothing*(perSecond-r.sum), r.weight + rateSmoothing*(1-r.weight)}
}

func (r rate) perSecond() float64 { return r.sum / r.weight }

// shardLoads measures the request rate of each shard. The manager places shards
// by these rates.
type shardLoads struct {
	mu        sync.Mutex
	counts    map[control.ShardKey]int
	rates     map[control.ShardKey]rate
	reportDue bool // a window ended since the last report
}

func newShardLoads() *shardLoads {
	return &shardLoads{counts: map[control.ShardKey]int{}, rates: map[control.ShardKey]rate{}}
}

func (l *shardLoads) add(key control.ShardKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
}

// endWindow adds the counts of a window to the rates and starts a new window.
func (l *shardLoads) endWindow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.counts {
		if _, known := l.rates[key]; !known {
			l.rates[key] = rate{}
		}
	}
	for key, r := range l.rates {
		r = r.add(float64(l.counts[key]) / rateWindow.Seconds())
		if r.perSecond() < minRate {
			delete(l.rates, key)
			continue
		}
		l.rates[key] = r
	}
	clear(l.counts)
	l.reportDue = true
}

// report returns the rates in requests per second, once per window. It returns
// nil if no window ended since the last call.
func (l *shardLoads) report() []mapstore.ShardLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reportDue {
		return nil
	}
	l.reportDue = false
	out := make([]mapstore.ShardLoad, 0, len(l.rates))
	for key, r := range l.rates {
		if r.weight >= minReportedWeight {
			out = append(out, mapstore.ShardLoad{Service: key.Service, Shard: key.Shard, PerSecond: float32(r.perSecond())})
		}
	}
	return out
}
