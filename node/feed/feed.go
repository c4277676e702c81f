// Package feed keeps a VM's view up to date with the logs of the store. The VM that
// leads the first cell, the reader, reads the store often. The other VMs, the
// followers, receive changes from leaders and read a log themselves only when their
// view of it becomes stale.
//
// A VM that starts reads the system log, which names the other VMs, and gets the other
// logs from these. While there is no reader, for example because all VMs start, a few
// VMs poll the store, and the others get from them what they have read.
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
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Feed.
const Name = "feed.store"

const (
	// readerMaxStaleness is the staleness at which the reader reads a log other than
	// the system log, and followerMaxStaleness that at which a follower does. Each,
	// together with the interval at which VMs relay changes, stays far below the 2 s
	// in which a change has to take effect.
	readerMaxStaleness   = 300 * time.Millisecond
	followerMaxStaleness = 800 * time.Millisecond
	// operatorsWait is how long the store holds a read of the operators' log open for the
	// reader while there is no change, which is rare. Targets register all the time, so
	// holding the reads of their log would save nothing.
	operatorsWait = 250 * time.Millisecond
	// followerJitter keeps followers from all reading at once when the reader
	// fails: those that wait longer receive the changes from those that have read.
	followerJitter = 500 * time.Millisecond
	// While a VM's view is not ready, it polls the logs at pollerMaxStaleness if at most
	// startPollers VMs rank before it, and otherwise at startMaxStaleness, in which the
	// other VMs pass on what the pollers have read.
	startPollers       = 4
	pollerMaxStaleness = 700 * time.Millisecond
	startMaxStaleness  = 4 * time.Second
	// startDelayPerVM is how long a VM that starts leaves to each VM that ranks before
	// it to read the store for it, and maxStartDelay limits the sum. The VM has a ready
	// view after about two exchanges with another VM.
	startDelayPerVM = 20 * time.Millisecond
	maxStartDelay   = 2 * time.Second
	// leaderSystemMaxStaleness is the staleness at which the reader reads the system
	// log. Such a read renews the lease of a leader, which lasts 2.5 s, and that of
	// other leaders, to which it is passed on. These read it at
	// otherLeaderMaxStaleness, before they need the support of other VMs.
	leaderSystemMaxStaleness = 700 * time.Millisecond
	otherLeaderMaxStaleness  = 1100 * time.Millisecond
	// nonLeaderSystemMaxStaleness is the same for VMs that lead no cell. They can
	// confirm the lease of a leader whose own calls the store refuses, and read
	// often enough to do so before the lease expires.
	nonLeaderSystemMaxStaleness = 1200 * time.Millisecond
	pollInterval                = 50 * time.Millisecond // between checks of the staleness
	// firstReadPollInterval is the interval of the checks whether the system log has been
	// read for the first time. The VM registers then.
	firstReadPollInterval = 5 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call. Once its view
	// is ready, a VM that leads no cell waits up to maxNonLeaderBackoff, because
	// leaders pass changes on to it when the store is available again.
	minBackoff          = 150 * time.Millisecond
	maxBackoff          = 600 * time.Millisecond
	maxNonLeaderBackoff = 3 * time.Second
	// outageThreshold is how long reads must fail before the store counts as
	// unavailable.
	outageThreshold = 800 * time.Millisecond
	// outageGrace is how long after an outage of the store a target stays in use
	// although its entry expired; in this time the entry can be renewed.
	outageGrace = 2200 * time.Millisecond
)

// Roles tells Feed which roles this VM has, and is told when the store fails.
type Roles interface {
	// IsReader reports whether this VM is the reader.
	IsReader() bool
	// LeadsAnyCell reports whether this VM leads any cell.
	LeadsAnyCell() bool
	// StoreUnavailable is called after each failed read once reads have failed for
	// longer than outageThreshold.
	StoreUnavailable()
}

// Feed is the module that reads the logs of the store into the view.
type Feed struct {
	self        fleet.VM
	view        *view.View
	store       view.Store
	clock       *clock.Clock
	roles       Roles
	jitter      time.Duration
	started     time.Duration // reading of clock
	logger      hclog.Logger
	guard       *panics.Guard
	reads       metrics.Counter
	failedReads metrics.Counter
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu           sync.Mutex
	failingSince time.Duration // end of the first of the consecutive failed reads; 0 if the last read succeeded
	unavailable  bool          // reads have failed for longer than outageThreshold
}

// New returns a feed for the VM self. Start starts it.
func New(self fleet.VM, v *view.View, store view.Store, c *clock.Clock, roles Roles, logger hclog.Logger, registry metrics.Registry) *Feed {
	return &Feed{
		self: self, view: v, store: store, clock: c, roles: roles, jitter: jitterOf(self.ID), logger: logger,
		started:     c.Now(),
		guard:       panics.New(logger, registry),
		reads:       metrics.GetOrRegisterCounter("store.reads", registry),
		failedReads: metrics.GetOrRegisterCounter("store.reads_failed", registry),
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

// register appends this VM's entry to the system log, once this VM has read that log and
// again whenever the log no longer holds the entry: a restored store may lack it, and a
// late append of an earlier process may replace it. It retries until that succeeds.
func (f *Feed) register(ctx context.Context) {
	defer f.wg.Done()
	const notYet = -1
	registeredAt := int64(notYet) // position of the last entry
	backoff := minBackoff
	for ctx.Err() == nil {
		end := f.view.End(view.System)
		if f.view.Staleness(view.System) >= neverRead || registeredAt != notYet && (end <= registeredAt || f.view.IsRegistered(f.self)) {
			sleep(ctx, f.registrationCheckInterval(registeredAt != notYet))
			continue
		}
		vm, era := f.self, view.Era(end)
		known, _ := f.view.VM(vm.ID)
		vm.Era, vm.Registration = era, known.Registration+1
		position, err := f.store.Append(ctx, view.Change{Log: view.System, Key: view.VMKey(f.self.ID), VM: &vm}, view.AnyOffset)
		if err == nil {
			f.logger.Info("registered this VM in the system log", "vm", f.self.ID, "boot", f.self.Boot, "era", era, "registration", vm.Registration, "position", position)
			registeredAt, backoff = position, minBackoff
			for ctx.Err() == nil && view.Era(position) > view.Era(f.view.End(view.System)) {
				registeredAt = notYet // the entry names an earlier era than the store's
				sleep(ctx, pollInterval)
			}
			continue
		}
		f.logger.Info("registration failed; retrying", "error", err, "era", era)
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// registrationCheckInterval returns the interval at which register checks whether the VM
// is to be registered.
func (f *Feed) registrationCheckInterval(registered bool) time.Duration {
	if registered {
		return pollInterval * 4
	}
	return firstReadPollInterval
}

// follow reads a log whenever the view of it is too stale, until ctx ends.
func (f *Feed) follow(ctx context.Context, l view.Log) {
	defer f.wg.Done()
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.view.Staleness(l) < f.maxStaleness(l) && !f.mustFollowRestore(l) {
			sleep(ctx, pollInterval)
			continue
		}
		knownAt := f.clock.Now() - f.view.Staleness(l)
		err := f.read(ctx, l)
		if f.recordResult(err) {
			f.roles.StoreUnavailable()
		}
		if err == nil && f.clock.Now()-f.view.Staleness(l) <= knownAt {
			err = errUselessAnswer
		}
		if err == nil || ctx.Err() != nil {
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, f.backoffLimit())
	}
}

// errUselessAnswer means that an answer of the store did not bring the view up to date.
var errUselessAnswer = errors.New("the answer of the store does not bring the view up to date")

// mustFollowRestore reports whether this VM is to read a log at once because another log
// shows that the store was restored.
func (f *Feed) mustFollowRestore(l view.Log) bool {
	return f.view.IsBehind(l) && (f.roles.IsReader() || f.roles.LeadsAnyCell())
}

// backoffLimit returns the longest delay after a failed call.
func (f *Feed) backoffLimit() time.Duration {
	if f.view.Ready() && !f.roles.LeadsAnyCell() {
		return maxNonLeaderBackoff
	}
	return maxBackoff
}

// maxStaleness returns the staleness at which this VM reads a log.
func (f *Feed) maxStaleness(l view.Log) time.Duration {
	switch {
	case l == view.System && f.roles.IsReader():
		return leaderSystemMaxStaleness
	case l == view.System && f.roles.LeadsAnyCell():
		return otherLeaderMaxStaleness
	case f.roles.IsReader():
		return readerMaxStaleness
	case !f.view.Ready():
		return f.startStaleness(l)
	case l == view.System:
		return nonLeaderSystemMaxStaleness
	}
	return followerMaxStaleness + f.jitter
}

// startStaleness is maxStaleness while the view is not ready.
func (f *Feed) startStaleness(l view.Log) time.Duration {
	rank, wait := f.rank(), maxStartDelay
	if f.view.Staleness(view.System) < neverRead {
		wait = startDelay(rank)
	}
	switch {
	case l != view.System && f.view.Staleness(l) >= neverRead && f.clock.Now() < f.started+wait:
		return never
	case rank < startPollers:
		return pollerMaxStaleness
	}
	return startMaxStaleness + f.jitter
}

// startDelay returns for how long a VM leaves the first read of a log to the VMs that
// rank before it.
func startDelay(rank int) time.Duration {
	return min(time.Duration(rank)*startDelayPerVM, maxStartDelay)
}

// rank returns how many of the registered VMs rank before this one. VMs that start at
// the same time may not know each other yet, and then several have a low rank.
func (f *Feed) rank() int {
	n := 0
	for _, vm := range f.view.VMs() {
		if a, b := idHash(vm.ID), idHash(f.self.ID); a < b || a == b && vm.ID < f.self.ID {
			n++
		}
	}
	return n
}

// jitterOf returns a duration below followerJitter that depends only on the VM's id.
func jitterOf(vm string) time.Duration {
	return time.Duration(idHash(vm)%1000) * followerJitter / 1000
}

func idHash(vm string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, vm) // writing to a hash never fails
	return h.Sum32()
}

// read applies what the log gained since the last read, or its newest values if
// this VM never read it or the store no longer has the records in between.
func (f *Feed) read(ctx context.Context, l view.Log) (err error) {
	defer f.guard.RecoverError(&err, "read a log of the store", "log", l)
	f.reads.Inc(1)
	sentAt := f.clock.Now()
	if from := f.view.End(l); f.view.Staleness(l) < neverRead {
		wait := f.readWait(l)
		changes, end, err := f.store.Read(ctx, l, from, wait)
		if err == nil {
			if now := f.clock.Now(); len(changes) == 0 && now >= sentAt+wait {
				sentAt += wait // the store found no change until then
			}
			f.view.Apply(l, changes, end, sentAt)
			return nil
		}
		if !errors.Is(err, view.ErrHistoryGone) {
			return err
		}
		f.logger.Info("the store no longer retains the next records of a log; reading its newest values instead", "log", l, "from", from)
	}
	changes, end, err := f.store.Newest(ctx, l)
	if err != nil {
		return err
	}
	f.view.Replace(l, changes, end, sentAt)
	return nil
}

// readWait returns how long the store is to hold a read of a log open.
func (f *Feed) readWait(l view.Log) time.Duration {
	if l == view.Operators && f.roles.IsReader() {
		return operatorsWait
	}
	return 0
}

const (
	// neverRead is below the staleness that the view reports for a log that was never
	// read, and above any other staleness. never is above both.
	neverRead = 1 << 61
	never     = 1<<63 - 1
)

// recordResult records the result of a read. It reports whether the store is
// unavailable, and logs when an outage begins and when it ends.
func (f *Feed) recordResult(err error) (unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if err == nil {
		if f.unavailable {
			f.logger.Warn("the store is available again", "after", now-f.failingSince)
			f.view.OutageEnded(outageGrace)
		}
		f.failingSince, f.unavailable = 0, false
		return false
	}
	f.failedReads.Inc(1)
	f.view.StoreFailed()
	if f.failingSince == 0 {
		f.failingSince = now
	}
	if !f.unavailable && now-f.failingSince > outageThreshold {
		f.unavailable = true
		f.logger.Warn("the store is unavailable: calls keep failing", "failing_for", now-f.failingSince, "error", err)
	}
	return f.unavailable
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
