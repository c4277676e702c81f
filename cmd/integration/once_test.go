package integration

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// ledgerDispatcher returns the VM that dispatches the group of a service and so keeps
// the ledger of its write intents, and the VMs that hold copies of the ledger.
func ledgerDispatcher(t *testing.T, c *cluster.Cluster, service string) (vm *cluster.VM, copies []*cluster.VM) {
	t.Helper()
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		events, err := c.Timeline(t.Context())
		if err != nil {
			return err
		}
		for _, e := range slices.Backward(events) {
			if e.Kind == "ledger.kept" && e.Group == service {
				vm, copies = vmsNamed(c, e.VM)[0], vmsNamed(c, strings.Fields(e.Detail)[1:]...)
				return nil
			}
		}
		return errors.New("no VM keeps the write intents of " + service)
	}))
	return vm, copies
}

// vmsNamed returns the VMs with the given names, in the order of c.VMs.
func vmsNamed(c *cluster.Cluster, names ...string) []*cluster.VM {
	var out []*cluster.VM
	for _, v := range c.VMs {
		if slices.Contains(names, v.Name) {
			out = append(out, v)
		}
	}
	return out
}

// currentDispatcher returns the VM that dispatches a group according to the manager.
func currentDispatcher(t *testing.T, c *cluster.Cluster, group string) *cluster.VM {
	t.Helper()
	s, err := c.Status(t.Context(), manager(t, c))
	require.NoError(t, err)
	i := slices.IndexFunc(s.VMs, func(v admin.VMStatus) bool { return slices.Contains(v.Dispatches, group) })
	require.GreaterOrEqual(t, i, 0, "no VM reports that it dispatches %s", group)
	return vmsNamed(c, s.VMs[i].VM)[0]
}

// kill kills VMs and returns an instant at which none runs any more.
func kill(t *testing.T, vms ...*cluster.VM) time.Time {
	t.Helper()
	for _, v := range vms {
		require.NoError(t, v.Suspend()) // all VMs stop before the first is killed, so that the others see one loss
	}
	for _, v := range vms {
		require.NoError(t, v.Kill())
	}
	return time.Now()
}

// restartVMs restarts those VMs that do not run and waits until the cluster is
// ready.
func restartVMs(t *testing.T, c *cluster.Cluster, vms ...*cluster.VM) {
	t.Helper()
	for _, v := range vms {
		if !v.Alive() {
			require.NoError(t, v.Restart())
		}
	}
	require.NoError(t, c.WaitReady(t.Context(), 20*time.Second))
}

// Guards against a write that runs twice, or that runs although its caller was
// told that it did not, when the caller retries it through other VMs after a
// loss. A write may have an unknown outcome only if it was in flight at the loss.
func TestWritesAcrossLosses(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) {
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = []string{"--service-time", "25ms"} // keeps some requests in flight at each loss
		}
	})
	for _, tc := range []struct {
		name string
		lose func(t *testing.T) (time.Time, []*cluster.VM)
	}{
		{"dispatcher", func(t *testing.T) (time.Time, []*cluster.VM) {
			v, _ := ledgerDispatcher(t, c, "bookings")
			return kill(t, v), []*cluster.VM{v}
		}},
		{"dispatcher and one copy", func(t *testing.T) (time.Time, []*cluster.VM) {
			v, copies := ledgerDispatcher(t, c, "status")
			lost := []*cluster.VM{v, copies[0]}
			return kill(t, lost...), lost
		}},
		{"dispatcher and manager", func(t *testing.T) (time.Time, []*cluster.VM) {
			lost := []*cluster.VM{manager(t, c)}
			if v, _ := ledgerDispatcher(t, c, "bookings"); v != lost[0] {
				lost = append(lost, v)
			}
			return kill(t, lost...), lost
		}},
		{"dispatcher in a log outage", func(t *testing.T) (time.Time, []*cluster.VM) {
			require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"down": true}))
			v, _ := ledgerDispatcher(t, c, "status")
			return kill(t, v), []*cluster.VM{v}
		}},
		{"target between effect and answer", func(t *testing.T) (time.Time, []*cluster.VM) {
			return loseTargetBeforeAnswer(t, c), nil
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			writes := func(cfg *loadgen.Config) { cfg.ReadRatio, cfg.Rate, cfg.Keys, cfg.Repeats = 0.2, 200, 100, 12 }
			loads := []*load{startLoad(t, c, "status", writes), startLoad(t, c, "bookings", writes)}
			loads[0].waitServed(300)
			loads[1].waitServed(300)
			at, lost := tc.lose(t)
			loads[0].waitServed(200)
			loads[1].waitServed(200)
			require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
			requireUnknownOnlyInFlight(t, at, loads...)
			requireSafe(t, c, loads...)
			restartVMs(t, c, lost...)
		})
	}
}

// loseTargetBeforeAnswer kills a target that has executed a request but not yet
// responded, and restarts it. It returns the instant of the loss.
func loseTargetBeforeAnswer(t *testing.T, c *cluster.Cluster) time.Time {
	t.Helper()
	target := c.Targets[0]
	require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"answer_late_ms": 60_000}))
	before, err := c.Ledger(t.Context(), target)
	require.NoError(t, err)
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		now, err := c.Ledger(t.Context(), target)
		if err == nil && len(now.Executions) <= len(before.Executions) {
			err = errors.New("no request was executed")
		}
		return err
	}))
	require.NoError(t, target.Kill())
	at := time.Now()
	require.NoError(t, target.Restart())
	return at
}

// requireUnknownOnlyInFlight prints the share of writes with an unknown outcome
// and checks that each of these was in flight at the loss.
func requireUnknownOnlyInFlight(t *testing.T, at time.Time, loads ...*load) {
	t.Helper()
	for _, l := range loads {
		report, results := l.stop()
		writes, unknown, notRun, inFlight := 0, 0, 0, 0
		for _, r := range results {
			if r.Read {
				continue
			}
			writes++
			if r.Outcome == loadgen.OutcomeNotRun {
				notRun++
			}
			inFlightAtLoss := !r.Start.After(at) && !r.End.Before(at)
			if inFlightAtLoss {
				inFlight++
			}
			if r.Outcome == loadgen.OutcomeUnknown || r.Outcome == loadgen.OutcomeTransport {
				unknown++
				require.True(t, inFlightAtLoss, "write %s, from %v to %v after the loss, has an unknown outcome: %s %s",
					r.IdempotencyKey, r.Start.Sub(at), r.End.Sub(at), r.Outcome, r.Reason)
			}
		}
		t.Logf("%d writes: %d with unknown outcome (%.2f %%), %d refused as not run, %d in flight at the loss; %d served by a retry; worst key %v",
			writes, unknown, 100*float64(unknown)/float64(writes), notRun, inFlight, report.ServedByRepeat, report.KeyGaps[0])
		l.reports <- report
	}
}
