package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/mangogate/mangogate/node/wire"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// ClientName is the module name of Client.
const ClientName = "peer.client"

const (
	dialTimeout = 500 * time.Millisecond
	// The manager's lease lasts 1 s and is renewed every 200 ms. A silent
	// connection, one that is open but delivers nothing, must be detected within
	// half of the lease, so that a renewal over a new connection succeeds before the
	// lease, and the manager's term, ends.
	pingInterval = 100 * time.Millisecond // between pings while calls are in flight
	pingTimeout  = 400 * time.Millisecond // a connection whose ping gets no reply for this long is closed
	// connsPerPeer is the default number of connections to a peer. With several,
	// one call with a large body does not delay all other calls.
	connsPerPeer = 4
	// drainPingInterval and drainPingTimeout are the interval between pings of a connection
	// that Drain has replaced, and how long one may go without a reply. The timeout spans a
	// pause of the peer's process of 1 s.
	drainPingInterval = 500 * time.Millisecond
	drainPingTimeout  = 1500 * time.Millisecond
	// maxDrain bounds how long such a connection stays open. Requests of the longest
	// routes of the deployments have a deadline of 10 s.
	maxDrain = 11 * time.Second
)

// Options configure how a Client manages its connections.
type Options struct {
	// Connections is the number of connections to each peer; 0 means connsPerPeer.
	Connections int
	// NoPings turns pings off. The caller then has to detect silent connections
	// by the timeouts of its own calls, and replace them with Drain.
	NoPings bool
}

// CallError is a call that failed without a reply from the peer. MayHaveRun is
// false only when the call certainly did not reach the peer.
type CallError struct {
	Step       string // dial or call
	Peer       string
	Method     string
	MayHaveRun bool
	Err        error
}

// Error returns the step, the method, the peer and the cause.
func (e *CallError) Error() string {
	return e.Step + " " + e.Method + " at peer " + e.Peer + ": " + e.Err.Error()
}

func (e *CallError) Unwrap() error { return e.Err }

// Client calls other VMs by address.
type Client struct {
	key          []byte
	tls          *tls.Config
	unresponsive metrics.Counter // connections that were closed because the peer did not reply
	traffic      *wire.Counters
	// LocalAddr is the source address of connections; nil lets the system choose.
	// LocalAddr and Options must be set before the first call.
	LocalAddr *net.TCPAddr
	Options   Options

	mu      sync.Mutex
	peers   map[string]*connSet
	drained map[*conn]bool // replaced by Drain and not closed yet
	closed  bool
}

// connSet holds the connections to one peer, which calls use in turn.
type connSet struct {
	conns []*conn // nil where the next call has to dial
	next  int
}

// conn is one connection and the state of its pings.
type conn struct {
	ready    chan struct{} // closed when the dial has succeeded or failed
	rpc      *rpc.Client
	err      error
	openedAt time.Time // set before ready is closed
	mu       sync.Mutex
	// repliedAt is when the last reply arrived; zero if none has.
	repliedAt time.Time
	inFlight  int  // calls that use the connection or wait for its dial
	pinging   bool // pingLoop runs
	dropped   bool // removed from its connSet and closed
	draining  bool // takes no new calls; closed when no call is in flight
}

// NewClient returns a client that has no connections yet. A nil TLS configuration
// means plain text.
func NewClient(key []byte, tlsConfig *tls.Config, registry metrics.Registry) *Client {
	return &Client{
		key: key, tls: tlsConfig, peers: map[string]*connSet{}, drained: map[*conn]bool{},
		unresponsive: metrics.GetOrRegisterCounter("peer.connections_condemned", registry),
		traffic:      wire.NewCounters("peer.client", registry),
	}
}

// Name implements kernel.Module.
func (c *Client) Name() string { return ClientName }

// Call calls a method of the peer at an address and waits for the reply at most
// until ctx ends. The error is a *CallError, or the rpc.ServerError that the
// method returned.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	cn, err := c.connection(ctx, address)
	if err != nil {
		return &CallError{Step: "dial", Peer: address, Method: method, Err: err}
	}
	done := make(chan *rpc.Call, 1)
	if !c.Options.NoPings {
		c.startPinging(address, cn)
	}
	defer cn.callDone()
	cn.rpc.Go(method, args, reply, done)
	select {
	case call := <-done:
		if call.Error == nil {
			cn.noteReply()
			return nil
		}
		var remote rpc.ServerError
		if errors.As(call.Error, &remote) {
			cn.noteReply()
			return remote
		}
		c.drop(address, cn)
		return &CallError{Step: "call", Peer: address, Method: method, MayHaveRun: true, Err: call.Error}
	case <-ctx.Done():
		return &CallError{Step: "call", Peer: address, Method: method, MayHaveRun: true, Err: ctx.Err()}
	}
}

func (c *Client) connCount() int {
	if c.Options.Connections > 0 {
		return c.Options.Connections
	}
	return connsPerPeer
}

// Drain replaces the connections to a peer that have delivered nothing since cutoff, the
// time when a call that got no reply was sent: later calls use new connections. An old one
// stays open for the calls in flight on it, until they have ended, a ping gets no reply
// for drainPingTimeout, or maxDrain has passed. The peer may only be slow, so that closing
// it at once would fail all of them.
func (c *Client) Drain(address string, cutoff time.Time) {
	c.mu.Lock()
	var idle, busy []*conn
	if set := c.peers[address]; set != nil && !c.closed {
		for i, cn := range set.conns {
			if cn == nil || !cn.openedBefore(cutoff) || cn.repliedSince(cutoff) {
				continue
			}
			set.conns[i] = nil
			if cn.startDraining() {
				idle = append(idle, cn)
			} else {
				busy = append(busy, cn)
				c.drained[cn] = true
			}
		}
	}
	c.mu.Unlock()
	c.unresponsive.Inc(int64(len(idle) + len(busy)))
	for _, cn := range idle {
		cn.rpc.Close()
	}
	for _, cn := range busy {
		go c.watchDrained(cn)
	}
}

// watchDrained closes a connection that Drain has replaced once it is silent or maxDrain
// has passed, and returns when it is closed.
func (c *Client) watchDrained(cn *conn) {
	defer func() {
		cn.rpc.Close()
		c.mu.Lock()
		delete(c.drained, cn)
		c.mu.Unlock()
	}()
	end := time.After(maxDrain)
	for {
		answered := make(chan error, 1)
		// Sending blocks on a silent connection whose buffer is full, until it is closed.
		go func() { answered <- cn.rpc.Call("Ping.Ping", struct{}{}, new(struct{})) }()
		select {
		case err := <-answered:
			if err != nil { // callDone has closed the connection, or it has failed
				return
			}
		case <-time.After(drainPingTimeout):
			return
		case <-end:
			return
		}
		select {
		case <-time.After(drainPingInterval):
		case <-end:
			return
		}
	}
}

func (cn *conn) noteReply() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.repliedAt = time.Now()
}

// repliedSince reports whether a reply has arrived after t.
func (cn *conn) repliedSince(t time.Time) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.repliedAt.After(t)
}

// connection returns a connection to a peer, and waits until it is open. The
// caller must call callDone once it no longer uses the connection.
func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("client is closed")
	}
	set := c.peers[address]
	if set == nil {
		set = &connSet{conns: make([]*conn, c.connCount())}
		c.peers[address] = set
	}
	set.next = (set.next + 1) % len(set.conns)
	i := set.next
	cn := set.conns[i]
	if cn == nil {
		cn = &conn{ready: make(chan struct{})}
		set.conns[i] = cn
		go c.dial(address, cn)
	}
	cn.addCall() // under mu, so that drainOpenedBefore counts this call
	c.mu.Unlock()
	select {
	case <-cn.ready:
	case <-ctx.Done():
		cn.callDone()
		return nil, ctx.Err()
	}
	if cn.err != nil {
		cn.callDone()
		return nil, cn.err
	}
	return cn, nil
}

func (c *Client) dial(address string, cn *conn) {
	defer close(cn.ready)
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: SetUserTimeout}
	BindSource(&d, c.LocalAddr)
	raw, err := d.Dial("tcp", address)
	if err == nil {
		raw = c.traffic.Conn(raw)
	}
	if err == nil && c.tls != nil {
		raw = tls.Client(raw, tlsConfigFor(c.tls, address))
	}
	if err == nil {
		err = clientHandshake(raw, c.key)
		if err != nil {
			raw.Close()
		}
	}
	if err != nil {
		cn.err = err
		c.drop(address, cn)
		return
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.rpc, cn.openedAt = rpc.NewClient(raw), time.Now()
	if cn.dropped { // the client was stopped during the dial
		cn.err = errors.New("client is closed")
		cn.rpc.Close()
	}
}

// tlsConfigFor returns a configuration that verifies the host of an address unless
// base names another server.
func tlsConfigFor(base *tls.Config, address string) *tls.Config {
	cfg := base.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	return cfg
}

const userTimeout = 2 * time.Second

// SetUserTimeout sets TCP_USER_TIMEOUT, after which the kernel closes a connection
// with unacknowledged data, to 2 s. It has the type of net.Dialer.Control.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return setErr
}

// drop closes a connection and removes it from its connSet, so that a later call
// dials a new one.
func (c *Client) drop(address string, cn *conn) {
	c.mu.Lock()
	if set := c.peers[address]; set != nil {
		for i := range set.conns {
			if set.conns[i] == cn {
				set.conns[i] = nil
			}
		}
	}
	c.mu.Unlock()
	cn.mu.Lock()
	cn.dropped = true
	client := cn.rpc
	cn.mu.Unlock()
	if client != nil {
		client.Close()
	}
}

// drainOpenedBefore drains the connections to a peer that were opened before
// cutoff, the time of a ping that got no reply, because the network device that
// lost the state of the pinged connection may have lost theirs too.
func (c *Client) drainOpenedBefore(address string, cutoff time.Time) {
	c.mu.Lock()
	var idle []*conn
	if set := c.peers[address]; set != nil {
		for i, cn := range set.conns {
			if cn == nil || !cn.openedBefore(cutoff) {
				continue
			}
			set.conns[i] = nil
			if cn.startDraining() {
				idle = append(idle, cn)
			}
		}
	}
	c.mu.Unlock()
	for _, cn := range idle {
		cn.rpc.Close()
	}
}

// openedBefore returns false for a connection that is still being dialled.
func (cn *conn) openedBefore(t time.Time) bool {
	select {
	case <-cn.ready:
		return cn.err == nil && cn.openedAt.Before(t)
	default:
		return false
	}
}

// startDraining keeps the connection for its in-flight calls only. It returns true
// if there are none, so that the caller can close the connection.
func (cn *conn) startDraining() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.draining = true
	return cn.inFlight == 0
}

func (cn *conn) addCall() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.inFlight++
}

// startPinging makes sure that the connection is pinged while calls are in flight.
// A connection becomes silent when a network device between the two ends loses its
// state. A failed ping closes it, so that its calls fail before their deadlines.
func (c *Client) startPinging(address string, cn *conn) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.pinging {
		cn.pinging = true
		go c.pingLoop(address, cn)
	}
}

// callDone ends a call's use of the connection.
func (cn *conn) callDone() {
	cn.mu.Lock()
	cn.inFlight--
	done := cn.draining && cn.inFlight == 0 && !cn.dropped
	cn.mu.Unlock()
	if done {
		cn.rpc.Close()
	}
}

// stopPingingIfIdle returns true if pingLoop must end because no call is in flight
// or the connection was dropped.
func (cn *conn) stopPingingIfIdle() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.inFlight > 0 && !cn.dropped {
		return false
	}
	cn.pinging = false
	return true
}

// pingLoop pings the connection and drops it when a ping fails or times out. After
// a timeout it also drains the other connections to the peer that are as old.
func (c *Client) pingLoop(address string, cn *conn) {
	for {
		time.Sleep(pingInterval)
		if cn.stopPingingIfIdle() {
			return
		}
		sentAt := time.Now()
		call := cn.rpc.Go("Ping.Ping", struct{}{}, new(struct{}), make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				c.drop(address, cn)
				return
			}
		case <-time.After(pingTimeout):
			c.unresponsive.Inc(1)
			c.drop(address, cn)
			c.drainOpenedBefore(address, sentAt)
			return
		}
	}
}

// Stop closes all connections.
func (c *Client) Stop(context.Context) error {
	c.mu.Lock()
	c.closed = true
	var all []*conn
	for _, set := range c.peers {
		for _, cn := range set.conns {
			if cn != nil {
				all = append(all, cn)
			}
		}
	}
	for cn := range c.drained {
		all = append(all, cn)
	}
	c.peers = map[string]*connSet{}
	c.mu.Unlock()
	for _, cn := range all {
		c.drop("", cn)
	}
	return nil
}
