package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// CatchUp waits until the state holds everything that was in the log when
// CatchUp was called. An answer that nothing has to change may rest on the
// state only after that.
func (r *Replica) CatchUp(ctx context.Context) error {
	since := time.Now()
	r.probe(since)
	for {
		r.mu.RLock()
		reached, wait := r.endReadBegan.After(since), r.progress
		r.mu.RUnlock()
		switch {
		case reached:
			return nil
		case r.stopped():
			return errStopped
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "read the control log to its end")
		}
	}
}

// Expect tells that another VM has applied a configuration version. If this
// replica lacks it, a read that the log service holds open is ended: its
// connection may have gone silent.
func (r *Replica) Expect(config uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.ConfigVersion() >= config || !r.heldRead {
		return
	}
	r.heldRead = false
	r.probeFrom = time.Now()
	if r.abortRead != nil {
		r.abortRead()
	}
}
