// Package lending shares the slots of a service's targets among all VMs. One
// VM, the lender, counts the requests in flight at each target and holds the
// queue. The other VMs keep their requests and send one only when the lender
// lends them a slot: a lease that lasts until the VM returns the slot or, if the
// VM fails, until leaseGrace after the request's deadline.
//
// The lender of a service is the leader of its cell (the service with its
// targets). A VM that reaches no leader runs a Lender for its own requests only.
//
// The package does no I/O and reads no clock: times are readings of a monotonic
// clock that the caller passes in, and decisions are returned as values.
package lending

import (
	"math/rand"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/locality"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
)

// NoKey is the key of requests to a service whose targets do not own keys.
const NoKey = -1

// Request asks for a slot. Times are readings of the lender's clock.
type Request struct {
	ID          uint64
	VM          string // VM that sends the request
	DataCentre  string // data centre of that VM
	Route       string
	Priority    int // 0 is the most urgent
	Idempotent  bool
	Arrived     time.Duration // when the request reached the gateway
	Objective   time.Duration // time after which the answer is worth less
	Deadline    time.Duration // time after which the caller has given up
	Key         int           // NoKey, or the key that the target has to own
	Retry       bool          // the request was sent to a target before
	Avoid       string        // target that failed an earlier attempt, or ""
	Fingerprint quarantine.Fingerprint
	// GiveUp is for how long the VM waits for a lender that does not answer; 0 if it waits
	// until the deadline.
	GiveUp time.Duration

	missedObjective bool          // seen in the queue when it could no longer meet its objective
	queuedSince     time.Duration // orders the queue: earlier than Arrived if it is the retry of a refused write
}

// Reason says why a request is refused.
type Reason string

const (
	Overload    Reason = "overload"     // with the present queue it would be answered too late
	NoTarget    Reason = "no-target"    // no target is available
	NoOwner     Reason = "no-owner"     // the key has no owner that can be reached
	Leaving     Reason = "leaving"      // all targets for it have announced that they leave
	NoBudget    Reason = "retry-budget" // the retry budget is used up
	Quarantined Reason = "suspect"      // the request was in flight when targets crashed
	Expired     Reason = "deadline"     // it waited until it could no longer be answered before its deadline
	NotStarted  Reason = "not-ready"    // the lender does not know its targets yet
)

// Decision lends a slot to a request or refuses the request.
type Decision struct {
	ID      uint64
	Lent    bool
	Target  string // Target and Address are set if Lent
	Address string
	Life    int64 // of the target's process, like Target
	// Reason and RetryAfter are set if the request is refused. RetryAfter is the
	// wait that is asked of the caller.
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration // since Request.Arrived
}

// Result is the outcome of a request that was lent a slot.
type Result uint8

const (
	Unused            Result = iota + 1 // nothing was sent
	Answered                            // the target answered: success, or an error of the request itself
	Failed                              // the target answered with an error of its own
	Shed                                // the target rejected the request without running it
	WrongOwner                          // the target does not hold the key, or another process uses its address
	ConnectionRefused                   // no connection could be opened
	Broken                              // the connection ended before the answer
	TimedOut                            // no answer before the deadline
)

// Usage returns a lent slot and reports how the request ended.
type Usage struct {
	ID     uint64
	Result Result
	Took   time.Duration // from the first byte sent to the last byte received
	Bytes  int64         // size of the bodies of the request and the answer
	Load   *LoadReport   // load report that came with the answer, or nil
}

// LoadReport is the load that a target reports of itself.
type LoadReport struct {
	Running, Waiting, Slots int
	Slowdown                float64 // factor by which work takes longer than usual; 0 if unknown
}

// TargetInfo describes a target that requests may be sent to.
type TargetInfo struct {
	ID, Address, DataCentre string
	Life                    int64         // identifies the target's process
	Slots                   int           // the most requests that it runs at once
	ColdUntil               time.Duration // time until which the target is cold, that is, warming up
	ColdRate                float64       // requests/s while cold
	// Leaving is set once the target has announced that it leaves. No request is sent to it
	// any more, except for keys that it owns until KeysUntil.
	Leaving   bool
	KeysUntil time.Duration
}

// Config holds the limits of a Lender.
type Config struct {
	// SlotsPerTarget is set by VMs that reach no leader: the least number of requests that
	// they may have in flight at a target. More of them are limited by localShare, so that
	// such VMs together do not overload a target. 0 means that only the target's own slots
	// limit the requests.
	SlotsPerTarget int
	Budget         retry.BudgetConfig
	// Spillover decides which requests without a key leave their data centre. If it is
	// nil, other data centres cost crossDataCentreCost.
	Spillover *locality.Config
	// VMs is the number of VMs that may lend locally at once; 0 if unknown.
	VMs int
}

// Lender decides which request is sent to which target and when. It is not safe
// for concurrent use.
type Lender struct {
	cfg         Config
	rng         *rand.Rand
	targets     map[string]*target
	targetList  []*target // the values of targets: a slice is cheaper to go through
	owner       func(now time.Duration, key int) Ownership
	sharedQueue queue // requests without a key or whose key has no owner
	queued      int   // number of requests in all queues
	leases      map[uint64]*slotLease
	routes      map[string]*routeStats
	// lastRoute and lastStats are the entry of routes that was looked up last: a scan of the
	// targets or of a queue looks up the same one many times.
	lastRoute      string
	lastStats      *routeStats
	budget         *retry.Budget
	spillover      *spillover // nil unless Config.Spillover is set
	suspects       *quarantine.State
	recentRefusals map[quarantine.Fingerprint]refusal
	decisions      []Decision
	targetsSet     bool
	centredAt      time.Duration // last call of centreSlowness
	local          *localShare   // nil unless this VM lends locally
	ranAt          time.Duration
	expireAt       time.Duration // when leases are looked at next

	expiredInPauses int // since the last TakeExpiredInPauses

	lentCount    int // since the last TakeCounts, like refusedCount
	refusedCount map[Reason]int
}

// slotLease is a slot that was lent to a request.
type slotLease struct {
	Request
	target *target
	sentAt time.Duration
}

// OwnerState says whether a request for a key can be sent.
type OwnerState uint8

const (
	Held   OwnerState = iota + 1 // the target owns the key
	Moving                       // the key is expected to have an owner within about the time of one request
	Lost                         // the key has no owner that can be reached
)

func (s OwnerState) String() string {
	return [...]string{"none", Held: "held", Moving: "moving", Lost: "lost"}[s]
}

// Ownership describes which target owns a key.
type Ownership struct {
	Target string
	State  OwnerState
	Wait   time.Duration // for a lost key: time until it is expected to have an owner
}

// New returns a lender without targets. owner returns the ownership of a key; it is
// nil for services without keys.
func New(cfg Config, rng *rand.Rand, owner func(now time.Duration, key int) Ownership) *Lender {
	var local *localShare
	if cfg.SlotsPerTarget > 0 {
		local = newLocalShare(cfg.VMs, rng.Float64)
	}
	return &Lender{
		local: local,
		cfg:   cfg, rng: rng, owner: owner,
		targets: map[string]*target{}, leases: map[uint64]*slotLease{}, routes: map[string]*routeStats{},
		budget:         retry.NewBudget(cfg.Budget, 0),
		spillover:      newSpillover(cfg.Spillover),
		suspects:       quarantine.New(quarantine.DefaultConfig()),
		recentRefusals: map[quarantine.Fingerprint]refusal{}, refusedCount: map[Reason]int{},
	}
}

// TakeDecisions returns the decisions since the last call, in order.
func (l *Lender) TakeDecisions() []Decision {
	out := l.decisions
	l.decisions = nil
	return out
}

// Slowness returns the factor by which work takes longer at a target than at one of
// average speed; 1 if the target is unknown.
func (l *Lender) Slowness(target string) float64 {
	if t := l.targets[target]; t != nil {
		return t.slowness.usually()
	}
	return 1
}

// ExpectedWork returns how long a request of a route is expected to run at a
// target of average speed.
func (l *Lender) ExpectedWork(route string) time.Duration { return l.expectedWork(route) }

// Waiting returns the number of requests that wait for a slot.
func (l *Lender) Waiting() int { return l.queued }

// SetTargets replaces the set of usable targets. Requests in flight at a target
// that is no longer in the set continue.
func (l *Lender) SetTargets(now time.Duration, infos []TargetInfo) {
	l.targetsSet = true
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		l.setTarget(now, info)
	}
	for id, t := range l.targets {
		if !seen[id] {
			t.usable = false
			l.reportCrash(now, t) // a target also leaves the set when its process ends
			if t.inFlight == 0 {
				l.removeTarget(id, t)
			}
		}
	}
	l.updateShares(now, true)
	l.recheckQueues(now)
}

// removeTarget deletes a target. The requests in its queue go to the shared
// queue until their keys have another owner.
func (l *Lender) removeTarget(id string, t *target) {
	delete(l.targets, id)
	l.targetList = slices.DeleteFunc(l.targetList, func(other *target) bool { return other == t })
	for _, r := range t.queue {
		l.sharedQueue.add(r)
	}
	t.queue = nil
}

// setTarget adds a target to the usable ones or updates it. A new process
// (Life) starts with new statistics. A target that had left the set starts with
// a new slowness and failure rate.
func (l *Lender) setTarget(now time.Duration, info TargetInfo) {
	t := l.targets[info.ID]
	if t == nil || t.Life != info.Life {
		if t != nil {
			l.reportCrash(now, t)
			l.removeTarget(info.ID, t)
		}
		t = newTarget(now, info)
		l.targets[info.ID] = t
		l.targetList = append(l.targetList, t)
	}
	if !t.usable && t.known {
		t.slowness, t.failureRate = newSlownessEstimate(), 0
	}
	if info.ColdUntil > now && !t.cold(now) {
		t.tokens, t.tokensAt = 0, now // no tokens for the time in which the target was warm
	}
	t.TargetInfo, t.usable, t.known = info, true, true
}

// RequestSlot decides on a request at once or puts it into a queue. TakeDecisions
// returns the decision.
func (l *Lender) RequestSlot(now time.Duration, r Request) {
	l.noteDemand(now, &r)
	l.noteRun(now)
	if l.local != nil {
		l.local.freeze(now)
	}
	if d, refuse := l.admit(now, &r); refuse {
		l.refuse(now, &r, d)
		return
	}
	l.enqueue(now, &r)
	if r.Key == NoKey {
		l.dispatch(now, nil)
	} else if t, state := l.ownerOf(now, r.Key); state == Held {
		l.serve(now, &t.queue)
	}
}

// Tick ends expired leases, refuses the requests that can no longer be answered in
// time, and lends slots that became free by the passing of time.
func (l *Lender) Tick(now time.Duration) {
	l.noteRun(now)
	if now >= l.expireAt {
		l.expireAt = now + expireInterval
		l.expireLeases(now)
	}
	l.updateShares(now, false)
	l.centreSlowness(now)
	l.recheckQueues(now)
	l.expireRefusals(now)
}

// NextTick returns the time after which Tick should be called if nothing else
// happens.
func (l *Lender) NextTick() time.Duration {
	if l.queued > 0 {
		return tickWaiting
	}
	return tickIdle
}

const (
	tickWaiting = 10 * time.Millisecond  // a tenth of the shortest objective of the deployments
	tickIdle    = 200 * time.Millisecond // bounds how late the loss of a lease holder is noticed
	// leaseGrace is how long after its request's deadline a lease expires. A VM
	// that has not returned the slot by then is taken to have failed.
	leaseGrace = 500 * time.Millisecond
	// expireInterval is the interval at which expired leases are looked for. Looking through
	// all of them on each tick was a third of the work of a leader with 340 of them.
	expireInterval = 100 * time.Millisecond
)

// expireLeases frees the slots whose VM did not return them in time.
func (l *Lender) expireLeases(now time.Duration) {
	for id, lease := range l.leases {
		if now > lease.Deadline+leaseGrace {
			l.releaseSlot(id, lease)
		}
	}
}

// releaseSlot ends a lease. If its target has left the set and this was its last
// request in flight, the target is removed.
func (l *Lender) releaseSlot(id uint64, lease *slotLease) {
	delete(l.leases, id)
	lease.target.inFlight--
	if lease.target.inFlight == 0 && !lease.target.usable && l.targets[lease.target.ID] == lease.target {
		l.removeTarget(lease.target.ID, lease.target)
	}
}

// Return ends the lease of a slot and uses the freed slot for waiting requests. An
// unknown lease is ignored: it has expired, or another lender granted it.
func (l *Lender) Return(now time.Duration, u Usage) {
	lease, ok := l.leases[u.ID]
	if !ok {
		return
	}
	l.noteRun(now)
	l.releaseSlot(u.ID, lease)
	l.recordUsage(now, lease, u)
	l.dispatch(now, lease.target)
}

// SlotLease returns the key and the target of a request that holds a slot.
func (l *Lender) SlotLease(id uint64) (key int, target string, ok bool) {
	lease, ok := l.leases[id]
	if !ok {
		return 0, "", false
	}
	return lease.Key, lease.target.ID, true
}
