// Package targets is the HTTP client for targets: it sends requests, grants,
// load queries and cancellations.
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
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/wire"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the name under which Client registers with the kernel.
const Name = "targets.client"

// Headers of the target protocol.
const (
	HeaderRequestID     = "Mangogate-Request-Id"
	HeaderShard         = "Mangogate-Shard"
	HeaderFence         = "Mangogate-Fence"
	HeaderDispatchEpoch = "Mangogate-Dispatch-Epoch"
	HeaderDeadline      = "Mangogate-Deadline-Ms"
	HeaderNotRun        = "Mangogate-Not-Run"
	// headerIdempotencyKey is deliberately not in canonical form: if a request
	// has the canonical header, net/http regards it as idempotent and may resend
	// it by itself.
	headerIdempotencyKey = "idempotency-key"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an idle connection may be reused. After a longer
	// time, a device on the network path may have forgotten the connection.
	maxIdleTime = 2 * time.Second
	// bodyMemory is how many bytes the bodies of large answers that are being read may
	// use together.
	bodyMemory = upstream.DefaultAnswerMemory
)

// Request is one attempt to run a request at a target.
type Request struct {
	ID             string
	Target         string
	Address        string
	Connections    int // limit of open connections to the target
	Method         string
	URI            string // path and query
	Header         map[string][]string
	Body           []byte
	Read           bool // idempotent according to its rule; the client still sends it only once
	IdempotencyKey string
	Shard          int // -1 for a service without keys
	Fence          uint64
	Epoch          uint64
	Timeout        time.Duration // of this attempt; the target is told it too
	// BeforeSend is called immediately before the first byte is written. An error
	// stops the request, and nothing is written.
	BeforeSend func() error
}

// Answer is a target's complete answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// NotRun is the reason that the target gives, with status 503, for not running
	// the request; empty if it gives none.
	NotRun string
}

// SendError is the failure of an attempt.
type SendError struct {
	Step    string // build request, connect, send, receive or check answer
	Target  string
	Written bool // some of the request may have reached the target
	Reused  bool // the connection had carried an earlier request
	Err     error
}

// Error returns the step, the target and the cause.
func (e *SendError) Error() string { return e.Step + " at target " + e.Target + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Timeout reports whether the attempt ran out of time.
func (e *SendError) Timeout() bool {
	var n net.Error
	return errors.Is(e.Err, context.DeadlineExceeded) || (errors.As(e.Err, &n) && n.Timeout())
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	tls        *tls.Config
	scheme     string
	mismatched metrics.Counter
	truncated  metrics.Counter
	requests   *wire.Counters
	control    *wire.Counters // grants, load queries and cancellations
	bodies     upstream.BodyMemory
	// LocalAddr is the source address of connections; nil lets the system
	// choose. It must be set before the first request.
	LocalAddr *net.TCPAddr

	mu         sync.Mutex
	transports map[string]*http.Transport // by address; with a prefix for control requests
}

// New returns a client. If tlsConfig is nil, connections are not encrypted.
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

// transport returns the transport for an address. The limit of connections and the
// traffic counters are set by the first call for the address.
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
			IdleConnTimeout:     maxIdleTime,
			DisableCompression:  true, // the answer is passed on unchanged

			MaxResponseHeaderBytes: upstream.MaxHeadBytes,
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
	peer.BindSource(&d, c.LocalAddr)
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: traffic.Conn(raw)}, nil
}

func (c *Client) dialTLS(ctx context.Context, network, address string, traffic *wire.Counters) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: peer.SetUserTimeout}
	peer.BindSource(&d, c.LocalAddr)
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
	return &checkedConn{Conn: conn}, nil
}

// CloseIdle closes the idle connections to a target, so that the next request
// opens a new one.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	t := c.transports[address]
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// connTracker records which connection a request uses and whether any of its
// bytes were written.
type connTracker struct {
	mu          sync.Mutex
	conn        *checkedConn
	reused      bool
	sentEarlier bool // some of the request was written to an earlier connection
}

// gotConn is called when net/http assigns a connection to the request. If that
// connection ends, net/http sends a request without a body again on another one.
// gotConn prevents this if any of the request was written: a write may have run,
// and before the dispatcher sends a read again, it must find out whether the target
// restarted.
func (a *connTracker) gotConn(info httptrace.GotConnInfo, r Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentEarlier = a.sentEarlier || a.conn != nil && a.conn.bytesWritten() > 0
	a.conn, _ = info.Conn.(*checkedConn)
	a.reused = info.Reused
	beforeSend := r.BeforeSend
	if a.sentEarlier {
		beforeSend = func() error { return errAlreadySent }
	}
	if a.conn != nil {
		a.conn.begin(beforeSend)
	}
}

var errAlreadySent = errors.New("the request was sent on another connection")

// written reports whether any byte of the request may have been written, and
// whether its connection had carried an earlier request.
func (a *connTracker) written() (written, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sentEarlier || a.conn != nil && a.conn.bytesWritten() > 0, a.reused
}

// Do sends a request and reads the complete answer. The error is a *SendError.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	var tracker connTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { tracker.gotConn(info, r) }, Got1xxResponse: limitInformational(),
	})
	req, err := c.request(ctx, r)
	if err != nil {
		return nil, &SendError{Step: "build request", Target: r.Target, Err: err}
	}
	resp, err := c.transport(r.Address, r.Connections, c.requests).RoundTrip(req)
	if err != nil {
		written, reused := tracker.written()
		step := "connect"
		if written {
			step = "receive"
		}
		return nil, &SendError{Step: step, Target: r.Target, Written: written, Reused: reused, Err: causeOf(ctx, err)}
	}
	defer resp.Body.Close()
	return c.answer(ctx, r, resp)
}

// limitInformational returns a hook of httptrace that fails once more than
// upstream.MaxInformational informational answers have come.
func limitInformational() func(int, textproto.MIMEHeader) error {
	n := 0
	return func(int, textproto.MIMEHeader) error {
		if n++; n > upstream.MaxInformational {
			return errors.Errorf("more than %d informational answers without a final one", upstream.MaxInformational)
		}
		return nil
	}
}

// causeOf returns the cause of ctx's end if ctx has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		// net/http cannot rewind a plain io.Reader, so it cannot send the body
		// twice.
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
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, r.Timeout.Milliseconds()), 10))
	req.Header.Set(HeaderDispatchEpoch, strconv.FormatUint(r.Epoch, 10))
	if r.Shard >= 0 {
		req.Header.Set(HeaderShard, strconv.Itoa(r.Shard))
		req.Header.Set(HeaderFence, strconv.FormatUint(r.Fence, 10))
	}
	if _, given := req.Header["User-Agent"]; !given {
		req.Header["User-Agent"] = nil // keeps net/http from adding a User-Agent
	}
	return req, nil
}

// answer checks that the answer belongs to the request and reads the complete
// body.
func (c *Client) answer(ctx context.Context, r Request, resp *http.Response) (*Answer, error) {
	fail := func(err error) error {
		return &SendError{Step: "check answer", Target: r.Target, Written: true, Err: err}
	}
	if err := upstream.CheckHead(resp); err != nil {
		c.mismatched.Inc(1)
		c.CloseIdle(r.Address)
		return nil, fail(err)
	}
	if got := resp.Header.Get(HeaderRequestID); got != r.ID {
		c.mismatched.Inc(1)
		c.CloseIdle(r.Address)
		// Closing a body that was not read to its end closes the connection.
		return nil, fail(errors.Errorf("answer is for request %q, not %q", got, r.ID))
	}
	body, reserved, err := c.bodies.ReadBody(resp, bodyMemory)
	if err != nil {
		c.truncated.Inc(1)
		return nil, fail(errors.Wrap(causeOf(ctx, err), "read body"))
	}
	c.bodies.Release(reserved)
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if resp.StatusCode == http.StatusServiceUnavailable {
		a.NotRun = resp.Header.Get(HeaderNotRun)
	}
	return a, nil
}
