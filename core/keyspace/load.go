package keyspace

import (
	"math"
	"time"
)

// loadHalfLife is the time in which a sample loses half of its weight. It is
// short so that hot keys become visible within a second or two.
const loadHalfLife = 2 * time.Second

// Load measures the load of each key as an exponentially decayed sum of the
// expected work of its requests. The zero value is an empty load that may be used
// for balancing at once.
type Load struct {
	work         [Keys]float32 // decayed seconds of work
	total        float64       // decayed seconds of work of all keys
	requests     float64       // decayed number of requests
	knownFrom    time.Duration // time from which the load may be used for balancing
	decayedAt    time.Duration
	prefixBuffer []float64 // result of prefixSums
}

// NewLoad returns the load of a leader that starts measuring now. It is not used
// for balancing until one half-life has passed.
func NewLoad(now time.Duration) *Load { return &Load{decayedAt: now, knownFrom: now + loadHalfLife} }

// Add counts a request for a key; work is the time that the request is expected
// to keep a slot busy.
func (l *Load) Add(key int, work time.Duration) {
	l.work[key] += float32(work.Seconds())
	l.total += work.Seconds()
	l.requests++
}

// Decay applies the exponential decay up to now. It must be called several times
// per half-life, because requests keep their full weight until the next call.
func (l *Load) Decay(now time.Duration) {
	f := math.Exp2(-float64(now-l.decayedAt) / float64(loadHalfLife))
	l.decayedAt = now
	l.total *= f
	l.requests *= f
	for i, w := range l.work {
		if w != 0 {
			l.work[i] = w * float32(f)
		}
	}
}

// known reports whether the load may be used for balancing.
func (l *Load) known(now time.Duration) bool { return now >= l.knownFrom }

// perRequest returns the mean load that one request adds, in slots.
func (l *Load) perRequest() float64 {
	if l.requests <= 0 {
		return 0
	}
	return l.total / l.requests * slotsPerWorkSecond
}

// prefixSums returns, at index k, the load of all keys below k, in slots. The
// next call overwrites the returned slice.
func (l *Load) prefixSums() []float64 {
	if l.prefixBuffer == nil {
		l.prefixBuffer = make([]float64, Keys+1)
	}
	var sum float64
	for i, w := range l.work {
		sum += float64(w) * slotsPerWorkSecond
		l.prefixBuffer[i+1] = sum
	}
	return l.prefixBuffer
}

// slotsPerWorkSecond converts decayed seconds of work to busy slots: under a
// constant load, the decayed sum is the load times half-life / ln 2.
var slotsPerWorkSecond = math.Ln2 / loadHalfLife.Seconds()

// BusySlots returns the mean number of slots kept busy by the keys from through to.
func (l *Load) BusySlots(from, to int) float64 {
	var sum float64
	for _, w := range l.work[from : to+1] {
		sum += float64(w)
	}
	return sum * slotsPerWorkSecond
}
