package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/node/panics"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// faultyCodec is a fakeCodec that calls at, if it is set, with the name of a method before
// the method does its work. An error fails Request.
type faultyCodec struct {
	fakeCodec
	at func(method string) error
}

func (c faultyCodec) Request(h http.Header) (Meta, error) {
	if err := c.at("Request"); err != nil {
		return Meta{}, err
	}
	return c.fakeCodec.Request(h)
}

func (c faultyCodec) ToTarget(h http.Header, m Meta, target string, remaining time.Duration) {
	_ = c.at("ToTarget") // has no error to return
	c.fakeCodec.ToTarget(h, m, target, remaining)
}

func (c faultyCodec) FromTarget(status int, h http.Header) AnswerInfo {
	_ = c.at("FromTarget") // has no error to return
	return c.fakeCodec.FromTarget(status, h)
}

// crashingWriter panics when an answer begins.
type crashingWriter struct{ http.ResponseWriter }

func (crashingWriter) WriteHeader(int) { panic("the answer cannot be written") }

// halfClose lets a step of a request last until its caller has ended its side.
type halfClose struct {
	reached, noticed chan struct{}
	once             sync.Once
}

// goOn lets the step end.
func (h *halfClose) goOn() { h.once.Do(func() { close(h.noticed) }) }

// waitReached waits until the step has begun.
func (h *halfClose) waitReached(t *testing.T) {
	select {
	case <-h.reached:
	case <-time.After(3 * time.Second):
		t.Fatal("the request does not get to the step")
	}
}

// pause is called by the step. Later calls return at once.
func (h *halfClose) pause() {
	select {
	case h.reached <- struct{}{}:
	default:
	}
	<-h.noticed
}

// Guards against a success that no target gave: net/http writes "200 OK" for a handler that
// returns without an answer, as it did for a caller that ends its side of the connection
// and reads on. Also against a write that is given up and runs later, and against a
// request that is given up and counted as a panic.
func TestHalfClosedCallerGetsNoSuccessThatNoTargetGave(t *testing.T) {
	const (
		closed     = 0                      // the connection ends without an answer
		settle     = 60 * time.Millisecond  // until the gateway has read the end of the caller's side
		runsLater  = 100 * time.Millisecond // in which a request that is given up might still be sent
		answerWait = 3 * time.Second
	)
	type handler = func(h *halfClose, n int32, c net.Conn, r *http.Request)
	answerWith := func(status, extra, body string, pauseAt int32) handler {
		return func(h *halfClose, n int32, c net.Conn, r *http.Request) {
			if n >= pauseAt {
				h.pause()
			}
			respond(c, r, status, extra, body)
		}
	}
	fine := answerWith("200 OK", "Proof: p\r\n", "whole", 1)
	silent := func(h *halfClose, _ int32, _ net.Conn, _ *http.Request) { h.pause() }
	broken := func(h *halfClose, _ int32, c net.Conn, _ *http.Request) { h.pause(); c.Close() }
	pauseAt := func(name string) func(*halfClose, string) error {
		return func(h *halfClose, method string) error {
			if method == name {
				h.pause()
			}
			return nil
		}
	}
	panicAt := func(name string) func(*halfClose, string) error {
		return func(h *halfClose, method string) error {
			if method == name {
				h.pause()
				panic("a fault of the codec")
			}
			return nil
		}
	}
	const head = "Host: h.example\r\nId: r1\r\n"
	read, write := "GET /read/a HTTP/1.1\r\n"+head+"\r\n", "POST /write/a HTTP/1.1\r\n"+head+"Content-Length: 1\r\n\r\nx"
	for _, tc := range []struct {
		name    string
		request string
		handle  handler // of the targets; none if nil
		targets int     // 1 if 0
		at      func(h *halfClose, method string) error
		// The first request takes the only slot that a VM without a leader lends.
		slotTaken   bool
		whilePaused func(g *Gateway)
		crashWriter bool
		noConfig    bool
		status      int
		body        string // a part of it
		sent        int32  // requests that the targets get
		panics      int64
	}{
		// ServeHTTP
		{name: "bad header", request: read, at: func(h *halfClose, m string) error { h.pause(); return errors.New("bad") }, status: 400, body: `"not-run"`},
		{name: "not ready", request: read, at: pauseAt("Request"), noConfig: true, status: 503, body: `"not-run"`},
		{name: "no route", request: strings.Replace(read, "/read/", "/none/", 1), at: pauseAt("Request"), status: 404, body: `"not-run"`},
		// serve
		{name: "body ends early", request: strings.Replace(write, "Length: 1", "Length: 9", 1), at: pauseAt("Request"), handle: fine, status: 400, body: `"not-run"`},
		{name: "chunked body ends early", request: strings.Replace(write, "Content-Length: 1\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\n", 1),
			at: pauseAt("Request"), handle: fine, status: 400, body: `"not-run"`},
		{name: "body too large", request: strings.Replace(write, "Length: 1", "Length: 1001", 1), at: pauseAt("Request"), handle: fine, status: 413, body: `"not-run"`},
		{name: "stopping", request: write, at: pauseAt("Request"), handle: fine, whilePaused: func(g *Gateway) { g.beginStop(0) }, status: 503, body: `"not-run"`},
		// handleWaitEnd
		{name: "read waits for a slot", request: read, handle: fine, slotTaken: true, status: closed, sent: 1},
		{name: "write waits for a slot", request: write, handle: fine, slotTaken: true, status: closed, sent: 1},
		{name: "write waits again", request: write, handle: answerWith("503 Service Unavailable", "Not-Run: 1\r\n", "", 1), status: closed, sent: 1},
		{name: "read waits again", request: read, handle: answerWith("500 Internal Server Error", "", "", 1), status: closed, sent: 1},
		// handleSlotRefused; the end of the caller's side may be read before it
		{name: "no target", request: read, at: pauseAt("Request"), status: -1},
		// send and handleSendError
		{name: "read about to be sent", request: read, handle: fine, at: pauseAt("ToTarget"), status: closed},
		{name: "write about to be sent", request: write, handle: fine, at: pauseAt("ToTarget"), status: closed},
		{name: "read is sent", request: read, handle: fine, status: closed, sent: 1},
		{name: "write breaks", request: write, handle: broken, status: closed, sent: 1},
		{name: "write runs out of time", request: write, handle: silent, status: closed, sent: 1},
		{name: "write at the end of a stop", request: write, handle: silent, whilePaused: func(g *Gateway) { g.inProgress.endAll() }, status: closed, sent: 1},
		{name: "write that each target refuses", request: write, handle: answerWith("503 Service Unavailable", "Not-Run: 1\r\n", "", 2),
			targets: 2, status: closed, sent: 2},
		{name: "write with a promise", request: write, handle: answerWith("503 Service Unavailable", "", "", 1), status: 502, body: `"unknown"`, sent: 1},
		{name: "write is answered", request: write, handle: fine, status: 200, body: "whole", sent: 1},
		{name: "write fails", request: write, handle: answerWith("500 Internal Server Error", "", "own", 1), status: 500, body: "own", sent: 1},
		// answerAfterPanic
		{name: "panic at the request", request: read, at: panicAt("Request"), status: 504, body: `"unknown"`, panics: 1},
		{name: "panic before sending", request: write, handle: fine, at: panicAt("ToTarget"), status: 502, body: `"unknown"`, panics: 1},
		{name: "panic after the answer", request: write, handle: fine, at: panicAt("FromTarget"), status: 502, body: `"unknown"`, sent: 1, panics: 1},
		{name: "panic in the answer", request: write, handle: fine, crashWriter: true, status: closed, sent: 1, panics: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := &halfClose{reached: make(chan struct{}, 1), noticed: make(chan struct{})}
			var targets []*fakeTarget
			var requests atomic.Int32 // that the targets get
			for range max(tc.targets, 1) {
				if tc.handle != nil {
					targets = append(targets, startTarget(t, func(c net.Conn, r *http.Request) { tc.handle(h, requests.Add(1), c, r) }))
				}
			}
			g := newGateway(t, !tc.noConfig, targets...).Config.Handler.(*Gateway)
			if tc.at != nil {
				g.codec = faultyCodec{at: func(method string) error { return tc.at(h, method) }}
			}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tc.crashWriter {
					w = crashingWriter{w}
				}
				g.ServeHTTP(w, r)
			}))
			t.Cleanup(s.Close)
			t.Cleanup(h.goOn)
			open := func(request string) *net.TCPConn {
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { c.Close() })
				_, err = io.WriteString(c, request)
				require.NoError(t, err)
				return c.(*net.TCPConn)
			}
			first := (*net.TCPConn)(nil)
			if tc.slotTaken {
				first = open(strings.Replace(write, "r1", "r0", 1))
				h.waitReached(t)
			}
			c := open(tc.request)
			if tc.slotTaken {
				time.Sleep(settle) // until it waits
			} else {
				h.waitReached(t)
			}
			require.NoError(t, c.CloseWrite())
			time.Sleep(settle)
			if tc.whilePaused != nil {
				tc.whilePaused(g)
			}
			h.goOn()
			require.NoError(t, c.SetReadDeadline(time.Now().Add(answerWait)))
			text, err := io.ReadAll(c)
			if !assert.NoError(t, err, "the connection ends in order; read %q", text) {
				return
			}
			status, body := closed, ""
			if len(text) > 0 {
				resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(text))), nil)
				require.NoError(t, err, "%q", text)
				content, err := io.ReadAll(resp.Body)
				require.NoError(t, err, "%q", text)
				status, body = resp.StatusCode, string(content)
			}
			if tc.status >= 0 {
				assert.Equal(t, tc.status, status, "%q", text)
			} else {
				assert.True(t, status == closed || status == http.StatusServiceUnavailable, "%q", text)
			}
			assert.Contains(t, body, tc.body)
			if first != nil {
				resp, err := http.ReadResponse(bufio.NewReader(first), nil)
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, resp.StatusCode)
			}
			time.Sleep(runsLater)
			assert.Equal(t, tc.sent, requests.Load(), "requests that the targets got")
			count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, g.stats.registry).Count() }
			assert.Equal(t, tc.panics, count(panics.CounterName), "panics")
			if status == closed {
				assert.EqualValues(t, 1, count("requests.s.left"), "requests counted as left")
			} else {
				service := "s"
				if count(fmt.Sprintf("requests.none.%dxx", status/100)) == 1 {
					service = "none"
				}
				assert.GreaterOrEqual(t, count(fmt.Sprintf("requests.%s.%dxx", service, status/100)), int64(1))
				assert.Zero(t, count("requests.s.left"))
			}
		})
	}
}
