// Package ledger keeps the write intents and outcomes of each service, so that
// a write with an Idempotency-Key runs at most once. The dispatcher of a
// service's group decides on each write and records its intent before the write
// is sent. The intent and the outcome of a write form one entry. Up to two other
// VMs, in other data centres where possible, hold copies of all entries. Names
// on the wire call the dispatcher keeper.
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
	// copyTimeout bounds one call to a copy holder. The caller then looks up the
	// copies again, because the manager may have replaced them.
	copyTimeout   = 300 * time.Millisecond
	retryInterval = 20 * time.Millisecond
	// attemptGrace is how long after its deadline an attempt may still finish
	// before its outcome counts as unknown. It also bounds one Finish call.
	attemptGrace = time.Second
	// finishTimeout bounds the reporting of an outcome to the dispatcher. A change
	// of dispatcher is over sooner: it takes less than the 4 s within which a key
	// has to be served again.
	finishTimeout = 4 * time.Second
	// cancelledTTL is how long a cancelled attempt is remembered. Such an attempt
	// may wait to be allowed until its deadline, and most deadlines are shorter
	// than this.
	cancelledTTL = time.Minute
	importChunk  = 2000 // entries in one Import call
	importRetry  = 100 * time.Millisecond
)

// Ledger is the kernel module that holds the write intents of all groups on
// this VM.
type Ledger struct {
	vm     string
	clock  *clock.Clock
	events *timeline.Recorder
	logger hclog.Logger
	maps   *mapstore.Store
	peers  *peer.Client

	intents   metrics.Counter
	replays   metrics.Counter
	unknowns  metrics.Counter
	copyTimer metrics.Timer

	mu     sync.Mutex
	stores map[string]*intentStore
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an empty ledger for a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, registry metrics.Registry) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		vm: vm, clock: c, events: events, logger: logger, stores: map[string]*intentStore{}, ctx: ctx, cancel: cancel,
		intents:   metrics.GetOrRegisterCounter("ledger.intents", registry),
		replays:   metrics.GetOrRegisterCounter("ledger.replays", registry),
		unknowns:  metrics.GetOrRegisterCounter("ledger.unknowns", registry),
		copyTimer: metrics.GetOrRegisterTimer("ledger.copy", registry),
	}
}

// Name implements kernel.Module.
func (l *Ledger) Name() string { return Name }

// Provision resolves the modules that Ledger uses and registers the RPC service
// Ledger.
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

// Start starts the expiry of old entries and attempts.
func (l *Ledger) Start(context.Context) error {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(tickInterval):
				for _, s := range l.allStores() {
					s.tick(l.clock.Now())
				}
			}
		}
	}()
	return nil
}

// Stop ends the expiry, the synchronisation of copies and the sending of outcomes.
func (l *Ledger) Stop(context.Context) error {
	l.cancel()
	l.wg.Wait()
	return nil
}

// allStores returns the stores of all groups that this VM knows.
func (l *Ledger) allStores() []*intentStore {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*intentStore, 0, len(l.stores))
	for _, s := range l.stores {
		out = append(out, s)
	}
	return out
}

// storeFor returns the store of a group and creates it if there is none.
func (l *Ledger) storeFor(group string) *intentStore {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stores[group]
	if s == nil {
		s = newIntentStore(group)
		l.stores[group] = s
	}
	return s
}

// MapInstalled implements mapstore.Listener.
func (l *Ledger) MapInstalled(m *shardmap.Map) {
	for name, g := range m.Groups {
		if !shardmap.StoresWriteIntents(name) {
			continue
		}
		s := l.storeFor(name)
		if syncCopies, previous := s.applyMapEntry(g, l.vm, l.maps.BootID(), l.clock.Now()); syncCopies {
			l.events.Record(timeline.Event{Kind: "ledger.kept", Group: name, Term: m.Term,
				Detail: "copies " + strings.Join(g.Copies, " ")})
			l.syncCopies(s, g, previous)
		}
	}
}

// AddReport implements mapstore.Reporter.
func (l *Ledger) AddReport(r *mapstore.Report) {
	for _, s := range l.allStores() {
		r.Groups = append(r.Groups, s.report())
	}
}

// Begin asks the dispatcher of the group, which may be this VM, whether a write
// may be sent. A caller that gets Run has to call Finish when the attempt has
// ended. Failures, such as an unreachable dispatcher, are reported as
// decisions.
func (l *Ledger) Begin(ctx context.Context, args BeginArgs) BeginReply {
	dispatcher, address, ok := l.dispatcherOf(args.Group)
	if !ok {
		return BeginReply{Decision: NotDispatcher}
	}
	if dispatcher == l.vm {
		reply := l.beginLocal(ctx, args)
		reply.Keeper = dispatcher
		return reply
	}
	var reply BeginReply
	if err := l.peers.Call(ctx, address, "Ledger.Begin", &args, &reply); err != nil {
		// The dispatcher may have recorded the intent, but the write was not sent: the
		// attempt has ended and provably did not run.
		l.Finish(FinishArgs{Group: args.Group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun, Keeper: dispatcher})
		return BeginReply{Decision: NotDispatcher}
	}
	reply.Keeper = dispatcher
	return reply
}

// beginLocal runs on the dispatcher: it decides on a write and, while another
// attempt of the same write is in flight, waits for its end.
func (l *Ledger) beginLocal(ctx context.Context, args BeginArgs) BeginReply {
	ctx, cancel := context.WithTimeout(ctx, args.Remaining)
	defer cancel()
	s := l.storeFor(args.Group)
	for {
		if !l.maps.LeaseValid() {
			return BeginReply{Decision: NotDispatcher}
		}
		reply, wait := l.tryBegin(s, args)
		if wait == nil {
			if reply.Decision == Run {
				return l.copyIntent(ctx, s, args)
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

// tryBegin decides on a write. If another attempt of the same write is in
// flight, it returns a channel that is closed when any attempt of the group ends.
func (l *Ledger) tryBegin(s *intentStore, args BeginArgs) (BeginReply, <-chan struct{}) {
	now := l.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.cancelled[args.Attempt]; found || !s.isDispatcher {
		return BeginReply{Decision: NotDispatcher}, nil
	}
	decision, answer := s.table.Begin(now, args.Key, args.Fingerprint, s.epoch)
	switch decision {
	case dedupe.Run:
		s.attempts[args.Key] = attempt{id: args.Attempt, expires: now + args.Remaining + attemptGrace}
		return BeginReply{Decision: Run}, nil
	case dedupe.Wait:
		return BeginReply{}, s.attemptEnded
	case dedupe.Replay:
		l.replays.Inc(1)
		return BeginReply{Decision: Replay, Answer: answer}, nil
	case dedupe.Mismatch:
		return BeginReply{Decision: Mismatch}, nil
	case dedupe.Full:
		return BeginReply{Decision: Full}, nil
	case dedupe.StaleEpoch:
		return BeginReply{Decision: NotDispatcher}, nil
	case dedupe.AnswerNotKept:
		return BeginReply{Decision: AnswerNotKept}, nil
	}
	l.unknowns.Inc(1)
	return BeginReply{Decision: Unknown}, nil
}

// copyIntent stores the intent at all copies and returns Run once the write may
// be sent. It retries while copies fail or change, until ctx is done.
func (l *Ledger) copyIntent(ctx context.Context, s *intentStore, args BeginArgs) BeginReply {
	l.intents.Inc(1)
	start := time.Now()
	defer l.copyTimer.UpdateSince(start)
	var withdrawals []Withdrawal // intents copied in earlier rounds, whose write was not sent
	for {
		copies, epoch, isDispatcher := s.currentCopies()
		if !isDispatcher {
			break
		}
		entry, known := s.entry(args.Key)
		if !known {
			break // the intent was removed, because the attempt ended without running
		}
		err := l.copyToAll(ctx, copies, CopyArgs{Group: s.group, Epoch: epoch, Entries: []dedupe.Entry{entry}, Withdraw: withdrawals})
		withdrawals = append(withdrawals, Withdrawal{Key: entry.Key, Epoch: entry.Epoch, Attempt: entry.Attempt})
		if err == nil {
			if s.maySend(entry, epoch, copies) {
				return BeginReply{Decision: Run}
			}
			continue // the attempt ended, or the copies or the epoch changed: new copies need the intent too
		}
		if errors.Is(err, errMayHaveRun) {
			l.finishLocal(FinishArgs{Group: s.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeUnknown})
			return BeginReply{Decision: Unknown}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			l.finishLocal(FinishArgs{Group: s.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun})
			return BeginReply{Decision: NotRecorded}
		}
	}
	l.finishLocal(FinishArgs{Group: s.group, Key: args.Key, Attempt: args.Attempt, Outcome: OutcomeNotRun})
	return BeginReply{Decision: NotDispatcher}
}

// copyToAll sends entries to all copies. It returns nil only if every copy has
// stored them and at least one copy is complete, because the next dispatcher is
// chosen among the complete copies. With no copies, it returns nil.
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
