package targets

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent in plain text, or to a target whose
// certificate is not trusted, when TLS is configured.
func TestRequestOverTLS(t *testing.T) {
	target := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	t.Cleanup(target.Close)
	trusted := target.Client().Transport.(*http.Transport).TLSClientConfig
	do := func(config *tls.Config) error {
		_, err := New(config, metrics.NewRegistry()).Do(t.Context(), Request{
			ID: "r-1", Target: "t", Address: target.Listener.Addr().String(), Connections: 1,
			Method: http.MethodPost, URI: "/key", Body: []byte("b"), Shard: -1, Timeout: time.Second,
		})
		return err
	}
	require.NoError(t, do(trusted))
	require.Error(t, do(&tls.Config{}), "a certificate that is not trusted")
	require.Error(t, do(nil), "plain text")
}
