package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serve starts a target that calls handle for each connection.
func serve(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nContent-Length: 2\r\n\r\n"+body)
}

func request(address, id string, nonIdempotent bool) Request {
	return Request{
		Target: "t", Address: address, Method: http.MethodGet, URI: "/a/%2Fb?c=d", Host: "h", NonIdempotent: nonIdempotent,
		Header:         http.Header{"Attempt-Id": {id}},
		MatchesRequest: func(h http.Header) bool { return h.Get("Attempt-Id") == id },
	}
}

// Guards against a late second answer that is returned to the next request on
// the connection: that request must get its own answer.
func TestLateSecondAnswerIsSkipped(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				answer(c, "first", "xx")
			}
			answer(c, req.Header.Get("Attempt-Id"), "ok")
		}
	})
	c := New(net.Dialer{}, metrics.NewRegistry())
	for _, id := range []string{"first", "second", "third"} {
		a, err := c.Do(context.Background(), request(address, id, true))
		require.NoError(t, err)
		assert.Equal(t, "ok", string(a.Body))
		assert.Equal(t, id, a.Header.Get("Attempt-Id"))
	}
}

// Guards against the reuse of a connection on which bytes arrived while it was
// idle: they belong to no request and would be read as the next answer.
func TestConnectionWithBytesIsNotUsedAgain(t *testing.T) {
	var conns atomic.Int32
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, req.Header.Get("Attempt-Id"), "ok")
		time.Sleep(20 * time.Millisecond)
		answer(c, req.Header.Get("Attempt-Id"), "no")
	})
	c := New(net.Dialer{}, metrics.NewRegistry())
	for range 2 {
		a, err := c.Do(context.Background(), request(address, "same", false))
		require.NoError(t, err)
		assert.Equal(t, "ok", string(a.Body))
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, int32(2), conns.Load())
}

// Guards against an answer that is returned as complete although the
// connection ended before the whole body arrived.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\nContent-Length: 9\r\n\r\nhalf")
		c.Close()
	})
	_, err := New(net.Dialer{}, metrics.NewRegistry()).Do(context.Background(), request(address, "a", false))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.True(t, failed.Sent)
	assert.Equal(t, "t", failed.Target)
}

// Guards against a target that goes on working on a request whose context has
// ended: the client must reset the connection.
func TestGivenUpRequestResetsConnection(t *testing.T) {
	ended := make(chan error, 1)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := New(net.Dialer{}, metrics.NewRegistry()).Do(ctx, request(address, "a", false))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the target still works on the request")
	}
}

// Guards against a write on a connection that was idle for so long that the
// target may have dropped it: the write would fail and could not be retried.
func TestWriteAvoidsConnectionThatWasIdleForLong(t *testing.T) {
	var conns atomic.Int32
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, req.Header.Get("Attempt-Id"), "ok")
		}
	})
	c := New(net.Dialer{}, metrics.NewRegistry())
	do := func(nonIdempotent bool) {
		_, err := c.Do(context.Background(), request(address, "a", nonIdempotent))
		require.NoError(t, err)
	}
	do(true)
	c.idle[address][0].lastUsed = time.Now().Add(-maxIdleLimit)
	do(false)
	assert.Equal(t, int32(1), conns.Load(), "a read reuses the connection")
	c.idle[address][0].lastUsed = time.Now().Add(-maxIdleLimit)
	do(true)
	assert.Equal(t, int32(2), conns.Load())
}

// Guards against a client that decodes or normalizes the path and query on
// their way to the target.
func TestURIIsUnchanged(t *testing.T) {
	got := make(chan string, 1)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		got <- req.RequestURI
		answer(c, "a", "ok")
	})
	_, err := New(net.Dialer{}, metrics.NewRegistry()).Do(context.Background(), request(address, "a", false))
	require.NoError(t, err)
	assert.Equal(t, "/a/%2Fb?c=d", <-got)
}

// Guards against a leak: as targets are added and removed, a VM must not keep an
// idle connection to each target that it ever used.
func TestOldIdleConnectionsAreClosed(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			answer(c, "a", "ok")
		}
	})
	c := New(net.Dialer{}, metrics.NewRegistry())
	_, err := c.Do(context.Background(), request(address, "a", false))
	require.NoError(t, err)
	c.closeIdle()
	require.Len(t, c.idle[address], 1)
	c.idle[address][0].lastUsed = time.Now().Add(-defaultMaxIdleTime)
	c.closeIdle()
	assert.Empty(t, c.idle)
}
