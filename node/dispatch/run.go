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

// Submit runs a request that belongs to a group of this VM. The result is
// OutcomeMoved when another VM has to run it.
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
	s.count(result)
	return result
}

func (s *Service) count(r *Result) {
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
		Group: shardmap.LedgerGroup(req.Service), Key: ledgerKey(req), Fingerprint: fingerprint(req),
		Attempt: s.attemptID(), Remaining: req.Remaining,
	}
	begun := s.ledger.Begin(ctx, args)
	if begun.Decision != ledger.Run {
		return refusedByLedger(begun)
	}
	result := s.run(ctx, req)
	end := finishArgs(args, result)
	end.Keeper = begun.Keeper
	s.ledger.Finish(end)
	return result
}

// attemptID is new for each Begin, over all VMs and process starts. The entry
// submits a request again under its own id; a late message that ends the first
// attempt must not end the second.
func (s *Service) attemptID() string {
	return s.vm + "-" + s.boot + "-" + strconv.FormatUint(s.attempts.Add(1), 36)
}

func refusedByLedger(r ledger.BeginReply) *Result {
	switch r.Decision {
	case ledger.Replay:
		return &Result{Outcome: OutcomeRun, Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
	case ledger.Ran:
		return Unknown(ReasonAnswerNotKept, "The write ran before; its answer was too large to keep.")
	case ledger.Mismatch:
		return NotRun(ReasonKeyReused, "The Idempotency-Key belongs to another request.")
	case ledger.Full:
		return NotRun(ReasonLedgerFull, "Too many writes are being remembered; try again later.")
	case ledger.Moved:
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

// route returns the group's map entry and the route of the request's shard,
// and false unless this VM may dispatch it now.
func (s *Service) route(req *Request) (shardmap.Group, shardmap.Route, bool) {
	m := s.maps.Current()
	if m == nil || !s.maps.Permitted() {
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

// progress is what is known of a request over its attempts.
type progress struct {
	deadline time.Duration
	attempts int
	avoid    string
	refusal  string // why targets refused it
}

// run sends the request until it has an end. OutcomeMoved and OutcomeNotRun
// mean that no attempt was run.
func (s *Service) run(ctx context.Context, req *Request) *Result {
	p := &progress{deadline: s.clock.Now() + req.Remaining}
	s.requested(req)
	for {
		if _, _, ok := s.route(req); !ok {
			return moved()
		}
		result, again := s.attempt(ctx, req, p)
		if !again {
			return result
		}
		p.attempts++
		s.counters.retried.Inc(1)
		if !s.pause(ctx, p) {
			return deadlinePassed(req, p)
		}
	}
}

func deadlinePassed(_ *Request, p *progress) *Result {
	if p.refusal != "" {
		return NotRun(ReasonTargetRefused, "The target refused the request as not run: "+p.refusal+".")
	}
	return NotRun(ReasonDeadline, "The deadline passed before the request was run.")
}

// attempt waits for a slot and sends the request once.
func (s *Service) attempt(ctx context.Context, req *Request, p *progress) (result *Result, again bool) {
	alone, refused := s.checkQuarantine(req)
	if refused {
		return NotRun(ReasonQuarantined, "The request made targets crash and is refused for now."), false
	}
	if alone {
		if !s.takeAlone(fingerprint(req)) {
			return nil, true
		}
		defer s.leaveAlone(fingerprint(req))
	}
	s.mu.Lock()
	g := s.groups[req.Group]
	s.mu.Unlock()
	if g == nil {
		return moved(), false
	}
	queued := time.Now()
	place, reason := g.admit(ctx, req, p.deadline, alone, p.avoid)
	s.counters.queueTime.UpdateSince(queued)
	switch reason {
	case admission.ReasonQueueFull:
		return NotRun(ReasonQueueFull, "Too many requests wait for this target."), false
	case admission.ReasonDeadline:
		return deadlinePassed(req, p), false
	case reasonMoved:
		return moved(), false
	}
	// The request may have become suspect while it waited.
	if nowAlone, nowRefused := s.checkQuarantine(req); nowRefused || nowAlone != alone {
		g.finish(place.id, admission.ResultCancelled, 0)
		return nil, true
	}
	place.alone = alone
	result, again = s.send(ctx, req, p, g, place)
	if alone && result != nil && result.Outcome == OutcomeRun {
		s.cleared(req)
	}
	return result, again
}

// send sends the request to the target whose slot it has.
func (s *Service) send(ctx context.Context, req *Request, p *progress, g *group, place slot) (*Result, bool) {
	entry, route, ok := s.route(req)
	target, found := s.target(place.target)
	if !ok || !found {
		g.finish(place.id, admission.ResultCancelled, 0)
		return moved(), false
	}
	start := s.clock.Now()
	waiting, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	entered := running{target: target.Name, shard: req.Shard, fence: route.Fence, fingerprint: fingerprint(req), sentAt: start, alone: place.alone}
	if req.Read {
		entered.abandon = func() { abandon(errSilent{}) }
	}
	g.started(place.id, entered)
	s.counters.sent.Inc(1)
	if req.Shard >= 0 {
		s.loads.add(control.ShardKey{Service: req.Service, Shard: req.Shard})
	}
	answer, err := s.targets.Do(waiting, targets.Request{
		ID: attemptID(req, p), Target: target.Name, Address: target.Address,
		Connections: connectionShare(target), Method: req.Method, URI: req.URI, Header: req.Header, Body: req.Body, Read: req.Read,
		IdempotencyKey: req.IdempotencyKey, Shard: req.Shard, Fence: route.Fence, Epoch: entry.Epoch,
		Deadline: s.attemptTime(req, p), Gate: s.gate(req, entry, route),
	})
	took := s.clock.Now() - start
	if err != nil {
		return s.failed(ctx, req, p, g, place, target, took, err)
	}
	if answer.NotRun != "" {
		g.finish(place.id, refusedResult(answer.NotRun), took)
		p.avoid, p.refusal = target.Name, answer.NotRun
		return nil, true
	}
	g.finish(place.id, admission.ResultDone, took)
	s.counters.serviceTime.Update(took)
	return &Result{Outcome: OutcomeRun, Status: answer.Status, Header: answer.Header, Body: answer.Body}, false
}

func refusedResult(notRun string) admission.Result {
	if notRun == "shed" {
		return admission.ResultShed
	}
	return admission.ResultRefused
}

// gate checks immediately before the first byte is written that this VM may
// still send under the route that the request was prepared for.
func (s *Service) gate(req *Request, entry shardmap.Group, route shardmap.Route) func() error {
	return func() error {
		now, current, ok := s.route(req)
		if !ok || now.Epoch != entry.Epoch || current != route {
			s.counters.gated.Inc(1)
			return errors.New("the route changed")
		}
		return nil
	}
}

// connectionShare leaves room for connections that were condemned but that
// the target still counts, and for the dispatcher before or after this one.
func connectionShare(t inventory.Target) int { return max(t.Slots, t.Connections/3) }

func (s *Service) target(name string) (inventory.Target, bool) {
	var t inventory.Target
	var ok bool
	s.viewDocument(func(doc *inventory.Document) { t, ok = doc.Target(name) })
	return t, ok
}

// failed decides about an attempt without an answer.
func (s *Service) failed(ctx context.Context, req *Request, p *progress, g *group, place slot, t inventory.Target, took time.Duration, err error) (*Result, bool) {
	var send *targets.SendError
	if !errors.As(err, &send) {
		send = &targets.SendError{Step: "send", Target: t.Name, Written: true, Err: err}
	}
	s.targets.CondemnIdle(t.Address)
	if send.Written && !send.Timeout() && ctx.Err() == nil {
		s.suspectCrash(g, t)
	}
	if req.Read && send.Written && (send.Timeout() || ctx.Err() != nil) {
		s.cancelAt(t, attemptID(req, p))
	}
	g.finish(place.id, failedResult(ctx, send), took)
	p.avoid = t.Name
	if !send.Written && ctx.Err() == nil {
		s.observe(g, t)
	}
	return s.classify(ctx, req, p, send)
}

// attemptID identifies an attempt towards targets.
func attemptID(req *Request, p *progress) string { return fmt.Sprintf("%s-%d", req.ID, p.attempts) }

// cancelAt asks a target to stop a read that was given up, so that it does not
// hold one of the target's slots beside the next request.
func (s *Service) cancelAt(t inventory.Target, id string) {
	s.counters.cancelled.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
		defer cancel()
		_ = s.targets.Cancel(ctx, t.Name, t.Address, id) // the request's deadline ends it otherwise
	}()
}

// classify decides whether a failed attempt is repeated, and its result if not.
func (s *Service) classify(ctx context.Context, req *Request, p *progress, send *targets.SendError) (*Result, bool) {
	failed := retry.Attempt{
		Read: req.Read, Written: send.Written, Incomplete: true, Timeout: send.Timeout(),
		Remaining: p.deadline - s.clock.Now(), Needed: retryPause,
	}
	verdict := retry.Classify(failed)
	if ctx.Err() != nil || (verdict == retry.Retry && send.Written && !s.mayRetry()) {
		verdict = failed.WithoutRetry()
	}
	switch {
	case verdict == retry.Retry:
		return nil, true
	case verdict == retry.AnswerNotRun:
		return deadlinePassed(req, p), false
	case ctx.Err() != nil:
		return Unknown(ReasonDeadlineRunning, "The deadline passed while the request was running."), false
	}
	return Unknown(ReasonOutcomeUnknown, "The target failed while it had the request: "+send.Error()), false
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
	// minReadAttempt is the shortest time that one attempt of a read gets, so
	// that a slow but healthy target can answer.
	minReadAttempt = 250 * time.Millisecond
	retryPause     = 5 * time.Millisecond
	maxRetryPause  = 100 * time.Millisecond
)

// attemptTime bounds one attempt. A read may be tried again, so it does not
// wait for a silent connection until its deadline.
func (s *Service) attemptTime(req *Request, p *progress) time.Duration {
	remaining := max(p.deadline-s.clock.Now(), time.Millisecond)
	if !req.Read {
		return remaining
	}
	return min(remaining, max(minReadAttempt, remaining/2))
}

// pause waits before the next attempt and returns false when the deadline
// passes first.
func (s *Service) pause(ctx context.Context, p *progress) bool {
	wait := min(retryPause<<min(p.attempts, 8), maxRetryPause)
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
