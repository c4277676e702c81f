package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

const (
	slotsPerTarget = 3 // concurrency limit of each target of the cluster
	// coldServiceTime is the service time of the targets in the tests of this file.
	coldServiceTime = 10 * time.Millisecond
)

// waitFullLoad waits until each target is warm and has run as many requests at
// once as it has slots, and returns how long that took.
func waitFullLoad(t *testing.T, targets []*cluster.Target) time.Duration {
	t.Helper()
	began := time.Now()
	for _, tg := range targets {
		require.NoError(t, cluster.Wait(readyWithin, func() error {
			if !tg.Alive() {
				t.Fatalf("%s exited under overload", tg.Name)
			}
			if s := targetStats(t, tg); s.MaxRunning < slotsPerTarget || !s.Warm {
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

// Guards against full load on a cold target. A target exits when it has two
// requests in flight before it has completed 8. One target, or all targets of a
// data centre, are restarted; VMs may learn of it only by the new boot id.
func TestColdStartUnderFullLoad(t *testing.T) {
	c := startColdCluster(t, "--cold-completions", "8", "--cold-max-in-flight", "1")
	loads := fullLoad(t, c, 5*time.Second)
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

// Guards against full load on a target that turns cold while it runs. Only its
// service times show that, so the guarantee is limited: the target never gets
// more requests than it has slots, and gets one request at a time after its
// first slow responses.
func TestTurnsColdWithoutWarning(t *testing.T) {
	c := startColdCluster(t, "--cold-completions", "60", "--cold-factor", "10", "--cold-max-in-flight", fmt.Sprint(slotsPerTarget))
	// No request's time runs out: the target would go on working on it beside the next one.
	loads := fullLoad(t, c, 20*time.Second)
	waitFullLoad(t, c.Targets)
	for _, tg := range []*cluster.Target{c.Targets[0], c.Targets[6]} {
		waitServiceTimeKnown(t, tg)
		before := targetStats(t, tg)
		// On a machine whose processors are all in use, a request takes longer than its
		// service time, and a tenfold service time would not be a tenfold slowdown.
		usual := timeInSlot(t, tg)
		slower := max(1, float64(usual)/float64(coldServiceTime))
		t.Logf("%s: a request takes %v", tg.Name, usual.Round(time.Millisecond))
		require.NoError(t, c.TargetFaults(t.Context(), tg, map[string]any{"turn_cold": true, "slow_factor": slower}))
		began, calmPolls := time.Now(), 0
		require.NoError(t, cluster.Wait(readyWithin, func() error {
			calmPolls++
			if s := targetStats(t, tg); s.Warm || s.InFlight > 1 {
				calmPolls = 0
			}
			if calmPolls < 20 { // consecutive polls, at least 200 ms
				s := targetStats(t, tg)
				return fmt.Errorf("%s has %d requests in flight, warm %v", tg.Name, s.InFlight, s.Warm)
			}
			return nil
		}))
		t.Logf("%s: one request at a time after %v", tg.Name, time.Since(began).Round(time.Millisecond))
		require.NoError(t, c.TargetFaults(t.Context(), tg, map[string]any{}))
		if tg.Service == "status" {
			// Checked for the keyed service only: a pool sends a slow target
			// little more than probes and uses its other targets instead.
			t.Logf("full load again after %v", waitFullLoad(t, []*cluster.Target{tg}).Round(10*time.Millisecond))
		}
		require.True(t, tg.Alive(), "%s exited under overload", tg.Name)
		require.Equal(t, before.BootID, targetStats(t, tg).BootID)
	}
	requireSafe(t, c, loads...)
}

// timeInSlot measures how long a request occupies a slot of a target under full load.
func timeInSlot(t *testing.T, tg *cluster.Target) time.Duration {
	t.Helper()
	const span = time.Second
	before, began := targetStats(t, tg), time.Now()
	time.Sleep(span)
	after, took := targetStats(t, tg), time.Since(began)
	return slotsPerTarget * took / time.Duration(max(1, after.Reads+after.Writes-before.Reads-before.Writes))
}

// waitServiceTimeKnown waits until a target has run enough requests for the
// estimate of its usual service time to settle at the warm value: it starts with the
// cold first requests, and each later one has a weight of 1/128.
func waitServiceTimeKnown(t *testing.T, tg *cluster.Target) {
	t.Helper()
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		if s := targetStats(t, tg); s.Reads+s.Writes < 800 {
			return fmt.Errorf("%s ran %d requests", tg.Name, s.Reads+s.Writes)
		}
		return nil
	}))
}

func startColdCluster(t *testing.T, args ...string) *cluster.Cluster {
	t.Helper()
	return startCluster(t, func(cfg *cluster.Config) {
		cfg.VMs = 5
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = append([]string{"--service-time", coldServiceTime.String(), "--exit-on-fall-over"}, args...)
		}
	})
}

// fullLoad keeps more requests in flight than the targets have slots.
func fullLoad(t *testing.T, c *cluster.Cluster, deadline time.Duration) []*load {
	t.Helper()
	return []*load{
		startLoad(t, c, "status", func(cfg *loadgen.Config) { cfg.Rate, cfg.Callers, cfg.Keys, cfg.Deadline = 0, 40, 400, deadline }),
		startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Rate, cfg.Callers, cfg.Deadline = 0, 16, deadline }),
	}
}
