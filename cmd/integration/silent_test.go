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

// lossEventKinds are the kinds of events that report the loss of a target or VM.
var lossEventKinds = []string{"server.lost", "server.restarted", "target.restarted", "target.crashed", "target.refuses_connections", "group.changed"}

// Guards against open connections that go silent for good (bytes are dropped and
// nothing is closed) while new ones work: to targets, between VMs and to the log
// in turn. Every key must be served again within maxKeyOutage, and no target or
// VM may be declared lost.
func TestSilentConnections(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.Proxied = true })
	t.Run("a write in flight between VMs", func(t *testing.T) { silentWrite(t, c) })
	for _, tc := range []struct {
		name    string
		silence func()
	}{
		{"towards targets", func() {
			for _, target := range c.Targets {
				target.Proxy.BlackholeExisting()
			}
		}},
		{"between VMs", func() {
			for _, v := range c.VMs {
				v.PeerProxy.BlackholeExisting()
			}
		}},
		{"towards the log", func() {
			for _, v := range c.VMs {
				v.PlatformProxy.BlackholeExisting()
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := startLoad(t, c, "status", func(cfg *loadgen.Config) { cfg.Repeats = 0 })
			bookings := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Seed++; cfg.Repeats = 0 })
			status.waitServed(600)
			silenced := time.Now()
			tc.silence()
			status.waitServed(300)
			bookings.waitServed(300)
			waitElapsed(t, silenced, maxKeyOutage)
			requireRecovered(t, c, silenced, status, bookings)
			require.Empty(t, lossEvents(t, c, silenced), "a target or VM was declared lost")
		})
	}
}

// silentWrite silences all connections between VMs while a write runs at its target.
// Its dispatcher is called a second time for it, and at first cannot report the
// outcome to the VM that keeps the intent. The write must not run again.
func silentWrite(t *testing.T, c *cluster.Cluster) {
	ledgerVM, _ := ledgerDispatcher(t, c, "status")
	key, owner := "", ""
	for i := 0; key == ""; i++ {
		candidate := fmt.Sprint("pier-", i)
		reply, err := c.Owner(t.Context(), ledgerVM, "status", candidate)
		require.NoError(t, err)
		if owner = reply.Owner; currentDispatcher(t, c, "status/"+owner) != ledgerVM {
			key = candidate
		}
	}
	for i := range 8 { // opens the pooled connections between the two VMs
		r := <-sendWrite(ledgerVM, "/status/"+key, "b", map[string]string{"Idempotency-Key": fmt.Sprint("open-", i)})
		require.Equal(t, "run", r.outcome, r)
	}
	for _, target := range c.Targets {
		if target.Name == owner {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"answer_late_ms": 300}))
			defer func() { require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{})) }()
		}
	}
	answer := sendWrite(ledgerVM, "/status/"+key, "b", map[string]string{"Idempotency-Key": "silent"})
	waitExecuted(t, c, "silent")
	for _, v := range c.VMs {
		v.PeerProxy.BlackholeExisting()
	}
	r := <-answer
	require.Equal(t, 1, executed(t, c, "silent"), "the write ran twice")
	require.Equal(t, "run", r.outcome, r)
	require.Less(t, r.took, maxKeyOutage)
}

// waitElapsed waits until d has passed since from, so that a load also has requests
// that begin later.
func waitElapsed(t *testing.T, from time.Time, d time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return time.Since(from) > d }, 2*d, 10*time.Millisecond)
}

// requireRecovered checks the responses around the instant at which connections
// went silent: no key was unserved for longer than maxKeyOutage, and no write that
// began more than maxKeyOutage after it has an unknown outcome.
func requireRecovered(t *testing.T, c *cluster.Cluster, silenced time.Time, loads ...*load) {
	t.Helper()
	for _, l := range loads {
		report, results := l.stop()
		slowest, late := time.Duration(0), 0
		for _, r := range results {
			if r.Served && r.End.After(silenced) {
				slowest = max(slowest, r.End.Sub(r.Start))
			}
			// A write that waited on a silent connection may have an unknown outcome,
			// but not one that began after the recovery, on a new connection.
			if !r.Read && r.Outcome == loadgen.OutcomeUnknown && r.Start.Sub(silenced) > maxKeyOutage {
				late++
			}
		}
		t.Logf("longest outage of a key %v, slowest response %v, outcomes %v", report.KeyGaps[0], slowest, report.Outcomes)
		require.LessOrEqual(t, report.KeyGaps[0].MS, float64(maxKeyOutage.Milliseconds()), "unavailable: %v", report.KeyGaps[:3])
		require.Zero(t, late, "writes that began after the recovery have an unknown outcome")
		l.reports <- report
	}
	requireSafe(t, c, loads...)
}

func lossEvents(t *testing.T, c *cluster.Cluster, since time.Time) (out []string) {
	t.Helper()
	events, err := c.Timeline(t.Context())
	require.NoError(t, err)
	for _, e := range events {
		if e.Stamp.WallUS >= since.UnixMicro() && slices.Contains(lossEventKinds, e.Kind) {
			out = append(out, fmt.Sprintf("%d %s %s %s%s %s", e.Stamp.WallUS, e.VM, e.Kind, e.Group, e.Target, e.Detail))
		}
	}
	return out
}
