package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/clock"
)

// running is a request that was sent to a target and is still in flight.
type running struct {
	target      string
	shard       int
	fence       uint64
	fingerprint uint64
	sentAt      time.Duration
	exclusive   bool
	// cancelRead stops waiting for the answer of a read; nil for a write.
	cancelRead    func()
	missedReports int  // consecutive load reports that seem not to count the request
	slotReleased  bool // admission already released its slot
}

// waitResult is the decision about a request that waited for a slot.
type waitResult struct {
	target string
	reason admission.Reason // set if the request was refused
}

// reasonMoved refuses a queued request because this VM no longer dispatches it.
const reasonMoved admission.Reason = "moved"

// waiter is a request that waits for a slot of a target.
type waiter struct {
	req    *Request
	result chan waitResult // buffered, so that endWait does not block
}

// group runs the admission state machine of one dispatch group and passes its
// decisions to the waiting requests.
type group struct {
	name    string
	service string
	clock   *clock.Clock

	mu        sync.Mutex
	admission *admission.Group
	nextID    admission.ID
	waiting   map[admission.ID]waiter
	running   map[admission.ID]running
	boots     map[string]string // boot id by target; empty if not known yet
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

// step passes an event to the admission state machine and carries out the
// actions that it returns. The caller holds mu.
func (g *group) step(ev admission.Event) {
	for _, a := range g.admission.Step(g.clock.Now(), ev) {
		switch a := a.(type) {
		case admission.Start:
			g.endWait(a.ID, waitResult{target: a.Target})
		case admission.Refuse:
			g.endWait(a.ID, waitResult{reason: a.Reason})
		}
	}
}

func (g *group) endWait(id admission.ID, result waitResult) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.result <- result
	}
}

// slot is the right to have one request in flight at a target.
type slot struct {
	id        admission.ID
	target    string
	exclusive bool // no other request may run on the target meanwhile
}

// admit waits until the request may be sent. The reason is empty unless the
// request was refused; it is ReasonDeadline if ctx ended, also by a cancellation.
// deadline is a clock reading; avoid is a target that refused or failed the
// request.
func (g *group) admit(ctx context.Context, req *Request, deadline time.Duration, exclusive bool, avoid string) (slot, admission.Reason) {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	ch := make(chan waitResult, 1)
	g.waiting[id] = waiter{req: req, result: ch}
	g.step(admission.Arrive{ID: id, Deadline: deadline, Exclusive: exclusive, Avoid: avoid})
	g.mu.Unlock()
	var result waitResult
	select {
	case result = <-ch:
	case <-ctx.Done():
		if !g.cancelWait(id) {
			result = <-ch
			if result.target != "" {
				g.finish(id, admission.ResultCancelled, 0)
			}
		}
		return slot{}, admission.ReasonDeadline
	}
	if result.reason != "" {
		return slot{}, result.reason
	}
	return slot{id: id, target: result.target}, ""
}

// cancelWait removes a request from the queue. It returns false if the request was
// already started or refused.
func (g *group) cancelWait(id admission.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; !ok {
		return false
	}
	delete(g.waiting, id)
	g.step(admission.Cancel{ID: id})
	return true
}

// refuseMoved refuses the queued requests that are no longer routed to this VM.
func (g *group) refuseMoved(stillRouted func(*Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, w := range g.waiting {
		if !stillRouted(w.req) {
			g.endWait(id, waitResult{reason: reasonMoved})
			g.step(admission.Cancel{ID: id})
		}
	}
}

// recordSent stores a request as in flight, for the reports to the manager and
// for the detection of crash suspects and missing requests.
func (g *group) recordSent(id admission.ID, r running) {
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

func (g *group) inFlightFingerprints(target string) []uint64 {
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

// updateTarget adds or updates a target and returns its previous boot id, or ""
// if none was known. An empty BootID in t keeps the previous one.
func (g *group) updateTarget(t admission.TargetUpdate) (previousBoot string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previousBoot = g.boots[t.Target]
	if t.BootID == "" {
		t.BootID = previousBoot
	}
	g.boots[t.Target] = t.BootID
	g.step(t)
	return previousBoot
}

func (g *group) hasTarget(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.boots[target]
	return ok
}

func (g *group) removeTarget(target string) {
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
