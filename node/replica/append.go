package replica

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/pkg/errors"
)

// OutcomeError is the error of an Append that ended without a verdict. A verdict is
// the result of applying the record.
type OutcomeError struct {
	Writer string
	Seq    uint64 // sequence number of the record; 0 if none was assigned
	// Unknown says that the record may be in the log or may still be appended. If
	// it is false, the record is not in the log and never will be.
	Unknown bool
	Err     error
}

// Error returns the record's number and writer, whether the outcome is unknown, and
// the cause.
func (e *OutcomeError) Error() string {
	effect := "not appended"
	if e.Unknown {
		effect = "outcome unknown"
	}
	return fmt.Sprintf("append control record %d of writer %s: %s: %v", e.Seq, e.Writer, effect, e.Err)
}

func (e *OutcomeError) Unwrap() error { return e.Err }

var (
	errStopped    = errors.New("the replica was stopped")
	errInSnapshot = errors.New("a snapshot replaced the state before the record was read back, so its verdict is not known")
)

// pendingAppend is the record that an Append waits to read back.
type pendingAppend struct {
	seq      uint64
	resolved bool
	verdict  control.Verdict
}

// Append appends a record and returns its verdict. It sets the record's writer and
// sequence number. The error is an *OutcomeError.
//
// Concurrent calls run one at a time, each until its verdict. Otherwise a record
// that reached the log after a later record of the same writer would be rejected
// as a repetition. After an append with an unknown outcome, the record is appended
// again only once a later read has reached the end of the log without finding it.
// If both copies still reach the log, the second is rejected by its sequence
// number, and the verdict is that of the first.
func (r *Replica) Append(ctx context.Context, rec control.Record) (control.Verdict, error) {
	select {
	case <-r.appendToken:
		defer func() { r.appendToken <- struct{}{} }()
	case <-ctx.Done():
		return control.Verdict{}, &OutcomeError{Writer: r.cfg.Writer, Err: ctx.Err()}
	}
	p := r.registerPending()
	defer r.clearPending()
	rec.Writer, rec.Seq = r.cfg.Writer, p.seq
	op := appendOp{r: r, p: p}
	data, err := rec.Encode()
	if err == nil {
		_, err = control.DecodeRecord(data) // readers could not tell the writer of a malformed record
	}
	if err == nil {
		err = op.run(ctx, data)
	}
	if err != nil {
		return control.Verdict{}, &OutcomeError{Writer: rec.Writer, Seq: rec.Seq, Unknown: op.maybeAppended, Err: err}
	}
	return p.verdict, nil
}

// registerPending assigns the next sequence number. A number is never reused, not
// even after an append that was refused.
func (r *Replica) registerPending() *pendingAppend {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeq = max(r.lastSeq, r.state.WriterSeq(r.cfg.Writer)) + 1
	r.pending = &pendingAppend{seq: r.lastSeq}
	return r.pending
}

func (r *Replica) clearPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = nil
}

// appendOp is one call of Append with all its retries.
type appendOp struct {
	r             *Replica
	p             *pendingAppend
	maybeAppended bool // the record is or may be in the log, or may still be appended
}

// run appends the record, with retries, and waits until it was read back. It fails if
// the append is refused, a snapshot hides the verdict, the replica stops or ctx ends.
func (a *appendOp) run(ctx context.Context, data []byte) error {
	var retry backoff
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		if a.r.stopped() {
			return errStopped
		}
		a.r.counters.appends.Inc(1)
		_, err := a.r.cfg.Log.Append(ctx, ControlStream, data)
		var appendErr *logclient.AppendError
		switch {
		case err == nil:
			a.maybeAppended = true
			return a.awaitReadBack(ctx)
		case errors.As(err, &appendErr) && !appendErr.Unknown:
			if !a.maybeAppended && !retryable(appendErr.Status) {
				return err
			}
		default:
			a.maybeAppended = true
			a.r.counters.appendsUnknown.Inc(1)
		}
		if a.maybeAppended {
			if found, err := a.awaitLogEnd(ctx, time.Now()); found || err != nil {
				return err
			}
			a.r.counters.appendsRepeated.Inc(1)
		}
		retry.sleep(ctx)
	}
}

// retryable reports whether an append that certainly had no effect may succeed when
// it is repeated. status is the HTTP status of the reply, 0 if there was none.
func retryable(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// awaitReadBack waits until the record was read back from the log.
func (a *appendOp) awaitReadBack(ctx context.Context) error {
	for {
		found, _, wait, err := a.checkProgress(time.Time{})
		if found || err != nil {
			return err
		}
		if err := a.awaitProgress(ctx, wait); err != nil {
			return err
		}
	}
}

// awaitLogEnd waits until the record was read back, or until a read that was sent
// after since has reached the end of the log without it.
func (a *appendOp) awaitLogEnd(ctx context.Context, since time.Time) (found bool, err error) {
	a.r.requestFreshRead(since)
	for {
		found, atEnd, wait, err := a.checkProgress(since)
		if found || atEnd || err != nil {
			return found, err
		}
		if err := a.awaitProgress(ctx, wait); err != nil {
			return false, err
		}
	}
}

// checkProgress returns whether the record was read back, and whether a read that
// was sent after since has reached the end of the log. If neither is the case,
// wait is closed at the next progress of the reader.
func (a *appendOp) checkProgress(since time.Time) (found, atEnd bool, wait <-chan struct{}, err error) {
	r := a.r
	r.mu.RLock()
	defer r.mu.RUnlock()
	switch {
	case a.p.resolved:
		return true, false, nil, nil
	case r.state.WriterSeq(r.cfg.Writer) >= a.p.seq:
		return false, false, nil, errInSnapshot
	case r.stopped():
		return false, false, nil, errStopped
	}
	return false, r.endReadSentAt.After(since), r.progress, nil
}

func (r *Replica) stopped() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// awaitProgress waits until a channel is closed or ctx ends.
func (a *appendOp) awaitProgress(ctx context.Context, wait <-chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
