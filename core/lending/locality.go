package lending

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/locality"
)

const (
	// demandHalfLife is the time in which a request loses half of its weight in the demand
	// of its data centre: at 100 requests/s the demand is then known to about a tenth, a
	// step of the shares.
	demandHalfLife = time.Second
	// linkDelay is the one-way delay between data centres that is assumed until a longer
	// one is measured: the middle of the 0.5 to 1.4 ms of the deployments.
	linkDelay = time.Millisecond
	// linkWeight is the weight of a new sample in the moving average of the times over a
	// link, relative to the expected ones. linkNoise is what such averages differ by at
	// random; minLinkSamples requests have to be seen for any.
	linkWeight     = 0.01
	linkNoise      = 0.3
	minLinkSamples = 50
	// linkTTL is how long a link without requests is taken to be as slow as measured.
	linkTTL = 10 * time.Second
	// centreWeight is the weight of a new sample in the moving average of the slowness of a
	// data centre's targets: times of single requests vary by about their mean, and the
	// average of 200 of them by less than a tenth.
	centreWeight     = 0.005
	minCentreSamples = 50
	// bytesWeight is the weight of a new sample in the moving average of sizes.
	bytesWeight = 0.02
	// maxSpillCredit bounds the requests of a data centre that may go to another one in a
	// burst after a time in which home served them all.
	maxSpillCredit = 4.0
	// waitShare is the part of the time left to its objective beyond which a request does
	// not wait at home although its data centre has used up its share elsewhere.
	waitShare = 0.1
	// slowTarget is the slowness from which on a free slot at home is compared with those
	// of other data centres. They have to save more than the work of a request at
	// average speed: learned slowness varies by a quarter at random.
	slowTarget   = 2.0
	slowGainWork = 1.0
)

// spillover applies the decision of a locality.Decider to the requests without a key. A
// nil spillover leaves the choice of targets to expectedTime alone.
type spillover struct {
	decider *locality.Decider
	demand  map[string]*centreDemand // by data centre of the callers
	links   map[link]*linkState
	centres map[string]*average // by data centre of the targets: measured time / expected work
	bytes   float64             // moving average of the size of a request with its answer
	// slowness is the mean slowness of all targets. Learned slowness has no fixed scale
	// where targets report none.
	slowness float64
}

// average is a moving average that is the mean of its samples at first.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	a.samples++
	a.value += max(weight, 1/float64(a.samples)) * (sample - a.value)
}

// centreDemand is the demand of the callers of a data centre.
type centreDemand struct {
	work, requests float64 // decayed seconds of work and number of requests
	decayedAt      time.Duration
	home, away     int // requests that were lent a slot since the last TakeCounts
}

// link leads from the VMs of a data centre to the targets of one.
type link struct{ from, to string }

type linkState struct {
	credit    float64 // requests that may be sent now
	ratio     average // measured time / expected time at the target
	sampledAt time.Duration
}

func newSpillover(cfg *locality.Config) *spillover {
	if cfg == nil {
		return nil
	}
	return &spillover{decider: locality.New(*cfg), demand: map[string]*centreDemand{}, links: map[link]*linkState{}, centres: map[string]*average{}, slowness: 1}
}

func (s *spillover) link(from, to string) *linkState {
	k := s.links[link{from, to}]
	if k == nil {
		k = &linkState{}
		s.links[link{from, to}] = k
	}
	return k
}

func (s *spillover) demandOf(now time.Duration, dataCentre string) *centreDemand {
	d := s.demand[dataCentre]
	if d == nil {
		d = &centreDemand{decayedAt: now}
		s.demand[dataCentre] = d
	}
	f := math.Exp2(-float64(now-d.decayedAt) / float64(demandHalfLife))
	d.work, d.requests, d.decayedAt = d.work*f, d.requests*f, now
	return d
}

// noteDemand counts a request that asks for a slot, and gives its data centre the credit
// for sending requests away that its shares allow.
func (l *Lender) noteDemand(now time.Duration, r *Request) {
	s := l.spillover
	if s == nil || r.Key != NoKey {
		return
	}
	d := s.demandOf(now, r.DataCentre)
	d.work += l.expectedWork(r.Route).Seconds()
	d.requests++
	l.updateShares(now, false)
	for k, state := range s.links {
		if k.from == r.DataCentre {
			state.credit = min(maxSpillCredit, state.credit+s.decider.Share(k.from, k.to))
		}
	}
}

// updateShares passes the present figures to the decider, if it would use them. changed
// tells that targets may have left.
func (l *Lender) updateShares(now time.Duration, changed bool) {
	s := l.spillover
	if s == nil || !changed && !s.decider.Due(now) {
		return
	}
	s.decider.Step(now, l.figures(now))
	for _, shares := range s.decider.Shares() {
		for other := range shares.Away {
			s.link(shares.Home, other)
		}
	}
	for k, state := range s.links {
		if s.decider.Share(k.from, k.to) == 0 {
			state.credit = 0
		}
	}
}

// figures returns what is measured of the data centres at present.
func (l *Lender) figures(now time.Duration) locality.Figures {
	s := l.spillover
	centres := map[string]locality.Centre{}
	var work, requests float64
	for dc := range s.demand {
		d := s.demandOf(now, dc)
		work += d.work
		requests += d.requests
		centres[dc] = locality.Centre{Demand: d.work * math.Ln2 / demandHalfLife.Seconds()}
	}
	slots := map[string]float64{}
	var allSlots, allCapacity float64
	for _, t := range l.targets {
		c := centres[t.DataCentre]
		if t.available(now) && !t.cold(now) {
			n := float64(l.slotsOf(now, t))
			slots[t.DataCentre] += n
			c.Capacity += n / t.slowness.usually()
			allSlots += n
			allCapacity += n / t.slowness.usually()
		}
		centres[t.DataCentre] = c
	}
	for _, r := range l.sharedQueue {
		c := centres[r.DataCentre]
		c.Waiting += l.expectedWork(r.Route)
		centres[r.DataCentre] = c
	}
	for dc, c := range centres {
		if c.Capacity > 0 {
			c.Slowness = slots[dc] / c.Capacity
			if measured := s.centres[dc]; measured != nil && measured.samples >= minCentreSamples {
				c.Slowness, c.Capacity = measured.value, slots[dc]/measured.value
			}
			centres[dc] = c
		}
	}
	if allCapacity > 0 {
		s.slowness = allSlots / allCapacity
	}
	mean := defaultWork
	if requests > 0 {
		mean = time.Duration(work / requests * float64(time.Second))
	}
	return locality.Figures{
		At: now, Work: mean, Bytes: s.bytes, Centres: centres,
		Delay: func(from, to string) time.Duration { return s.delay(now, mean, from, to) },
	}
}

// delay returns the one-way delay from the VMs of a data centre to the targets of another
// one: linkDelay, and half of what requests take longer than at the targets' own callers
// beyond random variation.
func (s *spillover) delay(now, work time.Duration, from, to string) time.Duration {
	k := s.links[link{from, to}]
	if k == nil || k.ratio.samples < minLinkSamples || now > k.sampledAt+linkTTL {
		return linkDelay
	}
	usual := 1.0
	if own := s.links[link{to, to}]; own != nil && own.ratio.samples >= minLinkSamples {
		usual = own.ratio.value
	}
	return linkDelay + time.Duration(max(0, k.ratio.value-usual-linkNoise)*float64(work)/2)
}

// noteLent counts a slot that is lent to a request.
func (s *spillover) noteLent(now time.Duration, r *Request, t *target) {
	if s == nil || r.Key != NoKey {
		return
	}
	d := s.demandOf(now, r.DataCentre)
	if t.DataCentre == r.DataCentre {
		d.home++
		return
	}
	d.away++
	k := s.link(r.DataCentre, t.DataCentre)
	k.credit = max(0, k.credit-1)
}

// noteUsage adds the end of a request to what is known of sizes and links.
func (s *spillover) noteUsage(now, expected time.Duration, lease *slotLease, u Usage) {
	if s == nil || u.Result != Answered || u.Took <= 0 {
		return
	}
	s.bytes += bytesWeight * (float64(u.Bytes) - s.bytes)
	k := s.link(lease.DataCentre, lease.target.DataCentre)
	if now > k.sampledAt+linkTTL {
		k.ratio = average{}
	}
	k.sampledAt = now
	took := u.Took.Seconds() / expected.Seconds()
	k.ratio.add(took/lease.target.slowness.usually(), linkWeight)
	c := s.centres[lease.target.DataCentre]
	if c == nil {
		c = &average{}
		s.centres[lease.target.DataCentre] = c
	}
	c.add(max(took, minSlowness/100), centreWeight)
}

// crossCost is the part of expectedTime that another data centre costs.
func (l *Lender) crossCost(r *Request, t *target) time.Duration {
	switch {
	case t.DataCentre == r.DataCentre:
		return 0
	case l.spillover == nil || r.Key != NoKey:
		return crossDataCentreCost
	}
	return l.spillover.decider.Cost(r.DataCentre, t.DataCentre)
}

// chooseByShares is choose for a request without a key while spillover is enabled. A free
// slot at home comes first. Another data centre is used if home has no free slot, or only
// one at a slow target, and if the request is answered sooner there than by waiting. That
// takes credit from the shares, or else a wait at home of more than waitShare of the time
// to the objective of the request.
func (l *Lender) chooseByShares(now time.Duration, r *Request) *target {
	home, homeTime := l.bestOf(now, r, func(t *target) bool { return t.DataCentre == r.DataCentre })
	if home != nil && home.ID != r.Avoid && home.slowness.usually()*home.slowness.excessNow(now)*(1+failureCost*home.failureRate) <= slowTarget*l.spillover.slowness {
		return home
	}
	if home == nil && !l.anyRoom(now) {
		return nil
	}
	wait, homeWork, warm := l.homeWait(now, r)
	if !warm {
		if home != nil {
			return home
		}
		best, _ := l.bestOf(now, r, func(*target) bool { return true })
		return best
	}
	urgent := home != nil || float64(wait) > waitShare*float64(r.Objective-now-l.expectedWork(r.Route))
	allowed := map[string]bool{}
	away, awayTime := l.bestOf(now, r, func(t *target) bool {
		if t.DataCentre == r.DataCentre || t.cold(now) {
			return false
		}
		ok, known := allowed[t.DataCentre]
		if !known {
			ok = l.maySpill(r.DataCentre, t.DataCentre, urgent)
			allowed[t.DataCentre] = ok
		}
		return ok
	})
	switch {
	case away == nil:
		return home
	case home != nil:
		if awayTime+slowGainWork*l.spillover.slowness*float64(l.expectedWork(r.Route)) < homeTime {
			return away
		}
		return home
	case awayTime/away.crowding() >= float64(wait+homeWork):
		return nil
	}
	return away
}

// anyRoom reports whether a target has a free slot. In an overload of all data centres it
// spares the search of the queue for each request.
func (l *Lender) anyRoom(now time.Duration) bool {
	for _, t := range l.targets {
		if t.available(now) && l.hasRoom(now, t) {
			return true
		}
	}
	return false
}

// maySpill reports whether a request of home may use a free slot of another data centre:
// there is credit for it, or it is urgent and takes the slot from no caller of the other.
func (l *Lender) maySpill(home, other string, urgent bool) bool {
	s := l.spillover
	if k := s.links[link{home, other}]; k != nil && k.credit >= 1 {
		return true
	}
	return urgent && s.decider.Share(other, home) == 0 &&
		!slices.ContainsFunc(l.sharedQueue, func(w *Request) bool { return w.DataCentre == other })
}

// homeWait estimates the wait of the last request in the queue that has the home of r, and
// the work of r at home. The last one counts, because it is served sooner by the time of a
// slot whichever request is sent away. warm is false if no warm target is available at home.
func (l *Lender) homeWait(now time.Duration, r *Request) (wait, work time.Duration, warm bool) {
	var slots, capacity float64
	for _, t := range l.targets {
		if t.DataCentre == r.DataCentre && t.available(now) && !t.cold(now) {
			n := float64(l.slotsOf(now, t))
			slots += n
			capacity += n / t.slowness.usually()
		}
	}
	if capacity == 0 {
		return 0, 0, false
	}
	work = l.expectedWork(r.Route)
	var queued time.Duration
	for _, w := range l.sharedQueue {
		if w.DataCentre == r.DataCentre {
			queued += l.expectedWork(w.Route)
		}
	}
	return time.Duration(float64(queued) / capacity), time.Duration(float64(work) * slots / capacity), true
}

// nextElsewhere returns the first request of another data centre than that of blocked
// that can be sent now, with its target. The queue is shared by all data centres, and one
// whose requests wait for their home must not hold up the others.
func (l *Lender) nextElsewhere(now time.Duration, q *queue, blocked *Request) (int, *target) {
	if l.spillover == nil || blocked.Key != NoKey || !l.anyRoom(now) {
		return -1, nil
	}
	rest := slices.Clone(*q)
	for {
		rest = slices.DeleteFunc(rest, func(r *Request) bool { return r.DataCentre == blocked.DataCentre })
		i := rest.next(now, l)
		if i < 0 {
			return -1, nil
		}
		blocked = rest[i]
		if t := l.choose(now, blocked); t != nil {
			return slices.Index(*q, blocked), t
		}
	}
}

// LocalityCounts tells how the requests of the callers of a data centre were served.
type LocalityCounts struct {
	DataCentre string
	// Home and Away count the requests without a key that were lent a slot in the data
	// centre and in others since the last TakeCounts.
	Home, Away int
	// Share is the share of demand that is to be served at home, and Reason why.
	Share  float64
	Reason locality.Reason
}

// takeCounts returns the counts of all data centres, sorted by name, and resets them.
func (s *spillover) takeCounts() []LocalityCounts {
	if s == nil {
		return nil
	}
	var out []LocalityCounts
	shares := s.decider.Shares()
	for _, dc := range slices.Sorted(maps.Keys(s.demand)) {
		d := s.demand[dc]
		c := LocalityCounts{DataCentre: dc, Home: d.home, Away: d.away, Share: 1, Reason: locality.HomeHasCapacity}
		if i, ok := slices.BinarySearchFunc(shares, dc, func(s locality.Shares, dc string) int { return cmp.Compare(s.Home, dc) }); ok {
			c.Share, c.Reason = shares[i].AtHome(), shares[i].Reason
		}
		d.home, d.away = 0, 0
		out = append(out, c)
	}
	return out
}
