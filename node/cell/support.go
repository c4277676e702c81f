package cell

import (
	"context"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/view"
)

const (
	// supportAfter is how long after the store's last confirmation a leader starts to
	// ask the other VMs for support. Several rounds fit in before leaderLease ends.
	supportAfter = 1300 * time.Millisecond
	// supportInterval is the delay between two rounds of support requests, about a
	// third of support.Lease.
	supportInterval = 300 * time.Millisecond
)

// SupportArgs asks a VM to support a process as leader of a cell or, in a Release
// call, never to support it again.
type SupportArgs struct {
	Service, Leader, Boot string
	// Claimant is the VM that wants to claim the cell, in a Release call. It may be the
	// leader itself, whose lease has ended.
	Claimant string
	// AfterRestore is set if a restored store may have lost later records than the one
	// with Change, the newest that the claimant knows.
	AfterRestore bool
	Change       uint64
}

// SupportReply tells whether the VM supports the process for one lease.
type SupportReply struct{ Supports bool }

// ReleaseReply is the answer of a VM that was asked to stop supporting a process.
type ReleaseReply struct {
	Hears bool          // the process or its deputy answers the VM, which therefore keeps supporting it
	Left  time.Duration // for how long the lease of earlier support still runs
	Boot  string        // Boot of the VM that answers
	// Record is the record of the cell that the VM knows, if it is not the claimant's.
	Record []view.Change
}

// Support gives a process the support of this VM for one lease if the newest known record
// of the cell names it as leader, it was not released, and seesOwnRegistration holds.
func (h *handler) Support(a SupportArgs, reply *SupportReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Support")
	c, _ := h.s.view.Cell(a.Service)
	leading := c != nil && c.Leader == a.Leader && c.Boot == a.Boot && h.s.seesOwnRegistration() && !h.s.mayLackRecords(a.Service)
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	reply.Supports = h.s.follower(a.Service).GrantSupport(h.s.clock.Now(), a.Leader+a.Boot, leading)
	return nil
}

// seesOwnRegistration reports whether this VM's view includes the registration of this
// process, and so each earlier record of the system's log. A process that has just
// started must not support a leader that such a record replaced.
func (s *Service) seesOwnRegistration() bool {
	vm, known := s.view.VM(s.self.ID)
	return known && vm.Boot == s.self.Boot
}

// mayLackRecords reports whether this process has started after a restore of the store that
// may have lost the newest records of a cell. It must not support a leader that such a
// record replaced.
func (s *Service) mayLackRecords(service string) bool {
	return !s.view.KnewEarlierEra() && s.view.IsCellRestored(service)
}

// Release makes this VM stop supporting a process, unless the process or its deputy
// still answers this VM.
func (h *handler) Release(a SupportArgs, reply *ReleaseReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Release")
	leader, c, known := h.s.currentLeader(a.Service)
	same := known && c.Leader == a.Leader && c.Boot == a.Boot
	if same && a.Claimant != leader.ID && h.s.heardRecently(leader.ID, leader.Boot) {
		reply.Hears = true
		return nil
	}
	if newest, _ := h.s.view.Cell(a.Service); a.AfterRestore && newest != nil && newest.Change != a.Change {
		reply.Record = h.s.recordOf(a.Service)
	}
	reply.Boot = h.s.self.Boot
	if a.Claimant != a.Leader { // a leader that claims its own cell needs support again
		reply.Left = h.s.releaseSupport(a)
	}
	return nil
}

// releaseSupport makes this VM stop supporting a process for good, and returns for how
// long the process may still count on the support.
func (s *Service) releaseSupport(a SupportArgs) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower(a.Service).Release(s.clock.Now(), a.Leader+a.Boot)
}

// follower returns this VM's support state for a cell. It is called with mu held.
func (s *Service) follower(service string) *support.Follower {
	f := s.followers[service]
	if f == nil {
		f = &support.Follower{}
		s.followers[service] = f
	}
	return f
}

// others returns all VMs except this one and the one with the id except.
func (s *Service) others(except string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range s.view.VMs() {
		if vm.ID != s.self.ID && vm.ID != except {
			out = append(out, vm)
		}
	}
	return out
}

// callAll calls an RPC method of all given VMs concurrently, for at most syncTimeout,
// and passes the answers to answer one at a time.
func callAll[Reply any](ctx context.Context, s *Service, vms []fleet.VM, method string, args any, answer func(fleet.VM, Reply)) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			var reply Reply
			if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+"."+method, args, &reply); err != nil {
				return // no answer counts as no vote; syncWith logs the loss of the VM
			}
			mu.Lock()
			defer mu.Unlock()
			answer(vm, reply)
		})
	}
	wg.Wait()
}

// requestSupport asks all VMs to support this leader, unless it has started a handover,
// if the store confirmed it last between supportAfter and support.MaxExtension ago.
func (l *leadership) requestSupport(ctx context.Context) {
	if age := l.view.CellStaleness(l.service); age < supportAfter || age > support.MaxExtension {
		return
	}
	c, _ := l.view.Cell(l.service)
	if c == nil || !l.isCurrent() || l.handoverStarted.Load() {
		return
	}
	// A deputy asks for support of the leader that it stands in for.
	asked, args := l.now(), SupportArgs{Service: l.service, Leader: c.Leader, Boot: c.Boot}
	supporters := 0
	callAll(ctx, l.s, l.s.others(""), "Support", args, func(vm fleet.VM, reply SupportReply) {
		if reply.Supports {
			supporters++
			l.mu.Lock()
			l.support.RecordSupport(vm.ID, asked)
			l.mu.Unlock()
		}
	})
	l.logger.Info("asked the VMs for support because the store has not confirmed the leadership recently", "supporters", supporters, "vms", len(l.view.VMs()), "confirmed_before", l.view.CellStaleness(l.service))
}

// supported reports whether enough VMs support this leader for it to continue without
// the store's confirmation, for at most support.MaxExtension. It then renews grants but
// cannot change the owners of keys.
func (l *leadership) supported() bool {
	if l.view.CellStaleness(l.service) > support.MaxExtension {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.support.HasSupport(l.now(), len(l.view.VMs()))
}

// releaseVotes collects the answers of the VMs that have stopped supporting the leader
// named in a record.
type releaseVotes struct {
	service string
	record  *fleet.Cell
	left    time.Duration     // longest time for which earlier support may still last
	boots   map[string]string // Boot of the process that released the leader, by VM
	// restored tells that a restored store may have lost later records of the cell.
	restored bool
}

// releaseLeader asks all VMs to stop supporting the leader named in a record, which is nil
// if none is known. ok is false if the leader still answers one of them. restored tells
// that the store may have lost later records; the VMs then return those that they know.
func (s *Service) releaseLeader(ctx context.Context, service string, c *fleet.Cell, restored bool) (r *releaseVotes, ok bool) {
	if c == nil {
		c = &fleet.Cell{Service: service}
	}
	r = &releaseVotes{service: service, record: c, boots: map[string]string{}, restored: restored}
	return r, s.requestReleases(ctx, r)
}

func (s *Service) requestReleases(ctx context.Context, r *releaseVotes) (ok bool) {
	args := SupportArgs{Service: r.service, Leader: r.record.Leader, Boot: r.record.Boot, Claimant: s.self.ID, AfterRestore: r.restored, Change: r.record.Change}
	ok = true
	// A VM may have supported the leader and then restarted, so the support of its
	// earlier process may last for up to one more lease.
	r.left = support.Lease
	if args.Claimant != args.Leader {
		r.left = max(r.left, s.releaseSupport(args))
	}
	callAll(ctx, s, s.others(r.record.Leader), "Release", args, func(vm fleet.VM, reply ReleaseReply) {
		if reply.Hears {
			ok = false
			s.logger.Info("not claiming the cell: its leader still answers another VM", "service", r.service, "leader", r.record.Leader, "by", vm.ID)
			return
		}
		if err := s.view.Learn(reply.Record); err != nil {
			s.logger.Error("could not decode the record of a cell that another VM knows", "service", r.service, "vm", vm.ID, "error", err)
			return
		}
		r.boots[vm.ID] = reply.Boot
		r.left = max(r.left, reply.Left)
	})
	return ok
}

// hasMajority reports whether a majority of the VMs, this one included, has released
// the leader. A vote counts only if its process is still the registered one: a process
// that replaced it may not have read the new leader's record yet and may support the
// old leader. Processes that register after that record know it.
func (s *Service) hasMajority(r *releaseVotes) bool {
	n, vms := 1, s.view.VMs() // this VM
	for _, vm := range vms {
		if boot, released := r.boots[vm.ID]; released && boot == vm.Boot {
			n++
		}
	}
	if n >= support.Majority(len(vms)) {
		return true
	}
	s.logger.Info("no majority of VMs has released the previous leader", "service", r.service, "leader", r.record.Leader, "promised", n, "vms", len(vms))
	return false
}

// grantBound returns for how long the previous leader may still grant keys after the
// record of the new leader is written.
func (s *Service) grantBound(r *releaseVotes) time.Duration {
	if s.hasMajority(r) {
		return max(leaderLease, r.left)
	}
	return support.MaxExtension
}

// leaderReleaseRetryInterval is the delay between two rounds of release requests. VMs
// that did not answer are suspended or restarting, which usually takes seconds.
const leaderReleaseRetryInterval = 500 * time.Millisecond

// watchPreviousLeader lowers the time up to which grants of the previous leader are
// assumed to hold, once its process has ended or, if no majority of the VMs had
// released it before the claim, once one has. Until then, keys of holders that do not
// answer are not granted to others, and no keys are moved to balance the load.
func (l *leadership) watchPreviousLeader(r *releaseVotes) {
	began, majority := l.now(), l.s.hasMajority(r)
	for l.previousGrantsLeft() > 0 {
		select {
		case <-l.closed:
			return
		case <-time.After(leaderReleaseRetryInterval):
		}
		if !r.restored && processEnded(l.view, r.record) {
			l.lowerPriorManagerHoldBound(r, l.now(), "the previous leader's process has ended")
			return
		}
		if majority {
			continue
		}
		l.s.requestReleases(l.s.ctx, r)
		if majority = l.s.hasMajority(r); majority {
			l.lowerPriorManagerHoldBound(r, max(began+leaderLease, l.now()+r.left), "a majority of the VMs has released the previous leader")
		}
	}
}

// previousGrantsLeft returns for how long grants of the previous leader may still hold.
func (l *leadership) previousGrantsLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.PriorManagerHoldBound() - l.now()
}

// lowerPriorManagerHoldBound tells the key manager that the previous leader grants
// no keys from leaseEnds on.
func (l *leadership) lowerPriorManagerHoldBound(r *releaseVotes, leaseEnds time.Duration, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := r.record.GrantHold()
	if r.restored {
		hold = fleet.LongestHold
	}
	// Grants of leaders before the previous one may hold for as long as its record told.
	now, bound := l.now(), max(leaseEnds+maxHoldAfterLease(hold), l.startedAt+r.record.EarlierGrants)
	l.keys.LowerPriorManagerHoldBound(now, bound)
	l.logger.Info("grants of the previous leader expire earlier than assumed at the claim", "leader", r.record.Leader, "boot", r.record.Boot, "within", bound-now, "why", why)
}
