package capacity

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
)

const loadRun = 5 * time.Second

// loadCluster serves the requests. Its targets answer at once, so that the
// processor time of the VMs is what is measured.
var loadCluster = deployment{vms: 8, shards: 256, targets: 12}

// Load measures what a request costs the VMs, over rates of requests: reads,
// and writes with an idempotency key, whose intent is copied to two VMs.
func (r *Report) Load(ctx context.Context) error {
	return runCluster(ctx, loadCluster, func(c *cluster.Cluster) error {
		for _, kind := range []struct {
			name  string
			reads float64
			rates []float64
		}{{"read", 1, []float64{250, 500, 1000, 2000}}, {"write", 0, []float64{125, 250, 500, 1000}}} {
			for _, rate := range kind.rates {
				if err := r.load(ctx, c, kind.name, kind.reads, rate); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

func (r *Report) load(ctx context.Context, c *cluster.Cluster, name string, reads, rate float64) error {
	var report loadgen.Report
	all, err := observe(ctx, c, func() (err error) {
		report, err = loadgen.Run(ctx, loadgen.Config{
			Entries: c.Entries(), Duration: loadRun, Rate: rate, ReadRatio: reads, Keys: 5000, Seed: 1, AnswerBytes: 200,
			ReadPath: "/" + service + "/{key}", WritePath: "/" + service + "/{key}",
		})
		return err
	})
	if err != nil {
		return err
	}
	if report.Served < report.Requests*95/100 {
		return errors.Errorf("%d of %d requests were served at %g a second: %+v", report.Served, report.Requests, rate, report.Outcomes)
	}
	cpu, peer, target := 0.0, 0.0, 0.0
	for _, u := range all {
		cpu += u.cpu
		peer += u.bytes("peer.client")
		target += u.bytes("targets.requests")
	}
	served := float64(report.Served) / report.Seconds
	fixed := loadCluster.String()
	r.add("load."+name+".cpu", "request/s", "% of a core, all VMs", fixed, served, 100*cpu)
	r.add("load."+name+".peer_bytes", "request/s", "bytes/s, all VMs", fixed, served, peer)
	r.add("load."+name+".target_bytes", "request/s", "bytes/s, all VMs", fixed, served, target)
	r.add("load."+name+".latency_p50", "request/s", "ms", fixed, served, report.Latency.P50)
	r.add("load."+name+".latency_p99", "request/s", "ms", fixed, served, report.Latency.P99)
	return nil
}
