package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeCodec is a HeaderCodec with short headers for tests.
type fakeCodec struct{}

func (fakeCodec) Request(h http.Header) (Meta, error) {
	ms, _ := strconv.Atoi(h.Get("Wait-Ms")) // an absent header means no timeout
	return Meta{ID: h.Get("Id"), Timeout: time.Duration(ms) * time.Millisecond, Key: lending.NoKey}, nil
}

func (fakeCodec) ToTarget(h http.Header, _ Meta, target string, remaining time.Duration) {
	h.Set("To", target)
	h.Set("Wait-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
}

func (fakeCodec) MatchesRequest(m Meta) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == m.ID }
}

func (fakeCodec) FromTarget(status int, h http.Header) AnswerInfo {
	info := AnswerInfo{NotRun: h.Get("Not-Run") != "", WrongOwner: status == http.StatusMisdirectedRequest}
	if slots, err := strconv.Atoi(h.Get("Slots")); err == nil {
		info.Load = &lending.LoadReport{Slots: slots}
	}
	return info
}

func (fakeCodec) Leaving(h http.Header) (bool, error) { return h.Get("Leaving") != "", nil }

func (fakeCodec) Refuse(h http.Header, _ Meta, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// fakeTarget is an HTTP target that counts the requests that it receives.
type fakeTarget struct {
	address  string
	requests atomic.Int32
}

// startTarget starts a target that calls handle for each request.
func startTarget(t *testing.T, handle func(c net.Conn, r *http.Request)) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	target := &fakeTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // an error also fails the next ReadRequest
					target.requests.Add(1)
					handle(c, r)
				}
			}()
		}
	}()
	return target
}

func respond(c net.Conn, r *http.Request, status, extra, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: "+r.Header.Get("Id")+"\r\n"+extra+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// newGateway starts a gateway on a VM that has no peers. If configured is
// false, the gateway has no configuration.
func newGateway(t *testing.T, configured bool, targets ...*fakeTarget) *httptest.Server {
	return newGatewayWith(t, Config{}, configured, targets...)
}

// newGatewayWith is newGateway with the limits of a configuration.
func newGatewayWith(t *testing.T, limits Config, configured bool, targets ...*fakeTarget) *httptest.Server {
	c, registry, logger := clock.New(), metrics.NewRegistry(), hclog.NewNullLogger()
	v := view.New(c.Now, logger)
	self := fleet.VM{ID: "vm", DataCentre: "z", PeerAddress: "127.0.0.1:1", Boot: "b"}
	if configured {
		route := func(name string, idempotent bool) fleet.Route {
			return fleet.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Idempotent: idempotent, Timeout: time.Second,
				Objective: 300 * time.Millisecond, Attempts: 2, Parts: []fleet.RoutePart{{Service: "s", Weight: 1}}}
		}
		v.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Config: &fleet.Config{
			Version: 1, Routes: []fleet.Route{route("read", true), route("write", false)},
			Services: []fleet.Service{{Name: "s"}}, Limits: fleet.Limits{BodyBytes: 1000},
		}}}, 1, c.Now())
	}
	var changes []view.Change
	for i, target := range targets {
		id := "t" + strconv.Itoa(i)
		changes = append(changes, view.Change{Log: view.Targets, Key: id, Offset: int64(i),
			Target: &fleet.Target{ID: id, Service: "s", Address: target.address, DataCentre: "z", Slots: 3}})
	}
	v.Apply(view.Targets, changes, int64(len(changes)), c.Now())
	v.Apply(view.System, nil, 0, c.Now())
	server := peer.NewServer("127.0.0.1:0", nil, nil, logger, registry)
	cells, err := cell.New(cell.Config{Self: self, View: v, Clock: c, Peers: peer.NewClient(nil, nil, registry), Server: server, Logger: logger, Registry: registry})
	require.NoError(t, err)
	client := upstream.New(net.Dialer{}, registry)
	client.OnAnswer = func(r upstream.Request, h http.Header) {
		if leaving, _ := (fakeCodec{}).Leaving(h); leaving {
			cells.NoteLeaving(r.Target, r.Address, r.Life)
		}
	}
	g := New(Config{VM: self, Codec: fakeCodec{}, View: v, Cells: cells, Targets: client, Clock: c, Logger: logger, Registry: registry,
		Bodies: limits.Bodies, MaxConnections: limits.MaxConnections})
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
}

func call(t *testing.T, s *httptest.Server, method, path, body string) (*http.Response, string) {
	return callWithID(t, s, method, path, body, "r1")
}

// callWithID is call with the given id, or with none if it is empty.
func callWithID(t *testing.T, s *httptest.Server, method, path, body, id string) (*http.Response, string) {
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h.example"
	if id != "" {
		req.Header.Set("Id", id)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(content)
}

// Guards against a gateway that changes the request's URI or loses the status,
// headers or body of the target's answer.
func TestAnswerIsPassedOnWhole(t *testing.T) {
	s := newGateway(t, true, startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "201 Created", "Proof: p\r\n", r.RequestURI) }))
	resp, body := call(t, s, http.MethodPost, "/write/a%2Fb?q=1", "x")
	assert.Equal(t, http.StatusCreated, resp.StatusCode)
	assert.Equal(t, "/write/a%2Fb?q=1", body)
	assert.Equal(t, "p", resp.Header.Get("Proof"))
}

// Guards against a write that runs twice: a write whose connection breaks may
// have run, so the gateway must not tell the caller that it did not run, nor
// ask for a retry by Retry-After.
func TestBrokenWriteIsUnknownAndSentOnce(t *testing.T) {
	target := startTarget(t, func(c net.Conn, _ *http.Request) { c.Close() })
	s := newGateway(t, true, target, startTarget(t, func(c net.Conn, _ *http.Request) { c.Close() }))
	resp, body := call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Contains(t, body, `"unknown"`)
	assert.Empty(t, resp.Header.Get("Retry-After"))
}

// Guards against a failed read that is not retried: when the connection
// breaks, the gateway must send an idempotent request to another target.
func TestBrokenReadIsSentAgain(t *testing.T) {
	var requests atomic.Int32
	handle := func(c net.Conn, r *http.Request) {
		if requests.Add(1) == 1 {
			c.Close()
			return
		}
		respond(c, r, "200 OK", "", "fine")
	}
	s := newGateway(t, true, startTarget(t, handle), startTarget(t, handle))
	resp, body := call(t, s, http.MethodGet, "/read/a", "")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "fine", body)
}

// Guards against a write that fails although another target could run it: the
// gateway must send a write that a target did not run to another target. If none
// runs it, the caller gets a refusal with Retry-After.
func TestWriteThatNobodyRanIsRefused(t *testing.T) {
	full := func(c net.Conn, r *http.Request) { respond(c, r, "503 Service Unavailable", "Not-Run: 1\r\n", "") }
	a, b := startTarget(t, full), startTarget(t, full)
	s := newGateway(t, true, a, b)
	resp, body := call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Contains(t, body, `"not-run"`)
	assert.GreaterOrEqual(t, a.requests.Load()+b.requests.Load(), int32(2))
}

// Guards against a request that waits longer than its route's timeout for a
// target that never answers.
func TestSilentTargetEndsAtRouteTimeout(t *testing.T) {
	s := newGateway(t, true, startTarget(t, func(net.Conn, *http.Request) {}))
	start := time.Now()
	resp, _ := call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	assert.Less(t, time.Since(start), 1500*time.Millisecond)
}

// Guards against 404 for a valid path while the VM has not read its
// configuration: the VM does not know the routes yet and must answer 503.
func TestMissingConfigurationIsUnavailable(t *testing.T) {
	resp, _ := call(t, newGateway(t, false), http.MethodGet, "/read/a", "")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against requests that reach a target although no route matches their
// path or their body is larger than the limit.
func TestRequestsThatNoTargetMayGet(t *testing.T) {
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "") })
	s := newGateway(t, true, target)
	resp, _ := call(t, s, http.MethodGet, "/nowhere/a", "")
	assert.Equal(t, http.StatusNotFound, resp.StatusCode)
	resp, _ = call(t, s, http.MethodPost, "/write/a", strings.Repeat("x", 1001))
	assert.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	assert.Zero(t, target.requests.Load())
}

// Guards against a write that runs although its caller is told that it did not: a target
// sends a second copy of its refusal, late, when the same write was sent to it again on
// the same connection, where the copy looks like the answer. The process may be known
// under two ids, of which the second began at the address of the first.
func TestLateCopyOfRefusalIsNotTheAnswerToTheRepeat(t *testing.T) {
	const full, otherProcess = "503 Service Unavailable", "421 Misdirected Request"
	for _, tc := range []struct {
		refusal string
		ids     int
	}{{full, 1}, {full, 2}, {otherProcess, 2}} {
		t.Run(fmt.Sprintf("%s, ids %d", tc.refusal, tc.ids), func(t *testing.T) {
			var ran atomic.Int32
			requestsOn := map[string]int{} // by connection; each is served by one goroutine, and requests come one after the other
			var mu sync.Mutex
			target := startTarget(t, func(c net.Conn, r *http.Request) {
				mu.Lock()
				requestsOn[c.RemoteAddr().String()]++
				n, total := requestsOn[c.RemoteAddr().String()], 0
				for _, k := range requestsOn {
					total += k
				}
				mu.Unlock()
				if total == 1 {
					respond(c, r, tc.refusal, "Not-Run: 1\r\nSlots: 3\r\n", "")
					return
				}
				ran.Add(1)
				if n > 1 {
					respond(c, r, tc.refusal, "Not-Run: 1\r\nSlots: 3\r\n", "") // the copy
				}
				respond(c, r, "200 OK", "", "ran")
			})
			s := newGateway(t, true, []*fakeTarget{target, target}[:tc.ids]...)
			resp, body := call(t, s, http.MethodPost, "/write/a", "x")
			assert.EqualValues(t, 1, ran.Load(), "runs of the write")
			assert.Equal(t, http.StatusOK, resp.StatusCode, body)
		})
	}
}

// Guards against the answer to another request, for example that it was not run: a target
// sends a second copy of an answer without an id, late, before its answer to the next
// request without an id.
func TestRequestWithoutIDGetsItsOwnAnswer(t *testing.T) {
	var mu sync.Mutex
	previous := map[string]string{} // by connection
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if uri := previous[c.RemoteAddr().String()]; uri != "" {
			respond(c, r, "200 OK", "", uri)
		}
		previous[c.RemoteAddr().String()] = r.RequestURI
		respond(c, r, "200 OK", "", r.RequestURI)
	})
	s := newGateway(t, true, target)
	for _, path := range []string{"/write/1", "/write/2", "/read/3"} {
		_, body := callWithID(t, s, http.MethodPost, path, "x", "")
		assert.Equal(t, path, body)
	}
}

// Guards against a write that a target runs although its caller has left while the write
// waited for a slot: nothing had been sent, and the caller may have asked elsewhere.
func TestWriteOfCallerThatLeftWhileItWaitedIsNotSent(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		close(running) // a second request would close it again
		<-finish
		respond(c, r, "200 OK", "", "ran")
	})
	s := newGateway(t, true, target)
	var callers sync.WaitGroup
	callers.Go(func() { call(t, s, http.MethodPost, "/write/first", "x") })
	<-running // the only slot that a VM without a leader lends is in use

	ctx, leave := context.WithCancel(t.Context())
	callers.Go(func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/write/second", strings.NewReader("x"))
		if !assert.NoError(t, err) {
			return
		}
		req.Host = "h.example"
		req.Header.Set("Id", "r2")
		_, err = http.DefaultClient.Do(req)
		assert.ErrorIs(t, err, context.Canceled)
	})
	time.Sleep(50 * time.Millisecond)
	leave()
	time.Sleep(50 * time.Millisecond)
	close(finish)
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	assert.EqualValues(t, 1, target.requests.Load())
}

// Guards against a success with an empty or short body: a target stops after any byte of
// its answer and closes or resets the connection. The caller of a write must see that the
// outcome is unknown, unless all bytes of the body have arrived.
func TestAnswerCutAtAnyByteIsUnknown(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 4\r\n\r\nbody"
	cuts := make(chan int, 1)
	for _, reset := range []bool{false, true} {
		s := newGateway(t, true, startTarget(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, text[:<-cuts]) // a failed write also ends the answer
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}))
		for cut := range len(text) {
			cuts <- cut
			resp, body := call(t, s, http.MethodPost, "/write/a", "x")
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "after %q", text[:cut])
			require.Contains(t, body, `"unknown"`)
			require.Empty(t, resp.Header.Get("Proof"))
		}
	}
}

// Guards against a write whose caller is told that it did not run, and sends it again,
// although it may have: a target answers with a status that promises this to callers, but
// does not state it.
func TestPromiseThatTheTargetDoesNotMakeIsUnknown(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		handle := func(c net.Conn, r *http.Request) { respond(c, r, status, "Proof: p\r\nRetry-After: 0.1\r\n", "") }
		a, b := startTarget(t, handle), startTarget(t, handle)
		s := newGateway(t, true, a, b)
		resp, body := call(t, s, http.MethodPost, "/write/a", "x")
		assert.Equal(t, http.StatusBadGateway, resp.StatusCode, status)
		assert.Contains(t, body, `"unknown"`, status)
		assert.Empty(t, resp.Header.Get("Proof"), status)
		assert.Empty(t, resp.Header.Get("Retry-After"), status)
		assert.EqualValues(t, 1, a.requests.Load()+b.requests.Load(), status)
		resp, _ = call(t, s, http.MethodGet, "/read/a", "") // may run again whatever has happened
		assert.Equal(t, status, resp.Status)
	}
}

// Guards against an answer with an invalid status line that reaches a caller: a write has
// an unknown outcome, a read is tried at another target.
func TestMalformedAnswerReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000 OK", "99 OK", "600 OK", "101 Switching Protocols"} {
		bad := startTarget(t, func(c net.Conn, r *http.Request) {
			respond(c, r, status, "", "bad")
			c.Close()
		})
		good := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "good") })
		resp, body := call(t, newGateway(t, true, bad), http.MethodPost, "/write/a", "x")
		assert.Equal(t, http.StatusBadGateway, resp.StatusCode, status)
		assert.Contains(t, body, `"unknown"`)
		s := newGateway(t, true, bad, good)
		for range 4 {
			resp, body = call(t, s, http.MethodGet, "/read/a", "")
			assert.Equal(t, http.StatusOK, resp.StatusCode, status)
			assert.Equal(t, "good", body)
		}
	}
}
