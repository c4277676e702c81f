package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// endConn closes a connection in order, or with a reset.
func endConn(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0) // on an error, the test sees an answer that ended in order
	}
	c.Close()
}

// Guards against a success with an empty or short body: a target stops after any byte of
// its answer and closes or resets the connection. Only a body that ends with its
// connection may be shorter, and only if that is closed in order.
func TestAnswerThatStopsAtAnyByteFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: 3e1b.07\r\n"
	for name, tc := range map[string]struct {
		method, answer string
		endsWithConn   bool
	}{
		"length":             {http.MethodGet, head + "Content-Length: 12\r\n\r\nbody of 12 b", false},
		"no body":            {http.MethodGet, head + "Content-Length: 0\r\n\r\n", false},
		"chunks":             {http.MethodGet, head + "Transfer-Encoding: chunked\r\n\r\n10\r\nsixteen bytes ab\r\n2;x=y\r\ncd\r\n0\r\n\r\n", false},
		"trailer":            {http.MethodGet, head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n", false},
		"ends with the conn": {http.MethodGet, head + "\r\nbody", true},
		"informational":      {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nAttempt-Id: a\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody", false},
		"HEAD":               {http.MethodHead, head + "Content-Length: 12\r\n\r\n", false},
		"HEAD, no length":    {http.MethodHead, head + "\r\n", false},
		"no content":         {http.MethodGet, "HTTP/1.1 204 No Content\r\nAttempt-Id: a\r\n\r\n", false},
		"not modified":       {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nAttempt-Id: a\r\nContent-Length: 12\r\n\r\n", false},
		"bare line feeds":    {http.MethodGet, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 4\n\nbody", false},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				cuts := make(chan int, 1)
				address := serve(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(c, tc.answer[:<-cuts]) // a failed write also makes the read fail
					}
					endConn(c, reset)
				})
				c := New(net.Dialer{}, metrics.NewRegistry())
				bodyStart := strings.LastIndex(tc.answer, "\r\n\r\n") + 4
				for cut := range len(tc.answer) + 1 {
					req := request(address, "a", true)
					req.Method = tc.method
					cuts <- cut
					a, err := c.Do(context.Background(), req)
					switch {
					case tc.endsWithConn && !reset && cut >= bodyStart:
						require.NoError(t, err)
						require.Equal(t, tc.answer[bodyStart:cut], string(a.Body))
					case cut == len(tc.answer) && !tc.endsWithConn:
						if !reset { // a reset may overtake the answer
							require.NoError(t, err)
						}
					default:
						var failed *Error
						require.ErrorAs(t, err, &failed, "taken for whole: %q", tc.answer[:cut])
						require.True(t, failed.Sent, "the target may have run the request")
					}
				}
				assert.Zero(t, c.memory.used.Load(), "memory stays reserved")
			})
		}
	}
}

// Guards against a short body that looks whole: the answer ends with its connection and
// is reset while the client still sends the request, so that the failed write, not the
// read, learns of the reset.
func TestResetWhileRequestIsSentIsNoEndOfAnswer(t *testing.T) {
	const socketBuffer, bodySize = 64 << 10, 1 << 20 // the write does not end before the reset
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(socketBuffer)
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nhalf")
			time.Sleep(time.Millisecond)
		}
		endConn(c, true)
	})
	c := New(net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer) })
	}}, metrics.NewRegistry())
	taken := 0
	for range 200 {
		req := request(address, "a", true)
		req.Method, req.Body = http.MethodPost, [][]byte{make([]byte, bodySize)}
		if _, err := c.Do(context.Background(), req); err == nil {
			taken++
		}
	}
	assert.Zero(t, taken, "short bodies taken for whole")
}
