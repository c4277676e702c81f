package integration

import (
	"net/http"
	"strings"
	"testing"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// Guards against a break anywhere on the path from the configuration in the log,
// through the manager and its fenced grants, to requests: a read and a write
// through every VM must reach the owner of the key.
func TestWholePath(t *testing.T) {
	c := startCluster(t, nil)
	owner, err := c.Owner(t.Context(), c.VMs[0], "status", "beach-7")
	require.NoError(t, err)
	for _, v := range c.VMs {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			resp, body := request(t, v, method, "/status/beach-7", nil)
			require.Equal(t, http.StatusOK, resp.StatusCode, body)
			require.Equal(t, "run", resp.Header.Get("Mangogate-Outcome"))
			require.Equal(t, owner.Owner, resp.Header.Get("X-Target"))
			require.Contains(t, body, `"beach-7"`)
		}
	}
}

// Guards against refusals that a caller cannot tell apart: a missing rule, a missing
// key and an invalid header have different reasons.
func TestRefusalsOfBadRequests(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	for _, tc := range []struct {
		name, path, reason string
		header             map[string]string
		status             int
	}{
		{"no rule", "/nowhere", "no-rule", nil, http.StatusNotFound},
		{"no key", "/status/", "no-key", nil, http.StatusBadRequest},
		{"bad deadline", "/status/a", "bad-request", map[string]string{"Mangogate-Deadline-Ms": "soon"}, http.StatusBadRequest},
		{"long idempotency key", "/status/a", "bad-request", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, body := request(t, c.VMs[0], http.MethodPost, tc.path, tc.header)
			require.Equal(t, tc.status, resp.StatusCode, body)
			require.Equal(t, "not-run", resp.Header.Get("Mangogate-Outcome"))
			require.Equal(t, tc.reason, resp.Header.Get("Mangogate-Reason"))
			require.Contains(t, body, `"message"`)
		})
	}
}
