package integration

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

const (
	// promise and mapLease are the times of docs/design.md, sections 5 and 6.
	promise  = time.Second
	mapLease = 1200 * time.Millisecond
	// recovery bounds the waits for states without a promised time.
	recovery = 20 * time.Second
	// shortDeadline leaves time within servedAgain for a request that a lost
	// server has and that must end before the key may move.
	shortDeadline = 2 * time.Second
)

// proxied returns a cluster whose network the test can cut. The targets of
// "status" check fences, those of "lockers" do not.
func proxied(t *testing.T) *cluster.Cluster {
	t.Helper()
	return deployment(t, func(cfg *cluster.Config) {
		cfg.Proxied = true
		cfg.Services = []cluster.Service{
			{Name: "status", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, ChecksFences: true, TargetArgs: []string{"--service-time", "2ms"}},
			{Name: "lockers", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, TargetArgs: []string{"--service-time", "2ms"}},
		}
	})
}

// loads are the loads of all services of a cluster.
type loads struct {
	balanced []*load // through the VMs that the load balancer uses
	others   []*load // through VMs that fail; nothing bounds their waits
}

// startLoads sends requests with short deadlines to both services. Of the VMs
// that a test lets fail, the load balancer leaves out leftOut; some callers
// reach them nevertheless.
func startLoads(t *testing.T, c *cluster.Cluster, leftOut ...*cluster.VM) loads {
	t.Helper()
	var all loads
	for i, service := range []string{"status", "lockers"} {
		start := func(rate float64, vms []*cluster.VM) *load {
			return startLoad(t, c, service, func(cfg *loadgen.Config) {
				cfg.Seed += int64(i)
				cfg.Rate, cfg.Deadline, cfg.KeyPrefix = rate, shortDeadline, service+"-"
				cfg.Entries = nil
				for _, v := range vms {
					cfg.Entries = append(cfg.Entries, v.Callers)
				}
			})
		}
		used := slices.DeleteFunc(slices.Clone(c.VMs), func(v *cluster.VM) bool { return slices.Contains(leftOut, v) })
		all.balanced = append(all.balanced, start(150, used))
		if len(leftOut) > 0 {
			all.others = append(all.others, start(30, leftOut))
		}
	}
	all.waitServed(100)
	return all
}

func (all loads) waitServed(n int) {
	for _, l := range all.balanced {
		l.t.Helper()
		l.waitServed(n)
	}
}

func (all loads) waitServedSince(at time.Time) {
	for _, l := range all.balanced {
		l.t.Helper()
		l.waitServedSince(at)
	}
}

// requireServedAgain ends the loads and checks that no key was unserved for
// longer than a loss may take.
func (all loads) requireServedAgain() {
	for _, l := range all.balanced {
		l.t.Helper()
		requireServedAgain(l.t, l)
	}
}

// stop ends the loads and waits for the answers.
func (all loads) stop() {
	for _, l := range slices.Concat(all.balanced, all.others) {
		report, _ := l.stop()
		l.reports <- report
	}
}

// requireSafe ends the loads and checks the promises that hold under every failure.
func (all loads) requireSafe(c *cluster.Cluster) {
	t := all.balanced[0].t
	t.Helper()
	requireSafe(t, c, slices.Concat(all.balanced, all.others)...)
}

// actingManager waits until VMs other than those left out follow a manager that
// is none of them, and returns it.
func actingManager(t *testing.T, c *cluster.Cluster, leftOut ...*cluster.VM) *cluster.VM {
	t.Helper()
	var found *cluster.VM
	require.NoError(t, cluster.Wait(recovery, func() error {
		for _, v := range c.VMs {
			if !v.Alive() || slices.Contains(leftOut, v) {
				continue
			}
			s, err := c.Status(t.Context(), v)
			if err != nil {
				return err
			}
			newest := slices.MaxFunc(s.VMs, func(a, b admin.VMStatus) int { return cmp.Compare(a.Term, b.Term) })
			for _, other := range c.VMs {
				if other.Name == newest.Manager && other.Alive() && !slices.Contains(leftOut, other) {
					found = other
					return nil
				}
			}
			return errNoManager
		}
		return errNoManager
	}))
	return found
}

// events returns the events of a kind that were recorded between two instants.
func events(t *testing.T, c *cluster.Cluster, kind string, from, until time.Time) []timeline.Event {
	t.Helper()
	var out []timeline.Event
	all, err := c.Timeline(t.Context())
	require.NoError(t, err)
	for _, e := range all {
		if e.Kind == kind && e.Stamp.WallUS >= from.UnixMicro() && e.Stamp.WallUS < until.UnixMicro() {
			out = append(out, e)
		}
	}
	return out
}

// requireNothingBegun checks that no target began a request between two instants.
func requireNothingBegun(t *testing.T, c *cluster.Cluster, from, until time.Time) {
	t.Helper()
	ran, err := c.Executions()
	require.NoError(t, err)
	targets := map[string]bool{}
	for _, target := range c.Targets {
		targets[target.Name] = true
	}
	require.Empty(t, history.Started(ran, targets, from.UnixMicro(), until.UnixMicro()))
}
