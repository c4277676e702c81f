package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// connPair is a client's connection and its connection to the upstream.
type connPair struct {
	proxy      *Proxy
	blackholed chan struct{} // closed by blackhole
	closed     chan struct{}
	client     *net.TCPConn
	clientIP   string // without the port

	mu            sync.Mutex
	upstream      *net.TCPConn // nil until dial succeeds
	blackholeOnce sync.Once
	closeOnce     sync.Once
	latencyOnce   sync.Once
	latency       time.Duration // one-way latency of the link; set by latencyOnce
}

// chunk holds the data or the error of a read. An error ends the direction:
// io.EOF closes the destination for writing, any other error resets it.
type chunk struct {
	data []byte
	err  error
	due  time.Time // when the chunk is to be delivered
}

func newConnPair(p *Proxy, client *net.TCPConn) *connPair {
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String()) // the address of a TCP connection always has a port
	return &connPair{proxy: p, client: client, clientIP: ip, blackholed: make(chan struct{}), closed: make(chan struct{})}
}

// blackhole makes the pair discard all bytes from now on without closing anything.
func (c *connPair) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

func (c *connPair) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// destination returns the connection that receives the bytes of a direction. It
// is nil for ToUpstream before the upstream is dialled.
func (c *connPair) destination(d Direction) *net.TCPConn {
	if d == ToClient {
		return c.client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream
}

func (c *connPair) close() {
	c.closeOnce.Do(func() { close(c.closed) })
	for _, d := range []Direction{ToClient, ToUpstream} {
		if conn := c.destination(d); conn != nil {
			_ = conn.Close() // fails only if the connection is already closed
		}
	}
}

// reset closes a connection with a TCP RST.
func reset(conn *net.TCPConn) {
	if conn != nil {
		_ = conn.SetLinger(0) // fails only on a closed connection
		_ = conn.Close()
	}
}

func (c *connPair) run() {
	defer c.closeAndRemove()
	if !c.dial() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pipe(ToUpstream, c.client, c.upstream) })
	wg.Go(func() { c.pipe(ToClient, c.upstream, c.client) })
	wg.Wait()
}

func (c *connPair) closeAndRemove() {
	c.close()
	c.proxy.mu.Lock()
	delete(c.proxy.pairs, c)
	c.proxy.mu.Unlock()
}

// dial connects to the upstream and returns whether it succeeded. An error resets
// the client. A cut delays the dial, as a partition delays a TCP handshake.
func (c *connPair) dial() bool {
	if !c.proxy.waitWhileCut(ToUpstream, c) {
		c.discardClientData()
		return false
	}
	c.proxy.mu.Lock()
	connect := c.proxy.link.Connect
	c.proxy.mu.Unlock()
	time.Sleep(connect)
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.proxy.fromClientIP {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.clientIP)}
	}
	conn, err := dialer.DialContext(c.proxy.ctx, "tcp", c.proxy.upstream)
	if err != nil {
		reset(c.client)
		return false
	}
	c.mu.Lock()
	c.upstream = conn.(*net.TCPConn)
	c.mu.Unlock()
	select {
	case <-c.closed: // close may have run before upstream was set
		c.close()
		return false
	default:
		return true
	}
}

// discardClientData discards what the client sends until its connection ends.
func (c *connPair) discardClientData() {
	_, _ = io.Copy(io.Discard, c.client) // an error also means that the connection has ended
}

// pipe forwards one direction. The reader stamps each chunk with its delivery
// time, so that a delay adds latency without limiting the throughput.
func (c *connPair) pipe(d Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { c.writeChunks(d, queue, from, to) })
	c.readChunks(d, from, queue)
	close(queue)
	wg.Wait()
}

func (c *connPair) readChunks(d Direction, from *net.TCPConn, queue chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		at := time.Now()
		settings, link := c.proxy.countReceived(d, c.clientIP, n)
		due := at.Add(settings.Delay + c.linkLatency(link))
		if n > 0 {
			queue <- chunk{data: append([]byte(nil), buf[:n]...), due: due}
		}
		if err != nil {
			queue <- chunk{err: err, due: due}
			return
		}
	}
}

func (c *connPair) linkLatency(l Link) time.Duration {
	if l.Delay == nil {
		return 0
	}
	c.latencyOnce.Do(func() { c.latency = l.Delay(c.client.RemoteAddr()) })
	return c.latency
}

// writeChunks writes the chunks in order, each when it is due. After a failed
// write, and once the pair is black-holed or closed, it discards the remaining
// chunks, so that the reader never blocks on the queue.
func (c *connPair) writeChunks(d Direction, queue <-chan chunk, from, to *net.TCPConn) {
	failed := false
	for next := range queue {
		if failed || !c.waitUntilDue(d, next.due) {
			continue
		}
		switch {
		case next.err == io.EOF:
			_ = to.CloseWrite() // fails only if the destination is already closed
		case next.err != nil:
			reset(to)
		default:
			if d == ToUpstream && c.proxy.delivered != nil {
				c.proxy.delivered(next.data)
			}
			if _, err := to.Write(next.data); err != nil {
				failed = true
				if !c.isBlackholed() {
					reset(from)
				}
			}
		}
	}
	if c.isBlackholed() {
		_ = from.Close() // reads have ended; run closes it only after the other direction has ended too
	}
}

// waitUntilDue waits until a chunk is due and its direction is not cut. It returns
// false, to discard the chunk, if the pair is black-holed or closed while waiting.
func (c *connPair) waitUntilDue(d Direction, due time.Time) bool {
	if left := time.Until(due); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.blackholed:
			return false
		case <-c.closed:
			return false
		}
	}
	return c.proxy.waitWhileCut(d, c)
}
