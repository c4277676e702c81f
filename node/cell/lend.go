package cell

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/pkg/errors"
)

// lendSlack is how long after a request's deadline the leader's answer is
// still waited for.
const lendSlack = 50 * time.Millisecond

// returnTimeout bounds the report of a request's end.
const returnTimeout = time.Second

// Slot is the decision on a request, with the desk that made it.
type Slot struct {
	lending.Decision
	service string
	leader  string // peer address, "" if this VM made the decision
	desk    *desk
	By      string // VM that decided
}

// Lend asks for a slot: the leader if it is heard, otherwise this VM's own
// small share. The error is that of ctx.
func (s *Service) Lend(ctx context.Context, a LendArgs) (Slot, error) {
	began := s.clock.Now()
	for range leadersAsked {
		now := a.after(s.clock.Now() - began)
		if l := s.leadNow(a.Service); l != nil {
			d, err := l.ask(ctx, now)
			if !errors.Is(err, errClosed) {
				return Slot{Decision: d, service: a.Service, desk: l.desk, By: s.self.ID}, err
			}
		}
		slot, answer := s.lendRemote(ctx, now)
		switch {
		case answer == decided || ctx.Err() != nil:
			return slot, ctx.Err()
		case answer == noLeader:
			if slot, err := s.lendAlone(ctx, now); !errors.Is(err, errClosed) {
				return slot, err
			}
		}
	}
	// The cell changes leaders faster than this request can follow.
	return Slot{Decision: lending.Decision{Reason: lending.NotStarted, RetryAfter: silence}}, nil
}

// leadersAsked is how many leaders are asked for one slot: each but the first
// when the one before has handed its cell over, or when the cell has got a
// leader while the request waited at this VM's own desk.
const leadersAsked = 4

// leaderAnswer is how a call to a leader ended.
type leaderAnswer uint8

const (
	noLeader leaderAnswer = iota // none is known, or it does not answer
	moved                        // another VM leads; its record is known now
	decided
)

func (s *Service) lendRemote(ctx context.Context, a LendArgs) (Slot, leaderAnswer) {
	vm, c, ok := s.acting(a.Service)
	if !ok || vm.ID == s.self.ID || !s.heardOrNew(vm) {
		return Slot{}, noLeader
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Deadline+lendSlack)
	type answer struct {
		reply LendReply
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		defer cancel()
		var r answer
		r.err = s.peers.Call(call, vm.PeerAddress, RPCName+".Lend", a, &r.reply)
		answered <- r
	}()
	slot := func(r answer) Slot {
		return Slot{Decision: r.reply.Decision, service: a.Service, leader: vm.PeerAddress, By: vm.ID}
	}
	select {
	case r := <-answered:
		if r.err != nil {
			s.logger.Info("no answer from the leader", "request", a.RequestID, "service", a.Service, "leader", vm.ID, "error", r.err)
			s.forget(vm.ID, vm.Boot)
			return Slot{}, noLeader
		}
		s.noteHeard(vm.ID, vm.Boot, vm.PeerAddress)
		return slot(r), s.noteAnswer(vm, c, r.reply)
	case <-ctx.Done():
		go func() {
			if r := <-answered; r.err == nil && r.reply.Decision.Lent {
				s.Return(slot(r), lending.Usage{Result: lending.Unused})
			}
		}()
		return Slot{}, noLeader
	}
}

// noteAnswer takes what a VM that does not lead a cell any more knows of it.
func (s *Service) noteAnswer(asked fleet.VM, c *fleet.Cell, reply LendReply) leaderAnswer {
	if reply.Leads {
		return decided
	}
	if err := s.view.Learn(reply.Moved); err != nil {
		s.logger.Info("the record of a cell was not taken", "service", c.Service, "error", err)
	}
	if reply.Deputy != nil {
		s.noteDeputy(*reply.Deputy)
	}
	if now, _, ok := s.acting(c.Service); ok && (now.ID != asked.ID || now.Boot != asked.Boot) {
		return moved
	}
	return noLeader
}

// heardOrNew tells whether a leader is to be asked: it was heard lately, or it
// has just become known and nobody has asked it yet.
func (s *Service) heardOrNew(vm fleet.VM) bool {
	if s.heardLately(vm.ID, vm.Boot) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, asked := s.heard[vm.ID+vm.Boot]
	if !asked { // the other requests do not wait for its answer
		s.heard[vm.ID+vm.Boot] = s.clock.Now() - silence
	}
	return !asked
}

// forget treats a leader as silent until it answers again.
func (s *Service) forget(id, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[id+boot] = min(s.heard[id+boot], s.clock.Now()-silence)
}

func (s *Service) lendAlone(ctx context.Context, a LendArgs) (Slot, error) {
	s.solo.Inc(1)
	s.mu.Lock()
	d := s.solos[a.Service]
	if d == nil {
		d = newDesk(s, a.Service, s.retry.soloConfig())
		d.coldShare = 1 / float64(max(1, len(s.view.VMs())))
		s.solos[a.Service] = d
	}
	s.mu.Unlock()
	dec, err := d.ask(ctx, a)
	return Slot{Decision: dec, service: a.Service, desk: d, By: s.self.ID}, err
}

// Return ends the use of a slot.
func (s *Service) Return(slot Slot, u lending.Usage) {
	u.ID = slot.ID
	if slot.desk != nil {
		slot.desk.giveBack(u)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, returnTimeout)
		defer cancel()
		err := s.peers.Call(ctx, slot.leader, RPCName+".Return", ReturnArgs{Service: slot.service, Usage: u}, &struct{}{})
		if err != nil && !errors.Is(err, context.Canceled) {
			s.logger.Info("the end of a request was not reported", "leader", slot.By, "service", slot.service, "error", err)
		}
	}()
}
