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
	// mapLeaseBound is the time after a VM's reply, on the manager's clock, by which
	// a map lease that counts from the clock reading in the reply has ended on the
	// VM. Each of the two clocks may drift by 1 %.
	mapLeaseBound = mapLease + mapLease/40
	// firstMapDelay is how long the first map of a term waits at most for servers
	// to confirm the shards that they hold.
	firstMapDelay = 300 * time.Millisecond
	planInterval  = 100 * time.Millisecond // between two runs of planShards
)

// termState is the state of this VM as manager in one term. The event loop owns
// it.
type termState struct {
	m       *Manager
	term    uint64
	started time.Duration
	ctx     context.Context
	cancel  context.CancelFunc

	doc                inventory.Document
	docVersion         uint64
	configVersion      uint64
	firstConfigVersion uint64 // configVersion at the beginning of the term; see planService

	vms             map[string]*vmState
	table           *lease.Table
	servers         map[string]*serverState
	assigned        map[control.ShardKey]control.ShardAssignment
	adoptedVersion  uint64 // version of the logged assignments that assigned includes
	routes          map[string][]shardmap.Route
	blocked         map[control.ShardKey]blockedShard
	assignedChanges uint64 // counts the changes of assigned
	lastPlan        planInputs

	loads                 map[control.ShardKey]shardLoad
	balancedAt            map[string]time.Duration // by service
	dispatchersBalancedAt time.Duration

	groupPlans     []groupPlan     // groups that the document asks for
	groupNames     map[string]bool // the names of groupPlans
	lastVMs        []placement.VM
	vmChanges      uint64 // counts the changes of lastVMs
	groups         map[string]*groupState
	groupEvent     string        // kind of the event for a new entry
	epochCount     uint64        // number of epochs given out in this term
	baseMap        *shardmap.Map // newest map of earlier terms that a VM has sent
	neverPublished bool          // no map had been published when the term began
	sequence       uint64        // of current; 0 before the first map of the term
	currentMap     *shardmap.Map
	dirty          bool // the state has changed since current was built

	opened          bool // the log holds the Term record of this term
	appending       bool
	snapshotting    bool
	shardsPlannedAt time.Duration
}

// newTermState starts the work of a term that this VM has acquired.
func newTermState(m *Manager, term uint64) *termState {
	ctx, cancel := context.WithCancel(m.ctx)
	t := &termState{
		m: m, term: term, started: m.clock.Now(), ctx: ctx, cancel: cancel,
		vms: map[string]*vmState{}, servers: map[string]*serverState{},
		assigned: map[control.ShardKey]control.ShardAssignment{}, routes: map[string][]shardmap.Route{},
		blocked: map[control.ShardKey]blockedShard{}, groups: map[string]*groupState{},
		groupEvent: eventGroupChanged,
		loads:      map[control.ShardKey]shardLoad{}, balancedAt: map[string]time.Duration{},
	}
	t.table = lease.NewTable(lease.DefaultConfig(), t.started)
	m.replica.View(func(st *control.State) { t.neverPublished, t.firstConfigVersion = !st.Published(), st.ConfigVersion() })
	t.openTerm()
	return t
}

// openTerm appends the Term record, which makes the log reject records of
// earlier terms. It retries until the log answers or the term ends.
func (t *termState) openTerm() {
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

// termOpened handles the log's verdict on the Term record.
func (t *termState) termOpened(v control.Verdict) {
	if !v.Accepted && v.Reason != control.ReasonRepeated {
		// Another manager has opened a higher term. The members' promises keep the two
		// managers from acting at the same time; this term ends when its support
		// expires.
		t.m.logger.Warn("control log rejected the term record", "term", t.term, "reason", string(v.Reason), "detail", v.Detail)
		return
	}
	t.opened = true
	t.m.metrics.records.Inc(1)
	t.m.events.Record(timeline.Event{Kind: "term.opened", Term: t.term})
}

// published reports whether the log records that a map may be in use.
func (t *termState) published() (ok bool) {
	t.m.replica.View(func(st *control.State) { ok = st.Published() })
	return ok
}

// acting reports whether this VM is still the manager of this term. Callers ask
// immediately before each effect, because support expires with time.
func (t *termState) acting() bool {
	term, ok := t.m.node.Acting(t.m.clock.Now())
	return ok && term == t.term && t.m.termState == t
}

// tick does the work that is due. It is called every tickInterval.
func (t *termState) tick(now time.Duration) {
	if !t.acting() {
		return
	}
	t.syncFromLog(now)
	t.syncVMs(now)
	t.applyLeaseActions(now, t.table.Step(now, lease.Tick{}))
	t.releaseBlocked(now)
	if now-t.shardsPlannedAt >= planInterval {
		t.shardsPlannedAt = now
		t.planShards(now)
		t.writeSnapshot()
	}
	t.planGroups(now)
	t.balanceDispatchers(now)
	t.publish(now)
	t.installAll(now)
	if t.isPartitioned() {
		t.m.applyActions(t.m.node.Step(now, authority.StepDown{Reason: "more servers answer only their dispatchers than answer the manager"}))
	}
}

// syncFromLog takes the configuration version, the document and the durable
// assignments from the replayed control log.
func (t *termState) syncFromLog(now time.Duration) {
	t.m.replica.View(func(st *control.State) {
		doc, version := st.Document()
		if config := st.ConfigVersion(); config != t.configVersion {
			t.configVersion, t.dirty = config, true
		}
		if version != t.docVersion {
			t.doc, t.docVersion = doc, version
			t.documentChanged(now)
		}
		t.adoptAssignments(now, st)
	})
}

// documentChanged updates the servers, routes and groups to the present
// document.
func (t *termState) documentChanged(now time.Duration) {
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
		t.servers[target.Name] = &serverState{target: target, lastAnswerAt: t.started}
		t.applyLeaseActions(now, t.table.Step(now, lease.ServerAdded{Server: target.Name, Service: target.Service}))
	}
	for name := range t.servers {
		if !wanted[name] {
			delete(t.servers, name)
			t.applyLeaseActions(now, t.table.Step(now, lease.ServerRemoved{Server: name}))
		}
	}
	for _, s := range t.doc.Services {
		if s.Ownership == inventory.OwnershipKey && len(t.routes[s.Name]) != s.Shards {
			t.routes[s.Name] = make([]shardmap.Route, s.Shards)
		}
	}
	t.groupPlans, t.groupNames = listGroupPlans(&t.doc), map[string]bool{}
	for _, p := range t.groupPlans {
		t.groupNames[p.name] = true
	}
	t.dirty = true
}
