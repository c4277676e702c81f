package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/pkg/errors"
)

const (
	// DefaultSnapshotEvery is the number of offsets between two snapshots.
	DefaultSnapshotEvery = 1000
	// snapshotMaxAge bounds the age of the last snapshot on a quiet log, whose
	// snapshots run out of retention as well.
	snapshotMaxAge = 10 * time.Minute
	// chunkBytes is the size of an encoded chunk. Small chunks keep the
	// appends of the control stream from waiting behind a snapshot.
	chunkBytes = 256 << 10
	// chunkPage is the number of chunks in a read, 4 MiB.
	chunkPage = 16
)

// snapshotLoader remembers how far the stream of snapshots was read, so that
// waiting for a usable one does not read the stream again and again.
type snapshotLoader struct {
	assembler control.Assembler
	next      uint64
}

// loadSnapshot replaces the state by the newest complete snapshot. It must
// reach the first retained record of the control log.
func (r *Replica) loadSnapshot(ctx context.Context, first uint64) error {
	r.mu.Lock()
	r.ready = false
	next := r.state.Next()
	r.mu.Unlock()
	if r.loader == nil {
		r.loader = &snapshotLoader{}
	}
	if err := r.loader.readToEnd(ctx, r.cfg.Log); err != nil {
		return err
	}
	snap, ok := r.loader.assembler.Newest()
	if !ok || snap.Next < first || snap.Next <= next {
		return r.noteAbsent(next, first)
	}
	state, err := control.Restore(snap)
	if err != nil {
		return err
	}
	r.loader = nil
	r.noState = false
	r.counters.snapshotsLoaded.Inc(1)
	r.cfg.Logger.Info("control state loaded from a snapshot", "next", snap.Next)
	r.mu.Lock()
	r.state, r.snapshotNext = state, snap.Next
	wake(&r.changed)
	wake(&r.progress)
	r.mu.Unlock()
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
	return nil
}

// noteAbsent enters the error state and writes one log line about it.
func (r *Replica) noteAbsent(next, first uint64) error {
	err := errors.Errorf("control records %d to %d are no longer retained and no complete snapshot covers them", next, first-1)
	r.counters.snapshotAbsent.Inc(1)
	if !r.noState {
		r.cfg.Logger.Error("control state cannot be restored; waiting for a snapshot", "error", err)
	}
	r.noState = true
	return err
}

func (l *snapshotLoader) readToEnd(ctx context.Context, log *logclient.Client) error {
	for {
		page, err := log.Read(ctx, SnapshotStream, l.next, chunkPage, 0)
		var gone *logclient.GoneError
		if errors.As(err, &gone) && gone.First > l.next {
			l.next = gone.First
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		for _, e := range page.Records {
			if e.Offset < l.next {
				continue // delivered twice
			}
			l.next = e.Offset + 1
			if c, err := control.DecodeChunk(e.Data); err == nil {
				_, _ = l.assembler.Add(c) // a chunk of no use leaves the older snapshots in force
			}
		}
	}
}

// SnapshotDue tells the manager to call WriteSnapshot: SnapshotEvery offsets or
// 10 min after the last snapshot of this replica, or when it has written none.
func (r *Replica) SnapshotDue() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	next := r.state.Next()
	return r.ready && next > 0 && (next >= r.snapshotNext+r.cfg.SnapshotEvery || time.Since(r.snapshotAt) >= snapshotMaxAge)
}

// WriteSnapshot appends the state to the stream of snapshots. A chunk whose
// append is unknown is appended again: readers take it once.
func (r *Replica) WriteSnapshot(ctx context.Context) error {
	if !r.Ready() {
		return errors.New("write snapshot: the control log was not read to its end")
	}
	var snap control.Snapshot
	r.View(func(s *control.State) { snap = s.Snapshot() })
	chunks, err := control.Chunks(snap, fmt.Sprintf("%s-%d", r.cfg.Writer, snap.Next), chunkBytes)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if err := r.appendChunk(ctx, c); err != nil {
			return errors.Wrapf(err, "write chunk %d of %d of snapshot %s", c.Index, c.Count, c.ID)
		}
	}
	r.counters.snapshotsWritten.Inc(1)
	r.mu.Lock()
	r.snapshotNext, r.snapshotAt = max(r.snapshotNext, snap.Next), time.Now()
	r.mu.Unlock()
	return nil
}

func (r *Replica) appendChunk(ctx context.Context, c control.Chunk) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	var pause backoff
	for {
		_, err := r.cfg.Log.Append(ctx, SnapshotStream, data)
		var failed *logclient.AppendError
		if err == nil || ctx.Err() != nil || errors.As(err, &failed) && !failed.Unknown && !retryable(failed.Status) {
			return err
		}
		pause.sleep(ctx)
	}
}
