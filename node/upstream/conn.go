package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a target. One request uses it at a time.
type conn struct {
	net.Conn
	address  string
	openedAt time.Time
	reader   *bufio.Reader
	lastUsed time.Time
	keepFor  time.Duration // longest idle time
	idleFor  time.Duration // before the current request, 0 if it is the first
	sent     bool          // some of the current request
	broken   bool          // must not be used again
	closed   atomic.Bool
}

// reset closes the connection so that bytes which were not delivered are
// dropped: a request must not arrive after it was given up.
func (c *conn) reset() {
	if c.closed.Swap(true) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close below still ends the connection
	}
	_ = c.Conn.Close()
}

// quiet tells whether an idle connection is open and nothing came on it.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
