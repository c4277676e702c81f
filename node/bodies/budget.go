// Package bodies holds the bodies of requests and counts the memory that a process uses
// for bodies of requests and answers against one budget.
package bodies

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/bodies"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// MaxBodyBytes is the largest body, in bytes, that deployments permit by default. A
	// budget should hold one.
	MaxBodyBytes = 64 << 20
	// firstBytes of each body are admitted up to the whole budget, the rest only up to
	// Budget.large, so that large bodies do not displace small ones and answers.
	firstBytes = 64 << 10
	// headsPart is the part of the budget, one in headsPart, that heads may use, so that
	// large ones leave memory for the bodies and answers of other requests.
	headsPart = 2
	// forcedPart is the part of the budget, one in forcedPart, that small answers may use
	// beside bodies that use up the rest.
	forcedPart = 4
	// waitLimit is the longest wait for memory. It covers the StallTime of bodies that
	// have just stopped.
	waitLimit = 2 * time.Second
	// pollInterval is the interval at which a body that waits looks for others that make no
	// progress, and the shortest time between two such decisions of bodies or of answers.
	pollInterval = 20 * time.Millisecond
	logInterval  = 10 * time.Second
)

// ErrNoMemory is returned when a body has to give up its memory, or gets none.
var ErrNoMemory = errors.New("no memory is left for the body beside those in progress")

// Budget limits the memory for bodies of one process. It is safe for concurrent use.
type Budget struct {
	limit, large int64 // bytes; 0 means no limit
	logger       hclog.Logger
	start        time.Time
	used         atomic.Int64
	largeUsed    atomic.Int64
	heads        atomic.Int64 // bytes of used that AddHead has counted
	forced       atomic.Int64 // bytes of used that Force has counted
	waiting      atomic.Int64 // bodies and answers that wait for memory
	usedGauge    metrics.Gauge
	gaveUp       metrics.Counter

	mu           sync.Mutex
	reading      map[*Body]struct{}
	leaving      int64            // bytes of bodies that gave up and have not been released
	nextDecision [2]time.Duration // by bodies.Need: the turns of bodies take none from answers
	first        *Body            // gets memory beyond firstBytes before the others, if it is not nil
	lastLogged   time.Duration
	freed        chan struct{} // closed when memory was released; nil if nobody waits
}

// New returns a budget of limit bytes; 0 means no limit.
func New(limit int64, logger hclog.Logger, registry metrics.Registry) *Budget {
	b := &Budget{
		limit: limit, large: max(limit/4*3, min(MaxBodyBytes+maxSegment, limit/16*15)), logger: logger, start: time.Now(), reading: map[*Body]struct{}{},
		usedGauge: metrics.GetOrRegisterGauge("bodies.used_bytes", registry),
		gaveUp:    metrics.GetOrRegisterCounter("bodies.gave_up", registry), lastLogged: -logInterval,
	}
	metrics.GetOrRegisterGauge("bodies.limit_bytes", registry).Update(limit)
	return b
}

// HoldsMaxBody reports whether a body of MaxBodyBytes fits.
func (b *Budget) HoldsMaxBody() bool { return b.limit == 0 || b.large >= MaxBodyBytes }

func (b *Budget) now() time.Duration { return time.Since(b.start) }

// add counts n bytes, of which large are beyond the firstBytes of a body, unless they
// exceed the budget.
func (b *Budget) add(n, large int64) bool {
	used, largeUsed := b.used.Add(n), b.largeUsed.Add(large)
	if b.limit > 0 && (used > b.limit || large > 0 && largeUsed > b.large) {
		b.used.Add(-n)
		b.largeUsed.Add(-large)
		return false
	}
	b.usedGauge.Update(used)
	return true
}

func (b *Budget) remove(n, large int64) {
	b.usedGauge.Update(b.used.Add(-n))
	b.largeUsed.Add(-large)
}

// Reserve counts n bytes for an answer and reports whether they fit. It waits for memory
// that bodies of requests give up, because the request of the answer has been run.
func (b *Budget) Reserve(n int64) bool { return b.reserve(nil, n, 0) == nil }

// Force counts n bytes for an answer also beyond the budget. ReleaseForced ends that.
func (b *Budget) Force(n int64) {
	b.forced.Add(n)
	b.usedGauge.Update(b.used.Add(n))
}

// ReleaseForced ends the use of n bytes that were passed to Force.
func (b *Budget) ReleaseForced(n int64) {
	b.forced.Add(-n)
	b.Release(n)
}

// AddHead counts n bytes for the parsed head of a request, unless all heads would exceed their
// part of the budget or nothing is left, and reports whether it did. RemoveHead ends that.
func (b *Budget) AddHead(n int64) bool {
	if b.heads.Add(n) <= b.limit/headsPart || b.limit == 0 {
		if b.add(n, 0) {
			return true
		}
	}
	b.heads.Add(-n)
	return false
}

// RemoveHead ends the use of n bytes that AddHead has counted.
func (b *Budget) RemoveHead(n int64) {
	b.heads.Add(-n)
	b.Release(n)
}

// Release ends the use of n bytes that were passed to Reserve.
func (b *Budget) Release(n int64) {
	if n == 0 {
		return
	}
	b.remove(n, 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// HasRoomForAnswer reports whether a request may be sent, whose answer Force may count: the
// budget is not used up, or answers that were counted beyond it use only a small part.
func (b *Budget) HasRoomForAnswer() bool {
	return b.limit == 0 || b.used.Load() < b.limit || b.forced.Load() < b.limit/forcedPart
}

// Used returns how many bytes are in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// wake lets waiting bodies try again. mu must be held.
func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// reserve counts n more bytes for a body that is being read, or for an answer if body is
// nil. It waits for memory that others give up or release, and returns ErrNoMemory if there
// is none or the body itself gives up.
func (b *Budget) reserve(body *Body, n, large int64) error {
	if (large == 0 || b.waiting.Load() == 0) && b.add(n, large) {
		return nil
	}
	began := b.now()
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	need := bodies.ForAnswer
	if body != nil {
		need = bodies.ForBody
		body.state.Waiting = true
		defer b.endWait(body)
	}
	for {
		now := b.now()
		switch {
		case body != nil && body.gaveUp.Load():
			return ErrNoMemory
		case (large == 0 || b.first == nil || b.first == body) && b.add(n, large):
			return nil
		case now-began >= waitLimit:
			if body != nil {
				b.giveUp(body, now)
			}
			return ErrNoMemory
		}
		if now >= b.nextDecision[need] {
			b.nextDecision[need] = now + pollInterval
			if chosen := b.choose(n, need, now, now-began); chosen != nil {
				b.giveUp(chosen, now)
				continue
			}
		}
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(pollInterval):
		}
		b.mu.Lock()
	}
}

// endWait records that a body has got memory or has given up. mu must be held.
func (b *Budget) endWait(body *Body) {
	body.state.Waiting, body.state.Progress = false, b.now()
	if b.first == body {
		b.first = nil
		b.wake()
	}
}

// choose returns the body that gives up its memory for n bytes, or nil if none does or if
// enough is on its way. It also sets b.first. mu must be held.
func (b *Budget) choose(n int64, need bodies.Need, now, waited time.Duration) *Body {
	candidates, states := make([]*Body, 0, len(b.reading)), make([]bodies.Body, 0, len(b.reading))
	for body := range b.reading {
		if !body.gaveUp.Load() {
			candidates, states = append(candidates, body), append(states, body.state)
		}
	}
	b.first = nil
	if i := bodies.First(states); i >= 0 {
		b.first = candidates[i]
	}
	if i := bodies.GivesUp(states, need, now, waited); i >= 0 && b.leaving < n {
		return candidates[i]
	}
	return nil
}

// giveUp makes a body give up its memory. mu must be held.
func (b *Budget) giveUp(body *Body, now time.Duration) {
	if body.gaveUp.Swap(true) {
		return
	}
	b.leaving += body.state.Held
	b.gaveUp.Inc(1)
	body.interrupt()
	if now-b.lastLogged >= logInterval {
		b.lastLogged = now
		b.logger.Warn("bodies of callers exceed the memory for them; some are refused", "used", b.used.Load(), "limit", b.limit,
			"being_read", len(b.reading), "refused_so_far", b.gaveUp.Count())
	}
}
