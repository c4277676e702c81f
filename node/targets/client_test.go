package targets

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// startTarget starts a target that calls answer with the number of each
// request, from 1.
func startTarget(t *testing.T, answer func(n int, conn net.Conn, req *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer(int(requests.Add(1)), conn, req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
}

func newRequest(address, id string) Request {
	return Request{ID: id, Target: "t", Address: address, Connections: 4, Method: http.MethodPost, URI: "/x", Body: []byte("b"), Shard: -1, Timeout: testTimeout}
}

func requireSendError(t *testing.T, err error) *SendError {
	t.Helper()
	var sendErr *SendError
	require.ErrorAs(t, err, &sendErr)
	return sendErr
}

// Guards against an answer that is passed on although it has another request's
// id, no id, or ends early. The caller must get an error, and the connection
// must not be reused.
func TestMismatchedOrTruncatedAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(conn net.Conn, id string)
	}{
		{"another request's id", func(conn net.Conn, _ string) { reply(conn, "other", "ok") }},
		{"no id", func(conn net.Conn, _ string) { fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }},
		{"cut short", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nok", HeaderRequestID, id)
			conn.Close()
		}},
		{"after a part of a refusal", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: shed\r\nVia: ", HeaderNotRun)
			reply(conn, id, "ok")
		}},
		{"cut in a chunk", func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", HeaderRequestID, id)
			conn.Close()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := startTarget(t, func(n int, conn net.Conn, req *http.Request) {
				if n == 1 {
					tc.answer(conn, req.Header.Get(HeaderRequestID))
					return
				}
				reply(conn, req.Header.Get(HeaderRequestID), "own")
			})
			c := New(nil, metrics.NewRegistry())
			_, err := c.Do(t.Context(), newRequest(address, "1"))
			require.True(t, requireSendError(t, err).Written, "the target had the request")
			a, err := c.Do(t.Context(), newRequest(address, "2"))
			require.NoError(t, err)
			require.Equal(t, "own", string(a.Body))
		})
	}
}

// Guards against a duplicate of an answer that is taken for the answer to the
// next request on the same connection.
func TestAnswerThatArrivesTwice(t *testing.T) {
	address := startTarget(t, func(n int, conn net.Conn, req *http.Request) {
		reply(conn, req.Header.Get(HeaderRequestID), fmt.Sprint(n))
		if n == 1 {
			reply(conn, req.Header.Get(HeaderRequestID), fmt.Sprint(n))
		}
	})
	c := New(nil, metrics.NewRegistry())
	a, err := c.Do(t.Context(), newRequest(address, "1"))
	require.NoError(t, err)
	require.Equal(t, "1", string(a.Body))
	if a, err = c.Do(t.Context(), newRequest(address, "2")); err == nil {
		require.NotEqual(t, "1", string(a.Body))
	}
}

// Guards against an answer that arrives after its request timed out and is
// then returned to the next request.
func TestLateAnswerIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	address := startTarget(t, func(n int, conn net.Conn, req *http.Request) {
		if n == 1 {
			<-release
		}
		reply(conn, req.Header.Get(HeaderRequestID), fmt.Sprint(n))
	})
	c := New(nil, metrics.NewRegistry())
	r := newRequest(address, "1")
	r.Timeout = 20 * time.Millisecond
	_, err := c.Do(t.Context(), r)
	require.True(t, requireSendError(t, err).Timeout())
	close(release)
	a, err := c.Do(t.Context(), newRequest(address, "2"))
	require.NoError(t, err)
	require.Equal(t, "2", string(a.Body))
}

// Guards against a write that runs twice because net/http resends a request by
// itself when a reused connection ends without an answer.
func TestWriteIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, key := range []string{"", "k"} {
			t.Run(strings.TrimSpace(method+" "+key), func(t *testing.T) {
				var writes atomic.Int64
				address := startTarget(t, func(n int, conn net.Conn, req *http.Request) {
					if n == 1 {
						reply(conn, req.Header.Get(HeaderRequestID), "warm")
						return
					}
					writes.Add(1)
					conn.Close()
				})
				c := New(nil, metrics.NewRegistry())
				_, err := c.Do(t.Context(), newRequest(address, "1"))
				require.NoError(t, err)
				r := newRequest(address, "2")
				r.Method, r.Body, r.IdempotencyKey = method, nil, key
				_, err = c.Do(t.Context(), r)
				require.True(t, requireSendError(t, err).Written, "the target had the request")
				require.EqualValues(t, 1, writes.Load())
			})
		}
	}
}

// Guards against reads that net/http resends by itself when a target's process
// ends and closes all its connections. The restarted target would get as many
// requests at once as its previous process could handle, although it is cold.
func TestReadIsNotResentByTransport(t *testing.T) {
	var restarted atomic.Int64
	address := startTarget(t, func(n int, conn net.Conn, req *http.Request) {
		switch n {
		case 1:
			reply(conn, req.Header.Get(HeaderRequestID), "ok")
		case 2:
			conn.Close() // the process ends with the request
		default:
			restarted.Add(1)
			reply(conn, req.Header.Get(HeaderRequestID), "ok")
		}
	})
	c := New(nil, metrics.NewRegistry())
	read := func(id string) error {
		r := newRequest(address, id)
		r.Method, r.Body, r.Read = http.MethodGet, nil, true
		_, err := c.Do(t.Context(), r)
		return err
	}
	require.NoError(t, read("1"))
	sendErr := requireSendError(t, read("2"))
	require.True(t, sendErr.Written, "the ended process had the request")
	require.Zero(t, restarted.Load(), "the caller decides whether to send again")
	require.NoError(t, read("3"))
}

// Guards against a write that is sent although this VM may no longer send it,
// and against one that BeforeSend stopped but that is reported as written.
func TestBeforeSendIsCalledBeforeTheFirstByte(t *testing.T) {
	var received atomic.Int64
	address := startTarget(t, func(_ int, conn net.Conn, req *http.Request) {
		received.Add(1)
		reply(conn, req.Header.Get(HeaderRequestID), "ok")
	})
	c := New(nil, metrics.NewRegistry())
	for i := range 3 { // on a new connection and on reused ones
		r := newRequest(address, fmt.Sprint(i))
		r.BeforeSend = func() error { return errors.New("the route changed") }
		_, err := c.Do(t.Context(), r)
		require.False(t, requireSendError(t, err).Written)
		r.BeforeSend = func() error { return nil }
		_, err = c.Do(t.Context(), r)
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, received.Load())
}

// Guards against a write that counts as possibly run although the target
// refused the connection and never received any of it.
func TestNothingWrittenWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = New(nil, metrics.NewRegistry()).Do(ctx, newRequest(l.Addr().String(), "1"))
	require.False(t, requireSendError(t, err).Written)
}
