package integration

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// quarantineLimit is the longest time for which a request may be suspected of
// crashing targets or refused for it, by the design.
const quarantineLimit = time.Minute

// restarter restarts targets that exit, as a platform's supervisor does.
type restarter struct {
	crashes atomic.Int64
	paused  atomic.Bool // targets are not restarted
}

func startRestarter(t *testing.T, c *cluster.Cluster) *restarter {
	t.Helper()
	r := &restarter{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		down := map[*cluster.Target]bool{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, target := range c.Targets {
				if target.Alive() {
					continue
				}
				if !down[target] {
					down[target] = true
					r.crashes.Add(1)
				}
				if r.paused.Load() {
					continue
				}
				delete(down, target)
				if err := target.Restart(); err != nil {
					t.Errorf("restart %s: %v", target.Name, err)
					return
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	return r
}

// Guards against a request that crashes one target after another because its
// caller retries it through other VMs. At most two targets may crash; then no VM
// may send the request to a target any more. Other requests must still be served,
// with correct outcomes.
func TestRequestThatCrashesItsTarget(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) {
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = []string{"--service-time", "15ms"} // keeps other requests in flight at each crash
		}
	})
	restarts := startRestarter(t, c)
	for _, service := range []string{"bookings", "status"} {
		for _, tc := range []struct {
			name, method, wantReason string
			header                   map[string]string
		}{
			{"read", http.MethodGet, "quarantined", nil},
			{"write", http.MethodPost, "quarantined", nil},
			{"write with a key", http.MethodPost, "outcome-unknown", map[string]string{"Idempotency-Key": "crash-" + service}},
		} {
			t.Run(service+"/"+tc.name, func(t *testing.T) {
				crashTargets(t, c, restarts, crashingRequest{service, tc.method, tc.wantReason, tc.header})
			})
		}
	}
	t.Run("status/read, targets stay down", func(t *testing.T) {
		restarts.paused.Store(true)
		defer restarts.paused.Store(false)
		crashTargets(t, c, restarts, crashingRequest{"status", http.MethodGet, "quarantined", map[string]string{"Accept": "*/*"}})
	})
}

// crashingRequest is a request that crashes its target.
type crashingRequest struct {
	service, method, wantReason string // wantReason is the expected reason in the last response of each VM
	header                      map[string]string
}

func crashTargets(t *testing.T, c *cluster.Cluster, restarts *restarter, r crashingRequest) {
	t.Helper()
	load := startLoad(t, c, r.service, func(cfg *loadgen.Config) { cfg.Rate, cfg.Keys = 200, 100 })
	load.waitServed(200)
	before := restarts.crashes.Load()
	path := fmt.Sprintf("/%s/poison-%s-%d", r.service, r.method, len(r.header))
	lastReasons := sendCrashingRequest(t, c, r.method, path, r.header)
	load.waitServed(200)
	crashed := restarts.crashes.Load() - before
	require.LessOrEqual(t, crashed, int64(2), "targets that crashed")
	require.Positive(t, crashed, "the request reached no target")
	for vm, reason := range lastReasons {
		require.Equal(t, r.wantReason, reason, "the last response of %s", vm)
	}
	restarts.paused.Store(false)
	requireOthersServed(t, c, r.service, load)
	require.NoError(t, c.WaitReady(t.Context(), 20*time.Second))
}

// sendCrashingRequest sends a request that crashes its target through each VM in
// turn, three times, and returns the reason in the last response of each VM.
func sendCrashingRequest(t *testing.T, c *cluster.Cluster, method, path string, header map[string]string) map[string]string {
	t.Helper()
	lastReasons := map[string]string{}
	for range 3 {
		for _, v := range c.VMs {
			h := map[string]string{"X-Crash": "1"}
			for name, value := range header {
				h[name] = value
			}
			resp, body := request(t, v, method, path, h)
			require.NotEqual(t, "run", resp.Header.Get("Mangogate-Outcome"), body)
			lastReasons[v.Name] = resp.Header.Get("Mangogate-Reason")
		}
	}
	return lastReasons
}

// requireOthersServed checks the load beside a crashing request: no key was
// unavailable for longer than maxKeyOutage, and keys whose requests were quarantined
// as well are served again within quarantineLimit.
func requireOthersServed(t *testing.T, c *cluster.Cluster, service string, l *load) {
	t.Helper()
	report, results := l.stop()
	l.reports <- report
	quarantined := map[string]time.Time{}
	for _, r := range results {
		if r.Reason == "quarantined" {
			quarantined[r.Key] = r.End
		}
	}
	t.Logf("%d requests, outcomes %v, worst key %v, %d keys refused as quarantined", report.Requests, report.Outcomes, report.KeyGaps[0], len(quarantined))
	require.LessOrEqual(t, report.KeyGaps[0].MS, float64(maxKeyOutage.Milliseconds()), "unavailable: %v", report.KeyGaps[:3])
	requireSafe(t, c, l)
	for key, at := range quarantined {
		require.NoError(t, cluster.Wait(quarantineLimit-time.Since(at), func() error {
			resp, body := request(t, c.VMs[0], http.MethodGet, "/"+service+"/"+key, nil)
			if resp.StatusCode != http.StatusOK {
				return errors.Errorf("%s is still refused after the quarantine limit: %s", key, body)
			}
			return nil
		}))
	}
}
