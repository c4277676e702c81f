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

// lenderDriver drives a lending.Lender, which is a pure state machine: it passes the
// Lender the targets and the time, and delivers its decisions to the waiting requests.
// Leaders and VMs that lend locally because they reach no leader use one for each cell.
type lenderDriver struct {
	service string
	now     func() time.Duration
	view    *view.View
	logger  hclog.Logger
	// coldShare is the fraction of a cold target's request rate that this VM may use.
	coldShare float64

	mu             sync.Mutex
	lender         *lending.Lender
	waiters        map[uint64]chan lending.Decision
	keys           *keyspace.Manager       // nil if the service has no keys or this VM lends locally
	recordedOwners *lending.RecordedOwners // used for keys when this VM lends locally
	load           *keyspace.Load          // work per key; nil if keys is nil
	targetsVersion uint64                  // version of the view from which the targets were last read
	lastID         *atomic.Uint64
	wake           chan struct{} // tells leadership.run that requests wait
	redirect       chan struct{} // closed and replaced to make the waiting requests ask the leader
	closed         chan struct{} // closed when no more decisions are made
	closing        sync.Once
	// lendsLocally tells that this VM lends to its own requests only. mu guards usedAt, the
	// time of the last such request; 0 if there was none.
	lendsLocally bool
	usedAt       time.Duration
}

// errAskLeader means that this lenderDriver does not decide on the request. The request
// has to ask the present leader, which may be a new leadership of this VM.
var errAskLeader = errors.New("this VM does not decide on the request; ask the leader of the cell for a slot")

func newLenderDriver(s *Service, service string, cfg lending.Config) *lenderDriver {
	d := &lenderDriver{
		service: service, now: s.clock.Now, view: s.view, coldShare: 1,
		logger:  s.logger.With("service", service),
		waiters: map[uint64]chan lending.Decision{}, lastID: &s.lastID, wake: make(chan struct{}, 1),
		redirect: make(chan struct{}), closed: make(chan struct{}), recordedOwners: lending.NewRecordedOwners(s.started, fleet.LongestHold),
	}
	d.lender = lending.New(cfg, rand.New(rand.NewSource(rand.Int63())), d.ownerOf)
	return d
}

// ownerStates maps the state of a key's owner to the same state in lending's terms.
var ownerStates = map[keyspace.OwnerState]lending.OwnerState{
	keyspace.Held: lending.Held, keyspace.Moving: lending.Moving, keyspace.Lost: lending.Lost,
}

// ownerOf returns which target owns a key and whether requests can be sent to it.
// It is called with mu held.
func (d *lenderDriver) ownerOf(now time.Duration, key int) lending.Ownership {
	if d.keys != nil {
		h, state, wait := d.keys.Owner(now, key)
		return lending.Ownership{Target: h.Target, State: ownerStates[state], Wait: wait}
	}
	// A VM that lends locally uses the last known record of the cell. If that is
	// out of date, the target rejects the request without running it.
	c, _ := d.view.Cell(d.service)
	owner := recordedOwner(c, key)
	if owner == "" {
		return lending.Ownership{State: lending.Lost, Wait: fleet.ShortestHold}
	}
	return d.recordedOwners.Owner(now, owner, processEnded(d.view, c))
}

// recordedOwner returns the target that owns a key according to a record, or "".
// The record's ranges are sorted by key.
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

// requestSlot submits a request to the Lender and waits for the decision. It returns
// early if ctx ends, or with errAskLeader; a slot that is lent later is then returned
// unused.
func (d *lenderDriver) requestSlot(ctx context.Context, a LendArgs) (lending.Decision, error) {
	decision, redirect := d.submit(a)
	select {
	case dec := <-decision:
		d.logDecision(a, dec)
		return dec, nil
	case <-redirect:
		go d.returnUnused(decision)
		return lending.Decision{}, errAskLeader
	case <-d.closed:
		go d.returnUnused(decision)
		return lending.Decision{}, errAskLeader
	case <-ctx.Done():
		go d.returnUnused(decision)
		return lending.Decision{}, ctx.Err()
	}
}

// submit submits a request to the Lender and wakes leadership.run if requests wait.
// decision gets the decision; redirect is closed if the leader has to be asked instead.
func (d *lenderDriver) submit(a LendArgs) (decision chan lending.Decision, redirect <-chan struct{}) {
	id := d.lastID.Add(1)
	decision = make(chan lending.Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.refresh(now)
	d.waiters[id] = decision
	giveUp := time.Duration(0)
	if a.SentAt > 0 {
		giveUp = leaderTimeout
	}
	if d.load != nil && a.Key != lending.NoKey && !a.Repeat {
		d.load.Add(a.Key, d.lender.ExpectedWork(a.Route))
	}
	d.lender.RequestSlot(now, lending.Request{
		ID: id, VM: a.VM, DataCentre: a.DataCentre, Route: a.Route, Priority: a.Priority, Idempotent: a.Idempotent,
		Arrived: now - a.Age, Objective: now + a.Objective, Deadline: now + a.Deadline,
		Key: a.Key, Retry: a.Repeat, Avoid: a.Avoid, Fingerprint: a.Print, GiveUp: giveUp,
	})
	d.deliver()
	if d.lender.Waiting() > 0 {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
	return decision, d.redirect
}

// close makes all waiting requests, now and later, return errAskLeader.
func (d *lenderDriver) close() { d.closing.Do(func() { close(d.closed) }) }

// redirectWaiting makes the requests that wait now return errAskLeader, so that they
// ask the leader. Slots that are in use stay accounted for.
func (d *lenderDriver) redirectWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lender.Waiting() > 0 {
		close(d.redirect)
		d.redirect = make(chan struct{})
	}
}

// adopt takes over what the previous leader has learned about the targets.
func (d *lenderDriver) adopt(learned lending.Learned) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(d.now())
	d.lender.RestoreLearned(learned)
}

// logDecision logs all refusals, and the slots lent to sampled requests, with the state
// that explains the decision.
func (d *lenderDriver) logDecision(a LendArgs, dec lending.Decision) {
	if dec.Lent && !eventlog.Sampled(a.RequestID) {
		return
	}
	event := "slot refused"
	if dec.Lent {
		event = "slot lent"
	}
	d.mu.Lock()
	waiting, targetsVersion := d.lender.Waiting(), d.targetsVersion
	var owner lending.Ownership
	if a.Key != lending.NoKey {
		owner = d.ownerOf(d.now(), a.Key)
	}
	d.mu.Unlock()
	d.logger.Info(event, "request", a.RequestID, "vm", a.VM, "route", a.Route, "priority", a.Priority, "key", a.Key,
		"owner", owner.Target, "owner_state", owner.State, "owner_wait", owner.Wait, "target", dec.Target, "reason", dec.Reason,
		"retry_after", dec.RetryAfter, "waited", dec.Waited, "waiting", waiting, "left", a.Deadline, "repeat", a.Repeat,
		"view", targetsVersion, "view_age", d.view.Staleness(view.Targets))
}

// returnUnused waits for the decision on an abandoned request and returns the slot if
// one is lent.
func (d *lenderDriver) returnUnused(decision chan lending.Decision) {
	select {
	case dec := <-decision:
		if dec.Lent {
			d.returnSlot(lending.Usage{ID: dec.ID, Result: lending.Unused})
		}
	case <-d.closed: // no more decisions are made
	}
}

// deliver sends the Lender's new decisions to the requests that wait for them. It is
// called with mu held.
func (d *lenderDriver) deliver() {
	for _, dec := range d.lender.TakeDecisions() {
		if ch := d.waiters[dec.ID]; ch != nil {
			delete(d.waiters, dec.ID)
			ch <- dec
		}
	}
}

// returnSlot ends the use of a slot.
func (d *lenderDriver) returnSlot(u lending.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if key, target, ok := d.lender.SlotLease(u.ID); ok && u.Result == lending.WrongOwner {
		d.noteWrongOwner(now, key, target)
	}
	d.lender.Return(now, u)
	d.deliver()
}

// localIdlePeriod is for how long after its last request a local lender is ticked, so that
// its queue, leases and refusals end. VMs whose leaders answer then do no work for it.
const localIdlePeriod = 10 * time.Second

// noteUse records that a request is lent a slot locally, and logs the first one.
func (d *lenderDriver) noteUse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.usedAt == 0 || now-d.usedAt > localIdlePeriod {
		d.refresh(now)
		d.logger.Info("lends slots locally: no leader answers", "rate", d.lender.LocalRate(now), "vms", len(d.view.VMs()))
	}
	d.usedAt = now
}

// tickIfUsed is tick if this local lender was used within localIdlePeriod.
func (d *lenderDriver) tickIfUsed() {
	d.mu.Lock()
	used := d.usedAt > 0 && d.now()-d.usedAt <= localIdlePeriod
	d.mu.Unlock()
	if used {
		d.tick()
	}
}

// noteDecision records the leader's decision on a request of this VM.
func (d *lenderDriver) noteDecision(a LendArgs, c *fleet.Cell, dec lending.Decision) {
	target := dec.Target
	if !dec.Lent && a.Key != lending.NoKey {
		target = recordedOwner(c, a.Key)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lender.NoteDecision(d.now(), target, dec.Lent)
}

// noteWork records how long a request ran for which the leader lent the slot.
func (d *lenderDriver) noteWork(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lender.NoteWork(took)
}

// noteWrongOwner records that a target rejected a request because it does not hold
// the request's key. It is called with mu held.
func (d *lenderDriver) noteWrongOwner(now time.Duration, key int, target string) {
	if d.keys != nil {
		d.keys.WrongOwner(now, key, target)
		return
	}
	d.recordedOwners.WrongOwner(now, target)
}

// tick advances the Lender to the present and returns the time until the next tick.
func (d *lenderDriver) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.refresh(now)
	d.lender.Tick(now)
	d.deliver()
	return d.lender.NextTick()
}

// refresh passes the usable targets to the Lender if the view has changed since
// the last call. It is called with mu held.
func (d *lenderDriver) refresh(now time.Duration) {
	version, _ := d.view.Changed()
	if version == d.targetsVersion || !d.view.Ready() {
		return
	}
	d.targetsVersion = version
	cfg, _ := d.view.Config()
	svc, _ := cfg.Service(d.service)
	if d.lendsLocally {
		vms := max(1, len(d.view.VMs()))
		d.coldShare = 1 / float64(vms)
		d.lender.SetVMs(vms)
	}
	var infos []lending.TargetInfo
	for _, t := range d.view.TargetsOf(d.service) {
		if !t.Usable {
			continue
		}
		infos = append(infos, lending.TargetInfo{
			ID: t.ID, Address: t.Address, DataCentre: t.DataCentre, Life: t.Life, Slots: t.Slots,
			ColdUntil: t.ColdUntil, ColdRate: svc.ColdRate * d.coldShare,
			Leaving: t.Announced, KeysUntil: keysUntil(svc, t.AnnouncedAt),
		})
	}
	d.lender.SetTargets(now, infos)
}

// RetryLimits is the retry budget of a service for all VMs together, a token bucket:
// Share is the number of retries that each request adds, and Burst the largest number
// of retries that can be saved up.
type RetryLimits struct{ Share, Burst float64 }

// The fractions of RetryLimits that a leader and a VM that lends locally may use. The
// latter has a small budget, because 76 VMs may lend locally at once beside the leader.
const (
	leaderShareFraction = 0.8
	leaderBurstFraction = 0.5
	localShareFraction  = 0.25
	localRetryBurst     = 1.0 // retries, whatever RetryLimits.Burst is
)

// localConfig returns the limits of a VM that lends locally. They are low enough for
// all VMs together to stay within the slots and the queue of a target.
func (r RetryLimits) localConfig(vms int) lending.Config {
	return lending.Config{SlotsPerTarget: 1, VMs: vms, Budget: retry.BudgetConfig{Share: localShareFraction * r.Share, Burst: localRetryBurst}}
}

// leaderConfig returns the limits of a VM that leads a cell.
func (r RetryLimits) leaderConfig() lending.Config {
	return lending.Config{Budget: retry.BudgetConfig{Share: leaderShareFraction * r.Share, Burst: leaderBurstFraction * r.Burst}}
}
