// Package wire counts the traffic on the network connections of a process.
package wire

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Counters count the traffic of one kind of connection, without the headers of TCP and
// IP. Reads and Writes count calls that transferred data; on a connection with little
// traffic there is about one per message.
type Counters struct {
	In, Out       metrics.Counter // bytes
	Reads, Writes metrics.Counter
}

// NewCounters registers the counters KIND.bytes_in, KIND.bytes_out, KIND.reads and
// KIND.writes. If the registry is nil, the counters work but are not exported.
func NewCounters(kind string, registry metrics.Registry) *Counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(kind+"."+name, registry) }
	return &Counters{In: counter("bytes_in"), Out: counter("bytes_out"), Reads: counter("reads"), Writes: counter("writes")}
}

// Conn wraps a connection so that its traffic is counted.
func (c *Counters) Conn(conn net.Conn) net.Conn { return &countedConn{conn, c} }

// Listener wraps a listener so that the traffic of its connections is counted.
func (c *Counters) Listener(l net.Listener) net.Listener { return &countedListener{l, c} }

type countedConn struct {
	net.Conn
	counters *Counters
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counters.In.Inc(int64(n))
		c.counters.Reads.Inc(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.counters.Out.Inc(int64(n))
		c.counters.Writes.Inc(1)
	}
	return n, err
}

type countedListener struct {
	net.Listener
	counters *Counters
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(conn), nil
}
