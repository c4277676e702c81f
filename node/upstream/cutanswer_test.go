package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// endConn closes a connection in order, or with a reset.
func endConn(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0) // on an error, the test sees an answer that ended in order
	}
	c.Close()
}

// Guards against a short body that looks whole: the answer ends with its connection and
// is reset while the client still sends the request, so that the failed write, not the
// read, learns of the reset.
func TestResetWhileRequestIsSentIsNoEndOfAnswer(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nhalf")
			time.Sleep(time.Millisecond)
		}
		endConn(c, true)
	})
	c := New(net.Dialer{}, metrics.NewRegistry())
	taken := 0
	for range 200 {
		req := request(address, "a", true)
		req.Method, req.Body = http.MethodPost, make([]byte, 16<<20)
		if _, err := c.Do(context.Background(), req); err == nil {
			taken++
		}
	}
	assert.Zero(t, taken, "short bodies taken for whole")
}
