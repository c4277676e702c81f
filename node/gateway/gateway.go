// Package gateway answers the callers: it finds the route of a request, gets a
// slot of a target for it, sends it, and returns the target's whole answer.
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
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
)

// Wire translates between the headers that callers and targets use and the
// gateway's own types.
type Wire interface {
	// Request reads what a caller's header says.
	Request(h http.Header) (Meta, error)
	// ToTarget sets the headers of an attempt.
	ToTarget(h http.Header, m Meta, target string, left time.Duration)
	// Belongs tells whether an answer is for a request.
	Belongs(m Meta) func(http.Header) bool
	// FromTarget reads what an answer says besides its status.
	FromTarget(status int, h http.Header) TargetSays
	// Refuse sets the headers of an answer that says that nothing was run.
	Refuse(h http.Header, m Meta, retryAfter time.Duration)
}

// Meta is what the gateway has to know of a request beyond HTTP.
type Meta struct {
	ID       string
	Deadline time.Duration // how long the caller waits; 0 if it does not say
	Key      int           // lending.NoKey if it has none
}

// TargetSays is what an answer tells of its target.
type TargetSays struct {
	NotRun     bool
	WrongOwner bool // the target is another one, or does not hold the key
	Load       *lending.LoadReport
}

const (
	// defaultDeadline applies to requests that name none.
	defaultDeadline = 5 * time.Second
	// answerSlack is how long after a request's time an answer that is on its
	// way is waited for.
	answerSlack = 100 * time.Millisecond
	// moreAttempts is how many targets beyond its attempts a request is sent
	// to if the earlier ones did not run it.
	moreAttempts = 1
	// startRetryAfter is asked of callers while the configuration is not known.
	startRetryAfter = 300 * time.Millisecond
	// maxPrintBody bounds the part of a body that a fingerprint covers.
	maxPrintBody = 4 << 10
)

// Gateway is an http.Handler.
type Gateway struct {
	vm         string
	dataCentre string
	wire       Wire
	view       *view.View
	cells      *cell.Service
	targets    *upstream.Client
	clock      *clock.Clock
	logger     hclog.Logger
	closing    atomic.Bool
	active     atomic.Int64
	stats      *stats
}

// Config assembles a Gateway.
type Config struct {
	VM       fleet.VM
	Wire     Wire
	View     *view.View
	Cells    *cell.Service
	Targets  *upstream.Client
	Clock    *clock.Clock
	Logger   hclog.Logger
	Registry metrics.Registry
}

// New returns a gateway.
func New(c Config) *Gateway {
	return &Gateway{
		vm: c.VM.ID, dataCentre: c.VM.DataCentre, wire: c.Wire, view: c.View, cells: c.Cells, targets: c.Targets,
		clock: c.Clock, logger: c.Logger, stats: newStats(c.Registry),
	}
}

// request is a caller's request on its way.
type request struct {
	Meta
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context // ends when nobody waits any more
	route    *fleet.Route
	version  int64 // of the configuration
	service  string
	keyed    bool
	body     []byte
	arrived  time.Duration
	deadline time.Duration // reading of the clock
	print    quarantine.Fingerprint
	attempts int
	mayHave  bool // an attempt may have run
	avoid    string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: w, r: r, arrived: g.clock.Now()}
	meta, err := g.wire.Request(r.Header)
	q.Meta = meta
	cfg, table := g.view.Config()
	switch {
	case err != nil:
		q.fail(http.StatusBadRequest, err.Error())
	case cfg == nil || !g.view.Ready():
		q.refuse("not-ready", startRetryAfter)
	default:
		q.version = cfg.Version
		route, ok := table.Match(hostOnly(r.Host), r.URL.EscapedPath())
		if !ok {
			q.fail(http.StatusNotFound, "no route for the host and path")
			return
		}
		q.route = route
		q.serve(cfg)
	}
}

// hostOnly strips a port.
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

func (q *request) serve(cfg *fleet.Config) {
	body, status := readBody(q.r, cfg.Limits.BodyBytes)
	if status != 0 {
		q.fail(status, "the body was not read")
		return
	}
	q.body = body
	q.service = q.route.Pick(rand.Float64())
	svc, _ := cfg.Service(q.service)
	q.keyed = svc.Keyed
	left := q.Deadline
	if left <= 0 {
		left = defaultDeadline
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = q.arrived + left
	ctx, cancel := context.WithTimeout(q.callerContext(), q.deadline-q.g.clock.Now()+answerSlack)
	defer cancel()
	q.ctx = ctx
	q.print = fingerprint(q.r, body)
	q.attempt()
}

// callerContext ends when the caller leaves. A request that may run only once
// goes on: its outcome counts although nobody waits.
func (q *request) callerContext() context.Context {
	if q.route.Idempotent {
		return q.r.Context()
	}
	return context.WithoutCancel(q.r.Context())
}

func readBody(r *http.Request, most int64) ([]byte, int) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, 0
	}
	if r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, http.StatusBadRequest
		}
		return body, 0
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	switch {
	case err != nil:
		return nil, http.StatusBadRequest
	case int64(len(body)) > most:
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

func fingerprint(r *http.Request, body []byte) quarantine.Fingerprint {
	h := fnv.New64a()
	for _, s := range []string{r.Method, r.Host, r.RequestURI} {
		io.WriteString(h, s) // a hash does not fail
		h.Write([]byte{0})
	}
	h.Write(body[:min(len(body), maxPrintBody)])
	return quarantine.Fingerprint(h.Sum64())
}

// attempt sends the request to targets until it is answered or given up.
func (q *request) attempt() {
	for {
		slot, err := q.g.cells.Lend(q.ctx, q.lendArgs())
		if err != nil {
			q.gaveUp(err)
			return
		}
		if !slot.Lent {
			q.notLent(slot)
			return
		}
		if done := q.send(slot); done {
			return
		}
	}
}

func (q *request) lendArgs() cell.LendArgs {
	now := q.g.clock.Now()
	key := lending.NoKey
	if q.keyed {
		key = max(q.Key, 0)
	}
	return cell.LendArgs{
		Service: q.service, VM: q.g.vm, RequestID: q.ID, DataCentre: q.g.dataCentre, Route: q.route.Name,
		Priority: q.route.Priority, Idempotent: q.route.Idempotent,
		Age: now - q.arrived, Objective: q.arrived + q.route.Objective - now, Deadline: q.deadline - now,
		Key: key, Repeat: q.attempts > 0, Avoid: q.avoid, Print: q.print,
	}
}

// notLent answers a request that no target is to get (any more).
func (q *request) notLent(slot cell.Slot) {
	if q.mayHave {
		q.unknown("not sent again: "+string(slot.Reason), q.avoid)
		return
	}
	q.refuse(string(slot.Reason), slot.RetryAfter)
}

// gaveUp ends a request whose time ran out, or whose caller left, in the queue.
func (q *request) gaveUp(err error) {
	switch {
	case q.r.Context().Err() != nil:
		q.done("caller-left", 0, "", err)
	case q.mayHave:
		q.unknown("its time ran out", q.avoid)
	default:
		q.refuse("deadline", startRetryAfter)
	}
}

// send makes one attempt and tells whether the request is done.
func (q *request) send(slot cell.Slot) bool {
	left := q.deadline - q.g.clock.Now()
	if left <= 0 {
		q.g.cells.Return(slot, lending.Usage{Result: lending.Unused})
		q.gaveUp(context.DeadlineExceeded)
		return true
	}
	q.attempts++
	header := forwardedHeader(q.r.Header)
	q.g.wire.ToTarget(header, q.Meta, slot.Target, left)
	answer, err := q.g.targets.Do(q.ctx, upstream.Request{
		Target: slot.Target, Address: slot.Address, Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: header, Body: q.body, Once: !q.route.Idempotent, Belongs: q.g.wire.Belongs(q.Meta),
	})
	if err != nil {
		return q.sendFailed(slot, err)
	}
	says := q.g.wire.FromTarget(answer.Status, answer.Header)
	usage := lending.Usage{Result: lending.Answered, Took: answer.Took, Load: says.Load}
	switch {
	case says.WrongOwner:
		usage.Result = lending.WrongOwner
	case says.NotRun:
		usage.Result = lending.Shed
	case answer.Status >= http.StatusInternalServerError:
		usage.Result = lending.Failed
	}
	q.g.cells.Return(slot, usage)
	switch {
	case usage.Result == lending.WrongOwner || usage.Result == lending.Shed:
		return q.notRunThere(slot, usage.Result)
	case usage.Result == lending.Failed && q.mayRepeat(q.route.Attempts):
		q.mayHave, q.avoid = true, slot.Target
		q.logAttempt("failed at target", slot, answer.Status, nil)
		return false
	}
	q.deliver(slot, answer)
	return true
}

// mayRepeat tells whether an idempotent request that may have run is sent again.
func (q *request) mayRepeat(attempts int) bool {
	return q.route.Idempotent && q.attempts < attempts && q.ctx.Err() == nil && q.g.clock.Now() < q.deadline
}

// notRunThere handles the truthful refusal of a target.
func (q *request) notRunThere(slot cell.Slot, result lending.Result) bool {
	q.avoid = slot.Target
	q.logAttempt("not run at target", slot, 0, nil)
	if q.attempts < q.route.Attempts+moreAttempts {
		return false
	}
	if q.mayHave {
		q.unknown("no target ran it again", slot.Target)
	} else {
		q.refuse("targets-full", startRetryAfter)
	}
	return true
}

// sendFailed handles an attempt without an answer.
func (q *request) sendFailed(slot cell.Slot, err error) bool {
	result, sent := classify(q, err)
	q.g.cells.Return(slot, lending.Usage{Result: result})
	q.avoid = slot.Target
	q.logAttempt("no answer from target", slot, 0, err)
	if sent {
		q.mayHave = true
	}
	again := !sent && q.attempts < q.route.Attempts+moreAttempts && q.g.clock.Now() < q.deadline || sent && q.mayRepeat(q.route.Attempts)
	switch {
	case q.r.Context().Err() != nil:
		q.done("caller-left", 0, slot.Target, err)
	case again:
		return false
	case q.mayHave:
		q.unknown("no answer from target", slot.Target)
	default:
		q.refuse("unreachable", startRetryAfter)
	}
	return true
}

func classify(q *request, err error) (result lending.Result, sent bool) {
	var failed *upstream.Error
	if e, ok := err.(*upstream.Error); ok {
		failed = e
	}
	switch {
	case failed == nil || !failed.Sent:
		if q.ctx.Err() != nil {
			return lending.Unused, false
		}
		return lending.Refused, false
	case q.r.Context().Err() != nil && q.route.Idempotent:
		return lending.Unused, true // the caller left; the target is not to blame
	case q.ctx.Err() != nil:
		return lending.TimedOut, true
	}
	return lending.Broken, true
}

// deliver returns the target's answer.
func (q *request) deliver(slot cell.Slot, a *upstream.Answer) {
	h := q.w.Header()
	for name, values := range a.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if h["Date"] == nil {
		h["Date"] = nil // net/http would add its own
	}
	if bodyAllowed(q.r.Method, a.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	q.w.WriteHeader(a.Status)
	_, err := q.w.Write(a.Body)
	if !bodyAllowed(q.r.Method, a.Status) {
		err = nil
	}
	q.done("answered", a.Status, slot.Target, err)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
