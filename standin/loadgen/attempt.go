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

// Outcomes of attempts. The first three are values of the header
// Mangogate-Outcome, or come from outcomeWithoutRouter if the header is missing.
const (
	OutcomeRun       = "run"
	OutcomeNotRun    = "not-run"
	OutcomeUnknown   = "unknown"
	OutcomeTransport = "transport" // the attempt failed without a complete answer
	OutcomeHungUp    = "hung-up"   // the caller abandoned the request, or the context of Run ended
	OutcomeSkipped   = "skipped"   // not sent, because Config.Outstanding requests were outstanding
)

const (
	headerOutcome = "Mangogate-Outcome"
	headerReason  = "Mangogate-Reason"
	maxBodyBytes  = 64 << 20
)

// Mismatch is the first difference between an answer and the expected answer.
type Mismatch string

// The mismatches, in the order in which they are checked.
const (
	MismatchNone Mismatch = ""
	MismatchForm Mismatch = "form" // the body is not a JSON target.Answer
	MismatchKey  Mismatch = "key"
	MismatchBody Mismatch = "body-hash" // of the request's body
	MismatchTag  Mismatch = "tag"       // the answer belongs to another request
	MismatchSize Mismatch = "size"      // of the padding
)

// attempt is the result of one attempt.
type attempt struct {
	outcome, reason string
	status          int
	mismatch        Mismatch
	target          string
}

func (a attempt) served() bool {
	return a.outcome == OutcomeRun && a.status/100 == 2 && a.mismatch == MismatchNone
}

// outcomeUnknown reports whether it is unknown if the request was executed. An
// attempt without a complete answer counts as unknown, even if the dial failed.
func (a attempt) outcomeUnknown() bool {
	return a.outcome == OutcomeUnknown || a.outcome == OutcomeTransport
}

// sendWithRepeats sends a request, and while its outcome is unknown repeats it
// through the next entry, as often as the Config allows.
func (r *runner) sendWithRepeats(ctx context.Context, c *callerRequest) {
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
		a := r.sendAttempt(ctx, c)
		attempts++
		r.recorder.attemptEnded(a)
		if attempts > repeats || !a.outcomeUnknown() || !sleepUntil(ctx, time.Now().Add(r.cfg.RepeatPause)) {
			r.finish(c, a, attempts)
			return
		}
	}
}

func (r *runner) finish(c *callerRequest, last attempt, attempts int) {
	res := Result{Key: c.key, IdempotencyKey: c.id, Read: c.read, Outcome: last.outcome, Reason: last.reason, Status: last.status,
		Served: last.served(), Mismatch: last.mismatch, Target: last.target, Attempts: attempts, Start: c.start, End: time.Now()}
	r.recorder.requestEnded(res)
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(res)
	}
}

func (r *runner) sendAttempt(parent context.Context, c *callerRequest) attempt {
	ctx, cancel := context.WithTimeout(parent, r.cfg.Deadline+r.cfg.Grace)
	defer cancel()
	req, err := r.newRequest(ctx, c)
	if err != nil {
		return attempt{outcome: OutcomeTransport, reason: "address"}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return classifyFailure(parent, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		a := classifyFailure(parent, err)
		a.status = resp.StatusCode
		return a
	}
	a := attempt{outcome: resp.Header.Get(headerOutcome), reason: resp.Header.Get(headerReason), status: resp.StatusCode,
		target: resp.Header.Get(target.HeaderTarget)}
	if a.outcome == "" {
		a.outcome = outcomeWithoutRouter(resp)
	}
	if a.outcome == OutcomeRun && a.status/100 == 2 {
		a.mismatch = r.checkAnswer(c, body)
	}
	return a
}

// newRequest builds the HTTP request of an attempt. The body of a write is a type
// that net/http cannot rewind. Otherwise http.Transport would retry the write by
// itself, because of its idempotency key.
func (r *runner) newRequest(ctx context.Context, c *callerRequest) (*http.Request, error) {
	entry := r.nextEntry()
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

// nextEntry returns the next entry in round-robin order.
func (r *runner) nextEntry() string {
	entries := r.cfg.Entries
	if r.cfg.Balance != nil {
		if current := r.cfg.Balance(); len(current) > 0 {
			entries = current
		}
	}
	return entries[int(r.entryCounter.Add(1)-1)%len(entries)]
}

// classifyFailure classifies an attempt that got no complete answer.
func classifyFailure(parent context.Context, err error) attempt {
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

// outcomeWithoutRouter derives the outcome from an answer without the header
// Mangogate-Outcome, which only the router sets.
func outcomeWithoutRouter(resp *http.Response) string {
	switch {
	case resp.Header.Get(target.HeaderNotRun) != "":
		return OutcomeNotRun
	case resp.StatusCode/100 == 2:
		return OutcomeRun
	default:
		return OutcomeUnknown
	}
}

// checkAnswer compares the body of an answer with the expected answer.
func (r *runner) checkAnswer(c *callerRequest, body []byte) Mismatch {
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
