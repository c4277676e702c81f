package dispatch

import (
	"time"

	"github.com/mangogate/mangogate/node/timeline"
)

// Request is a caller's request as the entry VM sends it to the dispatcher.
type Request struct {
	Stamp          timeline.Stamp
	ID             string
	Service        string
	Group          string
	Key            string
	Shard          int // -1 for a service without keys
	Method         string
	URI            string
	Header         map[string][]string
	Body           []byte
	Read           bool // idempotent by its rule, so it may be retried
	IdempotencyKey string
	Remaining      time.Duration // time until the deadline
}

// Outcome says whether a target ran the request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeRun means that a target ran the request and the result holds its
	// complete answer.
	OutcomeRun Outcome = iota + 1
	// OutcomeNotRun means that no target ran the request and none will; a failed
	// attempt of a read may nevertheless have run it.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown
	// OutcomeMoved says the same as OutcomeNotRun, for the reason that this VM does
	// not dispatch the request now. The entry VM looks up the dispatcher again;
	// callers never see this outcome.
	OutcomeMoved
)

// Reason is the machine-readable reason of a refusal or unknown outcome.
type Reason string

// The reasons that callers get in refusals and unknown outcomes.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonNoRule          Reason = "no-rule"
	ReasonNoKey           Reason = "no-key"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonTooMany         Reason = "too-many-requests"
	ReasonQueueFull       Reason = "queue-full"
	ReasonUnavailable     Reason = "unavailable"
	ReasonDeadline        Reason = "deadline-passed"
	ReasonDeadlineRunning Reason = "deadline-passed-while-running"
	ReasonOutcomeUnknown  Reason = "outcome-unknown"
	ReasonKeyReused       Reason = "idempotency-key-reused"
	ReasonQuarantined     Reason = "quarantined"
	ReasonTargetRefused   Reason = "target-refused"
	ReasonAnswerNotKept   Reason = "answer-not-kept"
	ReasonLedgerFull      Reason = "ledger-full"
	ReasonStopping        Reason = "stopping"
)

// Result is the outcome of a request. Reason and Message are set unless the
// outcome is OutcomeRun or OutcomeMoved; Status, Header and Body are the target's
// answer if it is OutcomeRun.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Message string
	Status  int
	Header  map[string][]string
	Body    []byte
}

// CancelArgs names a request to cancel because its caller disconnected.
type CancelArgs struct{ ID string }

// Nothing is the empty reply of an RPC without a result.
type Nothing struct{}

// NotRun returns the result of a request that no target ran. The message is a
// sentence for the caller.
func NotRun(reason Reason, message string) *Result {
	return &Result{Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// Unknown returns the result of a request that a target may have run. The
// message is a sentence for the caller.
func Unknown(reason Reason, message string) *Result {
	return &Result{Outcome: OutcomeUnknown, Reason: reason, Message: message}
}

func moved() *Result { return &Result{Outcome: OutcomeMoved} }
