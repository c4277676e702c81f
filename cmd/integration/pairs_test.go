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
	// pairHold is longer than a promise and a lease, so that both failures take
	// their full effect before they end.
	pairHold = promise + 2*mapLease
)

// failure is applied and, later, taken back by the function that it returns.
type failure func(t *testing.T, c *cluster.Cluster) (undo func())

// failures are those that the promises have to survive, in any pair.
var failures = map[string]failure{
	"manager frozen": func(t *testing.T, c *cluster.Cluster) func() {
		v := manager(t, c)
		freeze(t, v)
		return func() {
			if v.Alive() { // the other failure may have killed it
				thaw(t, v)
			}
		}
	},
	"manager killed":         func(t *testing.T, c *cluster.Cluster) func() { return killVM(t, manager(t, c)) },
	"ledger keeper killed":   func(t *testing.T, c *cluster.Cluster) func() { return killVM(t, dispatcherOf(t, c, "bookings")) },
	"manager cut from peers": func(t *testing.T, c *cluster.Cluster) func() { c.IsolateFromPeers(manager(t, c)); return c.Heal },
	"keeper cut from targets": func(t *testing.T, c *cluster.Cluster) func() {
		c.IsolateFromTargets(dispatcherOf(t, c, "bookings"))
		return c.Heal
	},
	"server killed": func(t *testing.T, c *cluster.Cluster) func() {
		require.NoError(t, c.Targets[0].Kill())
		return func() { require.NoError(t, c.Targets[0].Restart()) }
	},
	"server frozen": func(t *testing.T, c *cluster.Cluster) func() {
		require.NoError(t, c.Targets[1].Freeze())
		return func() { require.NoError(t, c.Targets[1].Thaw()) }
	},
	"log down": func(t *testing.T, c *cluster.Cluster) func() {
		setLog(t, c, map[string]any{"down": true})
		return func() { setLog(t, c, map[string]any{}) }
	},
}

func killVM(t *testing.T, v *cluster.VM) func() {
	require.NoError(t, v.Kill())
	return func() { require.NoError(t, v.Restart()) }
}

// Guards the promises against two failures at once, drawn by the seed: no key
// has two owners, no write runs twice, no refusal is untrue, and service comes
// back.
func TestTwoFailuresTogether(t *testing.T) {
	c := deployment(t, func(cfg *cluster.Config) {
		cfg.Proxied = true
		cfg.Services = []cluster.Service{
			{Name: "status", Ownership: inventory.OwnershipKey, Shards: 24, Targets: 4, ChecksFences: true, TargetArgs: []string{"--service-time", "2ms"}},
			{Name: "bookings", Ownership: inventory.OwnershipPool, Targets: 4, TargetArgs: []string{"--service-time", "2ms"}},
		}
	})
	status := startLoad(t, c, "status", nil)
	bookings := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Seed++ })
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{
		"manager frozen", "manager killed", "ledger keeper killed", "manager cut from peers", "keeper cut from targets",
		"server killed", "server frozen", "log down",
	}), 2, 2, rapid.ID[string])
	for round := range pairRounds {
		pair := names.Example(int(seed(t)) + round)
		t.Logf("round %d: %v", round, pair)
		status.waitServed(200)
		var undo []func()
		for _, name := range pair {
			undo = append(undo, failures[name](t, c))
		}
		time.Sleep(pairHold)
		for _, f := range undo {
			f()
		}
		require.NoError(t, c.WaitReady(t.Context(), recovery), "after %v", pair)
	}
	status.waitServed(200)
	bookings.waitServed(200)
	requireSafe(t, c, status, bookings)
}
