// Package allowance divides the allowances of workspaces, their limits on requests, among
// the VMs. One Granter leases tokens to the Spenders of all VMs; a request takes one token.
// Both are pure state machines: they get the time as an argument and exchange Reports and
// Replies, which may be lost, late or repeated.
//
// In each sliding window, all VMs together take at most Rate x Window x (1 + Over) + Burst x
// (1 + Over) + Slack tokens of a workspace. Each VM owns an equal share of every allowance
// and assigns it to one granter at a time, or uses it itself once no granter can count on
// it. So several granters, and VMs that reach none, together stay within the allowance.
//
// The load pattern: some workspaces want several times their allowance, while the callers
// of others move between VMs and get their full rate.
package allowance

import "time"

// Limit is the limit of a workspace: Rate requests/s after a burst of up to Burst requests.
type Limit struct{ Rate, Burst float64 }

// Bounds tell by how much the requests of a workspace in a sliding window may exceed its
// limit: at most to (Rate x Window + Burst) x (1 + Over) + Slack.
type Bounds struct {
	Window      time.Duration
	Over, Slack float64
}

const (
	// supportTime is how long a granter may count on the share of a VM. It ends about when
	// the VMs agree on the successor of a lost granter, which takes 0.8 s and more.
	supportTime = time.Second
	// reportInterval is the time between two reports of a VM that uses tokens.
	reportInterval = 250 * time.Millisecond
	// idleInterval is the same for a VM that uses none. It leaves time for two reports
	// before supportTime ends.
	idleInterval = 450 * time.Millisecond
	// reportsPerSecond bounds the reports that a granter gets: a VM makes one report for all
	// requests that wait meanwhile. A report costs the two VMs some 50 us together.
	reportsPerSecond = 800
	// leastInterval and greatestInterval bound the time between two reports of a VM that this
	// gives. Requests wait that long at most beside the time of the exchange.
	leastInterval    = 20 * time.Millisecond
	greatestInterval = 120 * time.Millisecond
	// leaseShare is the share of Over x Window by which a token may be used later than it
	// was granted. The rest is the depth of the bucket: without it, the tokens of a large
	// workspace whose callers use few VMs would overflow between two of their reports.
	leaseShare = 0.6
	// shortestLease is longer than the time of an exchange, whatever the bounds.
	shortestLease = 100 * time.Millisecond
	// slackShare is the share of Slack that the bucket uses. The rest covers clocks that
	// run at different speeds.
	slackShare = 0.8
	// countMemory is for how long the VMs that have left still count: they may be cut off
	// and use their shares. It is longer than a VM that is cut off uses keys.
	countMemory = 10 * time.Second
)

func (b Bounds) excess() time.Duration { return time.Duration(b.Over * float64(b.Window)) }

// Lease returns how long a token can be used after it was requested.
func (b Bounds) Lease() time.Duration {
	return max(shortestLease, time.Duration(leaseShare*float64(b.excess())))
}

func (b Bounds) depth() time.Duration { return time.Duration((1 - leaseShare) * float64(b.excess())) }

// rate returns the tokens/s for a limit. It is below the limit's rate only if Over does not
// cover the shortest lease.
func (b Bounds) rate(l Limit) float64 {
	longest := b.Window + b.Lease() + b.depth()
	return l.Rate * min(1, (1+b.Over)*float64(b.Window)/float64(longest))
}

// capacity returns the size of the bucket for a limit.
func (b Bounds) capacity(l Limit) float64 {
	return l.Burst*(1+b.Over) + slackShare*b.Slack + b.rate(l)*b.depth().Seconds()
}

// bucket is a token bucket that takes unused tokens back.
type bucket struct {
	level float64
	at    time.Duration
	// leastRoom and leastRoomBefore are the least differences between capacity and level in
	// the present and the previous period of one lease.
	leastRoom, leastRoomBefore float64
	periodStart                time.Duration
}

// newBucket returns an empty bucket that fills from the time at on.
func newBucket(at time.Duration) bucket { return bucket{at: at, periodStart: at} }

// advance refills the bucket, whose capacity and rate may have changed.
func (b *bucket) advance(now time.Duration, rate, capacity float64, period time.Duration) {
	if now > b.at {
		b.level += rate * (now - b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
	room := capacity - b.level
	if passed := now - b.periodStart; passed >= period {
		b.leastRoomBefore = b.leastRoom
		if passed >= 2*period { // the level has only risen since
			b.leastRoomBefore = room
		}
		b.leastRoom, b.periodStart = room, now
	}
	b.leastRoom = min(b.leastRoom, room)
}

// takeBack returns tokens that were granted in this or the previous period. The level
// becomes what it would be if they had never been granted: whatever would have overflowed
// since then is lost. Otherwise tokens that are out while the bucket is full would add to
// its capacity.
func (b *bucket) takeBack(tokens float64) {
	back := max(0, min(tokens, b.leastRoom, b.leastRoomBefore))
	b.level += back
	b.leastRoom -= back
	b.leastRoomBefore -= back
}

// recentMax keeps the highest value of the last one or two periods of countMemory.
type recentMax struct {
	present, previous int
	start             time.Duration
}

func (m *recentMax) note(now time.Duration, n int) {
	if now-m.start >= countMemory {
		m.previous = m.present
		m.present, m.start = 0, now
	}
	m.present = max(m.present, n)
}

func (m *recentMax) value() int { return max(1, m.present, m.previous) }
