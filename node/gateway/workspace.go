package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/rcrowley/go-metrics"
)

// Allowances limits how many requests of each workspace all VMs together run.
type Allowances interface {
	// Take takes one request from the allowance of a workspace with a limit. If there is no
	// room it returns no ticket and the time after which there should be.
	Take(ctx context.Context, workspace string) (t allowance.Ticket, retryAfter time.Duration)
	// Refund gives back what Take took for a request that was not run. The ticket tells
	// until when it may be used: later it would add to the requests of another window.
	Refund(workspace string, t allowance.Ticket)
}

// revocationShare is the share of Config.Revocation up to which a VM trusts the
// configuration that it knows. The rest covers clocks that run at different speeds.
const revocationShare = 0.9

// workspaceCheck identifies the workspaces of callers and counts the requests that are
// turned away for their sake.
type workspaceCheck struct {
	allowances                            Allowances
	trustedFor                            time.Duration // age up to which the configuration tells which keys work; 0 means any
	unknownKey, outOfTouch, overAllowance metrics.Counter
}

func newWorkspaceCheck(c Config) workspaceCheck {
	return workspaceCheck{
		allowances: c.Allowances, trustedFor: time.Duration(revocationShare * float64(c.Revocation)),
		unknownKey:    metrics.GetOrRegisterCounter("workspaces.unknown_key", c.Registry),
		outOfTouch:    metrics.GetOrRegisterCounter("workspaces.out_of_touch", c.Registry),
		overAllowance: metrics.GetOrRegisterCounter("workspaces.over_allowance", c.Registry),
	}
}

// identify finds the workspace of the caller and reports whether the request goes on.
// Otherwise it has answered it: a VM that may not know that a key was removed refuses all
// keys, and an unknown key is unauthorized.
func (q *request) identify(cfg *fleet.Config, table *fleet.Table, configAge time.Duration) bool {
	if len(cfg.Workspaces) == 0 {
		return true
	}
	q.Identified = true
	if q.route.Public {
		return true
	}
	check := &q.g.workspaces
	if check.trustedFor > 0 && configAge > check.trustedFor {
		check.outOfTouch.Inc(1)
		q.refuse("configuration-too-old", defaultRetryAfter)
		return false
	}
	w, ok := table.Workspace(q.APIKey)
	if !ok {
		check.unknownKey.Inc(1)
		q.reject(http.StatusUnauthorized, "the key belongs to no workspace")
		return false
	}
	q.Workspace = w.Name
	if w.HasPriority {
		q.priority = w.Priority
	}
	if w.Limited() {
		q.allowance = w.Name
	}
	return true
}

// takeAllowance takes the request from the allowance of its workspace and reports whether
// it goes on. Otherwise it has been answered.
func (q *request) takeAllowance() bool {
	check := &q.g.workspaces
	if check.allowances == nil || q.allowance == "" {
		return true
	}
	ticket, retryAfter := check.allowances.Take(q.waitCtx, q.allowance)
	if ticket != 0 {
		q.ticket = ticket
		return true
	}
	if q.waitCtx.Err() != nil {
		q.handleWaitEnd(q.waitCtx.Err())
		return false
	}
	check.overAllowance.Inc(1)
	q.refuseWith(http.StatusTooManyRequests, "over-allowance", retryAfter)
	return false
}

// refundAllowance gives back what the request took from the allowance of its workspace. It
// has an effect once.
func (q *request) refundAllowance() {
	if q.ticket != 0 {
		q.g.workspaces.allowances.Refund(q.allowance, q.ticket)
		q.ticket = 0
	}
}
