package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptPendingWithin limits the Accept of a connection that is known to be pending.
const acceptPendingWithin = 100 * time.Millisecond

// drainListener accepts the connections of callers. A listening socket that is closed
// resets the connections that the kernel has established and that nobody has accepted;
// drain accepts them first.
type drainListener struct {
	*net.TCPListener
	// admit reports whether a new connection is served. If it is nil, all are.
	admit      func() bool
	writeStall time.Duration // of its connections
	mu         sync.Mutex
	draining   bool
	quiet      time.Duration // how long drain waits for one more connection
	giveUpAt   time.Time     // from then on, only pending connections are accepted
}

func newDrainListener(l *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: l, writeStall: writeStall}
}

// drain makes Accept close the listener once no connection has arrived for quiet, or
// after most at the latest, and none is pending.
func (l *drainListener) drain(quiet, most time.Duration) {
	l.mu.Lock()
	l.draining, l.quiet, l.giveUpAt = true, quiet, time.Now().Add(most)
	l.mu.Unlock()
	l.waitForOneMore()
}

// waitForOneMore limits the wait of the next Accept while the listener drains.
func (l *drainListener) waitForOneMore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		return
	}
	wait := l.quiet
	if time.Now().After(l.giveUpAt) {
		wait = 0
	}
	_ = l.SetDeadline(time.Now().Add(wait)) // fails only if the listener is closed, which Accept reports
}

// Accept implements net.Listener. It returns net.ErrClosed after a drain.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		switch {
		case err == nil:
			l.waitForOneMore()
			if l.admit != nil && !l.admit() {
				refuseConn(c)
				continue
			}
			return &callerConn{TCPConn: c, writeStall: l.writeStall}, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case hasInput(l.TCPListener):
			// A pending connection is accepted although the time is over. Accept reports
			// a listener that is closed.
			_ = l.SetDeadline(time.Now().Add(acceptPendingWithin))
		default:
			l.Close()
			return nil, net.ErrClosed
		}
	}
}

// tooManyConnections is what a caller reads for whom no connection is left. Nothing of its
// request has been read.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseConn answers and closes a new connection. The answer fits into the empty send
// buffer, so the write does not block.
func refuseConn(c *net.TCPConn) {
	_, _ = io.WriteString(c, tooManyConnections) // the caller may have closed the connection
	c.Close()
}

const (
	// writeStall is how long a caller may take to read writePiece bytes of an answer. Both
	// are far below what the slowest link of a caller carries.
	writeStall = 10 * time.Second
	writePiece = 64 << 10
)

// Write writes b in pieces, each of which the caller has to take within writeStall:
// callers that do not read must not hold the memory of their answers.
func (c *callerConn) Write(b []byte) (n int, err error) {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeStall)) // fails only if the connection is closed, which Write reports
		m, err := c.TCPConn.Write(b[n:min(len(b), n+writePiece)])
		n += m
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// callerConn is a connection of a caller. It knows whether bytes of a request have
// been read that is not answered yet.
type callerConn struct {
	*net.TCPConn
	writeStall time.Duration
	received   atomic.Bool
}

func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// isUnused reports whether no byte has arrived since the last answer.
func (c *callerConn) isUnused() bool { return !c.received.Load() && !hasInput(c.TCPConn) }

// rawConner is a socket of package net.
type rawConner interface {
	SyscallConn() (syscall.RawConn, error)
}

// hasInput reports whether a socket has something to read or to accept, or has ended.
func hasInput(s rawConner) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		found = err == nil && n > 0
	})
	return err == nil && found
}
