package cell

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/saturation"
	"github.com/mangogate/mangogate/node/wire"
	"github.com/rcrowley/go-metrics"
)

// loadInterval is the interval between two samples of this VM's load while it leads.
const loadInterval = 250 * time.Millisecond

// loadMonitor measures the load of this VM while it leads cells, and hands over the busiest
// cell to a larger VM before this one is saturated. Only reconcileLoop uses it.
type loadMonitor struct {
	monitor   saturation.Monitor
	traffic   []*wire.Counters // of the connections between VMs
	checkedAt time.Duration    // last checkLoad
	sampledAt time.Duration    // 0 if there is no earlier sample
	cpu       time.Duration    // at sampledAt, like in and out
	in, out   int64
	lag       time.Duration // longest since sampledAt
	dueAt     time.Duration // when reconcileLoop should run next; 0 at first
	gauges    struct{ cpu, link, lag metrics.GaugeFloat64 }
	handovers metrics.Counter
}

func newLoadMonitor(registry metrics.Registry) *loadMonitor {
	m := &loadMonitor{
		traffic:   []*wire.Counters{wire.NewCounters("peer.client", registry), wire.NewCounters("peer.server", registry)},
		handovers: metrics.GetOrRegisterCounter("cell.load_handovers", registry),
	}
	m.gauges.cpu = metrics.GetOrRegisterGaugeFloat64("cell.leader_cpu_share", registry)
	m.gauges.link = metrics.GetOrRegisterGaugeFloat64("cell.leader_link_share", registry)
	m.gauges.lag = metrics.GetOrRegisterGaugeFloat64("cell.leader_lag_s", registry)
	return m
}

// noteRun records that reconcileLoop runs now.
func (m *loadMonitor) noteRun(now time.Duration) {
	if m.dueAt > 0 {
		m.lag = max(m.lag, now-m.dueAt)
	}
}

// reset forgets the samples: this VM leads no cell that a larger one could lead.
func (m *loadMonitor) reset() {
	if m.sampledAt > 0 {
		m.monitor.Idle()
		m.sampledAt = 0
		m.update(saturation.Sample{})
	}
}

func (m *loadMonitor) update(average saturation.Sample) {
	m.gauges.cpu.Update(average.CPU)
	m.gauges.link.Update(average.Link)
	m.gauges.lag.Update(average.Lag.Seconds())
}

// sample returns the load since the last call, and false if there was none.
func (m *loadMonitor) sample(now time.Duration, self fleet.VM) (s saturation.Sample, ok bool) {
	cpu, in, out := processorTime(), int64(0), int64(0)
	for _, c := range m.traffic {
		in, out = in+c.In.Count(), out+c.Out.Count()
	}
	if ok = m.sampledAt > 0; ok {
		span := (now - m.sampledAt).Seconds()
		s.Lag = m.lag
		if self.Cores > 0 {
			s.CPU = (cpu - m.cpu).Seconds() / (span * self.Cores)
		}
		if self.LinkMbps > 0 {
			s.Link = float64(max(in-m.in, out-m.out)) * 8 / 1e6 / (span * self.LinkMbps)
		}
	}
	m.sampledAt, m.cpu, m.in, m.out, m.lag = now, cpu, in, out, 0
	return s, ok
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // it does not fail with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// checkLoad samples the load of this VM if it leads a cell that a larger VM could lead, and
// starts a handover if it is too high.
func (s *Service) checkLoad() {
	defer s.guard.Recover("check the load of this leader")
	now := s.clock.Now()
	if now-s.load.checkedAt < loadInterval {
		return
	}
	s.load.checkedAt = now
	l := s.busiestLeadership()
	if l == nil || s.retiring.Load() || !s.hasLargerVM() {
		s.load.reset()
		return
	}
	if sample, ok := s.load.sample(now, s.self); ok {
		s.noteLoad(s.load, now, sample, l)
	}
}

// noteLoad passes a sample to a monitor and starts a handover of the leadership if the
// monitor asks for one.
func (s *Service) noteLoad(m *loadMonitor, now time.Duration, sample saturation.Sample, l *leadership) {
	short := m.monitor.Observe(now, sample)
	average := m.monitor.Average()
	m.update(average)
	if short == saturation.None {
		return
	}
	candidates := s.largerCandidates(short, l.service)
	s.logger.Info("this leader is busy", "service", l.service, "short_of", string(short), "cpu", average.CPU, "link", average.Link, "lag", average.Lag, "larger_vms", len(candidates))
	if len(candidates) == 0 {
		return
	}
	go func() {
		defer s.guard.Recover("hand over a cell because of load", "service", l.service)
		s.handOverForLoad(s.ctx, l, candidates, short)
	}()
}

// handOverForLoad hands a cell to the first candidate that reaches the store. If none
// does, or the one that is asked refuses, this VM goes on leading.
func (s *Service) handOverForLoad(ctx context.Context, l *leadership, candidates []fleet.VM, short saturation.Resource) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	candidates = s.firstReachingStore(ctx, candidates)
	if len(candidates) == 0 {
		l.logger.Info("keeps the cell: none of the larger VMs asked reaches the store")
		return
	}
	s.handOver(ctx, l, candidates, "the VM runs short of "+string(short))
	if !l.isCurrent() {
		s.load.handovers.Inc(1)
	}
}

// busiestLeadership returns the leadership of this VM with the most requests, or nil. A
// deputy hands nothing over: it only stands in until the store can be written.
func (s *Service) busiestLeadership() *leadership {
	s.mu.Lock()
	leaderships := make([]*leadership, 0, len(s.leaderships))
	for _, l := range s.leaderships {
		if l.deputyFor == nil && !l.handoverStarted.Load() {
			leaderships = append(leaderships, l)
		}
	}
	s.mu.Unlock()
	var busiest *leadership
	most := -1
	for _, l := range leaderships {
		if n := l.openRequests(); n > most || n == most && l.service < busiest.service {
			busiest, most = l, n
		}
	}
	return busiest
}

func (l *leadership) openRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lender.Open()
}

func sizeOf(vm fleet.VM) saturation.Size {
	return saturation.Size{Cores: vm.Cores, LinkMbps: vm.LinkMbps}
}

// hasLargerVM reports whether a VM that may lead in place of this one exists.
func (s *Service) hasLargerVM() bool {
	return slices.ContainsFunc(s.view.VMs(), func(vm fleet.VM) bool {
		return vm.ID != s.self.ID && saturation.LargerFor(sizeOf(vm), sizeOf(s.self))
	})
}

// largerCandidates returns the VMs with clearly more of a resource than this one, at most
// maxCandidatesAsked: those that lead the fewest cells first, then in the order in which
// they would claim the cell.
func (s *Service) largerCandidates(short saturation.Resource, service string) []fleet.VM {
	leads := map[string]int{}
	if cfg, _ := s.view.Config(); cfg != nil {
		for _, svc := range cfg.Services {
			if c, _ := s.view.Cell(svc.Name); c != nil {
				leads[c.Leader]++
			}
		}
	}
	all := s.others("")
	large := newLargeThreshold(all)
	vms := slices.DeleteFunc(all, func(vm fleet.VM) bool {
		return !saturation.ClearlyLarger(short, sizeOf(vm), sizeOf(s.self))
	})
	slices.SortFunc(vms, func(a, b fleet.VM) int {
		if d := cmp.Compare(leads[a.ID], leads[b.ID]); d != 0 {
			return d
		}
		if ranksBefore(service, a, b, large) {
			return -1
		}
		return 1
	})
	return vms[:min(maxCandidatesAsked, len(vms))]
}
