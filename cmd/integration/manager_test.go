package integration

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// Guards against a manager that keeps acting after its lease from the other
// members has expired, and against a complete or partial failure of the manager
// that makes keys unavailable.
func TestManagerFailures(t *testing.T) {
	c := startProxiedCluster(t)
	for _, tc := range []struct {
		name   string
		fail   func(t *testing.T, v *cluster.VM)
		repair func(t *testing.T, v *cluster.VM)
		// replaced is set when another manager must take over.
		replaced bool
	}{
		{"suspended", suspend, resume, true},
		{"cut off from peers", func(_ *testing.T, v *cluster.VM) { c.IsolateFromPeers(v) }, heal(c), true},
		{"cut off from the log", func(_ *testing.T, v *cluster.VM) { c.IsolateFromPlatform(v) }, heal(c), false},
		{"cut off from targets", func(_ *testing.T, v *cluster.VM) { c.IsolateFromTargets(v) }, heal(c), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			old := actingManager(t, c)
			all := startLoads(t, c, old)
			t.Cleanup(func() { tc.repair(t, old) }) // so that the next subtest can run when this one fails
			at := time.Now()
			tc.fail(t, old)
			if tc.replaced {
				actingManager(t, c, old)
			}
			all.waitServedSince(at)
			all.waitServedSince(time.Now()) // again, so that not only leases from before the fault are used
			repaired := time.Now()
			tc.repair(t, old)
			all.waitServedSince(repaired)
			require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
			all.requireOutagesBounded()
			all.requireSafe(c)
		})
	}
	t.Run("two in a row lost", func(t *testing.T) { twoManagersLost(t, c) })
}

func suspend(t *testing.T, v *cluster.VM) { require.NoError(t, v.Suspend()) }

func resume(t *testing.T, v *cluster.VM) { require.NoError(t, v.Resume()) }

func heal(c *cluster.Cluster) func(*testing.T, *cluster.VM) {
	return func(*testing.T, *cluster.VM) { c.Heal() }
}

// twoManagersLost kills the manager, and then its successor as soon as the
// successor acts.
func twoManagersLost(t *testing.T, c *cluster.Cluster) {
	all := startLoads(t, c)
	first := actingManager(t, c)
	require.NoError(t, first.Kill())
	second := actingManager(t, c, first)
	at := time.Now()
	require.NoError(t, second.Kill())
	actingManager(t, c, first, second)
	all.waitServedSince(at)
	require.NoError(t, first.Restart())
	require.NoError(t, second.Restart())
	require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
	all.requireSafe(c)
}
