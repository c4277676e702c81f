package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rawRequest is a write of the route "write" with half of its body.
const rawRequestHead = "POST /write/a HTTP/1.1\r\nHost: h.example\r\nId: r\r\nContent-Length: 4\r\n\r\nab"

// startListener starts a listener for callers in front of a gateway with one target.
func startListener(t *testing.T, drain Drain, target *fakeTarget) (*Listener, string) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	free.Close()
	g := newGateway(t, true, target).Config.Handler.(*Gateway)
	l := NewListener(g, address, "127.0.0.1:0", func() Drain { return drain })
	require.NoError(t, l.Start(context.Background()))
	return l, address
}

// Guards against requests that are cut off by a planned stop under load: those whose
// connection was just accepted, whose body is half sent, that follow another one on the
// same connection, or that a target works on. All of them get an answer.
func TestStopUnderLoadAnswersEveryAcceptedRequest(t *testing.T) {
	const stops = 20
	drain := Drain{Notice: 60 * time.Millisecond, Grace: 5 * time.Second}
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		time.Sleep(15 * time.Millisecond)
		respond(c, r, "200 OK", "", "ran")
	})
	var answered, cut atomic.Int64
	exchange := func(c net.Conn, r *bufio.Reader, rest string) (open bool) {
		if _, err := io.WriteString(c, rest); err != nil {
			cut.Add(1)
			return false
		}
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			cut.Add(1)
			return false
		}
		answered.Add(1)
		return !resp.Close
	}
	for range stops {
		l, address := startListener(t, drain, target)
		var callers sync.WaitGroup
		stopped := make(chan struct{})
		noticeEnds := time.Now().Add(40*time.Millisecond + drain.Notice)
		for n := range 12 {
			callers.Go(func() {
				// The load balancer opens no new connections from shortly before the end of
				// the notice on.
				for time.Now().Before(noticeEnds.Add(-5 * time.Millisecond)) {
					c, err := net.Dial("tcp", address)
					if !assert.NoError(t, err) {
						return
					}
					r := bufio.NewReader(c)
					if _, err := io.WriteString(c, rawRequestHead); err != nil {
						cut.Add(1)
					}
					time.Sleep(time.Duration(n) * time.Millisecond)
					open := exchange(c, r, "cd")
					for n%2 == 0 && open && time.Now().Before(noticeEnds) {
						open = exchange(c, r, rawRequestHead+"cd")
					}
					c.Close()
				}
			})
		}
		time.Sleep(40 * time.Millisecond)
		go func() {
			defer close(stopped)
			assert.NoError(t, l.Stop(context.Background()))
		}()
		callers.Wait()
		<-stopped
	}
	t.Logf("%d answered, %d cut", answered.Load(), cut.Load())
	assert.Zero(t, cut.Load(), "accepted requests without an answer")
	assert.Greater(t, answered.Load(), int64(stops*12))
}

// Guards against a planned stop that takes a kept connection for idle while a request
// arrives on it: the first bytes were read before the idle connections are closed, the
// rest arrives after it.
func TestStopAnswersRequestThatArrivesAsIdleConnectionsClose(t *testing.T) {
	drain := Drain{Notice: 100 * time.Millisecond, Grace: 5 * time.Second}
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ran") })
	l, address := startListener(t, drain, target)
	exchange := func(c net.Conn, r *bufio.Reader, rest string) {
		t.Helper()
		_, err := io.WriteString(c, rest)
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	exchange(c, r, rawRequestHead+"cd") // the connection is kept open after it

	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(context.Background()) }()
	time.Sleep(drain.Notice / 2)
	_, err = io.WriteString(c, rawRequestHead[:20])
	require.NoError(t, err)
	time.Sleep(4 * drain.Notice)
	exchange(c, r, rawRequestHead[20:]+"cd")
	require.NoError(t, <-stopped)
}

// Guards against connections that the kernel had established for the process when a
// planned stop closed the listening socket: nobody had accepted them, and they were reset.
func TestStopAcceptsPendingConnections(t *testing.T) {
	const pending = 30
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newDrainListener(tcp.(*net.TCPListener))
	conns := make([]net.Conn, pending)
	for i := range conns {
		conns[i], err = net.Dial("tcp", tcp.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conns[i], "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n")
		require.NoError(t, err)
	}
	l.drain(0, 0) // the wait for further connections has passed
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "connection %d", i)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		c.Close()
	}
	require.ErrorIs(t, <-served, net.ErrClosed)
	s.Close()
}
