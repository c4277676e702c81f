package gateway

import (
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
	mu       sync.Mutex
	draining bool
	quiet    time.Duration // how long drain waits for one more connection
	giveUpAt time.Time     // from then on, only pending connections are accepted
}

func newDrainListener(l *net.TCPListener) *drainListener { return &drainListener{TCPListener: l} }

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
			return &callerConn{TCPConn: c}, nil
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

// callerConn is a connection of a caller. It knows whether bytes of a request have
// been read that is not answered yet.
type callerConn struct {
	*net.TCPConn
	received atomic.Bool
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
