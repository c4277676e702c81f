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

// OutcomeError is an Append that ended without a verdict.
type OutcomeError struct {
	Writer string
	Seq    uint64
	// Unknown says that the record may take effect, now or later. If it is
	// false, the record is not in the log and will not be.
	Unknown bool
	Err     error
}

// Error names the record and what is known about it.
func (e *OutcomeError) Error() string {
	effect := "not appended"
	if e.Unknown {
		effect = "outcome unknown"
	}
	return fmt.Sprintf("append control record %d of writer %s: %s: %v", e.Seq, e.Writer, effect, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Err }

var (
	errStopped = errors.New("the replica has stopped")
	errCovered = errors.New("the record was covered by a snapshot before it was read back")
)

// pendingAppend is the record that an Append waits for.
type pendingAppend struct {
	seq      uint64
	resolved bool
	verdict  control.Verdict
}

// Append appends a record and returns the verdict of the replay. It gives the
// record its writer and sequence number. The error is an *OutcomeError; when
// ctx ends after the record may have left the process, the outcome is unknown.
//
// Calls run one after the other, each until its verdict: a record that reached
// the log after a later one of the same writer would be void as repeated. After
// an unknown result the same record is appended again only once a read that was
// sent after that result has reached the end of the log without it. Should both
// copies arrive, the second is void by its sequence number, and the verdict is
// that of the first.
func (r *Replica) Append(ctx context.Context, rec control.Record) (control.Verdict, error) {
	select {
	case <-r.appends:
		defer func() { r.appends <- struct{}{} }()
	case <-ctx.Done():
		return control.Verdict{}, &OutcomeError{Writer: r.cfg.Writer, Err: ctx.Err()}
	}
	p := r.register()
	defer r.unregister()
	rec.Writer, rec.Seq = r.cfg.Writer, p.seq
	a := appendRun{r: r, p: p}
	data, err := rec.Encode()
	if err == nil {
		_, err = control.DecodeRecord(data) // readers would not recognise it as this writer's
	}
	if err == nil {
		err = a.run(ctx, data)
	}
	if err != nil {
		return control.Verdict{}, &OutcomeError{Writer: rec.Writer, Seq: rec.Seq, Unknown: a.maybe, Err: err}
	}
	return p.verdict, nil
}

// register gives out the next sequence number. A number is never used again,
// not even after a refused append.
func (r *Replica) register() *pendingAppend {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq = max(r.seq, r.state.WriterSeq(r.cfg.Writer)) + 1
	r.pending = &pendingAppend{seq: r.seq}
	return r.pending
}

func (r *Replica) unregister() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = nil
}

type appendRun struct {
	r     *Replica
	p     *pendingAppend
	maybe bool // the record may have left the process
}

// run appends the record until it was read back or is certain not to be appended.
func (a *appendRun) run(ctx context.Context, data []byte) error {
	var pause backoff
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		if a.r.stopped() {
			return errStopped
		}
		a.r.counters.appends.Inc(1)
		_, err := a.r.cfg.Log.Append(ctx, ControlStream, data)
		var failed *logclient.AppendError
		switch {
		case err == nil:
			a.maybe = true
			return a.awaitReadBack(ctx)
		case errors.As(err, &failed) && !failed.Unknown:
			if !a.maybe && !retryable(failed.Status) {
				return err
			}
		default:
			a.maybe = true
			a.r.counters.appendsUnknown.Inc(1)
		}
		if a.maybe {
			if found, err := a.awaitEnd(ctx, time.Now()); found || err != nil {
				return err
			}
			a.r.counters.appendsRepeated.Inc(1)
		}
		pause.sleep(ctx)
	}
}

// retryable tells whether an append that had no effect may succeed later.
func retryable(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func (a *appendRun) awaitReadBack(ctx context.Context) error {
	for {
		found, _, wait, err := a.look(time.Time{})
		if found || err != nil {
			return err
		}
		if err := a.sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// awaitEnd waits until the record was read back, or until a read that was sent
// after since has reached the end of the log.
func (a *appendRun) awaitEnd(ctx context.Context, since time.Time) (found bool, err error) {
	a.r.probe(since)
	for {
		found, end, wait, err := a.look(since)
		if found || end || err != nil {
			return found, err
		}
		if err := a.sleep(ctx, wait); err != nil {
			return false, err
		}
	}
}

// look tells whether the record was read back, and whether the end of the log
// was reached by a read that was sent after an instant.
func (a *appendRun) look(since time.Time) (found, end bool, wait <-chan struct{}, err error) {
	r := a.r
	r.mu.RLock()
	defer r.mu.RUnlock()
	switch {
	case a.p.resolved:
		return true, false, nil, nil
	case r.state.WriterSeq(r.cfg.Writer) >= a.p.seq:
		return false, false, nil, errCovered
	case r.stopped():
		return false, false, nil, errStopped
	}
	return false, r.endReadBegan.After(since), r.progress, nil
}

func (r *Replica) stopped() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (a *appendRun) sleep(ctx context.Context, wait <-chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
