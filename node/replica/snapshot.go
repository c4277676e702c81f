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
	// snapshotMaxAge is the age at which a new snapshot is due even if the log has
	// not grown, because the retention of the snapshot stream is limited too.
	snapshotMaxAge = 10 * time.Minute
	// chunkBytes is the size of an encoded chunk. With small chunks, appends to the
	// control stream do not wait long behind a snapshot.
	chunkBytes = 256 << 10
	// chunkPage is the number of chunks that one read requests, 4 MiB in all.
	chunkPage = 16
)

// snapshotLoader keeps its position in the snapshot stream, so that repeated
// attempts to find a usable snapshot do not read the stream from the start.
type snapshotLoader struct {
	assembler control.Assembler
	next      uint64
}

// loadSnapshot replaces the state by the newest complete snapshot. The snapshot
// must be newer than the state and cover all records below first, the lowest offset
// that the control log retains.
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
		return r.noteSnapshotAbsent(next, first)
	}
	state, err := control.Restore(snap)
	if err != nil {
		return err
	}
	r.loader = nil
	r.snapshotMissing = false
	r.counters.snapshotsLoaded.Inc(1)
	r.cfg.Logger.Info("loaded the control state from a snapshot", "next", snap.Next)
	r.mu.Lock()
	r.state, r.snapshotNext = state, snap.Next
	broadcast(&r.changed)
	broadcast(&r.progress)
	r.mu.Unlock()
	if r.cfg.OnChange != nil {
		r.cfg.OnChange()
	}
	return nil
}

// noteSnapshotAbsent counts and returns an error that says which records no snapshot
// covers, and logs the first such error in a row.
func (r *Replica) noteSnapshotAbsent(next, first uint64) error {
	err := errors.Errorf("control records %d to %d are no longer retained and no complete snapshot covers them", next, first-1)
	r.counters.snapshotAbsent.Inc(1)
	if !r.snapshotMissing {
		r.cfg.Logger.Error("control state has a gap that no snapshot covers; waiting for a snapshot", "error", err)
	}
	r.snapshotMissing = true
	return err
}

// readToEnd reads the snapshot stream from the loader's position to its end.
func (l *snapshotLoader) readToEnd(ctx context.Context, log *logclient.Client) error {
	for {
		page, err := log.Read(ctx, SnapshotStream, l.next, chunkPage, 0)
		var goneErr *logclient.GoneError
		if errors.As(err, &goneErr) && goneErr.First > l.next {
			l.next = goneErr.First
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
				continue // delivered before
			}
			l.next = e.Offset + 1
			if c, err := control.DecodeChunk(e.Data); err == nil {
				_, _ = l.assembler.Add(c) // after an unusable chunk, earlier complete snapshots still count
			}
		}
	}
}

// SnapshotDue reports whether the manager should call WriteSnapshot: if the log grew
// by SnapshotEvery offsets since the last snapshot that this replica wrote or
// loaded, or if this replica wrote none in the last 10 min. It returns false while
// the replica is not ready or has applied no record.
func (r *Replica) SnapshotDue() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	next := r.state.Next()
	return r.ready && next > 0 && (next >= r.snapshotNext+r.cfg.SnapshotEvery || time.Since(r.snapshotWrittenAt) >= snapshotMaxAge)
}

// WriteSnapshot appends the state to the snapshot stream in chunks. A chunk whose
// append has an unknown outcome is appended again; readers ignore the duplicate.
func (r *Replica) WriteSnapshot(ctx context.Context) error {
	if !r.Ready() {
		return errors.New("write snapshot: the control log has not been read to its end")
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
	r.snapshotNext, r.snapshotWrittenAt = max(r.snapshotNext, snap.Next), time.Now()
	r.mu.Unlock()
	return nil
}

// appendChunk appends one chunk. It retries until the append succeeds or fails for
// good, or ctx ends.
func (r *Replica) appendChunk(ctx context.Context, c control.Chunk) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	var retry backoff
	for {
		_, err := r.cfg.Log.Append(ctx, SnapshotStream, data)
		var appendErr *logclient.AppendError
		if err == nil || ctx.Err() != nil || errors.As(err, &appendErr) && !appendErr.Unknown && !retryable(appendErr.Status) {
			return err
		}
		retry.sleep(ctx)
	}
}
