package admission

import (
	"slices"
	"time"
)

// Group admits the requests of one dispatch group to its targets. It is not safe
// for concurrent use. The clock readings passed as now must not decrease.
type Group struct {
	cfg              Config
	targets          []*target // in the order in which they were added
	byName           map[string]*target
	queue            queue
	requests         map[ID]*request // waiting and running requests
	arrivalCount     uint64
	startsSinceProbe int

	// nextExclusive is an exclusive request that had the earliest deadline of all
	// waiting ones. reserved is the target that it waits for, nil if none: nothing
	// else starts there.
	nextExclusive *request
	reserved      *target

	actions []Action
}

// NewGroup returns a group without targets.
func NewGroup(cfg Config) *Group {
	return &Group{cfg: cfg, byName: map[string]*target{}, queue: newQueue(), requests: map[ID]*request{}}
}

// Step applies an event and returns the resulting actions in order. Every
// Arrive ends in exactly one of these: a Refuse, a Cancel while the request
// waits, or a Start followed by a Finish. An Arrive has no effect if a request
// with the same ID waits or runs; a Finish has none if the request does not
// run, and a Cancel none if it does not wait.
func (g *Group) Step(now time.Duration, ev Event) []Action {
	g.actions = nil
	switch ev := ev.(type) {
	case Arrive:
		g.arrive(ev)
	case Finish:
		g.finish(now, ev)
	case Cancel:
		if r := g.requests[ev.ID]; r != nil && r.target == nil {
			g.removeWaiting(r)
		}
	case TargetUpdate:
		g.updateTarget(ev)
	case TargetRemoved:
		g.removeTarget(ev.Target)
	}
	g.expire(now)
	g.startAll(now)
	for g.queue.len() > g.cfg.MaxQueue {
		g.refuse(g.queue.byLatestDeadline.items[0], ReasonQueueFull)
		// A target may have been reserved for the refused request; other requests
		// may start there now.
		g.startAll(now)
	}
	return g.actions
}

// startAll starts waiting requests until none can be started.
func (g *Group) startAll(now time.Duration) {
	for g.queue.len() > 0 && g.startOne(now) {
	}
}

func (g *Group) arrive(ev Arrive) {
	if g.requests[ev.ID] != nil {
		return
	}
	g.arrivalCount++
	r := &request{id: ev.ID, deadline: ev.Deadline, arrival: g.arrivalCount, exclusive: ev.Exclusive, avoid: ev.Avoid}
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
	t.lastProgress = now
	if r.exclusive {
		t.exclusive = false
	}
	if t.removed {
		g.deleteIfDrained(t)
		return
	}
	// A result from a previous process of the target says nothing about the
	// present process.
	if r.bootID == t.bootID {
		t.recordResult(now, r, ev, &g.cfg)
	}
}

func (g *Group) updateTarget(ev TargetUpdate) {
	t := g.byName[ev.Target]
	if t == nil {
		t = &target{name: ev.Target}
		g.byName[ev.Target] = t
	}
	if !slices.Contains(g.targets, t) {
		g.targets = append(g.targets, t)
	}
	t.update(ev)
}

func (g *Group) removeTarget(name string) {
	t := g.byName[name]
	if t == nil {
		return
	}
	t.removed = true
	g.targets = slices.DeleteFunc(g.targets, func(o *target) bool { return o == t })
	if g.reserved == t {
		g.reserved = nil
	}
	g.deleteIfDrained(t)
}

// deleteIfDrained deletes a removed target once it has no requests in flight.
// Until then it is kept, so that inFlight stays exact if it is added again.
func (g *Group) deleteIfDrained(t *target) {
	if t.removed && t.inFlight == 0 {
		delete(g.byName, t.name)
	}
}

// expire refuses the waiting requests whose deadline has passed.
func (g *Group) expire(now time.Duration) {
	for {
		r := g.queue.earliest(anySubqueue)
		if r == nil || r.deadline > now {
			return
		}
		g.refuse(r, ReasonDeadline)
	}
}

func (g *Group) refuse(r *request, reason Reason) {
	g.removeWaiting(r)
	g.actions = append(g.actions, Refuse{ID: r.id, Reason: reason})
}

func (g *Group) removeWaiting(r *request) {
	g.queue.remove(r)
	g.clearNextExclusive(r)
	delete(g.requests, r.id)
}

// clearNextExclusive ends the reservation that was made for r, if any.
func (g *Group) clearNextExclusive(r *request) {
	if g.nextExclusive == r {
		g.nextExclusive, g.reserved = nil, nil
	}
}

// startOne starts one waiting request and reports whether it could. It tries
// nextExclusive, then the requests that are not exclusive, by deadline, and then,
// without a reservation, the earliest exclusive one.
func (g *Group) startOne(now time.Duration) bool {
	if g.nextExclusive == nil {
		if r := g.queue.earliest(anySubqueue); r.exclusive {
			g.nextExclusive = r
		}
	}
	if g.nextExclusive != nil && g.startExclusive(now, g.nextExclusive, true) {
		return true
	}
	return g.startShared(now) || g.nextExclusive == nil && g.startExclusive(now, g.queue.earliest(exclusiveSubqueue), false)
}

func (g *Group) startExclusive(now time.Duration, r *request, reserve bool) bool {
	if r == nil {
		return false
	}
	t := g.chooseExclusive(now, r, reserve)
	if t == nil {
		return false
	}
	g.start(now, r, choice{target: t})
	return true
}

// startShared starts the earliest waiting request that is not exclusive and for
// which a target is chosen. One that avoids the first choice gets a second.
func (g *Group) startShared(now time.Duration) bool {
	first := g.choose(now, nil)
	if first.target == nil {
		return false
	}
	avoids := func(l *subqueue) bool {
		return l.avoid == first.target.name && g.avoidedTarget(now, l.avoid) != nil
	}
	r := g.queue.earliest(func(l *subqueue) bool { return !l.exclusive && !avoids(l) })
	other := g.queue.earliest(func(l *subqueue) bool { return !l.exclusive && avoids(l) })
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
	g.clearNextExclusive(r)
	t := c.target
	r.target, r.bootID, r.generation, r.probe = t, t.bootID, t.generation, c.probe
	if t.inFlight == 0 {
		t.lastProgress = now
	}
	t.inFlight++
	t.lastStart = now
	t.exclusive = r.exclusive
	g.startsSinceProbe++
	if c.probe {
		g.startsSinceProbe = 0
	}
	g.actions = append(g.actions, Start{ID: r.id, Target: t.name})
}
