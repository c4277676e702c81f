// Package dispatch sends the requests of the groups that this VM dispatches to
// their targets.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/retry"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/ledger"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/replica"
	"github.com/mangogate/mangogate/node/targets"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Service.
const Name = "dispatch.groups"

const (
	tickInterval = 10 * time.Millisecond // expiry of queued requests
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 400 * time.Millisecond
	// refreshInterval is the time between two looks at what is out of service.
	refreshInterval = 100 * time.Millisecond
	// handoverPatience is how long a target that is leaving works on while
	// its shards are handed over. It is below the 3 s after which such a
	// target gets no new work, also when there is no manager.
	handoverPatience = 2500 * time.Millisecond
)

// Service is the module.
type Service struct {
	vm      string
	boot    string // of this process start
	clock   *clock.Clock
	events  *timeline.Recorder
	logger  hclog.Logger
	maps    *mapstore.Store
	ledger  *ledger.Ledger
	targets *targets.Client
	replica *replica.Replica

	counters counters
	attempts atomic.Uint64

	mu         sync.Mutex
	groups     map[string]*group
	cancels    map[string]context.CancelFunc // by request id
	loads      *shardLoads
	quarantine *quarantine.State
	alone      map[uint64]bool // suspects that run now, by fingerprint
	budget     *retry.Budget
	unhealthy  map[string]bool          // targets that refuse connections
	draining   map[string]bool          // targets that say so
	heard      map[string]time.Duration // last answer to a load query, or the start of dispatching
	// leavingSince is since when a target is out of service or draining.
	leavingSince map[string]time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type counters struct {
	sent, retried, notRun, unknown, moved, gated, cancelled metrics.Counter
	serviceTime, queueTime                                  metrics.Timer
}

// New returns the module for a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, registry metrics.Registry) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("dispatch."+name, registry)
	}
	return &Service{
		vm: vm, boot: strconv.FormatUint(rand.Uint64(), 36), clock: c, events: events, logger: logger, ctx: ctx, cancel: cancel,
		groups: map[string]*group{}, cancels: map[string]context.CancelFunc{},
		loads:      newShardLoads(),
		quarantine: quarantine.New(quarantine.DefaultConfig()),
		alone:      map[uint64]bool{},
		budget:     retry.NewBudget(retry.DefaultBudgetConfig(), c.Now()),
		unhealthy:  map[string]bool{}, draining: map[string]bool{}, heard: map[string]time.Duration{}, leavingSince: map[string]time.Duration{},
		counters: counters{
			sent: counter("sent"), retried: counter("retried"), notRun: counter("not_run"),
			unknown: counter("unknown"), moved: counter("moved"), gated: counter("gated"), cancelled: counter("cancelled"),
			serviceTime: metrics.GetOrRegisterTimer("dispatch.service_time", registry),
			queueTime:   metrics.GetOrRegisterTimer("dispatch.queue_time", registry),
		},
	}
}

// Name implements kernel.Module.
func (s *Service) Name() string { return Name }

// Provision looks up the other modules and registers the calls between VMs.
func (s *Service) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	err := k.Resolve(
		kernel.Into(&server, peer.ServerName),
		kernel.Into(&s.maps, mapstore.Name),
		kernel.Into(&s.ledger, ledger.Name),
		kernel.Into(&s.targets, targets.Name),
		kernel.Into(&s.replica, replica.Name),
	)
	if err != nil {
		return err
	}
	s.maps.Attach(s)
	return server.Register("Dispatch", &receiver{s})
}

// Start runs the timers.
func (s *Service) Start(context.Context) error {
	s.wg.Add(4)
	go s.every(tickInterval, s.tick)
	go s.every(loadInterval, s.observeAll)
	go s.every(loadWindow, s.loads.endWindow)
	go s.every(refreshInterval, s.refreshAll)
	return nil
}

// Stop ends the timers.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

func (s *Service) every(interval time.Duration, do func()) {
	defer s.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (s *Service) tick() {
	for _, g := range s.allGroups() {
		g.tick()
		g.evict(s.routed)
	}
}

func (s *Service) allGroups() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		out = append(out, g)
	}
	return out
}

// MapInstalled implements mapstore.Listener.
func (s *Service) MapInstalled(m *shardmap.Map) {
	s.replica.Expect(m.ConfigVersion)
	for name, entry := range m.Groups {
		if entry.DispatchedBy(s.vm, s.maps.BootID()) {
			s.takeUp(name)
		}
	}
	for _, g := range s.allGroups() {
		g.evict(s.routed)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.groups {
		if entry, ok := m.Groups[name]; ok && entry.Dispatcher == s.vm {
			continue
		}
		g.mu.Lock()
		idle := len(g.running) == 0 && len(g.waiting) == 0
		g.mu.Unlock()
		if idle {
			delete(s.groups, name)
		}
	}
}

// takeUp begins to dispatch a group. Its targets start cold.
func (s *Service) takeUp(name string) {
	s.mu.Lock()
	_, have := s.groups[name]
	s.mu.Unlock()
	if have {
		return
	}
	service, members := s.targetsOf(name)
	if service.Name == "" || len(members) == 0 {
		return // a keyed service's ledger group has no targets of its own
	}
	g := newGroup(name, service, s.clock)
	for _, t := range members {
		g.seen(admission.TargetSeen{Target: t.Name, Slots: t.Slots, Available: s.available(t), Granted: true})
	}
	s.mu.Lock()
	s.groups[name] = g
	for _, t := range members {
		s.heard[t.Name] = s.clock.Now()
	}
	s.mu.Unlock()
	s.events.Record(timeline.Event{Kind: "group.dispatched", Group: name, Service: service.Name})
}

// AddReport implements mapstore.Reporter.
func (s *Service) AddReport(r *mapstore.Report) {
	s.replica.View(func(st *control.State) {
		r.ConfigVersion, r.AssignVersion = st.ConfigVersion(), st.AssignVersion()
	})
	r.Loads = s.loads.report()
	m := s.maps.Current()
	r.Heard = s.targetsHeard()
	for _, g := range s.allGroups() {
		busy, shards := g.busy(m)
		r.Groups = append(r.Groups, mapstore.GroupReport{Group: g.name, Busy: busy})
		r.BusyShards = append(r.BusyShards, shards...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.draining {
		r.Draining = append(r.Draining, t)
	}
	r.Refusals = append(r.Refusals, s.refusals()...)
}

// busy tells whether requests are in flight, and for which shards they were
// sent under a route that is no longer in force.
func (g *group) busy(m *shardmap.Map) (bool, []mapstore.ShardReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var shards []mapstore.ShardReport
	for _, r := range g.running {
		if r.shard < 0 || m == nil {
			continue
		}
		routes := m.Shards[g.service]
		if r.shard >= len(routes) || routes[r.shard].Owner != r.target || routes[r.shard].Fence != r.fence {
			shards = append(shards, mapstore.ShardReport{Service: g.service, Shard: r.shard})
		}
	}
	return len(g.running) > 0, shards
}

// InFlight returns the number of requests that are at targets.
func (s *Service) InFlight() int {
	n := 0
	for _, g := range s.allGroups() {
		g.mu.Lock()
		n += len(g.running)
		g.mu.Unlock()
	}
	return n
}

// Cancel withdraws a request.
func (s *Service) Cancel(id string) {
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

type receiver struct{ s *Service }

// Submit runs a request of another entry.
func (r *receiver) Submit(req *Request, result *Result) error {
	r.s.events.Observe(req.Stamp)
	*result = *r.s.Submit(r.s.ctx, req)
	return nil
}

// Cancel withdraws a request whose caller has gone.
func (r *receiver) Cancel(args *CancelArgs, _ *Nothing) error {
	r.s.Cancel(args.ID)
	return nil
}

func ledgerKey(req *Request) string { return fmt.Sprintf("%s %s", req.Service, req.IdempotencyKey) }
