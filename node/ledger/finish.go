package ledger

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
)

// Finish ends an attempt, here or at the VM that keeps the group. Towards
// another VM it does not wait.
func (l *Ledger) Finish(args FinishArgs) {
	if keeper, _ := l.keeperFor(args); keeper == l.vm {
		l.finish(args)
		return
	}
	go l.finishRemote(args)
}

// keeperFor returns the keeper that an attempt's end goes to. While the group
// is handed over, that is the one which let the attempt begin.
func (l *Ledger) keeperFor(args FinishArgs) (vm, address string) {
	if keeper, address, ok := l.keeperOf(args.Group); ok {
		return keeper, address
	}
	return args.Keeper, l.addressOf(args.Keeper)
}

// finishRemote repeats until the keeper has the outcome: without it a repeat of
// the write is answered unknown. The keeper may change or its connection go
// silent meanwhile; an attempt is ended once, however often it is told.
func (l *Ledger) finishRemote(args FinishArgs) {
	ctx, cancel := context.WithTimeout(l.ctx, finishTime)
	defer cancel()
	for ctx.Err() == nil {
		keeper, address := l.keeperFor(args)
		if keeper == l.vm {
			l.finish(args)
			return
		}
		if address != "" && l.callFinish(ctx, address, args) == nil {
			return
		}
		select {
		case <-time.After(copyRetry):
		case <-ctx.Done():
		}
	}
}

func (l *Ledger) callFinish(ctx context.Context, address string, args FinishArgs) error {
	ctx, cancel := context.WithTimeout(ctx, attemptGrace)
	defer cancel()
	return l.peers.Call(ctx, address, "Ledger.Finish", &args, &Nothing{})
}

func (l *Ledger) finish(args FinishArgs) {
	b := l.lookup(args.Group)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.clock.Now()
	current, open := b.attempts[args.Key]
	if args.Outcome == OutcomeNotRun && current.id != args.Attempt {
		b.ended[args.Attempt] = now + endedTime
	}
	if open && current.id != args.Attempt {
		return // a late message of an earlier attempt must not end this one
	}
	entry, known := b.table.Lookup(args.Key)
	if !known {
		return
	}
	copied := CopyArgs{Group: b.group, Epoch: b.epoch}
	switch {
	case args.Outcome == OutcomeDone && args.Answer != nil:
		b.table.Complete(now, args.Key, *args.Answer)
	case !open:
		return
	case args.Outcome == OutcomeNotRun:
		b.table.Fail(now, args.Key, true)
		copied.Withdraw = []Withdrawal{{Key: args.Key, Epoch: entry.Epoch, Attempt: entry.Attempt}}
	default:
		b.table.Fail(now, args.Key, false)
	}
	if entry, known = b.table.Lookup(args.Key); known {
		entry.Epoch = max(entry.Epoch, b.epoch)
		copied.Entries = []dedupe.Entry{entry}
	}
	if open {
		b.settle(args.Key)
	}
	if (b.keeper || b.handing) && len(b.copies) > 0 {
		b.pending++
		go l.copyOutcome(b, b.copies, copied)
	}
}

// copyOutcome is tried once: a copy without the outcome answers "unknown",
// which is true.
func (l *Ledger) copyOutcome(b *book, copies []string, args CopyArgs) {
	_ = l.copyToAll(l.ctx, copies, args)
	b.mu.Lock()
	b.pending--
	b.mu.Unlock()
}
