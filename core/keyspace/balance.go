package keyspace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minReliefUtilization is the utilization (busy slots / slots) below which no
	// load is moved off a target, because its requests seldom wait.
	minReliefUtilization = 0.3
	// imbalanceRatio is the ratio to the mean utilization that a target must
	// exceed by more than random variation before load is moved off it.
	imbalanceRatio = 1.2
	// imbalanceDeviations is the number of standard deviations subtracted from a
	// measured load to allow for random variation. At targets above
	// overloadUtilization, where requests wait, overloadDeviations applies.
	imbalanceDeviations = 3.0
	overloadDeviations  = 1.0
	overloadUtilization = 0.85
	// minMoveLimit and moveLimitShare (a share of the number of targets) limit the
	// ranges that change owner at one time for balancing; the larger limit
	// applies. A hot spot may need many moves, but requests for a moving range
	// wait.
	minMoveLimit   = 6
	moveLimitShare = 0.3
	// hotKeyUtilization is the share of its target's capacity from which on a single
	// key is split off into a range of its own. Such a key moves to a target whose
	// capacity is at least promoteCapacityRatio times that of its owner, if there is
	// one with enough spare slots.
	hotKeyUtilization    = 0.8
	promoteCapacityRatio = 1.3
	// minMoveLoad is the least load, in slots, that is worth splitting a range for.
	minMoveLoad = 0.1
	// mergeRangesPerTarget is the mean number of ranges per target above which
	// adjacent ranges of one owner are merged: each range costs one call per
	// renewal and one entry in each stored record.
	mergeRangesPerTarget = 1.25
	// rangeSlack is added to the limits on the number of ranges, so that a
	// service with few targets does not merge every adjacent pair.
	rangeSlack = 4
	// consolidateRangesPerTarget is the mean number of ranges per target above
	// which small ranges are moved to the owners of adjacent ranges.
	consolidateRangesPerTarget = 1.75
	// consolidateUtilization is the utilization, relative to the mean, up to which
	// a target receives ranges adjacent to its own. The limit is at least
	// minReliefUtilization.
	consolidateUtilization = 1.1
	// newTargetShare is the share of the mean load that a target without keys
	// receives first.
	newTargetShare = 0.5
)

// planner computes the next assignment on copies of the manager's ranges.
type planner struct {
	m          *Manager
	now        time.Duration
	load       *Load
	prefixSums []float64 // [k] is the load of the keys below k, in slots
	ranges     []*keyRange
	byHolder   map[Holder]*candidateState
	all        []*candidateState // usable candidates, sorted by target
	changed    bool
}

// candidateState is a candidate with its load, in slots, and the number of its
// ranges under the plan.
type candidateState struct {
	Candidate
	load   float64
	ranges int
}

func (c *candidateState) utilization() float64 { return c.load / max(c.Capacity, 0.01) }

func newPlanner(m *Manager, now time.Duration, candidates []Candidate, load *Load) *planner {
	pl := &planner{m: m, now: now, load: load, prefixSums: load.prefixSums(), byHolder: map[Holder]*candidateState{}}
	for _, c := range candidates {
		if m.ended[c.Holder] {
			continue
		}
		s := &candidateState{Candidate: c}
		pl.byHolder[c.Holder] = s
		pl.all = append(pl.all, s)
	}
	slices.SortFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.Target, b.Target) })
	for _, p := range m.ranges {
		pl.ranges = append(pl.ranges, p.copy())
		if s := pl.byHolder[p.Owner]; s != nil {
			s.load += pl.loadOf(p)
			s.ranges++
		}
	}
	return pl
}

// baseLoad is a load, in slots, that is added to the measured one and spread evenly
// over all keys, so that the keys of an idle service are distributed too.
const baseLoad = 0.5

func (pl *planner) loadOf(p *keyRange) float64 { return pl.loadBetween(p.From, p.To) }

func (pl *planner) loadBetween(from, to int) float64 {
	return pl.prefixSums[to+1] - pl.prefixSums[from] + baseLoad*float64(to-from+1)/Keys
}

// renewSupersededFences requests a new fence for each range whose owner has
// seen a higher fence than that of the range. A range whose owner is not a candidate
// keeps its fence, under which reassignUnowned records the owner as a prior holder.
func (pl *planner) renewSupersededFences() {
	for _, p := range pl.ranges {
		if p.superseded && pl.byHolder[p.Owner] != nil {
			p.Fence, p.superseded, p.accepted = 0, false, false
			pl.changed = true
		}
	}
}

// reassignUnowned assigns the ranges whose owner is not a candidate to the least
// utilized candidates.
func (pl *planner) reassignUnowned() {
	var unowned []*keyRange
	for _, p := range pl.ranges {
		if pl.byHolder[p.Owner] == nil {
			unowned = append(unowned, p)
		}
	}
	if len(unowned) == 0 {
		return
	}
	pl.changed = true
	for _, p := range unowned {
		for _, piece := range pl.splitUnowned(p) {
			to := pl.leastUtilized()
			pl.assign(piece, to)
		}
	}
}

// splitUnowned splits a range without a usable owner into pieces, so that the
// keys of a lost target are not all assigned to one other target.
func (pl *planner) splitUnowned(p *keyRange) []*keyRange {
	pieces := len(pl.all)
	if p.Owner.Target != "" {
		pieces = min(pieces, max(1, int(pl.loadOf(p)/(2*minMoveLoad))))
	}
	if len(pl.ranges)+pieces > pl.m.cfg.MaxRanges*len(pl.all) {
		pieces = 1
	}
	out := []*keyRange{p}
	rest := p
	for left := pieces; left > 1 && rest.To > rest.From; left-- {
		at, ok := pl.firstPieceEnd(rest, pl.loadOf(rest)/float64(left))
		if !ok {
			break
		}
		rest = pl.split(rest, at)
		out = append(out, rest)
	}
	return out
}

// firstPieceEnd returns the key at which the load summed from the start of a range
// reaches minLoad, in slots, or false if no key before the last one does.
func (pl *planner) firstPieceEnd(p *keyRange, minLoad float64) (int, bool) {
	var sum float64
	for k := p.From; k < p.To; k++ {
		sum += float64(pl.load.work[k])*slotsPerWorkSecond + baseLoad/Keys
		if sum >= minLoad {
			return k, true
		}
	}
	return 0, false
}

// split splits a range after the key "at" and returns the second piece.
func (pl *planner) split(p *keyRange, at int) *keyRange {
	second := p.copy()
	second.From = at + 1
	p.To = at
	i := slices.Index(pl.ranges, p)
	pl.ranges = slices.Insert(pl.ranges, i+1, second)
	if s := pl.byHolder[p.Owner]; s != nil {
		s.ranges++
	}
	return second
}

// assign makes a target the owner of a range. The previous owner is recorded as
// a prior holder: it must release the range, or its hold must expire, before
// the range is granted to the new owner.
func (pl *planner) assign(p *keyRange, to *candidateState) {
	load := pl.loadOf(p)
	if s := pl.byHolder[p.Owner]; s != nil {
		s.load -= load
		s.ranges--
	}
	to.load += load
	to.ranges++
	if p.Owner.Target != "" && p.Fence != 0 {
		p.prior = append(p.prior, priorHold{
			Hold: Hold{Holder: p.Owner, Fence: p.Fence}, heldUntil: p.heldUntil, uncertainUntil: p.uncertainUntil,
		})
	}
	p.Owner, p.Fence = to.Holder, 0
	p.granted, p.accepted, p.superseded = false, false, false
	p.heldUntil, p.uncertainUntil, p.retryAt, p.sentAt, p.handover = 0, 0, 0, 0, ""
	pl.changed = true
}

func (pl *planner) leastUtilized() *candidateState {
	return slices.MinFunc(pl.all, func(a, b *candidateState) int {
		return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.ranges, b.ranges))
	})
}

func (pl *planner) mostUtilized() *candidateState {
	return slices.MaxFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.utilization(), b.utilization()) })
}

// merge merges adjacent ranges of one owner when there are more than
// mergeRangesPerTarget ranges per target.
func (pl *planner) merge() {
	if len(pl.ranges) <= pl.rangeCap(mergeRangesPerTarget) {
		return
	}
	out := pl.ranges[:1]
	for _, p := range pl.ranges[1:] {
		last := out[len(out)-1]
		if !last.canMerge(p) || pl.staysSeparate(last) || pl.staysSeparate(p) {
			out = append(out, p)
			continue
		}
		last.To, last.Fence, last.accepted = p.To, 0, false
		last.heldUntil, last.uncertainUntil = max(last.heldUntil, p.heldUntil), max(last.uncertainUntil, p.uncertainUntil)
		last.calls = append(last.calls, p.calls...)
		pl.byHolder[p.Owner].ranges--
		pl.changed = true
	}
	pl.ranges = out
}

// staysSeparate reports whether a range must not be merged with others: it is a
// single key that uses at least hotKeyUtilization/2 of its owner's capacity.
func (pl *planner) staysSeparate(p *keyRange) bool {
	s := pl.byHolder[p.Owner]
	return p.From == p.To && s != nil && pl.loadOf(p) >= hotKeyUtilization/2*s.Capacity
}

// canMerge reports whether a range can be extended by the next one: they have the
// same owner, which holds both and has accepted the fence of the next, and neither
// waits for a prior holder. accepted of the first is not checked, because merge
// clears it on a range that it extends.
func (p *keyRange) canMerge(next *keyRange) bool {
	confirmed := func(q *keyRange) bool { return q.granted && q.accepted && len(q.prior) == 0 }
	return p.Owner == next.Owner && confirmed(next) && p.granted && len(p.prior) == 0
}

// balance moves load from the most utilized targets to the least utilized ones,
// once load has been measured for long enough, and reduces the number of ranges.
// A plan that merges ranges moves no load.
func (pl *planner) balance() {
	if pl.merge(); pl.changed || !pl.load.known(pl.now) {
		return
	}
	pl.isolateHotKeys()
	var load, capacity float64
	for _, s := range pl.all {
		load += s.load
		capacity += s.Capacity
	}
	mean := load / max(capacity, 0.01)
	moves := max(minMoveLimit, int(moveLimitShare*float64(len(pl.all)))) - pl.moving()
	for moves > 0 && (pl.fillEmpty(mean) || pl.promoteHotKey() || pl.relieveBusiest(mean)) {
		moves--
	}
	pl.consolidate(mean, moves)
}

// moving returns the number of ranges that wait for a prior holder.
func (pl *planner) moving() int {
	n := 0
	for _, p := range pl.ranges {
		if len(p.prior) > 0 {
			n++
		}
	}
	return n
}

// fillEmpty assigns a first range to a target without keys. It reports whether
// it changed an assignment.
func (pl *planner) fillEmpty(mean float64) bool {
	i := slices.IndexFunc(pl.all, func(s *candidateState) bool { return s.ranges == 0 && s.Capacity > 0 })
	if i < 0 {
		return false
	}
	to := pl.all[i]
	return pl.moveLoad(pl.mostUtilized(), to, newTargetShare*mean*to.Capacity)
}

// rangeCap returns the limit on the total number of ranges for a mean number
// of ranges per target.
func (pl *planner) rangeCap(mean float64) int { return int(mean*float64(len(pl.all))) + rangeSlack }

// consolidate moves up to maxMoves of the least loaded ranges to the owners of
// adjacent ranges when there are more than consolidateRangesPerTarget ranges
// per target. A later plan merges them, once they have been granted.
func (pl *planner) consolidate(mean float64, maxMoves int) {
	maxMoves = min(maxMoves, len(pl.ranges)-pl.rangeCap(mergeRangesPerTarget)-pl.moving())
	if len(pl.ranges) <= pl.rangeCap(consolidateRangesPerTarget) {
		return
	}
	var small []*keyRange
	for _, p := range pl.ranges {
		if s := pl.byHolder[p.Owner]; s != nil && s.ranges > 1 && pl.canMoveFrom(p, s) {
			small = append(small, p)
		}
	}
	slices.SortStableFunc(small, func(a, b *keyRange) int { return cmp.Compare(pl.loadOf(a), pl.loadOf(b)) })
	for _, p := range small {
		if maxMoves <= 0 {
			return
		}
		if from := pl.byHolder[p.Owner]; from.ranges > 1 {
			if to := pl.neighbourWithRoom(p, max(consolidateUtilization*mean, minReliefUtilization)); to != nil {
				pl.assign(p, to)
				maxMoves--
			}
		}
	}
}

// neighbourWithRoom returns the less utilized of the other targets that own an
// adjacent range which can be merged and stay within maxUtilization with the range
// added, or nil.
func (pl *planner) neighbourWithRoom(p *keyRange, maxUtilization float64) *candidateState {
	var best *candidateState
	for _, n := range pl.neighbours(p) {
		s := pl.byHolder[n.Owner]
		if s == nil || n.Owner == p.Owner || s.load+pl.loadOf(p) > maxUtilization*s.Capacity || pl.staysSeparate(n) {
			continue
		}
		if best == nil || s.utilization() < best.utilization() {
			best = s
		}
	}
	return best
}

func (pl *planner) neighbours(p *keyRange) []*keyRange {
	i, _ := slices.BinarySearchFunc(pl.ranges, p.From, func(q *keyRange, from int) int { return cmp.Compare(q.From, from) })
	var out []*keyRange
	if i > 0 {
		out = append(out, pl.ranges[i-1])
	}
	if i+1 < len(pl.ranges) {
		out = append(out, pl.ranges[i+1])
	}
	return out
}

// relieveBusiest moves load off the most utilized target from which load can be
// moved and reports whether it did. If a target is busy with one key, which cannot
// be split, the next target is tried.
func (pl *planner) relieveBusiest(mean float64) bool {
	byUtilization := slices.Clone(pl.all)
	slices.SortStableFunc(byUtilization, func(a, b *candidateState) int { return cmp.Compare(b.utilization(), a.utilization()) })
	to := pl.leastUtilized()
	for _, from := range byUtilization {
		if from == to || from.utilization() < minReliefUtilization {
			return false
		}
		if !pl.significantlyAbove(from, imbalanceRatio*mean) {
			continue
		}
		amount := min((from.utilization()-mean)*from.Capacity, (mean-to.utilization())*to.Capacity)
		if amount >= minMoveLoad && pl.moveLoad(from, to, amount) {
			return true
		}
	}
	return false
}

// significantlyAbove reports whether a target's utilization exceeds a bound even
// after subtracting an allowance for random variation: a load is the sum of few
// requests, so it varies by chance.
func (pl *planner) significantlyAbove(s *candidateState, bound float64) bool {
	deviation := math.Sqrt(s.load * pl.load.perRequest() / 2) // of a decayed sum of Poisson arrivals
	allowance := imbalanceDeviations * deviation
	if s.utilization() > overloadUtilization {
		allowance = overloadDeviations * deviation
	}
	return s.load-allowance >= bound*s.Capacity
}

// moveLoad moves about the given load, in slots, from one target to another. It
// takes the most loaded range that can be moved whole or split, and reports
// whether there was one.
func (pl *planner) moveLoad(from, to *candidateState, amount float64) bool {
	if from == to || from.ranges == 0 {
		return false
	}
	var movable []*keyRange
	for _, p := range pl.ranges {
		if pl.canMoveFrom(p, from) {
			movable = append(movable, p)
		}
	}
	slices.SortStableFunc(movable, func(a, b *keyRange) int { return cmp.Compare(pl.loadOf(b), pl.loadOf(a)) })
	for _, p := range movable {
		if pl.moveRange(p, from, to, amount) {
			return true
		}
	}
	return false
}

// canMoveFrom reports whether a range belongs to an owner and can be moved now.
func (pl *planner) canMoveFrom(p *keyRange, from *candidateState) bool {
	return p.Owner == from.Holder && pl.canMove(p)
}

// canMove reports whether the owner of a range may be changed now. It may not if the
// range is already moving or has no fence yet, nor if an unanswered grant may still
// take effect: its keys would have no owner until that grant has expired.
func (pl *planner) canMove(p *keyRange) bool {
	return len(p.prior) == 0 && p.Fence != 0 && p.uncertainUntil <= pl.now
}

// moveRange moves a range whole if its load is not much above the amount and its
// owner has other ranges, else one end of it. A range with hardly any load is
// moved only to a target without keys. It reports whether it moved anything.
func (pl *planner) moveRange(p *keyRange, from, to *candidateState, amount float64) bool {
	load := pl.loadOf(p)
	if load < minMoveLoad/2 && to.ranges > 0 {
		return false
	}
	if load <= 1.2*amount {
		if from.ranges > 1 {
			pl.assign(p, to)
			return true
		}
		amount = load / 2
	}
	return to.ranges < pl.m.cfg.MaxRanges && pl.moveEnd(p, to, amount)
}

// isolateHotKeys splits the most loaded key of a range into a range of its own if it
// alone uses hotKeyUtilization of its target's capacity, so that the other keys can
// be moved to other targets.
func (pl *planner) isolateHotKeys() {
	for _, p := range slices.Clone(pl.ranges) {
		s := pl.byHolder[p.Owner]
		if s == nil || p.From == p.To || len(p.prior) > 0 || p.Fence == 0 || pl.loadOf(p) < hotKeyUtilization*s.Capacity {
			continue
		}
		hot := p.From
		for k := p.From; k <= p.To; k++ {
			if pl.load.work[k] > pl.load.work[hot] {
				hot = k
			}
		}
		if pl.loadBetween(hot, hot) < hotKeyUtilization*s.Capacity {
			continue
		}
		if hot > p.From {
			p = pl.split(p, hot-1)
		}
		if hot < p.To {
			pl.split(p, hot)
		}
		pl.changed = true
	}
}

// promoteHotKey moves one hot key to a target with more capacity and reports
// whether it did.
func (pl *planner) promoteHotKey() bool {
	for _, p := range pl.ranges {
		from := pl.byHolder[p.Owner]
		if p.From != p.To || from == nil || !pl.canMove(p) || pl.loadOf(p) < hotKeyUtilization*from.Capacity {
			continue
		}
		to := slices.MaxFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.spareSlots(), b.spareSlots()) })
		if to != from && to.Capacity >= promoteCapacityRatio*from.Capacity && to.spareSlots() >= from.Capacity {
			pl.assign(p, to)
			return true
		}
	}
	return false
}

func (c *candidateState) spareSlots() float64 { return c.Capacity - c.load }

// moveEnd moves one end of a range to another target: the upper end if that
// target owns the next range, else the lower end. It reports whether it did; it
// does not if the end has nearly all of the load and more than twice the amount.
func (pl *planner) moveEnd(p *keyRange, to *candidateState, amount float64) bool {
	i := slices.Index(pl.ranges, p)
	fromEnd := i+1 < len(pl.ranges) && pl.ranges[i+1].Owner == to.Holder
	at, load, ok := pl.cutFromEnd(p, amount, fromEnd)
	if !ok || load > pl.loadOf(p)-minMoveLoad/2 && load > 2*amount {
		return false
	}
	if fromEnd {
		pl.assign(pl.split(p, at-1), to)
		return true
	}
	pl.split(p, at)
	pl.assign(p, to)
	return true
}

// cutFromEnd returns the key at which the load summed from one end of a range
// reaches an amount, and the sum. It stops before a key other than the first that
// would take the sum beyond 1.5 times the amount. ok is false if the sum is then at
// most a quarter of the amount, or if the whole range is needed.
func (pl *planner) cutFromEnd(p *keyRange, amount float64, fromEnd bool) (at int, load float64, ok bool) {
	step, k, last := 1, p.From, p.To
	if fromEnd {
		step, k, last = -1, p.To, p.From
	}
	var sum float64
	for ; k != last; k += step {
		w := float64(pl.load.work[k])*slotsPerWorkSecond + baseLoad/Keys
		if sum > 0 && sum+w > 1.5*amount {
			return k - step, sum, sum > amount/4
		}
		sum += w
		if sum >= amount {
			return k, sum, true
		}
	}
	return 0, 0, false
}
