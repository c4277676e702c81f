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
)

// syncLoop exchanges views with the leaders, and with others when that is not
// enough. An exchange that hangs does not hold up those with other VMs.
func (s *Service) syncLoop() {
	defer s.wg.Done()
	var open sync.Map // VM ids
	for s.ctx.Err() == nil {
		for _, vm := range s.partners() {
			if _, busy := open.LoadOrStore(vm.ID, true); busy {
				continue
			}
			go func() {
				defer open.Delete(vm.ID)
				s.syncWith(vm)
			}()
		}
		time.Sleep(syncPause)
	}
}

// partners returns the leaders, each once, and another VM while a cell has no
// leader that is heard or while what this VM knows is old.
func (s *Service) partners() []fleet.VM {
	leaders, wanting := s.leaders()
	wanting = wanting || s.view.Staleness(view.Targets) > staleAfter || s.view.Staleness(view.Operators) > staleAfter ||
		s.view.Staleness(view.System) > systemStaleAfter
	var out, others []fleet.VM
	for _, vm := range s.view.VMs() {
		switch {
		case vm.ID == s.self.ID:
		case leaders[vm.ID]:
			out = append(out, vm)
		default:
			others = append(others, vm)
		}
	}
	if wanting && len(others) > 0 {
		out = append(out, others[rand.Intn(len(others))])
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
		c, _ := s.view.Cell(svc.Name)
		if c == nil || !s.heardLately(c.Leader, c.Boot) {
			missing = true
		}
		if c != nil {
			leaders[c.Leader] = true
		}
	}
	return leaders, missing
}

func (s *Service) syncWith(vm fleet.VM) {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	asked, began, sent := s.view.Ends(), s.clock.Now(), time.Now()
	var reply SyncReply
	if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Sync", SyncArgs{VM: s.self.ID, Ends: asked}, &reply); err != nil {
		if ctx.Err() != nil && s.ctx.Err() == nil {
			s.peers.Drop(vm.PeerAddress, sent)
		}
		s.noteLost(vm, err)
		return
	}
	now := s.clock.Now()
	s.view.Merge(reply.Batch, asked, now-began)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := vm.ID + reply.Boot
	if _, known := s.heard[key]; !known {
		s.logger.Info("vm is heard", "vm", vm.ID, "boot", reply.Boot, "peer", vm.PeerAddress)
	}
	s.heard[key] = now
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
