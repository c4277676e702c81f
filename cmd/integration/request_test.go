package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

var httpClient = &http.Client{Timeout: 15 * time.Second}

// request sends one request through a VM and returns the response and its body.
func request(t *testing.T, v *cluster.VM, method, path string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+v.CallerAddress+path, strings.NewReader("body"))
	require.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := httpClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func decode(t *testing.T, resp *http.Response, into any) {
	t.Helper()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(into))
}
