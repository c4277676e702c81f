package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/bodies"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a process that exceeds the memory of its machine by heads of a permitted size
// with very many fields, whose requests stay: they count, and those for which no memory is left
// are refused at once. Usual requests go on.
func TestHeadsOfManyFieldsCountTowardsTheMemory(t *testing.T) {
	const fields, fitting = 2000, 3
	memory := int64(fields * (headFieldBytes + 6))
	budget := bodies.New(2*(fitting*memory+memory/2), hclog.NewNullLogger(), metrics.NewRegistry())
	s := newGatewayWith(t, Config{Bodies: budget}, true, startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ran") }))
	var head strings.Builder
	for i := range fields {
		fmt.Fprintf(&head, "x%05x:\r\n", i)
	}
	send := func(n int) *bufio.Reader {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST /write/a HTTP/1.1\r\nHost: h.example\r\nId: many-%d\r\nContent-Length: 10\r\n%s\r\n123456789", n, head.String())
		require.NoError(t, err)
		return bufio.NewReader(c)
	}
	for n := range fitting {
		send(n)
	}
	require.Eventually(t, func() bool { return budget.Used() >= fitting*memory }, time.Second, time.Millisecond, "heads are not counted")
	for n := range fitting {
		began := time.Now()
		resp, err := http.ReadResponse(send(fitting+n), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		assert.Contains(t, string(body), fmt.Sprintf(`"no-memory-for-head","request":"many-%d"`, fitting+n))
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		assert.Less(t, time.Since(began), 500*time.Millisecond)
	}
	resp, body := call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "ran", body)
	assert.Eventually(t, func() bool { return budget.Used() == 0 }, 10*time.Second, 10*time.Millisecond, "the memory stays in use")
}
