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

// targetsIn returns the names of the targets in a data centre.
func targetsIn(c *cluster.Cluster, dataCentre string) map[string]bool {
	out := map[string]bool{}
	for _, t := range c.Targets {
		if t.DataCentre == dataCentre {
			out[t.Name] = true
		}
	}
	return out
}

// requireNoExecutions checks that the targets began no request between two
// instants, and that others did: without any load the first check proves nothing.
func requireNoExecutions(t *testing.T, c *cluster.Cluster, targets map[string]bool, from, until time.Time) {
	t.Helper()
	ran, err := c.Executions()
	require.NoError(t, err)
	require.Empty(t, history.CheckNotStarted(ran, targets, from.UnixMicro(), until.UnixMicro()))
	elsewhere := slices.ContainsFunc(ran, func(e target.Execution) bool { return e.StartUS >= from.UnixMicro() && e.StartUS < until.UnixMicro() })
	require.True(t, elsewhere, "no target began a request in the interval")
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// requireAllServed stops the loads and checks that every request was served.
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

// waitExecutions waits until each of the targets has begun a request after since,
// and returns their executions after since.
func waitExecutions(t *testing.T, c *cluster.Cluster, targets map[string]bool, since time.Time) []target.Execution {
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
				return fmt.Errorf("%s has begun no request", name)
			}
		}
		return nil
	}))
	return ran
}

// requireRamp checks that each target ran its first requests one at a time, as
// slow start requires.
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

// Guards against requests that reach a drained target or data centre, against
// requests that fail while it is drained and put back, and against full load on
// targets right after their return.
func TestDrainAndReturn(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) {
		for i := range cfg.Services {
			cfg.Services[i].TargetArgs = []string{"--service-time", "20ms"}
		}
	})
	// With more callers than slots, a target without slow start would be at full
	// load at once.
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
			vms := c.VMs[1:2] // a VM outside the drained data centre
			for _, name := range tc.names {
				out, code := ctl(t, vms, tc.command, "out", "--wait", "0s", name)
				require.Contains(t, []int{0, 4}, code, out) // exit code 4: accepted, not in force yet
			}
			accepted := time.Now()
			sleepUntil(accepted.Add(drainedWithin))
			loads[0].waitServed(300)
			loads[1].waitServed(300)
			requireNoExecutions(t, c, tc.targets, accepted.Add(drainedWithin), time.Now())
			before := time.Now()
			for _, name := range tc.names {
				out, code := ctl(t, vms, tc.command, "in", name)
				require.Zero(t, code, out)
			}
			requireRamp(t, waitExecutions(t, c, tc.targets, before))
		})
	}
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// Guards against requests that reach a target after it has announced that it is
// draining.
func TestTargetThatDrainsItself(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	// The deadline is shorter than the drain, so that no request can wait for its
	// end.
	withShortDeadline := func(cfg *loadgen.Config) { cfg.Deadline = 2 * time.Second }
	loads := []*load{startLoad(t, c, "status", withShortDeadline), startLoad(t, c, "bookings", withShortDeadline)}
	loads[0].waitServed(300)
	leaving := map[string]bool{"status-0": true, "bookings-0": true}
	for _, target := range c.Targets {
		if leaving[target.Name] {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"draining": true}))
		}
	}
	announced := time.Now()
	sleepUntil(announced.Add(drainedWithin))
	loads[0].waitServed(300)
	requireNoExecutions(t, c, leaving, announced.Add(drainedWithin), time.Now())
	for _, target := range c.Targets {
		if leaving[target.Name] {
			require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{}))
		}
	}
	waitExecutions(t, c, leaving, time.Now())
	requireAllServed(t, loads...)
	requireSafe(t, c, loads...)
}

// waitDispatcher waits until a running VM dispatches a group, and returns it.
func waitDispatcher(t *testing.T, c *cluster.Cluster, group string) *cluster.VM {
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

// Guards against a drain command that is lost when the manager fails, and
// against a VM that misses the command because it cannot reach the log or its
// peers.
func TestDrainDuringFailures(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.Proxied = true })
	loads := []*load{startLoad(t, c, "status", nil), startLoad(t, c, "bookings", nil)}
	loads[0].waitServed(300)
	cut, connected := faultproxy.Settings{Cut: true}, faultproxy.Settings{}
	for i, tc := range []struct {
		name          string
		victim        func() *cluster.VM
		before, after func(v *cluster.VM) // run before the command, and once it was accepted
		repair        func(v *cluster.VM)
	}{
		{"manager killed", func() *cluster.VM { return manager(t, c) }, nil,
			func(v *cluster.VM) { require.NoError(t, v.Kill()) }, func(v *cluster.VM) { require.NoError(t, v.Restart()) }},
		{"manager cannot reach the log", func() *cluster.VM { return manager(t, c) },
			func(v *cluster.VM) { v.PlatformProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PlatformProxy.SetBoth(connected) }},
		{"dispatcher cannot reach the log", func() *cluster.VM { return waitDispatcher(t, c, "bookings") },
			func(v *cluster.VM) { v.PlatformProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PlatformProxy.SetBoth(connected) }},
		{"dispatcher cannot be reached", func() *cluster.VM { return waitDispatcher(t, c, "bookings") },
			func(v *cluster.VM) { v.PeerProxy.SetBoth(cut) }, nil, func(v *cluster.VM) { v.PeerProxy.SetBoth(connected) }},
		{"connections to the log went silent", func() *cluster.VM { return manager(t, c) }, func(*cluster.VM) {
			for _, v := range c.VMs {
				v.PlatformProxy.BlackholeExisting()
			}
		}, nil, func(*cluster.VM) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dataCentre := []string{"north", "centre", "south"}[i%3]
			victim := tc.victim()
			v := c.VMs[slices.IndexFunc(c.VMs, func(v *cluster.VM) bool { return v != victim })]
			repair := sync.OnceFunc(func() { tc.repair(victim) })
			defer repair()
			if tc.before != nil {
				tc.before(victim)
			}
			mustDrain(t, c, v, control.ScopeDataCentre, dataCentre, true)
			accepted := time.Now()
			if tc.after != nil {
				tc.after(victim)
			}
			sleepUntil(accepted.Add(drainedWithin))
			loads[0].waitServed(300)
			loads[1].waitServed(300)
			requireNoExecutions(t, c, targetsIn(c, dataCentre), accepted.Add(drainedWithin), time.Now())
			repair()
			waitInForce(t, c, mustDrain(t, c, v, control.ScopeDataCentre, dataCentre, false).Version, readyWithin)
			waitExecutions(t, c, targetsIn(c, dataCentre), time.Now())
		})
	}
	requireSafe(t, c, loads...)
}

// Guards against two concurrent commands that are both accepted, or that VMs
// apply in different orders. Two operators send opposite commands at once, and
// then equal commands that are based on the same version.
func TestOperatorsRace(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	race := func(directions ...string) (outputs []string, codes []int) {
		var wg sync.WaitGroup
		outputs, codes = make([]string, 2), make([]int, 2)
		for i, direction := range directions {
			wg.Go(func() { outputs[i], codes[i] = ctl(t, c.VMs[i:i+1], "data-centre", direction, "north") })
		}
		wg.Wait()
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
	// With the delay, both operators read the state before either command takes
	// effect, unless one of them is slower than the delay. It then finds that there is
	// nothing to change, and the race is run again with a longer delay.
	var outputs []string
	var codes []int
	for delay := 400; ; delay *= 3 {
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"delay_ms": delay, "streams": []string{"control"}}))
		outputs, codes = race("out", "out")
		if delay > 4000 || !strings.Contains(strings.Join(outputs, ""), "no change") {
			break
		}
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
		ctl(t, c.VMs, "data-centre", "in", "north")
	}
	require.ElementsMatch(t, []int{0, 3}, codes, "%q", outputs)
	require.Contains(t, outputs[slices.Index(codes, 3)], "was accepted first")
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
	requireAgreement(t, c)
}

// Guards against a lost command at a VM that lags behind the log. A drain and its
// reversal are sent through two VMs; the lagging VM must not answer from its old
// state that there is nothing to change.
func TestLateCommandAtLaggingVM(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.VMs, cfg.Proxied = 3, true })
	lagging, other := c.VMs[0], c.VMs[1]
	lagging.PlatformProxy.SetBoth(faultproxy.Settings{Delay: 300 * time.Millisecond})
	mustDrain(t, c, other, control.ScopeTarget, "bookings-1", true)
	mustDrain(t, c, lagging, control.ScopeTarget, "bookings-1", false)
	requireAgreement(t, c)
}

// requireAgreement checks that all running VMs report the drains and the document
// version that the log holds.
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
