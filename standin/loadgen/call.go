package loadgen

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
)

// Outcomes. The first three are those of Mangogate-Outcome, the others are
// seen by the caller alone.
const (
	OutcomeRun       = "run"
	OutcomeNotRun    = "not-run"
	OutcomeUnknown   = "unknown"
	OutcomeTransport = "transport" // no complete answer
	OutcomeHungUp    = "hung-up"   // by the caller
	OutcomeSkipped   = "skipped"   // too many are outstanding; not sent
)

const (
	headerOutcome = "Mangogate-Outcome"
	headerReason  = "Mangogate-Reason"
	maxBody       = 64 << 20
)

// Mismatch is how an answer differs from what the request must get.
type Mismatch string

// The mismatches.
const (
	MismatchNone Mismatch = ""
	MismatchForm Mismatch = "form" // the body is not that of a target
	MismatchKey  Mismatch = "key"
	MismatchBody Mismatch = "body-hash"
	MismatchTag  Mismatch = "tag" // the answer to another request
	MismatchSize Mismatch = "size"
)

// attempt is the end of one attempt.
type attempt struct {
	outcome, reason string
	status          int
	mismatch        Mismatch
	target          string
}

func (a attempt) served() bool {
	return a.outcome == OutcomeRun && a.status/100 == 2 && a.mismatch == MismatchNone
}

// uncertain tells whether a caller would send a write again with its key.
func (a attempt) uncertain() bool {
	return a.outcome == OutcomeUnknown || a.outcome == OutcomeTransport
}

// do sends a request and its repeats, each through the next entry.
func (r *runner) do(ctx context.Context, c *call) {
	if c.hangUp > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(c.hangUp))
		defer cancel()
	}
	repeats := r.cfg.Repeats
	if c.read && !r.cfg.RepeatReads {
		repeats = 0
	}
	attempts := 0
	for {
		a := r.try(ctx, c)
		attempts++
		r.rec.attempt(a)
		if attempts > repeats || !a.uncertain() || !sleepUntil(ctx, time.Now().Add(r.cfg.RepeatPause)) {
			r.finish(c, a, attempts)
			return
		}
	}
}

func (r *runner) finish(c *call, last attempt, attempts int) {
	res := Result{Key: c.key, IdempotencyKey: c.id, Read: c.read, Outcome: last.outcome, Reason: last.reason, Status: last.status,
		Served: last.served(), Mismatch: last.mismatch, Target: last.target, Attempts: attempts, Start: c.start, End: time.Now()}
	r.rec.finish(res)
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(res)
	}
}

func (r *runner) try(parent context.Context, c *call) attempt {
	ctx, cancel := context.WithTimeout(parent, r.cfg.Deadline+r.cfg.Grace)
	defer cancel()
	req, err := r.request(ctx, c)
	if err != nil {
		return attempt{outcome: OutcomeTransport, reason: "address"}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return failure(parent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		a := failure(parent, err)
		a.status = resp.StatusCode
		return a
	}
	a := attempt{outcome: resp.Header.Get(headerOutcome), reason: resp.Header.Get(headerReason), status: resp.StatusCode,
		target: resp.Header.Get(target.HeaderTarget)}
	if a.outcome == "" {
		a.outcome = directOutcome(resp)
	}
	if a.outcome == OutcomeRun && a.status/100 == 2 {
		a.mismatch = r.check(c, body)
	}
	return a
}

// request builds an attempt. The body of a write can't be read twice, so that
// the transport never repeats a write by itself: it would do so because of the
// idempotency key.
func (r *runner) request(ctx context.Context, c *call) (*http.Request, error) {
	entry := r.entry()
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	method, path, body := http.MethodPost, r.cfg.WritePath, io.Reader(io.NopCloser(bytes.NewReader(c.body)))
	if c.read {
		method, path, body = http.MethodGet, r.cfg.ReadPath, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, entry+strings.ReplaceAll(path, "{key}", c.key), body)
	if err != nil {
		return nil, err
	}
	if !c.read {
		req.ContentLength = int64(len(c.body))
		req.Header.Set(target.HeaderIdempotency, c.id)
	}
	if r.cfg.KeyHeader != "" {
		req.Header.Set(r.cfg.KeyHeader, c.key)
	}
	req.Header.Set(target.HeaderTag, c.id)
	req.Header.Set(target.HeaderAnswerBytes, strconv.Itoa(r.cfg.AnswerBytes))
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	return req, nil
}

// entry returns the next entry in turn.
func (r *runner) entry() string {
	entries := r.cfg.Entries
	if r.cfg.Balance != nil {
		if now := r.cfg.Balance(); len(now) > 0 {
			entries = now
		}
	}
	return entries[int(r.turn.Add(1)-1)%len(entries)]
}

// failure classifies an attempt without a complete answer.
func failure(parent context.Context, err error) attempt {
	if parent.Err() != nil {
		return attempt{outcome: OutcomeHungUp}
	}
	a := attempt{outcome: OutcomeTransport, reason: "cut"}
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		a.reason = "timeout"
	case errors.As(err, &op) && op.Op == "dial":
		a.reason = "dial"
	}
	return a
}

// directOutcome serves runs against a target without the router.
func directOutcome(resp *http.Response) string {
	switch {
	case resp.Header.Get(target.HeaderNotRun) != "":
		return OutcomeNotRun
	case resp.StatusCode/100 == 2:
		return OutcomeRun
	default:
		return OutcomeUnknown
	}
}

// check compares an answer with what its request must get.
func (r *runner) check(c *call, body []byte) Mismatch {
	var got target.Answer
	if json.Unmarshal(body, &got) != nil {
		return MismatchForm
	}
	sum := sha256.Sum256(c.body)
	switch {
	case got.Key != c.key:
		return MismatchKey
	case got.SHA256 != hex.EncodeToString(sum[:]):
		return MismatchBody
	case got.Tag != c.id:
		return MismatchTag
	case len(got.Padding) != r.cfg.AnswerBytes:
		return MismatchSize
	}
	return MismatchNone
}
