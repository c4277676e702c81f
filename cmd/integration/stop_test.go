package integration

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

const (
	balancerPoll = 100 * time.Millisecond
	// stopWithin is leave_balancer and finish of the cluster's settings, and
	// a second for the rest.
	stopWithin = 300*time.Millisecond + 20*time.Second + time.Second
)

// balancer asks each VM for /ready as a load balancer does and returns the
// entries that are ready.
func balancer(t *testing.T, c *cluster.Cluster) func() []string {
	var ready atomic.Pointer[[]string]
	client := &http.Client{Timeout: balancerPoll}
	poll := func() {
		entries := make([]string, len(c.VMs))
		var all sync.WaitGroup
		for i, v := range c.VMs {
			all.Go(func() {
				resp, err := client.Get("http://" + v.Operators + "/ready")
				if err != nil {
					return
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					entries[i] = v.Callers
				}
			})
		}
		all.Wait()
		var out []string
		for _, e := range entries {
			if e != "" {
				out = append(out, e)
			}
		}
		ready.Store(&out)
	}
	poll()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(balancerPoll)
			poll()
		}
	}()
	return func() []string { return *ready.Load() }
}

// slow is a service whose requests are in flight for long.
func slow(cfg *cluster.Config) {
	cfg.Services = append(cfg.Services, cluster.Service{Name: "slow", Ownership: inventory.OwnershipPool, Targets: 6,
		TargetArgs: []string{"--service-time", "1s"}})
}

// Guards against a planned stop that cuts off requests, or that callers notice
// in any other way: all VMs are restarted in turn with long requests in flight.
func TestRollingRestart(t *testing.T) {
	c := deployment(t, slow)
	entries := balancer(t, c)
	balanced := func(cfg *loadgen.Config) { cfg.Balance, cfg.Repeats = entries, 0 }
	long := func(cfg *loadgen.Config) {
		balanced(cfg)
		cfg.Rate, cfg.Callers = 0, 12
	}
	loads := []*load{startLoad(t, c, "status", balanced), startLoad(t, c, "bookings", balanced), startLoad(t, c, "slow", long)}
	loads[2].waitServed(12)
	for _, v := range c.VMs {
		require.NoError(t, v.Terminate(stopWithin)) // exit code 0
		require.NoError(t, v.Restart())
		require.NoError(t, c.WaitReady(t.Context(), readyWithin))
	}
	loads[2].waitServed(12)
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// Guards against a stop of all VMs that waits for VMs to hand over to when
// there are none: requests in flight are finished, and each VM ends with 0.
func TestStopOfAllVMs(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) {
		cfg.VMs = 3
		slow(cfg)
	})
	const inFlight = 6
	answers := make(chan int, inFlight)
	for range inFlight {
		go func() {
			resp, err := caller.Post("http://"+c.VMs[0].Callers+"/slow/a", "text/plain", nil)
			if err != nil {
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	require.NoError(t, cluster.Wait(readyWithin, func() error { return runningAt(t, c, "slow", inFlight) }))
	began := time.Now()
	var all sync.WaitGroup
	for _, v := range c.VMs {
		all.Go(func() { require.NoError(t, v.Terminate(stopWithin), v.Name) })
	}
	for range inFlight {
		require.Equal(t, http.StatusOK, <-answers)
	}
	all.Wait()
	// Well below shutdown.finish, which is for requests in flight.
	require.Less(t, time.Since(began), 10*time.Second)
}
