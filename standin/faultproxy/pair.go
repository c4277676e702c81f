package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// pair is a connection of a client and the one to the upstream that belongs to it.
type pair struct {
	proxy  *Proxy
	held   chan struct{} // closed when the connection goes silent
	closed chan struct{}
	client *net.TCPConn
	// clientIP is the client's address without the port.
	clientIP string

	mu       sync.Mutex
	upstream *net.TCPConn // nil until it is dialled
	heldOnce sync.Once
	endOnce  sync.Once
	linkOnce sync.Once
	latency  time.Duration // of the link; set by linkOnce
}

// chunk is what was read at once. An error ends the direction: io.EOF closes
// the other end for writing, any other resets it.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

func newPair(p *Proxy, client *net.TCPConn) *pair {
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String()) // TCP addresses have a port
	return &pair{proxy: p, client: client, clientIP: ip, held: make(chan struct{}), closed: make(chan struct{})}
}

func (c *pair) hold() { c.heldOnce.Do(func() { close(c.held) }) }

func (c *pair) isHeld() bool {
	select {
	case <-c.held:
		return true
	default:
		return false
	}
}

// end returns the connection that a direction leads to, or nil.
func (c *pair) end(d Direction) *net.TCPConn {
	if d == ToClient {
		return c.client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream
}

func (c *pair) close() {
	c.endOnce.Do(func() { close(c.closed) })
	for _, d := range []Direction{ToClient, ToUpstream} {
		if conn := c.end(d); conn != nil {
			_ = conn.Close() // closed twice at worst
		}
	}
}

// reset closes a connection with RST.
func reset(conn *net.TCPConn) {
	if conn != nil {
		_ = conn.SetLinger(0) // fails only on a closed connection
		_ = conn.Close()
	}
}

func (c *pair) run() {
	defer c.forget()
	if !c.dial() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pipe(ToUpstream, c.client, c.upstream) })
	wg.Go(func() { c.pipe(ToClient, c.upstream, c.client) })
	wg.Wait()
}

func (c *pair) forget() {
	c.close()
	c.proxy.mu.Lock()
	delete(c.proxy.pairs, c)
	c.proxy.mu.Unlock()
}

// dial connects to the upstream. A cut delays it, as it would delay a handshake.
func (c *pair) dial() bool {
	if !c.proxy.passable(ToUpstream, c) {
		c.silence()
		return false
	}
	c.proxy.mu.Lock()
	connect := c.proxy.link.Connect
	c.proxy.mu.Unlock()
	time.Sleep(connect)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(c.proxy.ctx, "tcp", c.proxy.upstream)
	if err != nil {
		reset(c.client)
		return false
	}
	c.mu.Lock()
	c.upstream = conn.(*net.TCPConn)
	c.mu.Unlock()
	select {
	case <-c.closed: // close may have missed the new connection
		c.close()
		return false
	default:
		return true
	}
}

// silence reads what a client sends on a connection that has no upstream.
func (c *pair) silence() {
	_, _ = io.Copy(io.Discard, c.client) // ends with the connection
}

// pipe forwards one direction. The reader stamps each chunk with the time it
// is due, so that a delay does not limit the number of chunks on the way.
func (c *pair) pipe(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { c.deliver(d, queue, from, to) })
	c.receive(d, from, queue)
	close(queue)
	wg.Wait()
}

func (c *pair) receive(d Direction, from *net.TCPConn, queue chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		at := time.Now()
		settings, link := c.proxy.received(d, c.clientIP, n)
		due := at.Add(settings.Delay + c.linkDelay(link))
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: due}
		}
		if err != nil {
			queue <- chunk{err: err, due: due}
			return
		}
	}
}

func (c *pair) linkDelay(l Link) time.Duration {
	if l.Delay == nil {
		return 0
	}
	c.linkOnce.Do(func() { c.latency = l.Delay(c.client.RemoteAddr()) })
	return c.latency
}

// deliver writes the chunks in order when they are due. After a failure, and
// on a held connection, it swallows the rest so that the reader never blocks.
func (c *pair) deliver(d Direction, queue <-chan chunk, from, to *net.TCPConn) {
	dead := false
	for item := range queue {
		if dead || !c.wait(d, item.due) {
			continue
		}
		switch {
		case item.err == io.EOF:
			_ = to.CloseWrite() // the other end is gone when this fails
		case item.err != nil:
			reset(to)
		default:
			if d == ToUpstream && c.proxy.delivered != nil {
				c.proxy.delivered(item.data)
			}
			if _, err := to.Write(item.data); err != nil {
				dead = true
				if !c.isHeld() {
					reset(from)
				}
			}
		}
	}
	if c.isHeld() {
		_ = from.Close() // its own peer has closed it already
	}
}

// wait returns when a chunk is due and its direction is not cut, or false when
// it must be swallowed.
func (c *pair) wait(d Direction, due time.Time) bool {
	if left := time.Until(due); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.held:
			return false
		case <-c.closed:
			return false
		}
	}
	return c.proxy.passable(d, c)
}
