package lending

import (
	"math"
	"time"
)

const (
	// localHistoryPeriod is the time constant of the rates that a VM remembers. It spans
	// several requests of a VM with 25 requests/s to one of the targets in use, and is short
	// beside the changes of load that callers cause.
	localHistoryPeriod = 2 * time.Second
	// localFloorShare is the share of a target's capacity that all VMs together may use
	// without having used it before. With what they used before, which its capacity bounds,
	// they exceed that by at most this share: half of 4 slots over work of 200 ms is 10
	// requests in a second, which fit into a queue of 16.
	localFloorShare = 0.5
	// localBurstTime is for how long the requests may have waited that a VM sends at once
	// when its leader counts as silent.
	localBurstTime = time.Second
	// minLocalBurst is the least number of requests that a VM may send at once.
	minLocalBurst = 4.0
	// queuePerSlot is how many requests a target holds for each slot, running or waiting, at
	// the least. On small fleets one request of each VM fits.
	queuePerSlot = 4
	// unknownVMs is the number of VMs that are assumed to lend locally at once if their
	// number is unknown: that of the largest deployments.
	unknownVMs = 80
	// forgetInterval is the interval at which targets without recent requests are removed
	// from the history.
	forgetInterval = 30 * time.Second
)

// localShare limits a VM that lends locally to its share of the targets' capacity. All
// VMs may lend locally at once when a leader is lost, and none knows what the others send.
//
// A VM remembers the rate at which the leader lent it slots, in all and of each target.
// What the VMs used of a target together before is within its capacity, so each may go on
// with its own part. Of other targets each may use an equal part of localFloorShare. Both
// are token buckets. The bucket of a target is full while the leader lends the VM what it
// asks for, so that requests that are spread over the targets are sent at once; each refusal
// by the leader takes a token, so that the buckets of targets with hot keys are empty. A
// VM without a history starts with less than one token for each target.
//
// It does not bound a hot key that appears while the VMs lend locally: each of them may
// send the first request for it.
type localShare struct {
	vms      int
	started  bool // a request was noted, or asked for a slot that this VM lends
	startAt  time.Duration
	hasNoted bool // startAt is that of the first note
	// offset is the time that does not count for the history, because this VM lent
	// locally; frozenAt is since when it does, if frozen is set.
	frozen           bool
	frozenAt, offset time.Duration
	lent             decayingRate
	work             float64 // mean seconds of a request; 0 if unknown
	tokens           float64
	tokensAt         time.Duration
	targets          map[string]*targetShare
	forgetAt         time.Duration
	phase            func() float64 // a random number in [0, 1)
}

// targetShare is the part of a localShare about one target.
type targetShare struct {
	lent     decayingRate
	tokens   float64
	tokensAt time.Duration
}

// decayingRate is a rate of events with an exponentially decaying memory.
type decayingRate struct {
	count float64
	at    time.Duration // in time of the history
}

func (r *decayingRate) decay(at time.Duration) {
	if at > r.at {
		r.count *= math.Exp(-float64(at-r.at) / float64(localHistoryPeriod))
		r.at = at
	}
}

func (r *decayingRate) add(at time.Duration) {
	r.decay(at)
	r.count++
}

// perSecond returns the rate at a time.
func (r *decayingRate) perSecond(at time.Duration) float64 {
	r.decay(at)
	return r.count / localHistoryPeriod.Seconds()
}

func newLocalShare(vms int, phase func() float64) *localShare {
	if vms <= 0 {
		vms = unknownVMs
	}
	return &localShare{vms: vms, targets: map[string]*targetShare{}, phase: phase}
}

// SetVMs sets the number of VMs that may lend locally at once.
func (l *Lender) SetVMs(n int) {
	if l.local != nil && n > 0 {
		l.local.vms = n
	}
}

// NoteDecision records that the leader lent a slot of a target to a request of this VM, or
// refused the request. target is "" if it is unknown.
func (l *Lender) NoteDecision(now time.Duration, target string, lent bool) {
	s := l.local
	if s == nil {
		return
	}
	s.start(now)
	if !s.hasNoted {
		s.hasNoted, s.startAt = true, now
	}
	if s.frozen {
		s.frozen, s.offset = false, s.offset+now-s.frozenAt
	}
	at := s.historyTime(now)
	if lent {
		s.lent.add(at)
	}
	if target == "" {
		return
	}
	share := s.target(now, target)
	if lent {
		share.lent.add(at)
	} else {
		if t := l.targets[target]; t != nil {
			l.refillShare(now, t, share)
		}
		share.tokens, share.tokensAt = max(0, share.tokens-1), now
	}
	if now >= s.forgetAt {
		s.forgetAt = now + forgetInterval
		for id, share := range s.targets {
			if share.lent.decay(at); share.lent.count < 0.01 {
				delete(s.targets, id)
			}
		}
	}
}

// NoteWork records how long a request ran for which the leader lent the slot.
func (l *Lender) NoteWork(took time.Duration) {
	if s := l.local; s != nil && took > 0 {
		if s.work == 0 {
			s.work = took.Seconds()
		}
		s.work += workWeight * (took.Seconds() - s.work)
	}
}

// LocalRate returns the rate in requests/s at which this VM may lend locally.
func (l *Lender) LocalRate(now time.Duration) float64 {
	if l.local == nil {
		return 0
	}
	return l.localRate(now)
}

func (s *localShare) start(now time.Duration) {
	if !s.started {
		s.started, s.startAt, s.tokens, s.tokensAt, s.forgetAt = true, now, s.phase(), now, now+forgetInterval
	}
}

// freeze keeps the history as it is until the next note.
func (s *localShare) freeze(now time.Duration) {
	s.start(now)
	if !s.frozen {
		s.frozen, s.frozenAt = true, now
	}
}

func (s *localShare) historyTime(now time.Duration) time.Duration {
	if s.frozen {
		now = s.frozenAt
	}
	return now - s.offset
}

// hasHistory reports whether the leader has decided on this VM's requests for long enough.
func (s *localShare) hasHistory(now time.Duration) bool {
	return s.hasNoted && s.historyTime(now)-s.startAt >= localHistoryPeriod
}

// target returns the share of a target. A target that is new to a VM with a history is not
// one of its busy ones, and gets a token. Without a history, the VMs' first tokens are
// spread over the time in which one accrues.
func (s *localShare) target(now time.Duration, id string) *targetShare {
	share := s.targets[id]
	if share == nil {
		share = &targetShare{tokens: 1, tokensAt: now}
		if !s.hasHistory(now) {
			share.tokens, share.tokensAt = s.phase(), s.startAt
		}
		s.targets[id] = share
	}
	return share
}

// localLimited reports whether a target is subject to localShare: one slot for each VM may
// exceed its slots.
func (l *Lender) localLimited(t *target) bool {
	return l.local != nil && queuePerSlot*t.Slots < l.local.vms
}

// localSlots returns the number of requests that this VM may have in flight at a target: as
// many as it usually had.
func (l *Lender) localSlots(now time.Duration, t *target) int {
	s := l.local
	usual := 0
	if share := s.targets[t.ID]; share != nil {
		usual = int(math.Ceil(share.lent.perSecond(s.historyTime(now)) * l.localWork()))
	}
	return max(l.cfg.SlotsPerTarget, usual)
}

// localWork returns the mean seconds of a request.
func (l *Lender) localWork() float64 {
	if l.local.work > 0 {
		return l.local.work
	}
	return defaultWork.Seconds()
}

// floorRate returns the requests/s that this VM may send to a target without a history.
func (l *Lender) floorRate(t *target) float64 {
	return localFloorShare * float64(t.Slots) / (l.localWork() * t.slowness.usually() * float64(l.local.vms))
}

// targetRate returns the requests/s that this VM may send to a target.
func (l *Lender) targetRate(now time.Duration, t *target, share *targetShare) float64 {
	return max(share.lent.perSecond(l.local.historyTime(now)), l.floorRate(t))
}

func (l *Lender) refillShare(now time.Duration, t *target, share *targetShare) {
	rate := l.targetRate(now, t, share)
	burst := max(1, rate*localBurstTime.Seconds())
	share.tokens = min(burst, share.tokens+rate*(now-share.tokensAt).Seconds())
	share.tokensAt = now
}

// localRate returns the requests/s that this VM may send in all.
func (l *Lender) localRate(now time.Duration) float64 {
	floor := 0.0
	for _, t := range l.targetList {
		if t.usable && !t.leaves(now) {
			floor += l.floorRate(t)
		}
	}
	return max(l.local.lent.perSecond(l.local.historyTime(now)), floor)
}

// refillLocal updates the bucket of all targets together.
func (l *Lender) refillLocal(now time.Duration) (rate float64) {
	s := l.local
	rate = l.localRate(now)
	burst := max(minLocalBurst, rate*localBurstTime.Seconds())
	s.tokens = min(burst, s.tokens+rate*(now-s.tokensAt).Seconds())
	s.tokensAt = now
	return rate
}

// localAllows reports whether the share of this VM allows one more request to a target now.
func (l *Lender) localAllows(now time.Duration, t *target) bool {
	if !l.localLimited(t) {
		return true
	}
	if now > l.local.tokensAt {
		l.refillLocal(now)
	}
	if l.local.tokens < 1 {
		return false
	}
	share := l.local.target(now, t.ID)
	l.refillShare(now, t, share)
	return share.tokens >= 1
}

// takeLocal counts a request that this VM lends a slot of a target to.
func (l *Lender) takeLocal(now time.Duration, t *target) {
	if l.localLimited(t) {
		share := l.local.target(now, t.ID)
		l.refillShare(now, t, share)
		share.tokens--
		l.local.tokens--
	}
}

// localWait returns how long a request waits at least for a token, of the given target or
// of all targets together if t is nil.
func (l *Lender) localWait(now time.Duration, t *target) time.Duration {
	if l.local == nil || t != nil && !l.localLimited(t) {
		return 0
	}
	rate := l.refillLocal(now)
	wait := (1 - l.local.tokens) / max(rate, 0.001)
	if t != nil {
		share := l.local.target(now, t.ID)
		l.refillShare(now, t, share)
		wait = max(wait, (float64(len(t.queue)+1)-share.tokens)/max(l.targetRate(now, t, share), 0.001))
	}
	return time.Duration(min(max(wait, 0), maxRetryAfter.Seconds()) * float64(time.Second))
}
