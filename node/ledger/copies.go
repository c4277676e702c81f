package ledger

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/pkg/errors"
)

var (
	errNotCopied  = errors.New("the copy holder did not store the entry")
	errMayHaveRun = errors.New("the copy holder knows of an earlier attempt that may have run")
)

// dispatcherOf returns the active dispatcher of a group and its peer address.
// ok is false if the installed map names none.
func (l *Ledger) dispatcherOf(group string) (vm, address string, ok bool) {
	m := l.maps.Current()
	if m == nil {
		return "", "", false
	}
	g, ok := m.Groups[group]
	if !ok || !g.Active {
		return "", "", false
	}
	return g.Dispatcher, m.Peers[g.Dispatcher], true
}

// addressOf returns the peer address of a VM, or an empty string if the
// installed map has none.
func (l *Ledger) addressOf(vm string) string {
	if m := l.maps.Current(); m != nil {
		return m.Peers[vm]
	}
	return ""
}

// syncCopies starts to make every copy complete at the group's epoch.
func (l *Ledger) syncCopies(s *intentStore, g shardmap.Group, previous uint64) {
	for _, vm := range g.Copies {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.syncCopy(s, vm, g.Epoch, previous)
		}()
	}
}

// syncCopy retries until the copy is complete, the epoch is no longer current,
// this VM is no longer the dispatcher, or the ledger stops.
func (l *Ledger) syncCopy(s *intentStore, vm string, epoch, previous uint64) {
	for {
		if _, current, isDispatcher := s.currentCopies(); !isDispatcher || current != epoch {
			return
		}
		if l.importTo(s, vm, epoch, previous) == nil {
			return
		}
		select {
		case <-time.After(importRetry):
		case <-l.ctx.Done():
			return
		}
	}
}

// importTo makes one copy complete at an epoch. It first offers an import
// without entries, which is enough for a copy that is complete at the previous
// epoch, and otherwise sends all entries in chunks.
func (l *Ledger) importTo(s *intentStore, vm string, epoch, previous uint64) error {
	m := l.maps.Current()
	if m == nil {
		return errNotCopied
	}
	address := m.Peers[vm]
	s.mu.Lock()
	complete := s.table.IsComplete()
	s.mu.Unlock()
	reply, err := l.callImport(address, ImportArgs{Group: s.group, Epoch: epoch, PrevEpoch: previous, Complete: complete})
	if err != nil || !reply.NeedFull {
		return err
	}
	s.mu.Lock()
	entries := s.table.Export()
	s.mu.Unlock()
	for {
		n := min(importChunk, len(entries))
		args := ImportArgs{Group: s.group, Epoch: epoch, Full: true, Last: n == len(entries), Complete: complete, Entries: entries[:n]}
		if _, err := l.callImport(address, args); err != nil {
			return err
		}
		if args.Last {
			return nil
		}
		entries = entries[n:]
	}
}

func (l *Ledger) callImport(address string, args ImportArgs) (ImportReply, error) {
	ctx, cancel := context.WithTimeout(l.ctx, copyTimeout)
	defer cancel()
	var reply ImportReply
	if err := l.peers.Call(ctx, address, "Ledger.Import", &args, &reply); err != nil {
		return reply, err
	}
	if reply.OldEpoch {
		return reply, errNotCopied
	}
	return reply, nil
}

// receiver serves the RPC service Ledger.
type receiver struct{ l *Ledger }

// Begin decides on a write for another VM.
func (r *receiver) Begin(args *BeginArgs, reply *BeginReply) error {
	*reply = r.l.beginLocal(r.l.ctx, *args)
	return nil
}

// Finish ends an attempt for another VM.
func (r *receiver) Finish(args *FinishArgs, _ *Nothing) error {
	r.l.finishLocal(*args)
	return nil
}

// Copy stores entries from the dispatcher in the copy on this VM.
func (r *receiver) Copy(args *CopyArgs, reply *CopyReply) error {
	r.l.events.Observe(args.Stamp)
	s := r.l.storeFor(args.Group)
	now := r.l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Epoch < s.epoch {
		reply.OldEpoch = true
		return nil
	}
	for _, w := range args.Withdraw {
		s.table.Withdraw(w.Key, w.Epoch, w.Attempt)
	}
	for _, e := range args.Entries {
		e.ChangedAt = now // clock readings of the dispatcher are not comparable with those of this VM
		switch s.table.ApplyReplicated(now, e) {
		case dedupe.Run:
		case dedupe.Incomplete:
			reply.Incomplete = true
		case dedupe.StaleEpoch:
			reply.OldEpoch = true
		case dedupe.Full:
			reply.Full = true
		default:
			reply.MayHaveRun = true
		}
	}
	return nil
}

// Import makes the copy on this VM complete at an epoch.
func (r *receiver) Import(args *ImportArgs, reply *ImportReply) error {
	s := r.l.storeFor(args.Group)
	now := r.l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Epoch < s.epoch || s.isDispatcher {
		reply.OldEpoch = true
		return nil
	}
	if !args.Full {
		if args.PrevEpoch == 0 || s.completeAt != args.PrevEpoch {
			reply.NeedFull = true
			return nil
		}
		s.completeAt = args.Epoch
		s.table.SetComplete(args.Complete)
		return nil
	}
	for i := range args.Entries {
		args.Entries[i].ChangedAt = now
	}
	if err := s.table.Import(now, args.Entries); err != nil {
		return err
	}
	if args.Last {
		s.completeAt = args.Epoch
		s.table.SetComplete(args.Complete)
	}
	return nil
}
