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

// suspicion is how long the design page lets a request be suspect or refused.
const suspicion = time.Minute

// restarter starts targets again when they end, as a platform does.
type restarter struct {
	falls  atomic.Int64
	paused atomic.Bool // targets stay down
}

func startRestarter(t *testing.T, c *cluster.Cluster) *restarter {
	t.Helper()
	p := &restarter{}
	halt, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		fallen := map[*cluster.Target]bool{}
		for {
			select {
			case <-halt:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, target := range c.Targets {
				if target.Alive() {
					continue
				}
				if !fallen[target] {
					fallen[target] = true
					p.falls.Add(1)
				}
				if p.paused.Load() {
					continue
				}
				delete(fallen, target)
				if err := target.Restart(); err != nil {
					t.Errorf("restart %s: %v", target.Name, err)
					return
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(halt)
		<-done
	})
	return p
}

// Guards against a request that crashes one target after another when its caller
// sends it again through other VMs: at most two fall, every VM refuses it then,
// and other requests are served and answered truthfully.
func TestRequestThatCrashesItsTarget(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) {
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = []string{"--service-time", "15ms"} // others are in flight at each crash
		}
	})
	platform := startRestarter(t, c)
	for _, service := range []string{"bookings", "status"} {
		for _, tc := range []struct {
			name, method, last string
			header             map[string]string
		}{
			{"read", http.MethodGet, "quarantined", nil},
			{"write", http.MethodPost, "quarantined", nil},
			{"write with a key", http.MethodPost, "outcome-unknown", map[string]string{"Idempotency-Key": "crash-" + service}},
		} {
			t.Run(service+"/"+tc.name, func(t *testing.T) {
				crashTargets(t, c, platform, crasher{service, tc.method, tc.last, tc.header})
			})
		}
	}
	t.Run("status/read, targets stay down", func(t *testing.T) {
		platform.paused.Store(true)
		defer platform.paused.Store(false)
		crashTargets(t, c, platform, crasher{"status", http.MethodGet, "quarantined", map[string]string{"Accept": "*/*"}})
	})
}

// crasher is a request that crashes its target.
type crasher struct {
	service, method, last string // last is the reason in the last answer of each VM
	header                map[string]string
}

func crashTargets(t *testing.T, c *cluster.Cluster, platform *restarter, r crasher) {
	t.Helper()
	load := startLoad(t, c, r.service, func(cfg *loadgen.Config) { cfg.Rate, cfg.Keys = 200, 100 })
	load.waitServed(200)
	before := platform.falls.Load()
	path := fmt.Sprintf("/%s/poison-%s-%d", r.service, r.method, len(r.header))
	last := sendCrasher(t, c, r.method, path, r.header)
	load.waitServed(200)
	fell := platform.falls.Load() - before
	require.LessOrEqual(t, fell, int64(2), "targets that fell")
	require.Positive(t, fell, "the request reached no target")
	for vm, reason := range last {
		require.Equal(t, r.last, reason, "the last answer of %s", vm)
	}
	platform.paused.Store(false)
	requireInnocent(t, c, r.service, load)
	require.NoError(t, c.WaitReady(t.Context(), 20*time.Second))
}

// sendCrasher sends a request that crashes its target through each VM in turn,
// several times over, and returns the reason in the last answer of each VM.
func sendCrasher(t *testing.T, c *cluster.Cluster, method, path string, header map[string]string) map[string]string {
	t.Helper()
	last := map[string]string{}
	for range 3 {
		for _, v := range c.VMs {
			h := map[string]string{"X-Crash": "1"}
			for name, value := range header {
				h[name] = value
			}
			resp, body := request(t, v, method, path, h)
			require.NotEqual(t, "run", resp.Header.Get("Mangogate-Outcome"), body)
			last[v.Name] = resp.Header.Get("Mangogate-Reason")
		}
	}
	return last
}

// requireInnocent checks the requests beside one that crashes targets.
func requireInnocent(t *testing.T, c *cluster.Cluster, service string, l *load) {
	t.Helper()
	report, results := l.stop()
	l.reports <- report
	refused := map[string]time.Time{}
	for _, r := range results {
		if r.Reason == "quarantined" {
			refused[r.Key] = r.End
		}
	}
	t.Logf("%d requests, outcomes %v, worst key %v, refused as suspect: %d keys", report.Requests, report.Outcomes, report.KeyGaps[0], len(refused))
	require.LessOrEqual(t, report.KeyGaps[0].MS, float64(servedAgain.Milliseconds()), "unavailable: %v", report.KeyGaps[:3])
	requireSafe(t, c, l)
	for key, at := range refused {
		require.NoError(t, cluster.Wait(suspicion-time.Since(at), func() error {
			resp, body := request(t, c.VMs[0], http.MethodGet, "/"+service+"/"+key, nil)
			if resp.StatusCode != http.StatusOK {
				return errors.Errorf("%s is refused for longer than its suspicion: %s", key, body)
			}
			return nil
		}))
	}
}
