package lending

import (
	"maps"
	"time"
)

// leaderlessPause is how long a target that said it does not hold a key is left
// alone by a VM without a leader: about the time in which a cell whose leader
// has ended gets a new one.
const leaderlessPause = 500 * time.Millisecond

// Leaderless tells a VM that lends alone what to expect of the owners that the last
// record of a cell names. Nobody tells it which of them still hold their keys.
type Leaderless struct {
	hold    time.Duration            // that targets keep keys without a renewal
	started time.Duration            // when the VM's process began
	without map[string]time.Duration // when targets said that they do not hold their keys
}

// NewLeaderless returns what a VM knows whose process began at a reading of its clock.
func NewLeaderless(started, hold time.Duration) *Leaderless {
	return &Leaderless{hold: hold, started: started, without: map[string]time.Duration{}}
}

// WrongOwner notes that a target said that it does not hold a key that the
// record gives it.
func (u *Leaderless) WrongOwner(now time.Duration, target string) {
	maps.DeleteFunc(u.without, func(_ string, at time.Duration) bool { return now >= at+leaderlessPause })
	u.without[target] = now
}

// Owner tells what a request for a key of a recorded owner can expect. After the
// end of the leader's process, a VM that has run for less than a hold may see
// grants that lapsed while all VMs were down: the requests would be turned away
// and use up the retry budget, so they wait for the next leader.
func (u *Leaderless) Owner(now time.Duration, target string, leaderEnded bool) Ownership {
	o := Ownership{Target: target, State: Held}
	switch at, said := u.without[target]; {
	case leaderEnded && now < u.started+u.hold:
		o.State, o.Wait = Lost, max(leaderlessPause/2, u.started+leaderlessPause-now)
	case said && now < at+leaderlessPause:
		o.State, o.Wait = Lost, at+leaderlessPause-now
	}
	return o
}
