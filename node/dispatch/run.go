package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/retry"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/ledger"
	"github.com/mangogate/mangogate/node/targets"
	"github.com/pkg/errors"
)

// Submit runs a request of a group that this VM dispatches, until its result is
// known or req.Remaining has passed. The outcome is OutcomeMoved if this VM does
// not dispatch the request.
func (s *Service) Submit(ctx context.Context, req *Request) *Result {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	s.mu.Lock()
	s.cancels[req.ID] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.cancels, req.ID)
		s.mu.Unlock()
	}()
	result := s.submit(ctx, req)
	s.countOutcome(result)
	return result
}

func (s *Service) countOutcome(r *Result) {
	switch r.Outcome {
	case OutcomeNotRun:
		s.counters.notRun.Inc(1)
	case OutcomeUnknown:
		s.counters.unknown.Inc(1)
	case OutcomeMoved:
		s.counters.moved.Inc(1)
	}
}

func (s *Service) submit(ctx context.Context, req *Request) *Result {
	if _, _, ok := s.route(req); !ok {
		return moved()
	}
	if req.Read || req.IdempotencyKey == "" {
		return s.run(ctx, req)
	}
	args := ledger.BeginArgs{
		Group: shardmap.WriteIntentGroup(req.Service), Key: ledgerKey(req), Fingerprint: fingerprint(req),
		Attempt: s.nextLedgerAttempt(), Remaining: req.Remaining,
	}
	begin := s.ledger.Begin(ctx, args)
	if begin.Decision != ledger.Run {
		return refusedByLedger(begin)
	}
	result := s.run(ctx, req)
	finish := finishArgs(args, result)
	finish.Keeper = begin.Keeper
	s.ledger.Finish(finish)
	return result
}

// nextLedgerAttempt returns an id for one ledger Begin that is unique over all
// VMs and process starts. The request id is not enough: the entry VM resubmits a
// request under the same id, and a delayed Finish of the first attempt must not
// end the second one.
func (s *Service) nextLedgerAttempt() string {
	return s.vm + "-" + s.startID + "-" + strconv.FormatUint(s.ledgerAttempts.Add(1), 36)
}

func refusedByLedger(r ledger.BeginReply) *Result {
	switch r.Decision {
	case ledger.Replay:
		return &Result{Outcome: OutcomeRun, Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
	case ledger.AnswerNotKept:
		return Unknown(ReasonAnswerNotKept, "The write ran before; its answer was too large to keep.")
	case ledger.Mismatch:
		return NotRun(ReasonKeyReused, "The Idempotency-Key belongs to another request.")
	case ledger.Full:
		return NotRun(ReasonLedgerFull, "Too many writes are being remembered; try again later.")
	case ledger.NotDispatcher:
		return moved()
	case ledger.NotRecorded:
		return NotRun(ReasonDeadline, "The write could not be recorded before the deadline.")
	}
	return Unknown(ReasonOutcomeUnknown, "An earlier attempt of this write may have run; it is not run again.")
}

func finishArgs(begin ledger.BeginArgs, r *Result) ledger.FinishArgs {
	f := ledger.FinishArgs{Group: begin.Group, Key: begin.Key, Attempt: begin.Attempt}
	switch r.Outcome {
	case OutcomeRun:
		f.Outcome = ledger.OutcomeDone
		f.Answer = &dedupe.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
	case OutcomeUnknown:
		f.Outcome = ledger.OutcomeUnknown
	default:
		f.Outcome = ledger.OutcomeNotRun
	}
	return f
}

// route returns the map entry of the request's group and the route of its shard.
// It returns false unless this VM may dispatch the request now.
func (s *Service) route(req *Request) (shardmap.Group, shardmap.Route, bool) {
	m := s.maps.Current()
	if m == nil || !s.maps.LeaseValid() {
		return shardmap.Group{}, shardmap.Route{}, false
	}
	entry, ok := m.Groups[req.Group]
	if !ok || !entry.DispatchedBy(s.vm, s.maps.BootID()) {
		return entry, shardmap.Route{}, false
	}
	if req.Shard < 0 {
		return entry, shardmap.Route{}, true
	}
	routes := m.Shards[req.Service]
	if req.Shard >= len(routes) || req.Group != req.Service+"/"+routes[req.Shard].Owner {
		return entry, shardmap.Route{}, false
	}
	return entry, routes[req.Shard], true
}

func (s *Service) routed(req *Request) bool {
	_, _, ok := s.route(req)
	return ok
}

// retryState is kept over the attempts of a request.
type retryState struct {
	deadline time.Duration // clock reading
	retries  int           // number of earlier attempts
	avoid    string        // target that refused or failed the last attempt
	refusal  string        // reason that the last refusing target gave
}

// run sends the request, with retries, until its outcome is known.
func (s *Service) run(ctx context.Context, req *Request) *Result {
	p := &retryState{deadline: s.clock.Now() + req.Remaining}
	s.countFirstAttempt(req)
	for {
		if _, _, ok := s.route(req); !ok {
			return moved()
		}
		result, retryable := s.attempt(ctx, req, p)
		if !retryable {
			return result
		}
		p.retries++
		s.counters.retried.Inc(1)
		if !s.waitBeforeRetry(ctx, p) {
			return deadlinePassed(req, p)
		}
	}
}

func deadlinePassed(_ *Request, p *retryState) *Result {
	if p.refusal != "" {
		return NotRun(ReasonTargetRefused, "The target refused the request as not run: "+p.refusal+".")
	}
	return NotRun(ReasonDeadline, "The deadline passed before the request was run.")
}

// attempt waits for a slot and sends the request once. If retryable is true, the
// caller tries again and result is nil.
func (s *Service) attempt(ctx context.Context, req *Request, p *retryState) (result *Result, retryable bool) {
	exclusive, refused := s.checkQuarantine(req)
	if refused {
		return NotRun(ReasonQuarantined, "The request made targets crash and is refused for now."), false
	}
	if exclusive {
		if !s.acquireExclusiveRun(fingerprint(req)) {
			return nil, true
		}
		defer s.releaseExclusiveRun(fingerprint(req))
	}
	s.mu.Lock()
	g := s.groups[req.Group]
	s.mu.Unlock()
	if g == nil {
		return moved(), false
	}
	queued := time.Now()
	acquired, reason := g.admit(ctx, req, p.deadline, exclusive, p.avoid)
	s.counters.queueTime.UpdateSince(queued)
	switch reason {
	case admission.ReasonQueueFull:
		return NotRun(ReasonQueueFull, "Too many requests wait for this target."), false
	case admission.ReasonDeadline:
		return deadlinePassed(req, p), false
	case reasonMoved:
		return moved(), false
	}
	// The request may have become a crash suspect, or been cleared or refused as
	// one, while it waited.
	if nowExclusive, nowRefused := s.checkQuarantine(req); nowRefused || nowExclusive != exclusive {
		g.finish(acquired.id, admission.ResultCancelled, 0)
		return nil, true
	}
	acquired.exclusive = exclusive
	result, retryable = s.send(ctx, req, p, g, acquired)
	if exclusive && result != nil && result.Outcome == OutcomeRun {
		s.clearSuspicion(req)
	}
	return result, retryable
}

// send sends the request to the target of the acquired slot and releases the
// slot. If the second result is true, the caller tries again.
func (s *Service) send(ctx context.Context, req *Request, p *retryState, g *group, acquired slot) (*Result, bool) {
	entry, route, ok := s.route(req)
	target, found := s.target(acquired.target)
	if !ok || !found {
		g.finish(acquired.id, admission.ResultCancelled, 0)
		return moved(), false
	}
	start := s.clock.Now()
	attemptCtx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	sent := running{target: target.Name, shard: req.Shard, fence: route.Fence, fingerprint: fingerprint(req), sentAt: start, exclusive: acquired.exclusive}
	if req.Read {
		sent.cancelRead = func() { cancelAttempt(errSilentConnection{}) }
	}
	g.recordSent(acquired.id, sent)
	s.counters.sent.Inc(1)
	if req.Shard >= 0 {
		s.loads.add(control.ShardKey{Service: req.Service, Shard: req.Shard})
	}
	answer, err := s.targets.Do(attemptCtx, targets.Request{
		ID: attemptID(req, p), Target: target.Name, Address: target.Address,
		Connections: connectionLimit(target), Method: req.Method, URI: req.URI, Header: req.Header, Body: req.Body, Read: req.Read,
		IdempotencyKey: req.IdempotencyKey, Shard: req.Shard, Fence: route.Fence, Epoch: entry.Epoch,
		Timeout: s.attemptTimeout(req, p), BeforeSend: s.routeCheck(req, entry, route),
	})
	took := s.clock.Now() - start
	if err != nil {
		return s.handleSendError(ctx, req, p, g, acquired, target, took, err)
	}
	if answer.NotRun != "" {
		g.finish(acquired.id, refusedResult(answer.NotRun), took)
		p.avoid, p.refusal = target.Name, answer.NotRun
		return nil, true
	}
	g.finish(acquired.id, admission.ResultDone, took)
	s.counters.serviceTime.Update(took)
	return &Result{Outcome: OutcomeRun, Status: answer.Status, Header: answer.Header, Body: answer.Body}, false
}

func refusedResult(notRun string) admission.Result {
	if notRun == "shed" {
		return admission.ResultShed
	}
	return admission.ResultRefused
}

// routeCheck returns the check that runs immediately before the first byte is
// written: this VM must still dispatch the request, with the epoch and the route
// under which the request was prepared.
func (s *Service) routeCheck(req *Request, entry shardmap.Group, route shardmap.Route) func() error {
	return func() error {
		currentGroup, currentRoute, ok := s.route(req)
		if !ok || currentGroup.Epoch != entry.Epoch || currentRoute != route {
			s.counters.gated.Inc(1)
			return errors.New("the route changed")
		}
		return nil
	}
}

// connectionLimit returns how many connections this VM may open to a target: one
// third of the target's limit, because the target also counts connections that
// this VM has already closed and those of the previous or next dispatcher, but at
// least one per slot.
func connectionLimit(t inventory.Target) int { return max(t.Slots, t.Connections/3) }

func (s *Service) target(name string) (inventory.Target, bool) {
	var t inventory.Target
	var ok bool
	s.viewDocument(func(doc *inventory.Document) { t, ok = doc.Target(name) })
	return t, ok
}

// handleSendError releases the slot of an attempt without an answer, checks
// whether the target crashed and decides whether to retry.
func (s *Service) handleSendError(ctx context.Context, req *Request, p *retryState, g *group, acquired slot, t inventory.Target, took time.Duration, err error) (*Result, bool) {
	var sendErr *targets.SendError
	if !errors.As(err, &sendErr) {
		sendErr = &targets.SendError{Step: "send", Target: t.Name, Written: true, Err: err}
	}
	s.targets.CloseIdle(t.Address)
	if sendErr.Written && !sendErr.Timeout() && ctx.Err() == nil {
		s.checkForCrash(g, t)
	}
	if req.Read && sendErr.Written && (sendErr.Timeout() || ctx.Err() != nil) {
		s.cancelAtTarget(t, attemptID(req, p))
	}
	g.finish(acquired.id, failedResult(ctx, sendErr), took)
	p.avoid = t.Name
	if !sendErr.Written && ctx.Err() == nil {
		s.observe(g, t)
	}
	return s.classify(ctx, req, p, sendErr)
}

// attemptID returns the id under which an attempt is sent to a target.
func attemptID(req *Request, p *retryState) string { return fmt.Sprintf("%s-%d", req.ID, p.retries) }

// cancelAtTarget asks a target to stop an abandoned read. Otherwise the read
// would occupy one of the target's slots in addition to the next request.
func (s *Service) cancelAtTarget(t inventory.Target, id string) {
	s.counters.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
		defer cancel()
		_ = s.targets.Cancel(ctx, t.Name, t.Address, id) // if this fails, the target stops at the attempt's timeout
	}()
}

// classify decides whether a failed attempt is retried, and returns the result
// if not.
func (s *Service) classify(ctx context.Context, req *Request, p *retryState, sendErr *targets.SendError) (*Result, bool) {
	attempt := retry.Attempt{
		Read: req.Read, Written: sendErr.Written, Incomplete: true, Timeout: sendErr.Timeout(),
		Remaining: p.deadline - s.clock.Now(), Needed: retryDelay,
	}
	verdict := retry.Classify(attempt)
	if ctx.Err() != nil || (verdict == retry.Retry && sendErr.Written && !s.takeRetryToken()) {
		verdict = attempt.WithoutRetry()
	}
	switch {
	case verdict == retry.Retry:
		return nil, true
	case verdict == retry.AnswerNotRun:
		return deadlinePassed(req, p), false
	case ctx.Err() != nil:
		return Unknown(ReasonDeadlineRunning, "The deadline passed while the request was running."), false
	}
	return Unknown(ReasonOutcomeUnknown, "The target failed while it had the request: "+sendErr.Error()), false
}

func failedResult(ctx context.Context, e *targets.SendError) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return admission.ResultCancelled
	case e.Timeout():
		return admission.ResultTimeout
	}
	return admission.ResultFailed
}

const (
	// minReadTimeout is the least timeout of one attempt of a read, unless the
	// deadline is closer, so that a slow but healthy target can answer.
	minReadTimeout = 250 * time.Millisecond
	// The wait before the first retry is twice retryDelay. It doubles with each
	// further retry, up to maxRetryDelay.
	retryDelay    = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
)

// attemptTimeout returns the timeout of one attempt. A write gets all the time
// that remains. A read may be retried and gets half of it, but at least
// minReadTimeout, so that a silent connection does not use up the time until the
// deadline.
func (s *Service) attemptTimeout(req *Request, p *retryState) time.Duration {
	remaining := max(p.deadline-s.clock.Now(), time.Millisecond)
	if !req.Read {
		return remaining
	}
	return min(remaining, max(minReadTimeout, remaining/2))
}

// waitBeforeRetry returns false if ctx ends before the wait does.
func (s *Service) waitBeforeRetry(ctx context.Context, p *retryState) bool {
	wait := min(retryDelay<<min(p.retries, 8), maxRetryDelay)
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
