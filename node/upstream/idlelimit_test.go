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

// Guards against writes that are lost because targets, for some seconds, drop
// connections that have been idle for 320 ms. Failures at two targets must lower
// the limit, those at a single target that restarts must not, and the limit must
// recover.
func TestIdleLimitShrinksAfterResets(t *testing.T) {
	var limit idleLimit
	now := time.Unix(1000, 0)
	assert.Equal(t, maxIdleLimit, limit.at(now))
	for range 3 {
		limit.recordFailure(now, "a", 5*time.Second) // the process of target a has ended
	}
	assert.Equal(t, maxIdleLimit, limit.at(now))
	limit.recordFailure(now.Add(time.Second), "b", 3*time.Second)
	assert.Equal(t, 1500*time.Millisecond, limit.at(now.Add(time.Second)))
	for i := range 4 {
		now = now.Add(time.Second)
		limit.recordFailure(now, string(rune('c'+i)), limit.at(now))
	}
	assert.LessOrEqual(t, limit.at(now), 320*time.Millisecond)
	assert.GreaterOrEqual(t, limit.at(now), minIdleLimit)
	assert.Equal(t, maxIdleLimit, limit.at(now.Add(30*time.Second)))
}

// Guards against a client that does not pass failures on reused connections to
// its idle limit, and so never lowers it. An earlier limit was fixed at 2 s.
func TestClientLowersIdleLimitAfterResets(t *testing.T) {
	closeOnSecondRequest := func(c net.Conn, r *bufio.Reader) {
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
	for _, address := range []string{serve(t, closeOnSecondRequest), serve(t, closeOnSecondRequest)} {
		_, err := c.Do(context.Background(), request(address, "1", true))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
		_, err = c.Do(context.Background(), request(address, "2", true))
		require.Error(t, err)
	}
	assert.Less(t, c.idleLimit.at(time.Now()), maxIdleLimit)
}
