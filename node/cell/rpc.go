package cell

import (
	"context"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// handler serves the calls of other VMs.
type handler struct{ s *Service }

// Lend implements the call of the same name.
func (h *handler) Lend(a LendArgs, reply *LendReply) error {
	l := h.s.leadNow(a.Service)
	if l == nil {
		h.s.tellLeader(a.Service, reply)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.s.ctx, a.Deadline)
	defer cancel()
	d, err := l.ask(ctx, a)
	switch {
	case errors.Is(err, errClosed):
		h.s.tellLeader(a.Service, reply)
		return nil
	case err != nil:
		d = lending.Decision{Reason: lending.Expired}
	}
	reply.Decision, reply.Leads = d, true
	return nil
}

// tellLeader answers a VM that asked the wrong one for a slot.
func (s *Service) tellLeader(service string, reply *LendReply) {
	reply.Moved = s.recordOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, has := s.deputies[service]; has {
		reply.Deputy = &DeputyArgs{Service: service, Change: d.change, VM: d.vm}
	}
}

// recordOf returns the record of a cell as it is passed on, or nothing.
func (s *Service) recordOf(service string) []view.Change {
	c, err := s.view.Packed(view.System, view.CellKey(service))
	if err != nil {
		s.logger.Info("the record of a cell is not passed on", "service", service, "error", err)
		return nil
	}
	return []view.Change{c}
}

// tellAll tells the other VMs that this one leads a cell. Their requests wait,
// and otherwise they would learn it from an exchange some hundred milliseconds later.
func (s *Service) tellAll(service string) {
	others, told := s.others(""), 0
	askAll(s.ctx, s, others, "Tell", TellArgs{Record: s.recordOf(service)}, func(fleet.VM, struct{}) { told++ })
	s.logger.Info("told the VMs who leads a cell", "service", service, "told", told, "vms", len(others))
}

// Tell implements the call of the same name.
func (h *handler) Tell(a TellArgs, _ *struct{}) error { return h.s.view.Learn(a.Record) }

// Return implements the call of the same name.
func (h *handler) Return(a ReturnArgs, _ *struct{}) error {
	if l := h.s.leadOf(a.Service); l != nil {
		l.giveBack(a.Usage)
	}
	return nil
}

// Sync implements the call of the same name.
func (h *handler) Sync(a SyncArgs, reply *SyncReply) error {
	reply.Boot = h.s.self.Boot
	if a.Passes {
		reply.Batch = h.s.view.Since(a.Known)
	}
	return nil
}

// leadNow returns the cell of a service if this VM leads it. A cell that was
// handed to this VM a moment ago is begun.
func (s *Service) leadNow(service string) *lead {
	l := s.leadOf(service)
	if c, _ := s.view.Cell(service); l == nil && c != nil && c.Leader == s.self.ID && c.Boot == s.self.Boot && !s.hasDeputy(service, c) {
		s.look()
		l = s.leadOf(service)
	}
	return l
}

func (s *Service) leadOf(service string) *lead {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads[service]
}
