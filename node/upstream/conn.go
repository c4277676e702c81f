package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	raw         *limitedReader // what reader reads from
	address     string
	openedAt    time.Time
	reader      *bufio.Reader
	lastUsed    time.Time
	maxIdleTime time.Duration // longest idle time after which it is reused
	idleBefore  time.Duration // idle time before the current request; 0 for the first request
	sent        bool          // some of the current request may have been sent
	notReusable bool          // must be closed after the current request
	closed      atomic.Bool
}

// reset closes the connection with a TCP reset, which drops the bytes that
// were not delivered yet: a request must not arrive after it was abandoned.
func (c *conn) reset() {
	if c.closed.Swap(true) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error, Close still ends the connection
	}
	_ = c.Conn.Close()
}

// openWithoutData reports whether an idle connection is still open and no bytes
// arrived on it. Such bytes belong to no request.
func (c *conn) openWithoutData() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}
