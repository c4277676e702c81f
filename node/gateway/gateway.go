// Package gateway serves the HTTP requests of callers. It matches a request to
// a route, acquires a slot of a target from package cell, sends the request, and
// returns the target's complete answer. A slot is the right to have one request
// in flight at a target.
package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/node/bodies"
	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// HeaderCodec translates between the headers that callers and targets use and the
// types of the gateway.
type HeaderCodec interface {
	// Request parses the header of a caller's request. If it returns an error,
	// the gateway answers 400 with the error's text as the reason.
	Request(h http.Header) (Meta, error)
	// ToTarget sets the headers of one attempt. remaining is the time until the
	// deadline.
	ToTarget(h http.Header, m Meta, target string, remaining time.Duration)
	// MatchesRequest returns a function that reports whether an answer with the
	// given header belongs to the request.
	MatchesRequest(m Meta) func(http.Header) bool
	// FromTarget returns what an answer's status and header say about the attempt.
	FromTarget(status int, h http.Header) AnswerInfo
	// Leaving reports whether a target says in the header of an answer that it is about to
	// stop. The error tells of a value that has no meaning.
	Leaving(h http.Header) (bool, error)
	// Refuse sets the headers of an answer that reports that the request was not
	// run.
	Refuse(h http.Header, m Meta, retryAfter time.Duration)
}

// Meta holds the values that HeaderCodec reads from the header of a request.
type Meta struct {
	ID      string
	Timeout time.Duration // how long the caller waits; 0 if it is not stated
	Key     int           // lending.NoKey if the request has none
	APIKey  string        // by which the caller identifies its workspace, or ""

	// Identified is set by the gateway if the configuration has workspaces. Then the
	// target gets the name of Workspace, whatever the caller sent, and never the API key.
	Identified bool
	Workspace  string // "" on public routes
}

// AnswerInfo is what an answer's status and header say about the attempt.
type AnswerInfo struct {
	NotRun     bool // the target states that it did not run the request
	WrongOwner bool // another target answered, or the target does not hold the key
	Load       *lending.LoadReport
}

const (
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout = 5 * time.Second
	// answerSlack is how long after a request's deadline the gateway still waits
	// for an answer that is in transit.
	answerSlack = 100 * time.Millisecond
	// extraAttempts is how many attempts are allowed beyond those of the route if
	// the target of the last attempt did not run the request.
	extraAttempts = 1
	// defaultRetryAfter is the Retry-After of refusals that compute no delay of
	// their own, for example while the configuration is not known.
	defaultRetryAfter = 300 * time.Millisecond
	// maxFingerprintBytes is how many bytes of a body the fingerprint covers.
	maxFingerprintBytes = 4 << 10
)

// Gateway is the http.Handler for callers.
type Gateway struct {
	vm         string
	dataCentre string
	codec      HeaderCodec
	view       *view.View
	cells      *cell.Service
	targets    *upstream.Client
	clock      *clock.Clock
	bodies     *bodies.Budget
	logger     hclog.Logger
	guard      *panics.Guard
	closing    atomic.Bool
	inProgress requestSet
	stats      *stats
	givenBack  metrics.Counter // slots that were not used because their target leaves
	workspaces workspaceCheck

	maxConnections int
}

// Config holds the dependencies of a Gateway.
type Config struct {
	VM      fleet.VM
	Codec   HeaderCodec
	View    *view.View
	Cells   *cell.Service
	Targets *upstream.Client
	Clock   *clock.Clock
	// Bodies limits the memory for bodies; nil means no limit.
	Bodies *bodies.Budget
	// MaxConnections limits the open connections of callers; 0 means no limit.
	MaxConnections int
	// Allowances limits the requests of workspaces; nil means no limits.
	Allowances Allowances
	// Revocation is the time after which a removed key must not work any more; 0 means
	// that there is no such time.
	Revocation time.Duration
	Logger     hclog.Logger
	Registry   metrics.Registry
}

func New(c Config) *Gateway {
	if c.Bodies == nil {
		c.Bodies = bodies.New(0, c.Logger, c.Registry)
	}
	return &Gateway{
		vm: c.VM.ID, dataCentre: c.VM.DataCentre, codec: c.Codec, view: c.View, cells: c.Cells, targets: c.Targets,
		clock: c.Clock, bodies: c.Bodies, logger: c.Logger, guard: panics.New(c.Logger, c.Registry), stats: newStats(c.Registry),
		givenBack:  metrics.GetOrRegisterCounter("gateway.slots_given_back_leaving", c.Registry),
		inProgress: requestSet{requests: map[*request]struct{}{}}, workspaces: newWorkspaceCheck(c),
		maxConnections: c.MaxConnections,
	}
}

// request is a caller's request while it is in progress.
type request struct {
	Meta
	g             *Gateway
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context         // ends answerSlack after the deadline, or earlier if callerContext ends
	waitCtx       context.Context         // the same, but ends when the caller disconnects: of a request that waits, nothing was sent
	end, endWait  context.CancelCauseFunc // of ctx and waitCtx
	route         *fleet.Route
	configVersion int64
	priority      int
	allowance     string           // workspace with a limit, or ""
	ticket        allowance.Ticket // of that allowance, or 0
	service       string
	keyed         bool
	body          *bodies.Body  // nil if it is empty
	arrived       time.Duration // clock reading
	deadline      time.Duration // clock reading
	fingerprint   quarantine.Fingerprint
	attempts      int
	mayHaveRun    bool            // a target may have run an earlier attempt
	answering     bool            // the answer to the caller has begun
	answeredAt    map[string]bool // addresses at which an earlier attempt was answered
	avoid         string          // target of the last attempt, which the next one avoids
	givenBack     int             // slots that were not used because their target leaves
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{g: g, w: w, r: r, arrived: g.clock.Now()}
	defer q.abortWithoutAnswer()
	defer g.guard.RecoverThen(q.answerAfterPanic, "serve a request", "method", r.Method, "path", r.URL.Path)
	release, ok := q.holdHead()
	if !ok {
		return
	}
	defer release()
	meta, err := g.codec.Request(r.Header)
	q.Meta = meta
	// The age is read first, so that the configuration is at least as new as it tells.
	configAge := g.view.Staleness(view.Operators)
	cfg, table := g.view.Config()
	switch {
	case err != nil:
		q.reject(http.StatusBadRequest, err.Error())
	case cfg == nil || !g.view.Ready():
		q.refuse("not-ready", defaultRetryAfter)
	default:
		q.configVersion = cfg.Version
		route, ok := table.Match(hostOnly(r.Host), r.URL.EscapedPath())
		if !ok {
			q.reject(http.StatusNotFound, "no route for the host and path")
			return
		}
		q.route, q.priority = route, route.Priority
		if q.identify(cfg, table, configAge) {
			q.serve(cfg)
		}
	}
}

// abortWithoutAnswer closes the connection of a request that was given up without an answer,
// because net/http would write "200 OK": a caller that has ended its side may still read.
func (q *request) abortWithoutAnswer() {
	if !q.answering {
		panic(http.ErrAbortHandler)
	}
}

// beginStop makes every answer close its connection, and refuses the requests that may
// still be in progress after the given time.
func (g *Gateway) beginStop(within time.Duration) {
	g.closing.Store(true)
	g.inProgress.beginStop(g.clock.Now() + within)
}

// hostOnly returns the host without its port.
func hostOnly(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch host[i] {
		case ':':
			return host[:i]
		case ']':
			return host
		}
	}
	return host
}

// serve picks a service, sets the deadline, reads the body, and sends the
// request.
func (q *request) serve(cfg *fleet.Config) {
	q.service = q.route.Pick(rand.Float64())
	svc, _ := cfg.Service(q.service)
	q.keyed = svc.Keyed
	remaining := q.Timeout
	if remaining <= 0 {
		remaining = defaultTimeout
	}
	if q.route.Timeout > 0 {
		remaining = min(remaining, q.route.Timeout)
	}
	q.deadline = q.arrived + remaining
	defer func() { q.body.Release() }()
	if !q.readBody(cfg.Limits.BodyBytes) {
		return
	}
	limit := q.lastAnswerAt() - q.g.clock.Now()
	var release, releaseWait func()
	q.ctx, q.end, release = withLimit(q.callerContext(), limit)
	defer release()
	q.waitCtx, q.endWait, releaseWait = withLimit(q.r.Context(), limit)
	defer releaseWait()
	if !q.g.inProgress.add(q) {
		q.refuse("stopping", defaultRetryAfter)
		return
	}
	defer q.g.inProgress.remove(q)
	q.fingerprint = fingerprint(q.r, q.body)
	if q.takeAllowance() {
		q.sendUntilAnswered()
	}
}

// lastAnswerAt is the clock reading until which an answer is waited for.
func (q *request) lastAnswerAt() time.Duration { return q.deadline + answerSlack }

// withLimit returns a context that ends after limit, or earlier with the cause given to end.
func withLimit(parent context.Context, limit time.Duration) (ctx context.Context, end context.CancelCauseFunc, release func()) {
	ctx, end = context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, end, func() {
		cancel()
		end(nil)
	}
}

// callerContext returns a context that ends when the caller disconnects, or, if
// the request is not idempotent, one that never ends: the outcome of such a
// request matters even if nobody waits for the answer, once it has been sent.
func (q *request) callerContext() context.Context {
	if q.route.Idempotent {
		return q.r.Context()
	}
	return context.WithoutCancel(q.r.Context())
}

// fingerprint returns a hash by which the quarantine recognizes a repeated
// request.
func fingerprint(r *http.Request, body *bodies.Body) quarantine.Fingerprint {
	h := fnv.New64a()
	for _, s := range []string{r.Method, r.Host, r.RequestURI} {
		io.WriteString(h, s) // a hash never returns an error
		h.Write([]byte{0})
	}
	h.Write(body.Prefix(maxFingerprintBytes))
	return quarantine.Fingerprint(h.Sum64())
}

// sendUntilAnswered sends the request to targets until it is answered,
// refused, or out of time.
func (q *request) sendUntilAnswered() {
	for {
		if !q.mayHaveRun && q.refuseWithoutMemory() {
			return
		}
		slot, err := q.g.cells.AcquireSlot(q.waitCtx, q.slotRequest())
		if err != nil {
			q.handleWaitEnd(err)
			return
		}
		if !slot.Lent {
			q.handleSlotRefused(slot)
			return
		}
		if !q.mayHaveRun && q.refuseWithoutMemory() {
			q.g.cells.Return(slot, lending.Usage{Result: lending.Unused})
			return
		}
		if done := q.send(slot); done {
			return
		}
	}
}

// refuseWithoutMemory refuses a request that has not been sent if the answers that callers
// have not read yet leave no memory for its own, and reports whether it did.
func (q *request) refuseWithoutMemory() bool {
	if q.g.bodies.HasRoomForAnswer() {
		return false
	}
	q.refuse("no-memory-for-answer", memoryRetryAfter)
	return true
}

func (q *request) slotRequest() cell.LendArgs {
	now := q.g.clock.Now()
	key := lending.NoKey
	if q.keyed {
		key = max(q.Key, 0)
	}
	return cell.LendArgs{
		Service: q.service, VM: q.g.vm, RequestID: q.ID, DataCentre: q.g.dataCentre, Route: q.route.Name,
		Priority: q.priority, Idempotent: q.route.Idempotent,
		Age: now - q.arrived, Objective: q.arrived + q.route.Objective - now, Deadline: q.deadline - now,
		Key: key, Repeat: q.attempts > 0, Avoid: q.avoid, Print: q.fingerprint,
	}
}

// handleSlotRefused answers a request for which no slot was lent, at the first
// attempt or at a retry.
func (q *request) handleSlotRefused(slot cell.Slot) {
	if q.mayHaveRun {
		q.answerUnknown("not sent again: "+string(slot.Reason), q.avoid)
		return
	}
	q.refuse(string(slot.Reason), slot.RetryAfter)
}

// handleWaitEnd ends a request whose deadline passed, whose caller disconnected, or
// that may outlast a stop, before the next attempt was sent.
func (q *request) handleWaitEnd(err error) {
	stopping := context.Cause(q.waitCtx) == errStopping
	switch {
	case q.r.Context().Err() != nil:
		if !q.mayHaveRun {
			q.refundAllowance()
		}
		q.recordEnd("caller-left", 0, "", err)
	case stopping && q.mayHaveRun:
		q.answerUnknown(errStopping.Error(), q.avoid)
	case stopping:
		q.refuse("stopping", defaultRetryAfter)
	case q.mayHaveRun:
		q.answerUnknown("its time ran out", q.avoid)
	default:
		q.refuse("deadline", defaultRetryAfter)
	}
}

// send makes one attempt. It returns false if the request is to be sent again,
// and true if it has ended.
func (q *request) send(slot cell.Slot) bool {
	remaining := q.deadline - q.g.clock.Now()
	if err := q.waitCtx.Err(); err != nil || remaining <= 0 {
		q.g.cells.Return(slot, lending.Usage{Result: lending.Unused})
		q.handleWaitEnd(err)
		return true
	}
	life := q.g.cells.LifeOf(slot)
	if !q.g.cells.MaySend(slot, life) {
		return q.giveBack(slot)
	}
	q.attempts++
	header := forwardedHeader(q.r.Header)
	q.g.codec.ToTarget(header, q.Meta, slot.Target, remaining)
	answer, err := q.g.targets.Do(q.ctx, upstream.Request{
		Target: slot.Target, Life: life, Address: slot.Address, Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: header, Body: q.body.Pieces(), NonIdempotent: !q.route.Idempotent, MatchesRequest: q.g.codec.MatchesRequest(q.Meta),
		NewConnection: q.ID == "" || q.answeredAt[slot.Address], BeforeSend: func() error { return q.beforeSend(slot, life) },
	})
	if errors.Is(err, errTargetLeaves) {
		q.attempts--
		return q.giveBack(slot)
	}
	if err != nil {
		return q.handleSendError(slot, err)
	}
	defer answer.Release()
	if q.answeredAt == nil {
		q.answeredAt = map[string]bool{}
	}
	q.answeredAt[slot.Address] = true
	info := q.g.codec.FromTarget(answer.Status, answer.Header)
	usage := lending.Usage{Result: lending.Answered, Took: answer.Took, Bytes: q.body.Len() + int64(len(answer.Body)), Load: info.Load}
	switch {
	case info.WrongOwner:
		usage.Result = lending.WrongOwner
	case info.NotRun:
		usage.Result = lending.Shed
	case answer.Status >= http.StatusInternalServerError:
		usage.Result = lending.Failed
	}
	q.g.cells.Return(slot, usage)
	switch {
	case usage.Result == lending.WrongOwner || usage.Result == lending.Shed:
		return q.handleNotRun(slot, usage.Result)
	case !q.route.Idempotent && promisesNotRun(answer.Status):
		q.logAttempt("target did not state whether it ran the request", slot, answer.Status, nil)
		q.answerUnknown("the target did not state whether it ran the request", slot.Target)
		return true
	case usage.Result == lending.Failed && q.mayRetry(q.route.Attempts):
		q.mayHaveRun, q.avoid = true, slot.Target
		q.logAttempt("target answered with a server error, retrying", slot, answer.Status, nil)
		return false
	}
	q.deliver(slot, answer)
	return true
}

// errTargetLeaves means that a request was not sent because its target leaves.
var errTargetLeaves = errors.New("the target leaves")

// beforeSend returns an error if an attempt must not be sent any more.
func (q *request) beforeSend(slot cell.Slot, life int64) error {
	if err := q.waitCtx.Err(); err != nil {
		return err
	}
	if !q.g.cells.MaySend(slot, life) {
		return errTargetLeaves
	}
	return nil
}

// maxGivenBack is how many slots of targets that leave a request gives back before it ends.
// The VM that lends slots learns of each of them, so further ones mean that it does not heed it.
const maxGivenBack = 3

// giveBack returns a slot unused because its target leaves. The result is that of send.
func (q *request) giveBack(slot cell.Slot) bool {
	q.g.cells.Return(slot, lending.Usage{Result: lending.Unused})
	q.g.givenBack.Inc(1)
	q.logAttempt("not sent: the target leaves", slot, 0, nil)
	if q.givenBack++; q.givenBack < maxGivenBack {
		return false
	}
	if q.mayHaveRun {
		q.answerUnknown("not sent again: the targets leave", slot.Target)
	} else {
		q.refuse(string(lending.Leaving), defaultRetryAfter)
	}
	return true
}

// mayRetry reports whether a request that may have run is sent again. Only
// idempotent requests are.
func (q *request) mayRetry(maxAttempts int) bool {
	return q.route.Idempotent && q.attempts < maxAttempts && q.ctx.Err() == nil && q.g.clock.Now() < q.deadline
}

// handleNotRun handles an answer that shows that the target did not run the
// request. Such a request may be sent again even if it is not idempotent. The
// result is that of send.
func (q *request) handleNotRun(slot cell.Slot, result lending.Result) bool {
	q.avoid = slot.Target
	q.logAttempt("target did not run the request", slot, 0, nil)
	if q.attempts < q.route.Attempts+extraAttempts {
		return false
	}
	if q.mayHaveRun {
		q.answerUnknown("no target ran it again", slot.Target)
	} else {
		q.refuse("targets-full", defaultRetryAfter)
	}
	return true
}

// handleSendError handles an attempt that ended without an answer. The result
// is that of send.
func (q *request) handleSendError(slot cell.Slot, err error) bool {
	result, sent := classifySendError(q, err)
	q.g.cells.Return(slot, lending.Usage{Result: result})
	q.avoid = slot.Target
	q.logAttempt("no answer from target", slot, 0, err)
	if sent {
		q.mayHaveRun = true
	}
	retry := !sent && q.attempts < q.route.Attempts+extraAttempts && q.g.clock.Now() < q.deadline || sent && q.mayRetry(q.route.Attempts)
	switch {
	case q.r.Context().Err() != nil:
		q.recordEnd("caller-left", 0, slot.Target, err)
	case retry:
		return false
	case context.Cause(q.ctx) == errStopping && q.mayHaveRun:
		q.answerUnknown(errStopping.Error(), slot.Target)
	case q.mayHaveRun:
		q.answerUnknown("no answer from target", slot.Target)
	default:
		q.refuse("unreachable", defaultRetryAfter)
	}
	return true
}

// classifySendError returns how the slot was used, and whether the target may
// have received the request.
func classifySendError(q *request, err error) (result lending.Result, sent bool) {
	var failed *upstream.Error
	if e, ok := err.(*upstream.Error); ok {
		failed = e
	}
	switch {
	case failed == nil || !failed.Sent:
		if q.waitCtx.Err() != nil {
			return lending.Unused, false
		}
		return lending.ConnectionRefused, false
	case q.r.Context().Err() != nil && q.route.Idempotent, context.Cause(q.ctx) == errStopping:
		return lending.Unused, true // the caller disconnected or the process stops, which is no failure of the target
	case q.ctx.Err() != nil:
		return lending.TimedOut, true
	}
	return lending.Broken, true
}

// deliver writes the target's answer to the caller.
func (q *request) deliver(slot cell.Slot, a *upstream.Answer) {
	q.body.Release() // the request is not sent again
	h := q.header()
	for name, values := range a.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding a Date
	}
	if bodyAllowed(q.r.Method, a.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	q.answering = true
	q.w.WriteHeader(a.Status)
	_, err := q.w.Write(a.Body)
	if !bodyAllowed(q.r.Method, a.Status) {
		err = nil
	}
	q.recordEnd("answered", a.Status, slot.Target, err)
}

// bodyAllowed reports whether HTTP allows an answer to have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
