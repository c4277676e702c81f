package measure

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
)

const (
	hopService     = "single"
	hopServiceTime = 5 * time.Millisecond
	// Go's network poller waits in whole milliseconds, so a request occupies a
	// slot of an idle target for up to 1 ms longer than its service time.
	hopSlotTime = hopServiceTime + time.Millisecond
	// hopRate, in requests per second, is half of what one target can serve. In
	// front of a single target the queue is the same with and without the router,
	// so the difference of the latencies is what the router itself adds.
	hopRate      = slots * float64(time.Second) / float64(hopSlotTime) / 2
	hopRounds    = 3
	hopDuration  = 2 * time.Second
	readyTimeout = 20 * time.Second
	// Limits of the latency that a hop adds. The hops are the VM that receives the
	// request and the VM that dispatches it.
	maxAddedP50MS = 0.3
	maxAddedP99MS = 1.0
)

// hop measures the latency that the router adds, without network delays.
func (s *session) hop() error {
	s.progress("starting one target without delays")
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
		if err := s.hopForKind(c, kind.name, kind.reads); err != nil {
			return err
		}
	}
	return nil
}

// hopForKind measures three paths: directly to the target, through the dispatcher,
// and through the other VMs. It alternates between them, so that other load on the
// machine affects all alike.
func (s *session) hopForKind(c *cluster.Cluster, name string, reads float64) error {
	dispatcher, others, err := s.dispatcher(c, hopService)
	if err != nil {
		return err
	}
	paths := []struct {
		entries   []string
		latencies latencies
	}{
		{[]string{c.Targets[0].DirectAddress}, newLatencies()},
		{[]string{dispatcher.CallerAddress}, newLatencies()},
		{callerAddresses(others), newLatencies()},
	}
	if _, err := load(s.ctx, hopLoad(c.Entries(), reads, time.Second, s.opt.Seed)); err != nil {
		return err
	}
	s.wakeups.takeP99()
	for round := range hopRounds {
		for _, path := range paths {
			seed := s.opt.Seed + int64(round) // the same arrivals on all paths
			runs, err := load(s.ctx, hopLoad(path.entries, reads, s.scaleDuration(hopDuration), seed))
			if err != nil {
				return err
			}
			addServed(path.latencies, runs[0].results, nil)
		}
	}
	note := s.checkWakeupDelay("section 1, " + name)
	direct, viaDispatcher, viaOther := paths[0].latencies.quantiles(), paths[1].latencies.quantiles(), paths[2].latencies.quantiles()
	s.hopFigures(name+": entry that dispatches", viaDispatcher, direct, note)
	s.hopFigures(name+": hop to the dispatcher", viaOther, viaDispatcher, note)
	s.hopFigures(name+": both hops", viaOther, direct, strings.TrimSpace(note+" "+s.routerTimers(c)))
	return nil
}

// hopFigures reports the difference between the latencies of two paths.
func (s *session) hopFigures(name string, with, without quantiles, note string) {
	for _, q := range []struct {
		name          string
		with, without float64
		target        *float64
	}{
		{"p50", with.p50, without.p50, targetValue(maxAddedP50MS)},
		{"p99", with.p99, without.p99, targetValue(maxAddedP99MS)},
		{"p999", with.p999, without.p999, nil},
	} {
		s.report.add(Figure{Section: 1, Deployment: "loopback", Measure: "added " + q.name, Case: name, Value: q.with - q.without,
			Unit: "ms", Target: q.target, Baselines: map[string]float64{nameDirect: q.without}, Note: note})
		note = "" // only the first figure carries the note
	}
}

// dispatcher returns the VM that is the dispatcher of a group, and all other running
// VMs. It waits until the group has a dispatcher.
func (s *session) dispatcher(c *cluster.Cluster, group string) (found *cluster.VM, others []*cluster.VM, err error) {
	err = cluster.Wait(readyTimeout, func() error {
		found, others = nil, nil
		for _, v := range c.VMs {
			if !v.Alive() {
				continue
			}
			status, err := c.Status(s.ctx, v)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(status.VMs, func(o admin.VMStatus) bool { return o.VM == v.Name })
			if i >= 0 && slices.Contains(status.VMs[i].Dispatches, group) {
				found = v
			} else {
				others = append(others, v)
			}
		}
		if found == nil {
			return errors.Errorf("no VM dispatches group %s", group)
		}
		return nil
	})
	return found, others, err
}

func callerAddresses(list []*cluster.VM) []string {
	var out []string
	for _, v := range list {
		out = append(out, v.CallerAddress)
	}
	return out
}

// routerTimers returns the medians of the router's timers as text, each averaged over
// the VMs by their counts. They show which part of the router adds the latency.
func (s *session) routerTimers(c *cluster.Cluster) string {
	total := map[string]float64{}
	count := map[string]float64{}
	for _, v := range c.VMs {
		var all map[string]map[string]any
		if _, err := c.CallOperatorAPI(s.ctx, v, http.MethodGet, "/metrics", nil, &all); err != nil {
			return "no metrics: " + err.Error()
		}
		for _, name := range []string{"callers.latency", "dispatch.queue_time", "dispatch.service_time"} {
			n, _ := all[name]["count"].(float64)
			median, _ := all[name]["median"].(float64)
			total[name] += n * median / 1e6
			count[name] += n
		}
	}
	text := "medians at the VMs:"
	for _, name := range slices.Sorted(maps.Keys(total)) {
		text += fmt.Sprintf(" %s %.3f ms", name, total[name]/max(count[name], 1))
	}
	return text
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
