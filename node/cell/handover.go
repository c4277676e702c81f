package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

const (
	// handoverTimeout bounds a planned change of leader. Without one the cell
	// gets a leader as after a loss.
	handoverTimeout = 1500 * time.Millisecond
	// candidatesAsked is how many VMs are asked one after the other.
	candidatesAsked = 4
	pendingPoll     = 10 * time.Millisecond
)

// TakeArgs asks a VM whether it would lead a cell.
type TakeArgs struct {
	Service string
	Learned lending.Learned
}

// TakeReply is its answer.
type TakeReply struct{ Willing bool }

// LearnArgs tells a VM of records before it would read them.
type LearnArgs struct{ Changes []view.Change }

// Retire hands all cells that this VM leads to others, and keeps it from
// leading any more. It is called when the VM is about to stop.
func (s *Service) Retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.retiring.Store(true)
	s.mu.Lock()
	leads := make([]*lead, 0, len(s.leads))
	for _, l := range s.leads {
		leads = append(leads, l)
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range leads {
		wg.Go(func() {
			if err := s.handOver(ctx, l); err != nil {
				s.logger.Info("a cell was not handed over", "service", l.service, "error", err)
			}
		})
	}
	wg.Wait()
}

// handOver names another VM as the leader of a cell and tells it so.
func (s *Service) handOver(ctx context.Context, l *lead) error {
	next, ok := s.successor(ctx, l)
	if !ok {
		return errors.New("no VM is willing to lead it")
	}
	record := &fleet.Cell{Service: l.service, Leader: next.ID, Boot: next.Boot}
	if err := l.freeze(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	if l.keys != nil {
		record.Keys = l.keys.Assignments()
	}
	l.mu.Unlock()
	number, err := s.write(ctx, record)
	if err != nil {
		return errors.Wrap(err, "write the record of the new leader")
	}
	s.logger.Info("handed a cell over", "service", l.service, "to", next.ID, "boot", next.Boot, "number", number)
	return errors.Wrapf(s.tell(ctx, next, l.service), "tell %s", next.ID)
}

// successor returns the first VM, in the order in which they would replace a
// leader, that is willing to lead a cell.
func (s *Service) successor(ctx context.Context, l *lead) (fleet.VM, bool) {
	vms := slices.DeleteFunc(s.view.VMs(), func(vm fleet.VM) bool { return vm.ID == s.self.ID })
	large := largest(vms)
	slices.SortFunc(vms, func(a, b fleet.VM) int {
		if goesBefore(l.service, a, b, large) {
			return -1
		}
		return 1
	})
	l.mu.Lock()
	args := TakeArgs{Service: l.service, Learned: l.lender.Learned()}
	l.mu.Unlock()
	for _, vm := range vms[:min(candidatesAsked, len(vms))] {
		call, cancel := context.WithTimeout(ctx, syncTimeout)
		var reply TakeReply
		err := s.peers.Call(call, vm.PeerAddress, RPCName+".Take", args, &reply)
		cancel()
		if err == nil && reply.Willing {
			return vm, true
		}
		s.logger.Info("a VM does not take a cell", "service", l.service, "vm", vm.ID, "error", err)
	}
	return fleet.VM{}, false
}

// freeze waits until no assignment waits for the store, and keeps new ones from
// being proposed.
func (l *lead) freeze(ctx context.Context) error {
	l.frozen.Store(true)
	for {
		l.mu.Lock()
		open := l.keys != nil && l.keys.Pending()
		l.mu.Unlock()
		if !open {
			return nil
		}
		if ctx.Err() != nil {
			l.frozen.Store(false)
			return errors.Wrap(ctx.Err(), "wait for assignments to be written")
		}
		time.Sleep(pendingPoll)
	}
}

// tell passes the newest record of a cell to a VM.
func (s *Service) tell(ctx context.Context, vm fleet.VM, service string) error {
	c, err := s.view.Packed(view.System, view.CellKey(service))
	if err != nil {
		return err
	}
	return s.peers.Call(ctx, vm.PeerAddress, RPCName+".Learn", LearnArgs{Changes: []view.Change{c}}, &struct{}{})
}

// Take implements the call of the same name.
func (h *handler) Take(a TakeArgs, reply *TakeReply) error {
	reply.Willing = !h.s.retiring.Load() && h.s.view.Ready()
	if reply.Willing {
		h.s.mu.Lock()
		h.s.offered[a.Service] = a.Learned
		h.s.mu.Unlock()
	}
	return nil
}

// Learn implements the call of the same name.
func (h *handler) Learn(a LearnArgs, _ *struct{}) error {
	if err := h.s.view.Learn(a.Changes); err != nil {
		return err
	}
	h.s.look()
	return nil
}
