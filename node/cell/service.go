// Package cell runs the cells of a VM. A cell is a service of targets with one
// leader among the VMs, agreed on through the store. The leader lends the
// slots of the targets to all VMs and, if the targets hold keys, grants these.
// A VM that reaches no leader lends to itself, within a small share.
package cell

import (
	"context"
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Service.
const Name = "cell.service"

const (
	// syncPause is the pause between two exchanges with a leader.
	syncPause   = 250 * time.Millisecond
	syncTimeout = 400 * time.Millisecond
	// silence is how long a leader is not heard until it is replaced. Grants
	// last longer, so that keys stay held meanwhile.
	silence = 800 * time.Millisecond
	// rankPause spreads the VMs that could replace a leader.
	rankPause = 250 * time.Millisecond
	maxRank   = 6 // ranks that wait longer than the first
	// isolation is how much longer a VM waits that hears no other VM: it may be
	// the one that is cut off.
	isolation = 2 * time.Second
	// watchPause is the pause between two looks at the cells.
	watchPause = 100 * time.Millisecond
)

// Service is the module.
type Service struct {
	self    fleet.VM
	view    *view.View
	store   view.Store
	orders  Orders
	clock   *clock.Clock
	started time.Duration // reading of the clock
	peers   *peer.Client
	retry   RetryLimits
	logger  hclog.Logger
	lastID  atomic.Uint64
	claims  metrics.Counter
	solo    metrics.Counter
	stopped context.CancelFunc
	ctx     context.Context
	wg      sync.WaitGroup
	looking sync.Mutex // held while the cells are looked at
	// retiring is set when this VM leads no more cells.
	retiring atomic.Bool

	mu       sync.Mutex
	leads    map[string]*lead
	solos    map[string]*desk
	claiming map[string]bool
	heard    map[string]time.Duration // leader's process to the time of its last answer
	quietAt  map[string]time.Duration // service to the time since when its leader is silent
	cellSeen map[string]*fleet.Cell
	offered  map[string]lending.Learned // by service: of a leader that may hand over
	// followers is what this VM has promised about the leaders of other cells.
	followers map[string]*support.Follower
	deputies  map[string]deputy // by service
}

// Config assembles a Service.
type Config struct {
	Self     fleet.VM
	View     *view.View
	Store    view.Store
	Orders   Orders
	Clock    *clock.Clock
	Peers    *peer.Client
	Server   *peer.Server
	Retry    RetryLimits
	Logger   hclog.Logger
	Registry metrics.Registry
}

// New returns a service and registers its calls.
func New(c Config) (*Service, error) {
	s := &Service{
		self: c.Self, view: c.View, store: c.Store, orders: c.Orders, clock: c.Clock, started: c.Clock.Now(), peers: c.Peers, retry: c.Retry, logger: c.Logger,
		claims: metrics.GetOrRegisterCounter("cell.claims", c.Registry),
		solo:   metrics.GetOrRegisterCounter("cell.lent_alone", c.Registry),
		leads:  map[string]*lead{}, solos: map[string]*desk{}, claiming: map[string]bool{},
		heard: map[string]time.Duration{}, quietAt: map[string]time.Duration{}, cellSeen: map[string]*fleet.Cell{},
		offered: map[string]lending.Learned{}, followers: map[string]*support.Follower{}, deputies: map[string]deputy{},
	}
	s.ctx, s.stopped = context.WithCancel(context.Background())
	return s, c.Server.Register(RPCName, &handler{s})
}

// Name implements kernel.Module.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.wg.Add(2)
	go s.watch()
	go s.syncLoop()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.stopped()
	s.mu.Lock()
	leads := make([]*lead, 0, len(s.leads))
	for _, l := range s.leads {
		leads = append(leads, l)
	}
	s.mu.Unlock()
	for _, l := range leads {
		l.cancel()
		<-l.done
		l.close()
	}
	s.wg.Wait()
	return nil
}

func (s *Service) watch() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		s.look()
		s.tickSolos()
		time.Sleep(watchPause)
	}
}

// look starts, stops or claims the leadership of all cells.
func (s *Service) look() {
	s.looking.Lock()
	defer s.looking.Unlock()
	if cfg, _ := s.view.Config(); cfg != nil && s.view.Ready() && s.ctx.Err() == nil {
		for _, svc := range cfg.Services {
			s.lookAt(svc)
		}
	}
}

// lookAt starts, stops or claims the leadership of one cell.
func (s *Service) lookAt(svc fleet.Service) {
	c, number := s.view.Cell(svc.Name)
	mine := c != nil && c.Leader == s.self.ID && c.Boot == s.self.Boot
	s.mu.Lock()
	l, leads := s.leads[svc.Name]
	busy := s.claiming[svc.Name]
	s.mu.Unlock()
	switch {
	case leads && !l.leads():
		s.end(svc.Name, l, "another VM leads the cell")
	case leads && l.ceded.Load() && s.hasDeputy(svc.Name, c):
		s.end(svc.Name, l, "another VM acts for this one")
	case leads || busy:
	case mine && !s.hasDeputy(svc.Name, c):
		s.begin(svc.Name, s.inherit(svc, 0), number)
	case !s.retiring.Load() && s.shouldClaim(svc.Name, c):
		s.mu.Lock()
		s.claiming[svc.Name] = true
		s.mu.Unlock()
		go s.tryClaim(svc, c)
	}
}

func (s *Service) tryClaim(svc fleet.Service, seen *fleet.Cell) {
	defer func() {
		s.mu.Lock()
		delete(s.claiming, svc.Name)
		delete(s.quietAt, svc.Name)
		s.mu.Unlock()
	}()
	bound := boundOf(0)
	var r *promises
	if seen != nil && !processEnded(s.view, seen) {
		var ok bool
		if r, ok = s.releaseLeader(s.ctx, svc.Name, seen); !ok {
			return
		}
		bound = func() time.Duration { return s.boundAfter(r) }
	}
	if err := s.claim(s.ctx, svc, seen, bound); err != nil {
		s.logger.Info("claim failed", "service", svc.Name, "error", err)
		return
	}
	s.claims.Inc(1)
	go s.tellAll(svc.Name)
	if l := s.leadOf(svc.Name); l != nil && l.keys != nil && r != nil {
		go l.watchFormerLeader(r)
	}
}

// boundOf returns a bound that is known before a claim.
func boundOf(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// hasDeputy tells whether another VM acts for the leader of a record.
func (s *Service) hasDeputy(service string, c *fleet.Cell) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, has := s.deputies[service]
	return has && c != nil && d.change == c.Change && d.vm.ID != s.self.ID
}

func (s *Service) begin(service string, m *keyspace.Manager, number int64) {
	s.beginAs(service, m, number, nil)
}

// beginAs leads a cell, for the leader of a record if there is one. A lead of
// this VM that acted for a leader until now ends.
func (s *Service) beginAs(service string, m *keyspace.Manager, number int64, acts *fleet.Cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	l := s.newLead(service, m)
	l.acts = acts
	if before := s.leads[service]; before != nil {
		before.cancel()
		before.close()
	}
	if learned, ok := s.offered[service]; ok {
		l.begin(learned)
		delete(s.offered, service)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	s.leads[service] = l
	s.logger.Info("leads a cell", "service", service, "number", number, "acts", acts != nil)
	go l.run(ctx)
}

func (s *Service) end(service string, l *lead, why string) {
	s.mu.Lock()
	if s.leads[service] == l {
		delete(s.leads, service)
	}
	s.mu.Unlock()
	l.cancel()
	<-l.done
	l.close()
	s.logger.Info("no longer leads a cell", "service", service, "why", why)
}

// shouldClaim tells whether a cell without a heard leader is this VM's to take.
func (s *Service) shouldClaim(service string, c *fleet.Cell) bool {
	now := s.clock.Now()
	leader, _, known := s.acting(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && now-s.heard[leader.ID+leader.Boot] < silence {
		delete(s.quietAt, service)
		return false
	}
	ended := c != nil && !known && processEnded(s.view, c)
	if s.cellSeen[service] != c { // a new leader gets its time to be heard
		s.cellSeen[service] = c
		s.quietAt[service] = now
	}
	since, ok := s.quietAt[service]
	if !ok {
		since = now
		s.quietAt[service] = now
	}
	wait := time.Duration(s.rank(service, c)) * rankPause
	if !ended {
		wait += silence / 2
	}
	if !s.hearsAnyone(now) && len(s.view.VMs()) > 1 && c != nil {
		wait += isolation
	}
	return now-since >= wait
}

// hearsAnyone tells whether any other VM has answered lately. It is called
// with mu held.
func (s *Service) hearsAnyone(now time.Duration) bool {
	for _, at := range s.heard {
		if now-at < 2*silence {
			return true
		}
	}
	return false
}

// rank returns this VM's place among those that could lead a service: large
// VMs come first, since a leader works for all others. The VM whose leadership
// ended comes last.
func (s *Service) rank(service string, c *fleet.Cell) int {
	vms := s.view.VMs()
	large := largest(vms)
	rank := 0
	for _, vm := range vms {
		if vm.ID != s.self.ID && (c == nil || vm.ID != c.Leader) && goesBefore(service, vm, s.self, large) {
			rank++
		}
	}
	return min(rank, maxRank)
}

// largeShare is the share of the largest VM's processor time from which on a
// VM counts as large.
const largeShare = 0.5

// largest returns the processor time from which on a VM counts as large.
func largest(vms []fleet.VM) float64 {
	large := 0.0
	for _, vm := range vms {
		large = max(large, vm.Cores*largeShare)
	}
	return large
}

// goesBefore tells whether a VM is rather to lead a service than another one.
func goesBefore(service string, a, b fleet.VM, large float64) bool {
	if aLarge, bLarge := a.Cores >= large, b.Cores >= large; aLarge != bLarge {
		return aLarge
	}
	mine, other := score(service, b.ID), score(service, a.ID)
	return other > mine || other == mine && a.ID > b.ID
}

// score orders the VMs for a service so that the cells are spread.
func score(service, vm string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + vm)) // a hash does not fail
	// The low bits of FNV differ little between similar names; mix them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// heardLately tells whether a leader's process has answered this VM lately.
func (s *Service) heardLately(id, boot string) bool {
	if id == s.self.ID {
		return boot == s.self.Boot
	}
	return s.heardWithin(id, boot, silence)
}

func (s *Service) heardWithin(id, boot string, span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.heard[id+boot]
	return ok && s.clock.Now()-at < span
}

// tickSolos advances the desks of this VM's own. Requests that wait at one ask
// the leader once the cell has one again.
func (s *Service) tickSolos() {
	for service, d := range s.solosNow() {
		if vm, _, ok := s.acting(service); ok && s.heardLately(vm.ID, vm.Boot) {
			d.recallWaiting()
		}
		d.tick()
	}
}

func (s *Service) solosNow() map[string]*desk {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.solos)
}

// Leads tells whether this VM leads any cell.
func (s *Service) Leads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leads) > 0
}

// Reads tells whether this VM reads the store for the others.
func (s *Service) Reads() bool {
	service := s.readerCell()
	return service != "" && s.leadOf(service) != nil
}

// reader returns the id of the VM that reads the store for the others, "" if
// no cell has a leader.
func (s *Service) reader() string {
	c, _ := s.view.Cell(s.readerCell())
	if c == nil {
		return ""
	}
	return c.Leader
}

// readerCell returns the first service, by name, whose cell has a leader: that
// VM reads the store.
func (s *Service) readerCell() string {
	cfg, _ := s.view.Config()
	if cfg == nil {
		return ""
	}
	first := ""
	for _, svc := range cfg.Services {
		if c, _ := s.view.Cell(svc.Name); c != nil && (first == "" || svc.Name < first) {
			first = svc.Name
		}
	}
	return first
}
