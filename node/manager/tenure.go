package manager

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/authority"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/lease"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	mapLease = 1200 * time.Millisecond
	// mapLeaseBound is how long a VM may use a map lease after the reply that
	// the lease's echo came in; both clocks may drift by 1 %.
	mapLeaseBound = mapLease + mapLease/40
	// settleTime is how long the first map of a term waits for servers to
	// confirm what they hold.
	settleTime = 300 * time.Millisecond
	// planInterval is the time between two looks at the placement.
	planInterval = 100 * time.Millisecond
)

// tenure is the work of one term. The manager's loop owns it.
type tenure struct {
	m       *Manager
	term    uint64
	started time.Duration
	ctx     context.Context
	cancel  context.CancelFunc

	doc        inventory.Document
	docVersion uint64
	config     uint64
	// firstConfig is the version at the beginning of the term. Until loads are
	// known, shards move for balance only after a change by operators.
	firstConfig uint64

	vms      map[string]*vmState
	table    *lease.Table
	servers  map[string]*serverState
	assigned map[control.ShardKey]control.ShardAssignment
	adopted  uint64 // assign version that assigned rests on
	routes   map[string][]shardmap.Route
	blocked  map[control.ShardKey]blockedShard
	changes  uint64 // of assigned
	lastPlan planInputs

	loads         map[control.ShardKey]shardLoad
	balancedAt    map[string]time.Duration // by service
	dispatchersAt time.Duration

	plans      []groupPlan     // groups that the document asks for
	wanted     map[string]bool // their names
	lastVMs    []placement.VM
	vmChanges  uint64 // of lastVMs
	groups     map[string]*groupState
	groupEvent string // kind of the event for a new entry
	epochs     uint64
	base       *shardmap.Map // newest map of earlier terms that a VM reported
	fresh      bool          // no map was ever published
	sequence   uint64
	current    *shardmap.Map
	dirty      bool

	opened       bool // the own Term record was read back
	appending    bool
	snapshotting bool
	plannedAt    time.Duration
}

func newTenure(m *Manager, term uint64) *tenure {
	ctx, cancel := context.WithCancel(m.ctx)
	t := &tenure{
		m: m, term: term, started: m.clock.Now(), ctx: ctx, cancel: cancel,
		vms: map[string]*vmState{}, servers: map[string]*serverState{},
		assigned: map[control.ShardKey]control.ShardAssignment{}, routes: map[string][]shardmap.Route{},
		blocked: map[control.ShardKey]blockedShard{}, groups: map[string]*groupState{},
		groupEvent: eventGroupChanged,
		loads:      map[control.ShardKey]shardLoad{}, balancedAt: map[string]time.Duration{},
	}
	t.table = lease.NewTable(lease.DefaultConfig(), t.started)
	m.replica.View(func(st *control.State) { t.fresh, t.firstConfig = !st.Published(), st.ConfigVersion() })
	t.openTerm()
	return t
}

// openTerm appends the Term record, which closes the earlier terms.
func (t *tenure) openTerm() {
	rec := control.Record{Term: &control.TermOpened{Term: t.term, Manager: t.m.cfg.VM}}
	go func() {
		for t.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(t.ctx, appendTimeout)
			verdict, err := t.m.replica.Append(ctx, rec)
			cancel()
			if err != nil {
				continue
			}
			t.m.post(func() { t.termOpened(verdict) })
			return
		}
	}()
}

func (t *tenure) termOpened(v control.Verdict) {
	if !v.Accepted && v.Reason != control.ReasonRepeated {
		// Another manager has opened a higher term. The promises keep the two
		// from acting at once; this one ends when its support does.
		t.m.logger.Warn("term record is void", "term", t.term, "reason", string(v.Reason), "detail", v.Detail)
		return
	}
	t.opened = true
	t.m.metrics.records.Inc(1)
	t.m.events.Record(timeline.Event{Kind: "term.opened", Term: t.term})
}

// published tells whether the log says that a map may be in use.
func (t *tenure) published() (ok bool) {
	t.m.replica.View(func(st *control.State) { ok = st.Published() })
	return ok
}

// acting tells whether this VM still acts in this term. It is asked
// immediately before each effect.
func (t *tenure) acting() bool {
	term, ok := t.m.node.Acting(t.m.clock.Now())
	return ok && term == t.term && t.m.tenure == t
}

func (t *tenure) tick(now time.Duration) {
	if !t.acting() {
		return
	}
	t.followLog(now)
	t.followVMs(now)
	t.carryOut(now, t.table.Step(now, lease.Tick{}))
	t.releaseBlocked(now)
	if now-t.plannedAt >= planInterval {
		t.plannedAt = now
		t.planShards(now)
		t.writeSnapshot()
	}
	t.planGroups(now)
	t.balanceDispatchers(now)
	t.publish(now)
	t.installAll(now)
	if t.cutOff() {
		t.m.act(t.m.node.Step(now, authority.StepDown{Reason: "cut off from the servers"}))
	}
}

// followLog takes over the document and the durable assignments.
func (t *tenure) followLog(now time.Duration) {
	t.m.replica.View(func(st *control.State) {
		doc, version := st.Document()
		if config := st.ConfigVersion(); config != t.config {
			t.config, t.dirty = config, true
		}
		if version != t.docVersion {
			t.doc, t.docVersion = doc, version
			t.documentChanged(now)
		}
		t.adoptAssignments(now, st)
	})
}

func (t *tenure) documentChanged(now time.Duration) {
	wanted := map[string]bool{}
	for _, target := range t.doc.Targets {
		service, _ := t.doc.Service(target.Service)
		if service.Ownership != inventory.OwnershipKey {
			continue
		}
		wanted[target.Name] = true
		if s, known := t.servers[target.Name]; known {
			s.target = target
			continue
		}
		t.servers[target.Name] = &serverState{target: target, heardAt: t.started}
		t.carryOut(now, t.table.Step(now, lease.ServerAdded{Server: target.Name, Service: target.Service}))
	}
	for name := range t.servers {
		if !wanted[name] {
			delete(t.servers, name)
			t.carryOut(now, t.table.Step(now, lease.ServerRemoved{Server: name}))
		}
	}
	for _, s := range t.doc.Services {
		if s.Ownership == inventory.OwnershipKey && len(t.routes[s.Name]) != s.Shards {
			t.routes[s.Name] = make([]shardmap.Route, s.Shards)
		}
	}
	t.plans, t.wanted = planList(&t.doc), map[string]bool{}
	for _, p := range t.plans {
		t.wanted[p.name] = true
	}
	t.dirty = true
}
