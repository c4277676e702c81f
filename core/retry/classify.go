package retry

import "time"

// Attempt describes a failed attempt to run a request.
type Attempt struct {
	Read bool // idempotent according to the rule of the request
	// Written is false only if the connection failed before the first write.
	// Otherwise at least one byte of the request may have reached the socket.
	Written bool
	// RefusedNotRun is true if the target refused the request before running it.
	// The header of the refusal is sufficient, even if its body is incomplete.
	RefusedNotRun bool
	Incomplete    bool // there is no answer, or it ended early
	Timeout       bool // the attempt was abandoned at its timeout
	// EarlierMayHaveRun is true if an earlier attempt of the same request may
	// have run. A refusal of this attempt then does not prove that the request
	// was not run.
	EarlierMayHaveRun bool
	Remaining         time.Duration // time until the deadline of the request
	// Needed is the least time for another attempt, including its backoff.
	Needed time.Duration
}

// Verdict is the reaction to a failed attempt.
type Verdict uint8

// The verdicts of Classify.
const (
	Retry         Verdict = iota + 1 // retry the request, if the budget allows
	AnswerNotRun                     // answer that the request was not run
	AnswerUnknown                    // answer that the request may have run
	AnswerAsIs                       // pass on the complete answer of this attempt
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Retry:
		return "retry"
	case AnswerNotRun:
		return "not-run"
	case AnswerUnknown:
		return "unknown"
	case AnswerAsIs:
		return "as-is"
	default:
		return "invalid"
	}
}

// ProvablyNotRun reports whether this attempt certainly did not run the request.
func (a Attempt) ProvablyNotRun() bool { return !a.Written || a.RefusedNotRun }

// MayHaveRun reports whether this attempt or an earlier one may have run the
// request. It is the EarlierMayHaveRun of the next attempt.
func (a Attempt) MayHaveRun() bool { return a.EarlierMayHaveRun || !a.ProvablyNotRun() }

// Classify decides how to react to a failed attempt. A complete answer that is not
// a refusal is passed on. Otherwise the request is retried if enough time remains
// and either it is a read or no attempt can have run it.
func Classify(a Attempt) Verdict {
	if !a.ProvablyNotRun() && !a.Incomplete && !a.Timeout {
		return AnswerAsIs
	}
	if a.Remaining <= 0 || a.Remaining < a.Needed || !a.Read && a.MayHaveRun() {
		return a.WithoutRetry()
	}
	return Retry
}

// WithoutRetry returns the verdict for a request that cannot be retried, for example
// because the budget is used up.
func (a Attempt) WithoutRetry() Verdict {
	if a.MayHaveRun() {
		return AnswerUnknown
	}
	return AnswerNotRun
}
