package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Targets forget idle connections after 320 ms for some seconds. The first
// resets teach it, a single target that ends does not, and it is unlearned.
func TestIdleConnectionsAreTrustedLessAfterResets(t *testing.T) {
	var trust idleTrust
	now := time.Unix(1000, 0)
	assert.Equal(t, longestTrust, trust.now(now))
	for range 3 {
		trust.reset(now, "a", 5*time.Second) // its process has ended
	}
	assert.Equal(t, longestTrust, trust.now(now))
	trust.reset(now.Add(time.Second), "b", 3*time.Second)
	assert.Equal(t, 1500*time.Millisecond, trust.now(now.Add(time.Second)))
	for i := range 4 {
		now = now.Add(time.Second)
		trust.reset(now, string(rune('c'+i)), trust.now(now))
	}
	assert.LessOrEqual(t, trust.now(now), 320*time.Millisecond)
	assert.GreaterOrEqual(t, trust.now(now), shortestTrust)
	assert.Equal(t, longestTrust, trust.now(now.Add(30*time.Second)))
}

// The client itself: a write uses a connection that was idle for longer than
// the 2 s that were trusted once, until targets have forgotten some.
func TestClientLearnsFromResets(t *testing.T) {
	forgetful := func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil || n == 1 {
				c.Close()
				return
			}
			answer(c, req.Header.Get("Attempt-Id"), "ok")
		}
	}
	c := New(net.Dialer{}, metrics.NewRegistry())
	for _, address := range []string{serve(t, forgetful), serve(t, forgetful)} {
		_, err := c.Do(context.Background(), request(address, "1", true))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		_, err = c.Do(context.Background(), request(address, "2", true))
		require.Error(t, err)
	}
	assert.Less(t, c.trust.now(time.Now()), longestTrust)
}
