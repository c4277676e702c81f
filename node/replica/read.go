package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/pkg/errors"
)

// backoff is an exponential retry delay with jitter. The zero value starts at
// firstBackoff.
type backoff struct{ delay time.Duration }

// sleep doubles the delay, up to maxBackoff, and waits for a random time between
// half of the delay and all of it, or until ctx ends.
func (b *backoff) sleep(ctx context.Context) {
	b.delay = min(max(2*b.delay, firstBackoff), maxBackoff)
	timer := time.NewTimer(b.delay/2 + rand.N(b.delay/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errAborted is the result of a read that was aborted so that the next one, which
// is not held open, starts at once.
var errAborted = errors.New("read aborted")

// readLoop reads the log until ctx ends.
func (r *Replica) readLoop(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		close(r.done)
		broadcast(&r.progress)
		r.mu.Unlock()
	}()
	var retry backoff
	for ctx.Err() == nil {
		err := r.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == errAborted {
			continue
		}
		r.logHealthChange(err)
		if err != nil {
			r.counters.readErrors.Inc(1)
			retry.sleep(ctx)
			continue
		}
		retry = backoff{}
	}
}

// logHealthChange logs when reads begin to fail and when they succeed again. A
// missing snapshot is logged by noteSnapshotAbsent instead.
func (r *Replica) logHealthChange(err error) {
	switch {
	case err != nil && !r.readsFailing && !r.snapshotMissing:
		r.cfg.Logger.Warn("reading the control log failed; retrying", "error", err)
	case err == nil && r.readsFailing:
		r.cfg.Logger.Info("reading the control log succeeded again")
	}
	r.readsFailing = err != nil
}

// readOnce reads and applies one page, or loads a snapshot if the next record is no
// longer retained.
func (r *Replica) readOnce(ctx context.Context) error {
	readCtx, abort := context.WithCancel(ctx)
	defer abort()
	from, wait := r.beginRead(abort)
	sentAt := time.Now()
	page, err := r.cfg.Log.Read(readCtx, ControlStream, from, pageRecords, wait)
	var goneErr *logclient.GoneError
	switch {
	case errors.As(err, &goneErr):
		return r.loadSnapshot(ctx, goneErr.First)
	case err != nil && readCtx.Err() != nil && ctx.Err() == nil:
		return errAborted
	case err != nil:
		return err
	case page.Next < from:
		return errors.Errorf("control log ends at offset %d, but all records below offset %d were already read", page.Next, from)
	}
	r.counters.reads.Inc(1)
	r.loader, r.snapshotMissing = nil, false
	r.applyPage(page, sentAt)
	if len(page.Records) > 0 && r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
	return nil
}

// beginRead returns the offset to read next and how long the log service may hold
// the read open. The read is a long poll only if the end of the log was reached
// before and nobody waits for a fresh read of the end.
func (r *Replica) beginRead(abort context.CancelFunc) (from uint64, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortRead = abort
	if r.ready && !r.freshReadFrom.After(r.endReadSentAt) {
		wait = longPoll
	}
	r.longPolling = wait > 0
	return r.state.Next(), wait
}

// requestFreshRead makes the reader send a read that is not held open, and aborts
// the current read.
func (r *Replica) requestFreshRead(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshReadFrom = since
	if r.abortRead != nil {
		r.abortRead()
	}
}

// applyPage applies the records of a page whose read was sent at sentAt.
func (r *Replica) applyPage(page logclient.Page, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = time.Now()
	applied := false
	for _, e := range page.Records {
		if e.Offset < r.state.Next() {
			continue // delivered before
		}
		r.applyRecord(e)
		applied = true
	}
	// A page with records may end before the log does, because the service need not
	// fill pages. Only an empty page shows that the end was reached.
	if len(page.Records) == 0 && r.state.Next() >= page.Next {
		r.ready, r.endReadSentAt = true, sentAt
		broadcast(&r.progress)
	}
	if applied {
		broadcast(&r.changed)
	}
}

// applyRecord applies one record. If it is the one that an Append waits for, its
// verdict is handed to that Append.
func (r *Replica) applyRecord(record logclient.Record) {
	v := r.state.ApplyBytes(record.Offset, record.Data)
	r.counters.records.Inc(1)
	if !v.Accepted {
		r.counters.rejectedRecords.Inc(1)
	}
	p := r.pending
	if p == nil || p.resolved || v.Reason == control.ReasonMalformed {
		return
	}
	if r.state.WriterSeq(r.cfg.Writer) >= p.seq {
		p.resolved, p.verdict = true, v
		broadcast(&r.progress)
	}
}
