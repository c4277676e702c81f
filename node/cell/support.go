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

// SupportArgs asks a VM to support a process that acts as leader of a cell or, in a
// Release call, never to support the leader and its deputies again.
type SupportArgs struct {
	Service, Leader, Boot string
	// Change identifies the newest record of the cell that the caller knows.
	Change uint64
	// Deputy is the process that acts for the leader, "" for the leader itself, and Follows
	// the deputy that has stopped in its favour. In a Release call Deputy is the claimant if
	// that is a deputy, and Follows a deputy that has stopped in favour of the claimant.
	Deputy, Follows string
	// Claimant and ClaimantBoot name the process that wants to claim the cell, in a Release
	// call. It may be the leader itself, whose lease has ended.
	Claimant, ClaimantBoot string
	// AfterRestore is set if a restored store may have lost later records than the one
	// with Change.
	AfterRestore bool
}

// grantor returns the process that asks for support.
func (a SupportArgs) grantor() support.Grantor {
	return support.Grantor{Leader: a.Leader + a.Boot, Deputy: a.Deputy, Follows: a.Follows}
}

// claimsOwnCell reports whether the leader itself claims the cell in a Release call.
func (a SupportArgs) claimsOwnCell() bool {
	return a.Claimant == a.Leader && a.ClaimantBoot == a.Boot
}

// SupportReply tells whether the VM supports the process for one lease.
type SupportReply struct{ Supports bool }

// ReleaseReply is the answer of a VM that was asked to stop supporting a process.
type ReleaseReply struct {
	Hears bool          // the process or its deputy answers the VM, which therefore keeps supporting it
	Left  time.Duration // for how long support may last that this or an earlier process of the VM gave
	Boot  string        // Boot of the VM that answers
	// Record is the record of the cell that the VM knows, if it is not the claimant's.
	Record []view.Change
}

// Support gives a process the support of this VM for one lease if the newest known record
// of the cell names it as leader, it was not released, and seesOwnRegistration holds. A
// deputy gets it if that record is the one by which it grants keys.
func (h *handler) Support(a SupportArgs, reply *SupportReply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Support")
	c, _ := h.s.view.Cell(a.Service)
	leading := c != nil && c.Leader == a.Leader && c.Boot == a.Boot && h.s.seesOwnRegistration() && !h.s.mayLackRecords(a.Service)
	if a.Deputy != "" {
		leading = leading && c.Change == a.Change && h.s.earlierSupportLeft() <= 0
	}
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	reply.Supports = h.s.follower(a.Service).GrantSupport(h.s.clock.Now(), a.grantor(), leading)
	return nil
}

// earlierSupportLeft returns for how long support may last that an earlier process of this
// VM gave. It is negative if there can be none.
func (s *Service) earlierSupportLeft() time.Duration {
	return s.started + support.Lease - s.clock.Now()
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
	same := known && c.Leader == a.Leader && c.Boot == a.Boot && leader.ID+leader.Boot != a.Follows
	// A deputy that claims the cell reaches the store, which another one that answers may not.
	if same && a.Deputy == "" && a.Claimant != leader.ID && h.s.heardRecently(leader.ID, leader.Boot) {
		reply.Hears = true
		return nil
	}
	if newest, _ := h.s.view.Cell(a.Service); a.AfterRestore && newest != nil && newest.Change != a.Change {
		reply.Record = h.s.recordOf(a.Service)
	}
	reply.Boot = h.s.self.Boot
	reply.Left = h.s.releaseSupport(a)
	return nil
}

// releaseSupport makes this VM stop supporting a leader and its deputies for good, except
// the one that claims the cell, and returns for how long they may still count on support of
// this VM.
func (s *Service) releaseSupport(a SupportArgs) time.Duration {
	if a.claimsOwnCell() {
		return 0 // it needs support again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.earlierSupportLeft(), s.follower(a.Service).Release(s.clock.Now(), a.Leader+a.Boot, a.Deputy))
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
// if the store confirmed it last between supportAfter and support.MaxExtension ago. A
// deputy asks from the start.
func (l *leadership) requestSupport(ctx context.Context) {
	if age := l.view.CellStaleness(l.service); age < supportAfter && l.deputyFor == nil || age > support.MaxExtension {
		return
	}
	c, _ := l.view.Cell(l.service)
	if c == nil || !l.isCurrent() || l.handoverStarted.Load() {
		return
	}
	asked, args := l.now(), SupportArgs{Service: l.service, Leader: c.Leader, Boot: c.Boot, Change: c.Change, Deputy: l.deputyProcess(), Follows: l.follows}
	supporters := 0
	record := func(vm fleet.VM, reply SupportReply) {
		if reply.Supports {
			supporters++
			l.mu.Lock()
			l.support.RecordSupport(vm.ID, asked)
			l.mu.Unlock()
		}
	}
	if l.deputyFor != nil {
		var own SupportReply
		if err := (&handler{l.s}).Support(args, &own); err == nil {
			record(l.s.self, own)
		}
	}
	callAll(ctx, l.s, l.s.others(""), "Support", args, record)
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
	// ends holds, by VM, until when support that it gave before its release may last.
	ends  map[string]time.Duration
	boots map[string]string // Boot of the process that released the leader, by VM
	// restored tells that a restored store may have lost later records of the cell.
	restored bool
	// deputy is the process of this VM if it claims the cell as deputy of the leader, and
	// follows that of a deputy that has stopped in its favour. Both are "" otherwise.
	deputy, follows string
}

// releaseLeader asks all VMs to stop supporting the leader named in a record, which is nil
// if none is known, and its deputies. ok is false if one of them still answers a VM. restored
// tells that the store may have lost later records; the VMs then return those that they know.
func (s *Service) releaseLeader(ctx context.Context, service string, c *fleet.Cell, restored bool) (r *releaseVotes, ok bool) {
	r = newReleaseVotes(service, c)
	r.restored = restored
	return r, s.requestReleases(ctx, r)
}

// newReleaseVotes returns empty votes on the leader named in a record, which may be nil.
func newReleaseVotes(service string, c *fleet.Cell) *releaseVotes {
	if c == nil {
		c = &fleet.Cell{Service: service}
	}
	return &releaseVotes{service: service, record: c, ends: map[string]time.Duration{}, boots: map[string]string{}}
}

func (s *Service) requestReleases(ctx context.Context, r *releaseVotes) (ok bool) {
	args := SupportArgs{Service: r.service, Leader: r.record.Leader, Boot: r.record.Boot, Change: r.record.Change, Deputy: r.deputy, Follows: r.follows,
		Claimant: s.self.ID, ClaimantBoot: s.self.Boot, AfterRestore: r.restored}
	ok = true
	left := s.releaseSupport(args)
	r.noteEnd(s.self.ID, s.clock.Now()+left)
	asked := s.others("")
	if !s.leaderEnded(r) {
		asked = s.others(r.record.Leader)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callAll(ctx, s, asked, "Release", args, func(vm fleet.VM, reply ReleaseReply) {
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
		r.noteEnd(vm.ID, s.clock.Now()+time.Duration(float64(reply.Left)*(1+2*support.ClockError)))
		if s.leaseOfLeader(r) == 0 && s.countReleases(r) >= support.Majority(len(s.view.VMs())) {
			cancel() // the leader itself does not answer, and VMs that are lost delay the claim
		}
	})
	return ok
}

// hasMajority reports whether a majority of the VMs, this one included, has released
// the leader. A vote counts only if its process is still the registered one: a process
// that replaced it may not have read the new leader's record yet and may support the
// old leader. Processes that register after that record know it.
func (s *Service) hasMajority(r *releaseVotes) bool {
	n, vms := s.countReleases(r), len(s.view.VMs())
	if n >= support.Majority(vms) {
		return true
	}
	s.logger.Info("no majority of VMs has released the previous leader", "service", r.service, "leader", r.record.Leader, "promised", n, "vms", vms)
	return false
}

// successionBy returns a succession whose bound counts the given votes.
func (s *Service) successionBy(r *releaseVotes) succession {
	return succession{grantBound: func() time.Duration { return s.grantBound(r) }, votes: r}
}

// countReleases returns how many VMs have released the leader, as hasMajority counts them.
func (s *Service) countReleases(r *releaseVotes) int {
	n := 1 // this VM
	for _, vm := range s.view.VMs() {
		if boot, released := r.boots[vm.ID]; released && boot == vm.Boot {
			n++
		}
	}
	return n
}

// grantBound returns for how long the previous leader and its deputies may still grant keys
// after the record of the new leader is written.
func (s *Service) grantBound(r *releaseVotes) time.Duration {
	return support.GrantBound(s.hasMajority(r), r.supportEnd()-s.clock.Now(), s.leaseOfLeader(r))
}

// noteEnd records until when support that a VM gave before its release may last. Later
// answers do not shorten it.
func (r *releaseVotes) noteEnd(vm string, end time.Duration) { r.ends[vm] = max(r.ends[vm], end) }

// supportEnd returns until when support may last that a VM gave before its release.
func (r *releaseVotes) supportEnd() time.Duration {
	var end time.Duration
	for _, e := range r.ends {
		end = max(end, e)
	}
	return end
}

// leaseOfLeader returns for how long the previous leader may grant keys by the store's word
// after the record of the new leader is written: not at all if it has stopped in favour of
// its deputy, or its process has ended. After a restore of the store there may have been a
// later leader whose record is lost.
func (s *Service) leaseOfLeader(r *releaseVotes) time.Duration {
	if !r.restored && (r.deputy != "" || r.follows != "" || s.leaderEnded(r)) {
		return 0
	}
	return leaderLease
}

// leaderEnded reports whether the process of the previous leader is known to have ended. Its
// deputies may go on. A restored store may lack the registration of a process that runs.
func (s *Service) leaderEnded(r *releaseVotes) bool {
	return !r.restored && r.record.Leader != "" && processEnded(s.view, r.record)
}

// leaderReleaseRetryInterval is the delay between two rounds of release requests. VMs
// that did not answer are suspended or restarting, which usually takes seconds.
const leaderReleaseRetryInterval = 500 * time.Millisecond

// watchPreviousLeader starts to lower the time up to which grants of the previous leader
// are assumed to hold, if this VM leads the cell and the service has keys.
func (s *Service) watchPreviousLeader(r *releaseVotes) {
	if l := s.leadershipOf(r.service); l != nil && l.deputyFor == nil && l.keys != nil {
		go l.watchPreviousLeader(r)
	}
}

// watchPreviousLeader lowers the time up to which grants of the previous leader are
// assumed to hold: if no majority of the VMs had released it before the claim, once one
// has, and then once its process has ended. Until then, keys of holders that do not answer
// are not granted to others, and no keys are moved to balance the load.
func (l *leadership) watchPreviousLeader(r *releaseVotes) {
	began, majority := l.now(), l.s.hasMajority(r)
	ended := l.s.leaseOfLeader(r) == 0
	for l.previousGrantsLeft() > 0 && !(majority && ended) {
		select {
		case <-l.closed:
			return
		case <-time.After(leaderReleaseRetryInterval):
		}
		if !majority {
			l.s.requestReleases(l.s.ctx, r)
			if majority = l.s.hasMajority(r); !majority {
				continue
			}
			l.lowerPriorManagerHoldBound(r, max(began+l.s.leaseOfLeader(r), r.supportEnd()), "a majority of the VMs has released the previous leader")
		}
		if ended = l.s.leaseOfLeader(r) == 0; ended {
			l.lowerPriorManagerHoldBound(r, max(l.now(), r.supportEnd()), "the previous leader's process has ended, and a majority of the VMs has released it")
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
