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
	// managerLease is how long a member's promise to support a manager lasts, and
	// mapLease is how long a VM may act on its dispatch map after a renewal by the
	// manager. Both are defined in docs/design.md, sections 5 and 6.
	managerLease = time.Second
	mapLease     = 1200 * time.Millisecond
	// recoveryTimeout bounds the waits for states that have no guaranteed time.
	recoveryTimeout = 20 * time.Second
	// shortDeadline is well below maxKeyOutage: a request that is in flight at a
	// lost target must end before its key may move to another target.
	shortDeadline = 2 * time.Second
)

// startProxiedCluster returns a running cluster whose network connections the test
// can cut. The targets of "status" check fencing tokens, those of "lockers" do
// not.
func startProxiedCluster(t *testing.T) *cluster.Cluster {
	t.Helper()
	return startCluster(t, func(cfg *cluster.Config) {
		cfg.Proxied = true
		cfg.Services = []cluster.Service{
			{Name: "status", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, ChecksFences: true, TargetArgs: []string{"--service-time", "2ms"}},
			{Name: "lockers", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, TargetArgs: []string{"--service-time", "2ms"}},
		}
	})
}

// loadGroup is the loads of all services of a cluster.
type loadGroup struct {
	included []*load // through the VMs that are not excluded
	excluded []*load // through the excluded VMs; their outages are not bounded
}

// startLoads sends requests with short deadlines to both services. Tests exclude the
// VMs that they let fail: a separate load with fewer requests goes through these.
func startLoads(t *testing.T, c *cluster.Cluster, excluded ...*cluster.VM) loadGroup {
	t.Helper()
	var all loadGroup
	for i, service := range []string{"status", "lockers"} {
		start := func(rate float64, vms []*cluster.VM) *load {
			return startLoad(t, c, service, func(cfg *loadgen.Config) {
				cfg.Seed += int64(i)
				cfg.Rate, cfg.Deadline, cfg.KeyPrefix = rate, shortDeadline, service+"-"
				cfg.Entries = nil
				for _, v := range vms {
					cfg.Entries = append(cfg.Entries, v.CallerAddress)
				}
			})
		}
		used := slices.DeleteFunc(slices.Clone(c.VMs), func(v *cluster.VM) bool { return slices.Contains(excluded, v) })
		all.included = append(all.included, start(150, used))
		if len(excluded) > 0 {
			all.excluded = append(all.excluded, start(30, excluded))
		}
	}
	all.waitServed(100)
	return all
}

func (all loadGroup) waitServed(n int) {
	for _, l := range all.included {
		l.t.Helper()
		l.waitServed(n)
	}
}

func (all loadGroup) waitServedSince(at time.Time) {
	for _, l := range all.included {
		l.t.Helper()
		l.waitServedSince(at)
	}
}

// requireOutagesBounded ends the included loads and checks that no key was unserved
// for longer than maxKeyOutage.
func (all loadGroup) requireOutagesBounded() {
	for _, l := range all.included {
		l.t.Helper()
		requireOutagesBounded(l.t, l)
	}
}

// stop ends the loads and waits for outstanding responses.
func (all loadGroup) stop() {
	for _, l := range slices.Concat(all.included, all.excluded) {
		report, _ := l.stop()
		l.reports <- report
	}
}

func (all loadGroup) requireSafe(c *cluster.Cluster) {
	t := all.included[0].t
	t.Helper()
	requireSafe(t, c, slices.Concat(all.included, all.excluded)...)
}

// actingManager waits until a running VM that is not excluded reports a running
// manager that is not excluded either, and returns this manager.
func actingManager(t *testing.T, c *cluster.Cluster, excluded ...*cluster.VM) *cluster.VM {
	t.Helper()
	var found *cluster.VM
	require.NoError(t, cluster.Wait(recoveryTimeout, func() error {
		for _, v := range c.VMs {
			if !v.Alive() || slices.Contains(excluded, v) {
				continue
			}
			s, err := c.Status(t.Context(), v)
			if err != nil {
				return err
			}
			newest := slices.MaxFunc(s.VMs, func(a, b admin.VMStatus) int { return cmp.Compare(a.Term, b.Term) })
			for _, other := range c.VMs {
				if other.Name == newest.Manager && other.Alive() && !slices.Contains(excluded, other) {
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

// requireAllTargetsIdle checks that no target began a request between two instants.
func requireAllTargetsIdle(t *testing.T, c *cluster.Cluster, from, until time.Time) {
	t.Helper()
	ran, err := c.Executions()
	require.NoError(t, err)
	targets := map[string]bool{}
	for _, target := range c.Targets {
		targets[target.Name] = true
	}
	require.Empty(t, history.CheckNotStarted(ran, targets, from.UnixMicro(), until.UnixMicro()))
}
