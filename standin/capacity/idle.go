package capacity

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/pkg/errors"
)

const (
	settle = 3 * time.Second
	window = 8 * time.Second
)

// deployment is the size of a cluster of processes.
type deployment struct{ vms, shards, targets int }

func (d deployment) String() string {
	return fmt.Sprintf("%d VMs, %d shards, %d targets", d.vms, d.shards, d.targets)
}

// runCluster starts a deployment with one service and calls f once it is quiet.
func runCluster(ctx context.Context, d deployment, f func(c *cluster.Cluster) error) error {
	dir, err := os.MkdirTemp("", "mangogate-capacity-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	defer os.RemoveAll(dir)
	programs, err := cluster.Build(dir)
	if err != nil {
		return err
	}
	c, err := cluster.Start(ctx, cluster.Config{
		Dir: dir, Binaries: programs, DataCentres: []string{"dc-a", "dc-b", "dc-c"}, VMs: d.vms,
		Services: []cluster.Service{{Name: service, Ownership: inventory.OwnershipKey, Shards: d.shards, Targets: d.targets, ChecksFences: true}},
	})
	if err != nil {
		return errors.Wrap(err, d.String())
	}
	defer c.Close()
	if err := wait(ctx, settle); err != nil {
		return err
	}
	return errors.Wrap(f(c), d.String())
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// IdleByVMs measures what control costs each process of a deployment that
// serves nobody, over numbers of VMs.
func (r *Report) IdleByVMs(ctx context.Context) error {
	for _, n := range []int{4, 8, 16, 24} {
		if err := r.idle(ctx, "vms", "VM", n, deployment{vms: n, shards: 256, targets: 12}, "256 shards, 12 targets"); err != nil {
			return err
		}
	}
	return nil
}

// IdleByShards does the same over numbers of shards.
func (r *Report) IdleByShards(ctx context.Context) error {
	for _, n := range []int{64, 256, 1024, 4096} {
		if err := r.idle(ctx, "shards", "shard", n, deployment{vms: 8, shards: n, targets: 12}, "8 VMs, 12 targets"); err != nil {
			return err
		}
	}
	return nil
}

// IdleByTargets does the same over numbers of targets.
func (r *Report) IdleByTargets(ctx context.Context) error {
	for _, n := range []int{6, 12, 24, 48} {
		if err := r.idle(ctx, "targets", "target", n, deployment{vms: 8, shards: 256, targets: n}, "8 VMs, 256 shards"); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) idle(ctx context.Context, by, x string, at int, d deployment, fixed string) error {
	return runCluster(ctx, d, func(c *cluster.Cluster) error {
		all, err := observe(ctx, c, func() error { return wait(ctx, window) })
		if err != nil {
			return err
		}
		acting, other, err := roles(all)
		if err != nil {
			return err
		}
		for _, role := range []struct {
			name string
			use  use
		}{{"manager", acting}, {"member", other}} {
			add := func(what, unit string, value float64) {
				r.add("idle."+role.name+"."+what+"_by_"+by, x, unit, fixed, float64(at), value)
			}
			add("cpu", "% of a core", 100*role.use.cpu)
			add("memory", "MB resident", role.use.rss/1e6)
			add("control", "bytes/s", role.use.control())
			add("writes", "messages/s sent", role.use.calls())
			for _, kind := range controlKinds {
				add(kind, "bytes/s", role.use.bytes(kind))
			}
		}
		return nil
	})
}
