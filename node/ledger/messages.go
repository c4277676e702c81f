package ledger

import (
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/node/timeline"
)

// BeginArgs asks for leave to send a write.
type BeginArgs struct {
	Group       string
	Key         string // Idempotency-Key with the service's name
	Fingerprint uint64
	Attempt     string // identifies this attempt in FinishArgs
	Remaining   time.Duration
}

// Decision is the ledger's answer to BeginArgs.
type Decision uint8

// The decisions of the ledger.
const (
	Run         Decision = iota + 1 // the intent is recorded at all copies
	Replay                          // the answer is known
	Ran                             // it ran, but the answer was too large to keep
	Unknown                         // it may have run
	Mismatch                        // the key belongs to another request
	Full                            // no room; not run
	Moved                           // this VM does not keep the group; not run
	NotRecorded                     // the copies could not be reached in time; not run
)

// BeginReply answers BeginArgs.
type BeginReply struct {
	Decision Decision
	Answer   *dedupe.Answer
	Keeper   string // VM that decided; set by the VM that asked
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeDone    Outcome = iota + 1 // answered
	OutcomeNotRun                     // provably not run
	OutcomeUnknown                    // it may have run
)

// FinishArgs ends an attempt.
type FinishArgs struct {
	Group   string
	Key     string
	Attempt string
	Outcome Outcome
	Answer  *dedupe.Answer // for OutcomeDone
	// Keeper is the VM that allowed the attempt. It is told while the group
	// passes to another VM that is not active yet.
	Keeper string
}

// CopyArgs carries entries to a copy holder.
type CopyArgs struct {
	Stamp   timeline.Stamp
	Group   string
	Epoch   uint64
	Entries []dedupe.Entry
	// Withdraw lists intents of writes that provably did not run.
	Withdraw []Withdrawal
}

// Withdrawal identifies an intent.
type Withdrawal struct {
	Key     string
	Epoch   uint64
	Attempt uint64
}

// CopyReply answers CopyArgs.
type CopyReply struct {
	OldEpoch bool // a newer dispatcher is known
	Full     bool
	// Incomplete says that the copy stored the entries but does not know all
	// earlier ones.
	Incomplete bool
	// MayHaveRun says that the copy knows of an earlier attempt that may have run.
	MayHaveRun bool
}

// ImportArgs makes a copy complete at an epoch. Without Full it holds no
// entries: a copy that was complete at PrevEpoch has them already.
type ImportArgs struct {
	Group     string
	Epoch     uint64
	PrevEpoch uint64
	Full      bool
	Last      bool // the last chunk of a full import
	Complete  bool // the keeper knows every write of the retention
	Entries   []dedupe.Entry
}

// ImportReply answers ImportArgs.
type ImportReply struct {
	NeedFull bool
	OldEpoch bool
}

// Nothing is the reply of a call that has no result.
type Nothing struct{}
