package capacity

import (
	"context"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
)

const loadDuration = 5 * time.Second

// loadDeployment is the deployment that serves the requests. Its targets respond
// without a delay, so that only the VMs are measured.
var loadDeployment = deployment{vms: 8, shards: 256, targets: 12}

// Load measures what requests cost the VMs at several rates: reads, and writes with
// an idempotency key, whose write intent is copied to two VMs.
func (r *Report) Load(ctx context.Context) error {
	return runCluster(ctx, loadDeployment, func(c *cluster.Cluster) error {
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

// load measures one rate, in requests per second. It is an error if less than 95% of
// the requests are served.
func (r *Report) load(ctx context.Context, c *cluster.Cluster, name string, reads, rate float64) error {
	var report loadgen.Report
	usages, err := observe(ctx, c, func() (err error) {
		report, err = loadgen.Run(ctx, loadgen.Config{
			Entries: c.Entries(), Duration: loadDuration, Rate: rate, ReadRatio: reads, Keys: 5000, Seed: 1, AnswerBytes: 200,
			ReadPath: "/" + service + "/{key}", WritePath: "/" + service + "/{key}",
		})
		return err
	})
	if err != nil {
		return err
	}
	if report.Served < report.Requests*95/100 {
		return errors.Errorf("only %d of %d requests were served at %g requests per second: %+v", report.Served, report.Requests, rate, report.Outcomes)
	}
	cpu, peer, target := 0.0, 0.0, 0.0
	for _, u := range usages {
		cpu += u.cpu
		peer += u.bytes("peer.client")
		target += u.bytes("targets.requests")
	}
	served := float64(report.Served) / report.Seconds
	fixed := loadDeployment.String()
	r.add("load."+name+".cpu", "request/s", "% of a core, all VMs", fixed, served, 100*cpu)
	r.add("load."+name+".peer_bytes", "request/s", "bytes/s, all VMs", fixed, served, peer)
	r.add("load."+name+".target_bytes", "request/s", "bytes/s, all VMs", fixed, served, target)
	r.add("load."+name+".latency_p50", "request/s", "ms", fixed, served, report.Latency.P50)
	r.add("load."+name+".latency_p99", "request/s", "ms", fixed, served, report.Latency.P99)
	return nil
}
