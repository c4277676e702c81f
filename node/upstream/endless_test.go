package upstream

import (
	"bufio"
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
	"github.com/stretchr/testify/require"
)

// endless are ways in which a target sends bytes until the client closes the
// connection: a first part, and one that is repeated.
var endless = map[string]struct{ first, repeated string }{
	"status line":      {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	"header line":      {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
	"header lines":     {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: x\r\n", 512)},
	"informational":    {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 64)},
	"body":             {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n", strings.Repeat("x", 4096)},
	"chunks":           {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	"trailer":          {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: x\r\n", 512)},
	"body of another":  {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 999999999999\r\n\r\n", strings.Repeat("x", 4096)},
	"no answer at all": {"", strings.Repeat("\x00garbage ", 512)},
}

// serveEndless starts a target that sends one of endless to each request.
func serveEndless(t *testing.T, kind string) string {
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, endless[kind].first)
		for err == nil {
			_, err = io.WriteString(c, endless[kind].repeated)
		}
		c.Close()
	})
}

// Guards against a target whose answer never ends, in its head or in its body: the
// request must fail with an unknown outcome, before its deadline, and the connection
// must be closed.
func TestAnswerWithoutEndFails(t *testing.T) {
	for kind := range endless {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			c := New(net.Dialer{}, metrics.NewRegistry())
			_, err := c.Do(ctx, request(serveEndless(t, kind), "a", true))
			var failed *Error
			require.ErrorAs(t, err, &failed)
			assert.True(t, failed.Sent, "the target may have run the request")
			assert.NoError(t, ctx.Err(), "the request waited for its deadline")
			assert.Empty(t, c.idle)
			assert.Zero(t, c.memory.used.Load(), "memory stays reserved")
		})
	}
}

// maxTestHeap is the heap that 64 targets whose answers do not end may take: a VM of
// 184 MB gives the Go runtime 110 MB.
const maxTestHeap = 64 << 20

// Guards against a VM that runs out of memory because many targets at once send
// answers without end, and against requests to good targets that fail meanwhile.
func TestAnswersWithoutEndLeaveMemoryForOthers(t *testing.T) {
	const sickTargets = 64
	good := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, req.Header.Get("Attempt-Id"), "ok")
		}
	})
	var kinds []string
	for kind := range endless {
		kinds = append(kinds, kind)
	}
	c := New(net.Dialer{}, metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var sick sync.WaitGroup
	for n := range sickTargets {
		address := serveEndless(t, kinds[n%len(kinds)])
		sick.Add(1)
		go func() {
			defer sick.Done()
			for ctx.Err() == nil {
				_, err := c.Do(ctx, request(address, "a", true))
				assert.Error(t, err)
			}
		}()
	}
	var most uint64
	for n := 0; ctx.Err() == nil; n++ {
		a, err := c.Do(context.Background(), request(good, "a", true))
		if assert.NoError(t, err) {
			assert.Equal(t, "ok", string(a.Body))
			a.Release()
		}
		if n%20 == 0 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			runtime.GC()
			runtime.ReadMemStats(&after)
			// Answers go on being read during the collection. What is allocated in it is
			// not collected, and is mostly garbage too.
			allocated := after.TotalAlloc - before.TotalAlloc
			most = max(most, after.HeapAlloc-min(after.HeapAlloc, allocated))
			assert.LessOrEqual(t, c.memory.used.Load(), c.AnswerMemory)
		}
	}
	sick.Wait()
	assert.Less(t, most, uint64(maxTestHeap))
	assert.Zero(t, c.memory.used.Load(), "memory stays reserved")
}

// Guards against large answers that are refused although memory is free, and against
// memory that stays reserved once they have been passed on.
func TestLargeAnswerFitsAndIsReleased(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		body := strings.Repeat("0123456789abcdef", 5<<20/16)
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			resp := &http.Response{
				StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Attempt-Id": {"a"}},
				ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
			}
			if chunked {
				resp.ContentLength, resp.TransferEncoding = -1, []string{"chunked"}
			}
			_ = resp.Write(c) // a failed write also makes the read fail
		})
		c := New(net.Dialer{}, metrics.NewRegistry())
		a, err := c.Do(context.Background(), request(address, "a", true))
		require.NoError(t, err)
		require.True(t, string(a.Body) == body, "the body differs")
		assert.Positive(t, c.memory.used.Load())
		a.Release()
		a.Release()
		assert.Zero(t, c.memory.used.Load())
	}
}

// Guards against a body in chunks that was cut off and is taken for complete.
func TestTruncatedChunksAreAnError(t *testing.T) {
	for _, sent := range []string{"4\r\nhalf\r\n", "9\r\nhalf", "4\r\nhalf\r\n0\r\n"} {
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"+sent)
			}
			c.Close()
		})
		_, err := New(net.Dialer{}, metrics.NewRegistry()).Do(context.Background(), request(address, "a", false))
		assert.Error(t, err, sent)
	}
}
