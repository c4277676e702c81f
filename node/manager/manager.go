// Package manager runs this VM's part in the election of the manager (package
// core/authority) by the members: the VMs that the control log lists as such.
// While this VM is the elected manager, the package also grants shard leases to
// servers and publishes the dispatch map.
//
// A server is a target that can own shards. The dispatch map (package
// core/shardmap) names the owner of each shard and, for each group of targets,
// the dispatcher: the only VM that may send requests to them. The group of a
// service also has copies: VMs that hold the write intents of its dispatcher
// (package node/ledger). A VM may act on the map only while it holds a map
// lease, which the manager renews.
package manager

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/authority"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/replica"
	"github.com/mangogate/mangogate/node/targets"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Manager.
const Name = "control.manager"

const (
	tickInterval    = 20 * time.Millisecond
	deliverTimeout  = 400 * time.Millisecond
	vmListInterval  = time.Second
	vmListIdleSkips = 9  // list intervals skipped between two reads while the list is not needed
	queuePerMember  = 64 // capacity of the loop's queue, for each configured member
)

// Config identifies this VM and sets the number of members.
type Config struct {
	VM          string
	DataCentre  string
	PeerAddress string
	Members     int // number of VMs in the first members record; a shorter list is filled up to it
}

// Manager is the kernel module that runs the election and, while this VM is the
// manager, the work of the term. A single goroutine, the event loop, owns all
// mutable state; other goroutines hand it functions through post.
type Manager struct {
	cfg     Config
	clock   *clock.Clock
	events  *timeline.Recorder
	logger  hclog.Logger
	replica *replica.Replica
	maps    *mapstore.Store
	peers   *peer.Client
	targets *targets.Client
	log     *logclient.Client
	metrics managerMetrics

	loop           chan func()
	node           *authority.Node
	jumps          uint64 // number of clock jumps that node was told of
	membersVersion uint64 // version of the members record that node was last told of
	addrs          map[string]string
	termState      *termState // state of the current term; nil unless this VM is the manager

	vms            []logclient.VM
	vmsSeen        bool
	vmsAt          time.Duration // when the request for vms was sent
	vmsNeededSince time.Duration // lists requested earlier than this are too old to propose members from
	needsVMs       atomic.Bool   // pollVMs reads the list every second; set by the loop
	managerSeenAt  time.Duration // when a manager was last known
	proposing      bool
	lastPropose    time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type managerMetrics struct {
	terms, lost, grants, grantErrors, maps, installs, records metrics.Counter
	acting                                                    metrics.Gauge
	step                                                      metrics.Timer
}

// New returns a manager that is not running yet; Start runs it.
func New(cfg Config, c *clock.Clock, events *timeline.Recorder, log *logclient.Client, logger hclog.Logger, registry metrics.Registry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("manager."+name, registry) }
	return &Manager{
		cfg: cfg, clock: c, events: events, log: log, logger: logger,
		loop:  make(chan func(), queuePerMember*max(cfg.Members, 1)),
		node:  authority.New(authority.DefaultConfig(cfg.VM), c.Now(), rng),
		addrs: map[string]string{}, ctx: ctx, cancel: cancel, managerSeenAt: c.Now(),
		metrics: managerMetrics{
			terms: counter("terms"), lost: counter("terms_lost"), grants: counter("grants"), grantErrors: counter("grant_errors"),
			maps: counter("maps_published"), installs: counter("installs"), records: counter("records"),
			acting: metrics.GetOrRegisterGauge("manager.acting", registry),
			step:   metrics.GetOrRegisterTimer("manager.step", registry),
		},
	}
}

// Name implements kernel.Module.
func (m *Manager) Name() string { return Name }

// Provision resolves the modules that Manager uses and registers the RPC
// service Authority.
func (m *Manager) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	err := k.Resolve(
		kernel.Into(&server, peer.ServerName),
		kernel.Into(&m.replica, replica.Name),
		kernel.Into(&m.maps, mapstore.Name),
		kernel.Into(&m.peers, peer.ClientName),
		kernel.Into(&m.targets, targets.Name),
	)
	if err != nil {
		return err
	}
	return server.Register("Authority", &receiver{m})
}

// Start starts the event loop and the polling of the VM list.
func (m *Manager) Start(context.Context) error {
	m.wg.Add(2)
	go m.run()
	go m.pollVMs()
	return nil
}

// Stop resigns the term, if any, and waits until the event loop, pollVMs and
// propose have ended. It cancels calls in flight without waiting for them.
func (m *Manager) Stop(ctx context.Context) error {
	m.Resign(ctx)
	m.cancel()
	m.wg.Wait()
	return nil
}

// Resign gives up this VM's term and releases the members that support it, so
// that the next manager need not wait until their promises expire. It returns
// when the term has ended, ctx is done or the module is stopped.
func (m *Manager) Resign(ctx context.Context) {
	done := make(chan struct{})
	m.post(func() {
		m.applyActions(m.node.Step(m.clock.Now(), authority.Resign{}))
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
}

// post queues f to run on the event loop. It blocks while the queue is full and
// drops f once the module is stopped.
func (m *Manager) post(f func()) {
	select {
	case m.loop <- f:
	case <-m.ctx.Done():
	}
}

func (m *Manager) run() {
	defer m.wg.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := m.replica.Changed()
		m.syncFromLog()
		select {
		case <-m.ctx.Done():
			return
		case f := <-m.loop:
			f()
		case <-changed:
		case <-ticker.C:
			start := time.Now()
			m.tick()
			m.metrics.step.UpdateSince(start)
		}
	}
}

func (m *Manager) tick() {
	now := m.clock.Now()
	if jumps := m.clock.Jumps(); jumps != m.jumps {
		m.jumps = jumps
		m.applyActions(m.node.Step(now, authority.ClockJumped{}))
	}
	m.applyActions(m.node.Step(now, authority.Tick{}))
	if m.termState != nil {
		m.termState.tick(now)
	}
	m.proposeMembersIfDue(now)
}

// syncFromLog passes the members, term and assignment version of the replayed
// control log to the election state machine.
func (m *Manager) syncFromLog() {
	var members []control.Member
	var version, term, assign uint64
	m.replica.View(func(st *control.State) {
		members, version = st.Members()
		term, _ = st.Term()
		assign = st.AssignVersion()
	})
	now := m.clock.Now()
	if version != m.membersVersion {
		m.membersVersion = version
		names := make([]string, len(members))
		for i, member := range members {
			names[i] = member.VM
			m.addrs[member.VM] = member.PeerAddress
		}
		m.applyActions(m.node.Step(now, authority.MembersChanged{Members: names}))
	}
	m.applyActions(m.node.Step(now, authority.TermSeen{Term: term}))
	m.applyActions(m.node.Step(now, authority.VersionSeen{Version: assign}))
}

// applyActions carries out the actions of the election state machine. Replies
// to a message that arrived by Deliver are not among them: Deliver returns
// those to the sender in its RPC reply.
func (m *Manager) applyActions(actions []authority.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case authority.Send:
			m.send(a)
		case authority.Acquired:
			m.metrics.terms.Inc(1)
			m.metrics.acting.Update(int64(a.Term))
			m.events.Record(timeline.Event{Kind: "term.acquired", Term: a.Term})
			m.logger.Info("elected as manager", "term", a.Term)
			m.termState = newTermState(m, a.Term)
		case authority.Lost:
			m.metrics.lost.Inc(1)
			m.metrics.acting.Update(0)
			m.events.Record(timeline.Event{Kind: "term.lost", Term: a.Term, Detail: a.Reason})
			m.logger.Info("no longer the manager; the term has ended", "term", a.Term, "reason", a.Reason)
			m.endTerm()
		}
	}
}

func (m *Manager) endTerm() {
	if m.termState != nil {
		m.termState.cancel()
		m.termState = nil
	}
}

// DeliverArgs carries an election message from the VM From.
type DeliverArgs struct {
	Stamp   timeline.Stamp
	From    string
	Message authority.Message
}

// DeliverReply carries the messages that answer the one in DeliverArgs.
type DeliverReply struct {
	Stamp    timeline.Stamp
	Messages []authority.Message
}

func (m *Manager) send(a authority.Send) {
	address := m.addrs[a.To]
	if address == "" {
		return
	}
	args := &DeliverArgs{Stamp: m.events.Now(), From: m.cfg.VM, Message: a.Message}
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, deliverTimeout)
		defer cancel()
		var reply DeliverReply
		if err := m.peers.Call(ctx, address, "Authority.Deliver", args, &reply); err != nil {
			return // not retried: the state machine tolerates lost messages, and heartbeats repeat
		}
		m.events.Observe(reply.Stamp)
		m.post(func() {
			for _, msg := range reply.Messages {
				m.applyActions(m.node.Step(m.clock.Now(), authority.Received{From: a.To, Message: msg}))
			}
		})
	}()
}

// receiver serves the RPC service Authority.
type receiver struct{ m *Manager }

// Deliver passes a message from another member to the election state machine
// and returns the messages that answer it.
func (r *receiver) Deliver(args *DeliverArgs, reply *DeliverReply) error {
	m := r.m
	m.events.Observe(args.Stamp)
	done := make(chan struct{})
	m.post(func() {
		defer close(done)
		var rest []authority.Action
		for _, a := range m.node.Step(m.clock.Now(), authority.Received{From: args.From, Message: args.Message}) {
			if s, ok := a.(authority.Send); ok && s.To == args.From {
				reply.Messages = append(reply.Messages, s.Message)
				continue
			}
			rest = append(rest, a)
		}
		m.applyActions(rest)
	})
	select {
	case <-done:
	case <-m.ctx.Done():
	}
	reply.Stamp = m.events.Now()
	return nil
}
