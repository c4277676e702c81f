package manager

import (
	"context"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/lease"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	appendTimeout   = 3 * time.Second
	snapshotTimeout = 20 * time.Second
	// logTimeout is how long a shard of a lost server waits until the log records an
	// owner that is not one of its standbys; then a standby takes it. The failover
	// limit of 4 s (docs/design.md, section 5) leaves 0.9 s to spare if the first
	// campaign of an election succeeds.
	logTimeout = 200 * time.Millisecond
	// maxShardsPerRecord keeps records well under control.MaxRecordBytes.
	maxShardsPerRecord = 4096
)

// adoptAssignments makes logged assignments effective once more than half of
// the members have replayed them. Every later manager then knows the owners,
// because a node supports no candidate that has replayed less than itself. The
// first assignments of a term are adopted without this check.
func (t *termState) adoptAssignments(now time.Duration, st *control.State) {
	version := st.AssignVersion()
	if version == t.adoptedVersion || (t.adoptedVersion > 0 && !t.majority(func(v *vmState) bool { return v.report.AssignVersion >= version })) {
		return
	}
	all, _ := st.Assignments()
	var changed []lease.Assignment
	for _, a := range all {
		key := control.ShardKey{Service: a.Service, Shard: a.Shard}
		have, known := t.assigned[key]
		if known && have.Fence > a.Fence {
			continue // a promotion or a raised fencing token is not logged yet
		}
		if known && have.Fence == a.Fence && have.Owner == a.Owner && slices.Equal(have.Standbys, a.Standbys) {
			continue
		}
		t.setAssigned(key, a)
		changed = append(changed, leaseAssignment(a))
	}
	t.adoptedVersion = version
	t.applyLeaseActions(now, t.table.Step(now, lease.Assigned{Assignments: changed}))
	t.m.events.Record(timeline.Event{Kind: "assignments.adopted", Term: t.term})
}

// leaseAssignment converts an assignment for the lease table.
func leaseAssignment(a control.ShardAssignment) lease.Assignment {
	return lease.Assignment{
		Shard: lease.Shard{Service: a.Service, Index: a.Shard}, Owner: a.Owner, Standbys: a.Standbys, Fence: a.Fence,
	}
}

// planShards computes the placement of shards and appends the assignments that
// the log lacks. Before the first map of the deployment, it then appends the
// record that a map may be in use. Standbys of lost servers are promoted before
// the change is logged; all other changes take effect only after that.
func (t *termState) planShards(now time.Duration) {
	if t.docVersion == 0 {
		return
	}
	var record []control.ShardAssignment
	var baseVersion uint64
	var markPublished bool
	t.m.replica.View(func(st *control.State) {
		baseVersion = st.AssignVersion()
		markPublished = t.baseMap == nil && t.ready() && !st.Published()
		in := t.currentPlanInputs(now, st)
		if t.planIsCurrent(in, markPublished) {
			return
		}
		defer func() { in.logged, t.lastPlan = len(record) == 0, in }()
		for _, s := range t.doc.Services {
			if s.Ownership == inventory.OwnershipKey {
				record = append(record, t.planService(now, st, s, in.servers[s.Name])...)
			}
		}
	})
	if len(record) == 0 && !markPublished {
		return
	}
	t.appendAssignments(baseVersion, record[:min(len(record), maxShardsPerRecord)], markPublished && len(record) == 0)
}

// writeSnapshot starts writing a snapshot of the control log when one is due.
func (t *termState) writeSnapshot() {
	if t.snapshotting || !t.opened || !t.m.replica.SnapshotDue() {
		return
	}
	t.snapshotting = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, snapshotTimeout)
		defer cancel()
		err := t.m.replica.WriteSnapshot(ctx)
		t.m.post(func() {
			t.snapshotting = false
			if err == nil {
				t.m.events.Record(timeline.Event{Kind: "snapshot.written", Term: t.term})
			}
		})
	}()
}

// planService computes the placement of a service and returns the assignments
// that the log lacks. Until loadWarmup has passed, it moves no shard unless the
// configuration has changed in this term or an owner is unavailable.
func (t *termState) planService(now time.Duration, st *control.State, s inventory.Service, servers []placement.Server) []control.ShardAssignment {
	shards := make([]placement.Shard, s.Shards)
	for i := range shards {
		a := t.newestAssignment(st, control.ShardKey{Service: s.Name, Shard: i})
		shards[i] = placement.Shard{Owner: a.Owner, Standbys: a.Standbys}
	}
	if now-t.started >= loadWarmup {
		t.setLoads(now, s.Name, shards)
	} else if t.configVersion == t.firstConfigVersion && allOwnersAvailable(shards, servers) {
		return t.unloggedAssignments(now, st, s, servers, shards)
	}
	next := placement.Assign(s.Name, servers, shards)
	return t.unloggedAssignments(now, st, s, servers, t.rebalanceByLoad(now, s.Name, servers, next))
}

func allOwnersAvailable(shards []placement.Shard, servers []placement.Server) bool {
	available := map[string]bool{}
	for _, s := range servers {
		available[s.Name] = s.Available
	}
	return !slices.ContainsFunc(shards, func(s placement.Shard) bool { return !available[s.Owner] })
}

// newestAssignment returns the assignment of a shard with the higher fencing
// token: the adopted one, which may not be logged yet, or the logged one, which
// may not be adopted yet.
func (t *termState) newestAssignment(st *control.State, key control.ShardKey) control.ShardAssignment {
	have := t.assigned[key]
	if durable, ok := st.Assignment(key); ok && durable.Fence > have.Fence {
		return durable
	}
	return have
}

// unloggedAssignments returns the assignments of a placement that the log lacks.
// It promotes standbys of lost owners; see decideAssignment.
func (t *termState) unloggedAssignments(now time.Duration, st *control.State, s inventory.Service, servers []placement.Server, next []placement.Shard) []control.ShardAssignment {
	var record []control.ShardAssignment
	for i, want := range next {
		key := control.ShardKey{Service: s.Name, Shard: i}
		durable, logged := st.Assignment(key)
		a := t.decideAssignment(now, key, durable, t.fallBackToStandby(now, key, durable, want, servers))
		if a.Owner == "" {
			continue
		}
		if !logged || a.Fence != durable.Fence || a.Owner != durable.Owner || !slices.Equal(a.Standbys, durable.Standbys) {
			record = append(record, a)
		}
	}
	return record
}

// fallBackToStandby returns want unless the shard's owner is lost and the log
// does not answer. A new owner that is not a logged standby must be logged first.
// If that takes logTimeout, or the log lacks even the Term record of this term,
// an available logged standby becomes the owner. It may get more than its share
// of the shards until the log answers again.
func (t *termState) fallBackToStandby(now time.Duration, key control.ShardKey, durable control.ShardAssignment, want placement.Shard, servers []placement.Server) placement.Shard {
	have := t.assigned[key]
	s := t.servers[have.Owner]
	if s == nil || !s.lost || durable.Fence > have.Fence || slices.Contains(durable.Standbys, want.Owner) || t.opened && now-s.lostAt < logTimeout {
		return want
	}
	for _, standby := range durable.Standbys {
		if slices.ContainsFunc(servers, func(v placement.Server) bool { return v.Name == standby && v.Available }) {
			others := slices.DeleteFunc(slices.Clone(want.Standbys), func(name string) bool { return name == standby })
			return placement.Shard{Owner: standby, Standbys: others}
		}
	}
	return want
}

// decideAssignment returns the assignment that the log should have for a shard.
// A logged standby of a lost owner is promoted at once, provisionally until that
// is logged, with the next fencing token of the block that the logged assignment
// reserves. Any other new owner gets the first token of a new block.
func (t *termState) decideAssignment(now time.Duration, key control.ShardKey, durable control.ShardAssignment, want placement.Shard) control.ShardAssignment {
	have := t.assigned[key]
	if durable.Fence > have.Fence {
		have = durable // logged, but not adopted yet
	}
	a := control.ShardAssignment{Service: key.Service, Shard: key.Shard, Owner: want.Owner, Standbys: want.Standbys, Fence: have.Fence}
	if want.Owner == have.Owner {
		return a
	}
	highest := max(have.Fence, durable.Fence, t.table.HighestFence(lease.Shard{Service: key.Service, Index: key.Shard}))
	if s := t.servers[have.Owner]; s != nil && s.lost && slices.Contains(durable.Standbys, want.Owner) {
		a.Fence = highest + 1
		t.setAssigned(key, a)
		t.applyLeaseActions(now, t.table.Step(now, lease.Assigned{Assignments: []lease.Assignment{leaseAssignment(a)}}))
		index := key.Shard
		t.m.events.Record(timeline.Event{Kind: "shard.promoted_provisionally", Service: key.Service, Shard: &index, Target: a.Owner, Term: t.term})
		return a
	}
	a.Fence = (highest/control.FenceBlock + 1) * control.FenceBlock
	return a
}

// raiseFence gives a shard a fencing token above the highest one known. Until
// then the lease table does not grant the shard.
func (t *termState) raiseFence(now time.Duration, f lease.FenceStale) {
	key := control.ShardKey{Service: f.Shard.Service, Shard: f.Shard.Index}
	a, ok := t.assigned[key]
	if !ok || a.Fence > f.Highest {
		return
	}
	a.Fence = f.Highest + 1
	t.setAssigned(key, a)
	t.applyLeaseActions(now, t.table.Step(now, lease.Assigned{Assignments: []lease.Assignment{leaseAssignment(a)}}))
}

// appendAssignments appends an assignment record unless an append is in
// progress. A record takes effect when the replay of the log delivers it, so an
// append with an unknown result needs no special handling.
func (t *termState) appendAssignments(baseVersion uint64, shards []control.ShardAssignment, published bool) {
	if t.appending || !t.opened {
		return
	}
	t.appending = true
	rec := control.Record{Assign: &control.AssignmentChange{Term: t.term, Base: baseVersion, Shards: shards, Published: published}}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, appendTimeout)
		defer cancel()
		verdict, err := t.m.replica.Append(ctx, rec)
		t.m.post(func() {
			t.appending = false
			if err != nil || !verdict.Accepted {
				return // the next plan appends what is still missing
			}
			t.m.metrics.records.Inc(1)
			t.m.events.Record(timeline.Event{Kind: "assignments.durable", Term: t.term})
		})
	}()
}
