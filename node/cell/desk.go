package cell

import (
	"context"
	"math/rand"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/retry"
	"github.com/mangogate/mangogate/node/eventlog"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// desk runs a lender: it feeds it targets and time, and hands its decisions to
// the requests that wait for them.
type desk struct {
	service string
	now     func() time.Duration
	view    *view.View
	logger  hclog.Logger
	// coldShare is this VM's part of the rate of a cold target.
	coldShare float64

	mu         sync.Mutex
	lender     *lending.Lender
	waiters    map[uint64]chan lending.Decision
	keys       *keyspace.Manager   // nil if the service has no keys or the desk does not lead
	leaderless *lending.Leaderless // of a desk that does not lead
	load       *keyspace.Load
	seen       uint64 // version of the view that the targets were taken from
	lastID     *atomic.Uint64
	wake       chan struct{}
	recall     chan struct{} // closed when those that wait are to ask elsewhere
	closed     chan struct{} // closed when the desk decides no more
	closing    sync.Once
}

// errClosed means that a desk decides no more: another VM leads.
var errClosed = errors.New("another VM leads the cell now")

func newDesk(s *Service, service string, cfg lending.Config) *desk {
	d := &desk{
		service: service, now: s.clock.Now, view: s.view, coldShare: 1,
		logger:  s.logger.With("service", service),
		waiters: map[uint64]chan lending.Decision{}, lastID: &s.lastID, wake: make(chan struct{}, 1),
		recall: make(chan struct{}), closed: make(chan struct{}), leaderless: lending.NewLeaderless(s.started, hold),
	}
	d.lender = lending.New(cfg, rand.New(rand.NewSource(rand.Int63())), d.ownerOf)
	return d
}

// ownerStates translates what is known of a key into what its requests can expect.
var ownerStates = map[keyspace.OwnerState]lending.OwnerState{
	keyspace.Held: lending.Held, keyspace.Moving: lending.Moving, keyspace.Lost: lending.Lost,
}

// ownerOf is called with mu held.
func (d *desk) ownerOf(now time.Duration, key int) lending.Ownership {
	if d.keys != nil {
		h, state, wait := d.keys.Owner(now, key)
		return lending.Ownership{Target: h.Target, State: ownerStates[state], Wait: wait}
	}
	// A desk that does not lead goes by the last record of the cell; a target
	// that no longer holds the key says so and does not run the request.
	c, _ := d.view.Cell(d.service)
	owner := recordedOwner(c, key)
	if owner == "" {
		return lending.Ownership{State: lending.Lost, Wait: hold}
	}
	return d.leaderless.Owner(now, owner, processEnded(d.view, c))
}

// recordedOwner returns the owner of a key in a record, or "". The record's
// ranges are in the order of their keys.
func recordedOwner(c *fleet.Cell, key int) string {
	if c == nil {
		return ""
	}
	i := sort.Search(len(c.Keys), func(i int) bool { return key <= c.Keys[i].To })
	if i == len(c.Keys) || key < c.Keys[i].From {
		return ""
	}
	return c.Keys[i].Owner.Target
}

// ask waits for the decision on a request. When ctx ends first, a slot that is
// lent later is returned unused.
func (d *desk) ask(ctx context.Context, a LendArgs) (lending.Decision, error) {
	id := d.lastID.Add(1)
	decided := make(chan lending.Decision, 1)
	d.mu.Lock()
	now := d.now()
	d.refresh(now)
	d.waiters[id] = decided
	if d.load != nil && a.Key != lending.NoKey && !a.Repeat {
		d.load.Add(a.Key, d.lender.ExpectedWork(a.Route))
	}
	d.lender.Ask(now, lending.Request{
		ID: id, VM: a.VM, DataCentre: a.DataCentre, Route: a.Route, Priority: a.Priority, Idempotent: a.Idempotent,
		Arrived: now - a.Age, Objective: now + a.Objective, Deadline: now + a.Deadline,
		Key: a.Key, Repeat: a.Repeat, Avoid: a.Avoid, Print: a.Print,
	})
	d.deliver()
	waits, recall := d.lender.Waiting() > 0, d.recall
	d.mu.Unlock()
	if waits {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
	select {
	case dec := <-decided:
		d.logDecision(a, dec)
		return dec, nil
	case <-recall:
		go d.returnUnused(decided)
		return lending.Decision{}, errClosed
	case <-d.closed:
		go d.returnUnused(decided)
		return lending.Decision{}, errClosed
	case <-ctx.Done():
		go d.returnUnused(decided)
		return lending.Decision{}, ctx.Err()
	}
}

// close ends the wait of all requests.
func (d *desk) close() { d.closing.Do(func() { close(d.closed) }) }

// recallWaiting ends the wait of all requests, which ask a leader then. The desk goes on
// to count what it has lent.
func (d *desk) recallWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lender.Waiting() > 0 {
		close(d.recall)
		d.recall = make(chan struct{})
	}
}

// begin takes what another leader has learned.
func (d *desk) begin(learned lending.Learned) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(d.now())
	d.lender.Begin(learned)
}

// logDecision logs refusals, and all decisions on sampled requests, with what
// decided them.
func (d *desk) logDecision(a LendArgs, dec lending.Decision) {
	if dec.Lent && !eventlog.Sampled(a.RequestID) {
		return
	}
	what := "slot refused"
	if dec.Lent {
		what = "slot lent"
	}
	d.mu.Lock()
	waiting, seen := d.lender.Waiting(), d.seen
	var owner lending.Ownership
	if a.Key != lending.NoKey {
		owner = d.ownerOf(d.now(), a.Key)
	}
	d.mu.Unlock()
	d.logger.Info(what, "request", a.RequestID, "vm", a.VM, "route", a.Route, "priority", a.Priority, "key", a.Key,
		"owner", owner.Target, "owner_state", owner.State, "owner_wait", owner.Wait, "target", dec.Target, "reason", dec.Reason,
		"retry_after", dec.RetryAfter, "waited", dec.Waited, "waiting", waiting, "left", a.Deadline, "repeat", a.Repeat,
		"view", seen, "view_age", d.view.Staleness(view.Targets))
}

// returnUnused returns the slot that a request which waits no more may still be lent.
func (d *desk) returnUnused(decided chan lending.Decision) {
	select {
	case dec := <-decided:
		if dec.Lent {
			d.giveBack(lending.Usage{ID: dec.ID, Result: lending.Unused})
		}
	case <-d.closed: // nobody lends any more
	}
}

// deliver is called with mu held.
func (d *desk) deliver() {
	for _, dec := range d.lender.Take() {
		if ch := d.waiters[dec.ID]; ch != nil {
			delete(d.waiters, dec.ID)
			ch <- dec
		}
	}
}

// giveBack ends a loan.
func (d *desk) giveBack(u lending.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if key, target, ok := d.lender.Loan(u.ID); ok && u.Result == lending.WrongOwner {
		d.noteWrongOwner(now, key, target)
	}
	d.lender.Return(now, u)
	d.deliver()
}

// noteWrongOwner takes note of a target that does not hold a key that it was
// believed to hold. It is called with mu held.
func (d *desk) noteWrongOwner(now time.Duration, key int, target string) {
	if d.keys != nil {
		d.keys.WrongOwner(now, key, target)
		return
	}
	d.leaderless.WrongOwner(now, target)
}

// tick advances the lender.
func (d *desk) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.refresh(now)
	d.lender.Tick(now)
	d.deliver()
	return d.lender.NextTick()
}

// refresh takes the targets from the view if it has changed. It is called with
// mu held.
func (d *desk) refresh(now time.Duration) {
	version, _ := d.view.Changed()
	if version == d.seen || !d.view.Ready() {
		return
	}
	d.seen = version
	cfg, _ := d.view.Config()
	svc, _ := cfg.Service(d.service)
	var infos []lending.TargetInfo
	for _, t := range d.view.TargetsOf(d.service) {
		if !t.Usable {
			continue
		}
		infos = append(infos, lending.TargetInfo{
			ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Life: t.Life, Slots: t.Slots,
			ColdUntil: t.ColdUntil, ColdRate: svc.ColdRate * d.coldShare,
		})
	}
	d.lender.SetTargets(now, infos)
}

// RetryLimits bound the requests that are sent again to a service, by all VMs
// together: a share of its requests and a number that may be saved up.
type RetryLimits struct{ Share, Burst float64 }

// Parts of the limits. A VM without a leader has a small one of its own: 76 of
// them at once must not use up more than the leader leaves.
const (
	leaderRetryShare = 0.8
	leaderRetryBurst = 0.5
	soloRetryShare   = 0.25
	soloRetryBurst   = 1.0 // requests
)

// soloConfig limits a VM that lends to itself because it reaches no leader:
// all VMs together then stay within the slots and queue of a target.
func (r RetryLimits) soloConfig() lending.Config {
	return lending.Config{SlotsPerTarget: 1, Budget: retry.BudgetConfig{Share: soloRetryShare * r.Share, Burst: soloRetryBurst}}
}

func (r RetryLimits) leaderConfig() lending.Config {
	return lending.Config{Budget: retry.BudgetConfig{Share: leaderRetryShare * r.Share, Burst: leaderRetryBurst * r.Burst}}
}
