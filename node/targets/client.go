// Package targets sends requests, grants and load queries to targets.
package targets

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/wire"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Client.
const Name = "targets.client"

// Headers of the target protocol.
const (
	HeaderRequestID     = "Mangogate-Request-Id"
	HeaderShard         = "Mangogate-Shard"
	HeaderFence         = "Mangogate-Fence"
	HeaderDispatchEpoch = "Mangogate-Dispatch-Epoch"
	HeaderDeadline      = "Mangogate-Deadline-Ms"
	HeaderNotRun        = "Mangogate-Not-Run"
	// headerIdempotencyKey is not in canonical form: net/http would take the
	// canonical name as leave to send the request again by itself.
	headerIdempotencyKey = "idempotency-key"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTrust bounds how long an idle connection is trusted: a device on the
	// way may have forgotten it.
	idleTrust = 2 * time.Second
	// MaxAnswerBytes is the largest answer body that is passed on.
	MaxAnswerBytes = 16 << 20
)

// Request is one attempt to run a request at a target.
type Request struct {
	ID             string
	Target         string
	Address        string
	Connections    int // most open connections to the target
	Method         string
	URI            string // path and query
	Header         map[string][]string
	Body           []byte
	Read           bool // may be sent again by net/http itself
	IdempotencyKey string
	Shard          int // -1 for a pool
	Fence          uint64
	Epoch          uint64
	Deadline       time.Duration // remaining
	// Gate is asked immediately before the first byte is written.
	Gate func() error
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// NotRun is set when the target says that it did not run the request.
	NotRun string
}

// SendError is a failed attempt.
type SendError struct {
	Step    string // connect, send, receive or check
	Target  string
	Written bool // some of the request may have reached the target
	Reused  bool // on a connection that had been idle
	Err     error
}

// Error returns the step and the target.
func (e *SendError) Error() string { return e.Step + " at target " + e.Target + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Timeout tells whether the attempt's time ran out.
func (e *SendError) Timeout() bool {
	var n net.Error
	return errors.Is(e.Err, context.DeadlineExceeded) || (errors.As(e.Err, &n) && n.Timeout())
}

// Client is the module.
type Client struct {
	tls        *tls.Config
	scheme     string
	mismatched metrics.Counter
	truncated  metrics.Counter
	requests   *wire.Counters
	control    *wire.Counters // grants and load queries
	// LocalAddr is the source of connections; nil leaves it to the system.
	// It is set before the first request.
	LocalAddr *net.TCPAddr

	mu         sync.Mutex
	transports map[string]*http.Transport // by address
}

// New returns a client. A nil TLS configuration means plain text.
func New(tlsConfig *tls.Config, registry metrics.Registry) *Client {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{
		tls: tlsConfig, scheme: scheme, transports: map[string]*http.Transport{},
		mismatched: metrics.GetOrRegisterCounter("targets.answers_mismatched", registry),
		truncated:  metrics.GetOrRegisterCounter("targets.answers_truncated", registry),
		requests:   wire.NewCounters("targets.requests", registry),
		control:    wire.NewCounters("targets.control", registry),
	}
}

// Name implements kernel.Module.
func (c *Client) Name() string { return Name }

// Stop closes idle connections.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	return nil
}

func (c *Client) transport(address string, connections int, traffic *wire.Counters) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transports[address]
	if t == nil {
		t = &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dial(ctx, network, address, traffic)
			},
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTrust,
			DisableCompression:  true, // the answer is passed on as it is
		}
		if c.tls != nil {
			t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dialTLS(ctx, network, address, traffic)
			}
		}
		c.transports[address] = t
	}
	return t
}

func (c *Client) dial(ctx context.Context, network, address string, traffic *wire.Counters) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: peer.SetUserTimeout}
	peer.Bind(&d, c.LocalAddr)
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: traffic.Conn(raw)}, nil
}

func (c *Client) dialTLS(ctx context.Context, network, address string, traffic *wire.Counters) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: peer.SetUserTimeout}
	peer.Bind(&d, c.LocalAddr)
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cfg := c.tls.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	conn := tls.Client(traffic.Conn(raw), cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return &gatedConn{Conn: conn}, nil
}

// CloseIdle closes the idle connections to a target, so that the next
// request uses a new one.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	t := c.transports[address]
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// attempt collects what is known of a request's connection.
type attempt struct {
	mu     sync.Mutex
	conn   *gatedConn
	reused bool
	sent   bool // on an earlier connection
}

// use begins the request on a connection. net/http moves a request without a
// body to another connection by itself when the first one ends. That must not
// send it again: a write may have run, and the target of a read may be a new
// process by then, which the dispatcher has to find out first.
func (a *attempt) use(info httptrace.GotConnInfo, r Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = a.sent || a.conn != nil && a.conn.bytesWritten() > 0
	a.conn, _ = info.Conn.(*gatedConn)
	a.reused = info.Reused
	gate := r.Gate
	if a.sent {
		gate = func() error { return errSentBefore }
	}
	if a.conn != nil {
		a.conn.begin(gate)
	}
}

var errSentBefore = errors.New("the request was sent on another connection")

func (a *attempt) written() (written, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent || a.conn != nil && a.conn.bytesWritten() > 0, a.reused
}

// Do sends a request and reads the whole answer. The error is a *SendError.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	var a attempt
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.use(info, r) }})
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, &SendError{Step: "build request", Target: r.Target, Err: err}
	}
	resp, err := c.transport(r.Address, r.Connections, c.requests).RoundTrip(req)
	if err != nil {
		written, reused := a.written()
		step := "connect"
		if written {
			step = "receive"
		}
		return nil, &SendError{Step: step, Target: r.Target, Written: written, Reused: reused, Err: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	return c.answer(ctx, r, resp)
}

func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		// A plain reader keeps net/http from sending the body a second time.
		body = struct{ io.Reader }{strings.NewReader(string(r.Body))}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.scheme+"://"+r.Address+r.URI, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	req.Header.Del("Idempotency-Key")
	if r.IdempotencyKey != "" {
		req.Header[headerIdempotencyKey] = []string{r.IdempotencyKey}
	}
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, r.Deadline.Milliseconds()), 10))
	req.Header.Set(HeaderDispatchEpoch, strconv.FormatUint(r.Epoch, 10))
	if r.Shard >= 0 {
		req.Header.Set(HeaderShard, strconv.Itoa(r.Shard))
		req.Header.Set(HeaderFence, strconv.FormatUint(r.Fence, 10))
	}
	if _, given := req.Header["User-Agent"]; !given {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	return req, nil
}

// answer reads the whole body and checks that it belongs to the request.
func (c *Client) answer(ctx context.Context, r Request, resp *http.Response) (*Answer, error) {
	fail := func(err error) error {
		return &SendError{Step: "check answer", Target: r.Target, Written: true, Err: err}
	}
	if got := resp.Header.Get(HeaderRequestID); got != r.ID {
		c.mismatched.Inc(1)
		c.CloseIdle(r.Address)
		// The body is not drained, so that closing it closes the connection.
		return nil, fail(errors.Errorf("answer is for request %q, not %q", got, r.ID))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		c.truncated.Inc(1)
		return nil, fail(errors.Wrap(causeOf(ctx, err), "read body"))
	}
	if len(body) > MaxAnswerBytes {
		return nil, fail(errors.Errorf("answer body is larger than %d bytes", MaxAnswerBytes))
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if resp.StatusCode == http.StatusServiceUnavailable {
		a.NotRun = resp.Header.Get(HeaderNotRun)
	}
	return a, nil
}
