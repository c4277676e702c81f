package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// CatchUp waits until the state includes every record that was in the log when
// CatchUp was called. A caller that wants to conclude from the state that no
// change is needed must call CatchUp first, because the state may be stale.
func (r *Replica) CatchUp(ctx context.Context) error {
	since := time.Now()
	r.requestFreshRead(since)
	for {
		r.mu.RLock()
		reached, wait := r.endReadSentAt.After(since), r.progress
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
			return errors.Wrap(ctx.Err(), "wait for the control log to be read to its end")
		}
	}
}

// ExpectConfigVersion says that another VM has applied a configuration version. If
// this replica has not, ExpectConfigVersion aborts the current read if that is a
// long poll, because the connection of the read may be silent.
func (r *Replica) ExpectConfigVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.ConfigVersion() >= version || !r.longPolling {
		return
	}
	r.longPolling = false
	r.freshReadFrom = time.Now()
	if r.abortRead != nil {
		r.abortRead()
	}
}
