// Package faultproxy forwards TCP connections and delays, holds, resets or
// refuses them when a test asks for it.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkBytes    = 32 << 10
	queuedChunks  = 512 // per direction; with this many in flight the sender is slowed down
	dialTimeout   = 2 * time.Second
	relistenTries = 100
	relistenPause = 20 * time.Millisecond
)

// Config holds the addresses of a Proxy.
type Config struct {
	Listen   string // empty means a free port on loopback
	Upstream string
	// Delivered is called with the bytes that go to the upstream, immediately
	// before they are written. It must not keep them. Nil means no call.
	Delivered func(data []byte)
}

// Direction is the way that bytes go.
type Direction int

// The directions.
const (
	ToUpstream Direction = iota
	ToClient
)

// Settings are the faults of one direction.
type Settings struct {
	// Delay is the one-way latency. It does not limit the throughput.
	Delay time.Duration
	// Cut holds all bytes back, and the ends of connections too. They are
	// delivered late when the cut ends, as TCP does after a partition.
	Cut bool
}

// Stats counts connections.
type Stats struct {
	Accepted int
	Open     int // held ones included
	Held     int
}

// Proxy forwards connections from one address to another.
type Proxy struct {
	upstream  string
	delivered func([]byte)
	addr      string
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	settings [2]Settings
	clients  map[string][2]Settings // further faults by the client's IP address
	changed  chan struct{}          // closed and replaced when settings change
	pairs    map[*pair]bool
	accepted int
	link     Link
	bytes    [2]int64
}

// Link is the network between a client and the upstream.
type Link struct {
	// Delay returns the one-way latency from a client's address; it is asked
	// once for each connection and added to Settings.Delay. Nil means none.
	Delay func(client net.Addr) time.Duration
	// Connect is the time that opening a connection takes.
	Connect time.Duration
}

// SetLink sets the network, for open connections too.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Bytes returns the number of bytes read for each direction.
func (p *Proxy) Bytes() (toUpstream, toClient int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[ToUpstream], p.bytes[ToClient]
}

// New listens and starts to forward. The error is that of listening.
func New(cfg Config) (*Proxy, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{upstream: cfg.Upstream, delivered: cfg.Delivered, addr: listener.Addr().String(), listener: listener,
		changed: make(chan struct{}), pairs: map[*pair]bool{}, clients: map[string][2]Settings{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(func() { p.accept(listener) })
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// Stats returns the number of connections.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Accepted: p.accepted, Open: len(p.pairs)}
	for c := range p.pairs {
		if c.isHeld() {
			s.Held++
		}
	}
	return s
}

// Set replaces the settings of a direction, for open connections too.
func (p *Proxy) Set(d Direction, s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings[d] = s
	p.wake()
}

// wake must be called with mu held.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetClient replaces the settings of a direction for the connections of one
// client, by its IP address. They apply on top of those for all clients.
func (p *Proxy) SetClient(ip string, d Direction, s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	both := p.clients[ip]
	both[d] = s
	p.clients[ip] = both
	p.wake()
}

// SetClientBoth replaces the settings of both directions for one client.
func (p *Proxy) SetClientBoth(ip string, s Settings) {
	p.SetClient(ip, ToUpstream, s)
	p.SetClient(ip, ToClient, s)
}

// Heal removes all settings. Bytes that were held back are delivered.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = [2]Settings{}
	clear(p.clients)
	p.wake()
}

// SetBoth replaces the settings of both directions.
func (p *Proxy) SetBoth(s Settings) {
	p.Set(ToUpstream, s)
	p.Set(ToClient, s)
}

// Refuse makes the proxy refuse new connections or accept them again. The
// error is that of listening again.
func (p *Proxy) Refuse(refuse bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if refuse {
		if p.listener != nil {
			_ = p.listener.Close() // nothing is left to release when this fails
			p.listener = nil
		}
		return nil
	}
	if p.listener != nil || p.ctx.Err() != nil {
		return nil
	}
	for try := 0; ; try++ {
		listener, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.listener = listener
			p.wg.Go(func() { p.accept(listener) })
			return nil
		}
		if try >= relistenTries {
			return errors.Wrap(err, "listen again")
		}
		time.Sleep(relistenPause) // an outgoing connection may use the port for a while
	}
}

// HoldExisting makes the connections that are open now go silent for good:
// bytes are swallowed and nothing is closed. New connections work.
func (p *Proxy) HoldExisting() {
	for _, c := range p.open() {
		c.hold()
	}
}

// HoldClient is HoldExisting for the connections of one client, by its IP address.
func (p *Proxy) HoldClient(ip string) {
	for _, c := range p.open() {
		if c.clientIP == ip {
			c.hold()
		}
	}
}

// Reset resets the open connections at the end that the direction leads to.
// The other end is not told.
func (p *Proxy) Reset(d Direction) {
	for _, c := range p.open() {
		c.hold()
		reset(c.end(d))
	}
}

// ResetBoth resets the open connections at both ends.
func (p *Proxy) ResetBoth() {
	for _, c := range p.open() {
		c.hold()
		reset(c.end(ToClient))
		reset(c.end(ToUpstream))
	}
}

// Close ends all connections and waits until nothing runs any more.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.Refuse(true) // closes the listener, without an error
	for _, c := range p.open() {
		c.close()
	}
	p.wg.Wait()
}

func (p *Proxy) open() []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pair, 0, len(p.pairs))
	for c := range p.pairs {
		out = append(out, c)
	}
	return out
}

// current returns the settings that apply to a client's connections.
func (p *Proxy) current(d Direction, client string) (Settings, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.combined(d, client), p.changed
}

// combined adds the settings of a client to those of the direction; mu is held.
func (p *Proxy) combined(d Direction, client string) Settings {
	s, own := p.settings[d], p.clients[client][d]
	s.Delay += own.Delay
	s.Cut = s.Cut || own.Cut
	return s
}

// received counts bytes and returns the settings and the link.
func (p *Proxy) received(d Direction, client string, n int) (Settings, Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[d] += int64(n)
	return p.combined(d, client), p.link
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed by Refuse or Close
		}
		c := newPair(p, conn.(*net.TCPConn))
		p.mu.Lock()
		p.pairs[c] = true
		p.accepted++
		p.mu.Unlock()
		if p.ctx.Err() != nil {
			c.close()
		}
		p.wg.Go(c.run)
	}
}

// passable waits until a direction is not cut. It returns false when the
// connection is held or closed before.
func (p *Proxy) passable(d Direction, c *pair) bool {
	for {
		s, changed := p.current(d, c.clientIP)
		if !s.Cut {
			return !c.isHeld()
		}
		select {
		case <-changed:
		case <-c.held:
			return false
		case <-c.closed:
			return false
		}
	}
}
