package integration

import (
	"cmp"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

var errNoManager = errors.New("no VM acts as manager")

// maxKeyOutage bounds how long a key may stay unserved after a loss.
const maxKeyOutage = 4 * time.Second

// manager waits for a running manager and returns it. When VMs disagree, the
// manager of the highest term counts.
func manager(t *testing.T, c *cluster.Cluster) *cluster.VM {
	t.Helper()
	var found *cluster.VM
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		for _, v := range c.VMs {
			if !v.Alive() {
				continue
			}
			s, err := c.Status(t.Context(), v)
			if err != nil {
				return err
			}
			newest := slices.MaxFunc(s.VMs, func(a, b admin.VMStatus) int { return cmp.Compare(a.Term, b.Term) })
			for _, other := range c.VMs {
				if other.Name == newest.Manager && other.Alive() {
					found = other
					return nil
				}
			}
		}
		return errNoManager
	}))
	return found
}

// Guards against the loss of one process that makes keys unavailable for longer
// than maxKeyOutage. A VM, the manager and a target are killed in turn under load.
func TestLossOfVMManagerAndTarget(t *testing.T) {
	c := startCluster(t, nil)
	status := startLoad(t, c, "status", nil)
	bookings := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.Seed++ })
	status.waitServed(200)

	managerVM := manager(t, c)
	for _, v := range c.VMs {
		if v != managerVM {
			require.NoError(t, v.Kill())
			break
		}
	}
	status.waitServed(600)
	require.NoError(t, manager(t, c).Kill())
	status.waitServed(1200)
	require.NoError(t, c.Targets[0].Kill())
	status.waitServed(1200)

	for _, l := range []*load{status, bookings} {
		requireOutagesBounded(t, l)
	}
	requireSafe(t, c, status, bookings)
}

// Guards against a VM whose process is restarted before its lease has expired.
// The new process does not have the write intents of the old one and must not
// dispatch as if it had them.
func TestQuickRestartOfEveryVM(t *testing.T) {
	c := startCluster(t, nil)
	l := startLoad(t, c, "bookings", func(cfg *loadgen.Config) { cfg.ReadRatio = 0; cfg.Repeats = 6 })
	for _, v := range c.VMs {
		l.waitServed(150)
		require.NoError(t, v.Kill())
		require.NoError(t, v.Restart())
	}
	l.waitServed(300)
	requireSafe(t, c, l)
}
