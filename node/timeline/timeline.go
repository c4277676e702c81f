// Package timeline records the events of one process so that the events of all
// processes can be merged in causal order. Each event carries a stamp of a hybrid
// logical clock: the wall clock, advanced past every stamp received from a peer.
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
	Logical uint32 `json:"logical"` // counts the stamps with the same WallUS
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.WallUS, o.WallUS), cmp.Compare(s.Logical, o.Logical))
}

// Event is one change of state, such as a granted shard. Fields that do not
// apply to its kind are empty.
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

// Capacity is the number of events that a Recorder keeps.
const Capacity = 8192

// Recorder keeps the last Capacity events. It is safe for concurrent use.
type Recorder struct {
	vm     string
	mu     sync.Mutex
	last   Stamp
	events []Event // ring buffer
	next   int     // index of the oldest event once the buffer is full
}

// New returns an empty recorder whose events carry the name of a VM.
func New(vm string) *Recorder { return &Recorder{vm: vm} }

// Now returns a stamp greater than all stamps issued or observed before.
func (r *Recorder) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// tick advances the clock and returns the new stamp. The caller holds mu.
func (r *Recorder) tick() Stamp {
	wall := time.Now().UnixMicro()
	if wall > r.last.WallUS {
		r.last = Stamp{WallUS: wall}
	} else {
		r.last.Logical++
	}
	return r.last
}

// Observe advances the clock to a stamp received from a peer, so that later
// stamps are greater than it.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Compare(r.last) > 0 {
		r.last = s
	}
}

// Record sets the stamp and the VM of an event and stores it. The oldest event is
// overwritten when the buffer is full.
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

// Events returns a copy of the stored events, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// Merge returns the events of several processes in causal order. Events with the
// same stamp are ordered by VM.
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
