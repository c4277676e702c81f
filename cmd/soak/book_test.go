package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/mangogate/mangogate/standin/holder"
)

const (
	drainBound = 2 * time.Second
	// sampleStride spreads the keys at which ownership is checked.
	sampleStride = 1024
	allKeys      = 65536
)

// book checks the promises from what targets and callers see.
type book struct {
	mu       sync.Mutex
	holders  map[int]map[string]time.Time // key to target to the end of its hold
	fences   map[int]int64                // highest fence by key
	lastBy   map[int]string
	runs     map[string]int    // request to how often it ran
	writes   map[string]string // request to how the write ended
	leaving  map[string]time.Time
	gone     map[string]bool
	excused  func() bool // faults that lift the bound of drains
	problems []string
}

func newBook() *book {
	return &book{
		holders: map[int]map[string]time.Time{}, fences: map[int]int64{}, lastBy: map[int]string{}, runs: map[string]int{},
		writes: map[string]string{}, leaving: map[string]time.Time{}, gone: map[string]bool{}, excused: func() bool { return false },
	}
}

func (b *book) problem(format string, args ...any) {
	if len(b.problems) < 20 {
		b.problems = append(b.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Granted implements holder.Journal.
func (b *book) Granted(target string, h holder.Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := (h.From + sampleStride - 1) / sampleStride * sampleStride; key <= h.To; key += sampleStride {
		if h.Fence < b.fences[key] && b.lastBy[key] != target || h.Fence == b.fences[key] && b.lastBy[key] != target {
			b.problem("key %d was granted to %s with fence %d; %s had it with %d", key, target, h.Fence, b.lastBy[key], b.fences[key])
		}
		if h.Fence >= b.fences[key] {
			b.fences[key], b.lastBy[key] = h.Fence, target
		}
	}
}

// checkOwners looks at all targets at one moment: none may hold the key of another.
func (b *book) checkOwners(targets []*member) {
	for key := 0; key < allKeys; key += sampleStride {
		var holding []string
		for _, m := range targets {
			if m.Holds(key) {
				holding = append(holding, m.ID)
			}
		}
		if len(holding) > 1 {
			b.mu.Lock()
			b.problem("key %d is held by %v", key, holding)
			b.mu.Unlock()
		}
	}
}

// Ran implements holder.Journal.
func (b *book) Ran(target, request string, _ int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[request]++
	if outcome, ended := b.writes[request]; ended && outcome == refused {
		b.problem("write %s runs at %s although it was refused as not run", request, target)
	}
	if at, leaves := b.leaving[target]; leaves && time.Since(at) > drainBound && !b.excused() {
		b.problem("request %s reached %s %s after it said that it leaves", request, target, time.Since(at))
	}
}

func (b *book) leaves(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[target] = time.Now()
}

func (b *book) ended(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.leaving, target)
	b.gone[target] = true
}

// Outcomes of writes.
const (
	refused  = "refused"
	answered = "answered"
	unknown  = "unknown"
)

// wrote records how a write ended for its caller.
func (b *book) wrote(request, outcome string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes[request] = outcome
	switch n := b.runs[request]; {
	case n > 1:
		b.problem("write %s ran %d times", request, n)
	case outcome == refused && n > 0:
		b.problem("write %s was refused as not run and ran", request)
	case outcome == answered && n == 0:
		b.problem("write %s was answered and never ran", request)
	}
}
