package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/bodies"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a process that exceeds the memory of its machine by many small answers that
// callers read slowly: while they use up the memory, requests are refused as not run. Bodies
// that do so leave requests with small answers alone.
func TestRequestsAreRefusedWhileUnreadAnswersUseUpTheMemory(t *testing.T) {
	const limit = 1 << 20
	budget := bodies.New(limit, hclog.NewNullLogger(), metrics.NewRegistry())
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ran") })
	s := newGatewayWith(t, Config{Bodies: budget}, true, target)
	budget.Force(limit)
	resp, body := call(t, s, http.MethodPost, "/write/a", "")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Contains(t, body, `"no-memory-for-answer"`)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Zero(t, target.requests.Load())
	budget.ReleaseForced(limit)
	resp, _ = call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusOK, resp.StatusCode)

	require.True(t, budget.Reserve(limit))
	resp, _ = callWithID(t, s, http.MethodGet, "/read/a", "", "r2")
	assert.Equal(t, http.StatusOK, resp.StatusCode, "bodies use up the memory")
	budget.Force(limit / 2)
	resp, _ = callWithID(t, s, http.MethodGet, "/read/a", "", "r3")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "bodies and answers use up the memory")
}
