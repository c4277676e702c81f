package targets

import (
	"net"
	"sync"
)

// gatedConn calls a gate before the first byte of each request is written, so
// that a VM that was paused after it checked the route does not write under an
// outdated one. It counts the bytes written: a request without any has not run.
type gatedConn struct {
	net.Conn

	mu         sync.Mutex
	gate       func() error
	gatePassed bool
	written    int64
}

// begin sets the gate for the next request and resets the byte count. A nil
// gate allows all writes.
func (c *gatedConn) begin(gate func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.gatePassed, c.written = gate, false, 0
}

// Write writes p if the gate allows the request. If not, it writes nothing and
// returns a *gateError.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.passGate(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	// The bytes are counted before the write because a write that fails may still
	// have sent some of them.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// passGate calls the gate unless it already allowed the current request.
func (c *gatedConn) passGate() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gatePassed || c.gate == nil {
		return nil
	}
	if err := c.gate(); err != nil {
		return &gateError{err}
	}
	c.gatePassed = true
	return nil
}

func (c *gatedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// gateError is returned by Write if the gate did not allow the request.
type gateError struct{ err error }

func (e *gateError) Error() string { return "not sent: " + e.err.Error() }
func (e *gateError) Unwrap() error { return e.err }
