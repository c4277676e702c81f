package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/quarantine"
)

const (
	// lateShare is the share of a request's whole time after which an answer
	// is not waited for in the queue. Beyond it, a refusal lets the caller come
	// back while it still has time.
	lateShare = 0.6
	// refusalMemory is how long a refused request is recognised when it comes
	// back: callers wait at most a third of their time.
	refusalMemory = 2 * time.Second
	// maxRefusals bounds the memory of refusals.
	maxRefusals = 4096
	// minRetryAfter is the shortest wait that is asked of a caller.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest wait that is asked of a caller: beyond the
	// deadlines of all routes, so that a caller that cannot be served in its time
	// is not asked to come back for another refusal.
	maxRetryAfter = 5 * time.Second
	// retrySpread keeps callers that were refused together from returning together.
	retrySpread = 0.5
	// ownerWait is how long a request waits for an owner of its key: planned
	// moves take about as long as one request.
	ownerWait = 250 * time.Millisecond
)

// refusal remembers a write that was told to come back: it keeps its place. A
// read cannot be told from those of other callers for the same thing.
type refusal struct {
	since time.Duration
	at    time.Duration
}

// queue holds requests by priority, then by the time since when they wait.
type queue []*Request

func (q *queue) add(r *Request) {
	i, _ := slices.BinarySearchFunc(*q, r, before)
	for i < len(*q) && before((*q)[i], r) <= 0 {
		i++
	}
	*q = slices.Insert(*q, i, r)
}

func (q *queue) remove(i int) { *q = slices.Delete(*q, i, i+1) }

func before(a, b *Request) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return cmp.Compare(a.since, b.since)
}

// next returns the place of the request to serve first: the first one that can
// still meet its objective, or else the first one. Suspects that have to run
// alone are passed over. It returns -1 if none may be served.
func (q queue) next(now time.Duration, l *Lender) int {
	first := -1
	for i, r := range q {
		if first >= 0 && r.Priority != q[first].Priority {
			break
		}
		if l.crashes.Check(now, r.Print) == quarantine.Alone && l.printInFlight(r.Print) {
			continue
		}
		if l.inTime(now, r) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// workAhead sums the expected work of the requests that go before one. Requests
// that have missed their objective let those pass that can still meet theirs.
func (q queue) workAhead(now time.Duration, r *Request, l *Lender) time.Duration {
	var sum time.Duration
	inTime := l.inTime(now, r)
	for _, w := range q {
		if w.Priority > r.Priority {
			break
		}
		if w != r && (!inTime || w.Priority < r.Priority || l.inTime(now, w)) {
			sum += l.expectedWork(w.Route)
		}
	}
	return sum
}

// inTime tells whether a request could meet its objective if it were sent now.
func (l *Lender) inTime(now time.Duration, r *Request) bool {
	return now+l.expectedWork(r.Route) <= r.Objective
}

// admit refuses a request that cannot be answered in time.
func (l *Lender) admit(now time.Duration, r *Request) (Decision, bool) {
	if !l.started {
		return Decision{Reason: NotStarted, RetryAfter: minRetryAfter}, true
	}
	if l.crashes.Check(now, r.Print) == quarantine.Refused {
		return Decision{Reason: Suspect, RetryAfter: maxRetryAfter}, true
	}
	if !r.Repeat {
		l.budget.Request(now)
	} else if !l.budget.Allow(now) {
		return Decision{Reason: NoBudget, RetryAfter: minRetryAfter}, true
	}
	r.since = r.Arrived
	if earlier, back := l.refused[r.Print]; back && !r.Idempotent {
		r.since = min(r.since, earlier.since)
	}
	wait, reason := l.expectedWait(now, r)
	if reason != "" {
		return Decision{Reason: reason, RetryAfter: wait}, true
	}
	done := now + wait + l.expectedWork(r.Route)
	if done > l.patience(r) {
		return Decision{Reason: Overload, RetryAfter: wait}, true
	}
	return Decision{}, false
}

// patience is the point in time up to which an answer is worth a place in the
// queue: the objective, or a share of the whole time if that is later.
func (l *Lender) patience(r *Request) time.Duration {
	return max(r.Objective, r.Arrived+time.Duration(lateShare*float64(r.Deadline-r.Arrived)))
}

// expectedWait estimates the time until a slot is free for a request, from the
// work that goes before it and the slots that it may use.
func (l *Lender) expectedWait(now time.Duration, r *Request) (time.Duration, Reason) {
	if r.Key != NoKey {
		return l.ownerBacklog(now, r)
	}
	var slots float64
	free := false
	for _, t := range l.targets {
		if !t.available(now) {
			continue
		}
		slots += float64(l.slotsOf(now, t)) / t.slowness
		free = free || l.hasRoom(now, t)
	}
	if slots == 0 {
		return minRetryAfter, NoTarget
	}
	ahead := l.waiting.workAhead(now, r, l)
	if ahead == 0 && free {
		return 0, ""
	}
	return time.Duration(float64(ahead+l.expectedWork(r.Route)) / slots), ""
}

func (l *Lender) ownerBacklog(now time.Duration, r *Request) (time.Duration, Reason) {
	t, state := l.ownerOf(now, r.Key)
	switch {
	case state == Lost:
		if wait := l.owner(now, r.Key).Wait; now+wait+l.expectedWork(r.Route) > l.patience(r) {
			return wait, NoOwner
		}
		return 0, ""
	case state == Moving:
		return 0, "" // the queue bounds the wait
	case !t.available(now):
		return ownerWait, NoOwner
	}
	ahead := t.queue.workAhead(now, r, l)
	if ahead == 0 && l.hasRoom(now, t) {
		return 0, ""
	}
	slots := max(1, l.slotsOf(now, t))
	return time.Duration(float64(ahead+l.expectedWork(r.Route)) * t.slowness / float64(slots)), ""
}

// enqueue puts a request into the queue of the owner of its key, or into the
// common one.
func (l *Lender) enqueue(now time.Duration, r *Request) {
	l.queued++
	if r.Key != NoKey {
		if t, state := l.ownerOf(now, r.Key); state == Held {
			t.queue.add(r)
			return
		}
	}
	l.waiting.add(r)
}

// dispatch lends free slots: first those of a target to the requests that its
// keys bind to it.
func (l *Lender) dispatch(now time.Duration, freed *target) {
	if l.queued == 0 {
		return
	}
	if freed != nil && len(freed.queue) > 0 {
		l.serve(now, &freed.queue)
	}
	l.serve(now, &l.waiting)
}

// serve lends slots to the requests of a queue until none is free.
func (l *Lender) serve(now time.Duration, q *queue) {
	for len(*q) > 0 {
		i := q.next(now, l)
		if i < 0 {
			return
		}
		r := (*q)[i]
		t := l.choose(now, r)
		if t == nil {
			return
		}
		l.lend(now, r, t)
		q.remove(i)
		l.queued--
	}
}

// review refuses the waiting requests that cannot be answered in time and
// moves those whose key has another owner now.
func (l *Lender) review(now time.Duration) {
	if l.queued == 0 {
		return
	}
	l.reviewQueue(now, &l.waiting, nil)
	for _, t := range l.targets {
		if len(t.queue) > 0 {
			l.reviewQueue(now, &t.queue, t)
		}
	}
	l.serve(now, &l.waiting)
	for _, t := range l.targets {
		if len(t.queue) > 0 {
			l.serve(now, &t.queue)
		}
	}
}

func (l *Lender) reviewQueue(now time.Duration, q *queue, at *target) {
	var moved []*Request
	var missed []*Request
	*q = slices.DeleteFunc(*q, func(r *Request) bool {
		if l.expired(now, r) {
			l.queued--
			return true
		}
		if !r.missed && !l.inTime(now, r) {
			r.missed = true
			missed = append(missed, r)
		}
		if r.Key == NoKey {
			return false
		}
		if t, state := l.ownerOf(now, r.Key); state == Held && t != at || state != Held && at != nil {
			moved = append(moved, r)
			return true
		}
		return false
	})
	for _, r := range moved {
		l.queued--
		l.enqueue(now, r)
	}
	for _, r := range missed {
		l.reconsider(now, q, r)
	}
}

// reconsider refuses a request that has missed its objective in the queue if
// those before it leave it no chance.
func (l *Lender) reconsider(now time.Duration, q *queue, r *Request) {
	i := slices.Index(*q, r)
	if i < 0 {
		return
	}
	wait, reason := l.expectedWait(now, r)
	if reason != "" || now+wait+l.expectedWork(r.Route) > l.patience(r) {
		q.remove(i)
		l.queued--
		l.refuse(now, r, Decision{Reason: Overload, RetryAfter: wait})
	}
}

// expired refuses a request that cannot be answered in time, or whose key has
// had no owner for too long.
func (l *Lender) expired(now time.Duration, r *Request) bool {
	if now+l.expectedWork(r.Route) > r.Deadline {
		l.refuse(now, r, Decision{Reason: Expired, RetryAfter: minRetryAfter})
		return true
	}
	if r.Key == NoKey {
		return false
	}
	wait := ownerWait
	switch t, state := l.ownerOf(now, r.Key); state {
	case Held:
		if t.available(now) {
			return false
		}
	case Moving:
		if now <= r.Arrived+ownerWait {
			return false
		}
	case Lost:
		if wait = l.owner(now, r.Key).Wait; now+wait+l.expectedWork(r.Route) <= l.patience(r) {
			return false
		}
	}
	l.refuse(now, r, Decision{Reason: NoOwner, RetryAfter: wait})
	return true
}

func (l *Lender) lend(now time.Duration, r *Request, t *target) {
	t.lend(now)
	l.lentCount++
	l.lent[r.ID] = &loan{Request: *r, target: t, sent: now}
	l.out = append(l.out, Decision{ID: r.ID, Lent: true, Target: t.ID, Address: t.Address, Waited: now - r.Arrived})
}

func (l *Lender) printInFlight(p quarantine.Fingerprint) bool {
	for _, n := range l.lent {
		if n.Print == p {
			return true
		}
	}
	return false
}

func (l *Lender) refuse(now time.Duration, r *Request, d Decision) {
	d.ID, d.Waited = r.ID, now-r.Arrived
	d.RetryAfter = min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	d.RetryAfter += time.Duration(retrySpread * l.rng.Float64() * float64(d.RetryAfter))
	l.out = append(l.out, d)
	l.refusedCount[d.Reason]++
	if len(l.refused) < maxRefusals && !r.Idempotent && r.Print != 0 {
		l.refused[r.Print] = refusal{since: r.since, at: now}
	}
}

func (l *Lender) expireRefusals(now time.Duration) {
	for p, r := range l.refused {
		if now > r.at+refusalMemory {
			delete(l.refused, p)
		}
	}
}
