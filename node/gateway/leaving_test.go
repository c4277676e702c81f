package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to a target after it has said in an answer, of
// whatever kind, that it leaves. The store says nothing of it here.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "421 Misdirected Request", "500 Internal Server Error", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			leaving := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, status, "Leaving: 1\r\nNot-Run: 1\r\n", "left") })
			staying := startTarget(t, func(c net.Conn, r *http.Request) {
				time.Sleep(5 * time.Millisecond) // the other one is free meanwhile
				respond(c, r, "200 OK", "", "stays")
			})
			s := newGateway(t, true, leaving, staying)
			for i := range 40 {
				callWithID(t, s, http.MethodGet, "/read/a", "", "r"+strconv.Itoa(i))
				if leaving.requests.Load() > 0 {
					break
				}
			}
			require.EqualValues(t, 1, leaving.requests.Load())
			var callers sync.WaitGroup
			for caller := range 2 {
				callers.Go(func() {
					for i := range 6 {
						resp, body := callWithID(t, s, http.MethodPost, "/write/a", "x", fmt.Sprintf("w%d-%d", caller, i))
						assert.Equal(t, http.StatusOK, resp.StatusCode)
						assert.Equal(t, "stays", body)
					}
				})
			}
			callers.Wait()
			assert.EqualValues(t, 1, leaving.requests.Load(), "requests reached the target after it had said that it leaves")
		})
	}
}

// Guards against a caller that does not see the word of the target, and against requests
// that wait, or end without saying why, when all targets say at once that they leave.
func TestRequestsAreRefusedWithTheReasonIfAllTargetsLeave(t *testing.T) {
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "Leaving: 1\r\n", "ran") })
	s := newGateway(t, true, target)
	resp, body := call(t, s, http.MethodPost, "/write/a", "x")
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "ran", body)
	assert.Equal(t, "1", resp.Header.Get("Leaving"))

	began := time.Now()
	resp, body = callWithID(t, s, http.MethodPost, "/write/a", "x", "r2")
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Contains(t, body, `"not-run"`)
	assert.Contains(t, body, `"leaving"`)
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Less(t, time.Since(began), 100*time.Millisecond, "it waited although nothing can serve it")
	assert.EqualValues(t, 1, target.requests.Load())
}

// Guards against a request that is cut off, or sent again, because its target is known to leave
// while it runs there.
func TestRequestThatRunsAtALeavingTargetIsAnswered(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := startTarget(t, func(c net.Conn, r *http.Request) {
		close(started)
		<-release
		respond(c, r, "200 OK", "Leaving: 1\r\n", "ran")
	})
	s := newGateway(t, true, target)
	time.AfterFunc(5*time.Second, func() { s.CloseClientConnections() }) // ends a test that hangs
	var caller sync.WaitGroup
	caller.Go(func() {
		resp, body := call(t, s, http.MethodPost, "/write/a", "x")
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.Equal(t, "ran", body)
	})
	<-started
	s.Config.Handler.(*Gateway).cells.NoteLeaving("t0", target.address, 0)
	time.Sleep(50 * time.Millisecond)
	close(release)
	caller.Wait()
	assert.EqualValues(t, 1, target.requests.Load())
}
