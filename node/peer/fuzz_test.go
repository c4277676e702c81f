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

type notes struct{ taken atomic.Int64 }

// Take counts calls.
func (n *notes) Take(_ *int, _ *int) error {
	n.taken.Add(1)
	return nil
}

// Guards against a peer that holds the key and sends garbage: it must not stop
// the server, reach a method, or keep other peers from being served.
func FuzzGarbageAfterHandshake(f *testing.F) {
	for _, seed := range []string{"", "\x00", "garbage after the handshake", "\xff\xff\xff\xff\xff\xff\xff\xff", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		f.Add([]byte(seed))
	}
	key, taken := []byte("a key of the deployment"), &notes{}
	s := NewServer("127.0.0.1:0", key, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(f, s.Register("Notes", taken))
	require.NoError(f, s.Start(context.Background()))
	f.Cleanup(func() { _ = s.Stop(context.Background()) }) // the test is over
	c := NewClient(key, nil, metrics.NewRegistry())
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, clientHandshake(conn, key))
		_, _ = conn.Write(data) // the server may have closed the connection
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		before := taken.taken.Load()
		var in, out int
		require.NoError(t, c.Call(ctx, s.listener.Addr().String(), "Notes.Take", &in, &out))
		require.Equal(t, before+1, taken.taken.Load())
	})
}
