package lending

import (
	"maps"
	"time"
)

// expectedFailover is about the time in which a cell elects a new leader after the
// leader's process has ended.
const expectedFailover = 500 * time.Millisecond

// RecordedOwners tracks which key owners a VM without a leader may still use. Such
// a VM knows the owners only from the last record of its cell; no leader tells
// it which of them still hold their keys.
type RecordedOwners struct {
	grantTTL     time.Duration            // how long targets keep keys without a renewal
	processStart time.Duration            // start of the VM's process
	wrongOwnerAt map[string]time.Duration // by target: when it last reported that it does not hold a key
	failoverEnds time.Duration            // expectedFailover after the leader's process was last known to have ended
}

// NewRecordedOwners returns a tracker for a VM whose process started at processStart.
// Targets keep keys for grantTTL without a renewal.
func NewRecordedOwners(processStart, grantTTL time.Duration) *RecordedOwners {
	return &RecordedOwners{grantTTL: grantTTL, processStart: processStart, wrongOwnerAt: map[string]time.Duration{}}
}

// WrongOwner records that a target reported that it does not hold a key which
// the cell's record assigns to it.
func (r *RecordedOwners) WrongOwner(now time.Duration, target string) {
	maps.DeleteFunc(r.wrongOwnerAt, func(_ string, at time.Duration) bool { return now >= at+expectedFailover })
	r.wrongOwnerAt[target] = now
}

// Owner returns the expected ownership of a key that the cell's record assigns
// to target. The key counts as lost for expectedFailover after the target
// reported that it does not hold a key.
//
// The key also counts as lost if the leader's process has ended and this VM has
// run for less than grantTTL. All VMs may then have been down for so long that
// the grants expired, and rejected requests would use up the retry budget. Wait is
// the time until a new leader is expected, at least half of expectedFailover. The
// record of a new leader does not end this at once: the leader has granted nothing yet
// when it writes it.
func (r *RecordedOwners) Owner(now time.Duration, target string, leaderEnded bool) Ownership {
	o := Ownership{Target: target, State: Held}
	if leaderEnded {
		r.failoverEnds = now + expectedFailover
	}
	switch at, rejected := r.wrongOwnerAt[target]; {
	case now < r.failoverEnds && now < r.processStart+r.grantTTL:
		o.State, o.Wait = Lost, max(expectedFailover/2, r.processStart+expectedFailover-now)
	case rejected && now < at+expectedFailover:
		o.State, o.Wait = Lost, at+expectedFailover-now
	}
	return o
}
