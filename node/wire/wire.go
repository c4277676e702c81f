// Package wire counts the bytes that cross a process's connections.
package wire

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Counters count the traffic of one kind of connection, without the headers
// of TCP and IP. Reads and Writes count system calls, which on a quiet
// connection is about one per message.
type Counters struct {
	In, Out       metrics.Counter // bytes
	Reads, Writes metrics.Counter
}

// NewCounters registers KIND.bytes_in, bytes_out, reads and writes. A nil
// registry means counters that nobody sees.
func NewCounters(kind string, registry metrics.Registry) *Counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(kind+"."+name, registry) }
	return &Counters{In: counter("bytes_in"), Out: counter("bytes_out"), Reads: counter("reads"), Writes: counter("writes")}
}

// Conn returns a connection whose traffic is counted.
func (c *Counters) Conn(conn net.Conn) net.Conn { return &countedConn{conn, c} }

// Listener returns a listener whose connections are counted.
func (c *Counters) Listener(l net.Listener) net.Listener { return &countedListener{l, c} }

type countedConn struct {
	net.Conn
	c *Counters
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.c.In.Inc(int64(n))
		c.c.Reads.Inc(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.c.Out.Inc(int64(n))
		c.c.Writes.Inc(1)
	}
	return n, err
}

type countedListener struct {
	net.Listener
	c *Counters
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.c.Conn(conn), nil
}
