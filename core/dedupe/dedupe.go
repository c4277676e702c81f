// Package dedupe makes sure that a write with an Idempotency-Key runs at most
// once. One Table belongs to one dispatch group, at its dispatcher and at each
// VM that holds a copy.
//
// Invariant: for one key, Begin answers Run at most once among all tables of a
// group whose entries derive from each other.
package dedupe

import "time"

// Config holds the limits of a table.
type Config struct {
	Retention     time.Duration // how long an entry is kept after its last change
	MaxEntries    int
	MaxAnswerSize int // bytes of an answer that are kept for a repeat
}

// DefaultConfig returns the limits for one group.
func DefaultConfig() Config {
	return Config{Retention: 10 * time.Minute, MaxEntries: 200_000, MaxAnswerSize: 64 << 10}
}

// Phase is how far a write has come.
type Phase uint8

// The phases of a write.
const (
	PhaseIntent  Phase = iota + 1 // recorded, perhaps sent
	PhaseDone                     // the answer is known
	PhaseUnknown                  // it may or may not have run
)

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Entry is what is known about one write.
type Entry struct {
	Key         string // Idempotency-Key with the service and the caller's scope
	Fingerprint uint64 // hash of method, path and body: another request with the same key is an error
	Epoch       uint64 // dispatch epoch under which the intent was recorded
	Attempt     uint64 // number of the Begin at the dispatcher; unique within Epoch
	Phase       Phase
	Answer      *Answer // set in PhaseDone unless it was larger than MaxAnswerSize
	ChangedAt   time.Duration
}

// Decision is the answer of Begin.
type Decision uint8

// The decisions of Begin.
const (
	Run        Decision = iota + 1 // the intent was recorded; copy it, then send
	Wait                           // the same write is in flight here; wait for its outcome
	Replay                         // the answer is known
	Unknown                        // it may have run; never run it again
	Mismatch                       // the key was used for another request
	Full                           // no room for another entry; not run
	OldEpoch                       // a newer dispatcher is known; not run
	Ran                            // it ran, but its answer was too large to keep; never run it again
	Incomplete                     // stored at a copy that is not complete; does not count as an acknowledgement
)
