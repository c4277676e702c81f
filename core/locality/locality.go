// Package locality decides, for one service, which share of the demand of each data
// centre is served by its own targets and which share may go to other data centres.
//
// The shares follow from demand and capacity. The demand of a data centre is that of
// its callers, wherever it is served, so it does not depend on the shares, and old
// figures delay the shares but do not make them oscillate. A data centre sends away what
// exceeds homeUtilization of its capacity, and takes in what is left below
// spareUtilization; the gap between the two keeps a data centre from doing both.
//
// The package does no I/O and reads no clock: times are readings of a monotonic clock
// that the caller passes in.
package locality

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// Step is the part of a data centre's demand by which its shares change at a time. An
	// eighth is as fine as demand is known: measured over about a second at 100
	// requests/s, it varies by a tenth.
	Step = 0.125
	// Interval is the time between two changes of a share. A data centre at twice its
	// capacity sends half of its demand away within four steps, 0.8 s, less than the
	// shortest deadline of callers.
	Interval = 200 * time.Millisecond
	// homeUtilization is the part of its capacity up to which a data centre serves its own
	// demand. Above it, requests wait for about a tenth of their work with 30 slots.
	homeUtilization = 0.9
	// spareUtilization is the part of its capacity up to which a data centre takes in the
	// demand of others.
	spareUtilization = 0.8
	// drainTime is the time within which waiting work is to be served. It corrects a demand
	// or a capacity that was measured too low or high, and is longer than figures are old,
	// so that the correction does not overshoot.
	drainTime = 2 * time.Second
	// riseMargin is the part of a step by which the sum of the wanted shares has to exceed
	// that of the present ones before one rises. A share falls once the wanted one is a whole
	// step lower. Home serves first what it can, so a share that is too large by less than a
	// step moves no request that home has a slot for.
	riseMargin = 0.1
	// reverseDelay is how long after a fall a share does not rise again, so that demand
	// near the threshold does not move it back and forth.
	reverseDelay = time.Second
	// maxAge is the age of figures beyond which no share rises.
	maxAge = 3 * time.Second
	// startGain is the factor by which the time saved has to exceed the cost of another
	// data centre before a share rises from 0; a share falls once nothing is saved.
	startGain = 1.2
	// slowRatio is the factor by which work has to take longer at home than elsewhere for
	// requests to leave a home that has capacity; they return below slowStopRatio. Means
	// over the targets of a data centre vary by less than a quarter.
	slowRatio     = 1.5
	slowStopRatio = 1.25
	// maxQueueingUtilization bounds the utilization in the formula of the mean wait, which
	// has a pole at 1. Beyond it overloadHorizon applies.
	maxQueueingUtilization = 0.98
	// overloadHorizon is how long an excess of demand over capacity is taken to last.
	overloadHorizon = time.Second
)

// Config holds the limits of a Decider.
type Config struct {
	// PricePerMB is how much longer an answer may take to save one megabyte of traffic
	// between data centres.
	PricePerMB time.Duration
}

// Figures are what was measured of a service at a time.
type Figures struct {
	At      time.Duration
	Work    time.Duration // mean work of a request at a target of average speed
	Bytes   float64       // mean size of a request and its answer together
	Centres map[string]Centre
	// Delay returns the one-way delay between two data centres.
	Delay func(from, to string) time.Duration
}

// Centre is one data centre in Figures.
type Centre struct {
	Demand float64 // slots at targets of average speed that the requests of its callers keep busy
	// Capacity is the number of slots of its warm, available targets in slots of a target
	// of average speed. It is 0 if the data centre is out of service, lost or cold.
	Capacity float64
	Waiting  time.Duration // work of its callers' requests that wait for a slot
	Slowness float64       // mean factor by which work takes longer at its targets
}

// Reason says why a data centre has its shares.
type Reason string

const (
	HomeHasCapacity Reason = "home-has-capacity"
	HomeShort       Reason = "home-short"  // demand exceeds what home can serve
	HomeSlow        Reason = "home-slow"   // work takes much longer at the targets of home
	HomeLost        Reason = "home-lost"   // home is out of service, lost or cold
	NoSpare         Reason = "no-spare"    // home is short, and so are the others
	NoGain          Reason = "no-gain"     // waiting at home takes less time than any other place
	Returning       Reason = "returning"   // home has capacity again, and the share falls step by step
	Withdrawn       Reason = "withdrawn"   // a data centre that took demand in is out of service, lost or cold
	Old             Reason = "old-figures" // the figures are too old to send more away
)

// Shares are the shares of the demand of one data centre.
type Shares struct {
	Home   string
	Away   map[string]float64 // by data centre, each above 0; the rest is served at home
	Reason Reason
}

// AtHome returns the share that is served at home.
func (s Shares) AtHome() float64 {
	home := 1.0
	for _, share := range s.Away {
		home -= share
	}
	return max(0, home)
}

// Decider holds the shares of a service. It is not safe for concurrent use.
type Decider struct {
	cfg       Config
	steppedAt time.Duration
	stepped   bool
	figures   Figures
	shares    map[string]map[string]float64 // by home and other data centre, each above 0
	reasons   map[string]Reason
	fellAt    map[string]time.Duration // by home
	withdrawn map[string]bool          // homes of shares withdrawn since the last change of shares
}

// New returns a Decider that serves all demand at home.
func New(cfg Config) *Decider {
	return &Decider{cfg: cfg, shares: map[string]map[string]float64{}, reasons: map[string]Reason{}, fellAt: map[string]time.Duration{}, withdrawn: map[string]bool{}}
}

// Due reports whether Step would change the shares at a time.
func (d *Decider) Due(now time.Duration) bool { return !d.stepped || now >= d.steppedAt+Interval }

// Share returns the share of the demand of home that may go to another data centre.
func (d *Decider) Share(home, other string) float64 { return d.shares[home][other] }

// Shares returns the shares of all data centres, sorted by name.
func (d *Decider) Shares() []Shares {
	var out []Shares
	for _, home := range slices.Sorted(maps.Keys(d.reasons)) {
		out = append(out, Shares{Home: home, Away: maps.Clone(d.shares[home]), Reason: d.reasons[home]})
	}
	return out
}

// Cost returns how much later an answer may come from home than from another data
// centre: the delay to there and back, and the price of the bytes.
func (d *Decider) Cost(home, other string) time.Duration {
	if home == other {
		return 0
	}
	cost := time.Duration(d.figures.Bytes / 1e6 * float64(d.cfg.PricePerMB))
	if d.figures.Delay != nil {
		cost += 2 * d.figures.Delay(home, other)
	}
	return cost
}

// Step removes the shares that go to a data centre without capacity, at any time. Once
// Interval has passed since it last did so, it moves each share by at most Step towards
// what the figures ask for.
func (d *Decider) Step(now time.Duration, f Figures) {
	d.figures = f
	d.withdraw()
	if !d.Due(now) {
		return
	}
	d.stepped, d.steppedAt = true, now
	wanted := d.wanted()
	old := now > f.At+maxAge
	homes := slices.Sorted(maps.Keys(f.Centres))
	for home := range d.reasons {
		if _, known := f.Centres[home]; !known {
			delete(d.reasons, home)
			delete(d.fellAt, home)
		}
	}
	for _, home := range homes {
		if c := f.Centres[home]; c.Capacity <= 0 {
			d.shares[home] = d.allAway(home, wanted[home])
			d.reasons[home] = HomeLost
			continue
		}
		d.fall(now, home, wanted[home])
	}
	for _, home := range homes {
		if f.Centres[home].Capacity <= 0 {
			continue
		}
		if fellAt, fell := d.fellAt[home]; !old && (!fell || now >= fellAt+reverseDelay) {
			d.rise(home, wanted[home])
		}
		d.reasons[home] = d.reason(home, wanted[home], old)
	}
	clear(d.withdrawn)
}

// withdraw removes the shares that go to data centres without capacity, and those of
// homes that are not measured any more.
func (d *Decider) withdraw() {
	for home, away := range d.shares {
		if _, known := d.figures.Centres[home]; !known {
			delete(d.shares, home)
			continue
		}
		for other := range away {
			if d.figures.Centres[other].Capacity <= 0 {
				delete(away, other)
				d.withdrawn[home] = true
			}
		}
	}
}

// wanted returns the shares that the figures ask for. The excess of each data centre is
// distributed over those with spare capacity in proportion to that capacity divided by
// the time of a request there, so that small changes of the figures change the shares little.
func (d *Decider) wanted() map[string]map[string]float64 {
	centres := d.figures.Centres
	slots := map[string]map[string]float64{} // by home and other data centre
	taken := map[string]float64{}
	for _, home := range slices.Sorted(maps.Keys(centres)) {
		slots[home] = d.distribute(home)
		for other, n := range slots[home] {
			taken[other] += n
		}
	}
	out := map[string]map[string]float64{}
	for home, away := range slots {
		out[home] = map[string]float64{}
		for other, n := range away {
			n *= min(1, spare(centres[other])/taken[other])
			out[home][other] = n / centres[home].Demand
		}
	}
	return out
}

// distribute returns the slots of demand of a home that other data centres take in: its
// excess goes to those that have spare capacity and serve it sooner than home does. All of
// its demand may go to those whose targets are much faster.
func (d *Decider) distribute(home string) map[string]float64 {
	h := d.figures.Centres[home]
	excess := min(h.Demand, h.Demand-homeUtilization*h.Capacity+h.Waiting.Seconds()/drainTime.Seconds())
	slow := false
	room, weights := map[string]float64{}, map[string]float64{}
	for other, c := range d.figures.Centres {
		if other == home || spare(c) <= 0 {
			continue
		}
		faster := d.muchFaster(home, other)
		if !faster && (excess <= 0 || !d.gains(home, other, min(excess, spare(c)))) {
			continue
		}
		slow = slow || faster
		room[other] = spare(c)
		weights[other] = spare(c) / (d.figures.Work + d.Cost(home, other)).Seconds()
	}
	if slow {
		excess = h.Demand
		maps.DeleteFunc(weights, func(other string, _ float64) bool { return !d.muchFaster(home, other) })
	}
	out := map[string]float64{}
	for excess > 1e-9 && len(weights) > 0 {
		var total float64
		for _, other := range slices.Sorted(maps.Keys(weights)) {
			total += weights[other]
		}
		left := excess
		full := false
		for _, other := range slices.Sorted(maps.Keys(weights)) {
			n := min(excess*weights[other]/total, room[other])
			out[other] += n
			room[other] -= n
			left -= n
			if room[other] <= 1e-9 {
				delete(weights, other)
				full = true
			}
		}
		excess = left
		if !full {
			break
		}
	}
	return out
}

// muchFaster reports whether the targets of another data centre are so much faster than
// those of home that requests are served there although home has capacity.
func (d *Decider) muchFaster(home, other string) bool {
	h, o := d.figures.Centres[home], d.figures.Centres[other]
	if h.Capacity <= 0 || o.Capacity <= 0 {
		return false
	}
	ratio := slowRatio
	if d.shares[home][other] > 0 {
		ratio = slowStopRatio
	}
	saved := time.Duration((h.slowness() - o.slowness()) * float64(d.figures.Work))
	return h.slowness() > ratio*o.slowness() && saved > d.Cost(home, other)
}

// slowness returns Slowness, or 1 if it is not known.
func (c Centre) slowness() float64 {
	if c.Slowness <= 0 {
		return 1
	}
	return c.Slowness
}

// spare returns the slots that a data centre offers to others.
func spare(c Centre) float64 { return max(0, spareUtilization*c.Capacity-c.Demand) }

// gains reports whether requests of home are answered sooner by another data centre that
// takes in a number of slots than if all demand waits at home.
func (d *Decider) gains(home, other string, slots float64) bool {
	h, o := d.figures.Centres[home], d.figures.Centres[other]
	if h.Capacity <= 0 {
		return true
	}
	work := d.figures.Work
	atHome := h.time(work, h.Demand)
	away := o.time(work, o.Demand+slots)
	cost := d.Cost(home, other)
	if d.shares[home][other] == 0 {
		cost = time.Duration(startGain * float64(cost))
	}
	return away+cost < atHome
}

// time returns the mean time from arrival to answer of requests at a data centre whose
// targets have a number of slots busy.
func (c Centre) time(work time.Duration, busy float64) time.Duration {
	utilization := busy / c.Capacity
	wait := queueingTime(work, min(utilization, maxQueueingUtilization), c.Capacity)
	wait += time.Duration(max(0, utilization-1) * float64(overloadHorizon))
	wait = max(wait, time.Duration(float64(c.Waiting)/c.Capacity))
	return time.Duration(float64(work)*c.slowness()) + wait
}

// queueingTime returns the mean wait of a queue for several slots by Sakasegawa's
// approximation.
func queueingTime(work time.Duration, utilization, slots float64) time.Duration {
	slots = max(1, slots)
	return time.Duration(float64(work) * math.Pow(utilization, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilization)))
}

// allAway returns the shares of a home without capacity: as wanted, and the rest in
// proportion to capacity, because home serves nothing.
func (d *Decider) allAway(home string, wanted map[string]float64) map[string]float64 {
	var capacity float64
	rest := 1.0
	for other, c := range d.figures.Centres {
		if other != home {
			capacity += c.Capacity
		}
		rest -= wanted[other]
	}
	out := map[string]float64{}
	for other, c := range d.figures.Centres {
		if other != home && c.Capacity > 0 {
			out[other] = wanted[other] + max(0, rest)*c.Capacity/capacity
		}
	}
	return out
}

// fall lowers, by a step, the shares of home that are at least a step above the wanted
// ones. Demand that others send to a data centre that has become short falls the same way:
// it has no spare capacity, and their wanted shares are 0.
func (d *Decider) fall(now time.Duration, home string, wanted map[string]float64) {
	for other, share := range d.shares[home] {
		if wanted[other] > share-Step && wanted[other] > 0 {
			continue
		}
		d.fellAt[home] = now
		if share -= Step; share < 1e-9 {
			delete(d.shares[home], other)
		} else {
			d.shares[home][other] = share
		}
	}
}

// rise raises, by a step, the one share of home that is furthest below the wanted one, if
// their sums differ. A share rises from 0 only while home takes in nothing and the other
// sends nothing away.
func (d *Decider) rise(home string, wanted map[string]float64) {
	best, bestGap := "", 0.0
	var present, sum float64
	for _, share := range d.shares[home] {
		present += share
	}
	for _, other := range slices.Sorted(maps.Keys(wanted)) {
		sum += wanted[other]
		gap := wanted[other] - d.shares[home][other]
		if gap <= bestGap || d.shares[home][other] == 0 && (d.receives(home) || d.sends(other)) {
			continue
		}
		best, bestGap = other, gap
	}
	if best == "" || sum <= present+riseMargin*Step || present > 1-Step {
		return
	}
	if d.shares[home] == nil {
		d.shares[home] = map[string]float64{}
	}
	d.shares[home][best] += Step
}

func (d *Decider) sends(home string) bool { return len(d.shares[home]) > 0 }

func (d *Decider) receives(home string) bool {
	for _, away := range d.shares {
		if away[home] > 0 {
			return true
		}
	}
	return false
}

func (d *Decider) reason(home string, wanted map[string]float64, old bool) Reason {
	c := d.figures.Centres[home]
	short := c.Demand+c.Waiting.Seconds()/drainTime.Seconds() > homeUtilization*c.Capacity
	anySpare := false
	for other, o := range d.figures.Centres {
		anySpare = anySpare || other != home && spare(o) > 0
	}
	switch {
	case d.withdrawn[home]:
		return Withdrawn
	case old:
		return Old
	case !short && len(wanted) > 0:
		return HomeSlow
	case !short && d.sends(home):
		return Returning
	case !short:
		return HomeHasCapacity
	case !anySpare:
		return NoSpare
	case len(wanted) == 0:
		return NoGain
	}
	return HomeShort
}
