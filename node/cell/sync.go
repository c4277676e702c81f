package cell

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/view"
)

const (
	// Once its view of a log is older than staleAfter, this VM fetches views not only
	// from the VM that reads the store but also from all leaders and from a random
	// other VM, because the store may refuse this VM and all leaders. systemStaleAfter
	// is the same for the system's log, which is read less often.
	staleAfter       = 600 * time.Millisecond
	systemStaleAfter = 1300 * time.Millisecond
	// heartbeatSkipPeriod is how long after its last answer a leader is sent no
	// heartbeat. It leaves time for two heartbeats before leaderTimeout.
	heartbeatSkipPeriod = 300 * time.Millisecond
)

// syncPeer is a VM to send a heartbeat to.
type syncPeer struct {
	fleet.VM
	fetchView bool // whether to fetch its view as well
}

// syncLoop makes an exchange with each of syncPeers every syncInterval. An exchange
// that hangs does not delay those with other VMs.
func (s *Service) syncLoop() {
	defer s.wg.Done()
	var inFlight sync.Map // ids of the VMs with an exchange in flight
	for s.ctx.Err() == nil {
		for _, p := range s.syncPeers() {
			if _, busy := inFlight.LoadOrStore(p.ID, true); busy {
				continue
			}
			go func() {
				defer inFlight.Delete(p.ID)
				s.syncWith(p)
			}()
		}
		time.Sleep(s.syncPause())
	}
}

// startSyncInterval replaces syncInterval for startSyncPeriod after the start of the
// process, until the view is ready: the VM cannot serve requests before another VM has
// sent it the logs that it does not read itself.
const (
	startSyncInterval = 50 * time.Millisecond
	startSyncPeriod   = 500 * time.Millisecond
)

func (s *Service) syncPause() time.Duration {
	if s.view.Ready() || s.clock.Now() > s.started+startSyncPeriod {
		return syncInterval
	}
	return startSyncInterval
}

// syncPeers returns the VMs to exchange with now: the VM that reads the store, the
// leaders that have not answered within heartbeatSkipPeriod, and, while a cell lacks an
// answering leader or this VM's view is stale, a random other VM. While the view is
// stale it returns all leaders and fetches their views; otherwise each leader would
// send the same large changes.
func (s *Service) syncPeers() []syncPeer {
	leaders, missing := s.leaders()
	stale := s.view.Staleness(view.Targets) > staleAfter || s.view.Staleness(view.Operators) > staleAfter ||
		s.view.Staleness(view.System) > systemStaleAfter
	reader := s.reader()
	var out []syncPeer
	var others []fleet.VM
	for _, vm := range s.view.VMs() {
		switch {
		case vm.ID == s.self.ID:
		case vm.ID == reader:
			out = append(out, syncPeer{vm, true})
		case leaders[vm.ID]:
			if stale || !s.heardWithin(vm.ID, vm.Boot, heartbeatSkipPeriod) {
				out = append(out, syncPeer{vm, stale})
			}
		default:
			others = append(others, vm)
		}
	}
	if (missing || stale) && len(others) > 0 {
		out = append(out, syncPeer{others[rand.Intn(len(others))], true})
	}
	return out
}

// leaders returns the ids of the VMs that lead cells. missing tells whether a cell has
// no leader that answers, or no configuration is known.
func (s *Service) leaders() (leaders map[string]bool, missing bool) {
	cfg, _ := s.view.Config()
	if cfg == nil {
		return nil, true
	}
	leaders = map[string]bool{}
	for _, svc := range cfg.Services {
		vm, _, ok := s.currentLeader(svc.Name)
		if !ok || !s.heardRecently(vm.ID, vm.Boot) {
			missing = true
		}
		if ok {
			leaders[vm.ID] = true
		}
	}
	return leaders, missing
}

// syncWith makes one exchange with a VM, merges the view if it fetched one, and records
// whether the VM answered.
func (s *Service) syncWith(vm syncPeer) {
	defer s.guard.Recover("exchange with a VM", "vm", vm.ID, "peer", vm.PeerAddress)
	ctx, cancel := context.WithTimeout(s.ctx, syncTimeout)
	defer cancel()
	args, began, sent := SyncArgs{VM: s.self.ID, Passes: vm.fetchView}, s.clock.Now(), time.Now()
	if vm.fetchView {
		args.Known = s.view.Known()
	}
	var reply SyncReply
	if err := s.peers.Call(ctx, vm.PeerAddress, RPCName+".Sync", args, &reply); err != nil {
		if ctx.Err() != nil && s.ctx.Err() == nil {
			s.peers.Drain(vm.PeerAddress, sent) // the leader may only be slow, with Lend calls in flight
		}
		s.noteLost(vm.VM, err)
		return
	}
	if vm.fetchView {
		s.view.Merge(reply.Batch, args.Known, s.clock.Now()-began)
	}
	s.noteHeard(vm.ID, reply.Boot, vm.PeerAddress)
}

// noteHeard records that a VM's process has answered now.
func (s *Service) noteHeard(id, boot, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if at, known := s.lastHeard[id+boot]; !known || now-at >= leaderTimeout {
		s.logger.Info("VM answers", "vm", id, "boot", boot, "peer", address)
	}
	s.lastHeard[id+boot], s.anyAnsweredAt, s.anyAnswered = now, now, true
}

// noteLost logs that a process has stopped answering and deletes its entry in
// lastHeard, so that the line is not repeated until there is a new entry.
func (s *Service) noteLost(vm fleet.VM, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := vm.ID + vm.Boot
	if at, known := s.lastHeard[key]; known && s.clock.Now()-at > leaderTimeout {
		delete(s.lastHeard, key)
		s.logger.Info("VM has stopped answering", "vm", vm.ID, "boot", vm.Boot, "peer", vm.PeerAddress, "error", err)
	}
}
