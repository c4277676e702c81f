package cell

import (
	"context"

	"github.com/mangogate/mangogate/core/lending"
)

// handler serves the calls of other VMs.
type handler struct{ s *Service }

// Lend implements the call of the same name.
func (h *handler) Lend(a LendArgs, reply *LendReply) error {
	l := h.s.leadOf(a.Service)
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(h.s.ctx, a.Deadline)
	defer cancel()
	d, err := l.ask(ctx, a)
	if err != nil {
		d = lending.Decision{Reason: lending.Expired}
	}
	reply.Decision, reply.Leads = d, true
	return nil
}

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
		reply.Batch = h.s.view.Since(a.Ends)
	}
	return nil
}

// Heard implements the call of the same name.
func (h *handler) Heard(a HeardArgs, reply *HeardReply) error {
	reply.Lately = h.s.heardLately(a.Leader, a.Boot)
	return nil
}

func (s *Service) leadOf(service string) *lead {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads[service]
}
