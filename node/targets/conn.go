package targets

import (
	"net"
	"sync"
)

// checkedConn calls BeforeSend before the first byte of each request is written,
// so that a VM that was paused after it checked the route does not write under an
// outdated one. It counts the bytes written: a request without any has not run.
type checkedConn struct {
	net.Conn

	mu         sync.Mutex
	beforeSend func() error
	allowed    bool
	written    int64
}

// begin sets beforeSend for the next request and resets the byte count. A nil
// beforeSend allows all writes.
func (c *checkedConn) begin(beforeSend func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeSend, c.allowed, c.written = beforeSend, false, 0
}

// Write writes p if beforeSend allows the request. If not, it writes nothing and
// returns a *notSentError.
func (c *checkedConn) Write(p []byte) (int, error) {
	if err := c.callBeforeSend(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	// The bytes are counted before the write because a write that fails may still
	// have sent some of them.
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// callBeforeSend calls beforeSend unless it already allowed the current request.
func (c *checkedConn) callBeforeSend() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowed || c.beforeSend == nil {
		return nil
	}
	if err := c.beforeSend(); err != nil {
		return &notSentError{err}
	}
	c.allowed = true
	return nil
}

func (c *checkedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// notSentError is returned by Write if beforeSend did not allow the request.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }
