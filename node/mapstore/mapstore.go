// Package mapstore holds the dispatch map of this VM and the map lease. The VM
// may send requests to targets under the map only while the lease is valid.
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

// InstallArgs is the message that the manager sends to each VM several times a
// second. It installs a map, if it carries one, and renews the map lease.
type InstallArgs struct {
	Stamp    timeline.Stamp
	Term     uint64
	Manager  string
	Echo     time.Duration // the VM's clock reading in its last reply, from which Lease counts; 0 if not known
	BootID   string        // the VM's boot id in its last reply
	Lease    time.Duration // length of the lease
	Sequence uint64        // of the current map of Term
	Map      *shardmap.Map // nil if the VM has installed it already
	Refusals []Refusal     // those of all VMs
}

// maxLease is far above the leases that managers give. The limit keeps the sum
// of a clock reading and a lease from overflowing.
const maxLease = time.Minute

// validate returns an error for values that no manager sends: a map of another
// term, or a lease or clock reading that is out of range.
func (a *InstallArgs) validate(now time.Duration) error {
	switch {
	case a.Map != nil && a.Map.Term != a.Term:
		return errors.Errorf("map has term %d, but the install message has term %d", a.Map.Term, a.Term)
	case a.BootID != "" && a.Echo < 0, a.Lease < 0 || a.Lease > maxLease:
		return errors.Errorf("lease of %v from clock reading %v is out of range", a.Lease, a.Echo)
	}
	return nil
}

// Refusal tells all VMs about a request that made targets crash. The request is
// either suspect, so that a further crash leads to its refusal, or refused.
type Refusal struct {
	Fingerprint uint64        // of the request
	Crash       uint64        // identifies the crash
	Suspect     bool          // the request is suspected, but not refused
	Remaining   time.Duration // time until this entry expires
}

// GroupReport is the state of a VM in one group.
type GroupReport struct {
	Group    string
	Epoch    uint64 // at which this VM's copy of the write intents is complete; 0 if it is not
	Complete bool   // Epoch is not 0
	Busy     bool   // this VM has requests, or outcomes to copy, in flight
}

// ShardReport names a shard for which this VM has requests in flight that were
// sent under an earlier route.
type ShardReport struct {
	Service string
	Shard   int
}

// ShardLoad is the rate of requests for a shard, in requests per second.
type ShardLoad struct {
	Service   string
	Shard     int
	PerSecond float32
}

// Report is the state that a VM reports to the manager in each reply.
type Report struct {
	ConfigVersion uint64        // configuration version that the VM has replayed from the log
	AssignVersion uint64        // version of the assignments that the VM has replayed
	Leaving       bool          // a planned stop of the VM is in progress
	Groups        []GroupReport // up to two for a group: from the ledger and from the dispatch service
	BusyShards    []ShardReport
	Refusals      []Refusal
	Loads         []ShardLoad // sent every few seconds
	Draining      []string    // targets that announce a planned stop
	Heard         []TargetHeard
}

// TargetHeard says how long ago a target that this VM dispatches to last
// answered a load query.
type TargetHeard struct {
	Target string
	Ago    time.Duration
}

// InstallReply answers InstallArgs.
type InstallReply struct {
	Stamp    timeline.Stamp
	BootID   string
	Clock    time.Duration
	Term     uint64 // highest term that the VM has seen
	Sequence uint64 // of the installed map of Term; 0 if there is none
	Report   Report
}

// Listener is called with each new map before the manager is told that the map
// is installed.
type Listener interface {
	MapInstalled(m *shardmap.Map)
}

// Reporter adds its part to the report for the manager.
type Reporter interface {
	AddReport(r *Report)
}

// RefusalSink receives the refusals that VMs have reported to the manager.
type RefusalSink interface {
	MergeRefusals(rs []Refusal)
}

// Store is the kernel module that holds the dispatch map and its lease.
type Store struct {
	clock  *clock.Clock
	events *timeline.Recorder
	logger hclog.Logger
	bootID string

	listeners    []Listener
	reporters    []Reporter
	refusalSinks []RefusalSink

	installMu  sync.Mutex // serialises Install, so that listeners see maps in order
	mu         sync.Mutex
	term       uint64 // highest term seen
	manager    string // VM that is the manager of term
	current    *shardmap.Map
	leaseUntil time.Duration // end of the lease on this VM's clock; 0 if there is none
	minEcho    time.Duration // no lease is counted from readings up to this one
	jumps      uint64        // clock jumps seen so far
	changed    chan struct{} // closed and replaced at each change; see Changed
}

// New returns a store without a map. bootID identifies this process.
func New(c *clock.Clock, events *timeline.Recorder, logger hclog.Logger, bootID string) *Store {
	return &Store{clock: c, events: events, logger: logger, bootID: bootID, changed: make(chan struct{})}
}

// Name implements kernel.Module.
func (s *Store) Name() string { return Name }

// Provision registers the RPC service Map.
func (s *Store) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	if err := k.Resolve(kernel.Into(&server, peer.ServerName)); err != nil {
		return err
	}
	return server.Register("Map", &receiver{s})
}

// Attach registers m as a Listener, Reporter and RefusalSink, as far as it implements
// them. It is called only while modules are provisioned.
func (s *Store) Attach(m any) {
	if l, ok := m.(Listener); ok {
		s.listeners = append(s.listeners, l)
	}
	if r, ok := m.(Reporter); ok {
		s.reporters = append(s.reporters, r)
	}
	if sink, ok := m.(RefusalSink); ok {
		s.refusalSinks = append(s.refusalSinks, sink)
	}
}

// Current returns the installed map, or nil before the first one.
func (s *Store) Current() *shardmap.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// BootID identifies this process.
func (s *Store) BootID() string { return s.bootID }

// Clock returns a reading of this VM's clock, from which a lease can be counted.
func (s *Store) Clock() time.Duration { return s.clock.Now() }

// Term returns the highest term seen and the VM that is its manager.
func (s *Store) Term() (term uint64, manager string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.manager
}

// LeaseValid reports whether the map lease is valid, so that this VM may send
// requests under the current map now.
func (s *Store) LeaseValid() bool {
	s.checkJump()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.leaseUntil
}

// checkJump revokes the lease after a clock jump, such as after a pause of the VM. More
// time may have passed since readings before the jump than the clock shows, so no lease
// is counted from them any more.
func (s *Store) checkJump() {
	jumps := s.clock.Jumps()
	s.mu.Lock()
	unchanged := jumps == s.jumps
	s.jumps = jumps
	if !unchanged {
		s.minEcho = s.clock.Now()
	}
	s.mu.Unlock()
	if !unchanged {
		s.Revoke("the clock jumped, as after a pause of the VM")
	}
}

// Revoke ends the lease at once. A later Install can renew it.
func (s *Store) Revoke(reason string) {
	s.mu.Lock()
	hadLease := s.leaseUntil != 0
	s.leaseUntil = 0
	s.mu.Unlock()
	if hadLease {
		s.events.Record(timeline.Event{Kind: "map.lease_revoked", Detail: reason})
		s.logger.Warn("map lease revoked", "reason", reason)
	}
}

// Changed returns a channel that is closed when the next map is installed or
// when a lease that had ended is renewed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// receiver serves the RPC service Map, whose only method is Install.
type receiver struct{ s *Store }

func (r *receiver) Install(args *InstallArgs, reply *InstallReply) error {
	return r.s.Install(args, reply)
}

// Install installs the map of args, if any, and renews the lease. A message with values
// that no manager sends is an error, and one of an earlier term is answered with the
// higher term; neither has any effect.
func (s *Store) Install(args *InstallArgs, reply *InstallReply) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.events.Observe(args.Stamp)
	// The manager counts the lease from the receipt of the reply, which is later than
	// this reading. So it never treats the lease as ended while it is still valid here.
	reply.Clock = s.clock.Now()
	reply.BootID = s.bootID
	if err := args.validate(reply.Clock); err != nil {
		return err // before anything takes effect
	}
	if !s.acceptTerm(args) {
		s.fillReply(reply)
		return nil
	}
	if args.Map != nil {
		s.install(args.Map)
	}
	for _, sink := range s.refusalSinks {
		sink.MergeRefusals(args.Refusals)
	}
	s.renewLease(args)
	s.fillReply(reply)
	return nil
}

// acceptTerm returns false for a message of an earlier term. A message of a
// later term ends the lease of the earlier one.
func (s *Store) acceptTerm(args *InstallArgs) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Term < s.term {
		return false
	}
	if args.Term > s.term {
		s.term, s.manager = args.Term, args.Manager
		s.leaseUntil = 0 // the map of the earlier term must no longer be used
	}
	return true
}

// install makes m the current map and calls the listeners if m is newer.
func (s *Store) install(m *shardmap.Map) {
	s.mu.Lock()
	if !m.Newer(s.current) {
		s.mu.Unlock()
		return
	}
	s.current = m
	s.notifyChanged()
	s.mu.Unlock()
	for _, l := range s.listeners {
		l.MapInstalled(m)
	}
}

// notifyChanged closes the channel that Changed returned. The caller holds mu.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// renewLease extends the lease, which counts from this VM's own clock reading that the
// manager echoes, so that message delays only shorten it. It requires a reading of this
// process after the last clock jump, and that the manager's current map is installed.
func (s *Store) renewLease(args *InstallArgs) {
	s.checkJump()
	s.mu.Lock()
	defer s.mu.Unlock()
	if args.Echo <= s.minEcho || args.Echo > s.clock.Now() || args.BootID != s.bootID || s.current == nil ||
		s.current.Term != args.Term || s.current.Sequence != args.Sequence {
		return
	}
	until := args.Echo + args.Lease
	if until <= s.leaseUntil {
		return
	}
	if s.clock.Now() >= s.leaseUntil {
		s.notifyChanged()
	}
	s.leaseUntil = until
}

// fillReply sets the report, the stamp, the term and the sequence of a reply.
func (s *Store) fillReply(reply *InstallReply) {
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
