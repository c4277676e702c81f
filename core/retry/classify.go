package retry

import "time"

// Attempt describes a failed attempt to run a request.
type Attempt struct {
	Read bool // idempotent by the rule of the request
	// Written says that at least one byte of the request may have reached the
	// socket. It is false only if the connection failed before the first write.
	Written bool
	// RefusedNotRun says that the target refused the request before running it.
	// The header of the refusal is enough, even if its body is incomplete.
	RefusedNotRun bool
	Incomplete    bool // the answer is missing or ended early
	Timeout       bool // the attempt was given up
	// EarlierMayHaveRun says that an earlier attempt of the same request may
	// have run, so that a refusal of this one says nothing about the request.
	EarlierMayHaveRun bool
	Remaining         time.Duration // until the deadline of the request
	// Needed is the shortest time that another attempt takes, with its backoff.
	Needed time.Duration
}

// Verdict is what to do after a failed attempt.
type Verdict uint8

// The verdicts.
const (
	Retry         Verdict = iota + 1 // send it again, if the budget allows
	AnswerNotRun                     // tell the caller that it was not run
	AnswerUnknown                    // tell the caller that it may have run
	AnswerAsIs                       // the attempt has a whole answer; pass it on
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

// ProvablyNotRun tells whether this attempt cannot have run the request.
func (a Attempt) ProvablyNotRun() bool { return !a.Written || a.RefusedNotRun }

// MayHaveRun tells whether this attempt or an earlier one may have run the
// request; it is EarlierMayHaveRun of the next attempt.
func (a Attempt) MayHaveRun() bool { return a.EarlierMayHaveRun || !a.ProvablyNotRun() }

// Classify decides about a failed attempt. A write is retried only if no
// attempt can have run it.
func Classify(a Attempt) Verdict {
	if !a.ProvablyNotRun() && !a.Incomplete && !a.Timeout {
		return AnswerAsIs
	}
	if a.Remaining <= 0 || a.Remaining < a.Needed || !a.Read && a.MayHaveRun() {
		return a.WithoutRetry()
	}
	return Retry
}

// WithoutRetry returns the answer when there is no retry, for example because
// the budget is used up.
func (a Attempt) WithoutRetry() Verdict {
	if a.MayHaveRun() {
		return AnswerUnknown
	}
	return AnswerNotRun
}
