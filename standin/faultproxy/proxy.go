// Package faultproxy is a TCP proxy that injects network faults for tests: it
// can delay, partition, black-hole, reset and refuse connections.
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
	queuedChunks  = 512 // per direction of a connection; when the queue is full, the sender is blocked by TCP flow control
	dialTimeout   = 2 * time.Second
	relistenTries = 100
	relistenPause = 20 * time.Millisecond
)

// Config holds the parameters of New. The faults are in Settings and Link.
type Config struct {
	Listen   string // host:port; empty means a free port on 127.0.0.1
	Upstream string // host:port
	// FromClientIP lets the upstream tell clients apart: it is dialled from the
	// client's IP address, which has to be one of this machine.
	FromClientIP bool
	// Delivered, if set, is called with the bytes for the upstream immediately
	// before they are written, concurrently for different connections. It must
	// not retain the slice.
	Delivered func(data []byte)
}

// Direction is one of the two directions of a connection.
type Direction int

const (
	ToUpstream Direction = iota
	ToClient
)

// Settings are the faults of one direction.
type Settings struct {
	// Delay is the one-way latency. It does not limit the throughput.
	Delay time.Duration
	// Cut partitions the direction: bytes and the closing of connections are
	// queued and delivered when the cut ends, as TCP retransmits them after a
	// partition.
	Cut bool
}

// Stats holds numbers of connections.
type Stats struct {
	Accepted   int // since New
	Open       int // including black-holed connections
	Blackholed int // open connections that discard all bytes, also after a Reset
}

// Proxy forwards connections from one address to another.
type Proxy struct {
	upstream     string
	fromClientIP bool
	delivered    func([]byte)
	addr         string
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu             sync.Mutex
	listener       net.Listener // nil while connections are refused
	settings       [2]Settings
	clientSettings map[string][2]Settings // additional faults by the client's IP address
	changed        chan struct{}          // closed and replaced when settings change
	pairs          map[*connPair]bool
	accepted       int
	link           Link
	bytes          [2]int64
}

// Link is the simulated network between the clients and the upstream.
type Link struct {
	// Delay returns the one-way latency for a client's address. It is called
	// once for each connection, and its result is added to Settings.Delay. Nil
	// means no latency.
	Delay   func(client net.Addr) time.Duration
	Connect time.Duration // delay before each dial of the upstream
}

// SetLink replaces the link. A connection over which bytes have been received
// keeps the latency that Link.Delay returned for it.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Bytes returns the number of bytes read from the senders of each direction.
func (p *Proxy) Bytes() (toUpstream, toClient int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[ToUpstream], p.bytes[ToClient]
}

// New listens on cfg.Listen and starts forwarding. It returns an error if it
// cannot listen.
func New(cfg Config) (*Proxy, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{upstream: cfg.Upstream, fromClientIP: cfg.FromClientIP, delivered: cfg.Delivered, addr: listener.Addr().String(), listener: listener,
		changed: make(chan struct{}), pairs: map[*connPair]bool{}, clientSettings: map[string][2]Settings{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Go(func() { p.acceptLoop(listener) })
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// Stats returns the current numbers of connections.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Accepted: p.accepted, Open: len(p.pairs)}
	for c := range p.pairs {
		if c.isBlackholed() {
			s.Blackholed++
		}
	}
	return s
}

// Set replaces the settings of a direction for new and open connections.
func (p *Proxy) Set(d Direction, s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings[d] = s
	p.notifyChanged()
}

// notifyChanged wakes all goroutines that wait for a change of the settings. It
// must be called with mu held.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetClient replaces the settings of a direction for the connections of one client
// IP address. They apply in addition to the settings for all clients.
func (p *Proxy) SetClient(ip string, d Direction, s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	directions := p.clientSettings[ip]
	directions[d] = s
	p.clientSettings[ip] = directions
	p.notifyChanged()
}

// SetClientBoth replaces the settings of both directions for one client.
func (p *Proxy) SetClientBoth(ip string, s Settings) {
	p.SetClient(ip, ToUpstream, s)
	p.SetClient(ip, ToClient, s)
}

// Heal removes all Settings, also those for single clients. Bytes that a cut has
// queued are delivered. The link and black-holed connections stay as they are.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = [2]Settings{}
	clear(p.clientSettings)
	p.notifyChanged()
}

// SetBoth replaces the settings of both directions.
func (p *Proxy) SetBoth(s Settings) {
	p.Set(ToUpstream, s)
	p.Set(ToClient, s)
}

// Refuse makes the proxy refuse new connections, or accept them again. It
// returns an error if it cannot listen again. After Close it has no effect.
func (p *Proxy) Refuse(refuse bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if refuse {
		if p.listener != nil {
			_ = p.listener.Close() // a failed close leaves nothing to release
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
			p.wg.Go(func() { p.acceptLoop(listener) })
			return nil
		}
		if try >= relistenTries {
			return errors.Wrap(err, "listen again")
		}
		time.Sleep(relistenPause) // an outgoing connection may occupy the port for a short time
	}
}

// BlackholeExisting black-holes the connections that are open now: they stay open
// but discard all bytes from then on. New connections work.
func (p *Proxy) BlackholeExisting() {
	for _, c := range p.openPairs() {
		c.blackhole()
	}
}

// BlackholeClient is BlackholeExisting for the connections of one client IP.
func (p *Proxy) BlackholeClient(ip string) {
	for _, c := range p.openPairs() {
		if c.clientIP == ip {
			c.blackhole()
		}
	}
}

// Reset resets the open connections at the destination of the direction. The
// other end gets no reset and sees a connection that discards all bytes.
func (p *Proxy) Reset(d Direction) {
	for _, c := range p.openPairs() {
		c.blackhole()
		reset(c.destination(d))
	}
}

// ResetBoth resets the open connections at both ends.
func (p *Proxy) ResetBoth() {
	for _, c := range p.openPairs() {
		c.blackhole()
		reset(c.destination(ToClient))
		reset(c.destination(ToUpstream))
	}
}

// Close closes the listener and all connections and waits for all goroutines of
// the proxy.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.Refuse(true) // closes the listener; returns no error
	for _, c := range p.openPairs() {
		c.close()
	}
	p.wg.Wait()
}

func (p *Proxy) openPairs() []*connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*connPair, 0, len(p.pairs))
	for c := range p.pairs {
		out = append(out, c)
	}
	return out
}

// settingsAndChange returns the effective settings and the channel that is closed
// when settings change.
func (p *Proxy) settingsAndChange(d Direction, clientIP string) (Settings, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effectiveSettings(d, clientIP), p.changed
}

// effectiveSettings returns the settings of a direction combined with the
// client's additional settings. It must be called with mu held.
func (p *Proxy) effectiveSettings(d Direction, clientIP string) Settings {
	s, additional := p.settings[d], p.clientSettings[clientIP][d]
	s.Delay += additional.Delay
	s.Cut = s.Cut || additional.Cut
	return s
}

// countReceived counts n received bytes and returns the settings and the link
// that apply to them.
func (p *Proxy) countReceived(d Direction, clientIP string, n int) (Settings, Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[d] += int64(n)
	return p.effectiveSettings(d, clientIP), p.link
}

func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // Refuse or Close has closed the listener
		}
		c := newConnPair(p, conn.(*net.TCPConn))
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

// waitWhileCut waits until a direction is not cut. It returns false if the
// connection is black-holed, or if it is closed while waiting.
func (p *Proxy) waitWhileCut(d Direction, c *connPair) bool {
	for {
		s, changed := p.settingsAndChange(d, c.clientIP)
		if !s.Cut {
			return !c.isBlackholed()
		}
		select {
		case <-changed:
		case <-c.blackholed:
			return false
		case <-c.closed:
			return false
		}
	}
}
