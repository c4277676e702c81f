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
	// Go's poller waits whole milliseconds, so an idle target holds a slot for
	// up to 1 ms longer than its service time.
	hopHeld = hopServiceTime + time.Millisecond
	// hopRate is half of what one target can serve. A group of one target has
	// the same queue with and without the router, so that the difference is the
	// router's own part.
	hopRate      = slots * float64(time.Second) / float64(hopHeld) / 2
	hopRounds    = 3
	hopDuration  = 2 * time.Second
	readyTimeout = 20 * time.Second
	// The limits apply to each hop: entry and dispatcher.
	addedP50MS = 0.3
	addedP99MS = 1.0
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
// of the machine meets all sides.
func (s *session) hopKind(c *cluster.Cluster, name string, reads float64) error {
	dispatcher, others, err := s.dispatcher(c, hopService)
	if err != nil {
		return err
	}
	sides := []struct {
		entries []string
		into    latencies
	}{
		{[]string{c.Targets[0].Direct}, newLatencies()},
		{[]string{dispatcher.Callers}, newLatencies()},
		{callerAddresses(others), newLatencies()},
	}
	if _, err := load(s.ctx, hopLoad(c.Entries(), reads, time.Second, s.opt.Seed)); err != nil {
		return err
	}
	s.busy.take()
	for round := range hopRounds {
		for _, side := range sides {
			seed := s.opt.Seed + int64(round) // the same arrivals for all sides
			runs, err := load(s.ctx, hopLoad(side.entries, reads, s.span(hopDuration), seed))
			if err != nil {
				return err
			}
			served(side.into, runs[0].results, nil)
		}
	}
	note := s.checkBusy("section 1, " + name)
	direct, near, far := sides[0].into.tail(), sides[1].into.tail(), sides[2].into.tail()
	s.hopFigures(name+": entry that dispatches", near, direct, note)
	s.hopFigures(name+": hop to the dispatcher", far, near, note)
	s.hopFigures(name+": both hops", far, direct, strings.TrimSpace(note+" "+s.hopParts(c)))
	return nil
}

// hopFigures reports what one way adds to another.
func (s *session) hopFigures(name string, with, without tail, note string) {
	for _, q := range []struct {
		name          string
		with, without float64
		target        *float64
	}{
		{"p50", with.p50, without.p50, limit(addedP50MS)},
		{"p99", with.p99, without.p99, limit(addedP99MS)},
		{"p999", with.p999, without.p999, nil},
	} {
		s.report.add(Figure{Section: 1, Deployment: "loopback", Measure: "added " + q.name, Case: name, Value: q.with - q.without,
			Unit: "ms", Target: q.target, Baselines: map[string]float64{nameDirect: q.without}, Note: note})
		note = "" // once is enough
	}
}

// dispatcher returns the VM that dispatches a group, and the others.
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
			return errors.Errorf("nobody dispatches %s", group)
		}
		return nil
	})
	return found, others, err
}

func callerAddresses(list []*cluster.VM) []string {
	var out []string
	for _, v := range list {
		out = append(out, v.Callers)
	}
	return out
}

// hopParts returns the medians of the router's own timers, which show where
// the added time is spent.
func (s *session) hopParts(c *cluster.Cluster) string {
	total := map[string]float64{}
	count := map[string]float64{}
	for _, v := range c.VMs {
		var all map[string]map[string]any
		if _, err := c.Operator(s.ctx, v, http.MethodGet, "/metrics", nil, &all); err != nil {
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
