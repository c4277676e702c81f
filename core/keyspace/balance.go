package keyspace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// busyEnough is the share of a target's slots from which on its load is
	// worth a move; below, requests seldom wait.
	busyEnough = 0.3
	// uneven is how much busier than the mean a target has to be, beyond what
	// chance explains.
	uneven = 1.2
	// certainty is the number of standard deviations by which chance is allowed
	// for, and overloadCertainty that at targets that are used beyond overloaded,
	// where requests wait.
	certainty         = 3.0
	overloadCertainty = 1.0
	overloaded        = 0.85
	// movesAtOnce and moveShare bound the ranges that change hands at one time
	// to even out the load, the second as a share of the targets: a hot spot may
	// need many of them, and requests for them wait.
	movesAtOnce = 6
	moveShare   = 0.3
	// busyAlone is the share of a target's slots that one key has to need to be
	// given to a target that is muchFaster.
	busyAlone  = 0.8
	muchFaster = 1.3
	// worthMoving is the least load, in slots, for which a range is cut.
	worthMoving = 0.1
	// manyParts is the mean number of ranges a target from which on neighbours
	// are joined: each range is a call in each renewal and a line of each record.
	manyParts = 1.25
	// spareParts keeps a service with few targets from joining each pair.
	spareParts = 4
	// tooManyParts is the mean number of ranges a target from which on small
	// ones are moved to the owners of their neighbours.
	tooManyParts = 1.75
	// joinedUse is the use up to which a target takes its neighbours' ranges,
	// relative to the mean.
	joinedUse = 1.1
	// startShare is the share of a fair part that a target without keys gets.
	startShare = 0.5
)

// planner works on copies of the parts.
type planner struct {
	m      *Manager
	now    time.Duration
	load   *Load
	sums   []float64 // sums[k] is the load of the keys below k
	parts  []*part
	state  map[Holder]*candidateState
	all    []*candidateState
	change bool
}

type candidateState struct {
	Candidate
	load  float64
	parts int
}

func (c *candidateState) use() float64 { return c.load / max(c.Capacity, 0.01) }

func newPlanner(m *Manager, now time.Duration, candidates []Candidate, load *Load) *planner {
	pl := &planner{m: m, now: now, load: load, sums: load.sums(), state: map[Holder]*candidateState{}}
	for _, c := range candidates {
		if m.ended[c.Holder] {
			continue
		}
		s := &candidateState{Candidate: c}
		pl.state[c.Holder] = s
		pl.all = append(pl.all, s)
	}
	slices.SortFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.Target, b.Target) })
	for _, p := range m.parts {
		pl.parts = append(pl.parts, p.copy())
		if s := pl.state[p.Owner]; s != nil {
			s.load += pl.loadOf(p)
			s.parts++
		}
	}
	return pl
}

// baseLoad makes ranges without traffic count, so that an idle service is
// spread too: all keys together count as this many slots.
const baseLoad = 0.5

func (pl *planner) loadOf(p *part) float64 { return pl.loadBetween(p.From, p.To) }

func (pl *planner) loadBetween(from, to int) float64 {
	return pl.sums[to+1] - pl.sums[from] + baseLoad*float64(to-from+1)/Keys
}

// refence gives a new number to the parts whose owner has seen a higher one.
func (pl *planner) refence() {
	for _, p := range pl.parts {
		if p.outdone {
			p.Fence, p.outdone, p.accepted = 0, false, false
			pl.change = true
		}
	}
}

// replaceOwners gives the keys without a usable owner to others.
func (pl *planner) replaceOwners() {
	var without []*part
	for _, p := range pl.parts {
		if pl.state[p.Owner] == nil {
			without = append(without, p)
		}
	}
	if len(without) == 0 {
		return
	}
	pl.change = true
	for _, p := range without {
		for _, piece := range pl.spread(p) {
			to := pl.leastUsed()
			pl.give(piece, to)
		}
	}
}

// spread cuts a part without an owner into pieces, so that one target does not
// get all of a lost one's keys.
func (pl *planner) spread(p *part) []*part {
	pieces := len(pl.all)
	if p.Owner.Target != "" {
		pieces = min(pieces, max(1, int(pl.loadOf(p)/(2*worthMoving))))
	}
	if len(pl.parts)+pieces > pl.m.cfg.MaxParts*len(pl.all) {
		pieces = 1
	}
	out := []*part{p}
	rest := p
	for left := pieces; left > 1 && rest.To > rest.From; left-- {
		at, ok := pl.cutPoint(rest, pl.loadOf(rest)/float64(left))
		if !ok {
			break
		}
		rest = pl.split(rest, at)
		out = append(out, rest)
	}
	return out
}

// cutPoint returns the last key of a first piece with a share of the load.
func (pl *planner) cutPoint(p *part, share float64) (int, bool) {
	var sum float64
	for k := p.From; k < p.To; k++ {
		sum += float64(pl.load.work[k])*busy + baseLoad/Keys
		if sum >= share {
			return k, true
		}
	}
	return 0, false
}

// split cuts a part behind a key and returns the second piece.
func (pl *planner) split(p *part, at int) *part {
	second := p.copy()
	second.From = at + 1
	p.To = at
	i := slices.Index(pl.parts, p)
	pl.parts = slices.Insert(pl.parts, i+1, second)
	if s := pl.state[p.Owner]; s != nil {
		s.parts++
	}
	return second
}

// give hands a part to a new owner; the old one is to be released first.
func (pl *planner) give(p *part, to *candidateState) {
	load := pl.loadOf(p)
	if s := pl.state[p.Owner]; s != nil {
		s.load -= load
		s.parts--
	}
	to.load += load
	to.parts++
	if p.Owner.Target != "" && p.Fence != 0 {
		p.prior = append(p.prior, priorHold{
			Hold: Hold{Holder: p.Owner, Fence: p.Fence}, until: p.until, unsureTo: p.unsureTo,
		})
	}
	p.Owner, p.Fence = to.Holder, 0
	p.granted, p.accepted, p.outdone = false, false, false
	p.until, p.unsureTo, p.retryAt, p.sentAt, p.handover = 0, 0, 0, 0, ""
	pl.change = true
}

func (pl *planner) leastUsed() *candidateState {
	return slices.MinFunc(pl.all, func(a, b *candidateState) int {
		return cmp.Or(cmp.Compare(a.use(), b.use()), cmp.Compare(a.parts, b.parts))
	})
}

func (pl *planner) mostUsed() *candidateState {
	return slices.MaxFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.use(), b.use()) })
}

// merge joins neighbouring ranges of one owner once there are many ranges.
func (pl *planner) merge() {
	if len(pl.parts) <= pl.partsFor(manyParts) {
		return
	}
	out := pl.parts[:1]
	for _, p := range pl.parts[1:] {
		last := out[len(out)-1]
		if !last.joins(p) || pl.hotAlone(last) || pl.hotAlone(p) {
			out = append(out, p)
			continue
		}
		last.To, last.Fence, last.accepted = p.To, 0, false
		last.until, last.unsureTo = max(last.until, p.until), max(last.unsureTo, p.unsureTo)
		last.calls = append(last.calls, p.calls...)
		pl.state[p.Owner].parts--
		pl.change = true
	}
	pl.parts = out
}

// hotAlone tells whether a part is one key that keeps much of its target busy.
func (pl *planner) hotAlone(p *part) bool {
	s := pl.state[p.Owner]
	return p.From == p.To && s != nil && pl.loadOf(p) >= busyAlone/2*s.Capacity
}

// joins tells whether two neighbours are held by the same owner.
func (p *part) joins(next *part) bool {
	settled := func(q *part) bool { return q.granted && q.accepted && len(q.prior) == 0 }
	return p.Owner == next.Owner && settled(next) && p.granted && len(p.prior) == 0
}

// balance moves load from the busiest targets to those with room.
func (pl *planner) balance() {
	if pl.merge(); pl.change || !pl.load.known(pl.now) {
		return
	}
	pl.isolate()
	var load, capacity float64
	for _, s := range pl.all {
		load += s.load
		capacity += s.Capacity
	}
	mean := load / max(capacity, 0.01)
	moves := max(movesAtOnce, int(moveShare*float64(len(pl.all)))) - pl.moving()
	for moves > 0 && (pl.fillEmpty(mean) || pl.promote() || pl.relieve(mean)) {
		moves--
	}
	pl.gather(mean, moves)
}

// moving returns the number of ranges that are on their way to another owner.
func (pl *planner) moving() int {
	n := 0
	for _, p := range pl.parts {
		if len(p.prior) > 0 {
			n++
		}
	}
	return n
}

// fillEmpty gives a target without keys a first range.
func (pl *planner) fillEmpty(mean float64) bool {
	i := slices.IndexFunc(pl.all, func(s *candidateState) bool { return s.parts == 0 && s.Capacity > 0 })
	if i < 0 {
		return false
	}
	to := pl.all[i]
	return pl.move(pl.mostUsed(), to, startShare*mean*to.Capacity)
}

// partsFor returns a number of ranges from their mean number a target.
func (pl *planner) partsFor(mean float64) int { return int(mean*float64(len(pl.all))) + spareParts }

// gather moves small ranges, up to a number of them, to the owners of their
// neighbours once there are too many ranges. They are joined when they have
// been granted.
func (pl *planner) gather(mean float64, most int) {
	most = min(most, len(pl.parts)-pl.partsFor(manyParts)-pl.moving())
	if len(pl.parts) <= pl.partsFor(tooManyParts) {
		return
	}
	var small []*part
	for _, p := range pl.parts {
		if s := pl.state[p.Owner]; s != nil && s.parts > 1 && pl.movable(p, s) {
			small = append(small, p)
		}
	}
	slices.SortStableFunc(small, func(a, b *part) int { return cmp.Compare(pl.loadOf(a), pl.loadOf(b)) })
	for _, p := range small {
		if most <= 0 {
			return
		}
		if from := pl.state[p.Owner]; from.parts > 1 {
			if to := pl.roomBeside(p, max(joinedUse*mean, busyEnough)); to != nil {
				pl.give(p, to)
				most--
			}
		}
	}
}

// roomBeside returns the less used owner of a part's neighbours if the part
// fits there up to a use, or nil.
func (pl *planner) roomBeside(p *part, use float64) *candidateState {
	var best *candidateState
	for _, n := range pl.neighbours(p) {
		s := pl.state[n.Owner]
		if s == nil || n.Owner == p.Owner || s.load+pl.loadOf(p) > use*s.Capacity || pl.hotAlone(n) {
			continue
		}
		if best == nil || s.use() < best.use() {
			best = s
		}
	}
	return best
}

func (pl *planner) neighbours(p *part) []*part {
	i, _ := slices.BinarySearchFunc(pl.parts, p.From, func(q *part, from int) int { return cmp.Compare(q.From, from) })
	var out []*part
	if i > 0 {
		out = append(out, pl.parts[i-1])
	}
	if i+1 < len(pl.parts) {
		out = append(out, pl.parts[i+1])
	}
	return out
}

// relieve moves load off the busiest target from which some can be moved: one
// key may keep a target busy and cannot be cut.
func (pl *planner) relieve(mean float64) bool {
	byUse := slices.Clone(pl.all)
	slices.SortStableFunc(byUse, func(a, b *candidateState) int { return cmp.Compare(b.use(), a.use()) })
	to := pl.leastUsed()
	for _, from := range byUse {
		if from == to || from.use() < busyEnough {
			return false
		}
		if !pl.surelyBusier(from, uneven*mean) {
			continue
		}
		amount := min((from.use()-mean)*from.Capacity, (mean-to.use())*to.Capacity)
		if amount >= worthMoving && pl.move(from, to, amount) {
			return true
		}
	}
	return false
}

// surelyBusier tells whether a target is used beyond a bound also without what
// chance may have added: a load is a sum of few requests.
func (pl *planner) surelyBusier(s *candidateState, bound float64) bool {
	deviation := math.Sqrt(s.load * pl.load.perRequest() / 2)
	allowed := certainty * deviation
	if s.use() > overloaded {
		allowed = overloadCertainty * deviation
	}
	return s.load-allowed >= bound*s.Capacity
}

// move gives another target about the given load, from the busiest range of a
// target that can be given or cut.
func (pl *planner) move(from, to *candidateState, amount float64) bool {
	if from == to || from.parts == 0 {
		return false
	}
	var movable []*part
	for _, p := range pl.parts {
		if pl.movable(p, from) {
			movable = append(movable, p)
		}
	}
	slices.SortStableFunc(movable, func(a, b *part) int { return cmp.Compare(pl.loadOf(b), pl.loadOf(a)) })
	for _, p := range movable {
		if pl.movePart(p, from, to, amount) {
			return true
		}
	}
	return false
}

// movable tells whether a part can be taken from an owner.
func (pl *planner) movable(p *part, from *candidateState) bool {
	return p.Owner == from.Holder && pl.settled(p)
}

// settled tells whether a part could change hands now. One that is on its way
// is left alone, and so is one for which a grant may still be carried out late:
// its keys would have no owner until then.
func (pl *planner) settled(p *part) bool {
	return len(p.prior) == 0 && p.Fence != 0 && p.unsureTo <= pl.now
}

func (pl *planner) movePart(p *part, from, to *candidateState, amount float64) bool {
	load := pl.loadOf(p)
	if load < worthMoving/2 && to.parts > 0 {
		return false
	}
	if load <= 1.2*amount {
		if from.parts > 1 {
			pl.give(p, to)
			return true
		}
		amount = load / 2
	}
	return to.parts < pl.m.cfg.MaxParts && pl.cutOff(p, to, amount)
}

// isolate cuts out a key that alone keeps its target busy, so that what is
// beside it can be moved away.
func (pl *planner) isolate() {
	for _, p := range slices.Clone(pl.parts) {
		s := pl.state[p.Owner]
		if s == nil || p.From == p.To || len(p.prior) > 0 || p.Fence == 0 || pl.loadOf(p) < busyAlone*s.Capacity {
			continue
		}
		hot := p.From
		for k := p.From; k <= p.To; k++ {
			if pl.load.work[k] > pl.load.work[hot] {
				hot = k
			}
		}
		if pl.loadBetween(hot, hot) < busyAlone*s.Capacity {
			continue
		}
		if hot > p.From {
			p = pl.split(p, hot-1)
		}
		if hot < p.To {
			pl.split(p, hot)
		}
		pl.change = true
	}
}

// promote gives a key that alone keeps its target busy to a faster one.
func (pl *planner) promote() bool {
	for _, p := range pl.parts {
		from := pl.state[p.Owner]
		if p.From != p.To || from == nil || !pl.settled(p) || pl.loadOf(p) < busyAlone*from.Capacity {
			continue
		}
		to := slices.MaxFunc(pl.all, func(a, b *candidateState) int { return cmp.Compare(a.spare(), b.spare()) })
		if to != from && to.Capacity >= muchFaster*from.Capacity && to.spare() >= from.Capacity {
			pl.give(p, to)
			return true
		}
	}
	return false
}

// spare returns the slots that a target has left.
func (c *candidateState) spare() float64 { return c.Capacity - c.load }

// cutOff gives one end of a part to another target, the end whose neighbour it
// already owns if there is one.
func (pl *planner) cutOff(p *part, to *candidateState, amount float64) bool {
	i := slices.Index(pl.parts, p)
	fromEnd := i+1 < len(pl.parts) && pl.parts[i+1].Owner == to.Holder
	at, load, ok := pl.cutAt(p, amount, fromEnd)
	if !ok || load > pl.loadOf(p)-worthMoving/2 && load > 2*amount {
		return false
	}
	if fromEnd {
		pl.give(pl.split(p, at-1), to)
		return true
	}
	pl.split(p, at)
	pl.give(p, to)
	return true
}

// cutAt finds the key at which the load summed from an end reaches an amount.
// A key with more than the amount is left out if something comes before it.
func (pl *planner) cutAt(p *part, amount float64, fromEnd bool) (at int, load float64, ok bool) {
	step, k, last := 1, p.From, p.To
	if fromEnd {
		step, k, last = -1, p.To, p.From
	}
	var sum float64
	for ; k != last; k += step {
		w := float64(pl.load.work[k])*busy + baseLoad/Keys
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
