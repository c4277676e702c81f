// Package replica follows the control log and holds the state that it yields.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Replica.
const Name = "control.replica"

// The streams of the log service.
const (
	ControlStream  = "control"
	SnapshotStream = "snapshots"
)

const (
	// A read is held open for this long when there is nothing new. A connection
	// gone silent is noticed after this and the client's timeout, which has to
	// stay within the 5 s for a change of the configuration.
	longPoll     = 2 * time.Second
	pageRecords  = 256
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Config configures a Replica.
type Config struct {
	Log *logclient.Client
	// Writer is the writer id of this process start; no other start may use it.
	Writer  string
	Logger  hclog.Logger     // nil discards
	Metrics metrics.Registry // nil means a registry of its own
	// SnapshotEvery is the number of offsets after which SnapshotDue tells the
	// manager to write the next snapshot; 0 means DefaultSnapshotEvery.
	SnapshotEvery uint64
	// OnChange is called after records were applied, not under a lock of the
	// replica. It delays the next read and must not wait for an Append.
	OnChange func()
}

// Replica is a module that owns the control state of a process.
type Replica struct {
	cfg      Config
	counters counters
	appends  chan struct{} // holds one token while no Append runs
	cancel   context.CancelFunc
	done     chan struct{} // closed when the reader has ended

	mu           sync.RWMutex
	state        *control.State
	changed      chan struct{} // closed at the next applied record
	progress     chan struct{} // closed when a read reached the end, the state changed, or the reader ended
	ready        bool
	lastRead     time.Time // of a successful read, the start before the first
	endReadBegan time.Time // when the last read that reached the end was sent
	probeFrom    time.Time // a read sent after this instant is wanted, without holding it open
	abortRead    context.CancelFunc
	heldRead     bool // the present read is held open until there is a record
	pending      *pendingAppend
	seq          uint64 // last sequence number given out

	snapshotNext uint64    // what the last snapshot that this replica wrote or loaded covers
	snapshotAt   time.Time // when it wrote it, zero if it did not

	// Used by the reader only.
	loader  *snapshotLoader
	logDown bool
	noState bool // the error state: records are gone and no snapshot covers them
}

type counters struct {
	reads, readErrors, records, voidRecords           metrics.Counter
	appends, appendsUnknown, appendsRepeated          metrics.Counter
	snapshotsWritten, snapshotsLoaded, snapshotAbsent metrics.Counter
}

// New returns a replica that has read nothing.
func New(cfg Config) *Replica {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	r := &Replica{
		cfg:      cfg,
		appends:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		state:    control.NewState(),
		changed:  make(chan struct{}),
		progress: make(chan struct{}),
		lastRead: time.Now(),
	}
	r.appends <- struct{}{}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("control.replica."+name, cfg.Metrics)
	}
	r.counters = counters{
		reads: counter("reads"), readErrors: counter("read-errors"),
		records: counter("records"), voidRecords: counter("records-void"),
		appends: counter("appends"), appendsUnknown: counter("appends-unknown"), appendsRepeated: counter("appends-repeated"),
		snapshotsWritten: counter("snapshots-written"), snapshotsLoaded: counter("snapshots-loaded"), snapshotAbsent: counter("snapshot-absent"),
	}
	return r
}

// Name returns the module name.
func (r *Replica) Name() string { return Name }

// Start starts the reader and returns at once, also when the log is down.
func (r *Replica) Start(context.Context) error {
	if r.cancel != nil {
		return errors.New("the replica was started before")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.mu.Lock()
	r.lastRead = time.Now()
	r.mu.Unlock()
	go r.run(ctx)
	return nil
}

// Stop ends the reader. An Append that still waits returns an unknown outcome.
func (r *Replica) Stop(ctx context.Context) error {
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the reader of the control log to end")
	}
}

// View runs f with the state under a read lock. f must not keep the state or
// call the replica.
func (r *Replica) View(f func(*control.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Ready tells whether the state has reached the end of the log once, with no
// gap since that a snapshot has yet to fill.
func (r *Replica) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Lag returns the time since the last successful read, or since the start
// before the first. It reaches 5 s with a healthy log, because a read is held
// open for that long.
func (r *Replica) Lag() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return time.Since(r.lastRead)
}

// Changed returns a channel that is closed at the next applied record. Take it
// before looking at the state, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// wake closes a channel and replaces it. The caller holds r.mu.
func wake(ch *chan struct{}) {
	close(*ch)
	*ch = make(chan struct{})
}
