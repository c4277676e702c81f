// Package support lets the leader of a cell continue while the store is
// unavailable.
//
// A leader without the store's confirmation cannot know whether another VM has
// taken over its cell. It may continue while enough VMs (see Leader.HasSupport)
// support it by short leases. A VM that takes over the cell asks a majority of
// VMs to release the old leader, and waits until the support that they gave has
// expired. The other VMs are then too few to support the old leader. A VM that takes
// over without a majority must wait for MaxExtension, the longest time for which the
// old leader may have continued.
//
// The package does no I/O and reads no clock: times are readings of a clock that
// includes the time for which the machine was suspended.
package support

import "time"

const (
	// Lease is how long a VM's support lasts. The VM counts it from its reply, the
	// leader from its request, so that it ends at the leader first.
	Lease = time.Second
	// ClockError is the largest share by which one VM's clock may run faster than
	// another's.
	ClockError = 0.02
	// MaxExtension is the longest time for which a leader continues without the
	// store's confirmation. The platform's longest outages last about 10 s.
	MaxExtension = 15 * time.Second
)

// Follower is the support that a VM gives in one cell. The zero value supports no
// leader.
type Follower struct {
	leader   string          // the leader's process that was supported last
	until    time.Duration   // end of that support
	released map[string]bool // processes that must not be supported again
}

// GrantSupport gives the VM's support to a process for one Lease and reports whether
// it did. isLeader tells whether the latest record of the cell that the VM knows
// names the process as leader. A process that was released gets no support.
func (f *Follower) GrantSupport(now time.Duration, process string, isLeader bool) bool {
	if !isLeader || f.released[process] {
		return false
	}
	f.leader, f.until = process, now+Lease
	return true
}

// Release makes the VM refuse any further support for a process. Support given
// before stays in effect; Release returns for how long, 0 if there is none.
func (f *Follower) Release(now time.Duration, process string) time.Duration {
	if f.released == nil {
		f.released = map[string]bool{}
	}
	f.released[process] = true
	if f.leader != process {
		return 0
	}
	return max(0, f.until-now)
}

// Leader counts the support that one leader has received. The zero value has none.
type Leader struct{ until map[string]time.Duration }

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
// that it knows; the leader counts as one of them and as a supporter.
func (l *Leader) HasSupport(now time.Duration, known int) bool {
	n := 1
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
