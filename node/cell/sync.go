package cell

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
)

// syncLoop exchanges views with the leaders, or with any VM if there is none.
func (s *Service) syncLoop() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, vm := range s.partners() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.syncWith(vm)
			}()
		}
		wg.Wait()
		time.Sleep(syncPause)
	}
}

// partners returns the leaders, each once, and another VM while a cell has no
// leader that is heard.
func (s *Service) partners() []fleet.VM {
	vms := s.view.VMs()
	leaders := map[string]bool{}
	missing := false
	if cfg, _ := s.view.Config(); cfg != nil {
		for _, svc := range cfg.Services {
			c, _ := s.view.Cell(svc.Name)
			if c == nil || !s.heardLately(c.Leader, c.Boot) {
				missing = true
			}
			if c != nil {
				leaders[c.Leader] = true
			}
		}
	} else {
		missing = true
	}
	var out, others []fleet.VM
	for _, vm := range vms {
		switch {
		case vm.ID == s.self.ID:
		case leaders[vm.ID]:
			out = append(out, vm)
		default:
			others = append(others, vm)
		}
	}
	if missing && len(others) > 0 {
		out = append(out, others[rand.Intn(len(others))])
	}
	return out
}

func (s *Service) syncWith(vm fleet.VM) {
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	asked, began := s.view.Ends(), s.clock.Now()
	var reply SyncReply
	if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Sync", SyncArgs{VM: s.self.ID, Ends: asked}, &reply); err != nil {
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
