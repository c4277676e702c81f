// Package resolver finds the VM that dispatches a request, and resubmits the
// request to a new dispatcher until its outcome is known.
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
	// retryWait is the longest wait for a new map before a request is resubmitted under
	// the current one, because a dispatcher may become ready without a new map.
	retryWait = 25 * time.Millisecond
	// answerGrace is added to the timeout of a forwarded request, so that the
	// result that the dispatcher sends at the deadline still arrives.
	answerGrace = 50 * time.Millisecond
)

// Resolver submits requests to their dispatchers, on this VM or another one.
type Resolver struct {
	vm       string
	clock    *clock.Clock
	events   *timeline.Recorder
	maps     *mapstore.Store
	dispatch *dispatch.Service
	peers    *peer.Client

	local, forwarded, resubmitted metrics.Counter
}

// New returns the resolver of a VM.
func New(vm string, c *clock.Clock, events *timeline.Recorder, registry metrics.Registry) *Resolver {
	return &Resolver{
		vm: vm, clock: c, events: events,
		local:       metrics.GetOrRegisterCounter("resolver.local", registry),
		forwarded:   metrics.GetOrRegisterCounter("resolver.forwarded", registry),
		resubmitted: metrics.GetOrRegisterCounter("resolver.repeated", registry),
	}
}

// Name implements kernel.Module.
func (r *Resolver) Name() string { return Name }

// Provision implements kernel.Provisioner.
func (r *Resolver) Provision(k *kernel.Kernel) error {
	return k.Resolve(kernel.Into(&r.maps, mapstore.Name), kernel.Into(&r.dispatch, dispatch.Name), kernel.Into(&r.peers, peer.ClientName))
}

// Resolve runs a request until its outcome is known or its deadline passes. It
// never returns OutcomeMoved.
func (r *Resolver) Resolve(ctx context.Context, service inventory.Service, req *dispatch.Request) *dispatch.Result {
	deadline := r.clock.Now() + req.Remaining
	mayHaveRun := false
	for {
		changed := r.maps.Changed()
		if req.Remaining = deadline - r.clock.Now(); req.Remaining <= 0 || ctx.Err() != nil {
			return r.expired(mayHaveRun)
		}
		result, attemptMayHaveRun := r.submitOnce(ctx, service, req)
		mayHaveRun = mayHaveRun || attemptMayHaveRun
		if result != nil && result.Outcome != dispatch.OutcomeMoved {
			return r.correctRefusal(result, mayHaveRun, req)
		}
		if attemptMayHaveRun && !req.Read && req.IdempotencyKey == "" {
			return dispatch.Unknown(dispatch.ReasonOutcomeUnknown,
				"The dispatcher was lost while it had the write; without an Idempotency-Key it is not sent again.")
		}
		r.resubmitted.Inc(1)
		select {
		case <-changed:
		case <-time.After(min(retryWait, deadline-r.clock.Now())):
		case <-ctx.Done():
		}
	}
}

// expired returns the result of a request whose deadline passed or whose
// caller disconnected.
func (r *Resolver) expired(mayHaveRun bool) *dispatch.Result {
	if mayHaveRun {
		return dispatch.Unknown(dispatch.ReasonDeadlineRunning, "The deadline passed; a target may have run the request.")
	}
	return dispatch.NotRun(dispatch.ReasonUnavailable, "No target could be given the request before the deadline.")
}

// correctRefusal changes "not run" to "unknown" for a write that an earlier attempt may
// have run, because the refusal of the last attempt says nothing about that one.
func (r *Resolver) correctRefusal(result *dispatch.Result, mayHaveRun bool, req *dispatch.Request) *dispatch.Result {
	if result.Outcome != dispatch.OutcomeNotRun || !mayHaveRun || req.Read {
		return result
	}
	return dispatch.Unknown(dispatch.ReasonOutcomeUnknown, "An earlier attempt may have run; the last one was refused: "+result.Message)
}

// submitOnce submits the request to its current dispatcher. If there is no result,
// mayHaveRun reports whether the request may still have run.
func (r *Resolver) submitOnce(ctx context.Context, service inventory.Service, req *dispatch.Request) (result *dispatch.Result, mayHaveRun bool) {
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

// locate sets the request's shard and group and returns the group's map entry. It
// returns false if the map has no such shard or group.
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

// forward submits the request to the dispatcher at address. The results are
// those of submitOnce.
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
	var callErr *peer.CallError
	return nil, !errors.As(err, &callErr) || callErr.MayHaveRun
}

// cancelRemote cancels a request at the dispatcher at address within 1 s.
func (r *Resolver) cancelRemote(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.peers.Call(ctx, address, "Dispatch.Cancel", &dispatch.CancelArgs{ID: id}, &dispatch.Nothing{}) // if this fails, the dispatcher stops at the deadline
}
