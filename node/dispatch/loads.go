package dispatch

import (
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/mapstore"
)

const (
	// loadWindow is the time over which requests are counted before a rate is
	// taken, and between two reports of rates to the manager.
	loadWindow = 2 * time.Second
	// loadSmoothing is the weight of the newest window in a rate.
	loadSmoothing = 0.2
	// minRate is the rate below which a shard is forgotten, in requests a second.
	minRate = 0.01
	// knownWeight is the weight from which a rate is reported: after three
	// windows. Earlier ones rest on too few requests.
	knownWeight = 0.48
)

// rate is a smoothed rate. Dividing by the weight of the windows seen so far
// keeps a shard that has just come here from looking idle.
type rate struct{ sum, weight float64 }

func (r rate) add(perSecond float64) rate {
	return rate{r.sum + loadSmoothing*(perSecond-r.sum), r.weight + loadSmoothing*(1-r.weight)}
}

func (r rate) perSecond() float64 { return r.sum / r.weight }

// shardLoads counts requests by shard, for the manager's placement.
type shardLoads struct {
	mu     sync.Mutex
	counts map[control.ShardKey]int
	rates  map[control.ShardKey]rate
	due    bool // a report is owed
}

func newShardLoads() *shardLoads {
	return &shardLoads{counts: map[control.ShardKey]int{}, rates: map[control.ShardKey]rate{}}
}

func (l *shardLoads) add(key control.ShardKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[key]++
}

// endWindow takes the counts of a window into the rates.
func (l *shardLoads) endWindow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.counts {
		if _, known := l.rates[key]; !known {
			l.rates[key] = rate{}
		}
	}
	for key, r := range l.rates {
		r = r.add(float64(l.counts[key]) / loadWindow.Seconds())
		if r.perSecond() < minRate {
			delete(l.rates, key)
			continue
		}
		l.rates[key] = r
	}
	clear(l.counts)
	l.due = true
}

// report returns the rates once a window, and nothing in between.
func (l *shardLoads) report() []mapstore.ShardLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.due {
		return nil
	}
	l.due = false
	out := make([]mapstore.ShardLoad, 0, len(l.rates))
	for key, r := range l.rates {
		if r.weight >= knownWeight {
			out = append(out, mapstore.ShardLoad{Service: key.Service, Shard: key.Shard, PerSecond: float32(r.perSecond())})
		}
	}
	return out
}
