package ledger

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
)

// Finish ends an attempt at the VM that dispatches the group. If that is
// another VM, Finish returns at once and the call is made in the background.
func (l *Ledger) Finish(args FinishArgs) {
	if dispatcher, _ := l.outcomeReceiver(args); dispatcher == l.vm {
		l.finishLocal(args)
		return
	}
	go l.finishRemote(args)
}

// outcomeReceiver returns the VM to which the end of an attempt is reported. That
// is the active dispatcher; while there is none because the group is handed
// over, it is the VM that allowed the attempt.
func (l *Ledger) outcomeReceiver(args FinishArgs) (vm, address string) {
	if dispatcher, address, ok := l.dispatcherOf(args.Group); ok {
		return dispatcher, address
	}
	return args.Keeper, l.addressOf(args.Keeper)
}

// finishRemote retries for finishTimeout until the dispatcher has the outcome,
// because without it a retry of the write is answered with Unknown. A call may
// hang and the dispatcher may change. Finish calls are idempotent.
func (l *Ledger) finishRemote(args FinishArgs) {
	ctx, cancel := context.WithTimeout(l.ctx, finishTimeout)
	defer cancel()
	for ctx.Err() == nil {
		dispatcher, address := l.outcomeReceiver(args)
		if dispatcher == l.vm {
			l.finishLocal(args)
			return
		}
		if address != "" && l.callFinish(ctx, address, args) == nil {
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

func (l *Ledger) callFinish(ctx context.Context, address string, args FinishArgs) error {
	ctx, cancel := context.WithTimeout(ctx, attemptGrace)
	defer cancel()
	return l.peers.Call(ctx, address, "Ledger.Finish", &args, &Nothing{})
}

// finishLocal runs on the dispatcher: it ends an attempt and sends the outcome
// to the copies.
func (l *Ledger) finishLocal(args FinishArgs) {
	s := l.storeFor(args.Group)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.clock.Now()
	current, inFlight := s.attempts[args.Key]
	if args.Outcome == OutcomeNotRun && current.id != args.Attempt {
		s.cancelled[args.Attempt] = now + cancelledTTL
	}
	if inFlight && current.id != args.Attempt {
		return // a late Finish of an earlier attempt must not end the one in flight
	}
	entry, known := s.table.Lookup(args.Key)
	if !known {
		return
	}
	update := CopyArgs{Group: s.group, Epoch: s.epoch}
	switch {
	case args.Outcome == OutcomeDone && args.Answer != nil:
		s.table.Complete(now, args.Key, *args.Answer)
	case !inFlight:
		return
	case args.Outcome == OutcomeNotRun:
		s.table.Fail(now, args.Key, true)
		update.Withdraw = []Withdrawal{{Key: args.Key, Epoch: entry.Epoch, Attempt: entry.Attempt}}
	default:
		s.table.Fail(now, args.Key, false)
	}
	if entry, known = s.table.Lookup(args.Key); known {
		entry.Epoch = max(entry.Epoch, s.epoch)
		update.Entries = []dedupe.Entry{entry}
	}
	if inFlight {
		s.endAttempt(args.Key)
	}
	if (s.isDispatcher || s.handingOver) && len(s.copies) > 0 {
		s.pendingCopies++
		go l.copyOutcome(s, s.copies, update)
	}
}

// copyOutcome sends an outcome to the copies once, without a retry. A copy that
// misses it still has the intent: as the next dispatcher it answers "unknown",
// which is correct, only less precise.
func (l *Ledger) copyOutcome(s *intentStore, copies []string, args CopyArgs) {
	_ = l.copyToAll(l.ctx, copies, args)
	s.mu.Lock()
	s.pendingCopies--
	s.mu.Unlock()
}
