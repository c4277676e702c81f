// Package timeline records the events of one process so that those of all
// processes can be merged in causal order. Each event carries a hybrid logical
// clock: wall time, raised above every stamp received from a peer.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Stamp is a reading of the hybrid logical clock.
type Stamp struct {
	WallUS  int64  `json:"wall_us"` // microseconds since the Unix epoch
	Logical uint32 `json:"logical"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.WallUS, o.WallUS), cmp.Compare(s.Logical, o.Logical))
}

// Event is one change of state.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	VM      string `json:"vm"`
	Kind    string `json:"kind"` // dotted, such as "shard.granted"
	Service string `json:"service,omitempty"`
	Shard   *int   `json:"shard,omitempty"`
	Group   string `json:"group,omitempty"`
	Target  string `json:"target,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Capacity is the number of events that a process keeps.
const Capacity = 8192

// Recorder keeps the last events of a process.
type Recorder struct {
	vm     string
	mu     sync.Mutex
	last   Stamp
	events []Event // ring
	next   int
}

// New returns a recorder for a VM.
func New(vm string) *Recorder { return &Recorder{vm: vm} }

// Now returns a stamp above all that were issued or observed.
func (r *Recorder) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

func (r *Recorder) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.last.WallUS {
		r.last = Stamp{WallUS: wall}
	} else {
		r.last.Logical++
	}
	return r.last
}

// Observe raises the clock above a stamp received from a peer.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Compare(r.last) > 0 {
		r.last = s
	}
}

// Record stamps and keeps an event.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp, e.VM = r.tick(), r.vm
	if len(r.events) < Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % Capacity
}

// Events returns the kept events in order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Merge returns the events of several processes in causal order.
func Merge(lists ...[]Event) []Event {
	var out []Event
	for _, l := range lists {
		out = append(out, l...)
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.VM, b.VM))
	})
	return out
}
