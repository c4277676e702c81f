// Package upstream carries HTTP requests to targets over kept connections.
//
// It uses the codec of net/http but not its Transport: a target may send a
// late second answer at the place where the next one is expected, and a
// Transport cannot skip it to the answer that belongs to the request.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout is several round trips between data centres; a target in
	// reach answers at once.
	dialTimeout = 400 * time.Millisecond
	// idleKeep is below the 10 s after which targets close idle connections,
	// and idleMargin below the time that a target states itself.
	idleKeep   = 9400 * time.Millisecond
	idleMargin = 600 * time.Millisecond
	maxIdle    = 3 // connections kept a target: the slots of the targets
	// silentMemory is longer than any request is under way.
	silentMemory = 5 * time.Minute
	// tendPause bounds how much longer an unused connection stays open.
	tendPause = 3 * time.Second
	// MaxAnswerBytes is the largest answer body that is passed on.
	MaxAnswerBytes = 16 << 20
	// maxForeignAnswers is how many answers to other requests are skipped.
	maxForeignAnswers = 3
	// lingerBody is the size of a body from which on sending and receiving
	// overlap: an early answer must be seen while the body still waits.
	lingerBody = 16 << 10
)

// Request is one attempt to run a request at a target.
type Request struct {
	Target  string
	Address string
	Method  string
	URI     string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// Once is set for requests that may run only once.
	Once bool
	// Belongs tells whether an answer's header is for this request; nil takes any.
	Belongs func(http.Header) bool
	// Gate is asked right before the first byte is written.
	Gate func() error
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Took   time.Duration // from the first byte sent to the last byte received
}

// Error is a failed attempt.
type Error struct {
	Step    string // connect, gate, send or receive
	Target  string
	Address string
	Sent    bool // some of the request may have reached the target
	Err     error
}

// Error returns the step and the target.
func (e *Error) Error() string {
	return e.Step + " at target " + e.Target + " (" + e.Address + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is safe for concurrent use.
type Client struct {
	dialer  net.Dialer
	opened  metrics.Counter
	foreign metrics.Counter
	trust   idleTrust

	mu   sync.Mutex
	idle map[string][]*conn // by address, last used last
	// silentAt is when a connection to an address went silent. Those opened
	// before are not kept.
	silentAt map[string]time.Time
}

// New returns a client that dials with a dialer.
func New(d net.Dialer, registry metrics.Registry) *Client {
	d.Timeout = dialTimeout
	return &Client{
		dialer: d, idle: map[string][]*conn{}, silentAt: map[string]time.Time{},
		opened:  metrics.GetOrRegisterCounter("upstream.connections_opened", registry),
		foreign: metrics.GetOrRegisterCounter("upstream.answers_skipped", registry),
	}
}

// Do sends a request and reads the whole answer. When ctx ends first the
// connection is reset, so that the target stops. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, &Error{Step: "connect", Target: r.Target, Address: r.Address, Err: err}
	}
	if r.Gate != nil {
		if err := r.Gate(); err != nil {
			c.keep(cn)
			return nil, &Error{Step: "gate", Target: r.Target, Address: r.Address, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, cn.reset)
	answer, err := c.exchange(cn, r)
	ended := !stop()
	if err != nil || ended {
		cn.reset()
	}
	if err != nil {
		if ctx.Err() != nil {
			err = errors.Wrap(context.Cause(ctx), err.Error())
			c.distrust(r.Address)
		} else if cn.idleFor > 0 {
			c.trust.reset(time.Now(), r.Address, cn.idleFor)
		}
		return nil, &Error{Step: "exchange", Target: r.Target, Address: r.Address, Sent: cn.sent, Err: err}
	}
	if !ended && !cn.broken {
		c.keep(cn)
	} else {
		cn.reset()
	}
	return answer, nil
}

// distrust drops the idle connections of an address after one went silent.
func (c *Client) distrust(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.silentAt[address] = time.Now()
	c.mu.Unlock()
	for _, cn := range idle {
		cn.Close()
	}
}

func (c *Client) connection(ctx context.Context, r Request) (*conn, error) {
	for {
		cn := c.takeIdle(r.Address)
		if cn == nil {
			break
		}
		now := time.Now()
		age := now.Sub(cn.lastUsed)
		if age < cn.keepFor && (!r.Once || age < c.trust.now(now)) && cn.quiet() {
			cn.sent, cn.idleFor = false, age
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
	return &conn{Conn: raw, address: r.Address, openedAt: opened, keepFor: idleKeep, reader: bufio.NewReader(raw)}, nil
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

func (c *Client) keep(cn *conn) {
	cn.lastUsed = time.Now()
	c.mu.Lock()
	list := c.idle[cn.address]
	if cn.reader.Buffered() == 0 && len(list) < maxIdle && !cn.openedAt.Before(c.silentAt[cn.address]) {
		c.idle[cn.address] = append(list, cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.Close()
	}
}

// Tend closes idle connections that are too old to be used again, until ctx ends.
func (c *Client) Tend(ctx context.Context) {
	ticker := time.NewTicker(tendPause)
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

func (c *Client) closeIdle() {
	c.mu.Lock()
	var old []*conn
	for address, list := range c.idle {
		n := 0
		for n < len(list) && time.Since(list[n].lastUsed) >= list[n].keepFor {
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
		if time.Since(at) > silentMemory {
			delete(c.silentAt, address)
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		cn.Close()
	}
}

func (c *Client) exchange(cn *conn, r Request) (*Answer, error) {
	req, head, err := encode(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	began := time.Now()
	cn.sent = true
	if len(head) <= lingerBody {
		if _, err := cn.Write(head); err != nil {
			return nil, errors.Wrap(err, "send")
		}
		return c.receive(cn, r, req, began)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = cn.Write(head) // a failed write shows at the read
	}()
	answer, err := c.receive(cn, r, req, began)
	select {
	case <-written:
	default:
		cn.broken = true // answered before the body was sent
	}
	return answer, err
}

func encode(r Request) (*http.Request, []byte, error) {
	u := &url.URL{Opaque: r.URI}
	if strings.HasPrefix(r.URI, "//") {
		var err error
		if u, err = url.ParseRequestURI(r.URI); err != nil {
			return nil, nil, err
		}
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: r.Header, ContentLength: int64(len(r.Body)),
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, given := r.Header["User-Agent"]; !given {
		r.Header["User-Agent"] = []string{""} // net/http would add its own
	}
	var out bytes.Buffer
	out.Grow(1024 + len(r.Body))
	err := req.Write(&out)
	return req, out.Bytes(), err
}

// receive reads answers until one belongs to the request.
func (c *Client) receive(cn *conn, r Request, req *http.Request, began time.Time) (*Answer, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(cn.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "receive")
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, errors.Wrap(err, "receive body")
		}
		switch {
		case resp.StatusCode < http.StatusOK:
		case r.Belongs != nil && !r.Belongs(resp.Header):
			c.foreign.Inc(1)
			if foreign++; foreign > maxForeignAnswers || resp.Close {
				return nil, errors.New("the answers on the connection belong to other requests")
			}
		default:
			cn.broken = cn.broken || resp.Close || unframed(resp)
			cn.keepFor = keepFor(resp.Header)
			return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Took: time.Since(began)}, nil
		}
	}
}

// keepFor returns how long a connection may stay idle, from the timeout that
// the answer states, if any.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if sec, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return min(idleKeep, time.Duration(sec)*time.Second-idleMargin)
		}
	}
	return idleKeep
}

// unframed tells whether only the end of the connection ends the body.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > MaxAnswerBytes {
		return nil, errors.Errorf("the answer has %d bytes, more than %d", resp.ContentLength, int64(MaxAnswerBytes))
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(body) > MaxAnswerBytes {
		err = errors.Errorf("the answer has more than %d bytes", int64(MaxAnswerBytes))
	}
	return body, err
}
