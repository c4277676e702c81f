package integration

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// Guards against a side of a partition without a quorum (more than half of the
// members) that grants leases or dispatches requests, and against keys that stay
// unavailable after the partition has healed.
func TestPartition(t *testing.T) {
	c := startProxiedCluster(t)
	t.Run("4 against 4", func(t *testing.T) { splitInHalves(t, c) })
	t.Run("3 against 5", func(t *testing.T) { isolateMinority(t, c) })
}

func splitInHalves(t *testing.T, c *cluster.Cluster) {
	all := startLoads(t, c)
	cut := time.Now()
	c.Partition(c.VMs[:4], c.VMs[4:])
	// The manager may act until its lease ends, and its last map lease may end a
	// full mapLease later. Clocks may drift by 1 % each.
	limit := cut.Add((managerLease + mapLease) * 102 / 100)
	for _, l := range all.included {
		l.waitUnserved(50, limit)
	}
	healed := time.Now()
	c.Heal()
	all.waitServedSince(healed)
	require.Empty(t, events(t, c, "term.acquired", cut, healed), "a side with 4 of 8 members, which is no quorum, acquired a term")
	requireAllTargetsIdle(t, c, limit, healed)
	require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
	all.requireSafe(c)
}

func isolateMinority(t *testing.T, c *cluster.Cluster) {
	managerVM := actingManager(t, c)
	smaller, larger := splitOffMinority(c, managerVM)
	all := startLoads(t, c, smaller...)
	cut := time.Now()
	c.Partition(smaller, larger)
	actingManager(t, c, smaller...)
	all.waitServedSince(cut)
	all.waitServedSince(time.Now()) // again, so that not only leases from before the partition are used
	healed := time.Now()
	c.Heal()
	all.waitServedSince(healed)
	require.NoError(t, c.WaitReady(t.Context(), recoveryTimeout))
	all.requireSafe(c)
}

// splitOffMinority splits the VMs into the manager with two more VMs, and the rest.
// The three VMs are in at most two data centres. As the write intents are kept in
// three, by their dispatcher and two copies, one of those stays with the majority.
func splitOffMinority(c *cluster.Cluster, managerVM *cluster.VM) (smaller, larger []*cluster.VM) {
	avoidedDataCentre := ""
	for _, v := range c.VMs {
		if v.DataCentre != managerVM.DataCentre {
			avoidedDataCentre = v.DataCentre
		}
	}
	smaller = []*cluster.VM{managerVM}
	for _, v := range c.VMs {
		switch {
		case v == managerVM:
		case len(smaller) < 3 && v.DataCentre != avoidedDataCentre:
			smaller = append(smaller, v)
		default:
			larger = append(larger, v)
		}
	}
	return smaller, larger
}
