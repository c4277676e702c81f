package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/bodies"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stopShort sends a request with a body that lacks its last byte, and keeps the connection.
func stopShort(t *testing.T, address, waitMS string, declared int) *bufio.Reader {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "POST /write/a HTTP/1.1\r\nHost: h.example\r\nId: short\r\nWait-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
		waitMS, declared, make([]byte, declared-1))
	require.NoError(t, err)
	return bufio.NewReader(c)
}

// Guards against a body that stops short of its end and keeps the memory that another
// request needs beyond its deadline, and against a refusal of it that does not state that
// nothing was run.
func TestBodyThatStopsIsRefusedAtItsDeadline(t *testing.T) {
	budget := bodies.New(1000, hclog.NewNullLogger(), metrics.NewRegistry())
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ok") })
	s := newGatewayWith(t, Config{Bodies: budget}, true, target)
	r := stopShort(t, s.Listener.Addr().String(), "900", 900)
	require.Eventually(t, func() bool { return budget.Used() > 0 }, time.Second, time.Millisecond)
	assert.Eventually(t, func() bool {
		resp, _ := call(t, s, http.MethodPost, "/write/b", string(make([]byte, 900)))
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Contains(t, string(body), "not-run")
	assert.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond, "memory stays reserved")
}

// Guards against a refusal for the size of a body that the configuration permits, and
// against one that is passed on although it forbids it.
func TestBodiesOfTheLimitAndBeyond(t *testing.T) {
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ok") })
	s := newGateway(t, true, target)
	for size, want := range map[int]int{1000: http.StatusOK, 1001: http.StatusRequestEntityTooLarge} {
		for _, length := range []int64{int64(size), -1} {
			pipe, w := io.Pipe()
			go func() {
				_, _ = w.Write(make([]byte, size)) // the gateway may read less
				w.Close()
			}()
			req, err := http.NewRequest(http.MethodPost, s.URL+"/write/a", pipe)
			require.NoError(t, err)
			req.Host, req.ContentLength = "h.example", length
			req.Header.Set("Id", "r1")
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			resp.Body.Close()
			assert.Equal(t, want, resp.StatusCode, "%d bytes, declared %d", size, length)
		}
	}
}

// Guards against connections that send nothing and keep those of other callers out, and
// against one that is in use and is closed for another.
func TestUnusedConnectionsMakeRoomForOthers(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	handle := func(c net.Conn, r *http.Request) {
		if r.Header.Get("Id") == "slow" {
			close(begun)
			<-release
		}
		respond(c, r, "200 OK", "", "ok")
	}
	s := newGatewayWith(t, Config{MaxConnections: 3}, true, startTarget(t, handle), startTarget(t, handle))
	l := NewListener(s.Config.Handler.(*Gateway), "127.0.0.1:0", "127.0.0.1:0", func() Drain { return Drain{Grace: time.Second} })
	require.NoError(t, l.Start(t.Context()))
	t.Cleanup(l.close)
	dial := func(id string) *bufio.Reader {
		c, err := net.Dial("tcp", l.callers.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		if id != "" {
			_, err = fmt.Fprintf(c, "POST /write/a HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", id)
			require.NoError(t, err)
		}
		return bufio.NewReader(c)
	}
	slow := dial("slow")
	<-begun
	for range 2 {
		dial("")
	}
	open := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.conns)
	}
	require.Eventually(t, func() bool { return open() == 3 }, time.Second, time.Millisecond)
	l.mu.Lock()
	for c, state := range l.conns {
		state.since = state.since.Add(-2 * unusedBeforeClose)
		l.conns[c] = state
	}
	l.mu.Unlock()
	resp, err := http.ReadResponse(dial("r2"), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	close(release)
	resp, err = http.ReadResponse(slow, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against answers that are held for a caller that does not read, and against a slow
// caller whose answer is cut although it goes on reading.
func TestWritesFailWithoutProgressOnly(t *testing.T) {
	const stall = 300 * time.Millisecond
	for _, reads := range []bool{true, false} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := newDrainListener(tcp.(*net.TCPListener))
		l.writeStall = stall
		t.Cleanup(func() { l.Close() })
		caller, err := net.Dial("tcp", tcp.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { caller.Close() })
		c, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		if reads {
			go func() { // takes longer than stall for the whole answer
				buffer := make([]byte, 1<<20)
				for err := error(nil); err == nil; time.Sleep(stall / 20) {
					_, err = io.ReadFull(caller, buffer)
				}
			}()
		}
		_, err = c.Write(make([]byte, 40<<20))
		if reads {
			assert.NoError(t, err)
		} else {
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	}
}
