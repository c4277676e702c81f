// Package feed keeps a VM's view up to date from the store. The VM that leads
// the first cell reads often; the others learn from the leaders and read for
// themselves when what they know grows old.
package feed

import (
	"context"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Feed.
const Name = "feed.store"

const (
	// readerAge is how old the knowledge of the reading VM may grow, and
	// followerAge that of the others. Both, with the relay's pause, stay far
	// below the 2 s in which changes have to be in force.
	readerAge   = 300 * time.Millisecond
	followerAge = 800 * time.Millisecond
	// followerSpread keeps the others from reading at once when the reading VM
	// is lost: those that wait longer learn from those that have read.
	followerSpread = 500 * time.Millisecond
	// startAge holds before there is a configuration: all VMs wait for it.
	startAge = 1500 * time.Millisecond
	// systemAge is how old a leader's knowledge of the system's own log may
	// grow: it confirms the leader's authority, which lasts 2.5 s.
	systemAge = 700 * time.Millisecond
	// followerSystemAge lets other VMs confirm the authority of a leader that
	// the store turns away, in time before it ends.
	followerSystemAge = 1200 * time.Millisecond
	poll              = 50 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call. VMs that
	// lead nothing wait longer: they learn of the store's return from leaders.
	firstPause           = 150 * time.Millisecond
	longestPause         = 600 * time.Millisecond
	longestFollowerPause = 3 * time.Second
	// outageAfter is how long calls fail until the store counts as away.
	outageAfter = 800 * time.Millisecond
	// returnGrace is how long after an outage the entries of targets that
	// lapsed meanwhile may take to come back.
	returnGrace = 2200 * time.Millisecond
)

// Roles tells what this VM leads.
type Roles interface {
	// Reads tells whether this VM is the one that reads for the others.
	Reads() bool
	// Leads tells whether this VM leads any cell.
	Leads() bool
	// StoreFails is told while the store has not answered this VM for some time.
	StoreFails()
}

// Feed is the module.
type Feed struct {
	self   fleet.VM
	view   *view.View
	store  view.Store
	clock  *clock.Clock
	roles  Roles
	spread time.Duration
	logger hclog.Logger
	calls  metrics.Counter
	failed metrics.Counter
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	failingAt time.Duration // start of the current run of failures, 0 if none
	away      bool
}

// New returns a feed.
func New(self fleet.VM, v *view.View, store view.Store, c *clock.Clock, roles Roles, logger hclog.Logger, registry metrics.Registry) *Feed {
	return &Feed{
		self: self, view: v, store: store, clock: c, roles: roles, spread: spreadOf(self.ID), logger: logger,
		calls:  metrics.GetOrRegisterCounter("store.reads", registry),
		failed: metrics.GetOrRegisterCounter("store.reads_failed", registry),
	}
}

// Name implements kernel.Module.
func (f *Feed) Name() string { return Name }

// Start implements kernel.Starter.
func (f *Feed) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.wg.Add(1 + len(view.Logs))
	go f.register(ctx)
	for _, l := range view.Logs {
		go f.follow(ctx, l)
	}
	return nil
}

// Stop implements kernel.Stopper.
func (f *Feed) Stop(context.Context) error {
	f.stop()
	f.wg.Wait()
	return nil
}

// register makes this VM known to the others.
func (f *Feed) register(ctx context.Context) {
	defer f.wg.Done()
	pause := firstPause
	for ctx.Err() == nil {
		_, err := f.store.Append(ctx, view.Change{Log: view.System, Key: view.VMKey(f.self.ID), VM: &f.self}, view.Anywhere)
		if err == nil {
			f.logger.Info("registered", "vm", f.self.ID, "boot", f.self.Boot)
			return
		}
		f.logger.Info("not registered yet", "error", err)
		sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
}

// follow reads one log for as long as the feed runs.
func (f *Feed) follow(ctx context.Context, l view.Log) {
	defer f.wg.Done()
	pause := firstPause
	for ctx.Err() == nil {
		if f.view.Staleness(l) < f.maxAge(l) {
			sleep(ctx, poll)
			continue
		}
		err := f.read(ctx, l)
		if f.noteResult(err) {
			f.roles.StoreFails()
		}
		if err == nil || ctx.Err() != nil {
			pause = firstPause
			continue
		}
		sleep(ctx, pause)
		pause = min(2*pause, f.longestPause())
	}
}

func (f *Feed) longestPause() time.Duration {
	if f.view.Ready() && !f.roles.Leads() {
		return longestFollowerPause
	}
	return longestPause
}

// maxAge returns how old the knowledge of a log may grow.
func (f *Feed) maxAge(l view.Log) time.Duration {
	switch {
	case l == view.System && f.roles.Leads():
		return systemAge
	case l == view.System:
		return followerSystemAge
	case f.roles.Reads():
		return readerAge
	case !f.view.Ready():
		return startAge
	}
	return followerAge + f.spread
}

// spreadOf returns a part of followerSpread that differs between VMs.
func spreadOf(vm string) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, vm) // a hash does not fail
	return time.Duration(h.Sum32()%1000) * followerSpread / 1000
}

func (f *Feed) read(ctx context.Context, l view.Log) error {
	f.calls.Inc(1)
	began := f.clock.Now()
	if from := f.view.End(l); f.view.Staleness(l) < forever {
		changes, end, err := f.store.Read(ctx, l, from, 0)
		if err == nil {
			f.view.Apply(l, changes, end, began)
			return nil
		}
		if !errors.Is(err, view.ErrHistoryGone) {
			return err
		}
		f.logger.Info("the store has dropped records that were not read", "log", l, "from", from)
	}
	changes, end, err := f.store.Newest(ctx, l)
	if err != nil {
		return err
	}
	f.view.Replace(l, changes, end, began)
	return nil
}

// forever is the staleness from which on a log was never read.
const forever = 1 << 61

// noteResult logs when the store is lost and when it is regained, and tells
// whether it is lost.
func (f *Feed) noteResult(err error) (away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if err == nil {
		if f.away {
			f.logger.Warn("the store is regained", "after", now-f.failingAt)
			f.view.OutageEnded(returnGrace)
		}
		f.failingAt, f.away = 0, false
		return false
	}
	f.failed.Inc(1)
	if f.failingAt == 0 {
		f.failingAt = now
	}
	if !f.away && now-f.failingAt > outageAfter {
		f.away = true
		f.logger.Warn("the store is lost", "failing_for", now-f.failingAt, "error", err)
	}
	return f.away
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
