package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/pkg/errors"
)

// backoff is a jittered exponential delay. The zero value starts at firstBackoff.
type backoff struct{ delay time.Duration }

// sleep waits for half to all of the current delay, and doubles it.
func (b *backoff) sleep(ctx context.Context) {
	b.delay = min(max(2*b.delay, firstBackoff), maxBackoff)
	timer := time.NewTimer(b.delay/2 + rand.N(b.delay/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errAborted ends a read in favour of one that is not held open.
var errAborted = errors.New("read aborted")

// run reads the log until ctx ends.
func (r *Replica) run(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		close(r.done)
		wake(&r.progress)
		r.mu.Unlock()
	}()
	var pause backoff
	for ctx.Err() == nil {
		err := r.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == errAborted {
			continue
		}
		r.noteHealth(err)
		if err != nil {
			r.counters.readErrors.Inc(1)
			pause.sleep(ctx)
			continue
		}
		pause = backoff{}
	}
}

// noteHealth writes one log line when the log goes down or comes back.
func (r *Replica) noteHealth(err error) {
	switch {
	case err != nil && !r.logDown && !r.noState:
		r.cfg.Logger.Warn("control log cannot be read; retrying", "error", err)
	case err == nil && r.logDown:
		r.cfg.Logger.Info("control log can be read again")
	}
	r.logDown = err != nil
}

// step reads one page, or a snapshot when the next record is gone.
func (r *Replica) step(ctx context.Context) error {
	readCtx, abort := context.WithCancel(ctx)
	defer abort()
	from, wait := r.beginRead(abort)
	began := time.Now()
	page, err := r.cfg.Log.Read(readCtx, ControlStream, from, pageRecords, wait)
	var gone *logclient.GoneError
	switch {
	case errors.As(err, &gone):
		return r.loadSnapshot(ctx, gone.First)
	case err != nil && readCtx.Err() != nil && ctx.Err() == nil:
		return errAborted
	case err != nil:
		return err
	case page.Next < from:
		return errors.Errorf("control log ends at offset %d, below the %d that was read", page.Next, from)
	}
	r.counters.reads.Inc(1)
	r.loader, r.noState = nil, false
	r.applyPage(page, began)
	if len(page.Records) > 0 && r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
	return nil
}

// beginRead returns what to read next. A read is held open only once the end
// was reached, and only when no Append waits for a fresh look at the end.
func (r *Replica) beginRead(abort context.CancelFunc) (from uint64, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortRead = abort
	if r.ready && !r.probeFrom.After(r.endReadBegan) {
		wait = longPoll
	}
	r.heldRead = wait > 0
	return r.state.Next(), wait
}

// probe asks for a read that is sent from now on, and ends one that is held open.
func (r *Replica) probe(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeFrom = now
	if r.abortRead != nil {
		r.abortRead()
	}
}

func (r *Replica) applyPage(page logclient.Page, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = time.Now()
	applied := false
	for _, e := range page.Records {
		if e.Offset < r.state.Next() {
			continue // delivered twice
		}
		r.applyRecord(e)
		applied = true
	}
	// An empty page is the end whether the service fills pages or not.
	if len(page.Records) == 0 && r.state.Next() >= page.Next {
		r.ready, r.endReadBegan = true, began
		wake(&r.progress)
	}
	if applied {
		wake(&r.changed)
	}
}

func (r *Replica) applyRecord(e logclient.Entry) {
	v := r.state.ApplyBytes(e.Offset, e.Data)
	r.counters.records.Inc(1)
	if !v.Accepted {
		r.counters.voidRecords.Inc(1)
	}
	p := r.pending
	if p == nil || p.resolved || v.Reason == control.ReasonMalformed {
		return
	}
	if r.state.WriterSeq(r.cfg.Writer) >= p.seq {
		p.resolved, p.verdict = true, v
		wake(&r.progress)
	}
}
