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

// slowServiceTime is the work of a request in TestLateRequestsOfPlannedStopAreAnswered. A
// request that arrives later than this before the end of the stop cannot be finished.
const slowServiceTime = 1500 * time.Millisecond

// Guards against writes that a process takes late in its stop, passes on, and cuts off
// with no answer when it ends, and against ones that it refuses as not run although they
// run: callers finish requests on open connections all through the stop.
func TestLateRequestsOfPlannedStopAreAnswered(t *testing.T) {
	const (
		keptCallers = 4
		spacing     = 50 * time.Millisecond
		lastArrival = 4800 * time.Millisecond
		headerTime  = 2700 * time.Millisecond // from the first byte of a request to its last; the limit is 3 s
	)
	f := startReadyFleet(t, buildProgram(t), 43, 3)
	for _, m := range f.targetsOf(poolService) {
		m.ServiceTime = slowServiceTime
	}
	v := f.vms[0]
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	book := func(c net.Conn, r *bufio.Reader, id string, wait time.Duration) (open bool) {
		status, open, err := bookSlowly(c, r, id, wait)
		f.checker.recordOutcome(id, writeOutcome(status, err))
		mu.Lock()
		defer mu.Unlock()
		statuses[status]++
		return assert.NoError(t, err, "request %s", id) && open
	}
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.DialTimeout("tcp", v.ip+":8081", time.Second)
		if !assert.NoError(t, err) {
			return nil, nil
		}
		assert.NoError(t, c.SetDeadline(time.Now().Add(headerTime+2*callTimeout)))
		return c, bufio.NewReader(c)
	}
	for n := range keptCallers {
		callers.Go(func() {
			c, r := dial()
			if c == nil {
				return
			}
			defer c.Close()
			for i, open := 0, true; open; i++ {
				open = book(c, r, fmt.Sprintf("kept%d-%d", n, i), 0)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	v.signal(syscall.SIGTERM)
	for arrival := spacing; arrival <= lastArrival; arrival += spacing {
		callers.Go(func() {
			opened := max(0, arrival-headerTime)
			time.Sleep(opened - time.Since(began))
			c, r := dial()
			if c == nil {
				return
			}
			defer c.Close()
			book(c, r, "late-"+arrival.String(), arrival-opened)
		})
	}
	v.shutdown(syscall.SIGHUP)
	assert.Less(t, time.Since(began), shutdownGrace)
	callers.Wait()
	for _, violation := range f.checker.violations {
		t.Error(violation)
	}
	t.Logf("requests by status (0: no answer): %v", statuses)
	assert.Positive(t, statuses[http.StatusOK])
	assert.Positive(t, statuses[http.StatusServiceUnavailable])
}

// bookSlowly sends a write whose last byte follows the first after wait. It returns an
// error unless the VM answers it. open reports whether the connection stays open.
func bookSlowly(c net.Conn, r *bufio.Reader, id string, wait time.Duration) (status int, open bool, err error) {
	if _, err := io.WriteString(c, "POST /book/x HTTP/1.1\r\n"); err != nil {
		return 0, false, err
	}
	time.Sleep(wait)
	_, err = fmt.Fprintf(c, "Host: soak.example\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: 2\r\n\r\n{}", id, callTimeout.Milliseconds())
	if err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, !resp.Close, err
}
