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

// Echo is a service for the tests.
type Echo struct{ release chan struct{} }

// Say returns its argument.
func (*Echo) Say(in *string, out *string) error { *out = *in; return nil }

// Wait answers when it is released.
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

func client(t *testing.T, k []byte) *Client {
	t.Helper()
	c := NewClient(k, nil, metrics.NewRegistry())
	t.Cleanup(func() { _ = c.Stop(context.Background()) })
	return c
}

// Guards against peers that give orders without the deployment's key.
func TestCallWithoutTheKeyIsRefused(t *testing.T) {
	address, _ := startServer(t)
	in, out := "hello", ""
	require.NoError(t, client(t, key).Call(t.Context(), address, "Echo.Say", &in, &out))
	require.Equal(t, in, out)

	err := client(t, []byte("another key 0123456")).Call(t.Context(), address, "Echo.Say", &in, &out)
	var call *CallError
	require.ErrorAs(t, err, &call)
	require.Equal(t, "dial", call.Step)
	require.False(t, call.MayHaveRun)
}

// Guards against a call that hangs until its deadline on a connection that has
// gone silent, and against taking a slow call for a silent connection.
func TestSilentConnectionIsCondemnedAndSlowCallIsNot(t *testing.T) {
	address, echo := startServer(t)
	proxy, err := faultproxy.New(faultproxy.Config{Upstream: address})
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	c := client(t, key)
	in, out := "hello", ""
	slow := make(chan error, 1)
	go func() {
		var reply string
		slow <- c.Call(context.Background(), proxy.Addr(), "Echo.Wait", &in, &reply)
	}()
	time.Sleep(pingInterval + pingTimeout + 200*time.Millisecond) // longer than a silent connection would live
	close(echo.release)
	require.NoError(t, <-slow)

	for range connsPerPeer {
		require.NoError(t, c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out))
	}
	proxy.HoldExisting()
	start := time.Now()
	err = c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out)
	var call *CallError
	require.ErrorAs(t, err, &call)
	require.True(t, call.MayHaveRun, "the request may have arrived")
	require.Less(t, time.Since(start), 2*time.Second)
	require.Eventually(t, func() bool {
		return c.Call(t.Context(), proxy.Addr(), "Echo.Say", &in, &out) == nil
	}, 4*time.Second, 10*time.Millisecond, "new connections work")
}

// Guards against reporting a call as possibly run when no connection was made.
func TestUnreachablePeerDidNotRunTheCall(t *testing.T) {
	in, out := "hello", ""
	err := client(t, key).Call(t.Context(), "127.0.0.1:1", "Echo.Say", &in, &out)
	var call *CallError
	require.True(t, errors.As(err, &call))
	require.False(t, call.MayHaveRun)
}
