// Package replica reads the control log and holds the state that results from
// applying its records.
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
	// longPoll is how long the log service holds a read open when there is no new
	// record. A silent connection, one that is open but delivers nothing, is detected
	// after longPoll plus the client's timeout; the sum must stay below the 5 s in
	// which a configuration change has to take effect.
	longPoll     = 2 * time.Second
	pageRecords  = 256
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Config configures a Replica.
type Config struct {
	Log *logclient.Client
	// Writer is the writer id of this process. It must be unique per process start.
	Writer  string
	Logger  hclog.Logger     // nil discards log lines
	Metrics metrics.Registry // nil means a new registry
	// SnapshotEvery is the number of offsets between two snapshots; 0 means
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// OnChange is called after records were read or a snapshot was loaded, without a
	// lock held. The next read starts only after OnChange returns, so it must not
	// wait for an Append.
	OnChange func()
}

// Replica is a module that keeps a process's copy of the control state up to date.
type Replica struct {
	cfg         Config
	counters    counters
	appendToken chan struct{} // holds one token while no Append runs
	cancel      context.CancelFunc
	done        chan struct{} // closed when the reader has stopped

	mu      sync.RWMutex
	state   *control.State
	changed chan struct{} // closed when records are next applied or a snapshot is loaded
	// progress is closed when a read reaches the end of the log, a pending append
	// is read back, a snapshot is loaded, or the reader stops.
	progress      chan struct{}
	ready         bool               // the state has reached the end of the log and lacks no records; see Ready
	lastRead      time.Time          // end of the last successful read; before the first one, when the replica started
	endReadSentAt time.Time          // when the last read that reached the end of the log was sent
	freshReadFrom time.Time          // until a read sent after this time reaches the end, reads are not held open
	abortRead     context.CancelFunc // cancels the current read
	longPolling   bool               // the current read is a long poll
	pending       *pendingAppend
	lastSeq       uint64 // last sequence number that Append assigned

	snapshotNext      uint64    // offset after the last record in the newest snapshot that this replica wrote or loaded
	snapshotWrittenAt time.Time // when this replica last wrote a snapshot; zero if it has not

	// The fields below are used only by the reader goroutine.
	loader          *snapshotLoader
	readsFailing    bool // the last read failed
	snapshotMissing bool // the next records are no longer retained and no snapshot covers them
}

type counters struct {
	reads, readErrors, records, rejectedRecords       metrics.Counter
	appends, appendsUnknown, appendsRepeated          metrics.Counter
	snapshotsWritten, snapshotsLoaded, snapshotAbsent metrics.Counter
}

// New returns a replica that has not read the log yet.
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
		cfg:         cfg,
		appendToken: make(chan struct{}, 1),
		done:        make(chan struct{}),
		state:       control.NewState(),
		changed:     make(chan struct{}),
		progress:    make(chan struct{}),
		lastRead:    time.Now(),
	}
	r.appendToken <- struct{}{}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("control.replica."+name, cfg.Metrics)
	}
	r.counters = counters{
		reads: counter("reads"), readErrors: counter("read-errors"),
		records: counter("records"), rejectedRecords: counter("records-void"),
		appends: counter("appends"), appendsUnknown: counter("appends-unknown"), appendsRepeated: counter("appends-repeated"),
		snapshotsWritten: counter("snapshots-written"), snapshotsLoaded: counter("snapshots-loaded"), snapshotAbsent: counter("snapshot-absent"),
	}
	return r
}

// Name implements kernel.Module.
func (r *Replica) Name() string { return Name }

// Start starts the reader and returns at once, even if the log cannot be reached.
// It returns an error if the replica was started before.
func (r *Replica) Start(context.Context) error {
	if r.cancel != nil {
		return errors.New("the replica was already started")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.mu.Lock()
	r.lastRead = time.Now()
	r.mu.Unlock()
	go r.readLoop(ctx)
	return nil
}

// Stop stops the reader. An Append that waits to read its record back fails with an
// unknown outcome.
func (r *Replica) Stop(ctx context.Context) error {
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the control log reader to stop")
	}
}

// View calls f with the state under a read lock. f must not keep a reference to the
// state and must not call the replica.
func (r *Replica) View(f func(*control.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Ready reports whether the state has reached the end of the log at least once. It
// returns false again while records are missing that only a snapshot can supply.
func (r *Replica) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Lag returns the time since the last successful read, or since Start if there was
// none. With a healthy log it can reach longPoll, for which a read is held open.
func (r *Replica) Lag() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return time.Since(r.lastRead)
}

// Changed returns a channel that is closed when records are next applied or a snapshot
// is loaded. Call it before reading the state, so that no change in between is missed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// broadcast closes a channel, which wakes all its receivers, and replaces it. The
// caller holds r.mu.
func broadcast(ch *chan struct{}) {
	close(*ch)
	*ch = make(chan struct{})
}
