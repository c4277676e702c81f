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
	// stopWithin bounds a planned stop: 300 ms and 20 s are leave_balancer and
	// finish of the cluster's settings, and 1 s is for everything else.
	stopWithin = 300*time.Millisecond + 20*time.Second + time.Second
)

// startBalancer polls /ready of each VM until the test ends, as a load balancer
// does. It returns a function that lists the addresses of the ready VMs.
func startBalancer(t *testing.T, c *cluster.Cluster) func() []string {
	var ready atomic.Pointer[[]string]
	client := &http.Client{Timeout: balancerPoll}
	poll := func() {
		entries := make([]string, len(c.VMs))
		var wg sync.WaitGroup
		for i, v := range c.VMs {
			wg.Go(func() {
				resp, err := client.Get("http://" + v.OperatorAddress + "/ready")
				if err != nil {
					return
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					entries[i] = v.CallerAddress
				}
			})
		}
		wg.Wait()
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

// addSlowService adds a service whose requests take 1 s.
func addSlowService(cfg *cluster.Config) {
	cfg.Services = append(cfg.Services, cluster.Service{Name: "slow", Ownership: inventory.OwnershipPool, Targets: 6,
		TargetArgs: []string{"--service-time", "1s"}})
}

// Guards against a planned stop that interrupts requests or that callers notice in
// any other way. All VMs are restarted in turn with long requests in flight.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, addSlowService)
	entries := startBalancer(t, c)
	balanced := func(cfg *loadgen.Config) { cfg.Balance, cfg.Repeats = entries, 0 }
	longRequests := func(cfg *loadgen.Config) {
		balanced(cfg)
		cfg.Rate, cfg.Callers = 0, 12
	}
	loads := []*load{startLoad(t, c, "status", balanced), startLoad(t, c, "bookings", balanced), startLoad(t, c, "slow", longRequests)}
	loads[2].waitServed(12)
	for _, v := range c.VMs {
		require.NoError(t, v.Terminate(stopWithin)) // requires exit code 0
		require.NoError(t, v.Restart())
		require.NoError(t, c.WaitReady(t.Context(), readyWithin))
	}
	loads[2].waitServed(12)
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// Guards against a stop of all VMs at once that hangs because each VM waits for
// another VM to hand over to. Requests in flight must be finished, and each VM
// must exit with 0.
func TestStopOfAllVMs(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) {
		cfg.VMs = 3
		addSlowService(cfg)
	})
	const inFlight = 6
	answers := make(chan int, inFlight)
	for range inFlight {
		go func() {
			resp, err := httpClient.Post("http://"+c.VMs[0].CallerAddress+"/slow/a", "text/plain", nil)
			if err != nil {
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	require.NoError(t, cluster.Wait(readyWithin, func() error { return checkRunning(t, c, "slow", inFlight) }))
	began := time.Now()
	var wg sync.WaitGroup
	for _, v := range c.VMs {
		wg.Go(func() { require.NoError(t, v.Terminate(stopWithin), v.Name) })
	}
	for range inFlight {
		require.Equal(t, http.StatusOK, <-answers)
	}
	wg.Wait()
	// This is well below shutdown.finish, the time limit for requests in flight.
	require.Less(t, time.Since(began), 10*time.Second)
}
