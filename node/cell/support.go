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
	// supportAfter is how old a leader's confirmation from the store is when it
	// asks the other VMs for support: below its authority by several questions.
	supportAfter = 1300 * time.Millisecond
	// supportPause is the pause between two rounds of questions, a third of a
	// support's lease.
	supportPause = 300 * time.Millisecond
)

// SupportArgs names a cell and a process.
type SupportArgs struct{ Service, Leader, Boot string }

// SupportReply tells whether a VM follows the process as the cell's leader.
type SupportReply struct{ Supports bool }

// ReleaseReply is the answer of a VM that was asked to follow a process no more.
type ReleaseReply struct {
	Hears bool          // the VM hears the process and goes on to follow it
	Left  time.Duration // how long the process may still count on the VM
	Boot  string        // the process that answers
}

// Support implements the call of the same name.
func (h *handler) Support(a SupportArgs, reply *SupportReply) error {
	c, _ := h.s.view.Cell(a.Service)
	leads := c != nil && c.Leader == a.Leader && c.Boot == a.Boot && h.s.knowsItself()
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	reply.Supports = h.s.follower(a.Service).Support(h.s.clock.Now(), a.Leader+a.Boot, leads)
	return nil
}

// knowsItself tells whether this VM knows the system's log up to its own
// registration: if a new leader's record is older than that, it knows the record.
func (s *Service) knowsItself() bool {
	vm, known := s.view.VM(s.self.ID)
	return known && vm.Boot == s.self.Boot
}

// Release implements the call of the same name.
func (h *handler) Release(a SupportArgs, reply *ReleaseReply) error {
	leader, c, known := h.s.acting(a.Service)
	same := known && c.Leader == a.Leader && c.Boot == a.Boot
	if same && h.s.heardLately(leader.ID, leader.Boot) {
		reply.Hears = true
		return nil
	}
	reply.Left, reply.Boot = h.s.release(a), h.s.self.Boot
	return nil
}

// release makes this VM follow a process no more.
func (s *Service) release(a SupportArgs) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower(a.Service).Release(s.clock.Now(), a.Leader+a.Boot)
}

// follower is called with mu held.
func (s *Service) follower(service string) *support.Follower {
	f := s.followers[service]
	if f == nil {
		f = &support.Follower{}
		s.followers[service] = f
	}
	return f
}

// others returns the VMs besides this one and another.
func (s *Service) others(but string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range s.view.VMs() {
		if vm.ID != s.self.ID && vm.ID != but {
			out = append(out, vm)
		}
	}
	return out
}

// askAll calls a method of VMs at once and hands the answers on one by one.
func askAll[Reply any](ctx context.Context, s *Service, vms []fleet.VM, method string, args any, answer func(fleet.VM, Reply)) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			var reply Reply
			if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+"."+method, args, &reply); err != nil {
				return // a VM that does not answer has no say; exchanges log that it is lost
			}
			mu.Lock()
			defer mu.Unlock()
			answer(vm, reply)
		})
	}
	wg.Wait()
}

// askSupport asks all VMs to follow this leader while the store does not
// confirm that it leads.
func (l *lead) askSupport(ctx context.Context) {
	if age := l.view.Staleness(view.System); age < supportAfter || age > support.MaxExtension {
		return
	}
	c, _ := l.view.Cell(l.service)
	if c == nil || !l.leads() || l.ceded.Load() {
		return
	}
	// A deputy asks in the name of the leader for which it acts.
	asked, args := l.now(), SupportArgs{Service: l.service, Leader: c.Leader, Boot: c.Boot}
	supporters := 0
	askAll(ctx, l.s, l.s.others(""), "Support", args, func(vm fleet.VM, reply SupportReply) {
		if reply.Supports {
			supporters++
			l.mu.Lock()
			l.support.Supported(vm.ID, asked)
			l.mu.Unlock()
		}
	})
	l.logger.Info("asked for support", "supporters", supporters, "vms", len(l.view.VMs()), "confirmed_before", l.view.Staleness(view.System))
}

// supported tells whether most VMs follow this leader although the store has
// not confirmed for long that it leads. Owners then stay as they are.
func (l *lead) supported() bool {
	if l.view.Staleness(view.System) > support.MaxExtension {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.support.Holds(l.now(), len(l.view.VMs()))
}

// promises are the answers of the VMs that follow the leader of a record no more.
type promises struct {
	service string
	record  *fleet.Cell
	left    time.Duration     // for how long the leader may still count on a VM
	from    map[string]string // process that promised, by VM
}

// releaseLeader asks all VMs to follow the leader of a record no more. It returns
// false if one of them hears it.
func (s *Service) releaseLeader(ctx context.Context, service string, c *fleet.Cell) (r *promises, ok bool) {
	r = &promises{service: service, record: c, from: map[string]string{}}
	return r, s.askToRelease(ctx, r)
}

func (s *Service) askToRelease(ctx context.Context, r *promises) (ok bool) {
	args := SupportArgs{Service: r.service, Leader: r.record.Leader, Boot: r.record.Boot}
	ok = true
	// An answer of a process that has ended since may count for a lease.
	r.left = max(support.Lease, s.release(args))
	askAll(ctx, s, s.others(r.record.Leader), "Release", args, func(vm fleet.VM, reply ReleaseReply) {
		if reply.Hears {
			ok = false
			s.logger.Info("another VM hears the leader of a cell", "service", r.service, "leader", r.record.Leader, "by", vm.ID)
			return
		}
		r.from[vm.ID] = reply.Boot
		r.left = max(r.left, reply.Left)
	})
	return ok
}

// fromMost tells whether most VMs have promised. A promise counts only for the
// process that is registered: a later one may have read the log before the new
// leader's record was written, and those that register after that know it.
func (s *Service) fromMost(r *promises) bool {
	n, vms := 1, s.view.VMs() // this VM
	for _, vm := range vms {
		if boot, promised := r.from[vm.ID]; promised && boot == vm.Boot {
			n++
		}
	}
	if n >= support.Majority(len(vms)) {
		return true
	}
	s.logger.Info("most VMs have not promised to leave a leader", "service", r.service, "leader", r.record.Leader, "promised", n, "vms", len(vms))
	return false
}

// boundAfter returns how long the leader before may still grant keys, once the
// record of the new one is written.
func (s *Service) boundAfter(r *promises) time.Duration {
	if s.fromMost(r) {
		return max(authority, r.left)
	}
	return support.MaxExtension
}

// promisePause is the pause between two rounds of questions for promises: VMs
// that did not answer are suspended or start again, mostly for seconds.
const promisePause = 500 * time.Millisecond

// watchFormerLeader lowers the bound up to which grants of the leader before are
// believed to hold: when its process is known to have ended, and when most VMs
// have promised to leave it that had not answered before the claim. Until then
// keys of holders that do not answer wait, and no keys move for the load's sake.
func (l *lead) watchFormerLeader(r *promises) {
	began, most := l.now(), l.s.fromMost(r)
	for l.formerGrantsLeft() > 0 {
		select {
		case <-l.closed:
			return
		case <-time.After(promisePause):
		}
		if processEnded(l.view, r.record) {
			l.lowerFormerBound(r, l.now(), "its process has ended")
			return
		}
		if most {
			continue
		}
		l.s.askToRelease(l.s.ctx, r)
		if most = l.s.fromMost(r); most {
			l.lowerFormerBound(r, max(began+authority, l.now()+r.left), "most VMs have promised to leave it")
		}
	}
}

// formerGrantsLeft returns for how long grants of the leader before may still hold.
func (l *lead) formerGrantsLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.FormerBound() - l.now()
}

// lowerFormerBound tells the keys that the leader before has no authority from a time on.
func (l *lead) lowerFormerBound(r *promises, authorityEnds time.Duration, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, bound := l.now(), authorityEnds+afterAuthority()
	l.keys.LowerFormerBound(now, bound)
	l.logger.Info("grants of the leader before end", "leader", r.record.Leader, "boot", r.record.Boot, "within", bound-now, "why", why)
}
