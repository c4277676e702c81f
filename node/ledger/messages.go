package ledger

import (
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/node/timeline"
)

// BeginArgs asks the dispatcher of a group whether a write may be sent.
type BeginArgs struct {
	Group       string
	Key         string // Idempotency-Key with the service's name
	Fingerprint uint64
	Attempt     string        // identifies this attempt in FinishArgs
	Remaining   time.Duration // time left until the deadline of the attempt
}

// Decision says whether a write may be sent, and if not, why.
type Decision uint8

// The decisions of the ledger.
const (
	Run           Decision = iota + 1 // the write may be sent: its intent is stored at all copies
	Replay                            // the write ran earlier, and its answer is known
	AnswerNotKept                     // the write ran earlier, but its answer was too large to keep
	Unknown                           // the write may have run
	Mismatch                          // the key was used for a different request
	Full                              // no room for another intent; not run
	NotDispatcher                     // no active dispatcher could be asked, or the attempt was cancelled; not run
	NotRecorded                       // the copies did not store the intent before the deadline; not run
)

// BeginReply answers BeginArgs.
type BeginReply struct {
	Decision Decision
	Answer   *dedupe.Answer
	Keeper   string // dispatcher that decided; set by the VM that asked
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeDone    Outcome = iota + 1 // the target answered
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
	// Keeper is the dispatcher that allowed the attempt. It gets the outcome while
	// the group moves to another VM that is not active yet.
	Keeper string
}

// CopyArgs carries entries from the dispatcher to a copy holder.
type CopyArgs struct {
	Stamp   timeline.Stamp
	Group   string
	Epoch   uint64
	Entries []dedupe.Entry
	// Withdraw lists intents of writes that provably did not run.
	Withdraw []Withdrawal
}

// Withdrawal identifies an intent that is to be removed.
type Withdrawal struct {
	Key     string
	Epoch   uint64
	Attempt uint64
}

// CopyReply answers CopyArgs.
type CopyReply struct {
	OldEpoch bool // not stored: the copy holder knows a later epoch
	Full     bool // not stored: no room
	// Incomplete says that the copy holder stored the entries but does not have all
	// earlier ones.
	Incomplete bool
	// MayHaveRun says that the copy holder knows of an earlier attempt, or of a
	// different request with the same key, that may have run.
	MayHaveRun bool
}

// ImportArgs makes a copy complete at an epoch. Unless Full is set it carries
// no entries, because a copy that was complete at PrevEpoch already has them
// all.
type ImportArgs struct {
	Group     string
	Epoch     uint64
	PrevEpoch uint64
	Full      bool
	Last      bool // the last chunk of a full import
	Complete  bool // the dispatcher has every write of the retention period
	Entries   []dedupe.Entry
}

// ImportReply answers ImportArgs.
type ImportReply struct {
	NeedFull bool // the copy is not complete at PrevEpoch; a full import is needed
	OldEpoch bool // refused: the receiver knows a later epoch or is the dispatcher
}

// Nothing is the reply of a call that has no result.
type Nothing struct{}
