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
	settleTime  = 3 * time.Second // from the start of a deployment to the first sample
	observeTime = 8 * time.Second
)

// deployment is the size of a deployment that runs as separate processes.
type deployment struct{ vms, shards, targets int }

func (d deployment) String() string {
	return fmt.Sprintf("%d VMs, %d shards, %d targets", d.vms, d.shards, d.targets)
}

// runCluster starts a deployment with one service, waits for settleTime so that f does
// not measure the work of the start, and calls f.
func runCluster(ctx context.Context, d deployment, f func(c *cluster.Cluster) error) error {
	dir, err := os.MkdirTemp("", "mangogate-capacity-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(dir)
	binaries, err := cluster.Build(dir)
	if err != nil {
		return err
	}
	c, err := cluster.Start(ctx, cluster.Config{
		Dir: dir, Binaries: binaries, DataCentres: []string{"dc-a", "dc-b", "dc-c"}, VMs: d.vms,
		Services: []cluster.Service{{Name: service, Ownership: inventory.OwnershipKey, Shards: d.shards, Targets: d.targets, ChecksFences: true}},
	})
	if err != nil {
		return errors.Wrap(err, d.String())
	}
	defer c.Close()
	if err := wait(ctx, settleTime); err != nil {
		return err
	}
	return errors.Wrap(f(c), d.String())
}

// wait returns nil after d, or the error of ctx if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// IdleByVMs measures what the control plane costs each VM of a deployment without
// requests, for several numbers of VMs.
func (r *Report) IdleByVMs(ctx context.Context) error {
	for _, n := range []int{4, 8, 16, 24} {
		if err := r.idle(ctx, "vms", "VM", n, deployment{vms: n, shards: 256, targets: 12}, "256 shards, 12 targets"); err != nil {
			return err
		}
	}
	return nil
}

// IdleByShards measures the same costs as IdleByVMs for several numbers of shards.
func (r *Report) IdleByShards(ctx context.Context) error {
	for _, n := range []int{64, 256, 1024, 4096} {
		if err := r.idle(ctx, "shards", "shard", n, deployment{vms: 8, shards: n, targets: 12}, "8 VMs, 12 targets"); err != nil {
			return err
		}
	}
	return nil
}

// IdleByTargets measures the same costs as IdleByVMs for several numbers of targets.
func (r *Report) IdleByTargets(ctx context.Context) error {
	for _, n := range []int{6, 12, 24, 48} {
		if err := r.idle(ctx, "targets", "target", n, deployment{vms: 8, shards: 256, targets: n}, "8 VMs, 256 shards"); err != nil {
			return err
		}
	}
	return nil
}

// idle runs one deployment and adds a point at this size to each series, for the VM
// that acts as manager and for the mean of the other VMs.
func (r *Report) idle(ctx context.Context, by, x string, size int, d deployment, fixed string) error {
	return runCluster(ctx, d, func(c *cluster.Cluster) error {
		usages, err := observe(ctx, c, func() error { return wait(ctx, observeTime) })
		if err != nil {
			return err
		}
		acting, other, err := splitByRole(usages)
		if err != nil {
			return err
		}
		for _, role := range []struct {
			name string
			use  usage
		}{{"manager", acting}, {"member", other}} {
			add := func(what, unit string, value float64) {
				r.add("idle."+role.name+"."+what+"_by_"+by, x, unit, fixed, float64(size), value)
			}
			add("cpu", "% of a core", 100*role.use.cpu)
			add("memory", "MB resident", role.use.rss/1e6)
			add("control", "bytes/s", role.use.controlBytes())
			add("writes", "messages/s sent", role.use.controlWrites())
			for _, kind := range controlKinds {
				add(kind, "bytes/s", role.use.bytes(kind))
			}
		}
		return nil
	})
}
