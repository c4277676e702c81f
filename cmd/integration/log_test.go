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

var errNoEvent = errors.New("the event has not been recorded")

// setLogFaults sets the faults of the log service; an empty map ends them.
func setLogFaults(t *testing.T, c *cluster.Cluster, faults map[string]any) {
	t.Helper()
	require.NoError(t, c.PlatformFaults(t.Context(), faults))
}

// Guards against requests, promotions or elections that wait for the log, and
// against promotions that never become durable. A target, the manager or both
// are killed while the log is down.
func TestLogDownDuringLosses(t *testing.T) {
	c := startProxiedCluster(t)
	for _, tc := range []struct {
		name            string
		manager, target bool
	}{{"target", false, true}, {"manager", true, false}, {"both", true, true}} {
		t.Run(tc.name, func(t *testing.T) { loseDuringLogOutage(t, c, tc.manager, tc.target) })
	}
}

func loseDuringLogOutage(t *testing.T, c *cluster.Cluster, loseManager, loseTarget bool) {
	managerVM, target := actingManager(t, c), ownerOf(t, c, "status")
	all := startLoads(t, c, managerVM)
	setLogFaults(t, c, map[string]any{"down": true})
	t.Cleanup(func() { _ = c.PlatformFaults(t.Context(), map[string]any{}) })
	at := time.Now()
	if loseManager {
		require.NoError(t, managerVM.Kill())
	}
	if loseTarget {
		require.NoError(t, target.Kill())
	}
	all.waitServedSince(at)
	if loseTarget {
		require.NotEmpty(t, events(t, c, "shard.promoted_provisionally", at, time.Now()))
	}
	back := time.Now()
	require.Empty(t, events(t, c, "assignments.durable", at, back), "a promotion was reported as durable while the log was down")
	setLogFaults(t, c, map[string]any{})
	if loseTarget {
		waitDurable(t, c, back)
		require.NoError(t, target.Restart())
	}
	if loseManager {
		require.NoError(t, managerVM.Restart())
	}
	require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
	all.waitServed(100)
	all.requireSafe(c)
}

func waitDurable(t *testing.T, c *cluster.Cluster, since time.Time) {
	t.Helper()
	require.NoError(t, cluster.Wait(recoveryTimeout, func() error {
		if len(events(t, c, "assignments.durable", since, time.Now())) == 0 {
			return errNoEvent
		}
		return nil
	}))
}

// Guards against a slow log, or one that loses responses, that keeps a key from
// being served after a loss or keeps the key's promotion from becoming durable.
func TestLogSlowOrAnswersLost(t *testing.T) {
	c := startProxiedCluster(t)
	for _, tc := range []struct {
		name   string
		faults map[string]any
		// down: responses take longer than the VMs' platform.timeout of 1 s, so that
		// nothing becomes durable.
		down bool
	}{
		{"answers delayed by 2 s", map[string]any{"delay_ms": 2000}, true},
		{"answers lost", map[string]any{"lose_answers": 1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			setLogFaults(t, c, tc.faults)
			t.Cleanup(func() { _ = c.PlatformFaults(t.Context(), map[string]any{}) })
			managerVM, target := actingManager(t, c), ownerOf(t, c, "status")
			all := startLoads(t, c, managerVM)
			at := time.Now()
			require.NoError(t, managerVM.Kill())
			require.NoError(t, target.Kill())
			all.waitServedSince(at)
			if tc.down {
				require.Empty(t, events(t, c, "assignments.durable", at, time.Now()))
				setLogFaults(t, c, map[string]any{})
			}
			waitDurable(t, c, at)
			require.NoError(t, managerVM.Restart())
			require.NoError(t, target.Restart())
			require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
			all.requireSafe(c)
		})
	}
}

// Guards against requests that fail during a long outage of the log.
func TestLogDownForLong(t *testing.T) {
	outage := 20 * time.Second
	if os.Getenv("MANGOGATE_SEED") != "" { // set by make rounds
		outage = time.Minute
	}
	c := startProxiedCluster(t)
	setLogFaults(t, c, map[string]any{"down": true})
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
	setLogFaults(t, c, map[string]any{})
	require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
	requireSafe(t, c, all...)
}
