package targets

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// endless are answers that end only when the client closes the connection: a first
// part, and one that is repeated.
var endless = []struct{ first, repeated string }{
	{"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	{"HTTP/1.1 200 OK\r\n", strings.Repeat("A: x\r\n", 512)},
	{"HTTP/1.1 200 OK\r\nMangogate-Request-Id: r\r\n\r\n", strings.Repeat("x", 4096)},
	{"HTTP/1.1 200 OK\r\nMangogate-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	{"HTTP/1.1 200 OK\r\nMangogate-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: x\r\n", 512)},
}

// maxTestHeap is the heap that 64 targets whose answers do not end may take.
const maxTestHeap = 64 << 20

// Guards against a VM that runs out of memory, with all requests that it works on,
// because targets send answers without end, in their heads or bodies.
func TestAnswersWithoutEndTakeLimitedMemory(t *testing.T) {
	const sickTargets = 64
	c := New(nil, metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var sick sync.WaitGroup
	for n := range sickTargets {
		answer := endless[n%len(endless)]
		address := startTarget(t, func(_ int, conn net.Conn, _ *http.Request) {
			_, err := io.WriteString(conn, answer.first)
			for err == nil {
				_, err = io.WriteString(conn, answer.repeated)
			}
		})
		sick.Go(func() {
			for ctx.Err() == nil {
				_, err := c.Do(ctx, newRequest(address, "r"))
				assert.Error(t, err)
			}
		})
	}
	var most uint64
	for ctx.Err() == nil {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		runtime.GC()
		runtime.ReadMemStats(&after)
		// What is allocated during the collection is not collected, and is mostly garbage.
		allocated := after.TotalAlloc - before.TotalAlloc
		most = max(most, after.HeapAlloc-min(after.HeapAlloc, allocated))
		time.Sleep(20 * time.Millisecond)
	}
	sick.Wait()
	assert.Less(t, most, uint64(maxTestHeap))
}
