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
	// A manager's support lasts 1 s and is renewed every 200 ms. A silent
	// connection must be found within half of that, or the term ends with it.
	pingInterval = 100 * time.Millisecond // between pings while calls are waiting
	pingTimeout  = 400 * time.Millisecond // after this a connection is condemned
	// connsPerPeer spreads large bodies, so that one does not hold up all calls.
	connsPerPeer = 4
)

// Options change how a Client keeps its connections.
type Options struct {
	// Connections to each peer; 0 means connsPerPeer.
	Connections int
	// NoPings leaves it to the caller to find silent connections, by calls of
	// its own with a timeout and Drop.
	NoPings bool
}

// CallError is a failed call. MayHaveRun is false only when the call provably
// did not reach the peer.
type CallError struct {
	Step       string // dial, send or call
	Peer       string
	Method     string
	MayHaveRun bool
	Err        error
}

// Error returns the step, the method and the peer.
func (e *CallError) Error() string {
	return e.Step + " " + e.Method + " at peer " + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls other VMs by address.
type Client struct {
	key       []byte
	tls       *tls.Config
	condemned metrics.Counter
	traffic   *wire.Counters
	// LocalAddr is the source of connections; nil leaves it to the system.
	// It and Options are set before the first call.
	LocalAddr *net.TCPAddr
	Options   Options

	mu     sync.Mutex
	peers  map[string]*connSet
	closed bool
}

type connSet struct {
	slots []*conn
	next  int
}

// conn is one connection with its watchdog.
type conn struct {
	ready    chan struct{} // closed when the dial has ended
	rpc      *rpc.Client
	err      error
	openedAt time.Time // set before ready is closed
	mu       sync.Mutex
	waiting  int
	watching bool
	dead     bool
	retired  bool // takes no new calls; closed when none is waiting
}

// NewClient returns a client.
func NewClient(key []byte, tlsConfig *tls.Config, registry metrics.Registry) *Client {
	return &Client{
		key: key, tls: tlsConfig, peers: map[string]*connSet{},
		condemned: metrics.GetOrRegisterCounter("peer.connections_condemned", registry),
		traffic:   wire.NewCounters("peer.client", registry),
	}
}

// Name implements kernel.Module.
func (c *Client) Name() string { return ClientName }

// Call calls a method of the peer at an address and waits until ctx ends. The
// error is a *CallError or the peer's rpc.ServerError.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	cn, err := c.connection(ctx, address)
	if err != nil {
		return &CallError{Step: "dial", Peer: address, Method: method, Err: err}
	}
	done := make(chan *rpc.Call, 1)
	if !c.Options.NoPings {
		c.watch(address, cn)
	}
	defer cn.finished()
	cn.rpc.Go(method, args, reply, done)
	select {
	case call := <-done:
		if call.Error == nil {
			return nil
		}
		var remote rpc.ServerError
		if errors.As(call.Error, &remote) {
			return remote
		}
		c.drop(address, cn)
		return &CallError{Step: "call", Peer: address, Method: method, MayHaveRun: true, Err: call.Error}
	case <-ctx.Done():
		return &CallError{Step: "call", Peer: address, Method: method, MayHaveRun: true, Err: ctx.Err()}
	}
}

func (c *Client) connections() int {
	if c.Options.Connections > 0 {
		return c.Options.Connections
	}
	return connsPerPeer
}

// Drop closes the connections to a peer that were open when a call without an
// answer began. Calls that wait on them fail.
func (c *Client) Drop(address string, began time.Time) {
	c.mu.Lock()
	var old []*conn
	if set := c.peers[address]; set != nil {
		for _, cn := range set.slots {
			if cn != nil && cn.openedBefore(began) {
				old = append(old, cn)
			}
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		c.condemned.Inc(1)
		c.drop(address, cn)
	}
}

func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("client is closed")
	}
	set := c.peers[address]
	if set == nil {
		set = &connSet{slots: make([]*conn, c.connections())}
		c.peers[address] = set
	}
	set.next = (set.next + 1) % len(set.slots)
	i := set.next
	cn := set.slots[i]
	if cn == nil {
		cn = &conn{ready: make(chan struct{})}
		set.slots[i] = cn
		go c.dial(address, cn)
	}
	cn.reserve() // under mu, so that retire sees the call
	c.mu.Unlock()
	select {
	case <-cn.ready:
	case <-ctx.Done():
		cn.finished()
		return nil, ctx.Err()
	}
	if cn.err != nil {
		cn.finished()
		return nil, cn.err
	}
	return cn, nil
}

func (c *Client) dial(address string, cn *conn) {
	defer close(cn.ready)
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: SetUserTimeout}
	Bind(&d, c.LocalAddr)
	raw, err := d.Dial("tcp", address)
	if err == nil {
		raw = c.traffic.Conn(raw)
	}
	if err == nil && c.tls != nil {
		raw = tls.Client(raw, tlsFor(c.tls, address))
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
	if cn.dead { // the client was stopped meanwhile
		cn.err = errors.New("client is closed")
		cn.rpc.Close()
	}
}

func tlsFor(base *tls.Config, address string) *tls.Config {
	cfg := base.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address)
	}
	return cfg
}

// userTimeout bounds how long sent data may stay unacknowledged.
const userTimeout = 2 * time.Second

// SetUserTimeout sets TCP_USER_TIMEOUT; it is a net.Dialer control function.
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

// drop removes a connection so that the next call dials a new one.
func (c *Client) drop(address string, cn *conn) {
	c.mu.Lock()
	if set := c.peers[address]; set != nil {
		for i := range set.slots {
			if set.slots[i] == cn {
				set.slots[i] = nil
			}
		}
	}
	c.mu.Unlock()
	cn.mu.Lock()
	cn.dead = true
	client := cn.rpc
	cn.mu.Unlock()
	if client != nil {
		client.Close()
	}
}

// retire takes the other connections to a peer out of use after one of them
// went silent: the same device on the way may have forgotten them too. Calls
// that wait on them go on. A connection opened since then is kept.
func (c *Client) retire(address string, since time.Time) {
	c.mu.Lock()
	var idle []*conn
	if set := c.peers[address]; set != nil {
		for i, cn := range set.slots {
			if cn == nil || !cn.openedBefore(since) {
				continue
			}
			set.slots[i] = nil
			if cn.retire() {
				idle = append(idle, cn)
			}
		}
	}
	c.mu.Unlock()
	for _, cn := range idle {
		cn.rpc.Close()
	}
}

func (cn *conn) openedBefore(t time.Time) bool {
	select {
	case <-cn.ready:
		return cn.err == nil && cn.openedAt.Before(t)
	default:
		return false
	}
}

// retire tells whether the connection can be closed at once.
func (cn *conn) retire() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.retired = true
	return cn.waiting == 0
}

func (cn *conn) reserve() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.waiting++
}

// watch pings the connection while calls wait on it. A connection that a
// device between the two ends has forgotten stays open and silent; the failed
// ping closes it, and the waiting calls fail at once instead of at their deadline.
func (c *Client) watch(address string, cn *conn) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.watching {
		cn.watching = true
		go c.watchdog(address, cn)
	}
}

func (cn *conn) finished() {
	cn.mu.Lock()
	cn.waiting--
	done := cn.retired && cn.waiting == 0 && !cn.dead
	cn.mu.Unlock()
	if done {
		cn.rpc.Close()
	}
}

// stopWatching tells whether the watchdog can end.
func (cn *conn) stopWatching() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.waiting > 0 && !cn.dead {
		return false
	}
	cn.watching = false
	return true
}

func (c *Client) watchdog(address string, cn *conn) {
	for {
		time.Sleep(pingInterval)
		if cn.stopWatching() {
			return
		}
		sent := time.Now()
		call := cn.rpc.Go("Ping.Ping", struct{}{}, new(struct{}), make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				c.drop(address, cn)
				return
			}
		case <-time.After(pingTimeout):
			c.condemned.Inc(1)
			c.drop(address, cn)
			c.retire(address, sent)
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
		for _, cn := range set.slots {
			if cn != nil {
				all = append(all, cn)
			}
		}
	}
	c.peers = map[string]*connSet{}
	c.mu.Unlock()
	for _, cn := range all {
		c.drop("", cn)
	}
	return nil
}
