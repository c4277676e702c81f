package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/clock"
)

// running is a request that was sent to a target and has not ended.
type running struct {
	target      string
	shard       int
	fence       uint64
	fingerprint uint64
	sentAt      time.Duration
	alone       bool
	// abandon ends the wait for the answer of a read.
	abandon func()
	missing int  // load reports in a row in which it seems to be missing
	lost    bool // its slot was given to another request
}

// verdict is the end of a request's wait for a slot.
type verdict struct {
	target string
	reason admission.Reason // set when it was refused
}

// reasonMoved ends the wait of a request whose route has changed.
const reasonMoved admission.Reason = "moved"

// waiter is a request that waits for a slot.
type waiter struct {
	req *Request
	end chan verdict // buffered
}

// group is the shell around the admission of one dispatch group.
type group struct {
	name    string
	service string
	clock   *clock.Clock

	mu        sync.Mutex
	admission *admission.Group
	nextID    admission.ID
	waiting   map[admission.ID]waiter
	running   map[admission.ID]running
	boots     map[string]string // boot id by target
}

func newGroup(name string, s inventory.Service, c *clock.Clock) *group {
	queue := s.MaxQueue
	if queue == 0 {
		queue = inventory.DefaultMaxQueue
	}
	return &group{
		name: name, service: s.Name, clock: c,
		admission: admission.NewGroup(admission.DefaultConfig(queue)),
		waiting:   map[admission.ID]waiter{},
		running:   map[admission.ID]running{},
		boots:     map[string]string{},
	}
}

// step feeds an event and carries out the actions; mu is held.
func (g *group) step(ev admission.Event) {
	for _, a := range g.admission.Step(g.clock.Now(), ev) {
		switch a := a.(type) {
		case admission.Start:
			g.decide(a.ID, verdict{target: a.Target})
		case admission.Refuse:
			g.decide(a.ID, verdict{reason: a.Reason})
		}
	}
}

func (g *group) decide(id admission.ID, v verdict) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.end <- v
	}
}

// slot is a place at a target.
type slot struct {
	id     admission.ID
	target string
	alone  bool // the request runs alone there
}

// admit waits until the request may be sent. The reason is set when it was
// refused or ctx ended.
func (g *group) admit(ctx context.Context, req *Request, deadline time.Duration, alone bool, avoid string) (slot, admission.Reason) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	ch := make(chan verdict, 1)
	g.waiting[id] = waiter{req: req, end: ch}
	g.step(admission.Arrive{ID: id, Deadline: deadline, Alone: alone, Avoid: avoid})
	g.mu.Unlock()
	var v verdict
	select {
	case v = <-ch:
	case <-ctx.Done():
		if !g.withdraw(id) {
			v = <-ch
			if v.target != "" {
				g.finish(id, admission.ResultCancelled, 0)
			}
		}
		return slot{}, admission.ReasonDeadline
	}
	if v.reason != "" {
		return slot{}, v.reason
	}
	return slot{id: id, target: v.target}, ""
}

// withdraw returns false when the request was decided already.
func (g *group) withdraw(id admission.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; !ok {
		return false
	}
	delete(g.waiting, id)
	g.step(admission.Cancel{ID: id})
	return true
}

// evict ends the wait of requests that this VM is no longer to send.
func (g *group) evict(stays func(*Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range g.waiting {
		if !stays(w.req) {
			g.decide(id, verdict{reason: reasonMoved})
			g.step(admission.Cancel{ID: id})
		}
	}
}

// started notes a request as in flight, for reports and crash suspicion.
func (g *group) started(id admission.ID, r running) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = r
}

func (g *group) finish(id admission.ID, result admission.Result, serviceTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, id)
	g.step(admission.Finish{ID: id, Result: result, ServiceTime: serviceTime})
}

// inFlight returns the fingerprints of what runs at a target.
func (g *group) inFlight(target string) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []uint64
	for _, r := range g.running {
		if r.target == target {
			out = append(out, r.fingerprint)
		}
	}
	return out
}

func (g *group) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(admission.Tick{})
}

// seen updates a target and returns its former boot id.
func (g *group) seen(t admission.TargetSeen) (formerBoot string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	formerBoot = g.boots[t.Target]
	if t.BootID == "" {
		t.BootID = formerBoot
	}
	g.boots[t.Target] = t.BootID
	g.step(t)
	return formerBoot
}

// knows tells whether the target was seen before.
func (g *group) knows(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.boots[target]
	return ok
}

func (g *group) removed(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.boots, target)
	g.step(admission.TargetRemoved{Target: target})
}

func (g *group) knownTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.boots))
	for t := range g.boots {
		out = append(out, t)
	}
	return out
}
