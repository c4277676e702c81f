package integration

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// Guards against a side without more than half of the members that grants or
// dispatches, and against a partition that outlasts its end.
func TestPartition(t *testing.T) {
	c := proxied(t)
	t.Run("4 against 4", func(t *testing.T) { halves(t, c) })
	t.Run("3 against 5", func(t *testing.T) { minority(t, c) })
}

func halves(t *testing.T, c *cluster.Cluster) {
	all := startLoads(t, c)
	cut := time.Now()
	c.Partition(c.VMs[:4], c.VMs[4:])
	// The manager's support lasts for one promise, and the last map lease that
	// it gave for its length after that; clocks may drift by 1 % each.
	limit := cut.Add((promise + mapLease) * 102 / 100)
	for _, l := range all.balanced {
		l.waitUnserved(50, limit)
	}
	healed := time.Now()
	c.Heal()
	all.waitServedSince(healed)
	require.Empty(t, events(t, c, "term.acquired", cut, healed), "a side with 4 of 8 members acted")
	requireNothingBegun(t, c, limit, healed)
	require.NoError(t, c.WaitReady(t.Context(), recovery))
	all.requireSafe(c)
}

func minority(t *testing.T, c *cluster.Cluster) {
	boss := actingManager(t, c)
	few, many := splitWithoutLedger(c, boss)
	all := startLoads(t, c, few...)
	cut := time.Now()
	c.Partition(few, many)
	actingManager(t, c, few...)
	all.waitServedSince(cut)
	all.waitServedSince(time.Now()) // not only under the leases of before
	healed := time.Now()
	c.Heal()
	all.waitServedSince(healed)
	require.NoError(t, c.WaitReady(t.Context(), recovery))
	all.requireSafe(c)
}

// splitWithoutLedger returns the manager with two more VMs, and the rest. The
// three are in two data centres, so that the dispatcher and the two copies of
// write intents, which are in three, are not all cut off.
func splitWithoutLedger(c *cluster.Cluster, boss *cluster.VM) (few, many []*cluster.VM) {
	third := ""
	for _, v := range c.VMs {
		if v.DataCentre != boss.DataCentre {
			third = v.DataCentre
		}
	}
	few = []*cluster.VM{boss}
	for _, v := range c.VMs {
		switch {
		case v == boss:
		case len(few) < 3 && v.DataCentre != third:
			few = append(few, v)
		default:
			many = append(many, v)
		}
	}
	return few, many
}
