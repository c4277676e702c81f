package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	plannedStops = 6
	// unnoticedFor is how long after the first signal the load balancer still opens
	// connections to a VM that stops: less than the VM's notice.
	unnoticedFor = 1500 * time.Millisecond
)

// Guards against requests that are cut off when a process is stopped under load, and
// against a process that ends at once because further signals arrive while it starts
// or stops: the platform may repeat SIGTERM and sends SIGHUP whenever settings change.
func TestPlannedStopOfProcessAnswersEveryAcceptedRequest(t *testing.T) {
	f := startReadyFleet(t, buildProgram(t), 41, 3)
	var answered atomic.Int64
	for n := range plannedStops {
		v := f.vms[n%len(f.vms)]
		require.Eventually(t, v.ready, 10*time.Second, 50*time.Millisecond, "%s is not ready", v.name)
		ctx, noticed := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for caller := range callerCount {
			callers.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					if err := bookOnNewConnection(v, fmt.Sprintf("s%d-%d-%d", n, caller, i)); !assert.NoError(t, err) {
						return
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			v.signal(s)
			time.Sleep(20 * time.Millisecond)
		}
		time.AfterFunc(unnoticedFor, noticed)
		v.shutdown(syscall.SIGHUP)
		callers.Wait()
		assert.Less(t, time.Since(began), shutdownGrace, "stop %d", n)
		f.start(v)
		require.Eventually(t, func() bool { return v.starts(t) == n/len(f.vms)+2 }, 5*time.Second, time.Millisecond, "%s does not start", v.name)
		v.signal(syscall.SIGHUP)
	}
	t.Logf("%d requests answered over %d stops", answered.Load(), plannedStops)
	assert.Greater(t, answered.Load(), int64(plannedStops*callerCount))
}

// starts returns how often the VM's processes have begun to start.
func (v *vm) starts(t *testing.T) int {
	log, err := os.ReadFile(v.log)
	require.NoError(t, err)
	return bytes.Count(log, []byte("starting"))
}

// bookOnNewConnection sends a write over its own connection. It returns an error
// unless the VM answers it.
func bookOnNewConnection(v *vm, id string) error {
	c, err := net.DialTimeout("tcp", v.ip+":8081", time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(2 * callTimeout)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: 2\r\n\r\n{}",
		id, callTimeout.Milliseconds())
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
