package cell

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// A deputy goes on for a leader that stops while the store takes no record of a
// new one. It lends, and renews the grants of the leader's record under the
// same fences; it changes no owner. It becomes the leader once the store takes
// its own record.

// deputy is the VM that acts for the leader of a record.
type deputy struct {
	change uint64 // of the record
	vm     fleet.VM
}

// ActArgs asks a VM to act for the leader of a record, which grants nothing any
// more.
type ActArgs struct {
	Service string
	Record  []view.Change
	Learned lending.Learned
}

// ActReply tells whether it does.
type ActReply struct{ Acts bool }

// DeputyArgs tells who acts for the leader of a record.
type DeputyArgs struct {
	Service string
	Change  uint64
	VM      fleet.VM
	Record  []view.Change // of that leader, empty if it is not passed on
}

// appoint asks VMs to act for this leader until one does.
func (s *Service) appoint(ctx context.Context, l *lead) bool {
	l.mu.Lock()
	args := ActArgs{Service: l.service, Record: s.recordOf(l.service), Learned: l.lender.Learned()}
	l.mu.Unlock()
	c, _ := s.view.Cell(l.service)
	for _, vm := range s.candidates(l.service) {
		var reply ActReply
		err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Act", args, &reply)
		if err == nil && reply.Acts {
			s.noteDeputy(DeputyArgs{Service: l.service, Change: c.Change, VM: vm})
			return true
		}
		s.logger.Info("a VM does not act for the leader", "service", l.service, "vm", vm.ID, "error", err)
	}
	return false
}

// Act implements the call of the same name.
func (h *handler) Act(a ActArgs, reply *ActReply) error {
	s := h.s
	if err := s.view.Learn(a.Record); err != nil {
		return err
	}
	cfg, _ := s.view.Config()
	c, number := s.view.Cell(a.Service)
	if s.retiring.Load() || cfg == nil || c == nil || len(a.Record) == 0 || a.Record[0].Offset != view.Offset(number) {
		return errors.New("the VM cannot act for the leader of that record")
	}
	svc, ok := cfg.Service(a.Service)
	if !ok || s.leadOf(a.Service) != nil {
		return errors.New("the VM leads the cell already, or does not know its service")
	}
	s.mu.Lock()
	s.offered[a.Service] = a.Learned
	s.mu.Unlock()
	s.beginAs(a.Service, s.inherit(svc, 0), number, c)
	s.announce(DeputyArgs{Service: a.Service, Change: c.Change, VM: s.self, Record: s.recordOf(a.Service)})
	reply.Acts = true
	return nil
}

// announce tells all VMs whom to ask for slots.
func (s *Service) announce(a DeputyArgs) {
	s.noteDeputy(a)
	for _, vm := range s.others("") {
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
			defer cancel()
			if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Deputy", a, &struct{}{}); err != nil {
				s.logger.Info("a VM was not told who acts for a leader", "service", a.Service, "vm", vm.ID, "error", err)
			}
		}()
	}
}

// Deputy implements the call of the same name.
func (h *handler) Deputy(a DeputyArgs, _ *struct{}) error {
	h.s.noteDeputy(a)
	return h.s.view.Learn(a.Record)
}

func (s *Service) noteDeputy(a DeputyArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deputies[a.Service] = deputy{a.Change, a.VM}
	s.logger.Info("a VM acts for a leader", "service", a.Service, "vm", a.VM.ID, "boot", a.VM.Boot, "change", a.Change)
}

// acting returns the VM that leads a cell now: the leader that the record
// names, or the one that acts for it.
func (s *Service) acting(service string) (vm fleet.VM, c *fleet.Cell, ok bool) {
	c, _ = s.view.Cell(service)
	if c == nil {
		return fleet.VM{}, nil, false
	}
	s.mu.Lock()
	d, has := s.deputies[service]
	s.mu.Unlock()
	if has && d.change == c.Change {
		return d.vm, c, true
	}
	vm, ok = s.view.VM(c.Leader)
	return vm, c, ok && vm.Boot == c.Boot
}

// takeOver lets a deputy write a record of its own, once the store answers.
func (l *lead) takeOver(ctx context.Context) {
	cfg, _ := l.view.Config()
	svc, ok := cfg.Service(l.service)
	if !ok || !l.leads() || !l.takingOver.CompareAndSwap(false, true) {
		return
	}
	defer l.takingOver.Store(false)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := l.s.readSystem(ctx); err != nil || !l.leads() {
		return // the store is away still, which the feed has logged, or the leader went on
	}
	// The answer of another VM that was asked to act may have been lost: it stops
	// as a leader does.
	if err := l.s.claim(ctx, svc, l.acts, boundOf(authority)); err != nil {
		l.logger.Info("claim failed", "error", err)
	}
}
