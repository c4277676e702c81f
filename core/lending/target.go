package lending

import (
	"math"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
)

const (
	// defaultWork is the expected work of a route without any answer yet.
	defaultWork = 80 * time.Millisecond // near the mean work of the deployments' kinds of requests
	// failureWeight is the weight of a new sample in the moving average of failures.
	failureWeight = 0.15
	// crossDataCentreCost is added to the expected time at a target in another
	// data centre, so that requests stay in their data centre where the times are
	// about equal. Config.Spillover replaces it by a measured cost.
	crossDataCentreCost = 8 * time.Millisecond
	// connectCost is added to the expected time if a connection has to be opened:
	// targets accept few connections, and a new one occupies a slot for a while.
	connectCost = 12 * time.Millisecond
	// idleConnectionTTL is about how long VMs keep idle connections.
	idleConnectionTTL = 8 * time.Second
	// failureCost is the weight of a target's failure rate in its expected time,
	// and the factor on the expected time at the target that a request avoids.
	failureCost = 4.0
	// minBackoff and maxBackoff bound the exponential backoff after a target
	// could not be reached.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// coldRateShare is the share of a cold target's rate that is used, to stay
	// below what the target can bear.
	coldRateShare = 0.9
	coldBurst     = 2.0 // requests that the token bucket of a cold target holds
	coldSlots     = 2   // the most requests in flight at a cold target, where work takes longer
	// crashWindow is how long after a broken connection the end of the target's
	// process is attributed to the request on that connection.
	crashWindow = 1500 * time.Millisecond
	// shedPause is how long a target that reported that it was full gets no
	// requests: about half of a request's work.
	shedPause = 50 * time.Millisecond
)

// target is the lender's state of one target.
type target struct {
	TargetInfo
	known, usable  bool // known: was in a set of SetTargets; usable: is in the present set
	inFlight       int
	slowness       slownessEstimate
	failureRate    float64       // share of failed requests, 0 to 1
	backoffUntil   time.Duration // no requests until then: it could not be reached
	fullUntil      time.Duration // no requests until then: it reported that it was full
	backoff        time.Duration // present length of the backoff
	tokens         float64       // of the token bucket that limits the rate while cold
	tokensAt       time.Duration
	brokenRequests []brokenRequest // requests whose connections broke, kept until reportCrash
	queue          queue           // requests for keys that the target owns
	// lastAnswer is when each VM last got an answer from the target: the VM may
	// still have an idle connection to it.
	lastAnswer map[string]time.Duration
}

// brokenRequest is a request whose connection ended without an answer.
type brokenRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Duration
}

// routeStats holds the means of the work of a route's requests at a target of average
// speed, and of the logarithm of its seconds.
type routeStats struct {
	work    time.Duration
	logWork float64
}

func newRouteStats(work time.Duration) *routeStats {
	return &routeStats{work: work, logWork: math.Log(work.Seconds())}
}

func newTarget(now time.Duration, info TargetInfo) *target {
	return &target{TargetInfo: info, slowness: newSlownessEstimate(), tokensAt: now, lastAnswer: map[string]time.Duration{}}
}

func (l *Lender) expectedWork(route string) time.Duration {
	if l.lastStats != nil && route == l.lastRoute {
		return l.lastStats.work
	}
	if s := l.routes[route]; s != nil {
		l.lastRoute, l.lastStats = route, s
		return s.work
	}
	return defaultWork
}

// ownerOf returns the target that owns a key, or nil and the state of the key.
func (l *Lender) ownerOf(now time.Duration, key int) (*target, OwnerState) {
	o := l.owner(now, key)
	if o.State != Held {
		return nil, o.State
	}
	t := l.targets[o.Target]
	if t == nil || !t.usable {
		return nil, Moving // the target was removed, and its keys are about to be moved
	}
	return t, Held
}

// available reports whether a target is usable, does not leave and is not in backoff. It
// may still have no free slot.
func (t *target) available(now time.Duration) bool {
	return t.usable && now >= t.backoffUntil && !t.leaves(now)
}

// leaves reports whether a target gets no more requests because it leaves.
func (t *target) leaves(now time.Duration) bool { return t.Leaving && now >= t.KeysUntil }

// cold reports whether a target has to be sent few requests, because it has not
// warmed up yet.
func (t *target) cold(now time.Duration) bool { return now < t.ColdUntil }

// slotsOf returns the number of requests that may be in flight at a target now.
func (l *Lender) slotsOf(now time.Duration, t *target) int {
	slots := t.Slots
	if l.local != nil {
		slots = min(slots, l.localSlots(now, t))
	}
	if t.cold(now) {
		slots = min(slots, coldSlots)
	}
	return slots
}

// hasRoom reports whether one more request may be sent to a target now.
func (l *Lender) hasRoom(now time.Duration, t *target) bool {
	if t.inFlight >= l.slotsOf(now, t) || now < t.fullUntil || !l.localAllows(now, t) {
		return false
	}
	if !t.cold(now) {
		return true
	}
	t.refill(now)
	return t.tokens >= 1
}

// refill adds the tokens that a cold target has earned since the last refill.
func (t *target) refill(now time.Duration) {
	t.tokens = min(coldBurst, t.tokens+coldRateShare*t.ColdRate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
}

// takeSlot counts a request that is sent to the target. While the target is cold, it
// also takes a token.
func (t *target) takeSlot(now time.Duration) {
	if t.cold(now) {
		t.refill(now)
		t.tokens--
	}
	t.inFlight++
}

// choose returns the target with the least expectedTime for a request, or nil if
// none has a free slot. For a request with a key, only the key's owner counts.
func (l *Lender) choose(now time.Duration, r *Request) *target {
	if r.Key != NoKey {
		t, state := l.ownerOf(now, r.Key)
		if state != Held || !t.available(now) || !l.hasRoom(now, t) {
			return nil
		}
		return t
	}
	if l.spillover != nil {
		return l.chooseByShares(now, r)
	}
	best, _ := l.bestOf(now, r, func(*target) bool { return true })
	return best
}

// bestOf returns the target with the least expectedTime for a request among those with
// a free slot that a condition admits, or nil.
func (l *Lender) bestOf(now time.Duration, r *Request, admits func(*target) bool) (best *target, bestTime float64) {
	for _, t := range l.targetList {
		if !t.available(now) || !l.hasRoom(now, t) || !admits(t) {
			continue
		}
		expected := l.expectedTime(now, r, t)
		if best == nil || expected < bestTime || (expected == bestTime && t.ID < best.ID) {
			best, bestTime = t, expected
		}
	}
	return best, bestTime
}

// expectedTime returns the time in nanoseconds that a request is expected to take at
// a target, including the penalties that steer requests to other targets.
func (l *Lender) expectedTime(now time.Duration, r *Request, t *target) float64 {
	cost := float64(l.expectedWork(r.Route)) * t.slowness.usually() * t.slowness.excessNow(now) * (1 + failureCost*t.failureRate)
	cost += float64(l.crossCost(r, t))
	if last, ok := t.lastAnswer[r.VM]; !ok || now > last+idleConnectionTTL {
		cost += float64(connectCost)
	}
	if t.ID == r.Avoid {
		cost *= failureCost
	}
	return cost * t.crowding()
}

// crowding is the factor by which the requests in flight at a target are expected to slow
// down one more.
func (t *target) crowding() float64 { return 1 + 0.1*float64(t.inFlight) }

// recordUsage updates the state of a target from the end of a request.
func (l *Lender) recordUsage(now time.Duration, lease *slotLease, u Usage) {
	t := lease.target
	t.slowness.recordReport(now, u.Load)
	l.spillover.noteUsage(now, l.expectedWork(lease.Route), lease, u)
	switch u.Result {
	case Answered, Failed:
		l.updateWork(lease, u)
		t.backoff = 0
		t.lastAnswer[lease.VM] = now
		t.recordOutcome(u.Result == Failed)
	case Shed:
		t.recordShed(now, u.Load)
	case ConnectionRefused:
		t.backOff(now)
		l.reportCrash(now, t)
	case WrongOwner:
		// For a request without a key, only another process that uses the target's
		// address reports a wrong owner.
		if lease.Key == NoKey {
			t.backOff(now)
			l.reportCrash(now, t)
		}
	case Broken:
		t.recordOutcome(true)
		t.brokenRequests = append(t.brokenRequests, brokenRequest{lease.Fingerprint, now})
	case TimedOut:
		t.recordOutcome(true)
		l.updateWork(lease, u)
	}
}

// recordShed stops requests for shedPause to a target that was full. A target
// that sheds although it reports free slots does so at random: a pause would
// only leave its slots unused.
func (t *target) recordShed(now time.Duration, load *LoadReport) {
	if load == nil || load.Running >= load.Slots {
		t.fullUntil = now + shedPause
	}
}

// backOff stops requests to a target that could not be reached, for twice as
// long as the last time.
func (t *target) backOff(now time.Duration) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now + t.backoff
}

// recordOutcome adds a sample to the target's failure rate.
func (t *target) recordOutcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureRate += failureWeight * (sample - t.failureRate)
}

// updateWork adds the duration of a request to the averages of its target and
// its route.
func (l *Lender) updateWork(lease *slotLease, u Usage) {
	if u.Took <= 0 {
		return
	}
	s := l.routes[lease.Route]
	if s == nil {
		s = newRouteStats(defaultWork)
		l.routes[lease.Route] = s
	}
	e, took := &lease.target.slowness, u.Took.Seconds()
	e.recordTime(took, s.work.Seconds(), s.logWork)
	took /= e.usually()
	s.work += time.Duration(workWeight * (took*float64(time.Second) - float64(s.work)))
	s.logWork += workWeight * (math.Log(took) - s.logWork)
}

// reportCrash attributes the end of a target's process to the requests whose
// connections broke within crashWindow.
func (l *Lender) reportCrash(now time.Duration, t *target) {
	var fingerprints []quarantine.Fingerprint
	for _, b := range t.brokenRequests {
		if now <= b.at+crashWindow && b.fingerprint != 0 {
			fingerprints = append(fingerprints, b.fingerprint)
		}
	}
	t.brokenRequests = nil
	if len(fingerprints) > 0 {
		l.suspects.Crashed(now, t.ID, time.Duration(t.Life).String(), fingerprints)
	}
}
