package integration

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

var errNotYet = errors.New("the event has not been recorded")

// setLog sets the faults of the log service; nil ends them.
func setLog(t *testing.T, c *cluster.Cluster, faults map[string]any) {
	t.Helper()
	require.NoError(t, c.PlatformFaults(t.Context(), faults))
}

// Guards against service, promotion or election that waits for the log, and
// against promotions that never become durable.
func TestLogDownDuringLosses(t *testing.T) {
	c := proxied(t)
	for _, tc := range []struct {
		name            string
		manager, server bool
	}{{"server", false, true}, {"manager", true, false}, {"both", true, true}} {
		t.Run(tc.name, func(t *testing.T) { logDown(t, c, tc.manager, tc.server) })
	}
}

func logDown(t *testing.T, c *cluster.Cluster, loseManager, loseServer bool) {
	boss, target := actingManager(t, c), ownerOf(t, c, "status")
	all := startLoads(t, c, boss)
	setLog(t, c, map[string]any{"down": true})
	t.Cleanup(func() { _ = c.PlatformFaults(t.Context(), map[string]any{}) })
	at := time.Now()
	if loseManager {
		require.NoError(t, boss.Kill())
	}
	if loseServer {
		require.NoError(t, target.Kill())
	}
	all.waitServedSince(at)
	if loseServer {
		require.NotEmpty(t, events(t, c, "shard.promoted_provisionally", at, time.Now()))
	}
	back := time.Now()
	require.Empty(t, events(t, c, "assignments.durable", at, back), "a promotion was reported as done without the log")
	setLog(t, c, map[string]any{})
	if loseServer {
		waitDurable(t, c, back)
		require.NoError(t, target.Restart())
	}
	if loseManager {
		require.NoError(t, boss.Restart())
	}
	require.NoError(t, c.WaitReady(t.Context(), recovery))
	all.waitServed(100)
	all.requireSafe(c)
}

func waitDurable(t *testing.T, c *cluster.Cluster, since time.Time) {
	t.Helper()
	require.NoError(t, cluster.Wait(recovery, func() error {
		if len(events(t, c, "assignments.durable", since, time.Now())) == 0 {
			return errNotYet
		}
		return nil
	}))
}

// Guards against a slow log, or one whose answers are lost, that keeps a key
// from being served after a loss or its promotion from becoming durable.
func TestLogSlowOrAnswersLost(t *testing.T) {
	c := proxied(t)
	for _, tc := range []struct {
		name   string
		faults map[string]any
		// down is set when answers take longer than the VMs' platform.timeout
		// of 1 s. Such a log is as good as down: nothing becomes durable.
		down bool
	}{
		{"answers delayed by 2 s", map[string]any{"delay_ms": 2000}, true},
		{"answers lost", map[string]any{"lose_answers": 1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			setLog(t, c, tc.faults)
			t.Cleanup(func() { _ = c.PlatformFaults(t.Context(), map[string]any{}) })
			boss, target := actingManager(t, c), ownerOf(t, c, "status")
			all := startLoads(t, c, boss)
			at := time.Now()
			require.NoError(t, boss.Kill())
			require.NoError(t, target.Kill())
			all.waitServedSince(at)
			if tc.down {
				require.Empty(t, events(t, c, "assignments.durable", at, time.Now()))
				setLog(t, c, map[string]any{})
			}
			waitDurable(t, c, at)
			require.NoError(t, boss.Restart())
			require.NoError(t, target.Restart())
			require.NoError(t, c.WaitReady(t.Context(), recovery))
			all.requireSafe(c)
		})
	}
}

// Guards against requests that need the log: none fails while it is down.
func TestLogDownForLong(t *testing.T) {
	outage := 20 * time.Second
	if os.Getenv("MANGOGATE_SEED") != "" { // make soak
		outage = time.Minute
	}
	c := proxied(t)
	setLog(t, c, map[string]any{"down": true})
	began := time.Now()
	var all []*load
	for _, service := range []string{"status", "lockers"} {
		all = append(all, startLoad(t, c, service, func(cfg *loadgen.Config) {
			cfg.Rate, cfg.Repeats, cfg.RepeatReads, cfg.KeyPrefix = 150, 0, false, service+"-"
		}))
	}
	for time.Since(began) < outage {
		all[0].waitServed(100)
	}
	for _, l := range all {
		report, _ := l.stop()
		require.Zero(t, report.Failed+report.Skipped, "failed while the log was down: %v", report.Outcomes)
		l.reports <- report
	}
	setLog(t, c, map[string]any{})
	require.NoError(t, c.WaitReady(t.Context(), recovery))
	requireSafe(t, c, all...)
}
