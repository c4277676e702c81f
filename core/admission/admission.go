// Package admission decides when a request of one dispatch group may be sent
// and to which target. Each target has an exact limit of requests in flight,
// which starts at one slot while the target is cold and grows as it completes
// requests. Waiting requests are ordered by deadline.
//
// Invariant: when a request is started on a target, the requests in flight
// there do not exceed the target's limit at that moment.
package admission

import "time"

// Config holds the limits of a group.
type Config struct {
	MaxQueue int // the most requests that may wait
	// RampCompletions is the number of requests that a target has to complete at
	// one limit before its limit grows by one slot.
	RampCompletions int
	// ColdFactor is the ratio of a target's recent service time to its usual one
	// above which the target is taken to be cold.
	ColdFactor float64
	// ProbeInterval is the first backoff of a target that rejects requests or
	// fails, the shortest idle time after which a target is probed, and the delay
	// after which a free slot that was left idle is considered again.
	ProbeInterval time.Duration
}

// DefaultConfig returns the limits for one group whose queue holds up to
// maxQueue requests.
func DefaultConfig(maxQueue int) Config {
	return Config{MaxQueue: maxQueue, RampCompletions: 8, ColdFactor: 4, ProbeInterval: 100 * time.Millisecond}
}

// ID identifies a request within the process.
type ID uint64

// Event is an input of Group.Step.
type Event interface{ event() }

// Arrive adds a request to the queue.
type Arrive struct {
	ID       ID
	Deadline time.Duration // clock reading
	// Exclusive keeps other requests off the target while this one runs, because
	// it was in flight when a target crashed.
	Exclusive bool
	// Avoid names a target that has rejected or failed this request. The request
	// is sent there only if no other target of the group is usable.
	Avoid string
}

// Result is the outcome of a started request.
type Result uint8

// The results of a started request.
const (
	ResultDone      Result = iota + 1
	ResultShed             // the target was overloaded and rejected it without running it
	ResultRefused          // the target rejected it without running it for another reason
	ResultFailed           // the connection or the target failed; it may have run
	ResultTimeout          // no answer before the timeout
	ResultCancelled        // the caller cancelled it while it ran
)

// Finish ends a started request and frees its slot.
type Finish struct {
	ID          ID
	Result      Result
	ServiceTime time.Duration // from sending the request to the end of the answer
}

// Cancel removes a waiting request. A started request ends by Finish instead.
type Cancel struct{ ID ID }

// TargetUpdate adds or updates a target. Its limit is reset to one slot by a new
// BootID, by Granted, when Available becomes true again, and when it is added
// again after TargetRemoved. A target without slots counts as not available.
type TargetUpdate struct {
	Target    string
	BootID    string
	Slots     int  // the most requests that the target runs at once
	Available bool // false while the target is draining, holds no grant, or is out of service
	Granted   bool // the target received a new grant since the last event
}

// TargetRemoved removes a target. Its requests in flight still end by Finish.
type TargetRemoved struct{ Target string }

// Tick applies the passing of time, as every other event does too: it refuses
// expired requests and starts those for which a pause or a wait has ended.
type Tick struct{}

func (Arrive) event()        {}
func (Finish) event()        {}
func (Cancel) event()        {}
func (TargetUpdate) event()  {}
func (TargetRemoved) event() {}
func (Tick) event()          {}

// Action is an output of Group.Step.
type Action interface{ action() }

// Start sends a request to a target.
type Start struct {
	ID     ID
	Target string
}

// Reason says why a request was refused without being started.
type Reason string

// The reasons of a Refuse.
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
