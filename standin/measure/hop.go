package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	hopService     = "single"
	hopServiceTime = 2 * time.Millisecond
	hopSlots       = 3
	// hopRate is half of what one target of 3 slots and 2 ms can serve. A group
	// of one target has the same queue with and without the router, so that
	// the difference is the router's own part.
	hopRate     = hopSlots * 1000 / 2 / 2
	hopRounds   = 4
	hopDuration = 3 * time.Second
	addedP50MS  = 0.3
	addedP99MS  = 1.0
)

// hop measures what the router adds, without delays.
func (s *session) hop() error {
	s.say("starting one target without delays")
	dir, err := s.subdir("hop")
	if err != nil {
		return err
	}
	c, err := cluster.Start(s.ctx, cluster.Config{
		Dir: dir, Binaries: s.binaries, DataCentres: deployments[0].dataCentres, VMs: vms,
		Services: []cluster.Service{{Name: hopService, Ownership: inventory.OwnershipPool, Targets: 1,
			TargetArgs: []string{"--service-time", hopServiceTime.String()}}},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	for _, kind := range []struct {
		name  string
		reads float64
	}{{"reads", 1}, {"writes with idempotency key", 0}} {
		if err := s.hopKind(c, kind.name, kind.reads); err != nil {
			return err
		}
	}
	return nil
}

// hopKind alternates rounds with and without the router, so that other load
// of the machine meets both.
func (s *session) hopKind(c *cluster.Cluster, name string, reads float64) error {
	direct, routed := newLatencies(), newLatencies()
	warm := hopLoad(c.Entries(), reads, time.Second, s.opt.Seed)
	if _, err := load(s.ctx, warm); err != nil {
		return err
	}
	s.busy.take()
	for round := range hopRounds {
		seed := s.opt.Seed + int64(round) // the same arrivals for both
		for _, side := range []struct {
			entries []string
			into    latencies
		}{{[]string{c.Targets[0].Direct}, direct}, {c.Entries(), routed}} {
			runs, err := load(s.ctx, hopLoad(side.entries, reads, s.span(hopDuration), seed))
			if err != nil {
				return err
			}
			served(side.into, runs[0].results, nil)
		}
	}
	note := s.checkBusy("section 1, " + name)
	d, r := direct.tail(), routed.tail()
	for _, q := range []struct {
		name          string
		direct, route float64
		target        *float64
	}{{"p50", d.p50, r.p50, limit(addedP50MS)}, {"p99", d.p99, r.p99, limit(addedP99MS)}, {"p999", d.p999, r.p999, nil}} {
		s.report.add(Figure{Section: 1, Deployment: "loopback", Measure: "added " + q.name, Case: name, Value: q.route - q.direct,
			Unit: "ms", Target: q.target, Baselines: map[string]float64{nameDirect: q.direct},
			Note: fmt.Sprintf("through the router %.3f ms %s", q.route, note)})
	}
	return nil
}

func hopLoad(entries []string, reads float64, d time.Duration, seed int64) loadgen.Config {
	path := "/" + hopService + "/{key}"
	return loadgen.Config{Entries: entries, Duration: d, Rate: hopRate, ReadRatio: reads, ReadPath: path, WritePath: path,
		Keys: 1000, Seed: seed}
}

func (s *session) subdir(name string) (string, error) {
	dir := filepath.Join(s.dir, name)
	return dir, os.Mkdir(dir, 0o755)
}
