package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
)

const (
	// maxWaitShare is the share of the time from arrival to deadline up to which
	// a request may wait for its answer if its objective is earlier. A request
	// that would be answered later is refused, so that the caller can retry while
	// it still has time.
	maxWaitShare = 0.6
	// refusalTTL is how long a refused request is recognised when it is retried:
	// callers wait at most a third of their time before a retry.
	refusalTTL            = 2 * time.Second
	maxRememberedRefusals = 4096 // entries of Lender.recentRefusals
	// minRetryAfter and maxRetryAfter bound RetryAfter, before jitter. The longest
	// is beyond the deadlines of all routes, so that a caller that cannot be served
	// before its deadline is not asked to retry only to be refused again.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryJitter is the largest random extension of RetryAfter, as a share of
	// it. It keeps callers that were refused together from retrying together.
	retryJitter = 0.5
	// ownerWaitTimeout is how long a request waits while its key is moving. A
	// planned move of a key takes about as long as one request.
	ownerWaitTimeout = 250 * time.Millisecond
)

// refusal records a refused write (a request that is not idempotent), so that its
// retry keeps its place in the queue. Idempotent requests are not recorded: a read
// has the same fingerprint as reads of the same thing by other callers, and cannot
// be told from them.
type refusal struct {
	queuedSince time.Duration
	refusedAt   time.Duration
}

// queue holds requests sorted by priority, then by queuedSince.
type queue []*Request

func (q *queue) add(r *Request) {
	i, _ := slices.BinarySearchFunc(*q, r, compareRequests)
	for i < len(*q) && compareRequests((*q)[i], r) <= 0 {
		i++
	}
	*q = slices.Insert(*q, i, r)
}

func (q *queue) remove(i int) { *q = slices.Delete(*q, i, i+1) }

func compareRequests(a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return cmp.Compare(a.queuedSince, b.queuedSince)
}

// next returns the index of the request to serve first, or -1 if none may be served.
// Within the most urgent priority, this is the first request that can still meet its
// objective, or else the first request. A suspect (a request that was in flight when
// a target crashed) is skipped while an equal request is in flight.
func (q queue) next(now time.Duration, l *Lender) int {
	first := -1
	for i, r := range q {
		if first >= 0 && r.Priority != q[first].Priority {
			break
		}
		if l.suspects.Check(now, r.Fingerprint) == quarantine.RunAlone && l.fingerprintInFlight(r.Fingerprint) {
			continue
		}
		if l.canMeetObjective(now, r) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// workAhead sums the expected work of the requests that are served before r.
// Requests that can no longer meet their objective are served after those of
// the same priority that can.
func (q queue) workAhead(now time.Duration, r *Request, l *Lender) time.Duration {
	var sum time.Duration
	meetsObjective := l.canMeetObjective(now, r)
	for _, w := range q {
		if w.Priority > r.Priority {
			break
		}
		if w != r && (!meetsObjective || w.Priority < r.Priority || l.canMeetObjective(now, w)) {
			sum += l.expectedWork(w.Route)
		}
	}
	return sum
}

// canMeetObjective reports whether a request could meet its objective if it
// were sent now.
func (l *Lender) canMeetObjective(now time.Duration, r *Request) bool {
	return now+l.expectedWork(r.Route) <= r.Objective
}

// unavailableReason says why requests for the keys of a target that is not available are
// refused.
func (t *target) unavailableReason(now time.Duration) Reason {
	if t.leaves(now) {
		return Leaving
	}
	return NoOwner
}

// admit decides whether a request is refused at once, and returns the refusal.
// A request is refused if the lender does not know its targets yet, if equal
// requests crashed targets, if it is a retry and the retry budget is used up, if
// no target for it is available, or if it would be answered after its
// answerCutoff. admit also sets queuedSince.
func (l *Lender) admit(now time.Duration, r *Request) (Decision, bool) {
	if !l.targetsSet {
		return Decision{Reason: NotStarted, RetryAfter: minRetryAfter}, true
	}
	if l.suspects.Check(now, r.Fingerprint) == quarantine.Refused {
		return Decision{Reason: Quarantined, RetryAfter: maxRetryAfter}, true
	}
	if !r.Retry {
		l.budget.Request(now)
	} else if !l.budget.Allow(now) {
		return Decision{Reason: NoBudget, RetryAfter: minRetryAfter}, true
	}
	r.queuedSince = r.Arrived
	if earlier, refusedBefore := l.recentRefusals[r.Fingerprint]; refusedBefore && !r.Idempotent {
		r.queuedSince = min(r.queuedSince, earlier.queuedSince)
	}
	wait, reason := l.expectedWait(now, r)
	if reason != "" {
		return Decision{Reason: reason, RetryAfter: wait}, true
	}
	done := now + wait + l.expectedWork(r.Route)
	if done > l.answerCutoff(r) && !(l.local != nil && wait == 0 && done <= r.Deadline) {
		return Decision{Reason: Overload, RetryAfter: wait}, true
	}
	return Decision{}, false
}

// answerCutoff is the latest expected end of a request that may wait in the
// queue: its objective, or maxWaitShare of the time to its deadline if that is
// later.
func (l *Lender) answerCutoff(r *Request) time.Duration {
	return max(r.Objective, r.Arrived+time.Duration(maxWaitShare*float64(r.Deadline-r.Arrived)))
}

// expectedWait estimates the time until a slot is free for a request, from the
// work that is served before it and the slots that it may use. If no target for it
// is available, it returns the reason and the RetryAfter instead.
func (l *Lender) expectedWait(now time.Duration, r *Request) (time.Duration, Reason) {
	if r.Key != NoKey {
		return l.expectedOwnerWait(now, r)
	}
	var slots float64
	free, leaving := false, false
	for _, t := range l.targetList {
		if !t.available(now) {
			leaving = leaving || t.usable && t.leaves(now)
			continue
		}
		slots += float64(l.slotsOf(now, t)) / t.slowness.usually()
		free = free || l.hasRoom(now, t)
	}
	if slots == 0 && leaving {
		return minRetryAfter, Leaving
	}
	if slots == 0 {
		return minRetryAfter, NoTarget
	}
	ahead := l.sharedQueue.workAhead(now, r, l)
	if ahead == 0 && free {
		return 0, ""
	}
	return max(time.Duration(float64(ahead+l.expectedWork(r.Route))/slots), l.localWait(now, nil)), ""
}

// expectedOwnerWait is expectedWait for a request whose key binds it to one
// target.
func (l *Lender) expectedOwnerWait(now time.Duration, r *Request) (time.Duration, Reason) {
	t, state := l.ownerOf(now, r.Key)
	switch {
	case state == Lost:
		if wait := l.owner(now, r.Key).Wait; now+wait+l.expectedWork(r.Route) > l.answerCutoff(r) {
			return wait, NoOwner
		}
		return 0, ""
	case state == Moving:
		return 0, "" // the queue bounds the wait by ownerWaitTimeout
	case !t.available(now):
		return ownerWaitTimeout, t.unavailableReason(now)
	}
	ahead := t.queue.workAhead(now, r, l)
	if ahead == 0 && l.hasRoom(now, t) {
		return 0, ""
	}
	slots := max(1, l.slotsOf(now, t))
	return max(time.Duration(float64(ahead+l.expectedWork(r.Route))*t.slowness.usually()/float64(slots)), l.localWait(now, t)), ""
}

// enqueue puts a request into the queue of the owner of its key, or into the
// shared queue if it has no key or the key has no owner.
func (l *Lender) enqueue(now time.Duration, r *Request) {
	l.queued++
	if r.Key != NoKey {
		if t, state := l.ownerOf(now, r.Key); state == Held {
			t.queue.add(r)
			return
		}
	}
	l.sharedQueue.add(r)
}

// dispatch lends free slots. The requests that are bound by key to the target
// that freed a slot come before those of the shared queue.
func (l *Lender) dispatch(now time.Duration, freed *target) {
	if l.queued == 0 {
		return
	}
	if freed != nil && len(freed.queue) > 0 {
		l.serve(now, &freed.queue)
	}
	l.serve(now, &l.sharedQueue)
}

// serve lends slots to the requests of a queue until no slot is free for the
// next one.
func (l *Lender) serve(now time.Duration, q *queue) {
	for len(*q) > 0 {
		i := q.next(now, l)
		if i < 0 {
			return
		}
		r := (*q)[i]
		t := l.choose(now, r)
		if t == nil {
			if i, t = l.nextElsewhere(now, q, r); t == nil {
				return
			}
			r = (*q)[i]
		}
		l.lendSlot(now, r, t)
		q.remove(i)
		l.queued--
	}
}

// recheckQueues refuses the waiting requests that can no longer be answered in
// time, moves those whose key has a new owner to that owner's queue, and lends
// free slots.
func (l *Lender) recheckQueues(now time.Duration) {
	if l.queued == 0 {
		return
	}
	l.recheckQueue(now, &l.sharedQueue, nil)
	for _, t := range l.targetList {
		if len(t.queue) > 0 {
			l.recheckQueue(now, &t.queue, t)
		}
	}
	l.serve(now, &l.sharedQueue)
	for _, t := range l.targetList {
		if len(t.queue) > 0 {
			l.serve(now, &t.queue)
		}
	}
}

// recheckQueue rechecks the requests of one queue: that of owner, or the shared
// one if owner is nil.
func (l *Lender) recheckQueue(now time.Duration, q *queue, owner *target) {
	var moved []*Request
	var late []*Request
	*q = slices.DeleteFunc(*q, func(r *Request) bool {
		if l.refuseIfUnservable(now, r) {
			l.queued--
			return true
		}
		if !r.missedObjective && !l.canMeetObjective(now, r) {
			r.missedObjective = true
			late = append(late, r)
		}
		if r.Key == NoKey {
			return false
		}
		if t, state := l.ownerOf(now, r.Key); state == Held && t != owner || state != Held && owner != nil {
			moved = append(moved, r)
			return true
		}
		return false
	})
	for _, r := range moved {
		l.queued--
		l.enqueue(now, r)
	}
	for _, r := range late {
		l.refuseIfLate(now, q, r)
	}
}

// refuseIfLate refuses, with Overload, a request that can no longer meet its
// objective if the requests served before it delay it beyond its answerCutoff, or
// if no target for it is available.
func (l *Lender) refuseIfLate(now time.Duration, q *queue, r *Request) {
	i := slices.Index(*q, r)
	if i < 0 {
		return
	}
	wait, reason := l.expectedWait(now, r)
	if reason != "" || now+wait+l.expectedWork(r.Route) > l.answerCutoff(r) {
		q.remove(i)
		l.queued--
		l.refuse(now, r, Decision{Reason: Overload, RetryAfter: wait})
	}
}

// refuseIfUnservable refuses a request that cannot be answered before its
// deadline. It also refuses a request whose key's owner is not available, whose
// key is still moving ownerWaitTimeout after the request arrived, or whose key is
// lost for too long to meet the answerCutoff. It reports whether it did.
func (l *Lender) refuseIfUnservable(now time.Duration, r *Request) bool {
	if now+l.expectedWork(r.Route) > r.Deadline {
		l.refuse(now, r, Decision{Reason: Expired, RetryAfter: minRetryAfter})
		return true
	}
	if r.Key == NoKey {
		return false
	}
	wait, reason := ownerWaitTimeout, NoOwner
	switch t, state := l.ownerOf(now, r.Key); state {
	case Held:
		if t.available(now) {
			return false
		}
		reason = t.unavailableReason(now)
	case Moving:
		if now <= r.Arrived+ownerWaitTimeout {
			return false
		}
	case Lost:
		if wait = l.owner(now, r.Key).Wait; now+wait+l.expectedWork(r.Route) <= l.answerCutoff(r) {
			return false
		}
	}
	l.refuse(now, r, Decision{Reason: reason, RetryAfter: wait})
	return true
}

// lendSlot grants a request a lease on a slot of a target.
func (l *Lender) lendSlot(now time.Duration, r *Request, t *target) {
	t.takeSlot(now)
	l.spillover.noteLent(now, r, t)
	l.takeLocal(now, t)
	l.lentCount++
	l.leases[r.ID] = &slotLease{Request: *r, target: t, sentAt: now}
	l.decisions = append(l.decisions, Decision{ID: r.ID, Lent: true, Target: t.ID, Address: t.Address, Life: t.Life, Waited: now - r.Arrived})
}

// fingerprintInFlight reports whether a request with a fingerprint holds a slot.
func (l *Lender) fingerprintInFlight(fp quarantine.Fingerprint) bool {
	for _, lease := range l.leases {
		if lease.Fingerprint == fp {
			return true
		}
	}
	return false
}

// refuse refuses a request, with jitter on its RetryAfter, and remembers a write so
// that its retry keeps its place in the queue.
func (l *Lender) refuse(now time.Duration, r *Request, d Decision) {
	d.ID, d.Waited = r.ID, now-r.Arrived
	d.RetryAfter = min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	d.RetryAfter += time.Duration(retryJitter * l.rng.Float64() * float64(d.RetryAfter))
	l.decisions = append(l.decisions, d)
	l.refusedCount[d.Reason]++
	if len(l.recentRefusals) < maxRememberedRefusals && !r.Idempotent && r.Fingerprint != 0 {
		l.recentRefusals[r.Fingerprint] = refusal{queuedSince: r.queuedSince, refusedAt: now}
	}
}

func (l *Lender) expireRefusals(now time.Duration) {
	for fp, r := range l.recentRefusals {
		if now > r.refusedAt+refusalTTL {
			delete(l.recentRefusals, fp)
		}
	}
}
