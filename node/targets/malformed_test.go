package targets

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Guards against an answer with an invalid status line that is passed on, or that is
// skipped, so that the next one is taken for the answer.
func TestMalformedAnswerFails(t *testing.T) {
	const rest = " OK\r\nMangogate-Request-Id: r\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"status 000":            "HTTP/1.1 000" + rest,
		"status 1":              "HTTP/1.1 1" + rest,
		"status 99":             "HTTP/1.1 99" + rest,
		"status 099":            "HTTP/1.1 099" + rest,
		"status +99":            "HTTP/1.1 +99" + rest,
		"status 600":            "HTTP/1.1 600" + rest,
		"status 999":            "HTTP/1.1 999" + rest,
		"status in letters":     "HTTP/1.1 abc" + rest,
		"no status":             "HTTP/1.1 \r\nMangogate-Request-Id: r\r\nContent-Length: 2\r\n\r\nok",
		"version 1.2":           "HTTP/1.2 200" + rest,
		"version 2.0":           "HTTP/2.0 200" + rest,
		"version in letters":    "HTTP/x.y 200" + rest,
		"endless informational": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000) + "HTTP/1.1 200" + rest,
		"switch":                "HTTP/1.1 101 Switching Protocols\r\nMangogate-Request-Id: r\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(_ int, conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, text) // the client may close the connection
				conn.Close()
			})
			a, err := New(nil, metrics.NewRegistry()).Do(context.Background(), newRequest(address, "r"))
			if !assert.Error(t, err) {
				t.Logf("status %d, body %q", a.Status, a.Body)
			}
		})
	}
}
