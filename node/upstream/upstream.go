// Package upstream sends HTTP requests to targets over persistent connections.
//
// It encodes and parses with net/http but does not use its Transport: a target
// may send a late second answer to a request where the answer to the next request
// on the connection is expected. A Transport would return the late answer; this
// package skips it and reads on.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mangogate/mangogate/node/bodies"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout is several round trips between data centres. A reachable
	// target accepts a connection without delay.
	dialTimeout = 400 * time.Millisecond
	// defaultMaxIdleTime is below the 10 s after which targets close idle
	// connections. idleMargin is subtracted from the idle timeout that a target
	// states in its answers.
	defaultMaxIdleTime = 9400 * time.Millisecond
	idleMargin         = 600 * time.Millisecond
	maxIdlePerTarget   = 3 // idle connections per target: as many as a target has slots
	// silentAtTTL is how long an entry of Client.silentAt is kept. It is longer
	// than any request takes, so that no connection that is older than the entry
	// is still in use when the entry is deleted.
	silentAtTTL = 5 * time.Minute
	// idleSweepInterval bounds how long a connection stays open after it became
	// too old to be reused.
	idleSweepInterval = 3 * time.Second
	// concurrentSendSize is the encoded size in bytes above which a request is
	// sent while the answer is already being read: a target may answer before it
	// has read the whole body.
	concurrentSendSize = 16 << 10
)

// Request is one attempt to run a request at a target.
type Request struct {
	Target  string
	Life    int64 // identifies the process of the target; 0 if unknown
	Address string
	Method  string
	URI     string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	// Body is the body in pieces. They must not change, also for a short time after an error.
	Body [][]byte
	// NonIdempotent is set for requests that may run only once. They are not sent
	// on connections that were idle for longer than idleLimit allows.
	NonIdempotent bool
	// NewConnection is set if the answer could not be told from a late second copy of an
	// earlier one on the same connection: a target at this address has answered this
	// request before, for example that it did not run it, or the request has no id.
	NewConnection bool
	// MatchesRequest reports whether the header of an answer belongs to this request.
	// If it is nil, the first answer is taken.
	MatchesRequest func(http.Header) bool
	// BeforeSend is called immediately before the first byte is written. An error
	// stops the request, and nothing is sent.
	BeforeSend func() error
}

// Answer is a target's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Took   time.Duration // from the first byte sent to the last byte received

	endsWithConn bool  // the body ends with the connection
	reserved     int64 // memory that the body counts for in memory
	free         int64 // and beyond that in memory.Budget alone
	memory       *BodyMemory
}

// Release ends the use of the body, which no longer counts towards
// Client.AnswerMemory. Further calls have no effect.
func (a *Answer) Release() {
	a.memory.Release(a.reserved)
	if a.memory.Budget != nil {
		a.memory.Budget.ReleaseForced(a.free)
	}
	a.reserved, a.free = 0, 0
}

// Error is the failure of an attempt.
type Error struct {
	Step    string // connect, before-send or exchange
	Target  string
	Address string
	Sent    bool // some of the request may have reached the target
	Err     error
}

// Error returns the step, the target with its address, and the cause.
func (e *Error) Error() string {
	return e.Step + " at target " + e.Target + " (" + e.Address + "): " + e.Err.Error()
}

func (e *Error) Unwrap() error { return e.Err }

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	// AnswerMemory limits the memory, in bytes, that the bodies of large answers use
	// together. It must be set before the first request.
	AnswerMemory int64
	// OnAnswer, if it is set, is called with the header of each answer that belongs to a
	// request, before its body is read. It must be set before the first request.
	OnAnswer func(r Request, h http.Header)

	memory     BodyMemory
	dialer     net.Dialer
	opened     metrics.Counter
	mismatched metrics.Counter
	malformed  metrics.Counter
	idleLimit  idleLimit

	mu   sync.Mutex
	idle map[string][]*conn // by address; the most recently used is last
	// silentAt is when, by address, a request last got no answer before its
	// context ended. Connections that were opened before that time may be silent,
	// that is, open but without delivering data, and are not reused.
	silentAt map[string]time.Time
}

// New returns a client that opens connections with d and dialTimeout.
func New(d net.Dialer, registry metrics.Registry) *Client {
	d.Timeout = dialTimeout
	return &Client{
		AnswerMemory: DefaultAnswerMemory, dialer: d, idle: map[string][]*conn{}, silentAt: map[string]time.Time{},
		opened:     metrics.GetOrRegisterCounter("upstream.connections_opened", registry),
		mismatched: metrics.GetOrRegisterCounter("upstream.answers_skipped", registry),
		malformed:  metrics.GetOrRegisterCounter("upstream.answers_malformed", registry),
	}
}

// CountIn lets a budget count the bodies of large answers too. It must be called before the
// first request.
func (c *Client) CountIn(b *bodies.Budget) { c.memory.Budget = b }

// Do sends a request and reads the complete answer. If ctx ends first, the
// connection is reset, so that the target stops working on the request. The
// error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	cn, err := c.acquireConn(ctx, r)
	if err != nil {
		return nil, &Error{Step: "connect", Target: r.Target, Address: r.Address, Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			c.releaseConn(cn)
			return nil, &Error{Step: "before-send", Target: r.Target, Address: r.Address, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, cn.reset)
	answer, err := c.exchange(cn, r)
	ctxEnded := !stop()
	if err != nil || ctxEnded {
		cn.reset()
	}
	if err != nil {
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), err.Error())
			c.dropIdle(r.Address)
		} else if cn.idleBefore > 0 {
			c.idleLimit.recordFailure(time.Now(), r.Address, cn.idleBefore)
		}
		return nil, &Error{Step: "exchange", Target: r.Target, Address: r.Address, Sent: cn.sent, Err: err}
	}
	if !ctxEnded && !cn.notReusable {
		c.releaseConn(cn)
	} else {
		cn.reset()
	}
	return answer, nil
}

// dropIdle closes the idle connections to an address and keeps those in use from
// being reused, because all of them may be silent (see silentAt).
func (c *Client) dropIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.silentAt[address] = time.Now()
	c.mu.Unlock()
	for _, cn := range idle {
		cn.Close()
	}
}

// acquireConn returns an idle connection that may be reused for the request,
// or a new one.
func (c *Client) acquireConn(ctx context.Context, r Request) (*conn, error) {
	for !r.NewConnection {
		cn := c.takeIdle(r.Address)
		if cn == nil {
			break
		}
		now := time.Now()
		idle := now.Sub(cn.lastUsed)
		if idle < cn.maxIdleTime && (!r.NonIdempotent || idle < c.idleLimit.at(now)) && cn.openWithoutData() {
			cn.sent, cn.idleBefore = false, idle
			return cn, nil
		}
		cn.Close()
	}
	opened := time.Now()
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	limited := &limitedReader{Conn: raw, left: -1}
	return &conn{Conn: raw, raw: limited, address: r.Address, openedAt: opened, maxIdleTime: defaultMaxIdleTime, reader: bufio.NewReader(limited)}, nil
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// releaseConn keeps a connection for reuse. It closes the connection instead if
// unread bytes are buffered, maxIdlePerTarget is reached, or the connection was
// opened before silentAt.
func (c *Client) releaseConn(cn *conn) {
	cn.lastUsed = time.Now()
	c.mu.Lock()
	list := c.idle[cn.address]
	if cn.reader.Buffered() == 0 && len(list) < maxIdlePerTarget && !cn.openedAt.Before(c.silentAt[cn.address]) {
		c.idle[cn.address] = append(list, cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.Close()
	}
}

// SweepIdle closes the idle connections that are too old to be reused, every
// idleSweepInterval until ctx ends.
func (c *Client) SweepIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.closeIdle()
		}
	}
}

// closeIdle closes the connections that have been idle for their maxIdleTime and
// deletes expired entries of silentAt.
func (c *Client) closeIdle() {
	c.mu.Lock()
	var old []*conn
	for address, list := range c.idle {
		n := 0
		for n < len(list) && time.Since(list[n].lastUsed) >= list[n].maxIdleTime {
			n++
		}
		old = append(old, list[:n]...)
		if n == len(list) {
			delete(c.idle, address)
		} else {
			c.idle[address] = list[n:]
		}
	}
	for address, at := range c.silentAt {
		if time.Since(at) > silentAtTTL {
			delete(c.silentAt, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		cn.Close()
	}
}

// exchange sends the request on the connection and reads its answer.
func (c *Client) exchange(cn *conn, r Request) (*Answer, error) {
	req, head, err := encodeHead(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	start := time.Now()
	cn.sent = true
	if int64(len(head))+req.ContentLength <= concurrentSendSize {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		if _, err := cn.Write(head); err != nil {
			return nil, errors.Wrap(err, "send")
		}
		return c.receive(cn, r, req, start)
	}
	written := make(chan error, 1)
	go func() {
		// The pieces are written from where they are held: a copy would use as much memory.
		encoded := append(net.Buffers{head}, r.Body...)
		_, err := encoded.WriteTo(cn.Conn)
		written <- err
	}()
	answer, err := c.receive(cn, r, req, start)
	sent := false
	select {
	case writeErr := <-written:
		sent = writeErr == nil
	default: // the target answered before the whole request was sent
	}
	cn.notReusable = cn.notReusable || !sent
	if err == nil && answer.endsWithConn && !sent {
		// The kernel reports a reset once, to the write or to the read. If the write got
		// it, the read sees an orderly end.
		answer.Release()
		return nil, errEndedEarly
	}
	return answer, err
}

// headEnd is a body that ends the encoding of a request where the body begins.
type headEnd struct{ reached bool }

func (e *headEnd) Read([]byte) (int, error) {
	e.reached = true
	return 0, errHeadEnd
}

func (*headEnd) Close() error { return nil }

// encodeHead returns the request in the form that net/http needs to parse its answer, and
// its encoded request line and header.
func encodeHead(r Request) (*http.Request, []byte, error) {
	u := &url.URL{Opaque: r.URI}
	if strings.HasPrefix(r.URI, "//") { // net/url would put a scheme before such an Opaque
		var err error
		if u, err = url.ParseRequestURI(r.URI); err != nil {
			return nil, nil, err
		}
	}
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header, ContentLength: int64(length),
		ProtoMajor: 1, ProtoMinor: 1,
	}
	var end headEnd
	if length > 0 {
		req.Body = &end
	}
	if _, given := r.Header["User-Agent"]; !given {
		r.Header["User-Agent"] = []string{""} // keeps net/http from adding a User-Agent
	}
	var out bytes.Buffer
	out.Grow(1024 + min(length, concurrentSendSize))
	err := req.Write(&out)
	if end.reached { // then the error is errHeadEnd, which net/http wraps
		err = nil
	}
	return req, out.Bytes(), err
}

// receive reads answers until one belongs to the request. It skips up to
// MaxInformational informational (1xx) answers and, unless the target closes the
// connection after them, up to maxMismatchedAnswers answers to other requests.
func (c *Client) receive(cn *conn, r Request, req *http.Request, start time.Time) (*Answer, error) {
	for informational, mismatched := 0, 0; ; {
		resp, err := cn.readHead(req)
		if err != nil {
			if resp != nil {
				c.malformed.Inc(1)
			}
			return nil, errors.Wrap(err, "receive")
		}
		switch {
		case resp.StatusCode < http.StatusOK:
			if informational++; informational > MaxInformational {
				return nil, errManyInformational
			}
		case r.MatchesRequest != nil && !r.MatchesRequest(resp.Header):
			c.mismatched.Inc(1)
			if mismatched++; mismatched > maxMismatchedAnswers || resp.Close {
				return nil, errOtherRequests
			}
			if err := discardBody(resp); err != nil {
				return nil, errors.Wrap(err, "receive an answer to another request")
			}
		default:
			if c.OnAnswer != nil {
				c.OnAnswer(r, resp.Header)
			}
			body, reserved, err := c.memory.ReadBody(resp, c.AnswerMemory)
			if err != nil {
				return nil, errors.Wrap(err, "receive body")
			}
			endsWithConn := closeDelimited(resp)
			cn.notReusable = cn.notReusable || resp.Close || endsWithConn
			cn.maxIdleTime = maxIdleTimeFrom(resp.Header)
			a := &Answer{
				Status: resp.StatusCode, Header: resp.Header, Body: body, Took: time.Since(start),
				endsWithConn: endsWithConn, reserved: reserved, memory: &c.memory,
			}
			if c.memory.Budget != nil {
				// Small answers are never given up, but callers may take long to read them.
				a.free = max(0, int64(len(body))-reserved)
				c.memory.Budget.Force(a.free)
			}
			return a, nil
		}
	}
}

// maxIdleTimeFrom returns how long a connection may be idle and still be reused:
// idleMargin less than the Keep-Alive timeout of the answer, and at most
// defaultMaxIdleTime.
func maxIdleTimeFrom(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if sec, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return min(defaultMaxIdleTime, time.Duration(sec)*time.Second-idleMargin)
		}
	}
	return defaultMaxIdleTime
}

// closeDelimited reports whether the body ends with the connection, because
// the answer has neither a Content-Length nor a Transfer-Encoding.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
