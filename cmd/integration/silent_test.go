package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

// declaredLost are the events that say that a target or a VM was given up.
var declaredLost = []string{"server.lost", "server.restarted", "target.restarted", "target.crashed", "target.refuses_connections", "group.changed"}

// Guards against connections that go silent for good while new ones work:
// towards targets, between VMs and towards the log in turn. Every key is served
// again within the limit, and no target or VM is given up for it.
func TestSilentConnections(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.Proxied = true })
	t.Run("a write in flight between VMs", func(t *testing.T) { silentWrite(t, c) })
	for _, tc := range []struct {
		name string
		hold func()
	}{
		{"towards targets", func() {
			for _, target := range c.Targets {
				target.Proxy.HoldExisting()
			}
		}},
		{"between VMs", func() {
			for _, v := range c.VMs {
				v.PeerProxy.HoldExisting()
			}
		}},
		{"towards the log", func() {
			for _, v := range c.VMs {
				v.PlatformProxy.HoldExisting()
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := startLoad(t, c, "status", func(cfg *loadgen.Config) { cfg.Repeats = 0 })
			bookings := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Seed++; cfg.Repeats = 0 })
			status.waitServed(600)
			held := time.Now()
			tc.hold()
			status.waitServed(300)
			bookings.waitServed(300)
			waitSince(t, held, servedAgain)
			requireRecovered(t, c, held, status, bookings)
			require.Empty(t, lossEvents(t, c, held), "a target or VM was given up")
		})
	}
}

// silentWrite lets all connections between VMs go silent while one write is at
// its target: its dispatcher is asked again and cannot tell the keeper at first
// how the attempt ended. The write must not run again.
func silentWrite(t *testing.T, c *cluster.Cluster) {
	k, _ := keeper(t, c, "status")
	key, owner := "", ""
	for i := 0; key == ""; i++ {
		candidate := fmt.Sprint("pier-", i)
		reply, err := c.Owner(t.Context(), k, "status", candidate)
		require.NoError(t, err)
		if owner = reply.Owner; dispatcher(t, c, "status/"+owner) != k {
			key = candidate
		}
	}
	for i := range 8 { // opens all connections between the two VMs
		r := <-send(k, "/status/"+key, "b", map[string]string{"Idempotency-Key": fmt.Sprint("open-", i)})
		require.Equal(t, "run", r.outcome, r)
	}
	for _, target := range c.Targets {
		if target.Name == owner {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"answer_late_ms": 300}))
			defer func() { require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{})) }()
		}
	}
	answer := send(k, "/status/"+key, "b", map[string]string{"Idempotency-Key": "silent"})
	waitExecuted(t, c, "silent")
	for _, v := range c.VMs {
		v.PeerProxy.HoldExisting()
	}
	r := <-answer
	require.Equal(t, 1, executed(t, c, "silent"), "the write ran twice")
	require.Equal(t, "run", r.outcome, r)
	require.Less(t, r.took, servedAgain)
}

// waitSince keeps the load running until a time after an instant, so that
// requests that begin after it are seen.
func waitSince(t *testing.T, from time.Time, d time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return time.Since(from) > d }, 2*d, 10*time.Millisecond)
}

// requireRecovered checks the answers around an instant at which connections
// went silent: later requests are served, and each key within the limit.
func requireRecovered(t *testing.T, c *cluster.Cluster, held time.Time, loads ...*load) {
	t.Helper()
	for _, l := range loads {
		report, results := l.stop()
		slowest, late := time.Duration(0), 0
		for _, r := range results {
			if r.Served && r.End.After(held) {
				slowest = max(slowest, r.End.Sub(r.Start))
			}
			// A write that waited on a silent connection is unknown. One that
			// began after the hold must not be: its connection had to be new.
			if !r.Read && r.Outcome == loadgen.OutcomeUnknown && r.Start.Sub(held) > servedAgain {
				late++
			}
		}
		t.Logf("longest time that a key was not served %v, slowest answer %v, outcomes %v", report.KeyGaps[0], slowest, report.Outcomes)
		require.LessOrEqual(t, report.KeyGaps[0].MS, float64(servedAgain.Milliseconds()), "unavailable: %v", report.KeyGaps[:3])
		require.Zero(t, late, "writes that began after the recovery are unknown")
		l.reports <- report
	}
	requireSafe(t, c, loads...)
}

// lossEvents returns the events since an instant that give up a target or a VM.
func lossEvents(t *testing.T, c *cluster.Cluster, since time.Time) (out []string) {
	t.Helper()
	events, err := c.Timeline(t.Context())
	require.NoError(t, err)
	for _, e := range events {
		if e.Stamp.WallUS >= since.UnixMicro() && slices.Contains(declaredLost, e.Kind) {
			out = append(out, fmt.Sprintf("%d %s %s %s%s %s", e.Stamp.WallUS, e.VM, e.Kind, e.Group, e.Target, e.Detail))
		}
	}
	return out
}
