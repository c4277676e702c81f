package lending

import (
	"math"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
)

const (
	// workGuess is the expected work of a route that was never answered.
	workGuess = 80 * time.Millisecond // near the mean of the sites' kinds
	// workWeight and slownessWeight weigh a new sample in the running means.
	workWeight     = 0.05 // work varies by a factor of several between requests
	slownessWeight = 0.12 // a slow target shows within about eight answers
	failWeight     = 0.15
	// overdue is the multiple of the expected work at which a request that
	// still runs counts as a sign that its target is slow.
	overdue = 4.0
	// crossingCost is added to the expected time at a target in another data
	// centre, so that bytes stay in their data centre where times are alike.
	crossingCost = 8 * time.Millisecond
	// openCost is added to the expected time where a connection has to be
	// opened: targets accept few of them, and a new one takes a slot for a while.
	openCost = 12 * time.Millisecond
	// connectionLife is about how long VMs keep idle connections.
	connectionLife = 8 * time.Second
	// failCost multiplies the expected time at a target that fails requests.
	failCost = 4.0
	// firstAvoidance and maxAvoidance bound how long a target that could not
	// be reached is left alone.
	firstAvoidance = 100 * time.Millisecond
	maxAvoidance   = 2 * time.Second
	// coldShare keeps below the rate that a cold target bears.
	coldShare = 0.9
	coldBurst = 2.0 // requests
	coldSlots = 2   // work takes longer at a cold target
	// crashMemory is how long after a broken connection the end of its target
	// is put down to the requests that it ran.
	crashMemory = 1500 * time.Millisecond
	// maxSlowness bounds the learned slowness, so that it is unlearned soon.
	maxSlowness, minSlowness = 12.0, 0.2
	shedPause                = 50 * time.Millisecond // about half of a request's work
	// slowdownLife is how long a target's account of its slowdown counts:
	// neighbours on its machine change several times a second.
	slowdownLife = 300 * time.Millisecond
	// maxSlowdown bounds what a target can say of itself.
	maxSlowdown = 20.0
)

// target is a target with what the lender learned of it.
type target struct {
	TargetInfo
	known, usable bool
	inFlight      int
	slowness      float64       // work here relative to the mean of all targets
	failing       float64       // share of failed requests, 0 to 1
	avoidUntil    time.Duration // could not be reached
	fullUntil     time.Duration // said that it was full
	avoidance     time.Duration
	tokens        float64 // while cold
	tokensAt      time.Duration
	broken        []brokenLoan
	slowdown      float64 // as the target last said, 1 if it works as usual
	slowdownAt    time.Duration
	queue         queue // requests for keys that the target holds
	// answered is when each VM last got an answer: it may still have an idle
	// connection.
	answered map[string]time.Duration
}

type brokenLoan struct {
	print quarantine.Fingerprint
	at    time.Duration
}

// routeStats is the mean work of a route's requests at a target of usual speed.
type routeStats struct{ work time.Duration }

func newTarget(now time.Duration, info TargetInfo) *target {
	return &target{TargetInfo: info, slowness: 1, slowdown: 1, tokensAt: now, answered: map[string]time.Duration{}}
}

func (l *Lender) expectedWork(route string) time.Duration {
	if s := l.routes[route]; s != nil {
		return s.work
	}
	return workGuess
}

// ownerOf returns the target that holds a key, or nil and the key's state.
func (l *Lender) ownerOf(now time.Duration, key int) (*target, OwnerState) {
	o := l.owner(now, key)
	if o.State != Held {
		return nil, o.State
	}
	t := l.targets[o.Target]
	if t == nil || !t.usable {
		return nil, Moving // its keys are about to be moved
	}
	return t, Held
}

// available tells whether requests may be sent to a target at all.
func (t *target) available(now time.Duration) bool { return t.usable && now >= t.avoidUntil }

func (t *target) cold(now time.Duration) bool { return now < t.ColdUntil }

func (l *Lender) slotsOf(now time.Duration, t *target) int {
	slots := t.Slots
	if l.cfg.SlotsPerTarget > 0 {
		slots = min(slots, l.cfg.SlotsPerTarget)
	}
	if t.cold(now) {
		slots = min(slots, coldSlots)
	}
	return slots
}

// hasRoom tells whether a target may be sent one more request now.
func (l *Lender) hasRoom(now time.Duration, t *target) bool {
	if t.inFlight >= l.slotsOf(now, t) || now < t.fullUntil {
		return false
	}
	if !t.cold(now) {
		return true
	}
	t.refill(now)
	return t.tokens >= 1
}

func (t *target) refill(now time.Duration) {
	t.tokens = min(coldBurst, t.tokens+coldShare*t.ColdRate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
}

func (t *target) lend(now time.Duration) {
	if t.cold(now) {
		t.refill(now)
		t.tokens--
	}
	t.inFlight++
}

// choose returns the target at which a request is expected to end first.
func (l *Lender) choose(now time.Duration, r *Request) *target {
	if r.Key != NoKey {
		t, state := l.ownerOf(now, r.Key)
		if state != Held || !t.available(now) || !l.hasRoom(now, t) {
			return nil
		}
		return t
	}
	var best *target
	var bestTime float64
	for _, t := range l.targets {
		if !t.available(now) || !l.hasRoom(now, t) {
			continue
		}
		time := l.expectedTime(now, r, t)
		if best == nil || time < bestTime || (time == bestTime && t.ID < best.ID) {
			best, bestTime = t, time
		}
	}
	return best
}

func (l *Lender) expectedTime(now time.Duration, r *Request, t *target) float64 {
	at := float64(l.expectedWork(r.Route)) * t.slowness * t.slowdownNow(now) * (1 + failCost*t.failing)
	if t.DataCentre != r.DataCentre {
		at += float64(crossingCost)
	}
	if last, ok := t.answered[r.VM]; !ok || now > last+connectionLife {
		at += float64(openCost)
	}
	if t.ID == r.Avoid {
		at *= failCost
	}
	// A target with more requests at work is slower for each of them.
	at *= 1 + 0.1*float64(t.inFlight)
	return at
}

// learn updates what is known of a target from the end of a request.
func (l *Lender) learn(now time.Duration, n *loan, u Usage) {
	t := n.target
	t.noteSlowdown(now, u.Load)
	switch u.Result {
	case Answered, Failed:
		l.learnWork(n, u)
		t.avoidance = 0
		t.answered[n.VM] = now
		t.noteFailure(u.Result == Failed)
	case Shed:
		t.noteShed(now, u.Load)
	case Refused:
		t.avoid(now)
		l.noteCrash(now, t)
	case WrongOwner:
		// Where targets hold no keys, only another process at the address says so.
		if n.Key == NoKey {
			t.avoid(now)
			l.noteCrash(now, t)
		}
	case Broken:
		t.noteFailure(true)
		t.broken = append(t.broken, brokenLoan{n.Print, now})
	case TimedOut:
		t.noteFailure(true)
		l.learnWork(n, u)
	}
}

// noteSlowdown keeps a target's account of how long work takes there now.
func (t *target) noteSlowdown(now time.Duration, load *LoadReport) {
	if load != nil && load.Slowdown > 0 {
		t.slowdown, t.slowdownAt = min(load.Slowdown, maxSlowdown), now
	}
}

// slowdownNow returns the factor by which work takes longer than usual, less as
// the target's account of it gets older.
func (t *target) slowdownNow(now time.Duration) float64 {
	return 1 + (t.slowdown-1)*math.Exp2(-float64(now-t.slowdownAt)/float64(slowdownLife))
}

// noteShed gives a target that was full a pause. One that sheds although it
// reports free slots fails at random; a pause would only waste its slots.
func (t *target) noteShed(now time.Duration, load *LoadReport) {
	if load == nil || load.Running >= load.Slots {
		t.fullUntil = now + shedPause
	}
}

func (t *target) avoid(now time.Duration) {
	t.avoidance = min(max(2*t.avoidance, firstAvoidance), maxAvoidance)
	t.avoidUntil = now + t.avoidance
}

func (t *target) noteFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failing += failWeight * (sample - t.failing)
}

func (l *Lender) learnWork(n *loan, u Usage) {
	if u.Took <= 0 {
		return
	}
	s := l.routes[n.Route]
	if s == nil {
		s = &routeStats{work: workGuess}
		l.routes[n.Route] = s
	}
	t := n.target
	took := float64(u.Took)
	if u.Load != nil && u.Load.Slowdown > 1 {
		took /= min(u.Load.Slowdown, maxSlowdown) // what neighbours cause passes
	}
	ratio := took / float64(s.work)
	t.slowness += slownessWeight * (min(ratio, overdue*t.slowness) - t.slowness)
	t.slowness = min(max(t.slowness, minSlowness), maxSlowness)
	s.work += time.Duration(workWeight * (took/t.slowness - float64(s.work)))
}

// noteCrash puts the end of a target's process down to the requests whose
// connections it broke.
func (l *Lender) noteCrash(now time.Duration, t *target) {
	var prints []quarantine.Fingerprint
	for _, b := range t.broken {
		if now <= b.at+crashMemory && b.print != 0 {
			prints = append(prints, b.print)
		}
	}
	t.broken = nil
	if len(prints) > 0 {
		l.crashes.Crashed(now, t.ID, time.Duration(t.Life).String(), prints)
	}
}
