// Package manager runs the authority of this VM and, while it acts as manager,
// grants shards to servers and publishes the dispatch map.
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
	vmListSkips     = 9  // intervals between two reads of a list that is not needed
	reportPerMember = 64 // events that may wait for the loop, for each VM
)

// Config identifies this VM.
type Config struct {
	VM          string
	DataCentre  string
	PeerAddress string
	Members     int // VMs in the first members record
}

// Manager is the module. One goroutine, the loop, owns all of its state.
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

	loop    chan func()
	node    *authority.Node
	jumps   uint64
	version uint64 // members version that the node follows
	addrs   map[string]string
	tenure  *tenure // nil unless this VM acts

	vms         []logclient.VM
	vmsSeen     bool
	vmsAt       time.Duration // when the list was asked for
	vmsNeeded   time.Duration // since when a VM list may lead to a proposal
	needsVMs    atomic.Bool   // the list is read each second; set by the loop
	idleSince   time.Duration // since when no manager is known
	proposing   bool
	lastPropose time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type managerMetrics struct {
	terms, lost, grants, grantErrors, maps, installs, records metrics.Counter
	acting                                                    metrics.Gauge
	step                                                      metrics.Timer
}

// New returns the module.
func New(cfg Config, c *clock.Clock, events *timeline.Recorder, log *logclient.Client, logger hclog.Logger, registry metrics.Registry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("manager."+name, registry) }
	return &Manager{
		cfg: cfg, clock: c, events: events, log: log, logger: logger,
		loop:  make(chan func(), reportPerMember*max(cfg.Members, 1)),
		node:  authority.New(authority.DefaultConfig(cfg.VM), c.Now(), rng),
		addrs: map[string]string{}, ctx: ctx, cancel: cancel, idleSince: c.Now(),
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

// Provision looks up the other modules and registers the calls between VMs.
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

// Start runs the loop.
func (m *Manager) Start(context.Context) error {
	m.wg.Add(2)
	go m.run()
	go m.pollVMs()
	return nil
}

// Stop resigns and ends the loop.
func (m *Manager) Stop(ctx context.Context) error {
	m.Resign(ctx)
	m.cancel()
	m.wg.Wait()
	return nil
}

// Resign gives the term up, so that the next member need not wait for the end
// of the promises.
func (m *Manager) Resign(ctx context.Context) {
	done := make(chan struct{})
	m.post(func() {
		m.act(m.node.Step(m.clock.Now(), authority.Resign{}))
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
}

// post runs a function on the loop.
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
		m.follow()
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
		m.act(m.node.Step(now, authority.ClockJumped{}))
	}
	m.act(m.node.Step(now, authority.Tick{}))
	if m.tenure != nil {
		m.tenure.tick(now)
	}
	m.considerMembers(now)
}

// follow brings the authority in line with the replayed log.
func (m *Manager) follow() {
	var members []control.Member
	var version, term, assign uint64
	m.replica.View(func(st *control.State) {
		members, version = st.Members()
		term, _ = st.Term()
		assign = st.AssignVersion()
	})
	now := m.clock.Now()
	if version != m.version {
		m.version = version
		names := make([]string, len(members))
		for i, member := range members {
			names[i] = member.VM
			m.addrs[member.VM] = member.PeerAddress
		}
		m.act(m.node.Step(now, authority.MembersChanged{Members: names}))
	}
	m.act(m.node.Step(now, authority.TermSeen{Term: term}))
	m.act(m.node.Step(now, authority.VersionSeen{Version: assign}))
}

// act carries out the actions of the authority, except replies, which deliver
// takes out before.
func (m *Manager) act(actions []authority.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case authority.Send:
			m.send(a)
		case authority.Acquired:
			m.metrics.terms.Inc(1)
			m.metrics.acting.Update(int64(a.Term))
			m.events.Record(timeline.Event{Kind: "term.acquired", Term: a.Term})
			m.logger.Info("acting as manager", "term", a.Term)
			m.tenure = newTenure(m, a.Term)
		case authority.Lost:
			m.metrics.lost.Inc(1)
			m.metrics.acting.Update(0)
			m.events.Record(timeline.Event{Kind: "term.lost", Term: a.Term, Detail: a.Reason})
			m.logger.Info("no longer acting as manager", "term", a.Term, "reason", a.Reason)
			m.endTenure()
		}
	}
}

func (m *Manager) endTenure() {
	if m.tenure != nil {
		m.tenure.cancel()
		m.tenure = nil
	}
}

// DeliverArgs carries a message of the authority.
type DeliverArgs struct {
	Stamp   timeline.Stamp
	From    string
	Message authority.Message
}

// DeliverReply carries the messages that answer it.
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
			return // a lost message; the next heartbeat follows
		}
		m.events.Observe(reply.Stamp)
		m.post(func() {
			for _, msg := range reply.Messages {
				m.act(m.node.Step(m.clock.Now(), authority.Received{From: a.To, Message: msg}))
			}
		})
	}()
}

type receiver struct{ m *Manager }

// Deliver handles a message of another member.
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
		m.act(rest)
	})
	select {
	case <-done:
	case <-m.ctx.Done():
	}
	reply.Stamp = m.events.Now()
	return nil
}
