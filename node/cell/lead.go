package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

const (
	renewInterval = 500 * time.Millisecond // two renewals in a row may be lost
	// callTimeout bounds a grant call. A target answers in a few milliseconds, or in
	// about 300 ms if a packet is lost.
	callTimeout = 500 * time.Millisecond
	// keyReleaseTimeout bounds a release call, which waits until the target has drained
	// its in-flight requests for the keys.
	keyReleaseTimeout = 2500 * time.Millisecond
	// clockError is the largest relative error of a target's clock that the platform
	// guarantees.
	clockError = 0.02
	maxRanges  = 8 // key ranges per target
	// leaderLease is how long a leader may grant keys after a read of the system's log
	// has confirmed its leadership. After that it needs the support of other VMs.
	leaderLease = 2500 * time.Millisecond
	// keyStepInterval is the interval at which due grants and releases are sent.
	keyStepInterval = 50 * time.Millisecond
	// planInterval is the interval between two proposals of key assignments, short
	// enough for hot keys to move within a second.
	planInterval = 400 * time.Millisecond
	// summaryInterval is the interval between two log lines that summarize the lending
	// of a cell. It is short enough for several lines in an outage.
	summaryInterval = 2 * time.Second
	// unreachableAfter is how long all calls to an owner must have failed before its
	// keys are assigned to other targets.
	unreachableAfter = 800 * time.Millisecond
	// coldCapacity is the capacity of a cold target relative to a warm one. A cold
	// target works at half speed and copes with few requests.
	coldCapacity = 0.3
)

// holdFor returns how long grants of a service's keys are to last. A target ends a request
// that outlasts the grant under which it began, although the grant is renewed
// meanwhile, so a grant lasts for the longest timeout of the service's routes, from up
// to renewInterval after it was given.
func holdFor(cfg *fleet.Config, service string) time.Duration {
	hold := fleet.ShortestHold
	if cfg == nil {
		return hold
	}
	for _, r := range cfg.Routes {
		if !slices.ContainsFunc(r.Parts, func(p fleet.RoutePart) bool { return p.Service == service }) {
			continue
		}
		if r.Timeout <= 0 {
			return fleet.LongestHold
		}
		hold = max(hold, r.Timeout+renewInterval)
	}
	return min(hold, fleet.LongestHold)
}

func keyConfig(hold time.Duration) keyspace.Config {
	return keyspace.Config{Hold: hold, Renew: renewInterval, CallTimeout: callTimeout, ClockError: clockError, MaxRanges: maxRanges}
}

// KeyCall is a grant or release call to a target for the keys From to To, both
// included.
type KeyCall struct {
	Target, Address string
	Life            int64 // of the target's process; 0 if unknown
	From, To        int
	Fence           int64
	Hold            time.Duration // grants only
	Handover        string        // grants only
}

// KeyCaller sends grants and releases to targets. When ctx ends before the answer,
// the call's connection is reset.
type KeyCaller interface {
	// Grant grants keys to a target or renews the grant. It calls beforeSend
	// right before sending and sends nothing if beforeSend returns an error.
	Grant(ctx context.Context, call KeyCall, beforeSend func() error) (keyspace.CallResult, error)
	// Release takes keys back from a target. handover is a value in the target's answer
	// that is sent with the grant to the next owner.
	Release(ctx context.Context, call KeyCall) (handover string, result keyspace.CallResult, err error)
}

// leadership is the state of a cell that this VM leads, as its leader or as the
// deputy of its leader.
type leadership struct {
	*lenderDriver
	s      *Service
	cancel context.CancelFunc
	done   chan struct{}
	// handoverStarted is set before other VMs are asked to lead in place of this one.
	// No keys are granted while it is set.
	handoverStarted atomic.Bool
	// deputyFor is the record of the leader whose deputy this VM is, or nil if this
	// VM is the leader itself.
	deputyFor        *fleet.Cell
	follows          string        // the deputy that has stopped in favour of this one, or ""
	hold             time.Duration // of the grants, as the record of the cell tells
	startedAt        time.Duration
	claimingAsDeputy atomic.Bool
	writingAgain     atomic.Bool // set while writeAgain runs
	localityMetrics  []string    // names of the metrics of reportLocality; used by run only
	// support tracks the leases of the VMs that support this leader. mu guards
	// support, proposedAt and lastHandoverAttempt.
	support             support.Leader
	proposedAt          time.Duration // when the assignments that wait for the store were proposed
	lastHandoverAttempt time.Duration // by tryHandover, 0 if never
}

func (s *Service) newLeadership(service string, m *keyspace.Manager) *leadership {
	c, _ := s.view.Cell(service)
	cfg := s.retry.leaderConfig()
	cfg.Spillover = s.spillover
	l := &leadership{lenderDriver: newLenderDriver(s, service, cfg), s: s, done: make(chan struct{}), hold: c.GrantHold()}
	l.keys, l.startedAt = m, l.now()
	if m != nil {
		l.load = keyspace.NewLoad(l.now())
	}
	return l
}

// run lends slots and manages the keys of the cell until ctx ends.
func (l *leadership) run(ctx context.Context) {
	defer close(l.done)
	defer l.removeLocalityMetrics()
	if l.keys != nil {
		go l.supportLoop(ctx)
	}
	due := dueTimes{keys: l.now(), plan: l.now(), summary: l.now() + summaryInterval}
	for {
		pause := l.step(ctx, &due)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-l.wake:
			select { // requests wait, so the next tick must come soon
			case <-ctx.Done():
				return
			case <-time.After(min(pause, keyStepInterval/5)):
			}
		}
	}
}

// dueTimes holds when a leadership does its periodic work next.
type dueTimes struct{ keys, plan, summary time.Duration }

// step does the work of a leadership that is due and returns the time until the next
// step.
func (l *leadership) step(ctx context.Context, due *dueTimes) (pause time.Duration) {
	pause = keyStepInterval
	defer l.s.guard.Recover("lend slots and manage the keys of a cell", "service", l.service)
	pause = l.tick()
	if record := l.recordToWriteAgain(); record != nil && l.writingAgain.CompareAndSwap(false, true) {
		go func() {
			defer l.s.guard.Recover("write the record of a cell again", "service", l.service)
			defer l.writingAgain.Store(false)
			if err := l.writeAgain(ctx, record); err != nil {
				l.logger.Info("could not write the record of the cell again", "service", l.service, "error", err)
				time.Sleep(appendRetryDelay)
			}
		}()
	}
	if now := l.now(); l.keys != nil && now >= due.keys {
		due.keys = now + keyStepInterval
		l.stepKeys(ctx)
		if now >= due.plan {
			due.plan = now + planInterval
			l.plan(ctx)
			if l.commitOverdue() {
				go l.tryHandover(ctx)
			}
		}
	}
	if now := l.now(); now >= due.summary {
		due.summary = now + summaryInterval
		l.summarize(now)
	}
	if l.keys != nil {
		pause = min(pause, keyStepInterval)
	}
	return pause
}

// summarize logs counts of what the Lender did since the last call, unless it did
// nothing. In an overload most lines of single refusals exceed the log's rate limit.
func (l *leadership) summarize(now time.Duration) {
	c, keys := l.counts(now)
	l.reportLocality(c.Locality)
	if n := l.takeExpiredInPauses(); n > 0 {
		l.s.expiredInPauses.Inc(int64(n))
		l.logger.Info("dropped waiting requests that expired while this process did not run", "requests", n)
	}
	if c.Lent == 0 && len(c.Refused) == 0 {
		return
	}
	l.logger.Info("slots lent and refused since the last summary", "lent", c.Lent, "refused", c.Refused, "waiting", c.Waiting, "targets", c.Targets, "cold", c.Cold,
		"avoided", c.BackingOff, "slots", c.Slots, "in_flight", c.InFlight, "ranges", keys.Ranges, "moving", keys.Moving, "lost", keys.Lost,
		"keys_without_owner", keys.KeysLost, "unwritten", keys.Pending)
}

func (l *leadership) takeExpiredInPauses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lender.TakeExpiredInPauses()
}

// counts returns the counts of the Lender since the last call and those of the keys.
func (l *leadership) counts(now time.Duration) (c lending.Counts, keys keyspace.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys != nil {
		keys = l.keys.Counts(now)
	}
	return l.lender.TakeCounts(now), keys
}

// supportLoop renews the support of the other VMs until ctx ends.
func (l *leadership) supportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.requestSupport(ctx)
		time.Sleep(supportInterval)
	}
}

// errMayNotGrant means that this VM may not grant keys now; see mayGrant.
var errMayNotGrant = errors.New("this VM may not grant keys: another VM leads the cell or was asked to, or neither the store nor enough VMs have recently confirmed this leader")

// mayGrant returns nil if this VM may grant keys: it leads the cell according to the
// newest known record, has started no handover, and either the store has confirmed its
// leadership within leaderLease or enough VMs support it.
func (l *leadership) mayGrant() error {
	// The lease is checked first: it counts for whichever record is the newest then, which
	// is the one of this leadership if it still is afterwards.
	if l.holdsLease() && l.isCurrent() && !l.handoverStarted.Load() {
		return nil
	}
	return errMayNotGrant
}

// holdsLease reports whether the store has confirmed the newest record of the cell within
// leaderLease or enough VMs support its leader. A deputy needs their support: the store's
// word does not tell that there is no other deputy.
func (l *leadership) holdsLease() bool {
	return l.deputyFor == nil && l.confirmed() || l.supported()
}

// isCurrent reports whether the newest known record of the cell is one of this leadership.
func (l *leadership) isCurrent() bool { return l.currentRecord() != nil }

// currentRecord returns the newest known record of the cell if it names this process or,
// if this VM is a deputy, is still the record of the leader that it stands in for, and
// nil otherwise. Whatever is decided on the record holds only as long as it is the newest.
func (l *leadership) currentRecord() *fleet.Cell {
	c, _ := l.view.Cell(l.service)
	switch {
	case l.deputyFor != nil && c == l.deputyFor:
		return c
	case l.deputyFor == nil && c != nil && c.Leader == l.s.self.ID && c.Boot == l.s.self.Boot:
		return c
	}
	return nil
}

// confirmed reports whether the store has confirmed the newest record of the cell within
// leaderLease.
func (l *leadership) confirmed() bool { return l.view.CellStaleness(l.service) <= leaderLease }

// stepKeys starts the grant and release calls that are due.
func (l *leadership) stepKeys(ctx context.Context) {
	if l.mayGrant() != nil {
		return
	}
	for _, a := range l.dueCalls() {
		go l.perform(ctx, a)
	}
}

func (l *leadership) dueCalls() []keyspace.Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.Step(l.now(), l.alive)
}

// alive reports whether the process of a target that holds keys may still run.
func (l *leadership) alive(h keyspace.Holder) bool { return l.view.Alive(h.Target, h.Life) }

// perform sends one grant or release to its target and reports the result.
func (l *leadership) perform(ctx context.Context, a keyspace.Action) {
	defer l.s.guard.RecoverThen(func() { l.finish(a, keyspace.NoAnswer, "", errors.New("the call ended with a panic")) },
		"grant or release keys", "service", l.service, "target", a.Holder.Target)
	address, life, ok := l.view.Address(a.Holder.Target)
	if !ok {
		l.finish(a, keyspace.NotSent, "", errors.New("the address of the target is unknown"))
		return
	}
	if a.Kind == keyspace.Grant && life > a.Holder.Life {
		// Grants go only to the address with which their holder registered: another target
		// that answers there then proves that nobody holds keys by them.
		l.finish(a, keyspace.NotSent, "", errors.New("a later life of the target is registered"))
		return
	}
	if life < a.Holder.Life {
		// A late or restored record names an earlier life. Another target that answers at its
		// address does not prove that the holder has ended.
		l.finish(a, keyspace.NotSent, "", errors.New("only an earlier life of the target is known"))
		return
	}
	call := KeyCall{Target: a.Holder.Target, Address: address, Life: life, From: a.From, To: a.To, Fence: a.Fence, Hold: a.Hold, Handover: a.Handover}
	timeout := callTimeout
	if a.Kind == keyspace.Release {
		timeout = keyReleaseTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.Kind == keyspace.Release {
		handover, result, err := l.s.keyCaller.Release(callCtx, call)
		l.finish(a, result, handover, err)
		l.stepKeys(ctx) // grants the keys to their next owner, for which requests wait
		return
	}
	result, err := l.s.keyCaller.Grant(callCtx, call, l.mayGrant)
	l.finish(a, result, "", err)
}

// finish reports the result of a call to the key manager and delivers the decisions
// on requests that waited for it.
func (l *leadership) finish(a keyspace.Action, result keyspace.CallResult, handover string, err error) {
	l.report(a, result, handover)
	if err != nil || a.Kind == keyspace.Release {
		l.logger.Info("key range released, or grant failed", "kind", a.Kind.String(), "target", a.Holder.Target, "from", a.From, "to", a.To, "fence", a.Fence,
			"result", result.String(), "error", err)
	}
}

// report is the part of finish that is done with mu held. It looks at the requests that
// wait only if keys have become available or lost: there are as many renewals as ranges
// every renewInterval.
func (l *leadership) report(a keyspace.Action, result keyspace.CallResult, handover string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.keys.ReportResult(now, a.ID, result, handover) {
		l.lender.Tick(now)
		l.deliver()
	}
}

// plan proposes new key assignments and starts to write them to the store, if the
// store has confirmed the leadership recently. A deputy instead tries to become the
// leader.
func (l *leadership) plan(ctx context.Context) {
	record := l.currentRecord()
	if l.handoverStarted.Load() || record == nil {
		return
	}
	if l.deputyFor != nil {
		if l.view.Staleness(view.System) <= leaderLease {
			go l.claimAsDeputy(ctx)
		}
		return
	}
	// A proposal beside writeAgain would find the record changed, and stay pending for good.
	if !l.confirmed() || l.view.IsCellRestored(l.service) || l.writingAgain.Load() {
		return
	}
	if assignments, change := l.propose(); change {
		go l.commit(ctx, record, assignments)
	}
}

// propose returns the assignments that are to be written next, if they change.
func (l *leadership) propose() (assignments []keyspace.Assignment, change bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.load.Decay(now)
	if assignments, change = l.keys.Propose(now, l.ownerCandidates(now), l.load); change {
		l.proposedAt = now
	}
	return assignments, change
}

// ownerCandidates returns the targets to which keys can be assigned, with their
// capacity. It is called with mu held.
func (l *leadership) ownerCandidates(now time.Duration) []keyspace.Candidate {
	var out []keyspace.Candidate
	for _, t := range l.view.TargetsOf(l.service) {
		h := keyspace.Holder{Target: t.ID, Life: t.Life}
		if !t.Usable || t.Announced || l.keys.FailingFor(now, h) > unreachableAfter {
			continue
		}
		capacity := float64(t.Slots) / l.lender.Slowness(t.ID)
		if now < t.ColdUntil {
			capacity *= coldCapacity
		}
		out = append(out, keyspace.Candidate{Holder: h, Capacity: capacity})
	}
	return out
}

// recordToWriteAgain returns the record of this leader if it has to be written again: the
// store was restored since, or it tells of earlier grants that have expired.
func (l *leadership) recordToWriteAgain() *fleet.Cell {
	if l.deputyFor != nil || l.handoverStarted.Load() {
		return nil
	}
	c := l.currentRecord()
	if c != nil && (l.view.IsCellRestored(l.service) || l.overstatesEarlierGrants(c)) {
		return c
	}
	return nil
}

// writeAgain replaces the given record by one with the present key assignments and of the
// store's present era, so that the store holds them and confirms this leader. It needs an
// unbroken lease: otherwise another VM may have led the cell, and its records may be lost.
func (l *leadership) writeAgain(ctx context.Context, previous *fleet.Cell) error {
	if l.keys != nil && !l.holdsLease() {
		return errors.New("the lease of this leader has ended")
	}
	if !l.view.IsRegistered(l.s.self) {
		if err := l.s.readSystem(ctx); err != nil {
			return err
		}
		if !l.view.IsRegistered(l.s.self) {
			return errNotRegistered
		}
	}
	record, err := l.presentRecord()
	if err != nil {
		return err
	}
	number, err := l.s.write(ctx, record, previous)
	if err != nil {
		return err
	}
	l.logger.Info("wrote the record of the cell again", "service", l.service, "number", number, "ranges", len(record.Keys))
	return nil
}

// presentRecord returns a record with the present key assignments. It fails while a
// proposal is being written.
func (l *leadership) presentRecord() (*fleet.Cell, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		return l.newRecord(nil), nil
	}
	if l.keys.Pending() {
		return nil, errors.New("a proposal of key assignments is being written")
	}
	return l.newRecord(l.keys.Assignments()), nil
}

// newRecord returns a record of this leader. It is called with mu held.
func (l *leadership) newRecord(assignments []keyspace.Assignment) *fleet.Cell {
	e := l.earlierGrantsLocked()
	return &fleet.Cell{Service: l.service, Leader: l.s.self.ID, Boot: l.s.self.Boot, Hold: l.hold, Keys: assignments, EarlierGrants: e.Left, UnknownHolders: e.UnknownHolders}
}

// earlierGrants returns what this leader knows of grants of earlier leaders.
func (l *leadership) earlierGrants() EarlierGrants {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.earlierGrantsLocked()
}

// earlierGrantsLocked is earlierGrants with mu held.
func (l *leadership) earlierGrantsLocked() EarlierGrants {
	if l.keys == nil {
		return EarlierGrants{}
	}
	now := l.now()
	return EarlierGrants{Left: max(0, l.keys.PriorManagerHoldBound()-now), UnknownHolders: l.keys.WaitsForUnknown(now)}
}

// overstatesEarlierGrants reports whether a record of this leader tells that grants of
// earlier leaders may hold although none can any more.
func (l *leadership) overstatesEarlierGrants(c *fleet.Cell) bool {
	return l.keys != nil && c.EarlierGrants > 0 && l.confirmed() && l.previousGrantsLeft() <= 0
}

// commit writes proposed assignments to the store, after which they take effect. previous
// is the record that they were proposed on.
func (l *leadership) commit(ctx context.Context, previous *fleet.Cell, assignments []keyspace.Assignment) {
	began := l.now()
	l.mu.Lock()
	record := l.newRecord(assignments)
	l.mu.Unlock()
	number, err := l.s.write(ctx, record, previous)
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, errStoreRestored) {
		l.keys.Withdraw()
		l.logger.Info("withdrew the proposed key assignments: the store was restored", "ranges", len(assignments))
		return
	}
	if err != nil {
		// Another record of the cell was written, or this leadership is ending. The
		// proposal stays pending, so that no further one is made.
		l.logger.Warn("could not write the proposed key assignments", "ranges", len(assignments), "error", err)
		return
	}
	l.keys.Committed(l.now(), number)
	l.logger.Info("key assignments written", "number", number, "ranges", len(assignments), "took", l.now()-began)
}
