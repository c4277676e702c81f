// Package allowance enforces the limits of workspaces over all VMs. The VM that reads the
// store for the others grants tokens, which the VMs request with the RPC Exchange; see
// package core/allowance. Nothing is sent while no workspace has a limit.
package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Service, and RPCName the name under which it serves its RPCs.
const (
	Name    = "allowance.service"
	RPCName = "Allowance"
)

const (
	// exchangeTimeout bounds one exchange, and how long a request waits for tokens.
	exchangeTimeout = 300 * time.Millisecond
	// noReplyRetryAfter is the Retry-After of requests that got no decision: by then the VM
	// has reached a granter or uses its own share.
	noReplyRetryAfter = time.Second
	// refreshInterval is the time between two looks at the number of VMs.
	refreshInterval = 200 * time.Millisecond
	// limitsPollInterval is the time between two checks whether a workspace has a limit.
	limitsPollInterval = time.Second
	ownShareLogDelay   = 500 * time.Millisecond
	// longestOwnShare is the age of the view up to which a VM uses its own share. Other VMs
	// count a VM that has left for as long.
	longestOwnShare = 10 * time.Second
)

// Readers tells which VM reads the store for the others, and so grants the allowances.
type Readers interface {
	Reader() (fleet.VM, bool)
	IsReader() bool // whether this VM does
}

// Config holds the dependencies of a Service.
type Config struct {
	Self     fleet.VM
	View     *view.View
	Readers  Readers
	Clock    *clock.Clock
	Peers    *peer.Client
	Server   *peer.Server
	Bounds   allowance.Bounds
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Service takes the requests of this VM from the allowances of their workspaces, and grants
// tokens to all VMs while this VM is the reader. It implements gateway.Allowances.
type Service struct {
	Config
	guard  *panics.Guard
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	kick   chan struct{} // holds an item while requests wait for an exchange

	reports, failures, waited, undecided metrics.Counter
	supportShare                         metrics.GaugeFloat64

	mu          sync.Mutex
	spender     *allowance.Spender
	granter     *allowance.Granter // nil unless this VM was the reader at the last report
	granters    int                // granters of this process so far
	config      *fleet.Config      // to which limits belongs
	limits      map[string]allowance.Limit
	vms         int
	refreshedAt time.Duration
	jumps       uint64
	replied     chan struct{} // closed when the present or next exchange has ended
	onItsOwn    bool          // as logged last
}

// New returns a Service whose RPCs are registered with c.Server.
func New(c Config) (*Service, error) {
	s := &Service{
		Config: c, guard: panics.New(c.Logger, c.Registry), kick: make(chan struct{}, 1), replied: make(chan struct{}),
		reports:      metrics.GetOrRegisterCounter("allowances.reports", c.Registry),
		failures:     metrics.GetOrRegisterCounter("allowances.reports_failed", c.Registry),
		waited:       metrics.GetOrRegisterCounter("allowances.waited", c.Registry),
		undecided:    metrics.GetOrRegisterCounter("allowances.undecided", c.Registry),
		supportShare: metrics.GetOrRegisterGaugeFloat64("allowances.support_share", c.Registry),
		spender:      allowance.NewSpender(c.Clock.Now(), c.Self.ID, c.Self.Boot, c.Bounds), jumps: c.Clock.Jumps(),
		refreshedAt: c.Clock.Now() - refreshInterval,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, c.Server.Register(RPCName, &handler{s})
}

// Name implements kernel.Module.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.wg.Go(s.exchangeLoop)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Take implements gateway.Allowances. A request that finds no token waits for an exchange.
func (s *Service) Take(ctx context.Context, workspace string) (allowance.Ticket, time.Duration) {
	t, outcome, retryAfter, replied := s.take(workspace, false)
	if outcome != allowance.Ask {
		return t, retryAfter
	}
	s.waited.Inc(1)
	timeout := time.NewTimer(exchangeTimeout)
	defer timeout.Stop()
	for outcome == allowance.Ask {
		select {
		case s.kick <- struct{}{}:
		default:
		}
		select {
		case <-replied:
			t, outcome, retryAfter, replied = s.take(workspace, true)
		case <-ctx.Done():
			return 0, 0
		case <-timeout.C:
			s.undecided.Inc(1)
			return 0, noReplyRetryAfter
		}
	}
	return t, retryAfter
}

func (s *Service) take(workspace string, again bool) (allowance.Ticket, allowance.Outcome, time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.refresh(now)
	t, outcome, retryAfter := s.spender.Take(now, workspace, again)
	return t, outcome, retryAfter, s.replied
}

// Refund implements gateway.Allowances.
func (s *Service) Refund(workspace string, t allowance.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.refresh(now)
	s.spender.Refund(now, workspace, t)
}

// refresh brings limits and the number of VMs up to date. After a pause of the VM that the
// clock did not count, all tokens and all support are void. It is called with mu held.
func (s *Service) refresh(now time.Duration) {
	if j := s.Clock.Jumps(); j != s.jumps {
		s.jumps, s.granter = j, nil
		s.spender.Reset(now)
	}
	cfg, _ := s.View.Config()
	if cfg == s.config && now-s.refreshedAt < refreshInterval {
		return
	}
	if cfg != s.config {
		s.config, s.limits = cfg, map[string]allowance.Limit{}
		for _, w := range cfg.Workspaces {
			if w.Limited() {
				s.limits[w.Name] = allowance.Limit{Rate: w.Rate, Burst: w.Burst}
			}
		}
	}
	s.refreshedAt, s.vms = now, len(s.View.VMs())
	s.spender.Configure(now, s.limits, s.vms)
	s.spender.AllowOwnShare(s.View.Staleness(view.System) <= longestOwnShare)
	if s.granter != nil {
		s.granter.Configure(now, s.limits, s.vms)
	}
	s.logOwnShare(now)
}

// logOwnShare logs when the VM begins and stops using its own share. A change of the granter
// as planned is too short to be logged.
func (s *Service) logOwnShare(now time.Duration) {
	own := s.spender.IsOnItsOwn(now-ownShareLogDelay) && len(s.limits) > 0
	if own == s.onItsOwn {
		return
	}
	s.onItsOwn = own
	if own {
		s.Logger.Info("no granter of allowances answers; using this VM's own share", "granter", s.spender.Granter(), "vms", s.vms)
	} else {
		s.Logger.Info("a granter of allowances answers again", "granter", s.spender.Granter())
	}
}

// exchangeLoop makes an exchange when requests wait for one, and regularly while a workspace
// has a limit.
func (s *Service) exchangeLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.kick:
			s.pauseBetweenReports()
		}
		timer.Reset(s.step())
	}
}

// pauseBetweenReports waits until the next report may be made.
func (s *Service) pauseBetweenReports() {
	s.mu.Lock()
	pause := s.spender.MayReportIn(s.Clock.Now())
	s.mu.Unlock()
	if pause > 0 {
		select {
		case <-time.After(pause):
		case <-s.ctx.Done():
		}
	}
}

// step makes the exchanges that are due and returns the time until the next one.
func (s *Service) step() (wait time.Duration) {
	wait = limitsPollInterval
	defer s.guard.Recover("exchange allowances")
	// The first exchange with a new granter, and one that leaves the earlier one, are
	// followed by another at once.
	for range 3 {
		if !s.hasLimits() || !s.exchange() {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.limits) > 0 {
		now := s.Clock.Now()
		wait = max(s.spender.ReportIn(now), s.spender.MayReportIn(now), time.Millisecond)
	}
	return wait
}

func (s *Service) hasLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(s.Clock.Now())
	return len(s.limits) > 0
}

// exchange sends one report and takes in the reply. It returns whether another one is due
// at once.
func (s *Service) exchange() (again bool) {
	reader, known := s.Readers.Reader()
	if !known {
		reader.ID = ""
	}
	s.mu.Lock()
	now := s.Clock.Now()
	s.refresh(now)
	to, report := s.spender.Report(now, reader.ID)
	s.mu.Unlock()
	reply, err := s.call(to, report)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(s.Clock.Now())
	if err != nil {
		s.failures.Inc(1)
		s.spender.ReportEnded()
	} else {
		again = s.spender.HandleReply(s.Clock.Now(), reply)
	}
	s.logOwnShare(s.Clock.Now())
	close(s.replied)
	s.replied = make(chan struct{})
	return again || report.Leaves
}

func (s *Service) call(to string, r allowance.Report) (reply allowance.Reply, err error) {
	if to == s.Self.ID {
		return s.handle(r), nil
	}
	vm, ok := s.View.VM(to)
	if !ok {
		return reply, errors.Errorf("no VM %q is registered", to)
	}
	ctx, cancel := context.WithTimeout(s.ctx, exchangeTimeout)
	defer cancel()
	s.reports.Inc(1)
	err = s.Peers.Call(ctx, vm.PeerAddress, RPCName+".Exchange", r, &reply)
	return reply, err
}

// handle answers a report as granter, if this VM is the reader.
func (s *Service) handle(r allowance.Report) allowance.Reply {
	isReader := s.Readers.IsReader()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.refresh(now)
	switch {
	case !isReader && s.granter != nil:
		s.Logger.Info("stopped granting allowances", "granter", s.granter.ID())
		s.granter = nil
		s.supportShare.Update(0)
	case isReader && s.granter == nil:
		s.granters++
		s.granter = allowance.NewGranter(s.Self.ID, s.Self.Boot, s.granters, s.Bounds)
		s.granter.Configure(now, s.limits, s.vms)
		s.Logger.Info("grants allowances", "granter", s.granter.ID(), "workspaces", len(s.limits), "vms", s.vms)
	}
	if s.granter == nil {
		return allowance.ReplyWithoutGranter(s.Self.ID, s.Self.Boot, r)
	}
	reply := s.granter.Handle(now, r)
	s.supportShare.Update(s.granter.Share(now))
	return reply
}

// handler serves the RPCs that other VMs call, by the names of its exported methods.
type handler struct{ s *Service }

// Exchange answers a report of another VM.
func (h *handler) Exchange(r allowance.Report, reply *allowance.Reply) (err error) {
	defer h.s.guard.RecoverError(&err, "answer the RPC Exchange")
	*reply = h.s.handle(r)
	return nil
}
