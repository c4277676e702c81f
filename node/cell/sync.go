package cell

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/view"
)

// staleAfter is the age of what this VM knows from which on it asks a VM that
// leads nothing: the store may turn this VM and all leaders away. The system's
// log is read less often.
const (
	staleAfter       = 600 * time.Millisecond
	systemStaleAfter = 1300 * time.Millisecond
	// heardPause is how long an answer, also one to a request for a slot, shows
	// that a leader works. It leaves time for two exchanges before silence.
	heardPause = 300 * time.Millisecond
)

// partner is a VM to exchange with.
type partner struct {
	fleet.VM
	passes bool // the VM is asked for what it knows, not only whether it works
}

// syncLoop exchanges views with the VM that reads the store, and with others
// when that is not enough. An exchange that hangs does not hold up those with
// other VMs.
func (s *Service) syncLoop() {
	defer s.wg.Done()
	var open sync.Map // VM ids
	for s.ctx.Err() == nil {
		for _, p := range s.partners() {
			if _, busy := open.LoadOrStore(p.ID, true); busy {
				continue
			}
			go func() {
				defer open.Delete(p.ID)
				s.syncWith(p)
			}()
		}
		time.Sleep(syncPause)
	}
}

// partners returns the VM that reads the store for all, the leaders that have
// not been heard just now, and another VM while a cell has no leader that is
// heard or while what this VM knows is old. Only one VM passes on what it
// knows, unless that is old: a large change would come from each leader.
func (s *Service) partners() []partner {
	leaders, wanting := s.leaders()
	stale := s.view.Staleness(view.Targets) > staleAfter || s.view.Staleness(view.Operators) > staleAfter ||
		s.view.Staleness(view.System) > systemStaleAfter
	reader := s.reader()
	var out []partner
	var others []fleet.VM
	for _, vm := range s.view.VMs() {
		switch {
		case vm.ID == s.self.ID:
		case vm.ID == reader:
			out = append(out, partner{vm, true})
		case leaders[vm.ID]:
			if stale || !s.heardWithin(vm.ID, vm.Boot, heardPause) {
				out = append(out, partner{vm, stale})
			}
		default:
			others = append(others, vm)
		}
	}
	if (wanting || stale) && len(others) > 0 {
		out = append(out, partner{others[rand.Intn(len(others))], true})
	}
	return out
}

// leaders returns the VMs that lead cells, and whether one of them is not heard.
func (s *Service) leaders() (leaders map[string]bool, missing bool) {
	cfg, _ := s.view.Config()
	if cfg == nil {
		return nil, true
	}
	leaders = map[string]bool{}
	for _, svc := range cfg.Services {
		vm, _, ok := s.acting(svc.Name)
		if !ok || !s.heardLately(vm.ID, vm.Boot) {
			missing = true
		}
		if ok {
			leaders[vm.ID] = true
		}
	}
	return leaders, missing
}

func (s *Service) syncWith(vm partner) {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	args, began, sent := SyncArgs{VM: s.self.ID, Passes: vm.passes}, s.clock.Now(), time.Now()
	if vm.passes {
		args.Known = s.view.Known()
	}
	var reply SyncReply
	if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Sync", args, &reply); err != nil {
		if ctx.Err() != nil && s.ctx.Err() == nil {
			s.peers.Drop(vm.PeerAddress, sent)
		}
		s.noteLost(vm.VM, err)
		return
	}
	if vm.passes {
		s.view.Merge(reply.Batch, args.Known, s.clock.Now()-began)
	}
	s.noteHeard(vm.ID, reply.Boot, vm.PeerAddress)
}

// noteHeard takes an answer of a VM's process as a sign that it works.
func (s *Service) noteHeard(id, boot, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if at, known := s.heard[id+boot]; !known || now-at >= silence {
		s.logger.Info("vm is heard", "vm", id, "boot", boot, "peer", address)
	}
	s.heard[id+boot] = now
}

// noteLost logs the first failure after a success.
func (s *Service) noteLost(vm fleet.VM, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := vm.ID + vm.Boot
	if at, known := s.heard[key]; known && s.clock.Now()-at > silence {
		delete(s.heard, key)
		s.logger.Info("vm is not heard any more", "vm", vm.ID, "boot", vm.Boot, "peer", vm.PeerAddress, "error", err)
	}
}
