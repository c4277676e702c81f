package lending

import "time"

const (
	// pauseThreshold is the time without a run from which on a process counts as paused.
	// A leader runs every 200 ms or more often.
	pauseThreshold = 400 * time.Millisecond
	// giveUpMargin is how much longer than the time after which VMs give a silent leader up
	// a pause has to be before all of them count as having done so. It covers the interval
	// at which they check, 100 ms, and the way of an answer.
	giveUpMargin = 200 * time.Millisecond
	// maxRunGap is the time between two runs of a Lender with waiting requests from which on
	// it looks for expired ones before it decides on others. It runs every 10 ms then.
	maxRunGap = 50 * time.Millisecond
)

// Pauses tells which requests a leader should not decide on because they were sent while
// its process did not run, for example because it had used up its processor time. Such
// requests arrive all at once when it runs again. The VMs that sent them have given them
// up, and slots that are lent to them stay unused until the VMs have returned them.
type Pauses struct {
	ranAt               time.Duration
	pausedAt, resumedAt time.Duration // of the last pause
}

// Ran records that the process runs. It has to be called more often than pauseThreshold.
func (p *Pauses) Ran(now time.Duration) {
	if p.ranAt > 0 && now-p.ranAt > pauseThreshold {
		p.pausedAt, p.resumedAt = p.ranAt, now
	}
	p.ranAt = max(p.ranAt, now)
}

// Unread returns for how long a request that was sent at a time was not read because of the
// last pause. abandoned is set if its sender, which gives a silent leader up after giveUp,
// does not wait for it any more. sentAt may be somewhat too early.
func (p *Pauses) Unread(now, sentAt, giveUp time.Duration) (unread time.Duration, abandoned bool) {
	if sentAt <= 0 || sentAt >= p.resumedAt {
		return 0, false
	}
	long := p.resumedAt-p.pausedAt >= giveUp+giveUpMargin
	return max(0, now-sentAt), long && sentAt < p.pausedAt+giveUp
}

// noteRun is called before the lender decides on anything. After a gap it refuses the
// waiting requests that expired meanwhile, so that none of them is lent a slot or delays the
// decision on another request.
func (l *Lender) noteRun(now time.Duration) {
	gap := now - l.ranAt
	l.ranAt = max(l.ranAt, now)
	if gap <= maxRunGap || l.queued == 0 {
		return
	}
	l.dropExpired(now, gap, &l.sharedQueue)
	for _, t := range l.targetList {
		l.dropExpired(now, gap, &t.queue)
	}
}

// dropExpired refuses the requests of a queue that can no longer be answered before their
// deadline, or that their VMs gave up while this lender did not run.
func (l *Lender) dropExpired(now, gap time.Duration, q *queue) {
	kept := (*q)[:0]
	for _, r := range *q {
		if now+l.expectedWork(r.Route) > r.Deadline || r.GiveUp > 0 && gap >= r.GiveUp+giveUpMargin {
			l.queued--
			l.expiredInPauses++
			l.refuse(now, r, Decision{Reason: Expired, RetryAfter: minRetryAfter})
			continue
		}
		kept = append(kept, r)
	}
	clear((*q)[len(kept):])
	*q = kept
}

// TakeExpiredInPauses returns the number of requests since the last call that were refused
// because they expired while the lender did not run.
func (l *Lender) TakeExpiredInPauses() int {
	n := l.expiredInPauses
	l.expiredInPauses = 0
	return n
}
