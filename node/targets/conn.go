package targets

import (
	"net"
	"sync"
)

// gatedConn asks before the first byte of each request is written, and counts
// what was written. A VM that was paused between its last check and the write
// is stopped here, and a request of which nothing was written provably did
// not run.
type gatedConn struct {
	net.Conn

	mu      sync.Mutex
	gate    func() error
	opened  bool
	written int64
}

// begin sets the check for the next request.
func (c *gatedConn) begin(gate func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.opened, c.written = gate, false, 0
}

// Write writes once the gate has agreed.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	// Counted before the write: a write that fails may still have sent bytes.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *gatedConn) open() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opened || c.gate == nil {
		return nil
	}
	if err := c.gate(); err != nil {
		return &gateError{err}
	}
	c.opened = true
	return nil
}

func (c *gatedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// gateError says that the gate refused the write.
type gateError struct{ err error }

func (e *gateError) Error() string { return "not sent: " + e.err.Error() }
func (e *gateError) Unwrap() error { return e.err }
