package cell

import (
	"time"

	"github.com/mangogate/mangogate/core/fleet"
)

// lendWait holds the Lend calls that wait for one process.
type lendWait struct {
	silent chan struct{} // closed when the process counts as silent
	calls  int
}

// awaitLeader registers a Lend call to a process. silent is closed when the process counts
// as silent, or leaderTimeout after now if it has never answered or did not before the
// call. The caller runs done once the call has ended.
func (s *Service) awaitLeader(vm fleet.VM, now time.Duration) (silent <-chan struct{}, done func()) {
	process := vm.ID + vm.Boot
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.lastHeard[process] >= leaderTimeout { // the one request of shouldAsk
		end := make(chan struct{})
		t := time.AfterFunc(leaderTimeout, func() { close(end) })
		return end, func() { t.Stop() }
	}
	w := s.lendWaits[process]
	if w == nil {
		w = &lendWait{silent: make(chan struct{})}
		s.lendWaits[process] = w
	}
	w.calls++
	return w.silent, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.calls--; w.calls == 0 && s.lendWaits[process] == w {
			delete(s.lendWaits, process)
		}
	}
}

// releaseWaiting ends the wait of the Lend calls to processes that count as silent, so that
// their requests are lent slots locally while they have time left. It does nothing after a
// pause of this VM's own process, in which the answers may have arrived unread.
func (s *Service) releaseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	paused := now-s.releasedAt > 3*reconcileInterval
	s.releasedAt = now
	if paused {
		return
	}
	for process, w := range s.lendWaits {
		if at := s.lastHeard[process]; now-at >= leaderTimeout {
			close(w.silent)
			delete(s.lendWaits, process)
			s.lendFallbacks.Inc(int64(w.calls))
			s.logger.Info("Lend calls fall back to local lending: the leader has stopped answering", "leader", process, "calls", w.calls, "silent_for", now-at)
		}
	}
}

// heardSince reports whether a process has answered this VM after t.
func (s *Service) heardSince(vm fleet.VM, t time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeard[vm.ID+vm.Boot] > t
}

// clockSample is how far a process's clock is ahead of this VM's, at least, and when that
// was learned.
type clockSample struct{ ahead, at time.Duration }

// clockSampleTTL is for how long the largest clockSample counts. An answer that was read
// late gives too small a one.
const clockSampleTTL = 10 * time.Second

// noteClock records the clock of a process that has answered now.
func (s *Service) noteClock(vm fleet.VM, reading time.Duration) {
	if reading == 0 { // from an earlier version
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, process := s.clock.Now(), vm.ID+vm.Boot
	if c, known := s.clocks[process]; !known || reading-now >= c.ahead || now-c.at > clockSampleTTL {
		s.clocks[process] = clockSample{reading - now, now}
	}
}

// clockOf returns the reading of a process's clock now, or one that is somewhat earlier; 0
// if it is unknown.
func (s *Service) clockOf(vm fleet.VM) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, known := s.clocks[vm.ID+vm.Boot]
	if !known {
		return 0
	}
	return s.clock.Now() + c.ahead
}

// unread is lending.Pauses.Unread for a Lend call that is read now.
func (s *Service) unread(sentAt time.Duration) (unread time.Duration, abandoned bool) {
	s.pausesMu.Lock()
	defer s.pausesMu.Unlock()
	now := s.clock.Now()
	s.pauses.Ran(now)
	return s.pauses.Unread(now, sentAt, leaderTimeout)
}
