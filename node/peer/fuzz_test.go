package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// callCounter is an RPC service that counts its calls.
type callCounter struct{ calls atomic.Int64 }

// Take counts calls.
func (c *callCounter) Take(_ *int, _ *int) error {
	c.calls.Add(1)
	return nil
}

// Guards against a peer that completes the handshake and then sends bytes that are
// no valid call: they must not stop the server, run a method, or block other peers.
func FuzzGarbageAfterHandshake(f *testing.F) {
	for _, seed := range []string{"", "\x00", "garbage after the handshake", "\xff\xff\xff\xff\xff\xff\xff\xff", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add([]byte(seed))
	}
	key, counter := []byte("a key of the deployment"), &callCounter{}
	s := NewServer("127.0.0.1:0", key, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(f, s.Register("Notes", counter))
	require.NoError(f, s.Start(context.Background()))
	f.Cleanup(func() { _ = s.Stop(context.Background()) }) // an error does not matter after the test
	c := NewClient(key, nil, metrics.NewRegistry())
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, clientHandshake(conn, key))
		_, _ = conn.Write(data) // the server may have closed the connection
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		before := counter.calls.Load()
		var in, out int
		require.NoError(t, c.Call(ctx, s.listener.Addr().String(), "Notes.Take", &in, &out))
		require.Equal(t, before+1, counter.calls.Load())
	})
}
