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

// serverState is what the manager knows of a target that owns shards.
type serverState struct {
	target   inventory.Target
	answered bool // in this term
	lost     bool
	lostAt   time.Duration // when it was found lost
	heardAt  time.Duration // last answer to a grant, or the start of the term
}

// blockedShard is a shard that a VM may still send to its old owner.
type blockedShard struct {
	server   string
	sequence uint64 // of the first map without the old route
}

// carryOut performs the actions of the lease table.
func (t *tenure) carryOut(now time.Duration, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Grant:
			t.grant(a)
		case lease.Granted:
			t.setRoute(a.Shard, shardmap.Route{Owner: a.Server, Fence: a.Fence})
			t.record("shard.granted", a.Shard, a.Server)
		case lease.Withdrawn:
			t.setRoute(a.Shard, shardmap.Route{})
			t.record("shard.withdrawn", a.Shard, a.Server)
			t.block(now, a)
		case lease.Lost:
			t.clearRoutes(a.Server)
			if s := t.servers[a.Server]; s != nil {
				s.lost, s.lostAt = true, now
			}
			t.m.events.Record(timeline.Event{Kind: "server.lost", Target: a.Server, Term: t.term})
			t.m.logger.Warn("server lost", "target", a.Server)
			t.plannedAt = 0
		case lease.Restarted:
			t.clearRoutes(a.Server)
			t.m.events.Record(timeline.Event{Kind: "server.restarted", Target: a.Server, Term: t.term})
		case lease.FenceStale:
			t.raiseFence(now, a)
		}
	}
}

func (t *tenure) record(kind string, s lease.Shard, server string) {
	index := s.Index
	t.m.events.Record(timeline.Event{Kind: kind, Service: s.Service, Shard: &index, Target: server, Term: t.term})
}

func (t *tenure) setRoute(s lease.Shard, r shardmap.Route) {
	routes := t.routes[s.Service]
	if s.Index < len(routes) && routes[s.Index] != r {
		routes[s.Index] = r
		t.dirty = true
	}
}

// clearRoutes withdraws every route to a server.
func (t *tenure) clearRoutes(server string) {
	for _, routes := range t.routes {
		for i, r := range routes {
			if r.Owner == server {
				routes[i] = shardmap.Route{}
				t.dirty = true
			}
		}
	}
}

// block holds a shard back from its next owner while a VM may still send to
// the old one, if the targets of the service do not check fences themselves.
func (t *tenure) block(now time.Duration, a lease.Withdrawn) {
	service, ok := t.doc.Service(a.Shard.Service)
	if !ok || service.ChecksFences {
		return
	}
	key := control.ShardKey{Service: a.Shard.Service, Shard: a.Shard.Index}
	t.blocked[key] = blockedShard{server: a.Server, sequence: t.sequence + 1}
	t.carryOut(now, t.table.Step(now, lease.Blocked{Shard: a.Shard, Blocked: true}))
}

// releaseBlocked frees shards that no VM can send to the old owner any more.
func (t *tenure) releaseBlocked(now time.Duration) {
	for key, b := range t.blocked {
		group := t.groups[key.Service+"/"+b.server]
		if group != nil && !t.released(now, group.entry.Dispatcher, b.sequence, func(v *vmState) bool { return v.busyShard(key) }) {
			continue
		}
		delete(t.blocked, key)
		shard := lease.Shard{Service: key.Service, Index: key.Shard}
		t.carryOut(now, t.table.Step(now, lease.Blocked{Shard: shard, Blocked: false}))
	}
}

// grant sends a grant; the answer comes back as an event.
func (t *tenure) grant(g lease.Grant) {
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
		t.m.post(func() { t.granted(target, g.Sequence, reply) })
	}()
}

func (t *tenure) granted(target inventory.Target, sequence uint64, r *targets.GrantReply) {
	s := t.servers[target.Name]
	if s == nil || t.m.tenure != t {
		return
	}
	if !r.Refused {
		if s.lost {
			t.m.events.Record(timeline.Event{Kind: "server.returned", Target: target.Name, Term: t.term})
			t.m.logger.Info("server answers again", "target", target.Name)
		}
		s.answered, s.lost = true, false
	}
	now := t.m.clock.Now()
	s.heardAt = now
	t.carryOut(now, t.table.Step(now, lease.Reply{
		Server: target.Name, Sequence: sequence, BootID: r.BootID, Clock: time.Duration(r.ClockMS) * time.Millisecond,
		Holds: holds(target.Service, r), Highest: highest(target.Service, r.HighestFence), Refused: r.Refused,
	}))
}

// holds lists what the server holds, and what still runs there.
func holds(service string, r *targets.GrantReply) []lease.Hold {
	out := make([]lease.Hold, len(r.Holds))
	for i, h := range r.Holds {
		out[i] = lease.Hold{Shard: lease.Shard{Service: service, Index: h.Shard}, Fence: h.Fence}
	}
	return out
}

func highest(service string, fences map[int]uint64) []lease.Hold {
	out := make([]lease.Hold, 0, len(fences))
	for shard, fence := range fences {
		out = append(out, lease.Hold{Shard: lease.Shard{Service: service, Index: shard}, Fence: fence})
	}
	return out
}

// dispatchEpoch returns the epoch below which a target refuses requests.
func (t *tenure) dispatchEpoch(target inventory.Target) uint64 {
	if g := t.groups[target.Service+"/"+target.Name]; g != nil && g.entry.Active {
		return g.entry.Epoch
	}
	return 0
}
