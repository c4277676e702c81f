package cell

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// A deputy stands in for a leader that shuts down while the store accepts no record
// that names a successor. The deputy lends slots and renews the key grants of the
// leader's last record under the same fences; it assigns no key to another owner. If
// the service has keys, the deputy becomes the leader once the store accepts its record.

// deputy is the VM that stands in for the leader named in a record.
type deputy struct {
	change uint64 // Change of that record
	vm     fleet.VM
}

// ActArgs asks a VM to become the deputy of the leader that sends it, which has stopped
// granting keys. Record is the newest record of the cell. Follows is the process that sends
// it if that is itself a deputy, or "".
type ActArgs struct {
	Service string
	Record  []view.Change
	Learned lending.Learned
	Follows string
}

// ActReply tells whether the VM has become the deputy. Refused is why the VM has not and
// will not; it is empty if the VM may have.
type ActReply struct {
	Acts    bool
	Refused string
}

// DeputyArgs announces that VM is the deputy of the leader named in the record that
// Change identifies.
type DeputyArgs struct {
	Service string
	Change  uint64
	VM      fleet.VM
	Record  []view.Change // the leader's record, empty if it is not passed on
}

// appointDeputy asks the candidates one after the other to become the deputy of
// this leader, and reports whether one of them did. refused tells that all have refused;
// otherwise one of them may act although its answer was lost.
func (s *Service) appointDeputy(ctx context.Context, l *leadership) (acts, refused bool) {
	l.mu.Lock()
	args := ActArgs{Service: l.service, Record: s.recordOf(l.service), Learned: l.lender.Learned(), Follows: l.deputyProcess()}
	l.mu.Unlock()
	c, _ := s.view.Cell(l.service)
	refused = true
	s.setResigned(l.service, true)
	defer func() { s.setResigned(l.service, !refused) }()
	for _, vm := range s.leaderCandidates(l.service) {
		if ctx.Err() != nil {
			break // the others are not asked
		}
		var reply ActReply
		err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Act", args, &reply)
		if err == nil && reply.Acts {
			s.noteDeputy(DeputyArgs{Service: l.service, Change: c.Change, VM: vm})
			return true, false
		}
		refused = refused && (notCalled(err) || err == nil && reply.Refused != "")
		s.logger.Info("VM did not become deputy of the leader", "service", l.service, "vm", vm.ID, "refused", refusal(err, &reply.Refused), "error", err)
	}
	return false, refused
}

func (s *Service) setResigned(service string, resigned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resigned[service] = resigned
}

// Act makes this VM the deputy of the calling leader.
func (h *handler) Act(a ActArgs, reply *ActReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Act")
	s := h.s
	if len(a.Record) == 0 {
		return errors.Errorf("act for the leader of the cell of %q: the call has no record", a.Service)
	}
	if err := s.view.Learn(a.Record); err != nil {
		reply.Refused = err.Error()
		return nil
	}
	svc, c, number, err := s.prepareAct(a)
	if err != nil {
		reply.Refused = err.Error()
		return nil
	}
	s.mu.Lock()
	s.learnedFromLeader[a.Service] = a.Learned
	s.mu.Unlock()
	s.startLeadingAs(a.Service, s.inherit(svc, maxHoldAfterLease(c.GrantHold())), number, c, a.Follows)
	s.announceDeputy(DeputyArgs{Service: a.Service, Change: c.Change, VM: s.self, Record: s.recordOf(a.Service)})
	reply.Acts = true
	return nil
}

// prepareAct checks whether this VM can be the deputy that a leader asks for, and returns
// the service with the leader's record and its number.
func (s *Service) prepareAct(a ActArgs) (svc fleet.Service, c *fleet.Cell, number int64, err error) {
	cfg, _ := s.view.Config()
	c, number = s.view.Cell(a.Service)
	if s.retiring.Load() || cfg == nil || c == nil || a.Record[0].Offset != view.Offset(number) {
		return svc, nil, 0, errors.New("the VM cannot be deputy: it is shutting down, has no configuration, or knows another record than the one sent")
	}
	svc, ok := cfg.Service(a.Service)
	if !ok || s.leadershipOf(a.Service) != nil {
		return svc, nil, 0, errors.New("the VM cannot be deputy: it leads the cell already, or its configuration lacks the service")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.follower(a.Service).MaySupport(s.clock.Now(), support.Grantor{Leader: c.Leader + c.Boot, Deputy: s.process(), Follows: a.Follows}) {
		return svc, nil, 0, errors.New("the VM cannot be deputy: it has released the leader, or supports another deputy")
	}
	return svc, c, number, nil
}

// announceDeputy tells all VMs to ask the deputy for slots. It does not wait for them.
func (s *Service) announceDeputy(a DeputyArgs) {
	s.noteDeputy(a)
	for _, vm := range s.others("") {
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
			defer cancel()
			if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Deputy", a, &struct{}{}); err != nil {
				s.logger.Info("could not tell a VM who is deputy of a cell's leader", "service", a.Service, "vm", vm.ID, "error", err)
			}
		}()
	}
}

// Deputy records that another VM has become a deputy, and applies the leader's record.
func (h *handler) Deputy(a DeputyArgs, _ *struct{}) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Deputy")
	err = h.s.view.Learn(a.Record)
	h.s.noteDeputy(a)
	return err
}

// noteDeputy records which VM is deputy of a cell's leader, unless one is known for the
// newest record and the given one is for another record.
func (s *Service) noteDeputy(a DeputyArgs) {
	c, _ := s.view.Cell(a.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, has := s.deputies[a.Service]; has && c != nil && d.change == c.Change && a.Change != c.Change {
		return
	}
	s.deputies[a.Service] = deputy{a.Change, a.VM}
	s.logger.Info("VM is deputy of a cell's leader", "service", a.Service, "vm", a.VM.ID, "boot", a.VM.Boot, "change", a.Change)
}

// currentLeader returns the VM that leads a cell now, and the newest record of the
// cell. The VM is the deputy of the leader that the record names, or that leader. ok
// is false if there is no record, or no deputy and the leader's process has ended.
func (s *Service) currentLeader(service string) (vm fleet.VM, c *fleet.Cell, ok bool) {
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

// process identifies the process of this VM.
func (s *Service) process() string { return s.self.ID + s.self.Boot }

// deputyProcess returns the process of this VM if it is a deputy, and "" otherwise.
func (l *leadership) deputyProcess() string {
	if l.deputyFor == nil {
		return ""
	}
	return l.s.process()
}

// claimAsDeputy writes a record that makes this deputy the leader, if the store answers.
func (l *leadership) claimAsDeputy(ctx context.Context) {
	cfg, _ := l.view.Config()
	svc, ok := cfg.Service(l.service)
	if !ok || !l.isCurrent() || !l.claimingAsDeputy.CompareAndSwap(false, true) {
		return
	}
	defer l.claimingAsDeputy.Store(false)
	ctx, cancel := context.WithTimeout(ctx, time.Second+syncTimeout)
	defer cancel()
	if err := l.s.readSystem(ctx); err != nil || !l.isCurrent() {
		return // the store is still unreachable (the feed logs that), or the cell has a newer record
	}
	// The leader may have asked another VM to be deputy and lost its answer.
	r := newReleaseVotes(l.service, l.deputyFor)
	r.deputy = l.deputyProcess()
	l.s.requestReleases(ctx, r)
	p := l.s.successionBy(r)
	p.continuous = l.holdsLease()
	if err := l.s.claim(ctx, svc, l.deputyFor, p); err != nil {
		l.logger.Info("could not claim the cell", "error", err)
		return
	}
	l.s.watchPreviousLeader(r)
}
