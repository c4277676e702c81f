package admission

import (
	"slices"
	"time"
)

// Group admits the requests of one dispatch group, to one target or to a pool.
// It is not safe for concurrent use. The readings passed as now must not
// decrease.
type Group struct {
	cfg        Config
	targets    []*target // in the order of their first sight
	byName     map[string]*target
	queue      queue
	requests   map[ID]*request // waiting and running
	arrivals   uint64
	sinceProbe int

	// turn is the waiting Alone request that runs next, and reserved the
	// target on which nothing starts until then.
	turn     *request
	reserved *target

	actions []Action
}

// NewGroup returns a group without targets.
func NewGroup(cfg Config) *Group {
	return &Group{cfg: cfg, byName: map[string]*target{}, queue: newQueue(), requests: map[ID]*request{}}
}

// Step applies an event and returns what to do, in order. Every Arrive ends in
// exactly one of Refuse, a Cancel while it waits, or Start followed by Finish.
// An Arrive with the ID of a request that waits or runs, and a Finish or Cancel
// of one that does not, have no effect.
func (g *Group) Step(now time.Duration, ev Event) []Action {
	g.actions = nil
	switch ev := ev.(type) {
	case Arrive:
		g.arrive(ev)
	case Finish:
		g.finish(now, ev)
	case Cancel:
		if r := g.requests[ev.ID]; r != nil && r.target == nil {
			g.drop(r)
		}
	case TargetSeen:
		g.targetSeen(ev)
	case TargetRemoved:
		g.targetRemoved(ev.Target)
	}
	g.expire(now)
	g.startAll(now)
	for g.queue.len() > g.cfg.MaxQueue {
		g.refuse(g.queue.latest.items[0], ReasonQueueFull)
		// The refused request may have held a target back.
		g.startAll(now)
	}
	return g.actions
}

func (g *Group) startAll(now time.Duration) {
	for g.queue.len() > 0 && g.startOne(now) {
	}
}

func (g *Group) arrive(ev Arrive) {
	if g.requests[ev.ID] != nil {
		return
	}
	g.arrivals++
	r := &request{id: ev.ID, deadline: ev.Deadline, arrival: g.arrivals, alone: ev.Alone, avoid: ev.Avoid}
	g.requests[r.id] = r
	g.queue.push(r)
}

func (g *Group) finish(now time.Duration, ev Finish) {
	r := g.requests[ev.ID]
	if r == nil || r.target == nil {
		return
	}
	delete(g.requests, r.id)
	t := r.target
	t.inFlight--
	t.progress = now
	if r.alone {
		t.alone = false
	}
	if t.gone {
		g.forget(t)
		return
	}
	// The result of an earlier process says nothing about the present one.
	if r.bootID == t.bootID {
		t.finished(now, r, ev, &g.cfg)
	}
}

func (g *Group) targetSeen(ev TargetSeen) {
	t := g.byName[ev.Target]
	if t == nil {
		t = &target{name: ev.Target}
		g.byName[ev.Target] = t
	}
	if !slices.Contains(g.targets, t) {
		g.targets = append(g.targets, t)
	}
	t.seen(ev)
}

func (g *Group) targetRemoved(name string) {
	t := g.byName[name]
	if t == nil {
		return
	}
	t.gone = true
	g.targets = slices.DeleteFunc(g.targets, func(o *target) bool { return o == t })
	if g.reserved == t {
		g.reserved = nil
	}
	g.forget(t)
}

// forget drops a removed target once nothing is in flight there, so that a
// target that comes back meanwhile keeps its exact count.
func (g *Group) forget(t *target) {
	if t.gone && t.inFlight == 0 {
		delete(g.byName, t.name)
	}
}

func (g *Group) expire(now time.Duration) {
	for {
		r := g.queue.earliest(anyLane)
		if r == nil || r.deadline > now {
			return
		}
		g.refuse(r, ReasonDeadline)
	}
}

func (g *Group) refuse(r *request, reason Reason) {
	g.drop(r)
	g.actions = append(g.actions, Refuse{ID: r.id, Reason: reason})
}

// drop removes a waiting request.
func (g *Group) drop(r *request) {
	g.queue.remove(r)
	g.endTurn(r)
	delete(g.requests, r.id)
}

func (g *Group) endTurn(r *request) {
	if g.turn == r {
		g.turn, g.reserved = nil, nil
	}
}

// startOne starts one waiting request if it can: the one whose turn it is to
// run alone, else the earliest deadline that a target can be found for.
func (g *Group) startOne(now time.Duration) bool {
	if g.turn == nil {
		if r := g.queue.earliest(anyLane); r.alone {
			g.turn = r
		}
	}
	if g.turn != nil && g.startAlone(now, g.turn, true) {
		return true
	}
	return g.startShared(now) || g.turn == nil && g.startAlone(now, g.queue.earliest(aloneLane), false)
}

func (g *Group) startAlone(now time.Duration, r *request, reserve bool) bool {
	if r == nil {
		return false
	}
	t := g.chooseAlone(now, r, reserve)
	if t == nil {
		return false
	}
	g.start(now, r, choice{target: t})
	return true
}

// startShared starts the earliest request that does not run alone. Only
// requests that avoid the chosen target need a second choice.
func (g *Group) startShared(now time.Duration) bool {
	first := g.choose(now, nil)
	if first.target == nil {
		return false
	}
	avoids := func(l *lane) bool {
		return l.avoid == first.target.name && g.avoided(now, l.avoid) != nil
	}
	r := g.queue.earliest(func(l *lane) bool { return !l.alone && !avoids(l) })
	other := g.queue.earliest(func(l *lane) bool { return !l.alone && avoids(l) })
	if other != nil && (r == nil || other.before(r)) {
		if second := g.choose(now, first.target); second.target != nil {
			g.start(now, other, second)
			return true
		}
	}
	if r == nil {
		return false
	}
	g.start(now, r, first)
	return true
}

func (g *Group) start(now time.Duration, r *request, c choice) {
	g.queue.remove(r)
	g.endTurn(r)
	t := c.target
	r.target, r.bootID, r.generation, r.probe = t, t.bootID, t.generation, c.probe
	if t.inFlight == 0 {
		t.progress = now
	}
	t.inFlight++
	t.lastStart = now
	t.alone = r.alone
	g.sinceProbe++
	if c.probe {
		g.sinceProbe = 0
	}
	g.actions = append(g.actions, Start{ID: r.id, Target: t.name})
}
