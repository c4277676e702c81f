package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/mangogate/mangogate/node/bodies"
	"github.com/pkg/errors"
)

const (
	// bodyStall is how long a caller may send nothing of a body before its request is
	// refused. It outlasts some seconds of retransmissions; callers that stay within the
	// limits send bodies without a pause.
	bodyStall = 5 * time.Second
	// memoryRetryAfter is the Retry-After of requests for whose bodies no memory is left: a
	// body without progress gives up its memory in that time.
	memoryRetryAfter = time.Second
	// closeWait is how long net/http may read the rest of a body that was rejected.
	closeWait = 100 * time.Millisecond
	// discardTime is how long the rest of a body that was refused is read and discarded: a
	// caller that is still sending could lose the refusal to a reset of the connection.
	discardTime = time.Second
)

// bodySource reads the body of a caller. A Read fails if no byte arrives for bodyStall, or
// when the deadline of the request has passed: it would then not be sent to a target.
type bodySource struct {
	io.Reader
	body     *bodies.Body
	conn     *http.ResponseController
	deadline time.Time
}

func (s *bodySource) Read(p []byte) (int, error) {
	next := time.Now().Add(bodyStall)
	if next.After(s.deadline) {
		next = s.deadline
	}
	_ = s.conn.SetReadDeadline(next) // not supported by the recorders of tests
	// Checked after the deadline was set, which may have replaced that of an interrupt.
	if s.body.GaveUp() {
		return 0, bodies.ErrNoMemory
	}
	return s.Reader.Read(p)
}

// readBody reads the body of the request, and reports whether the request goes on.
// Otherwise it has been answered.
func (q *request) readBody(limit int64) bool {
	if q.r.ContentLength == 0 || q.r.Body == http.NoBody {
		return true
	}
	if q.r.ContentLength > limit {
		q.reject(http.StatusRequestEntityTooLarge, "the body is larger than permitted")
		return false
	}
	conn := http.NewResponseController(q.w)
	deadline := time.Now().Add(q.deadline - q.g.clock.Now())
	source := func(b *bodies.Body) io.Reader { return &bodySource{q.r.Body, b, conn, deadline} }
	interrupt := func() { _ = conn.SetReadDeadline(time.Now()) }
	body, err := q.g.bodies.Read(source, q.r.ContentLength, limit, interrupt)
	if err == nil {
		q.body = body
		_ = conn.SetReadDeadline(time.Time{}) // net/http goes on reading to learn that the caller disconnects
		return true
	}
	// The rest of the body is not waited for, and the connection cannot be used again.
	q.w.Header().Set("Connection", "close")
	_ = conn.SetReadDeadline(time.Now().Add(closeWait))
	switch {
	case errors.Is(err, bodies.ErrNoMemory):
		q.refuse("no-memory-for-body", memoryRetryAfter)
		q.discardBody(conn)
	case errors.Is(err, os.ErrDeadlineExceeded) && q.g.clock.Now() >= q.deadline:
		q.refuse("deadline", defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.refuse("body-stalled", defaultRetryAfter)
	case errors.Is(err, bodies.ErrTooLarge):
		q.reject(http.StatusRequestEntityTooLarge, "the body is larger than permitted")
	default:
		q.reject(http.StatusBadRequest, "the body was not read")
	}
	return false
}

// discardBody sends the answer and discards the rest of the body, for discardTime at most.
func (q *request) discardBody(conn *http.ResponseController) {
	_ = conn.Flush() // an error also fails the reads
	_ = conn.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, q.r.Body) // the connection is closed in any case
}
