// Package dedupe makes sure that a write with an Idempotency-Key runs at most
// once. Each dispatch group has one dispatcher, the VM that sends its writes to
// targets, and copy holders, VMs with a replica of the dispatcher's Table. A Table
// belongs to one group at one of these VMs.
//
// Invariant: if the callers keep the rules at Table, a write runs at most once for
// as long as its entry is kept.
package dedupe

import "time"

// Config holds the limits of a table.
type Config struct {
	Retention     time.Duration // how long an entry is kept after its last change; see Expire
	MaxEntries    int
	MaxAnswerSize int // largest answer, header and body in bytes, that is stored for replay
}

// DefaultConfig returns the default limits of the table of one group.
func DefaultConfig() Config {
	return Config{Retention: 10 * time.Minute, MaxEntries: 200_000, MaxAnswerSize: 64 << 10}
}

// Phase is the stage that a write has reached.
type Phase uint8

const (
	PhaseIntent  Phase = iota + 1 // the intent to send is recorded; the write may have been sent
	PhaseDone                     // the target answered
	PhaseUnknown                  // the outcome is not known; the write may or may not have run
)

// Answer is a target's complete HTTP response.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Entry is the record of one write.
type Entry struct {
	Key         string // Idempotency-Key, qualified by the service
	Fingerprint uint64 // hash of service, method, URI, routing key and body; detects reuse of Key for another request
	Epoch       uint64 // dispatch epoch in which the intent was recorded, or to which Renew moved it
	Attempt     uint64 // number that the dispatcher's Begin assigned; unique within Epoch
	Phase       Phase
	Answer      *Answer       // set in PhaseDone unless it was larger than MaxAnswerSize
	ChangedAt   time.Duration // time of the last change on the clock of this table's VM
}

// Decision is the result of Begin and ApplyReplicated.
type Decision uint8

// The comments describe the results of Begin, except for Incomplete. ApplyReplicated
// describes its own results.
const (
	Run           Decision = iota + 1 // the intent was recorded; replicate it, then send the write
	Wait                              // the same write is in flight at this dispatcher; wait for its outcome
	Replay                            // the write is done; return the stored answer
	Unknown                           // the write may have run; never run it again
	Mismatch                          // the key was used for another request; the write was not run
	Full                              // the table has no capacity for another entry; the write was not run
	StaleEpoch                        // a newer dispatch epoch is known; the write was not run
	AnswerNotKept                     // the write ran, but its answer was too large to store; never run it again
	Incomplete                        // stored at a copy holder whose table is not complete; does not count as an acknowledgement
)
