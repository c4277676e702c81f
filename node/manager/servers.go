package manager

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/lease"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/targets"
	"github.com/mangogate/mangogate/node/timeline"
)

const grantTimeout = 400 * time.Millisecond

// serverState is what the manager knows about a target that can own shards.
type serverState struct {
	target       inventory.Target
	answered     bool // has accepted a grant of this term
	lost         bool
	lostAt       time.Duration // when the lease table declared it lost
	lastAnswerAt time.Duration // last answer to a grant, or the start of the term
}

// blockedShard is a shard for which a VM may still send requests to the old
// owner.
type blockedShard struct {
	server   string
	sequence uint64 // of the first map without the route to server
}

// applyLeaseActions carries out the actions of the lease table.
func (t *termState) applyLeaseActions(now time.Duration, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Grant:
			t.grant(a)
		case lease.Granted:
			t.setRoute(a.Shard, shardmap.Route{Owner: a.Server, Fence: a.Fence})
			t.recordShardEvent("shard.granted", a.Shard, a.Server)
		case lease.Withdrawn:
			t.setRoute(a.Shard, shardmap.Route{})
			t.recordShardEvent("shard.withdrawn", a.Shard, a.Server)
			t.block(now, a)
		case lease.Lost:
			t.clearRoutes(a.Server)
			if s := t.servers[a.Server]; s != nil {
				s.lost, s.lostAt = true, now
			}
			t.m.events.Record(timeline.Event{Kind: "server.lost", Target: a.Server, Term: t.term})
			t.m.logger.Warn("server did not answer grants until its lease ended; its shards are reassigned", "target", a.Server)
			t.shardsPlannedAt = 0
		case lease.Restarted:
			t.clearRoutes(a.Server)
			t.m.events.Record(timeline.Event{Kind: "server.restarted", Target: a.Server, Term: t.term})
		case lease.FenceStale:
			t.raiseFence(now, a)
		}
	}
}

func (t *termState) recordShardEvent(kind string, s lease.Shard, server string) {
	index := s.Index
	t.m.events.Record(timeline.Event{Kind: kind, Service: s.Service, Shard: &index, Target: server, Term: t.term})
}

// setRoute changes the route of a shard in the next map.
func (t *termState) setRoute(s lease.Shard, r shardmap.Route) {
	routes := t.routes[s.Service]
	if s.Index < len(routes) && routes[s.Index] != r {
		routes[s.Index] = r
		t.dirty = true
	}
}

// clearRoutes removes every route to a server from the next map.
func (t *termState) clearRoutes(server string) {
	for _, routes := range t.routes {
		for i, r := range routes {
			if r.Owner == server {
				routes[i] = shardmap.Route{}
				t.dirty = true
			}
		}
	}
}

// block keeps the lease table from granting a withdrawn shard to its next owner
// while a VM may still send requests to the old one. It does nothing for
// services whose targets check fencing tokens themselves.
func (t *termState) block(now time.Duration, a lease.Withdrawn) {
	service, ok := t.doc.Service(a.Shard.Service)
	if !ok || service.ChecksFences {
		return
	}
	key := control.ShardKey{Service: a.Shard.Service, Shard: a.Shard.Index}
	t.blocked[key] = blockedShard{server: a.Server, sequence: t.sequence + 1}
	t.applyLeaseActions(now, t.table.Step(now, lease.Blocked{Shard: a.Shard, Blocked: true}))
}

// releaseBlocked unblocks the shards for which the dispatcher of the old owner's
// group can send no more requests, and those whose old owner has no group left.
func (t *termState) releaseBlocked(now time.Duration) {
	for key, b := range t.blocked {
		group := t.groups[key.Service+"/"+b.server]
		if group != nil && !t.stoppedSending(now, group.entry.Dispatcher, b.sequence, func(v *vmState) bool { return v.busyShard(key) }) {
			continue
		}
		delete(t.blocked, key)
		shard := lease.Shard{Service: key.Service, Index: key.Shard}
		t.applyLeaseActions(now, t.table.Step(now, lease.Blocked{Shard: shard, Blocked: false}))
	}
}

// grant sends a grant in the background if this VM is still the manager; the
// reply is handled on the event loop.
func (t *termState) grant(g lease.Grant) {
	s := t.servers[g.Server]
	if s == nil || !t.acting() {
		return
	}
	req := targets.GrantRequest{
		Term: t.term, Sequence: g.Sequence, EchoMS: g.Echo.Milliseconds(), LeaseMS: g.Duration.Milliseconds(),
		BootID: g.BootID, DispatchEpoch: t.dispatchEpoch(s.target), Shards: []targets.ShardFence{},
	}
	for _, h := range g.Shards {
		req.Shards = append(req.Shards, targets.ShardFence{Shard: h.Shard.Index, Fence: h.Fence})
	}
	t.m.metrics.grants.Inc(1)
	target := s.target
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, grantTimeout)
		defer cancel()
		reply, err := t.m.targets.Grant(ctx, target.Name, target.Address, req)
		if err != nil {
			t.m.metrics.grantErrors.Inc(1)
			return
		}
		t.m.post(func() { t.handleGrantReply(target, g.Sequence, reply) })
	}()
}

func (t *termState) handleGrantReply(target inventory.Target, sequence uint64, r *targets.GrantReply) {
	s := t.servers[target.Name]
	if s == nil || t.m.termState != t {
		return
	}
	if !r.Refused {
		if s.lost {
			t.m.events.Record(timeline.Event{Kind: "server.returned", Target: target.Name, Term: t.term})
			t.m.logger.Info("lost server answers grants again", "target", target.Name)
		}
		s.answered, s.lost = true, false
	}
	now := t.m.clock.Now()
	s.lastAnswerAt = now
	t.applyLeaseActions(now, t.table.Step(now, lease.Reply{
		Server: target.Name, Sequence: sequence, BootID: r.BootID, Clock: time.Duration(r.ClockMS) * time.Millisecond,
		Holds: holds(target.Service, r), Highest: highestFences(target.Service, r.HighestFence), Refused: r.Refused,
	}))
}

// holds returns the shards that the server still holds, including those with
// requests in progress.
func holds(service string, r *targets.GrantReply) []lease.Hold {
	out := make([]lease.Hold, len(r.Holds))
	for i, h := range r.Holds {
		out[i] = lease.Hold{Shard: lease.Shard{Service: service, Index: h.Shard}, Fence: h.Fence}
	}
	return out
}

// highestFences converts the highest fencing tokens, by shard, that a server
// reports.
func highestFences(service string, fences map[int]uint64) []lease.Hold {
	out := make([]lease.Hold, 0, len(fences))
	for shard, fence := range fences {
		out = append(out, lease.Hold{Shard: lease.Shard{Service: service, Index: shard}, Fence: fence})
	}
	return out
}

// dispatchEpoch returns the epoch below which a target has to refuse requests;
// 0 while its group is not active.
func (t *termState) dispatchEpoch(target inventory.Target) uint64 {
	if g := t.groups[target.Service+"/"+target.Name]; g != nil && g.entry.Active {
		return g.entry.Epoch
	}
	return 0
}
