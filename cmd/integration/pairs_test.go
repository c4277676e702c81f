package integration

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	pairRounds = 4
	// pairDuration is how long both failures last: longer than a manager lease and
	// a map lease together, so that both take their full effect.
	pairDuration = managerLease + 2*mapLease
)

// failure injects a failure and returns the function that ends it.
type failure func(t *testing.T, c *cluster.Cluster) (undo func())

// failures are the failures under which the guarantees must hold, in any pair.
var failures = map[string]failure{
	"manager suspended": func(t *testing.T, c *cluster.Cluster) func() {
		v := manager(t, c)
		suspend(t, v)
		return func() {
			if v.Alive() { // the other failure may have killed it
				resume(t, v)
			}
		}
	},
	"manager killed":             func(t *testing.T, c *cluster.Cluster) func() { return killVM(t, manager(t, c)) },
	"bookings dispatcher killed": func(t *testing.T, c *cluster.Cluster) func() { return killVM(t, waitDispatcher(t, c, "bookings")) },
	"manager cut from peers":     func(t *testing.T, c *cluster.Cluster) func() { c.IsolateFromPeers(manager(t, c)); return c.Heal },
	"bookings dispatcher cut from targets": func(t *testing.T, c *cluster.Cluster) func() {
		c.IsolateFromTargets(waitDispatcher(t, c, "bookings"))
		return c.Heal
	},
	"target killed": func(t *testing.T, c *cluster.Cluster) func() {
		require.NoError(t, c.Targets[0].Kill())
		return func() { require.NoError(t, c.Targets[0].Restart()) }
	},
	"target suspended": func(t *testing.T, c *cluster.Cluster) func() {
		require.NoError(t, c.Targets[1].Suspend())
		return func() { require.NoError(t, c.Targets[1].Resume()) }
	},
	"log down": func(t *testing.T, c *cluster.Cluster) func() {
		setLogFaults(t, c, map[string]any{"down": true})
		return func() { setLogFaults(t, c, map[string]any{}) }
	},
}

func killVM(t *testing.T, v *cluster.VM) func() {
	require.NoError(t, v.Kill())
	return func() { require.NoError(t, v.Restart()) }
}

// Guards against two overlapping failures, drawn by the seed, that break a
// guarantee: no key has two owners, no write runs twice, reported outcomes match
// the executions, and service recovers.
func TestTwoFailuresTogether(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) {
		cfg.Proxied = true
		cfg.Services = []cluster.Service{
			{Name: "status", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, ChecksFences: true, TargetArgs: []string{"--service-time", "2ms"}},
			{Name: "bookings", Ownership: inventory.OwnershipPool, Targets: 4, TargetArgs: []string{"--service-time", "2ms"}},
		}
	})
	status := startLoad(t, c, "status", nil)
	bookings := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Seed++ })
	pairs := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{
		"manager suspended", "manager killed", "bookings dispatcher killed", "manager cut from peers", "bookings dispatcher cut from targets",
		"target killed", "target suspended", "log down",
	}), 2, 2, rapid.ID[string])
	for round := range pairRounds {
		pair := pairs.Example(int(seed(t)) + round)
		t.Logf("round %d: %v", round, pair)
		status.waitServed(200)
		var undo []func()
		for _, name := range pair {
			undo = append(undo, failures[name](t, c))
		}
		time.Sleep(pairDuration)
		for _, f := range undo {
			f()
		}
		require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout), "after %v", pair)
	}
	status.waitServed(200)
	bookings.waitServed(200)
	requireSafe(t, c, status, bookings)
}
