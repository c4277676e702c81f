package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

var key = []byte("0123456789abcdef")

// Echo is an RPC service for the tests.
type Echo struct{ release chan struct{} }

// Say returns its argument.
func (*Echo) Say(in *string, out *string) error { *out = *in; return nil }

// Wait returns its argument once release is closed.
func (e *Echo) Wait(in *string, out *string) error { <-e.release; *out = *in; return nil }

func startServer(t *testing.T) (address string, echo *Echo) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address = l.Addr().String()
	l.Close()
	s := NewServer(address, key, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	echo = &Echo{release: make(chan struct{})}
	require.NoError(t, s.Register("Echo", echo))
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return address, echo
}

func newTestClient(t *testing.T, key []byte) *Client {
	t.Helper()
	c := NewClient(key, nil, metrics.NewRegistry())
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return c
}

// Guards against a server that runs calls of a peer without the deployment's key.
func TestCallWithoutTheKeyIsRefused(t *testing.T) {
	address, _ := startServer(t)
	in, out := "hello", ""
	require.NoError(t, newTestClient(t, key).Call(t.Context(), address, "Echo.Say", &in, &out))
	require.Equal(t, in, out)

	err := newTestClient(t, []byte("another key 0123456")).Call(t.Context(), address, "Echo.Say", &in, &out)
	var call *CallError
	require.ErrorAs(t, err, &call)
	require.Equal(t, "dial", call.Step)
	require.False(t, call.MayHaveRun)
}

// Guards against a call that hangs until its deadline on a silent connection, and
// against closing a connection only because a call on it is slow.
func TestSilentConnectionIsClosedAndSlowCallContinues(t *testing.T) {
	address, echo := startServer(t)
	proxy, err := faultproxy.New(faultproxy.Config{Upstream: address})
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	c := newTestClient(t, key)
	in, out := "hello", ""
	slowCall := make(chan error, 1)
	go func() {
		var reply string
		slowCall <- c.Call(context.Background(), proxy.Addr(), "Echo.Wait", &in, &reply)
	}()
	time.Sleep(pingInterval + pingTimeout + 200*time.Millisecond) // a silent connection would be closed by now
	close(echo.release)
	require.NoError(t, <-slowCall)

	for range connsPerPeer {
		require.NoError(t, c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out))
	}
	proxy.BlackholeExisting()
	start := time.Now()
	err = c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out)
	var call *CallError
	require.ErrorAs(t, err, &call)
	require.True(t, call.MayHaveRun, "the peer may have received the request")
	require.Less(t, time.Since(start), 2*time.Second)
	require.Eventually(t, func() bool {
		return c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out) == nil
	}, 4*time.Second, 10*time.Millisecond, "calls must succeed on new connections")
}

// Guards against an exchange that is late and fails all calls in flight to the peer: only new
// calls use another connection.
func TestDrainKeepsCallsInFlight(t *testing.T) {
	address, echo := startServer(t)
	c := newTestClient(t, key)
	c.Options = Options{Connections: 1, NoPings: true}
	in, out := "hello", ""
	require.NoError(t, c.Call(t.Context(), address, "Echo.Say", &in, &out))
	first := func() *conn {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.peers[address].conns[0]
	}
	old := first()
	slowCall := make(chan error, 1)
	go func() {
		var reply string
		slowCall <- c.Call(context.Background(), address, "Echo.Wait", &in, &reply)
	}()
	require.Eventually(t, func() bool { old.mu.Lock(); defer old.mu.Unlock(); return old.inFlight == 1 }, time.Second, time.Millisecond)

	sent := time.Now()
	require.NoError(t, c.Call(t.Context(), address, "Echo.Say", &in, &out))
	c.Drain(address, sent)
	require.Same(t, old, first(), "a connection that has delivered a reply since is not replaced")

	c.Drain(address, time.Now())
	require.NoError(t, c.Call(t.Context(), address, "Echo.Say", &in, &out))
	require.NotSame(t, old, first())
	time.Sleep(drainPingTimeout + 100*time.Millisecond) // a silent connection would be closed by now
	close(echo.release)
	require.NoError(t, <-slowCall)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.drained) == 0
	}, 2*time.Second, 10*time.Millisecond, "the connection must be closed when its calls have ended")
}

// Guards against calls that wait until their deadline on a connection that was replaced and
// is silent for good.
func TestDrainedSilentConnectionIsClosed(t *testing.T) {
	address, _ := startServer(t)
	proxy, err := faultproxy.New(faultproxy.Config{Upstream: address})
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	c := newTestClient(t, key)
	c.Options = Options{Connections: 1, NoPings: true}
	in, out := "hello", ""
	require.NoError(t, c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out))
	proxy.BlackholeExisting()
	call := make(chan error, 1)
	go func() {
		var reply string
		call <- c.Call(context.Background(), proxy.Addr(), "Echo.Say", &in, &reply)
	}()
	time.Sleep(50 * time.Millisecond)
	c.Drain(proxy.Addr(), time.Now())
	require.NoError(t, c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out), "new calls use a new connection")
	select {
	case err := <-call:
		var failed *CallError
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.MayHaveRun)
	case <-time.After(drainPingTimeout + 2*time.Second):
		require.Fail(t, "the call still waits on the silent connection")
	}
}

// Guards against reporting that a call may have run when no connection could be
// opened: the caller would take a call that failed for certain as unknown.
func TestUnreachablePeerDidNotRunTheCall(t *testing.T) {
	in, out := "hello", ""
	err := newTestClient(t, key).Call(t.Context(), "127.0.0.1:1", "Echo.Say", &in, &out)
	var call *CallError
	require.True(t, errors.As(err, &call))
	require.False(t, call.MayHaveRun)
}
