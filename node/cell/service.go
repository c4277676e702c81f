// Package cell elects the leaders of cells and runs the cells that this VM leads. A
// cell is a service with its targets. It has one leader among the VMs, elected by
// conditional appends to a log in the store. The leader lends the slots of the
// targets to all VMs and, if the service has keys, grants key ranges to targets. A
// slot is the right to have one request in flight at a target.
//
// A VM that reaches no leader lends slots locally, within a small share. A leader that
// the store does not confirm continues while enough VMs support it (see package
// support). One that shuts down while the store accepts no records appoints a deputy.
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
	"github.com/mangogate/mangogate/core/locality"
	"github.com/mangogate/mangogate/core/support"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Service.
const Name = "cell.service"

const (
	// syncInterval is the interval between two rounds of exchanges. An exchange is one
	// Sync call: a heartbeat that may also fetch the other VM's view.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one exchange, and one round of RPCs to all VMs.
	syncTimeout = 400 * time.Millisecond
	// leaderTimeout is how long a leader may go without answering before other VMs
	// consider it lost and replace it. Key grants last longer, so that keys stay held
	// during the replacement.
	leaderTimeout = 800 * time.Millisecond
	// rankDelay is added to the wait before a claim for each VM that ranks before this
	// one, so that the VMs do not all claim a cell at once.
	rankDelay = 250 * time.Millisecond
	maxRank   = 6 // ranks above this one add no more delay
	// isolationDelay is added to the wait before a claim while no other VM answers this
	// one, because this VM may itself be cut off from the network.
	isolationDelay = 2 * time.Second
	// reconcileInterval is the interval at which the state of all cells is checked.
	reconcileInterval = 100 * time.Millisecond
)

// Service takes part in the election of the leaders of all cells, runs the cells that
// this VM leads, and gets slots for the requests of this VM.
type Service struct {
	self       fleet.VM
	view       *view.View
	store      view.Store
	keyCaller  KeyCaller
	clock      *clock.Clock
	started    time.Duration // reading of clock when the process started
	peers      *peer.Client
	retry      RetryLimits
	spillover  *locality.Config // nil unless spillover between data centres is enabled
	registry   metrics.Registry
	logger     hclog.Logger
	guard      *panics.Guard
	lastID     atomic.Uint64
	claims     metrics.Counter
	localLends metrics.Counter
	leaving    metrics.Counter // targets that have announced that they leave
	// lendFallbacks counts the Lend calls that were given up because the leader was silent.
	lendFallbacks metrics.Counter
	// expiredInPauses counts the requests of other VMs that were dropped because they
	// expired while this process did not run.
	expiredInPauses metrics.Counter
	cancelAll       context.CancelFunc
	ctx             context.Context
	wg              sync.WaitGroup
	reconcileMu     sync.Mutex // held during reconcile
	// retiring is set once this VM may not become the leader of a cell any more.
	retiring atomic.Bool

	mu                sync.Mutex
	leaderships       map[string]*leadership
	localLenders      map[string]*lenderDriver
	claiming          map[string]bool          // services whose cells this VM is claiming or taking over
	lastHeard         map[string]time.Duration // by VM id and boot: time of the process's last answer, or a time set by shouldAsk or markSilent
	anyAnswered       bool                     // another VM has answered, the last one at anyAnsweredAt
	anyAnsweredAt     time.Duration
	silentSince       map[string]time.Duration   // by service: since when shouldClaim has seen the same record and no answering leader
	lastSeenCell      map[string]*fleet.Cell     // by service: the record that shouldClaim saw last
	learnedFromLeader map[string]lending.Learned // by service: what its previous leader has learned about the targets
	// followers holds, by service, which leader this VM supports or has released.
	followers map[string]*support.Follower
	deputies  map[string]deputy // by service
	// lendWaits holds the processes, by VM id and boot, for which Lend calls wait.
	lendWaits  map[string]*lendWait
	releasedAt time.Duration          // last call of releaseWaiting
	clocks     map[string]clockSample // by VM id and boot

	load *loadMonitor

	pausesMu sync.Mutex
	pauses   lending.Pauses // of this process
	// resigned holds the services for which this VM may have a deputy. It begins to lead
	// none of them by a record that it wrote before, which the store may carry out late.
	resigned map[string]bool
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self      fleet.VM
	View      *view.View
	Store     view.Store
	KeyCaller KeyCaller
	Clock     *clock.Clock
	Peers     *peer.Client
	Server    *peer.Server
	Retry     RetryLimits
	// Spillover lets the leaders decide which requests leave their data centre; nil leaves
	// that to a constant penalty.
	Spillover *locality.Config
	Logger    hclog.Logger
	Registry  metrics.Registry
}

// New returns a Service whose RPCs are registered with c.Server.
func New(c Config) (*Service, error) {
	s := &Service{
		self: c.Self, view: c.View, store: c.Store, keyCaller: c.KeyCaller, clock: c.Clock, started: c.Clock.Now(), peers: c.Peers, retry: c.Retry, logger: c.Logger,
		spillover: c.Spillover, registry: c.Registry,
		guard:           panics.New(c.Logger, c.Registry),
		claims:          metrics.GetOrRegisterCounter("cell.claims", c.Registry),
		localLends:      metrics.GetOrRegisterCounter("cell.lent_alone", c.Registry),
		leaving:         metrics.GetOrRegisterCounter("cell.targets_leaving", c.Registry),
		lendFallbacks:   metrics.GetOrRegisterCounter("cell.lend_fallbacks", c.Registry),
		lendWaits:       map[string]*lendWait{},
		load:            newLoadMonitor(c.Registry),
		clocks:          map[string]clockSample{},
		expiredInPauses: metrics.GetOrRegisterCounter("cell.expired_in_pauses", c.Registry),
		leaderships:     map[string]*leadership{}, localLenders: map[string]*lenderDriver{}, claiming: map[string]bool{},
		lastHeard: map[string]time.Duration{}, silentSince: map[string]time.Duration{}, lastSeenCell: map[string]*fleet.Cell{},
		learnedFromLeader: map[string]lending.Learned{}, followers: map[string]*support.Follower{}, deputies: map[string]deputy{}, resigned: map[string]bool{},
	}
	s.ctx, s.cancelAll = context.WithCancel(context.Background())
	return s, c.Server.Register(RPCName, &handler{s})
}

// Name implements kernel.Module.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.wg.Add(2)
	go s.reconcileLoop()
	go s.syncLoop()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancelAll()
	s.mu.Lock()
	leaderships := make([]*leadership, 0, len(s.leaderships))
	for _, l := range s.leaderships {
		leaderships = append(leaderships, l)
	}
	s.mu.Unlock()
	for _, l := range leaderships {
		l.cancel()
		<-l.done
		l.close()
	}
	s.wg.Wait()
	return nil
}

// reconcileLoop runs reconcile and advances the local lenders until the Service stops.
func (s *Service) reconcileLoop() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		s.unread(0)
		s.load.noteRun(s.clock.Now())
		s.reconcile()
		s.releaseWaiting()
		s.tickLocalLenders()
		s.checkLoad()
		s.load.dueAt = s.clock.Now() + reconcileInterval
		time.Sleep(reconcileInterval)
	}
}

// reconcile brings this VM's leaderships in line with the view, for all cells.
func (s *Service) reconcile() {
	defer s.guard.Recover("reconcile the cells with their records")
	s.reconcileMu.Lock()
	defer s.reconcileMu.Unlock()
	if cfg, _ := s.view.Config(); cfg != nil && s.view.Ready() && s.ctx.Err() == nil {
		for _, svc := range cfg.Services {
			s.reconcileCell(svc)
		}
	}
}

// reconcileCell starts or stops this VM's leadership of a cell to match the newest
// record, or claims the cell if its leader is lost.
func (s *Service) reconcileCell(svc fleet.Service) {
	c, number := s.view.Cell(svc.Name)
	mine := c != nil && c.Leader == s.self.ID && c.Boot == s.self.Boot
	s.mu.Lock()
	l, leading := s.leaderships[svc.Name]
	busy, resigned := s.claiming[svc.Name], s.resigned[svc.Name]
	s.mu.Unlock()
	restored := s.view.IsCellRestored(svc.Name)
	switch {
	case leading && !l.isCurrent():
		s.stopLeading(svc.Name, l, "another VM leads the cell")
	case leading && l.handoverStarted.Load() && s.hasDeputy(svc.Name, c):
		s.stopLeading(svc.Name, l, "another VM is deputy of this one")
	case leading && restored && l.keys != nil && !l.holdsLease():
		s.stopLeading(svc.Name, l, "the store was restored after the lease had ended")
	case leading || busy:
	case mine && !restored && !resigned && !s.hasDeputy(svc.Name, c):
		s.startLeading(svc.Name, s.inherit(svc, maxHoldAfterLease(fleet.LongestHold)), number)
	case !s.retiring.Load() && s.shouldClaim(svc.Name, c):
		s.mu.Lock()
		s.claiming[svc.Name] = true
		s.mu.Unlock()
		go s.tryClaim(svc, c)
	}
}

// tryClaim claims a cell that has no leader or whose leader seems lost, unless the
// leader or its deputy still answers another VM.
func (s *Service) tryClaim(svc fleet.Service, seen *fleet.Cell) {
	defer s.guard.Recover("claim a cell", "service", svc.Name)
	defer func() {
		s.mu.Lock()
		delete(s.claiming, svc.Name)
		delete(s.silentSince, svc.Name)
		s.mu.Unlock()
	}()
	p := succession{grantBound: fixedBound(0)}
	var r *releaseVotes
	if restored := s.view.IsCellRestored(svc.Name); restored || seen != nil {
		var ok bool
		if r, ok = s.releaseLeader(s.ctx, svc.Name, seen, restored); !ok {
			return
		}
		p = s.successionBy(r)
		p.afterRestore = restored
	}
	if err := s.claim(s.ctx, svc, seen, p); err != nil {
		s.logger.Info("could not claim the cell", "service", svc.Name, "error", err)
		return
	}
	s.claims.Inc(1)
	go s.announceLeader(svc.Name)
	if r != nil {
		s.watchPreviousLeader(r)
	}
}

// fixedBound returns a function that always returns d, as the grantBound of a succession.
func fixedBound(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// hasDeputy reports whether another VM is deputy of the leader named in a record.
func (s *Service) hasDeputy(service string, c *fleet.Cell) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, has := s.deputies[service]
	return has && c != nil && d.change == c.Change && d.vm.ID != s.self.ID
}

// startLeading starts to lead a cell as its leader, from the record with the given
// number.
func (s *Service) startLeading(service string, m *keyspace.Manager, number int64) {
	s.startLeadingAs(service, m, number, nil, "")
}

// startLeadingAs starts to lead a cell: as deputy of the leader named in deputyFor, which
// the deputy follows has stopped in favour of if it is not "", or as the leader if deputyFor
// is nil. It ends an earlier leadership of the cell by this VM, for example as deputy.
func (s *Service) startLeadingAs(service string, m *keyspace.Manager, number int64, deputyFor *fleet.Cell, follows string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	l := s.newLeadership(service, m)
	l.deputyFor, l.follows, l.support.IsDeputy = deputyFor, follows, deputyFor != nil
	if previous := s.leaderships[service]; previous != nil {
		previous.cancel()
		previous.close()
	}
	if learned, ok := s.learnedFromLeader[service]; ok {
		l.adopt(learned)
		delete(s.learnedFromLeader, service)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	s.leaderships[service] = l
	s.logger.Info("leads a cell", "service", service, "number", number, "acts", deputyFor != nil)
	go l.run(ctx)
}

// stopLeading ends a leadership; requests that wait for its decision then ask the new
// leader.
func (s *Service) stopLeading(service string, l *leadership, why string) {
	s.mu.Lock()
	if s.leaderships[service] == l {
		delete(s.leaderships, service)
	}
	s.mu.Unlock()
	l.cancel()
	<-l.done
	l.close()
	s.logger.Info("stopped leading a cell", "service", service, "why", why)
}

// shouldClaim reports whether this VM is to claim a cell: no leader answers, and a
// delay has passed since this was noticed or the record last changed. The delay is
// rankDelay for each rank, plus leaderTimeout/2 unless the leader's process is known
// to have ended, plus isolationDelay if the cell has had a leader and other VMs are
// registered of which none answers.
func (s *Service) shouldClaim(service string, c *fleet.Cell) bool {
	now := s.clock.Now()
	leader, _, known := s.currentLeader(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && now-s.lastHeard[leader.ID+leader.Boot] < leaderTimeout {
		delete(s.silentSince, service)
		return false
	}
	ended := c != nil && !known && processEnded(s.view, c)
	if s.lastSeenCell[service] != c { // the delay starts again, so that a new leader has time to answer
		s.lastSeenCell[service] = c
		s.silentSince[service] = now
	}
	since, ok := s.silentSince[service]
	if !ok {
		since = now
		s.silentSince[service] = now
	}
	wait := time.Duration(s.rank(service, c)) * rankDelay
	if !ended {
		wait += leaderTimeout / 2
	}
	if !s.hasHeardAnyVM(now) && len(s.view.VMs()) > 1 && c != nil {
		wait += isolationDelay
	}
	return now-since >= wait
}

// hasHeardAnyVM reports whether any other VM has answered within twice leaderTimeout.
// It is called with mu held.
func (s *Service) hasHeardAnyVM(now time.Duration) bool {
	return s.anyAnswered && now-s.anyAnsweredAt < 2*leaderTimeout
}

// rank returns how many VMs come before this one in the order in which VMs claim the
// cell of a service, at most maxRank. Large VMs come first, since a leader does work
// for all VMs. The VM of the leader that the record names is not counted.
func (s *Service) rank(service string, c *fleet.Cell) int {
	vms := s.view.VMs()
	large := newLargeThreshold(vms)
	rank := 0
	for _, vm := range vms {
		if vm.ID != s.self.ID && (c == nil || vm.ID != c.Leader) && ranksBefore(service, vm, s.self, large) {
			rank++
		}
	}
	return min(rank, maxRank)
}

const (
	// largeCoresShare is the fraction of the largest VM's processor cores from which on a VM
	// counts as large. At 0.5, a VM of 0.4 cores led cells beside VMs of 0.8 cores and could
	// not keep up with 1,700 requests/s.
	largeCoresShare = 0.75
	// largeLinkShare is the same for the link, relative to the fastest known link of the VMs
	// that have enough cores.
	largeLinkShare = 0.5
)

// largeThreshold holds the processor cores and the bandwidth from which on a VM counts as
// large.
type largeThreshold struct{ cores, linkMbps float64 }

// newLargeThreshold returns the threshold for a fleet. At least one VM of the fleet
// reaches it.
func newLargeThreshold(vms []fleet.VM) largeThreshold {
	var t largeThreshold
	for _, vm := range vms {
		t.cores = max(t.cores, vm.Cores*largeCoresShare)
	}
	for _, vm := range vms {
		if vm.Cores >= t.cores {
			t.linkMbps = max(t.linkMbps, vm.LinkMbps*largeLinkShare)
		}
	}
	return t
}

// isLarge reports whether a VM counts as large. A VM without a figure for its link counts
// as one with the fastest link.
func (t largeThreshold) isLarge(vm fleet.VM) bool {
	return vm.Cores >= t.cores && (vm.LinkMbps == 0 || vm.LinkMbps >= t.linkMbps)
}

// ranksBefore reports whether VM a ranks before VM b for the leadership of a service.
func ranksBefore(service string, a, b fleet.VM, large largeThreshold) bool {
	if aLarge, bLarge := large.isLarge(a), large.isLarge(b); aLarge != bLarge {
		return aLarge
	}
	hashB, hashA := rankHash(service, b.ID), rankHash(service, a.ID)
	return hashA > hashB || hashA == hashB && a.ID > b.ID
}

// rankHash returns a hash by which the VMs are ordered for a service. It depends on
// the service, so that the leaders of the cells are spread over the VMs.
func rankHash(service, vm string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "/" + vm)) // writing to a hash never fails
	// FNV hashes of similar names differ in few bits, so mix the bits.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// heardRecently reports whether a process has answered this VM within leaderTimeout,
// or is this VM's own.
func (s *Service) heardRecently(id, boot string) bool {
	if id == s.self.ID {
		return boot == s.self.Boot
	}
	return s.heardWithin(id, boot, leaderTimeout)
}

// heardWithin reports whether another VM's process has answered this VM within span.
func (s *Service) heardWithin(id, boot string, span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastHeard[id+boot]
	return ok && s.clock.Now()-at < span
}

// tickLocalLenders advances the Lenders with which this VM lends locally. Requests that
// wait there are redirected to the cell's leader once it answers.
func (s *Service) tickLocalLenders() {
	defer s.guard.Recover("advance the local lenders")
	for service, d := range s.cloneLocalLenders() {
		if vm, _, ok := s.currentLeader(service); ok && s.heardRecently(vm.ID, vm.Boot) {
			d.redirectWaiting()
		}
		d.tickIfUsed()
	}
}

func (s *Service) cloneLocalLenders() map[string]*lenderDriver {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.localLenders)
}

// LeadsAnyCell reports whether this VM leads any cell.
func (s *Service) LeadsAnyCell() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leaderships) > 0
}

// IsReader reports whether this VM reads the store for all other VMs: it leads the
// cell that readerCell names, as leader or deputy.
func (s *Service) IsReader() bool {
	service := s.readerCell()
	return service != "" && s.leadershipOf(service) != nil
}

// Reader returns the VM that reads the store for all other VMs, as leader or deputy.
func (s *Service) Reader() (fleet.VM, bool) {
	vm, _, ok := s.currentLeader(s.readerCell())
	return vm, ok
}

// reader returns the id of the VM that reads the store for all other VMs, or "" if no
// cell has a record. It does not consider deputies.
func (s *Service) reader() string {
	c, _ := s.view.Cell(s.readerCell())
	if c == nil {
		return ""
	}
	return c.Leader
}

// readerCell returns the first service by name whose cell has a record, or "". The
// leader of that cell reads the store for all other VMs.
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
