// Package admission decides when a request of one dispatch group may be sent
// and to which target: exact slots, a cold ramp, and a queue by deadline.
//
// Invariant: a target never has more requests in flight than its current slot
// limit allows at the moment one is started.
package admission

import "time"

// Config holds the limits of a group.
type Config struct {
	MaxQueue int // requests waiting at once
	// RampCompletions is the number of requests that a target completes at
	// one limit before the limit grows by one slot.
	RampCompletions int
	// ColdFactor is the ratio of the recent service time to the usual one
	// that counts as a sign of a cold target.
	ColdFactor float64
	// ProbeInterval is the time after which a target that is not available
	// or keeps shedding is tried with one request again.
	ProbeInterval time.Duration
}

// DefaultConfig returns the limits for one group.
func DefaultConfig(maxQueue int) Config {
	return Config{MaxQueue: maxQueue, RampCompletions: 8, ColdFactor: 4, ProbeInterval: 100 * time.Millisecond}
}

// ID identifies a request within the process.
type ID uint64

// Event is an input of Group.Step.
type Event interface{ event() }

// Arrive adds a request.
type Arrive struct {
	ID       ID
	Deadline time.Duration // clock reading
	// Alone asks that no other request runs on the target meanwhile: the
	// request was in flight when a target crashed.
	Alone bool
	// Avoid names a target that already refused or failed this request; it
	// is used only when no other target of the group is available.
	Avoid string
}

// Result is how a started request ended.
type Result uint8

// The results of a started request.
const (
	ResultDone      Result = iota + 1
	ResultShed             // the target refused it as not run, overloaded
	ResultRefused          // the target refused it as not run for another reason
	ResultFailed           // connection or target failed; the outcome is unknown
	ResultTimeout          // no answer in time
	ResultCancelled        // the caller gave up while it ran
)

// Finish frees the slot of a started request.
type Finish struct {
	ID          ID
	Result      Result
	ServiceTime time.Duration // from sending to the whole answer
}

// Cancel withdraws a request that waits. A started one ends by Finish.
type Cancel struct{ ID ID }

// TargetSeen sets or updates a target. A new BootID, Granted, or a return to
// Available puts the target at one slot. Available is false while it is draining, not granted,
// or out of service.
type TargetSeen struct {
	Target    string
	BootID    string
	Slots     int // the most requests that it runs at once
	Available bool
	Granted   bool // it received a new grant since the last event
}

// TargetRemoved forgets a target. Its requests in flight still end by Finish.
type TargetRemoved struct{ Target string }

// Tick lets time pass: expired requests are refused, probes start.
type Tick struct{}

func (Arrive) event()        {}
func (Finish) event()        {}
func (Cancel) event()        {}
func (TargetSeen) event()    {}
func (TargetRemoved) event() {}
func (Tick) event()          {}

// Action is an output of Group.Step.
type Action interface{ action() }

// Start sends a request to a target.
type Start struct {
	ID     ID
	Target string
}

// Reason says why a request was refused before it was sent.
type Reason string

// The reasons of a refusal.
const (
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline-passed"
)

// Refuse ends a request that was never started.
type Refuse struct {
	ID     ID
	Reason Reason
}

func (Start) action()  {}
func (Refuse) action() {}
