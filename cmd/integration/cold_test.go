package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

const slots = 3 // of each target of the cluster

// waitFullLoad waits until each target runs as many requests at once as it has
// slots, and returns how long that took.
func waitFullLoad(t *testing.T, targets []*cluster.Target) time.Duration {
	t.Helper()
	began := time.Now()
	for _, tg := range targets {
		require.NoError(t, cluster.Wait(readyWithin, func() error {
			if !tg.Alive() {
				t.Fatalf("%s fell over", tg.Name)
			}
			if s := targetStats(t, tg); s.MaxRunning < slots || !s.Warm {
				return fmt.Errorf("%s ran at most %d requests at once, warm %v", tg.Name, s.MaxRunning, s.Warm)
			}
			return nil
		}))
	}
	return time.Since(began)
}

func restart(t *testing.T, targets ...*cluster.Target) {
	t.Helper()
	for _, tg := range targets {
		require.NoError(t, tg.Kill())
	}
	for _, tg := range targets {
		require.NoError(t, tg.Restart())
	}
}

// Guards against full load on a cold target, which falls over when it has two
// requests in flight before it has completed 8. Its first sign of life is a new
// boot id, after a restart of one target or of all in a data centre.
func TestColdStartUnderFullLoad(t *testing.T) {
	c := coldDeployment(t, "--cold-completions", "8", "--cold-max-in-flight", "1")
	loads := fullLoad(t, c)
	waitFullLoad(t, c.Targets)
	north := targetsIn(c, "north")
	var all []*cluster.Target
	for _, tg := range c.Targets {
		if north[tg.Name] {
			all = append(all, tg)
		}
	}
	for name, targets := range map[string][]*cluster.Target{"one key target": c.Targets[:1], "one pool target": c.Targets[6:7], "a data centre": all} {
		t.Run(name, func(t *testing.T) {
			restart(t, targets...)
			t.Logf("full load again after %v", waitFullLoad(t, targets).Round(10*time.Millisecond))
		})
	}
	requireSafe(t, c, loads...)
}

// Guards against a target that turns cold without a warning and keeps getting
// full load. Nothing tells of it but its service times, so the promise is: never
// more than its slots, and one request at a time after the first slow answers.
func TestTurnsColdWithoutWarning(t *testing.T) {
	c := coldDeployment(t, "--cold-completions", "60", "--cold-factor", "10", "--cold-max-in-flight", fmt.Sprint(slots))
	loads := fullLoad(t, c)
	waitFullLoad(t, c.Targets)
	for _, tg := range []*cluster.Target{c.Targets[0], c.Targets[6]} {
		waitKnown(t, tg)
		before := targetStats(t, tg)
		require.NoError(t, c.TargetFaults(t.Context(), tg, map[string]any{"turn_cold": true}))
		began, calm := time.Now(), 0
		require.NoError(t, cluster.Wait(readyWithin, func() error {
			calm++
			if s := targetStats(t, tg); s.Warm || s.InFlight > 1 {
				calm = 0
			}
			if calm < 20 { // looks in a row, at least 200 ms
				s := targetStats(t, tg)
				return fmt.Errorf("%s has %d requests in flight, warm %v", tg.Name, s.InFlight, s.Warm)
			}
			return nil
		}))
		t.Logf("%s: one request at a time after %v", tg.Name, time.Since(began).Round(time.Millisecond))
		if tg.Service == "status" {
			// A pool gives a slow target little more than probes, and has others.
			t.Logf("full load again after %v", waitFullLoad(t, []*cluster.Target{tg}).Round(10*time.Millisecond))
		}
		require.True(t, tg.Alive(), "%s fell over", tg.Name)
		require.Equal(t, before.BootID, targetStats(t, tg).BootID)
	}
	requireSafe(t, c, loads...)
}

// waitKnown waits until a target has run so many requests while warm that its
// usual service time is known. The first ones were cold and count as usual, and
// each later one moves the estimate by 1/128.
func waitKnown(t *testing.T, tg *cluster.Target) {
	t.Helper()
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		if s := targetStats(t, tg); s.Reads+s.Writes < 800 {
			return fmt.Errorf("%s ran %d requests", tg.Name, s.Reads+s.Writes)
		}
		return nil
	}))
}

func coldDeployment(t *testing.T, args ...string) *cluster.Cluster {
	t.Helper()
	return deployment(t, func(cfg *cluster.Config) {
		cfg.VMs = 5
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = append([]string{"--service-time", "10ms", "--exit-on-fall-over"}, args...)
		}
	})
}

// fullLoad sends more requests at once than the targets have slots.
func fullLoad(t *testing.T, c *cluster.Cluster) []*load {
	t.Helper()
	return []*load{
		startLoad(t, c, "status", func(cfg *loadgen.Config) { cfg.Rate, cfg.Callers, cfg.Keys = 0, 40, 400 }),
		startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Rate, cfg.Callers = 0, 16 }),
	}
}
