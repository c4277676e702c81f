package dispatch

import (
	"time"

	"github.com/mangogate/mangogate/node/timeline"
)

// Request is a caller's request on its way from the entry to the dispatcher.
type Request struct {
	Stamp          timeline.Stamp
	ID             string
	Service        string
	Group          string
	Key            string
	Shard          int // -1 for a pool
	Method         string
	URI            string
	Header         map[string][]string
	Body           []byte
	Read           bool
	IdempotencyKey string
	Remaining      time.Duration // until the deadline
}

// Outcome says whether a target ran the request.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeRun means that a target ran it and this is its whole answer.
	OutcomeRun Outcome = iota + 1
	// OutcomeNotRun means that no target ran it and none will.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run it.
	OutcomeUnknown
	// OutcomeMoved means that it was not run because this VM does not
	// dispatch it now; the entry looks again. Callers never see it.
	OutcomeMoved
)

// Reason is the machine-readable reason of a refusal or unknown outcome.
type Reason string

// The reasons that callers see.
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

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Message string
	Status  int
	Header  map[string][]string
	Body    []byte
}

// CancelArgs withdraws a request whose caller has gone.
type CancelArgs struct{ ID string }

// Nothing is the reply of a call that has no result.
type Nothing struct{}

// NotRun returns a refusal.
func NotRun(reason Reason, message string) *Result {
	return &Result{Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// Unknown returns an unknown outcome.
func Unknown(reason Reason, message string) *Result {
	return &Result{Outcome: OutcomeUnknown, Reason: reason, Message: message}
}

func moved() *Result { return &Result{Outcome: OutcomeMoved} }
