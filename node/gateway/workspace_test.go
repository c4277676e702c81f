package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// keyCodec is fakeCodec with a header for the API key.
type keyCodec struct{ fakeCodec }

func (keyCodec) Request(h http.Header) (Meta, error) {
	m, err := fakeCodec{}.Request(h)
	m.APIKey = h.Get("Api-Key")
	return m, err
}

func (keyCodec) ToTarget(h http.Header, m Meta, target string, remaining time.Duration) {
	fakeCodec{}.ToTarget(h, m, target, remaining)
	h.Set("Workspace", m.Workspace)
}

// fakeAllowances lets left requests through.
type fakeAllowances struct {
	mu   sync.Mutex
	left int
}

func (a *fakeAllowances) Take(context.Context, string) (allowance.Ticket, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return 0, 2 * time.Second
	}
	a.left--
	return 1, 0
}

func (a *fakeAllowances) Refund(string, allowance.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left++
}

// newWorkspaceGateway starts a gateway whose configuration was known age ago. Its routes are
// "keyed", "public", and "empty", whose service has no targets; the key of its workspace "w"
// is "k".
func newWorkspaceGateway(t *testing.T, age time.Duration, a Allowances, target *fakeTarget) *httptest.Server {
	c, registry, logger := clock.New(), metrics.NewRegistry(), hclog.NewNullLogger()
	v := view.New(c.Now, logger)
	self := fleet.VM{ID: "vm", DataCentre: "z", PeerAddress: "127.0.0.1:1", Boot: "b"}
	route := func(name, service string, public bool) fleet.Route {
		return fleet.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Timeout: time.Second, Objective: 300 * time.Millisecond,
			Attempts: 1, Public: public, Parts: []fleet.RoutePart{{Service: service, Weight: 1}}}
	}
	v.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Config: &fleet.Config{
		Version: 1, Routes: []fleet.Route{route("keyed", "s", false), route("public", "s", true), route("empty", "none", false)},
		Services: []fleet.Service{{Name: "s"}, {Name: "none"}}, Limits: fleet.Limits{BodyBytes: 1000},
		Workspaces: []fleet.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 10}},
	}}}, 1, c.Now()-age)
	v.Apply(view.Targets, []view.Change{{Log: view.Targets, Key: "t", Target: &fleet.Target{ID: "t", Service: "s", Address: target.address, DataCentre: "z", Slots: 3}}}, 1, c.Now())
	v.Apply(view.System, nil, 0, c.Now())
	cells, err := cell.New(cell.Config{Self: self, View: v, Clock: c, Peers: peer.NewClient(nil, nil, registry),
		Server: peer.NewServer("127.0.0.1:0", nil, nil, logger, registry), Logger: logger, Registry: registry})
	require.NoError(t, err)
	g := New(Config{VM: self, Codec: keyCodec{}, View: v, Cells: cells, Targets: upstream.New(net.Dialer{}, registry), Clock: c,
		Allowances: a, Revocation: 5 * time.Second, Logger: logger, Registry: registry})
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
}

func callWithKey(t *testing.T, s *httptest.Server, path, key string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, s.URL+path, nil)
	require.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	return resp
}

// echoWorkspace starts a target that answers with the workspace that it was told.
func echoWorkspace(t *testing.T) *fakeTarget {
	return startTarget(t, func(c net.Conn, r *http.Request) {
		respond(c, r, "200 OK", "Workspace: "+r.Header.Get("Workspace")+"\r\n", "")
	})
}

// Guards against requests with unknown keys that run, and against public routes and unknown
// paths that need a key.
func TestKeysOfWorkspaces(t *testing.T) {
	target := echoWorkspace(t)
	s := newWorkspaceGateway(t, 0, nil, target)
	for _, tc := range []struct {
		path, key string
		status    int
		workspace string
	}{
		{"/keyed/a", "k", http.StatusOK, "w"},
		{"/keyed/a", "", http.StatusUnauthorized, ""},
		{"/keyed/a", "removed", http.StatusUnauthorized, ""},
		{"/public/a", "", http.StatusOK, ""},
		{"/public/a", "k", http.StatusOK, ""},
		{"/elsewhere/a", "", http.StatusNotFound, ""},
	} {
		resp := callWithKey(t, s, tc.path, tc.key)
		assert.Equal(t, tc.status, resp.StatusCode, "%+v", tc)
		assert.Equal(t, tc.workspace, resp.Header.Get("Workspace"), "%+v", tc)
	}
	assert.Equal(t, int32(3), target.requests.Load())
}

// Guards against a key that was removed and still works on a VM that cannot have heard of
// it, and against a VM that stops long before that.
func TestOldConfigurationTellsNothingOfKeys(t *testing.T) {
	target := echoWorkspace(t)
	fresh := newWorkspaceGateway(t, 4*time.Second, nil, target)
	assert.Equal(t, http.StatusOK, callWithKey(t, fresh, "/keyed/a", "k").StatusCode)
	old := newWorkspaceGateway(t, 4600*time.Millisecond, nil, target)
	for _, key := range []string{"k", "unknown"} {
		resp := callWithKey(t, old, "/keyed/a", key)
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, key)
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	assert.Equal(t, http.StatusOK, callWithKey(t, old, "/public/a", "").StatusCode)
}

// Guards against requests beyond an allowance that run, and against refused requests that
// use it up.
func TestAllowanceOfWorkspace(t *testing.T) {
	target := echoWorkspace(t)
	a := &fakeAllowances{left: 1}
	s := newWorkspaceGateway(t, 0, a, target)
	assert.Equal(t, http.StatusServiceUnavailable, callWithKey(t, s, "/empty/a", "k").StatusCode)
	assert.Equal(t, http.StatusOK, callWithKey(t, s, "/keyed/a", "k").StatusCode)
	resp := callWithKey(t, s, "/keyed/a", "k")
	assert.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	assert.Equal(t, "2s", resp.Header.Get("Retry-After"))
	assert.Equal(t, http.StatusOK, callWithKey(t, s, "/public/a", "").StatusCode)
	assert.Equal(t, int32(2), target.requests.Load())
}
