// Package dispatch queues the requests of the dispatch groups that the dispatch
// map assigns to this VM and sends them to the groups' targets.
//
// A dispatch group is a service without keys, or one target of a keyed service.
// At any time at most one VM, the dispatcher of the group, sends its requests. The
// entry VM of a request accepted it from the caller and submits it to the
// dispatcher.
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

// Name is the name under which Service registers with the kernel.
const Name = "dispatch.groups"

const (
	// tickInterval is the time between two checks for queued requests that expired
	// or that this VM no longer dispatches.
	tickInterval = 10 * time.Millisecond
	// loadInterval is the time between two load queries to a target.
	loadInterval = 500 * time.Millisecond
	// loadTimeout limits a load query and a cancel call to a target.
	loadTimeout = 400 * time.Millisecond
	// refreshInterval is the time between two checks of which targets are out of
	// service.
	refreshInterval = 100 * time.Millisecond
	// handoverTimeout is how long a target that is draining or out of service
	// still gets requests while its shards are handed over. It is below the 3 s
	// after which such a target gets no new work even without a manager.
	handoverTimeout = 2500 * time.Millisecond
)

// Service dispatches the requests of this VM's groups.
type Service struct {
	vm      string
	startID string // random; makes ledger attempt ids differ between process starts
	clock   *clock.Clock
	events  *timeline.Recorder
	logger  hclog.Logger
	maps    *mapstore.Store
	ledger  *ledger.Ledger
	targets *targets.Client
	replica *replica.Replica

	counters       counters
	ledgerAttempts atomic.Uint64

	mu             sync.Mutex
	groups         map[string]*group
	cancels        map[string]context.CancelFunc // for the requests in progress, by request id
	loads          *shardLoads
	quarantine     *quarantine.State
	exclusiveRuns  map[uint64]bool // fingerprints of crash suspects that are running now
	budget         *retry.Budget
	unhealthy      map[string]bool          // targets whose last load query failed; timeouts are ignored
	draining       map[string]bool          // targets that report that they are draining
	lastReply      map[string]time.Duration // last answer to a load query, or the start of dispatching, by target
	withdrawnSince map[string]time.Duration // when a target went out of service or began to drain

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type counters struct {
	sent, retried, notRun, unknown, moved, gated, cancelled metrics.Counter
	serviceTime, queueTime                                  metrics.Timer
}

// New returns the dispatch service of a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, registry metrics.Registry) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("dispatch."+name, registry)
	}
	return &Service{
		vm: vm, startID: strconv.FormatUint(rand.Uint64(), 36), clock: c, events: events, logger: logger, ctx: ctx, cancel: cancel,
		groups: map[string]*group{}, cancels: map[string]context.CancelFunc{},
		loads:         newShardLoads(),
		quarantine:    quarantine.New(quarantine.DefaultConfig()),
		exclusiveRuns: map[uint64]bool{},
		budget:        retry.NewBudget(retry.DefaultBudgetConfig(), c.Now()),
		unhealthy:     map[string]bool{}, draining: map[string]bool{}, lastReply: map[string]time.Duration{}, withdrawnSince: map[string]time.Duration{},
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

// Provision resolves the modules that the service depends on and registers its
// RPC methods.
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

// Start starts the periodic tasks.
func (s *Service) Start(context.Context) error {
	s.wg.Add(4)
	go s.runPeriodically(tickInterval, s.tick)
	go s.runPeriodically(loadInterval, s.observeAll)
	go s.runPeriodically(rateWindow, s.loads.endWindow)
	go s.runPeriodically(refreshInterval, s.refreshAll)
	return nil
}

// Stop cancels the requests that other VMs submitted and waits for the periodic
// tasks to end.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

func (s *Service) runPeriodically(interval time.Duration, task func()) {
	defer s.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

func (s *Service) tick() {
	for _, g := range s.allGroups() {
		g.tick()
		g.refuseMoved(s.routed)
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

// MapInstalled implements mapstore.Listener. It creates the groups that this VM
// now dispatches, refuses the queued requests that it no longer dispatches, and
// deletes the idle groups of which it is no longer the dispatcher.
func (s *Service) MapInstalled(m *shardmap.Map) {
	s.replica.ExpectConfigVersion(m.ConfigVersion)
	for name, entry := range m.Groups {
		if entry.DispatchedBy(s.vm, s.maps.BootID()) {
			s.startDispatching(name)
		}
	}
	for _, g := range s.allGroups() {
		g.refuseMoved(s.routed)
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

// startDispatching creates a group that this VM now dispatches. Its targets
// start cold: with one slot each.
func (s *Service) startDispatching(name string) {
	s.mu.Lock()
	_, exists := s.groups[name]
	s.mu.Unlock()
	if exists {
		return
	}
	service, groupTargets := s.targetsOf(name)
	if service.Name == "" || len(groupTargets) == 0 {
		return // the write intent group of a keyed service has no targets
	}
	g := newGroup(name, service, s.clock)
	for _, t := range groupTargets {
		g.updateTarget(admission.TargetUpdate{Target: t.Name, Slots: t.Slots, Available: s.available(t), Granted: true})
	}
	s.mu.Lock()
	s.groups[name] = g
	for _, t := range groupTargets {
		s.lastReply[t.Name] = s.clock.Now()
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
	r.Heard = s.replyAges()
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

// busy reports whether the group has requests in flight, and the shards of those
// that were sent under a route (owner and fence) that m no longer has.
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

// InFlight returns the number of requests that were sent to targets and have
// not ended.
func (s *Service) InFlight() int {
	n := 0
	for _, g := range s.allGroups() {
		g.mu.Lock()
		n += len(g.running)
		g.mu.Unlock()
	}
	return n
}

// Cancel cancels a request that this VM dispatches. An unknown id is ignored.
func (s *Service) Cancel(id string) {
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// receiver serves the RPC service Dispatch.
type receiver struct{ s *Service }

// Submit runs a request that a caller sent to another VM.
func (r *receiver) Submit(req *Request, result *Result) error {
	r.s.events.Observe(req.Stamp)
	*result = *r.s.Submit(r.s.ctx, req)
	return nil
}

// Cancel cancels a request whose caller disconnected.
func (r *receiver) Cancel(args *CancelArgs, _ *Nothing) error {
	r.s.Cancel(args.ID)
	return nil
}

func ledgerKey(req *Request) string { return fmt.Sprintf("%s %s", req.Service, req.IdempotencyKey) }
