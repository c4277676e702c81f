package cell

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

const (
	// handoverTimeout bounds a handover, and the Take and Reach calls at the VM that is
	// asked. After a failed handover the leader continues (see reclaim); if it shuts
	// down without a successor, another VM claims the cell.
	handoverTimeout = 1500 * time.Millisecond
	// reachTimeout bounds the search for a VM that reaches the store, for all VMs
	// asked together. It has to be far below maxCommitDelay: if the store is slow for
	// all VMs, a handover does not help.
	reachTimeout = 300 * time.Millisecond
	// maxCandidatesAsked is how many VMs are asked, one after the other, to lead a cell.
	maxCandidatesAsked = 4
	// maxCommitDelay is how long a write of key assignments may take before the leader
	// hands the cell to a VM that reaches the store. Several appends fit into it.
	maxCommitDelay = 700 * time.Millisecond
	// handoverRetryInterval is the least time between two attempts of tryHandover.
	handoverRetryInterval = 2 * time.Second
)

// EarlierGrants is a leader's knowledge of grants of earlier leaders.
type EarlierGrants struct {
	Left time.Duration // for how long they may hold
	// UnknownHolders tells that they may be of keys and to targets that no record names.
	UnknownHolders bool
}

// TakeArgs asks a VM to become the leader of a cell in place of the present leader.
type TakeArgs struct {
	Service string
	Change  uint64 // Change of the record that names the present leader
	Learned lending.Learned
	// Record is that record if a restored store may lack it.
	Record  []view.Change
	Earlier EarlierGrants
	// HoldsLease tells that the present leader held its lease when it stopped granting.
	HoldsLease bool
	// Deputy is the process that sends this if it is the deputy of the present leader, or "".
	// The leader may have appointed another deputy, which goes on.
	Deputy string
}

// TakeReply is the result of a Take call.
type TakeReply struct {
	// Record is the record that names the new leader.
	Record []view.Change
	// Refused is why the VM has written no record and will not write one. It is
	// empty if the VM may have written one.
	Refused string
}

// ReachArgs asks a VM whether it reaches the store and could lead cells.
type ReachArgs struct{}

// ReachReply is the result of a Reach call.
type ReachReply struct{ Reaches bool }

// Retire hands all cells that this VM leads to other VMs and keeps this VM from
// becoming a leader again. It is called before the VM shuts down, and returns once the
// handovers have succeeded or failed, within about handoverTimeout.
func (s *Service) Retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.retiring.Store(true)
	s.mu.Lock()
	leaderships := slices.Collect(maps.Values(s.leaderships))
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range leaderships {
		wg.Go(func() { s.handOver(ctx, l, s.leaderCandidates(l.service), "the VM is shutting down") })
	}
	wg.Wait()
}

// handOver asks the candidates one after the other to lead a cell until one of them
// does. From the first request on this VM grants no keys, because the new leader
// relies on that and its answer may be lost. If no VM takes over, not even as deputy,
// this VM grants keys again: at once if all candidates refused, otherwise by reclaim. It
// does not if a VM may act as its deputy, which only the other VMs could stop. It appoints
// no deputy if a candidate may lead, because that one waits for nobody's grants.
func (s *Service) handOver(ctx context.Context, l *leadership, candidates []fleet.VM, why string) {
	c, _ := s.view.Cell(l.service)
	restored := s.view.IsCellRestored(l.service)
	if restored && l.keys != nil && !l.holdsLease() {
		return // the successor could not rely on the lease
	}
	if c == nil || !l.isCurrent() || !l.handoverStarted.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	args := TakeArgs{Service: l.service, Change: c.Change, Learned: l.lender.Learned(), Deputy: l.deputyProcess()}
	l.mu.Unlock()
	args.HoldsLease, args.Earlier = l.keys == nil || l.holdsLease(), l.earlierGrants()
	if restored {
		args.Record = s.recordOf(l.service)
	}
	refused := true // no candidate has written or will write a record
	for _, vm := range candidates {
		var reply TakeReply
		err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Take", args, &reply)
		if err == nil && len(reply.Record) > 0 {
			err = s.view.Learn(reply.Record)
		}
		if !l.isCurrent() {
			s.logger.Info("handed the cell over to another VM", "service", l.service, "to", vm.ID, "why", why)
			return
		}
		refused = refused && (notCalled(err) || err == nil && reply.Refused != "")
		s.logger.Info("VM did not take over the cell", "service", l.service, "vm", vm.ID, "refused", refusal(err, &reply.Refused), "error", err)
	}
	if s.retiring.Load() && refused {
		switch acts, allRefused := s.appointDeputy(ctx, l); {
		case acts:
			return
		case !allRefused:
			s.logger.Warn("grants no keys any more: a VM that was asked to be deputy did not answer and may act", "service", l.service)
			return
		}
	}
	if refused {
		l.handoverStarted.Store(false)
		return
	}
	if s.retiring.Load() {
		l.reclaim(ctx, c)
		return
	}
	go l.reclaim(s.ctx, c)
}

// refusal returns why a VM refused. The reply of a call that failed may still be written.
func refusal(err error, refused *string) string {
	if err != nil {
		return ""
	}
	return *refused
}

// notCalled reports whether the error of a call tells that it certainly did not reach the VM.
func notCalled(err error) bool {
	var failed *peer.CallError
	return errors.As(err, &failed) && !failed.MayHaveRun
}

// firstReachingStore returns the first candidate that reaches the store as a slice
// of one, or nil.
func (s *Service) firstReachingStore(ctx context.Context, candidates []fleet.VM) []fleet.VM {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	for _, vm := range candidates {
		var reply ReachReply
		if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Reach", ReachArgs{}, &reply); err != nil {
			s.logger.Info("no answer from a VM that was asked whether it reaches the store", "vm", vm.ID, "error", err)
		} else if reply.Reaches {
			return []fleet.VM{vm}
		}
	}
	return nil
}

// leaderCandidates returns the VMs to ask to lead a cell, at most maxCandidatesAsked, in
// the order in which they would claim it after the loss of its leader.
func (s *Service) leaderCandidates(service string) []fleet.VM {
	vms := s.others("")
	large := newLargeThreshold(vms)
	slices.SortFunc(vms, func(a, b fleet.VM) int {
		if ranksBefore(service, a, b, large) {
			return -1
		}
		return 1
	})
	return vms[:min(maxCandidatesAsked, len(vms))]
}

// reclaim lets a leader continue after a handover in which no candidate is known to
// have taken over. A candidate whose answer was lost may still replace the given
// record, and only that one, by its own. This VM therefore first writes a new record,
// which it tries until ctx ends. It does nothing for a deputy.
func (l *leadership) reclaim(ctx context.Context, record *fleet.Cell) {
	if !l.isCurrent() || l.deputyFor != nil {
		return
	}
	if c, _ := l.view.Cell(l.service); c.Change == record.Change {
		l.logger.Warn("grants no keys until a new record is written: a VM that was asked to lead the cell did not answer and may still take it")
		l.mu.Lock()
		again := l.newRecord(c.Keys)
		l.mu.Unlock()
		number, err := l.s.write(ctx, again, c)
		if err == nil {
			l.s.resume(l, number)
			return
		}
		if errors.Is(err, errStoreRestored) {
			// A candidate may have led and moved keys, and its records are lost.
			l.s.stopLeading(l.service, l, "the store was restored after a handover without an answer")
			return
		}
		l.logger.Warn("could not write the record that continues this VM's leadership", "error", err)
	}
	// The newest record may also be one of this VM with assignments whose write was
	// pending.
	if c, _ := l.view.Cell(l.service); l.isCurrent() && c.Change != record.Change {
		l.handoverStarted.Store(false)
	}
}

// resume restarts the leadership of a cell from a new record of this VM. Assignments
// that were proposed on top of the previous record are dropped. Owners and prior holders
// may hold keys by the last grants before the handover, and by those of earlier leaders.
func (s *Service) resume(l *leadership, number int64) {
	cfg, _ := s.view.Config()
	svc, ok := cfg.Service(l.service)
	if !ok {
		return
	}
	l.mu.Lock()
	learned := l.lender.Learned()
	l.mu.Unlock()
	s.mu.Lock()
	s.learnedFromLeader[l.service] = learned
	s.mu.Unlock()
	s.startLeading(l.service, s.inherit(svc, maxHoldAfterLease(l.hold)), number)
}

// StoreUnavailable is called when the store does not answer this VM. It starts to hand
// the cells of this VM to VMs that reach the store, because one of the leaders reads
// the store for all other VMs (see readerCell). It does not wait for the handovers.
func (s *Service) StoreUnavailable() {
	s.mu.Lock()
	leaderships := slices.Collect(maps.Values(s.leaderships))
	s.mu.Unlock()
	for _, l := range leaderships {
		go l.tryHandover(s.ctx)
	}
}

// commitOverdue reports whether assignments have waited for the store for more than
// maxCommitDelay.
func (l *leadership) commitOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys != nil && l.keys.Pending() && l.now()-l.proposedAt > maxCommitDelay
}

// tryHandover hands the cell to another VM that reaches the store, at most once in
// handoverRetryInterval. It does nothing if this VM is a deputy, or if its view of the
// system's log is older than supportAfter: then no other VM passes on that log either.
func (l *leadership) tryHandover(ctx context.Context) {
	l.mu.Lock()
	now := l.now()
	tooSoon := l.lastHandoverAttempt > 0 && now-l.lastHandoverAttempt < handoverRetryInterval
	if !tooSoon {
		l.lastHandoverAttempt = now
	}
	l.mu.Unlock()
	if tooSoon || l.deputyFor != nil || !l.isCurrent() || l.view.Staleness(view.System) > supportAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	candidates := l.s.firstReachingStore(ctx, l.s.leaderCandidates(l.service))
	if len(candidates) == 0 {
		l.logger.Info("keeps the cell: none of the VMs asked reaches the store", "service", l.service)
		return
	}
	l.s.handOver(ctx, l, candidates, "the store does not serve the VM")
}

// Reach tells whether this VM reaches the store and may lead cells.
func (h *handler) Reach(_ ReachArgs, reply *ReachReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Reach")
	ctx, cancel := context.WithTimeout(h.s.ctx, handoverTimeout)
	defer cancel()
	readErr := h.s.readSystem(ctx)
	reply.Reaches = readErr == nil && !h.s.retiring.Load()
	if readErr != nil {
		h.s.logger.Info("could not read the store on behalf of a leader that asked whether this VM reaches it", "error", readErr)
	}
	return nil
}

// Take makes this VM the leader of a cell in place of the calling one.
func (h *handler) Take(a TakeArgs, reply *TakeReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Take")
	ctx, cancel := context.WithTimeout(h.s.ctx, handoverTimeout)
	defer cancel()
	if err := h.s.view.Learn(a.Record); err != nil {
		return err
	}
	endClaim, svc, err := h.s.prepareTake(ctx, a)
	if err != nil {
		reply.Refused = err.Error()
		return nil
	}
	defer endClaim()
	if err := h.s.take(ctx, svc, a); err != nil {
		return err
	}
	reply.Record = h.s.recordOf(a.Service)
	return nil
}

// prepareTake checks whether this VM can lead a cell, and prevents other claims of the
// cell by this VM until endClaim is called. If it returns an error, this VM has written
// no record for the call and will not write one.
func (s *Service) prepareTake(ctx context.Context, a TakeArgs) (endClaim func(), svc fleet.Service, err error) {
	cfg, _ := s.view.Config()
	if s.retiring.Load() || cfg == nil || !s.view.Ready() {
		return nil, svc, errors.New("the VM cannot lead a cell: it is shutting down or its view is incomplete")
	}
	svc, ok := cfg.Service(a.Service)
	if !ok {
		return nil, svc, errors.Errorf("the configuration has no service %q", a.Service)
	}
	if err := s.readSystem(ctx); err != nil {
		return nil, svc, errors.Wrap(err, "read the system's log before taking over a cell")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claiming[svc.Name] {
		return nil, svc, errors.New("the VM is already claiming the cell")
	}
	s.claiming[svc.Name] = true
	return func() {
		s.mu.Lock()
		delete(s.claiming, svc.Name)
		s.mu.Unlock()
	}, svc, nil
}

// take makes this VM the leader of a cell at the request of its present leader, which
// grants no keys any more.
func (s *Service) take(ctx context.Context, svc fleet.Service, a TakeArgs) error {
	c, _ := s.view.Cell(svc.Name)
	if c == nil || c.Change != a.Change {
		return errCellChanged
	}
	s.mu.Lock()
	s.learnedFromLeader[svc.Name] = a.Learned
	s.mu.Unlock()
	p := succession{grantBound: fixedBound(0), continuous: a.HoldsLease, earlier: &a.Earlier}
	if !a.HoldsLease && s.view.IsCellRestored(svc.Name) {
		p = succession{grantBound: fixedBound(support.MaxExtension), afterRestore: true}
	}
	p.exactRecord = true
	if a.Deputy == "" {
		return s.claim(ctx, svc, c, p)
	}
	r := newReleaseVotes(svc.Name, c)
	r.follows, r.restored = a.Deputy, p.afterRestore
	s.requestReleases(ctx, r)
	p.grantBound, p.votes = s.successionBy(r).grantBound, r
	if err := s.claim(ctx, svc, c, p); err != nil {
		return err
	}
	s.watchPreviousLeader(r)
	return nil
}
