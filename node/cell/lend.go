package cell

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/pkg/errors"
)

// lendSlack is how long after the request's deadline a Lend call is ended.
const lendSlack = 50 * time.Millisecond

// returnTimeout bounds the call that returns a slot to the leader.
const returnTimeout = time.Second

// Slot is the decision on a request for a slot, with what is needed to return the
// slot to the VM that lent it.
type Slot struct {
	lending.Decision
	service      string
	leader       string // peer address, "" if this VM made the decision
	lenderDriver *lenderDriver
	DecidedBy    string // VM id
}

// AcquireSlot asks the leader of a cell for a slot. If no leader answers, this VM lends
// the slot itself, within a small share of the cell's capacity. The only errors are
// those of ctx.
func (s *Service) AcquireSlot(ctx context.Context, a LendArgs) (Slot, error) {
	began, askedAgain := s.clock.Now(), false
	for range maxLeadersAsked {
		now := a.after(s.clock.Now() - began)
		if l := s.currentLeadership(a.Service); l != nil {
			d, err := l.requestSlot(ctx, now)
			if !errors.Is(err, errAskLeader) {
				return Slot{Decision: d, service: a.Service, lenderDriver: l.lenderDriver, DecidedBy: s.self.ID}, err
			}
		}
		slot, answer := s.lendRemote(ctx, now)
		switch {
		case answer == decided || ctx.Err() != nil:
			return slot, ctx.Err()
		case answer == lost && !askedAgain:
			askedAgain = true
		case answer == noLeader || answer == lost:
			if slot, err := s.lendLocally(ctx, now); !errors.Is(err, errAskLeader) {
				return slot, err
			}
		}
	}
	// Each attempt ended because another leader had to be asked.
	return Slot{Decision: lending.Decision{Reason: lending.NotStarted, RetryAfter: leaderTimeout}}, nil
}

// maxLeadersAsked is how many leaders are asked for one slot. A further one is asked if
// the previous one no longer leads the cell, or if a leader answers again while the
// request waits for this VM to lend locally.
const maxLeadersAsked = 4

// leaderAnswer is the outcome of a Lend call to a leader.
type leaderAnswer uint8

const (
	noLeader leaderAnswer = iota // no other VM is known to lead the cell, or it does not answer
	moved                        // the VM asked does not lead the cell, and another process that does is known
	decided                      // the leader has lent or refused a slot
	lost                         // the call failed, but the leader has answered another one since
)

// lendRemote asks the leader for a slot if it is another VM. A slot that is lent after
// ctx has ended, or after the leader was given up as silent, is returned unused.
func (s *Service) lendRemote(ctx context.Context, a LendArgs) (Slot, leaderAnswer) {
	vm, c, ok := s.currentLeader(a.Service)
	if !ok || vm.ID == s.self.ID || !s.shouldAsk(vm) {
		return Slot{}, noLeader
	}
	began := s.clock.Now()
	a.SentAt, a.Leaving = s.clockOf(vm), s.view.Announcements(a.Service)
	silent, done := s.awaitLeader(vm, began)
	defer done()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Deadline+lendSlack)
	type answer struct {
		reply LendReply
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		defer cancel()
		var reply LendReply
		if err := s.peers.Call(callCtx, vm.PeerAddress, RPCName+".Lend", a, &reply); err != nil {
			answered <- answer{err: err} // the reply of a call that failed may still be written
			return
		}
		answered <- answer{reply: reply}
	}()
	slot := func(r answer) Slot {
		return Slot{Decision: r.reply.Decision, service: a.Service, leader: vm.PeerAddress, DecidedBy: vm.ID}
	}
	returnLate := func() {
		r := <-answered
		if r.err != nil {
			return
		}
		s.noteHeard(vm.ID, vm.Boot, vm.PeerAddress)
		if r.reply.Decision.Lent {
			s.Return(slot(r), lending.Usage{Result: lending.Unused})
		}
	}
	select {
	case r := <-answered:
		if r.err != nil {
			s.logger.Info("Lend call to the leader failed", "request", a.RequestID, "service", a.Service, "leader", vm.ID, "error", r.err)
			if s.heardSince(vm, began) { // only this connection was lost
				return Slot{}, lost
			}
			s.markSilent(vm.ID, vm.Boot)
			return Slot{}, noLeader
		}
		s.noteHeard(vm.ID, vm.Boot, vm.PeerAddress)
		s.noteClock(vm, r.reply.Clock)
		if r.reply.Leads {
			s.localLender(a.Service).noteDecision(a, c, r.reply.Decision)
		}
		return slot(r), s.handleLendReply(vm, c, r.reply)
	case <-silent:
		go returnLate()
		return Slot{}, noLeader
	case <-ctx.Done():
		go returnLate()
		return Slot{}, noLeader
	}
}

// handleLendReply returns the outcome of a Lend call. If the VM asked does not lead the
// cell, it applies what that VM replied about the present leader.
func (s *Service) handleLendReply(asked fleet.VM, c *fleet.Cell, reply LendReply) leaderAnswer {
	if reply.Leads {
		return decided
	}
	if err := s.view.Learn(reply.Moved); err != nil {
		s.logger.Info("could not decode the record of a cell in a reply", "service", c.Service, "error", err)
	}
	if reply.Deputy != nil {
		s.noteDeputy(*reply.Deputy)
	}
	if leader, _, ok := s.currentLeader(c.Service); ok && (leader.ID != asked.ID || leader.Boot != asked.Boot) {
		return moved
	}
	return noLeader
}

// shouldAsk reports whether a leader is to be asked for slots: it has answered within
// leaderTimeout, or it has no entry in lastHeard, so that one request asks it.
func (s *Service) shouldAsk(vm fleet.VM) bool {
	if s.heardRecently(vm.ID, vm.Boot) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, asked := s.lastHeard[vm.ID+vm.Boot]
	if !asked { // other requests are lent slots locally until the leader has answered
		s.lastHeard[vm.ID+vm.Boot] = s.clock.Now() - leaderTimeout
	}
	return !asked
}

// markSilent makes heardRecently false for a process until it answers again.
func (s *Service) markSilent(id, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard[id+boot] = min(s.lastHeard[id+boot], s.clock.Now()-leaderTimeout)
}

// lendLocally lets this VM lend a slot itself, within its share of the slots (see
// lending.Config.SlotsPerTarget).
func (s *Service) lendLocally(ctx context.Context, a LendArgs) (Slot, error) {
	s.localLends.Inc(1)
	d := s.localLender(a.Service)
	d.noteUse()
	dec, err := d.requestSlot(ctx, a)
	return Slot{Decision: dec, service: a.Service, lenderDriver: d, DecidedBy: s.self.ID}, err
}

// localLender returns the lender with which this VM lends slots of a service locally, and
// which remembers what the leader lent to it.
func (s *Service) localLender(service string) *lenderDriver {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.localLenders[service]
	if d == nil {
		d = newLenderDriver(s, service, s.retry.localConfig(len(s.view.VMs())))
		d.lendsLocally = true
		s.localLenders[service] = d
	}
	return d
}

// Return returns a slot to the VM that lent it, and reports how the request ended. The
// call to another VM is asynchronous, and its failure is only logged.
func (s *Service) Return(slot Slot, u lending.Usage) {
	u.ID = slot.ID
	if slot.lenderDriver != nil {
		slot.lenderDriver.returnSlot(u)
		return
	}
	if u.Result == lending.Answered {
		s.localLender(slot.service).noteWork(u.Took)
	}
	args := ReturnArgs{Service: slot.service, Usage: u, Leaving: s.view.Announcements(slot.service)}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, returnTimeout)
		defer cancel()
		err := s.peers.Call(ctx, slot.leader, RPCName+".Return", args, &struct{}{})
		if err != nil && !errors.Is(err, context.Canceled) {
			s.logger.Info("could not return a slot to the leader", "leader", slot.DecidedBy, "service", slot.service, "error", err)
		}
	}()
}
