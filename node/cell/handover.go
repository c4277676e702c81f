package cell

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

const (
	// handoverTimeout bounds a change of leader that the old one asks for.
	// Without one the cell gets a leader as after a loss.
	handoverTimeout = 1500 * time.Millisecond
	// reachTimeout bounds a question whether a VM reaches the store. It has to be
	// far below unwrittenAfter: a store that is slow for all is no reason to hand
	// a cell over.
	reachTimeout = 300 * time.Millisecond
	// candidatesAsked is how many VMs are asked one after the other.
	candidatesAsked = 4
	// unwrittenAfter is how long assignments wait for a store that other VMs
	// reach until the cell is handed to one of them: several appends.
	unwrittenAfter = 700 * time.Millisecond
	// passOnPause is the pause between two tries to hand a cell over.
	passOnPause = 2 * time.Second
)

// TakeArgs asks a VM to lead a cell in place of the VM that asks.
type TakeArgs struct {
	Service string
	Change  uint64 // of the record that names the old leader
	Learned lending.Learned
}

// TakeReply is its answer.
type TakeReply struct {
	// Record names the new leader.
	Record []view.Change
	// Refused is why the VM has written no record and won't, empty if it may have.
	Refused string
}

// ReachArgs asks a VM whether it could lead cells now.
type ReachArgs struct{}

// ReachReply is its answer.
type ReachReply struct{ Reaches bool }

// Retire hands all cells that this VM leads to others, and keeps it from
// leading any more. It is called when the VM is about to stop.
func (s *Service) Retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.retiring.Store(true)
	s.mu.Lock()
	leads := slices.Collect(maps.Values(s.leads))
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range leads {
		wg.Go(func() { s.handOver(ctx, l, s.candidates(l.service), "the VM stops") })
	}
	wg.Wait()
}

// handOver asks VMs to lead a cell until one does. From the first question on
// this VM grants no keys any more: an answer may be lost, and the new leader
// counts on it.
func (s *Service) handOver(ctx context.Context, l *lead, candidates []fleet.VM, why string) {
	c, _ := s.view.Cell(l.service)
	if c == nil || !l.leads() || !l.ceded.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	args := TakeArgs{Service: l.service, Change: c.Change, Learned: l.lender.Learned()}
	l.mu.Unlock()
	refused := true
	for _, vm := range candidates {
		var reply TakeReply
		err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Take", args, &reply)
		if err == nil && len(reply.Record) > 0 {
			err = s.view.Learn(reply.Record)
		}
		if !l.leads() {
			s.logger.Info("handed a cell over", "service", l.service, "to", vm.ID, "why", why)
			return
		}
		refused = refused && err == nil && reply.Refused != ""
		s.logger.Info("a VM does not take a cell", "service", l.service, "vm", vm.ID, "refused", reply.Refused, "error", err)
	}
	if s.retiring.Load() && s.appoint(ctx, l) {
		return
	}
	if refused {
		l.ceded.Store(false) // nobody has written or will write a record
		return
	}
	if s.retiring.Load() {
		l.reclaim(ctx, c)
		return
	}
	go l.reclaim(s.ctx, c)
}

// reaching returns the first candidate that reaches the store, or none.
func (s *Service) reaching(ctx context.Context, candidates []fleet.VM) []fleet.VM {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for _, vm := range candidates {
		var reply ReachReply
		if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Reach", ReachArgs{}, &reply); err != nil {
			s.logger.Info("a VM does not tell whether it reaches the store", "vm", vm.ID, "error", err)
		} else if reply.Reaches {
			return []fleet.VM{vm}
		}
	}
	return nil
}

// candidates returns the VMs that are asked to lead a service, in the order in
// which they would replace a leader.
func (s *Service) candidates(service string) []fleet.VM {
	vms := s.others("")
	large := largest(vms)
	slices.SortFunc(vms, func(a, b fleet.VM) int {
		if goesBefore(service, a, b, large) {
			return -1
		}
		return 1
	})
	return vms[:min(candidatesAsked, len(vms))]
}

// reclaim lets a leader that found no successor go on. One of the VMs that were
// asked to replace the record may still write its own, so that this VM writes a
// new one first, however long the store takes.
func (l *lead) reclaim(ctx context.Context, record *fleet.Cell) {
	if !l.leads() || l.acts != nil {
		return
	}
	if c, _ := l.view.Cell(l.service); c.Change == record.Change {
		l.logger.Warn("grants no keys until a record is written: another VM was asked to lead and may do so yet")
		number, err := l.s.write(ctx, &fleet.Cell{Service: l.service, Leader: c.Leader, Boot: c.Boot, Keys: c.Keys})
		if err == nil {
			l.s.regain(l, number)
			return
		}
		l.logger.Warn("the record was not written", "error", err)
	}
	// Assignments that had waited for the store may be the newest record.
	if c, _ := l.view.Cell(l.service); l.leads() && c.Change != record.Change {
		l.ceded.Store(false)
	}
}

// regain leads a cell by a record that has replaced the one before. What was
// proposed for that is void.
func (s *Service) regain(l *lead, number int64) {
	cfg, _ := s.view.Config()
	svc, ok := cfg.Service(l.service)
	if !ok {
		return
	}
	l.mu.Lock()
	learned := l.lender.Learned()
	l.mu.Unlock()
	s.mu.Lock()
	s.offered[l.service] = learned
	s.mu.Unlock()
	s.begin(l.service, s.inherit(svc, 0), number)
}

// StoreFails hands all cells to VMs that reach the store, if there are some:
// the VM that leads the first cell reads it for the others.
func (s *Service) StoreFails() {
	s.mu.Lock()
	leads := slices.Collect(maps.Values(s.leads))
	s.mu.Unlock()
	for _, l := range leads {
		go l.passOn(s.ctx)
	}
}

// unwritten tells whether assignments have waited for long for the store.
func (l *lead) unwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys != nil && l.keys.Pending() && l.now()-l.proposedAt > unwrittenAfter
}

// passOn hands the cell to a VM that reaches the store, if others do: this VM
// learns from them what is new there.
func (l *lead) passOn(ctx context.Context) {
	l.mu.Lock()
	now := l.now()
	tried := l.passedAt > 0 && now-l.passedAt < passOnPause
	if !tried {
		l.passedAt = now
	}
	l.mu.Unlock()
	if tried || l.acts != nil || !l.leads() || l.view.Staleness(view.System) > supportAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	candidates := l.s.reaching(ctx, l.s.candidates(l.service))
	if len(candidates) == 0 {
		l.logger.Info("keeps a cell: no VM that was asked reaches the store", "service", l.service)
		return
	}
	l.s.handOver(ctx, l, candidates, "the store turns the VM away")
}

// Reach implements the call of the same name.
func (h *handler) Reach(_ ReachArgs, reply *ReachReply) error {
	ctx, cancel := context.WithTimeout(h.s.ctx, handoverTimeout)
	defer cancel()
	err := h.s.readSystem(ctx)
	reply.Reaches = err == nil && !h.s.retiring.Load()
	if err != nil {
		h.s.logger.Info("asked by a leader: the store is not reached", "error", err)
	}
	return nil
}

// Take implements the call of the same name.
func (h *handler) Take(a TakeArgs, reply *TakeReply) error {
	ctx, cancel := context.WithTimeout(h.s.ctx, handoverTimeout)
	defer cancel()
	free, svc, err := h.s.prepareTake(ctx, a)
	if err != nil {
		reply.Refused = err.Error()
		return nil
	}
	defer free()
	if err := h.s.take(ctx, svc, a); err != nil {
		return err
	}
	reply.Record = h.s.recordOf(a.Service)
	return nil
}

// prepareTake checks whether this VM can lead a cell, and keeps other claims of
// it off until free is called. After an error no record is written.
func (s *Service) prepareTake(ctx context.Context, a TakeArgs) (free func(), svc fleet.Service, err error) {
	cfg, _ := s.view.Config()
	if s.retiring.Load() || cfg == nil || !s.view.Ready() {
		return nil, svc, errors.New("the VM leads no more cells now")
	}
	svc, ok := cfg.Service(a.Service)
	if !ok {
		return nil, svc, errors.Errorf("the configuration has no service %q", a.Service)
	}
	if err := s.readSystem(ctx); err != nil {
		return nil, svc, errors.Wrap(err, "read the system's log before taking a cell")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claiming[svc.Name] {
		return nil, svc, errors.New("the VM claims the cell already")
	}
	s.claiming[svc.Name] = true
	return func() {
		s.mu.Lock()
		delete(s.claiming, svc.Name)
		s.mu.Unlock()
	}, svc, nil
}

// take makes this VM the leader of a cell whose leader has asked it to.
func (s *Service) take(ctx context.Context, svc fleet.Service, a TakeArgs) error {
	c, _ := s.view.Cell(svc.Name)
	if c == nil || c.Change != a.Change {
		return errDeposed
	}
	s.mu.Lock()
	s.offered[svc.Name] = a.Learned
	s.mu.Unlock()
	return s.claim(ctx, svc, c, boundOf(0))
}
