// Package mapstore holds the dispatch map of this VM and the lease under which
// it may be used to send requests to targets.
package mapstore

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/pkg/errors"
)

// Name is the module name of Store.
const Name = "dispatch.map"

// InstallArgs is what the manager sends to each VM, several times a second.
type InstallArgs struct {
	Stamp    timeline.Stamp
	Term     uint64
	Manager  string
	Echo     time.Duration // the VM's clock reading in its last reply; 0 when not known
	BootID   string        // the VM's boot id in its last reply
	Lease    time.Duration
	Sequence uint64        // of the map in force
	Map      *shardmap.Map // nil when the VM has it already
	Refusals []Refusal
}

// maxLease is far above the leases that managers give, and keeps sums of
// clock readings from overflowing.
const maxLease = time.Minute

// check returns what no manager sends.
func (a *InstallArgs) check(now time.Duration) error {
	switch {
	case a.Map != nil && a.Map.Term != a.Term:
		return errors.Errorf("map of term %d was sent in term %d", a.Map.Term, a.Term)
	case a.BootID != "" && a.Echo < 0, a.Lease < 0 || a.Lease > maxLease:
		return errors.Errorf("a lease of %v from reading %v is out of range", a.Lease, a.Echo)
	}
	return nil
}

// Refusal spreads a request that made targets crash to all VMs: one that is
// suspect, or one that is refused.
type Refusal struct {
	Fingerprint uint64
	Crash       uint64 // identifies the crash
	Suspect     bool
	Remaining   time.Duration
}

// GroupReport is a VM's state in one group.
type GroupReport struct {
	Group    string
	Epoch    uint64 // of the copy that is held
	Complete bool   // the copy of the write intents is complete at this epoch
	Busy     bool   // requests that this VM started are in flight
}

// ShardReport names a shard for which this VM has requests in flight that were
// sent under an earlier route.
type ShardReport struct {
	Service string
	Shard   int
}

// ShardLoad is the rate of requests for a shard.
type ShardLoad struct {
	Service   string
	Shard     int
	PerSecond float32
}

// Report is the state that a VM sends back to the manager.
type Report struct {
	ConfigVersion uint64 // applied from the log
	AssignVersion uint64
	Leaving       bool // a planned stop is under way
	Groups        []GroupReport
	BusyShards    []ShardReport
	Refusals      []Refusal
	Loads         []ShardLoad // sent every few seconds
	Draining      []string    // targets that say that they are leaving
	Heard         []TargetHeard
}

// TargetHeard says how long ago a target that this VM dispatches to answered
// a load query.
type TargetHeard struct {
	Target string
	Ago    time.Duration
}

// InstallReply answers InstallArgs.
type InstallReply struct {
	Stamp    timeline.Stamp
	BootID   string
	Clock    time.Duration
	Term     uint64 // highest term seen
	Sequence uint64 // of the installed map of that term
	Report   Report
}

// Listener learns of a new map before the manager hears that it is installed.
type Listener interface {
	MapInstalled(m *shardmap.Map)
}

// Reporter adds its part to the report.
type Reporter interface {
	AddReport(r *Report)
}

// RefusalSink takes refusals that other VMs reported.
type RefusalSink interface {
	MergeRefusals(rs []Refusal)
}

// Store is the module.
type Store struct {
	clock  *clock.Clock
	events *timeline.Recorder
	logger hclog.Logger
	bootID string

	listeners []Listener
	reporters []Reporter
	sinks     []RefusalSink

	installMu sync.Mutex // one Install at a time, so that listeners see maps in order
	mu        sync.Mutex
	term      uint64
	manager   string
	current   *shardmap.Map
	until     time.Duration // the lease's end; 0 means none
	minEcho   time.Duration // older readings do not start a lease
	jumps     uint64
	changed   chan struct{}
}

// New returns an empty store.
func New(c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, bootID string) *Store {
	return &Store{clock: c, events: events, logger: logger, bootID: bootID, changed: make(chan struct{})}
}

// Name implements kernel.Module.
func (s *Store) Name() string { return Name }

// Provision registers the call that installs maps.
func (s *Store) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	if err := k.Resolve(kernel.Into(&server, peer.ServerName)); err != nil {
		return err
	}
	return server.Register("Map", &receiver{s})
}

// Attach adds a module to the parts of Install that it implements. It is
// called while modules are provisioned.
func (s *Store) Attach(m any) {
	if l, ok := m.(Listener); ok {
		s.listeners = append(s.listeners, l)
	}
	if r, ok := m.(Reporter); ok {
		s.reporters = append(s.reporters, r)
	}
	if q, ok := m.(RefusalSink); ok {
		s.sinks = append(s.sinks, q)
	}
}

// Current returns the installed map, nil before the first.
func (s *Store) Current() *shardmap.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// BootID identifies this process.
func (s *Store) BootID() string { return s.bootID }

// Clock returns a reading that a lease of this VM can be counted from.
func (s *Store) Clock() time.Duration { return s.clock.Now() }

// Term returns the highest term seen and its manager.
func (s *Store) Term() (term uint64, manager string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.manager
}

// Permitted tells whether this VM may send requests under the current map now.
func (s *Store) Permitted() bool {
	s.checkJump()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.until
}

// checkJump ends the lease after a pause. Readings from before the pause may
// lie further back than they seem, so that no lease is counted from them.
func (s *Store) checkJump() {
	jumps := s.clock.Jumps()
	s.mu.Lock()
	same := jumps == s.jumps
	s.jumps = jumps
	if !same {
		s.minEcho = s.clock.Now()
	}
	s.mu.Unlock()
	if !same {
		s.Revoke("the clock jumped")
	}
}

// Revoke ends the lease.
func (s *Store) Revoke(reason string) {
	s.mu.Lock()
	had := s.until != 0
	s.until = 0
	s.mu.Unlock()
	if had {
		s.events.Record(timeline.Event{Kind: "map.lease_revoked", Detail: reason})
		s.logger.Warn("map lease revoked", "reason", reason)
	}
}

// Changed returns a channel that is closed at the next change of the map or
// renewal after the lease had ended.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

type receiver struct{ s *Store }

// Install installs a map and renews the lease.
func (r *receiver) Install(args *InstallArgs, reply *InstallReply) error {
	return r.s.Install(args, reply)
}

// Install installs a map and renews the lease.
func (s *Store) Install(args *InstallArgs, reply *InstallReply) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.events.Observe(args.Stamp)
	// The reading is taken before the answer is built: the manager counts
	// the lease from the moment it receives it, which is later.
	reply.Clock = s.clock.Now()
	reply.BootID = s.bootID
	if err := args.check(reply.Clock); err != nil {
		return err // before anything takes effect
	}
	if !s.acceptTerm(args) {
		s.fill(reply)
		return nil
	}
	if args.Map != nil {
		s.install(args.Map)
	}
	for _, q := range s.sinks {
		q.MergeRefusals(args.Refusals)
	}
	s.renew(args)
	s.fill(reply)
	return nil
}

func (s *Store) acceptTerm(args *InstallArgs) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Term < s.term {
		return false
	}
	if args.Term > s.term {
		s.term, s.manager = args.Term, args.Manager
		s.until = 0 // the permission of the earlier term ends with its map
	}
	return true
}

func (s *Store) install(m *shardmap.Map) {
	s.mu.Lock()
	if !m.Newer(s.current) {
		s.mu.Unlock()
		return
	}
	s.current = m
	s.wake()
	s.mu.Unlock()
	for _, l := range s.listeners {
		l.MapInstalled(m)
	}
}

// wake must be called with mu held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// renew extends the lease, counted from this VM's own reading. It takes effect
// only when the installed map is the one in force.
func (s *Store) renew(args *InstallArgs) {
	s.checkJump()
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Echo <= s.minEcho || args.Echo > s.clock.Now() || args.BootID != s.bootID || s.current == nil ||
		s.current.Term != args.Term || s.current.Sequence != args.Sequence {
		return
	}
	until := args.Echo + args.Lease
	if until <= s.until {
		return
	}
	if s.clock.Now() >= s.until {
		s.wake()
	}
	s.until = until
}

func (s *Store) fill(reply *InstallReply) {
	for _, r := range s.reporters {
		r.AddReport(&reply.Report)
	}
	reply.Stamp = s.events.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Term = s.term
	if s.current != nil && s.current.Term == s.term {
		reply.Sequence = s.current.Sequence
	}
}
