// Package support lets the leader of a cell continue while the store is
// unavailable.
//
// A leader without the store's confirmation cannot know whether another VM has
// taken over its cell. It may continue while enough VMs (see Leader.HasSupport)
// support it by short leases. If it stops, its deputy continues by such support alone; a VM
// supports one of the two, or one of several deputies, at a time. A VM that takes over the
// cell asks a majority of VMs to release the old leader and its deputies, and waits until
// the support that they gave has expired. The other VMs are then too few to support one of
// them. A VM that takes over without a majority must wait for MaxExtension, the longest
// time for which they may have continued. The end of a leader's process is no end of its
// deputies, of which a VM may not have heard.
//
// The package does no I/O and reads no clock: times are readings of a clock that
// includes the time for which the machine was suspended.
package support

import (
	"maps"
	"time"
)

const (
	// Lease is how long a VM's support lasts. The VM counts it from its reply, the
	// leader from its request, so that it ends at the leader first.
	Lease = time.Second
	// ClockError is the largest share by which one VM's clock may run faster than
	// another's.
	ClockError = 0.02
	// MaxExtension is the longest time for which a leader or deputy continues without the
	// store's confirmation. The platform's longest outages last about 10 s.
	MaxExtension = 15 * time.Second
)

// Grantor is a process that grants keys by the record of a leader: the leader itself or
// its deputy.
type Grantor struct {
	Leader string // the leader's process
	Deputy string // the deputy's process, "" for the leader itself
	// Follows is the deputy that has stopped in favour of this one, "" if the leader has.
	Follows string
}

// Follower is the support that a VM gives in one cell. The zero value supports nobody.
//
// Invariant: at any time at most one process that acts for a leader and has not stopped in
// favour of another one may count on the support.
type Follower struct {
	promises map[string]promise // by leader: the support given last in its name
	// released holds the leaders that were released, each with the deputy that may still be
	// supported, "" for none.
	released map[string]string
}

// promise is support that a VM has given.
type promise struct {
	deputy string // "" for the leader itself
	until  time.Duration
}

// GrantSupport gives the VM's support to a grantor for one Lease and reports whether it
// did. isLeader tells whether the latest record of the cell that the VM knows names the
// grantor's leader. A grantor that was released gets no support, nor does one while
// another one of the same leader may count on it, unless it follows that one.
func (f *Follower) GrantSupport(now time.Duration, g Grantor, isLeader bool) bool {
	if !isLeader || !f.MaySupport(now, g) {
		return false
	}
	maps.DeleteFunc(f.promises, func(_ string, p promise) bool { return now >= p.until })
	if f.promises == nil {
		f.promises = map[string]promise{}
	}
	f.promises[g.Leader] = promise{g.Deputy, now + Lease}
	return true
}

// MaySupport reports whether GrantSupport would give its support to the leader's grantor.
func (f *Follower) MaySupport(now time.Duration, g Grantor) bool {
	if except, released := f.released[g.Leader]; released && (except == "" || except != g.Deputy) {
		return false
	}
	p, promised := f.promises[g.Leader]
	return !promised || p.deputy == g.Deputy || p.deputy == g.Follows || now >= p.until
}

// Release makes the VM refuse any further support for a leader and its deputies, except
// the given deputy if no claimant has released that one before; "" excepts none. Support
// given before stays in effect; Release returns for how long, 0 if there is none but the
// exception's.
func (f *Follower) Release(now time.Duration, leader, except string) time.Duration {
	if f.released == nil {
		f.released = map[string]string{}
	}
	if before, released := f.released[leader]; released && before != except {
		except = ""
	}
	f.released[leader] = except
	p := f.promises[leader]
	if except != "" && p.deputy == except {
		return 0
	}
	return max(0, p.until-now)
}

// GrantBound returns for how long the grantors of the previous leader's record may still
// send grants after the record of a claimant is written. majority tells whether a majority
// of the VMs had released them by then, and left the longest time for which support that
// those VMs gave before lasts. leaderLease is how long the leader itself may go on by the
// store's word, or 0 if it is known to have stopped: its deputies go by support alone.
func GrantBound(majority bool, left, leaderLease time.Duration) time.Duration {
	if !majority {
		return MaxExtension
	}
	return max(0, left, leaderLease)
}

// Leader counts the support that one grantor has received. The zero value is a leader
// without support.
type Leader struct {
	until map[string]time.Duration
	// IsDeputy tells that the grantor is a deputy. Its own VM counts as a supporter only
	// if that is recorded, because the VM may have promised its support to another deputy.
	IsDeputy bool
}

// RecordSupport records that a VM has granted a request for support which the leader
// sent at requestedAt.
func (l *Leader) RecordSupport(vm string, requestedAt time.Duration) {
	if l.until == nil {
		l.until = map[string]time.Duration{}
	}
	until := requestedAt + time.Duration(float64(Lease)*(1-ClockError))
	l.until[vm] = max(l.until[vm], until)
}

// HasSupport reports whether enough VMs support the leader. known is the number of VMs
// that it knows; a leader counts as one of them and as a supporter.
func (l *Leader) HasSupport(now time.Duration, known int) bool {
	n := 1
	if l.IsDeputy {
		n = 0
	}
	for _, until := range l.until {
		if now < until {
			n++
		}
	}
	return n >= requiredSupporters(known)
}

// requiredSupporters returns how many VMs must support a leader: two thirds of the
// known ones, so that they still intersect every majority when VMs have joined that
// the leader does not know, up to a third of the known number.
func requiredSupporters(known int) int { return (2*known + 2) / 3 }

// Majority returns how many VMs, including the one that takes over, must release a
// leader so that it loses its support once the support given before has expired.
func Majority(known int) int { return known/2 + 1 }
