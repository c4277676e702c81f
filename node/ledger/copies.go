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
	errMayHaveRun = errors.New("the copy holder knows of an earlier attempt")
)

// keeperOf returns the VM that dispatches a group now.
func (l *Ledger) keeperOf(group string) (vm, address string, ok bool) {
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

func (l *Ledger) addressOf(vm string) string {
	if m := l.maps.Current(); m != nil {
		return m.Peers[vm]
	}
	return ""
}

// syncCopies makes every copy complete at the group's epoch.
func (l *Ledger) syncCopies(b *book, g shardmap.Group, previous uint64) {
	for _, vm := range g.Copies {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.syncCopy(b, vm, g.Epoch, previous)
		}()
	}
}

// syncCopy repeats until the copy is complete or the epoch has passed.
func (l *Ledger) syncCopy(b *book, vm string, epoch, previous uint64) {
	for {
		if _, current, keeper := b.currentCopies(); !keeper || current != epoch {
			return
		}
		if l.importTo(b, vm, epoch, previous) == nil {
			return
		}
		select {
		case <-time.After(importRetry):
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Ledger) importTo(b *book, vm string, epoch, previous uint64) error {
	m := l.maps.Current()
	if m == nil {
		return errNotCopied
	}
	address := m.Peers[vm]
	b.mu.Lock()
	complete := b.table.IsComplete()
	b.mu.Unlock()
	reply, err := l.callImport(address, ImportArgs{Group: b.group, Epoch: epoch, PrevEpoch: previous, Complete: complete})
	if err != nil || !reply.NeedFull {
		return err
	}
	b.mu.Lock()
	entries := b.table.Export()
	b.mu.Unlock()
	for {
		n := min(importChunk, len(entries))
		args := ImportArgs{Group: b.group, Epoch: epoch, Full: true, Last: n == len(entries), Complete: complete, Entries: entries[:n]}
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

// receiver serves the calls of other VMs.
type receiver struct{ l *Ledger }

// Begin asks for leave to send a write.
func (r *receiver) Begin(args *BeginArgs, reply *BeginReply) error {
	*reply = r.l.begin(r.l.ctx, *args)
	return nil
}

// Finish ends an attempt.
func (r *receiver) Finish(args *FinishArgs, _ *Nothing) error {
	r.l.finish(*args)
	return nil
}

// Copy stores entries of the keeper.
func (r *receiver) Copy(args *CopyArgs, reply *CopyReply) error {
	r.l.events.Observe(args.Stamp)
	b := r.l.lookup(args.Group)
	now := r.l.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Epoch < b.epoch {
		reply.OldEpoch = true
		return nil
	}
	for _, w := range args.Withdraw {
		b.table.Withdraw(w.Key, w.Epoch, w.Attempt)
	}
	for _, e := range args.Entries {
		e.ChangedAt = now // the keeper's clock means nothing here
		switch b.table.Copy(now, e) {
		case dedupe.Run:
		case dedupe.Incomplete:
			reply.Incomplete = true
		case dedupe.OldEpoch:
			reply.OldEpoch = true
		case dedupe.Full:
			reply.Full = true
		default:
			reply.MayHaveRun = true
		}
	}
	return nil
}

// Import makes this copy complete at an epoch.
func (r *receiver) Import(args *ImportArgs, reply *ImportReply) error {
	b := r.l.lookup(args.Group)
	now := r.l.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if args.Epoch < b.epoch || b.keeper {
		reply.OldEpoch = true
		return nil
	}
	if !args.Full {
		if args.PrevEpoch == 0 || b.completeAt != args.PrevEpoch {
			reply.NeedFull = true
			return nil
		}
		b.completeAt = args.Epoch
		b.table.SetComplete(args.Complete)
		return nil
	}
	for i := range args.Entries {
		args.Entries[i].ChangedAt = now
	}
	if err := b.table.Import(now, args.Entries); err != nil {
		return err
	}
	if args.Last {
		b.completeAt = args.Epoch
		b.table.SetComplete(args.Complete)
	}
	return nil
}
