package integration

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/stretchr/testify/require"
)

// targetsIn returns the targets of a data centre.
func targetsIn(c *cluster.Cluster, dataCentre string) map[string]bool {
	out := map[string]bool{}
	for _, t := range c.Targets {
		if t.DataCentre == dataCentre {
			out[t.Name] = true
		}
	}
	return out
}

// requireNoWork checks that targets began nothing between two instants, and
// that work went on elsewhere, without which the first says nothing.
func requireNoWork(t *testing.T, c *cluster.Cluster, targets map[string]bool, from, until time.Time) {
	t.Helper()
	ran, err := c.Executions()
	require.NoError(t, err)
	require.Empty(t, history.Started(ran, targets, from.UnixMicro(), until.UnixMicro()))
	elsewhere := slices.ContainsFunc(ran, func(e target.Execution) bool { return e.StartUS >= from.UnixMicro() && e.StartUS < until.UnixMicro() })
	require.True(t, elsewhere, "no work was sent at all")
}

// waitUntil waits for an instant that a promise names.
func waitUntil(at time.Time) { time.Sleep(time.Until(at)) }

// requireAllServed checks that callers saw nothing of a change.
func requireAllServed(t *testing.T, loads ...*load) {
	t.Helper()
	for _, l := range loads {
		report, results := l.stop()
		l.reports <- report
		var failed []loadgen.Result
		for _, r := range results {
			if !r.Served {
				failed = append(failed, r)
			}
		}
		require.Empty(t, failed, "%d requests", report.Requests)
	}
}

// waitWork waits until every one of the targets has begun a request since.
func waitWork(t *testing.T, c *cluster.Cluster, targets map[string]bool, since time.Time) []target.Execution {
	t.Helper()
	var ran []target.Execution
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		all, err := c.Executions()
		if err != nil {
			return err
		}
		ran = slices.DeleteFunc(all, func(e target.Execution) bool { return e.StartUS < since.UnixMicro() || !targets[e.Target] })
		for name := range targets {
			if !slices.ContainsFunc(ran, func(e target.Execution) bool { return e.Target == name }) {
				return fmt.Errorf("%s gets no work", name)
			}
		}
		return nil
	}))
	return ran
}

// requireRamp checks that each target ran its first requests one at a time.
func requireRamp(t *testing.T, ran []target.Execution) {
	t.Helper()
	const rampCompletions = 8 // admission.DefaultConfig
	slices.SortFunc(ran, func(a, b target.Execution) int { return int(a.StartUS - b.StartUS) })
	last, count := map[string]int64{}, map[string]int{}
	for _, e := range ran {
		if count[e.Target]++; count[e.Target] <= rampCompletions {
			require.GreaterOrEqual(t, e.StartUS, last[e.Target], "%s ran two of its first requests at once", e.Target)
		}
		last[e.Target] = max(last[e.Target], e.EndUS)
	}
}

// Guards against work for something that operators have taken out, against
// requests that are lost while it leaves and returns, and against full load on
// what returns.
func TestOutAndIn(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) {
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = []string{"--service-time", "20ms"}
		}
	})
	// More callers than slots, so that a target without a ramp would be full at once.
	busy := func(cfg *loadgen.Config) { cfg.Rate, cfg.Callers = 0, 14 }
	loads := []*load{startLoad(t, c, "status", busy), startLoad(t, c, "bookings", busy)}
	loads[0].waitServed(300)
	for _, tc := range []struct {
		command string
		names   []string
		targets map[string]bool
	}{
		{"data-centre", []string{"north"}, targetsIn(c, "north")},
		{"target", []string{"bookings-1", "status-2"}, map[string]bool{"bookings-1": true, "status-2": true}},
	} {
		t.Run(tc.command, func(t *testing.T) {
			vms := c.VMs[1:2] // not in the data centre
			for _, name := range tc.names {
				out, code := ctl(t, vms, tc.command, "out", "--wait", "0s", name)
				require.Contains(t, []int{0, 4}, code, out) // 4: accepted, not in force yet
			}
			accepted := time.Now()
			waitUntil(accepted.Add(noNewWorkAfter))
			loads[0].waitServed(300)
			loads[1].waitServed(300)
			requireNoWork(t, c, tc.targets, accepted.Add(noNewWorkAfter), time.Now())
			before := time.Now()
			for _, name := range tc.names {
				out, code := ctl(t, vms, tc.command, "in", name)
				require.Zero(t, code, out)
			}
			requireRamp(t, waitWork(t, c, tc.targets, before))
		})
	}
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// Guards against work for a target that says itself that it is leaving.
func TestTargetThatDrainsItself(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	// Less than the target drains for, so that waiting for its end does not help.
	impatient := func(cfg *loadgen.Config) { cfg.Deadline = 2 * time.Second }
	loads := []*load{startLoad(t, c, "status", impatient), startLoad(t, c, "bookings", impatient)}
	loads[0].waitServed(300)
	leaving := map[string]bool{"status-0": true, "bookings-0": true}
	for _, target := range c.Targets {
		if leaving[target.Name] {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"draining": true}))
		}
	}
	said := time.Now()
	waitUntil(said.Add(noNewWorkAfter))
	loads[0].waitServed(300)
	requireNoWork(t, c, leaving, said.Add(noNewWorkAfter), time.Now())
	for _, target := range c.Targets {
		if leaving[target.Name] {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{}))
		}
	}
	waitWork(t, c, leaving, time.Now())
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// dispatcherOf returns the VM that dispatches a group.
func dispatcherOf(t *testing.T, c *cluster.Cluster, group string) *cluster.VM {
	t.Helper()
	var found *cluster.VM
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		s, err := c.Status(t.Context(), running(c)[0])
		if err != nil {
			return err
		}
		for _, v := range running(c) {
			if slices.ContainsFunc(s.VMs, func(s admin.VMStatus) bool { return s.VM == v.Name && slices.Contains(s.Dispatches, group) }) {
				found = v
				return nil
			}
		}
		return fmt.Errorf("no VM dispatches %s", group)
	}))
	return found
}

// Guards against a command that is forgotten with the manager, or that a VM
// misses because it cannot reach the log or the others.
func TestOutDuringFailures(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.Proxied = true })
	loads := []*load{startLoad(t, c, "status", nil), startLoad(t, c, "bookings", nil)}
	loads[0].waitServed(300)
	cut, whole := faultproxy.Settings{Cut: true}, faultproxy.Settings{}
	for i, tc := range []struct {
		name          string
		victim        func() *cluster.VM
		before, after func(v *cluster.VM) // the command was accepted
		mend          func(v *cluster.VM)
	}{
		{"manager killed", func() *cluster.VM { return manager(t, c) }, nil,
			func(v *cluster.VM) { require.NoError(t, v.Kill()) }, func(v *cluster.VM) { require.NoError(t, v.Restart()) }},
		{"manager cannot reach the log", func() *cluster.VM { return manager(t, c) },
			func(v *cluster.VM) { v.PlatformProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PlatformProxy.SetBoth(whole) }},
		{"dispatcher cannot reach the log", func() *cluster.VM { return dispatcherOf(t, c, "bookings") },
			func(v *cluster.VM) { v.PlatformProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PlatformProxy.SetBoth(whole) }},
		{"dispatcher cannot be reached", func() *cluster.VM { return dispatcherOf(t, c, "bookings") },
			func(v *cluster.VM) { v.PeerProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PeerProxy.SetBoth(whole) }},
		{"connections to the log went silent", func() *cluster.VM { return manager(t, c) }, func(*cluster.VM) {
			for _, v := range c.VMs {
				v.PlatformProxy.HoldExisting()
			}
		}, nil, func(*cluster.VM) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dataCentre := []string{"north", "centre", "south"}[i%3]
			victim := tc.victim()
			v := c.VMs[slices.IndexFunc(c.VMs, func(v *cluster.VM) bool { return v != victim })]
			mend := sync.OnceFunc(func() { tc.mend(victim) })
			defer mend()
			if tc.before != nil {
				tc.before(victim)
			}
			mustDrain(t, c, v, control.ScopeDataCentre, dataCentre, true)
			accepted := time.Now()
			if tc.after != nil {
				tc.after(victim)
			}
			waitUntil(accepted.Add(noNewWorkAfter))
			loads[0].waitServed(300)
			loads[1].waitServed(300)
			requireNoWork(t, c, targetsIn(c, dataCentre), accepted.Add(noNewWorkAfter), time.Now())
			mend()
			waitInForce(t, c, mustDrain(t, c, v, control.ScopeDataCentre, dataCentre, false).Version, readyWithin)
			waitWork(t, c, targetsIn(c, dataCentre), time.Now())
		})
	}
	requireSafe(t, c, loads...)
}

// Guards against two commands that both take effect, or that VMs see in
// different orders: opposite ones at once, and equal ones from the same version.
func TestOperatorsRace(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	race := func(directions ...string) (outputs []string, codes []int) {
		var all sync.WaitGroup
		outputs, codes = make([]string, 2), make([]int, 2)
		for i, direction := range directions {
			all.Go(func() { outputs[i], codes[i] = ctl(t, c.VMs[i:i+1], "data-centre", direction, "north") })
		}
		all.Wait()
		return outputs, codes
	}
	for range 4 {
		outputs, codes := race("out", "in")
		for i, code := range codes {
			require.True(t, code == 0 || code == 3 && strings.Contains(outputs[i], "was accepted first"), "%q", outputs)
		}
		requireAgreement(t, c)
	}
	ctl(t, c.VMs, "data-centre", "in", "north")
	// Both operators read the state before the command of either takes effect.
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"delay_ms": 400, "streams": []string{"control"}}))
	outputs, codes := race("out", "out")
	require.ElementsMatch(t, []int{0, 3}, codes, "%q", outputs)
	require.Contains(t, outputs[slices.Index(codes, 3)], "was accepted first")
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
	requireAgreement(t, c)
}

// Guards against a VM that answers from an old state that nothing has to
// change: the command of the operator who came later would be lost.
func TestLateCommandAtLaggingVM(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) { cfg.VMs, cfg.Proxied = 3, true })
	lagging, other := c.VMs[0], c.VMs[1]
	lagging.PlatformProxy.SetBoth(faultproxy.Settings{Delay: 300 * time.Millisecond})
	mustDrain(t, c, other, control.ScopeTarget, "bookings-1", true)
	mustDrain(t, c, lagging, control.ScopeTarget, "bookings-1", false)
	requireAgreement(t, c)
}

// requireAgreement checks that all VMs have the log's drains and document.
func requireAgreement(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	st := logState(t, c)
	waitInForce(t, c, st.ConfigVersion(), inForceWithin)
	_, document := st.Document()
	for _, v := range running(c) {
		s, err := c.Status(t.Context(), v)
		require.NoError(t, err)
		require.Equal(t, document, s.Document)
		drained := []string{}
		for _, d := range s.Drains {
			drained = append(drained, string(d.Scope)+" "+d.Name)
		}
		want := []string{}
		for key, d := range st.Drains() {
			if d.Out {
				want = append(want, string(key.Scope)+" "+key.Name)
			}
		}
		slices.SortFunc(want, strings.Compare)
		require.Equal(t, want, drained, v.Name)
	}
}
