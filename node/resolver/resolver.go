// Package resolver finds the dispatcher of a request and stays with the
// request until it has an end.
package resolver

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/dispatch"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Resolver.
const Name = "entry.resolver"

const (
	// retryWait is the longest wait for a new map before the present one is
	// tried again; a dispatcher may have become ready without a new map.
	retryWait = 25 * time.Millisecond
	// answerGrace lets the dispatcher's own answer at the deadline arrive.
	answerGrace = 50 * time.Millisecond
)

// Resolver is the module.
type Resolver struct {
	vm       string
	clock    *clock.Clock
	events   *timeline.Recorder
	maps     *mapstore.Store
	dispatch *dispatch.Service
	peers    *peer.Client

	local, forwarded, repeated metrics.Counter
}

// New returns the module for a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, registry metrics.Registry) *Resolver {
	return &Resolver{
		vm: vm, clock: c, events: events,
		local:     metrics.GetOrRegisterCounter("resolver.local", registry),
		forwarded: metrics.GetOrRegisterCounter("resolver.forwarded", registry),
		repeated:  metrics.GetOrRegisterCounter("resolver.repeated", registry),
	}
}

// Name implements kernel.Module.
func (r *Resolver) Name() string { return Name }

// Provision looks up the other modules.
func (r *Resolver) Provision(k *kernel.Kernel) error {
	return k.Resolve(kernel.Into(&r.maps, mapstore.Name), kernel.Into(&r.dispatch, dispatch.Name), kernel.Into(&r.peers, peer.ClientName))
}

// Resolve runs a request to its end: it never returns OutcomeMoved.
func (r *Resolver) Resolve(ctx context.Context, service inventory.Service, req *dispatch.Request) *dispatch.Result {
	deadline := r.clock.Now() + req.Remaining
	mayHaveRun := false
	for {
		changed := r.maps.Changed()
		if req.Remaining = deadline - r.clock.Now(); req.Remaining <= 0 || ctx.Err() != nil {
			return r.expired(mayHaveRun)
		}
		result, sent := r.try(ctx, service, req)
		mayHaveRun = mayHaveRun || sent
		if result != nil && result.Outcome != dispatch.OutcomeMoved {
			return r.merge(result, mayHaveRun, req)
		}
		if sent && !req.Read && req.IdempotencyKey == "" {
			return dispatch.Unknown(dispatch.ReasonOutcomeUnknown,
				"The dispatcher was lost while it had the write; without an Idempotency-Key it is not sent again.")
		}
		r.repeated.Inc(1)
		select {
		case <-changed:
		case <-time.After(min(retryWait, deadline-r.clock.Now())):
		case <-ctx.Done():
		}
	}
}

func (r *Resolver) expired(mayHaveRun bool) *dispatch.Result {
	if mayHaveRun {
		return dispatch.Unknown(dispatch.ReasonDeadlineRunning, "The deadline passed; a target may have run the request.")
	}
	return dispatch.NotRun(dispatch.ReasonUnavailable, "No target could be given the request before the deadline.")
}

// merge keeps a refusal true: when an earlier attempt through another
// dispatcher may have run, "not run" of the last attempt says too much.
func (r *Resolver) merge(result *dispatch.Result, mayHaveRun bool, req *dispatch.Request) *dispatch.Result {
	if result.Outcome != dispatch.OutcomeNotRun || !mayHaveRun || req.Read {
		return result
	}
	return dispatch.Unknown(dispatch.ReasonOutcomeUnknown, "An earlier attempt may have run; the last one was refused: "+result.Message)
}

// try gives the request to its dispatcher once. sent is true when the request
// may have run although there is no result.
func (r *Resolver) try(ctx context.Context, service inventory.Service, req *dispatch.Request) (result *dispatch.Result, sent bool) {
	m := r.maps.Current()
	if m == nil {
		return nil, false
	}
	group, ok := r.locate(m, service, req)
	if !ok || !group.Active {
		return nil, false
	}
	if group.Dispatcher == r.vm {
		r.local.Inc(1)
		return r.dispatch.Submit(ctx, req), false
	}
	r.forwarded.Inc(1)
	return r.forward(ctx, m.Peers[group.Dispatcher], req)
}

// locate sets the request's shard and group.
func (r *Resolver) locate(m *shardmap.Map, service inventory.Service, req *dispatch.Request) (shardmap.Group, bool) {
	owner := ""
	req.Shard = -1
	if service.Ownership == inventory.OwnershipKey {
		shard, route, ok := m.Lookup(service.Name, req.Key)
		if !ok {
			return shardmap.Group{}, false
		}
		req.Shard, owner = shard, route.Owner
	}
	req.Group = shardmap.GroupName(service, owner)
	g, ok := m.Groups[req.Group]
	return g, ok
}

func (r *Resolver) forward(ctx context.Context, address string, req *dispatch.Request) (*dispatch.Result, bool) {
	req.Stamp = r.events.Now()
	callCtx, cancel := context.WithTimeout(ctx, req.Remaining+answerGrace)
	defer cancel()
	var result dispatch.Result
	err := r.peers.Call(callCtx, address, "Dispatch.Submit", req, &result)
	if err == nil {
		return &result, false
	}
	if ctx.Err() != nil {
		r.cancelRemote(address, req.ID)
	}
	var call *peer.CallError
	return nil, !errors.As(err, &call) || call.MayHaveRun
}

func (r *Resolver) cancelRemote(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.peers.Call(ctx, address, "Dispatch.Cancel", &dispatch.CancelArgs{ID: id}, &dispatch.Nothing{}) // the deadline ends it anyway
}
