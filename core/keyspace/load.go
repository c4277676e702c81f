package keyspace

import (
	"math"
	"time"
)

// loadHalfLife is the time in which an old sample loses half of its weight.
// Hot keys have to show within a second or two.
const loadHalfLife = 2 * time.Second

// Load sums the work that is asked of each key, in slots that are kept busy.
type Load struct {
	work [Keys]float32 // decayed seconds of work
	last time.Duration
}

// Add counts a request for a key that is expected to take some time.
func (l *Load) Add(key int, work time.Duration) { l.work[key] += float32(work.Seconds()) }

// Decay ages the sums. It is called several times per half-life.
func (l *Load) Decay(now time.Duration) {
	f := float32(math.Exp2(-float64(now-l.last) / float64(loadHalfLife)))
	l.last = now
	for i, w := range l.work {
		if w != 0 {
			l.work[i] = w * f
		}
	}
}

// busy converts decayed work to slots that are kept busy.
var busy = math.Ln2 / loadHalfLife.Seconds()

// Of returns the mean number of slots that a range keeps busy.
func (l *Load) Of(from, to int) float64 {
	var sum float64
	for _, w := range l.work[from : to+1] {
		sum += float64(w)
	}
	return sum * busy
}
