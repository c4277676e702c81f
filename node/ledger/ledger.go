// Package ledger keeps the write intents and outcomes of each service, so that
// a write with an Idempotency-Key runs at most once. The dispatcher of a
// service's group keeps the book; two VMs in other data centres hold copies.
package ledger

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// Name is the module name of Ledger.
const Name = "dispatch.ledger"

const (
	tickInterval = 250 * time.Millisecond
	// copyTimeout bounds one call to a copy holder; the copies may change meanwhile.
	copyTimeout = 300 * time.Millisecond
	copyRetry   = 20 * time.Millisecond
	// attemptGrace is how long after its deadline an attempt may still finish.
	attemptGrace = time.Second
	// finishTime bounds the telling of an outcome; a change of the keeper takes
	// less than the 4 s in which a key is served again.
	finishTime = 4 * time.Second
	// endedTime is how long an attempt that ended first may still wait to begin:
	// that is at most its deadline, and most deadlines are shorter.
	endedTime   = time.Minute
	importChunk = 2000 // entries a call
	importRetry = 100 * time.Millisecond
)

// Ledger is the module.
type Ledger struct {
	vm     string
	clock  *clock.Clock
	events *timeline.Recorder
	logger hclog.Logger
	maps   *mapstore.Store
	peers  *peer.Client

	intents  metrics.Counter
	replays  metrics.Counter
	unknowns metrics.Counter
	copyTime metrics.Timer

	mu     sync.Mutex
	books  map[string]*book
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns the module for a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, registry metrics.Registry) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		vm: vm, clock: c, events: events, logger: logger, books: map[string]*book{}, ctx: ctx, cancel: cancel,
		intents:  metrics.GetOrRegisterCounter("ledger.intents", registry),
		replays:  metrics.GetOrRegisterCounter("ledger.replays", registry),
		unknowns: metrics.GetOrRegisterCounter("ledger.unknowns", registry),
		copyTime: metrics.GetOrRegisterTimer("ledger.copy", registry),
	}
}

// Name implements kernel.Module.
func (l *Ledger) Name() string { return Name }

// Provision registers the calls between VMs.
func (l *Ledger) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	err := k.Resolve(
		kernel.Into(&server, peer.ServerName),
		kernel.Into(&l.peers, peer.ClientName),
		kernel.Into(&l.maps, mapstore.Name),
	)
	if err != nil {
		return err
	}
	l.maps.Attach(l)
	return server.Register("Ledger", &receiver{l})
}

// Start runs the timers.
func (l *Ledger) Start(context.Context) error {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(tickInterval):
				for _, b := range l.all() {
					b.tick(l.clock.Now())
				}
			}
		}
	}()
	return nil
}

// Stop ends the timers and the copying.
func (l *Ledger) Stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

func (l *Ledger) all() []*book {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*book, 0, len(l.books))
	for _, b := range l.books {
		out = append(out, b)
	}
	return out
}

// lookup returns the book of a group, a new one when there is none.
func (l *Ledger) lookup(group string) *book {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.books[group]
	if b == nil {
		b = newBook(group)
		l.books[group] = b
	}
	return b
}

// MapInstalled implements mapstore.Listener.
func (l *Ledger) MapInstalled(m *shardmap.Map) {
	for name, g := range m.Groups {
		if !shardmap.IsLedger(name) {
			continue
		}
		b := l.lookup(name)
		if syncCopies, previous := b.follow(g, l.vm, l.maps.BootID(), l.clock.Now()); syncCopies {
			l.events.Record(timeline.Event{Kind: "ledger.kept", Group: name, Term: m.Term,
				Detail: "copies " + strings.Join(g.Copies, " ")})
			l.syncCopies(b, g, previous)
		}
	}
}

// AddReport implements mapstore.Reporter.
func (l *Ledger) AddReport(r *mapstore.Report) {
	for _, b := range l.all() {
		r.Groups = append(r.Groups, b.report())
	}
}

// Begin asks the keeper of a group for leave to send a write, here or at the
// VM that keeps it.
func (l *Ledger) Begin(ctx context.Context, args BeginArgs) BeginReply {
	keeper, address, ok := l.keeperOf(args.Group)
	if !ok {
		return BeginReply{Decision: Moved}
	}
	if keeper == l.vm {
		reply := l.begin(ctx, args)
		reply.Keeper = keeper
		return reply
	}
	var reply BeginReply
	if err := l.peers.Call(ctx, address, "Ledger.Begin", &args, &reply); err != nil {
		// The keeper may have recorded the intent; nothing was sent, so the
		// attempt is over and provably did not run.
		l.Finish(FinishArgs{Group: args.Group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun, Keeper: keeper})
		return BeginReply{Decision: Moved}
	}
	reply.Keeper = keeper
	return reply
}

// begin runs on the keeper.
func (l *Ledger) begin(ctx context.Context, args BeginArgs) BeginReply {
	ctx, cancel := context.WithTimeout(ctx, args.Remaining)
	defer cancel()
	b := l.lookup(args.Group)
	for {
		if !l.maps.Permitted() {
			return BeginReply{Decision: Moved}
		}
		reply, wait := l.tryBegin(b, args)
		if wait == nil {
			if reply.Decision == Run {
				return l.record(ctx, b, args)
			}
			return reply
		}
		select {
		case <-wait:
		case <-ctx.Done():
			l.unknowns.Inc(1)
			return BeginReply{Decision: Unknown}
		}
	}
}

// tryBegin returns a channel to wait on when the same write is in flight.
func (l *Ledger) tryBegin(b *book, args BeginArgs) (BeginReply, <-chan struct{}) {
	now := l.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, over := b.ended[args.Attempt]; over || !b.keeper {
		return BeginReply{Decision: Moved}, nil
	}
	decision, answer := b.table.Begin(now, args.Key, args.Fingerprint, b.epoch)
	switch decision {
	case dedupe.Run:
		b.attempts[args.Key] = attempt{id: args.Attempt, expires: now + args.Remaining + attemptGrace}
		return BeginReply{Decision: Run}, nil
	case dedupe.Wait:
		return BeginReply{}, b.settled
	case dedupe.Replay:
		l.replays.Inc(1)
		return BeginReply{Decision: Replay, Answer: answer}, nil
	case dedupe.Mismatch:
		return BeginReply{Decision: Mismatch}, nil
	case dedupe.Full:
		return BeginReply{Decision: Full}, nil
	case dedupe.OldEpoch:
		return BeginReply{Decision: Moved}, nil
	case dedupe.Ran:
		return BeginReply{Decision: Ran}, nil
	}
	l.unknowns.Inc(1)
	return BeginReply{Decision: Unknown}, nil
}

// record copies the intent to all copies before the write may be sent.
func (l *Ledger) record(ctx context.Context, b *book, args BeginArgs) BeginReply {
	l.intents.Inc(1)
	start := time.Now()
	defer l.copyTime.UpdateSince(start)
	var earlier []Withdrawal // copied under an epoch that has passed; not sent
	for {
		copies, epoch, keeper := b.currentCopies()
		if !keeper {
			break
		}
		entry, known := b.entry(args.Key)
		if !known {
			break // the attempt expired
		}
		err := l.copyToAll(ctx, copies, CopyArgs{Group: b.group, Epoch: epoch, Entries: []dedupe.Entry{entry}, Withdraw: earlier})
		earlier = append(earlier, Withdrawal{Key: entry.Key, Epoch: entry.Epoch, Attempt: entry.Attempt})
		if err == nil {
			if b.maySend(entry, epoch, copies) {
				return BeginReply{Decision: Run}
			}
			continue // the copies changed: the new ones have to know too
		}
		if errors.Is(err, errMayHaveRun) {
			l.finish(FinishArgs{Group: b.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeUnknown})
			return BeginReply{Decision: Unknown}
		}
		select {
		case <-time.After(copyRetry):
		case <-ctx.Done():
			l.finish(FinishArgs{Group: b.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun})
			return BeginReply{Decision: NotRecorded}
		}
	}
	l.finish(FinishArgs{Group: b.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun})
	return BeginReply{Decision: Moved}
}

// copyToAll returns nil when every copy has stored the entries and at least
// one of them is complete: the next keeper is chosen among the complete ones.
func (l *Ledger) copyToAll(ctx context.Context, copies []string, args CopyArgs) error {
	m := l.maps.Current()
	if m == nil {
		return errNotCopied
	}
	args.Stamp = l.events.Now()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	var complete atomic.Bool
	for _, vm := range copies {
		address := m.Peers[vm]
		group.Go(func() error {
			var reply CopyReply
			if err := l.peers.Call(ctx, address, "Ledger.Copy", &args, &reply); err != nil {
				return err
			}
			switch {
			case reply.MayHaveRun:
				return errMayHaveRun
			case reply.OldEpoch || reply.Full:
				return errNotCopied
			case !reply.Incomplete:
				complete.Store(true)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if len(copies) > 0 && !complete.Load() {
		return errNotCopied
	}
	return nil
}
