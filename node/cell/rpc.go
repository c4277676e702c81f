package cell

import (
	"context"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// handler serves the RPCs that other VMs call, by the names of its exported methods.
type handler struct{ s *Service }

// Lend decides on a request for a slot. If this VM does not lead the cell, the reply
// tells which VM does, as far as known.
func (h *handler) Lend(a LendArgs, reply *LendReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Lend")
	if a.Key != lending.NoKey && (a.Key < 0 || a.Key >= keyspace.Keys) {
		return errors.Errorf("request %s of VM %s: the key %d is out of range", a.RequestID, a.VM, a.Key)
	}
	defer func() { reply.Clock = h.s.clock.Now() }()
	h.s.learnLeaving(a.VM, a.Service, a.Leaving)
	l := h.s.currentLeadership(a.Service)
	if l == nil {
		h.s.redirectToLeader(a.Service, reply)
		return nil
	}
	unread, abandoned := h.s.unread(a.SentAt)
	if a = a.after(unread); abandoned || unread > 0 && a.Deadline <= 0 {
		h.s.expiredInPauses.Inc(1)
		reply.Decision, reply.Leads = lending.Decision{Reason: lending.Expired, RetryAfter: leaderTimeout, Waited: a.Age}, true
		return nil
	}
	ctx, cancel := context.WithTimeout(h.s.ctx, a.Deadline)
	defer cancel()
	d, err := l.requestSlot(ctx, a)
	switch {
	case errors.Is(err, errAskLeader):
		h.s.redirectToLeader(a.Service, reply)
		return nil
	case err != nil:
		d = lending.Decision{Reason: lending.Expired}
	}
	reply.Decision, reply.Leads = d, true
	return nil
}

// redirectToLeader tells a VM that asked this one for a slot which VM leads the cell.
func (s *Service) redirectToLeader(service string, reply *LendReply) {
	reply.Moved = s.recordOf(service)
	c, _ := s.view.Cell(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, has := s.deputies[service]; has && c != nil && d.change == c.Change {
		reply.Deputy = &DeputyArgs{Service: service, Change: d.change, VM: d.vm}
	}
}

// recordOf returns the newest known record of a cell in the form in which VMs send
// it to each other, or nil if there is none.
func (s *Service) recordOf(service string) []view.Change {
	c, err := s.view.Packed(view.System, view.CellKey(service))
	if err != nil {
		s.logger.Info("could not pass on the record of a cell", "service", service, "error", err)
		return nil
	}
	return []view.Change{c}
}

// announceLeader tells the other VMs that this one leads a cell. Requests wait there,
// and the next exchange of views may be some hundred milliseconds away.
func (s *Service) announceLeader(service string) {
	others, told := s.others(""), 0
	callAll(s.ctx, s, others, "Tell", TellArgs{Record: s.recordOf(service)}, func(fleet.VM, struct{}) { told++ })
	s.logger.Info("announced the new leader of a cell to the other VMs", "service", service, "told", told, "vms", len(others))
}

// Tell applies the record of a cell that has a new leader.
func (h *handler) Tell(a TellArgs, _ *struct{}) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Tell")
	return h.s.view.Learn(a.Record)
}

// Return takes back a slot that this VM lent, if it still leads the cell.
func (h *handler) Return(a ReturnArgs, _ *struct{}) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Return")
	h.s.learnLeaving("", a.Service, a.Leaving)
	if l := h.s.leadershipOf(a.Service); l != nil {
		l.returnSlot(a.Usage)
	}
	return nil
}

// Sync answers a heartbeat, and adds what the calling VM lacks if Passes is set.
func (h *handler) Sync(a SyncArgs, reply *SyncReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Sync")
	reply.Boot = h.s.self.Boot
	if a.Passes {
		reply.Batch = h.s.view.Since(a.Known)
	}
	return nil
}

// currentLeadership returns this VM's leadership of a cell, or nil. If the newest
// record already names this VM but the leadership has not started, it starts it.
func (s *Service) currentLeadership(service string) *leadership {
	l := s.leadershipOf(service)
	if c, _ := s.view.Cell(service); l == nil && c != nil && c.Leader == s.self.ID && c.Boot == s.self.Boot && !s.hasDeputy(service, c) {
		s.reconcile()
		l = s.leadershipOf(service)
	}
	return l
}

func (s *Service) leadershipOf(service string) *leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderships[service]
}
