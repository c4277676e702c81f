package cell

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

const (
	// hold is how long a target keeps keys without a renewal. Keys of a target
	// that vanished are served again after it; it spans the time in which a lost
	// leader is replaced, the silence and the pauses of some ranks.
	hold  = 1800 * time.Millisecond
	renew = 500 * time.Millisecond // two renewals may be lost
	// callTimeout bounds a grant; a target answers one in a few milliseconds,
	// and after a lost packet in about 300.
	callTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a release, which waits for work to end.
	releaseTimeout = 2500 * time.Millisecond
	// clockError is the platform's bound for a target's clock.
	clockError = 0.02
	maxParts   = 8 // ranges a target
	// authority is how long after the last confirmation from the store a
	// leader may still grant keys.
	authority = 2500 * time.Millisecond
	// keyTick is the pause between two looks for calls that are due.
	keyTick = 50 * time.Millisecond
	// planPause is the pause between two plans: hot keys move within a second.
	planPause = 400 * time.Millisecond
	// summaryPause is the pause between two lines that sum up the lending of a
	// cell: short beside the outages that they explain.
	summaryPause = 2 * time.Second
	// unreachableAfter is how long calls to an owner fail until its keys move.
	unreachableAfter = 800 * time.Millisecond
	// coldCapacity is the capacity of a cold target, which works at half speed
	// and bears few requests.
	coldCapacity = 0.3
)

func keyConfig() keyspace.Config {
	return keyspace.Config{Hold: hold, Renew: renew, CallTimeout: callTimeout, ClockError: clockError, MaxParts: maxParts}
}

// Order is a call to a target about keys.
type Order struct {
	Target, Address string
	From, To        int
	Fence           int64
	Hold            time.Duration // grants only
	Handover        string        // grants only
}

// Orders carries grants and releases to targets. When ctx ends the call's
// connection is reset.
type Orders interface {
	// Grant gives or renews keys. Gate is asked right before sending.
	Grant(ctx context.Context, o Order, gate func() error) (keyspace.CallResult, error)
	// Release takes keys back and returns the handover of the target.
	Release(ctx context.Context, o Order) (handover string, result keyspace.CallResult, err error)
}

// lead is a cell that this VM leads.
type lead struct {
	*desk
	s      *Service
	cancel context.CancelFunc
	done   chan struct{}
	// ceded is set once another VM was asked to lead in place of this one.
	ceded atomic.Bool
	// acts is the record of the leader for which this VM acts, nil if it leads itself.
	acts       *fleet.Cell
	takingOver atomic.Bool
	// support counts the VMs that follow this leader. It and the times are
	// guarded by mu.
	support    support.Leader
	proposedAt time.Duration // of the assignments that wait for the store
	passedAt   time.Duration // when other VMs were last asked to lead, 0 if never
}

func (s *Service) newLead(service string, m *keyspace.Manager) *lead {
	l := &lead{desk: newDesk(s, service, s.retry.leaderConfig()), s: s, done: make(chan struct{})}
	l.keys = m
	if m != nil {
		l.load = keyspace.NewLoad(l.now())
	}
	return l
}

// run lends slots and manages keys until ctx ends.
func (l *lead) run(ctx context.Context) {
	defer close(l.done)
	if l.keys != nil {
		go l.keepSupport(ctx)
	}
	nextKeys, nextPlan, nextSummary := l.now(), l.now(), l.now()+summaryPause
	for {
		pause := l.tick()
		if now := l.now(); l.keys != nil && now >= nextKeys {
			l.stepKeys(ctx)
			nextKeys = now + keyTick
			if now >= nextPlan {
				l.plan(ctx)
				if l.unwritten() {
					go l.passOn(ctx)
				}
				nextPlan = now + planPause
			}
		}
		if now := l.now(); now >= nextSummary {
			l.summarize(now)
			nextSummary = now + summaryPause
		}
		if l.keys != nil {
			pause = min(pause, keyTick)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-l.wake:
			select { // requests wait: look again soon
			case <-ctx.Done():
				return
			case <-time.After(min(pause, keyTick/5)):
			}
		}
	}
}

// summarize logs what the lender did lately. Refusals are too many for a line
// each when there are most of them.
func (l *lead) summarize(now time.Duration) {
	l.mu.Lock()
	c := l.lender.TakeCounts(now)
	var keys keyspace.Counts
	if l.keys != nil {
		keys = l.keys.Counts(now)
	}
	l.mu.Unlock()
	if c.Lent == 0 && len(c.Refused) == 0 {
		return
	}
	l.logger.Info("lending", "lent", c.Lent, "refused", c.Refused, "waiting", c.Waiting, "targets", c.Targets, "cold", c.Cold,
		"avoided", c.Avoided, "slots", c.Slots, "in_flight", c.InFlight, "ranges", keys.Ranges, "moving", keys.Moving, "lost", keys.Lost,
		"keys_without_owner", keys.KeysLost, "unwritten", keys.Pending)
}

// keepSupport asks for support until ctx ends.
func (l *lead) keepSupport(ctx context.Context) {
	for ctx.Err() == nil {
		l.askSupport(ctx)
		time.Sleep(supportPause)
	}
}

// errNoAuthority keeps a grant from being sent.
var errNoAuthority = errors.New("neither the store nor most VMs have confirmed lately that this VM leads the cell")

// mayGrant tells whether this VM may still grant keys: the store has confirmed
// lately that it leads, or most VMs follow it.
func (l *lead) mayGrant() error {
	if l.leads() && !l.ceded.Load() && (l.confirmed() || l.supported()) {
		return nil
	}
	return errNoAuthority
}

// leads tells whether the newest known record of the cell names this VM, or the
// leader for which it acts.
func (l *lead) leads() bool {
	c, _ := l.view.Cell(l.service)
	if l.acts != nil {
		return c == l.acts
	}
	return c != nil && c.Leader == l.s.self.ID && c.Boot == l.s.self.Boot
}

// confirmed tells whether the store has confirmed lately what this VM knows.
func (l *lead) confirmed() bool { return l.view.Staleness(view.System) <= authority }

func (l *lead) stepKeys(ctx context.Context) {
	if l.mayGrant() != nil {
		return
	}
	l.mu.Lock()
	actions := l.keys.Step(l.now(), l.alive)
	l.mu.Unlock()
	for _, a := range actions {
		go l.perform(ctx, a)
	}
}

func (l *lead) alive(h keyspace.Holder) bool { return l.view.Alive(h.Target, h.Life) }

func (l *lead) perform(ctx context.Context, a keyspace.Action) {
	address, ok := l.view.Address(a.Holder.Target)
	if !ok {
		l.finish(a, keyspace.NotSent, "", errors.New("the target's address is not known"))
		return
	}
	o := Order{Target: a.Holder.Target, Address: address, From: a.From, To: a.To, Fence: a.Fence, Hold: hold, Handover: a.Handover}
	timeout := callTimeout
	if a.Kind == keyspace.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.Kind == keyspace.Release {
		handover, result, err := l.s.orders.Release(ctx, o)
		l.finish(a, result, handover, err)
		return
	}
	result, err := l.s.orders.Grant(ctx, o, l.mayGrant)
	l.finish(a, result, "", err)
}

func (l *lead) finish(a keyspace.Action, result keyspace.CallResult, handover string, err error) {
	l.mu.Lock()
	l.keys.Done(l.now(), a.ID, result, handover)
	l.lender.Tick(l.now())
	l.deliver()
	l.mu.Unlock()
	if err != nil || a.Kind == keyspace.Release {
		l.logger.Info("keys", "kind", a.Kind.String(), "target", a.Holder.Target, "from", a.From, "to", a.To, "fence", a.Fence,
			"result", result.String(), "error", err)
	}
}

// plan proposes new owners and writes them to the store.
func (l *lead) plan(ctx context.Context) {
	if l.ceded.Load() || !l.leads() || !l.confirmed() {
		return
	}
	if l.acts != nil {
		go l.takeOver(ctx)
		return
	}
	l.mu.Lock()
	now := l.now()
	l.load.Decay(now)
	assignments, change := l.keys.Propose(now, l.candidates(now), l.load)
	if change {
		l.proposedAt = now
	}
	l.mu.Unlock()
	if change {
		go l.commit(ctx, assignments)
	}
}

// candidates is called with mu held.
func (l *lead) candidates(now time.Duration) []keyspace.Candidate {
	var out []keyspace.Candidate
	for _, t := range l.view.TargetsOf(l.service) {
		h := keyspace.Holder{Target: t.ID, Life: t.Life}
		if !t.Usable || l.keys.FailingFor(now, h) > unreachableAfter {
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

// commit writes a proposal and makes it effective.
func (l *lead) commit(ctx context.Context, assignments []keyspace.Assignment) {
	began := l.now()
	number, err := l.s.write(ctx, &fleet.Cell{Service: l.service, Leader: l.s.self.ID, Boot: l.s.self.Boot, Keys: assignments})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The cell has another leader, or this process stops: the proposal
		// stays open so that nothing more is proposed.
		l.logger.Warn("assignments were not written", "ranges", len(assignments), "error", err)
		return
	}
	l.keys.Committed(l.now(), number)
	l.logger.Info("assignments written", "number", number, "ranges", len(assignments), "took", l.now()-began)
}
