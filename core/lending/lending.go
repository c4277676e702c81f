// Package lending shares the slots of a service's targets among all VMs. One
// VM, the lender, counts the requests at each target and holds the queue; the
// other VMs keep their requests and send one when the lender lends them a slot.
//
// The package is pure: times are readings of a monotonic clock that the caller
// passes in, and decisions are returned as values.
package lending

import (
	"math/rand"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
)

// NoKey is the key of requests to a service whose targets hold no keys.
const NoKey = -1

// Request asks for a slot. Times are readings of the lender's clock.
type Request struct {
	ID         uint64
	VM         string // that sends the request
	DataCentre string // of that VM
	Route      string
	Priority   int // 0 is the most urgent
	Idempotent bool
	Arrived    time.Duration // when the caller's request arrived
	Objective  time.Duration // point in time after which the answer is worth less
	Deadline   time.Duration // point in time after which nobody waits
	Key        int           // NoKey, or the key that the target has to hold
	Repeat     bool          // the request was sent to a target before
	Avoid      string        // target that failed the request, or ""
	Print      quarantine.Fingerprint

	missed bool          // its objective, while it waited
	since  time.Duration // place in the queue: earlier than Arrived if it was refused before
}

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	Overload   Reason = "overload"     // cannot be answered in time
	NoTarget   Reason = "no-target"    // no target may be used
	NoOwner    Reason = "no-owner"     // the key has no owner that can be reached
	NoBudget   Reason = "retry-budget" // too many requests were sent again
	Suspect    Reason = "suspect"      // the request crashed targets
	Expired    Reason = "deadline"     // waited until it could not be answered in time
	NotStarted Reason = "not-ready"    // the lender does not know its targets yet
)

// Decision lends a slot or refuses a request.
type Decision struct {
	ID      uint64
	Lent    bool
	Target  string // the rest of the slot's data if Lent
	Address string
	// Reason and RetryAfter are set if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
}

// Result is how a lent slot was used.
type Result uint8

// The results of Return.
const (
	Unused     Result = iota + 1 // nothing was sent
	Answered                     // success or a failure of the request itself
	Failed                       // the target answered that it failed
	Shed                         // the target did not run it
	WrongOwner                   // the target does not hold the key, or another process has its address
	Refused                      // no connection could be opened
	Broken                       // the connection ended without an answer
	TimedOut                     // no answer before the deadline
)

// Usage returns a slot.
type Usage struct {
	ID     uint64
	Result Result
	Took   time.Duration // from the first byte sent to the last byte received
	Load   *LoadReport   // as the answer had it, or nil
}

// LoadReport is a target's own account.
type LoadReport struct {
	Running, Waiting, Slots int
	Slowdown                float64 // how long work takes, relative to the usual; 0 if unknown
}

// TargetInfo describes a target that may be used.
type TargetInfo struct {
	ID, Address, DataCentre string
	Life                    int64
	Slots                   int
	ColdUntil               time.Duration
	ColdRate                float64 // requests/s while cold
}

// Config holds the limits of a Lender.
type Config struct {
	// SlotsPerTarget caps the requests at a target; 0 means its own slots. A VM
	// that lends to itself alone because it reaches no lender sets it.
	SlotsPerTarget int
	Budget         retry.BudgetConfig
}

// Lender is the state machine. It is not safe for concurrent use.
type Lender struct {
	cfg     Config
	rng     *rand.Rand
	targets map[string]*target
	owner   func(now time.Duration, key int) Ownership
	waiting queue // requests that no target's keys bind
	queued  int   // requests in all queues
	lent    map[uint64]*loan
	routes  map[string]*routeStats
	budget  *retry.Budget
	crashes *quarantine.State
	refused map[quarantine.Fingerprint]refusal
	out     []Decision
	started bool

	lentCount    int // since the last TakeCounts
	refusedCount map[Reason]int
}

type loan struct {
	Request
	target *target
	sent   time.Duration
}

// OwnerState says what a request for a key can expect.
type OwnerState uint8

// The states of an owner.
const (
	Held   OwnerState = iota + 1 // the target holds the key
	Moving                       // the key has an owner within about one request's time
	Lost                         // nobody may be given the key yet
)

// String returns the state's name.
func (s OwnerState) String() string {
	return [...]string{"none", Held: "held", Moving: "moving", Lost: "lost"}[s]
}

// Ownership is who holds a key.
type Ownership struct {
	Target string
	State  OwnerState
	Wait   time.Duration // until a lost key is expected to have an owner
}

// New returns a lender without targets. Owner tells which target holds a key;
// it is nil for services without keys.
func New(cfg Config, rng *rand.Rand, owner func(now time.Duration, key int) Ownership) *Lender {
	return &Lender{
		cfg: cfg, rng: rng, owner: owner,
		targets: map[string]*target{}, lent: map[uint64]*loan{}, routes: map[string]*routeStats{},
		budget:  retry.NewBudget(cfg.Budget, 0),
		crashes: quarantine.New(quarantine.DefaultConfig()),
		refused: map[quarantine.Fingerprint]refusal{}, refusedCount: map[Reason]int{},
	}
}

// Take returns the decisions since the last call.
func (l *Lender) Take() []Decision {
	out := l.out
	l.out = nil
	return out
}

// Slowness returns how long work takes at a target, relative to the mean.
func (l *Lender) Slowness(target string) float64 {
	if t := l.targets[target]; t != nil {
		return t.slowness
	}
	return 1
}

// ExpectedWork returns how long a request of a route is expected to run.
func (l *Lender) ExpectedWork(route string) time.Duration { return l.expectedWork(route) }

// Waiting returns the number of requests that wait for a slot.
func (l *Lender) Waiting() int { return l.queued }

// SetTargets replaces the targets that may be used. Requests that were lent a
// slot of another target go on.
func (l *Lender) SetTargets(now time.Duration, infos []TargetInfo) {
	l.started = true
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		l.setTarget(now, info)
	}
	for id, t := range l.targets {
		if !seen[id] {
			t.usable = false
			l.noteCrash(now, t) // an entry also ends when its process does
			if t.inFlight == 0 {
				l.drop(id, t)
			}
		}
	}
	l.review(now)
}

// drop forgets a target. Requests that wait for it look for another owner.
func (l *Lender) drop(id string, t *target) {
	delete(l.targets, id)
	for _, r := range t.queue {
		l.waiting.add(r)
	}
	t.queue = nil
}

func (l *Lender) setTarget(now time.Duration, info TargetInfo) {
	t := l.targets[info.ID]
	if t == nil || t.Life != info.Life {
		if t != nil {
			l.noteCrash(now, t)
			l.drop(info.ID, t)
		}
		t = newTarget(now, info)
		l.targets[info.ID] = t
	}
	if !t.usable && t.known {
		t.slowness, t.failing = 1, 0
	}
	if info.ColdUntil > now && !t.cold(now) {
		t.tokens, t.tokensAt = 0, now // what was saved up while warm does not count
	}
	t.TargetInfo, t.usable, t.known = info, true, true
}

// Ask queues a request or decides on it at once.
func (l *Lender) Ask(now time.Duration, r Request) {
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

// Tick refuses the requests that cannot be answered in time any more and lends
// slots that time has freed.
func (l *Lender) Tick(now time.Duration) {
	l.expireLoans(now)
	l.review(now)
	l.expireRefusals(now)
}

// NextTick returns how long the state stays as it is without events.
func (l *Lender) NextTick() time.Duration {
	if l.queued > 0 {
		return tickWaiting
	}
	return tickIdle
}

const (
	tickWaiting = 10 * time.Millisecond  // a tenth of the shortest objective of the sites
	tickIdle    = 200 * time.Millisecond // bounds how late a lost loan is noticed
	// loanSlack is how long after its deadline a loan is taken for lost: the
	// VM that had it is gone.
	loanSlack = 500 * time.Millisecond
)

func (l *Lender) expireLoans(now time.Duration) {
	for id, n := range l.lent {
		if now > n.Deadline+loanSlack {
			l.finish(id, n)
		}
	}
}

func (l *Lender) finish(id uint64, n *loan) {
	delete(l.lent, id)
	n.target.inFlight--
	if n.target.inFlight == 0 && !n.target.usable && l.targets[n.target.ID] == n.target {
		l.drop(n.target.ID, n.target)
	}
}

// Return ends a loan.
func (l *Lender) Return(now time.Duration, u Usage) {
	n, ok := l.lent[u.ID]
	if !ok {
		return // the loan had expired, or the lender is new
	}
	l.finish(u.ID, n)
	l.learn(now, n, u)
	l.dispatch(now, n.target)
}

// Loan returns the key and the target of a request that was lent a slot.
func (l *Lender) Loan(id uint64) (key int, target string, ok bool) {
	n, ok := l.lent[id]
	if !ok {
		return 0, "", false
	}
	return n.Key, n.target.ID, true
}
