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

// openRequest sends the first bytes of a request on a new connection. finish sends the
// rest and returns the answer.
func openRequest(t *testing.T, address, request string) (finish func() (*http.Response, string, error)) {
	const first = 20
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, request[:first])
	require.NoError(t, err)
	return func() (*http.Response, string, error) {
		if _, err := io.WriteString(c, request[first:]); err != nil {
			return nil, "", err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil, "", err
		}
		body, err := io.ReadAll(resp.Body)
		return resp, string(body), err
	}
}

// Guards against a write that arrives late in a planned stop, is passed on, and is cut off
// with no answer when the process has to end: it must be refused as not run, at once. One
// whose time ends before that is served.
func TestStopPassesOnNoRequestThatItMayHaveToCutOff(t *testing.T) {
	drain := Drain{Notice: 100 * time.Millisecond, Grace: 2 * time.Second}
	const arrival, work = 1400 * time.Millisecond, 800 * time.Millisecond // after the start of the stop
	var slow atomic.Int32
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/write/slow" {
			slow.Add(1)
			time.Sleep(work)
		}
		respond(c, r, "200 OK", "", "ran")
	})
	l, address := startListener(t, drain, target)
	write := func(path, headers string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nId: r\r\n" + headers + "Content-Length: 4\r\n\r\nabcd"
	}
	finishSlow := openRequest(t, address, write("/write/slow", ""))
	finishQuick := openRequest(t, address, write("/write/quick", "Wait-Ms: 300\r\n"))
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(context.Background()) }()
	time.Sleep(arrival)

	resp, body, err := finishQuick()
	if assert.NoError(t, err, "a write whose time ends before the process") {
		assert.Equal(t, http.StatusOK, resp.StatusCode, body)
		assert.True(t, resp.Close)
	}
	began := time.Now()
	resp, body, err = finishSlow()
	if assert.NoError(t, err, "a write whose time ends after the process") {
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		assert.Contains(t, body, `"not-run"`)
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		assert.True(t, resp.Close)
		assert.Less(t, time.Since(began), drain.Grace-arrival, "the refusal came only as the process ended")
	}
	require.NoError(t, <-stopped)
	assert.Zero(t, slow.Load(), "runs of a write that was refused")
}

// Guards against requests that a planned stop ends with no answer when its time is over:
// one that waits for a slot then is refused as not run, at once if its time ends after the
// process, and one that a target still works on is answered with outcome unknown.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	drain := Drain{Notice: 50 * time.Millisecond, Grace: 600 * time.Millisecond}
	running, finish := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		close(running) // a second request would close it again
		<-finish
		respond(c, r, "200 OK", "", "ran")
	})
	defer close(finish)
	l, address := startListener(t, drain, target)
	type answer struct {
		resp *http.Response
		body string
		err  error
		took time.Duration // since the start of the stop
	}
	var began time.Time
	send := func() <-chan answer {
		finish, answers := openRequest(t, address, rawRequestHead+"cd"), make(chan answer, 1)
		go func() {
			resp, body, err := finish()
			answers <- answer{resp, body, err, time.Since(began)}
		}()
		return answers
	}
	atTarget := send()
	<-running // the only slot that a VM without a leader lends is in use
	waiting := send()
	time.Sleep(50 * time.Millisecond)
	began = time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- l.Stop(context.Background()) }()

	a := <-waiting
	if assert.NoError(t, a.err, "the request that waits") {
		assert.Equal(t, http.StatusServiceUnavailable, a.resp.StatusCode)
		assert.Contains(t, a.body, `"not-run"`)
		assert.NotEmpty(t, a.resp.Header.Get("Retry-After"))
		assert.True(t, a.resp.Close)
		assert.Less(t, a.took, drain.Grace/2, "the refusal came only as the process ended")
	}
	a = <-atTarget
	if assert.NoError(t, a.err, "the request at a target") {
		assert.Equal(t, http.StatusBadGateway, a.resp.StatusCode)
		assert.Contains(t, a.body, `"unknown"`)
		assert.Empty(t, a.resp.Header.Get("Retry-After"))
		assert.True(t, a.resp.Close)
	}
	require.NoError(t, <-stopped)
	assert.EqualValues(t, 1, target.requests.Load())
}
