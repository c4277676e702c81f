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
}

// Support implements the call of the same name.
func (h *handler) Support(a SupportArgs, reply *SupportReply) error {
	c, _ := h.s.view.Cell(a.Service)
	leads := c != nil && c.Leader == a.Leader && c.Boot == a.Boot
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	reply.Supports = h.s.follower(a.Service).Support(h.s.clock.Now(), a.Leader+a.Boot, leads)
	return nil
}

// Release implements the call of the same name.
func (h *handler) Release(a SupportArgs, reply *ReleaseReply) error {
	leader, c, known := h.s.acting(a.Service)
	same := known && c.Leader == a.Leader && c.Boot == a.Boot
	if same && h.s.heardLately(leader.ID, leader.Boot) {
		reply.Hears = true
		return nil
	}
	reply.Left = h.s.release(a)
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

// releaseLeader asks all VMs to follow a leader no more. It returns false if
// one of them hears it, and otherwise how long the leader may still grant keys
// without the store.
func (s *Service) releaseLeader(ctx context.Context, service string, c *fleet.Cell) (bound time.Duration, ok bool) {
	args := SupportArgs{Service: service, Leader: c.Leader, Boot: c.Boot}
	bound, ok = authority, true
	released := 1 // this VM
	askAll(ctx, s, s.others(c.Leader), "Release", args, func(vm fleet.VM, reply ReleaseReply) {
		switch {
		case reply.Hears:
			ok = false
			s.logger.Info("did not claim a cell: another VM hears its leader", "service", service, "leader", c.Leader, "by", vm.ID)
		default:
			released++
			bound = max(bound, reply.Left)
		}
	})
	bound = max(bound, s.release(args))
	if known := len(s.view.VMs()); released < support.Majority(known) {
		s.logger.Info("claims a cell without most VMs", "service", service, "leader", c.Leader, "released", released, "vms", known)
		bound = support.MaxExtension
	}
	return bound, ok
}
