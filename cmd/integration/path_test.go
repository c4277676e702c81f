package integration

import (
	"net/http"
	"strings"
	"testing"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// Guards the whole path: a configuration in the log, a manager, fenced grants,
// and a read and a write through every VM that reach the owner.
func TestWholePath(t *testing.T) {
	c := deployment(t, nil)
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

// Guards against refusals that a caller cannot tell apart.
func TestRefusalsOfBadRequests(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
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
