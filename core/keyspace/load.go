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
	work     [Keys]float32 // decayed seconds of work
	total    float64       // decayed seconds of work of all keys
	requests float64       // decayed number of requests
	settles  time.Duration // nothing is known before
	last     time.Duration
	buffer   []float64 // of sums
}

// NewLoad returns the load of a leader that begins to count now.
func NewLoad(now time.Duration) *Load { return &Load{last: now, settles: now + loadHalfLife} }

// Add counts a request for a key that is expected to take some time.
func (l *Load) Add(key int, work time.Duration) {
	l.work[key] += float32(work.Seconds())
	l.total += work.Seconds()
	l.requests++
}

// Decay ages the sums. It is called several times per half-life.
func (l *Load) Decay(now time.Duration) {
	f := math.Exp2(-float64(now-l.last) / float64(loadHalfLife))
	l.last = now
	l.total *= f
	l.requests *= f
	for i, w := range l.work {
		if w != 0 {
			l.work[i] = w * float32(f)
		}
	}
}

// known tells whether the load has been seen for long enough to go by it.
func (l *Load) known(now time.Duration) bool { return now >= l.settles }

// perRequest returns the mean load that one request adds, in slots.
func (l *Load) perRequest() float64 {
	if l.requests <= 0 {
		return 0
	}
	return l.total / l.requests * busy
}

// sums returns the load of the keys below each key, in slots. The next call
// overwrites it.
func (l *Load) sums() []float64 {
	if l.buffer == nil {
		l.buffer = make([]float64, Keys+1)
	}
	var sum float64
	for i, w := range l.work {
		sum += float64(w) * busy
		l.buffer[i+1] = sum
	}
	return l.buffer
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
