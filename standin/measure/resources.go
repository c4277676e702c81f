package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/pkg/errors"
)

const (
	resourceTime = 4 * time.Second
	// Limits of the design page for the control of one node.
	mostCPUPercent  = 2.5
	mostMemoryMB    = 128
	mostControlKBps = 27
	clockTicks      = 100 // of /proc/PID/stat in a second
	kilobyte        = 1000.0
)

// usage is what a VM has used so far.
type usage struct {
	cpu    float64 // seconds
	memory float64 // MB, resident now
	bytes  int64   // through the listeners for peers and the platform, both ways
}

// resources measures the VMs without requests and under a steady load.
func (s *session) resources(st *site) error {
	idle, err := s.usagePerSecond(st, func() error { time.Sleep(s.span(resourceTime)); return nil })
	if err != nil {
		return err
	}
	s.resourceFigures(st, "idle", idle, true)
	steady, err := s.usagePerSecond(st, func() error {
		_, err := load(s.ctx, s.serviceLoad(st.router(), st.keyed, tailShare/2, s.span(resourceTime)),
			s.serviceLoad(st.router(), st.pools[0], tailShare/2, s.span(resourceTime)))
		return err
	})
	if err != nil {
		return err
	}
	s.resourceFigures(st, "steady", steady, false)
	return nil
}

// resourceFigures reports the VM that uses the most of each resource.
func (s *session) resourceFigures(st *site, name string, perVM []usage, judged bool) {
	for _, f := range []struct {
		measure, unit string
		of            func(usage) float64
		target        float64
	}{
		{"CPU of a VM", "% of a core", func(u usage) float64 { return 100 * u.cpu }, mostCPUPercent},
		{"memory of a VM", "MB", func(u usage) float64 { return u.memory }, mostMemoryMB},
		{"bytes between VMs and platform", "KB/s a VM", func(u usage) float64 { return float64(u.bytes) / kilobyte }, mostControlKBps},
	} {
		most, sum := 0.0, 0.0
		for _, u := range perVM {
			most, sum = max(most, f.of(u)), sum+f.of(u)
		}
		figure := Figure{Section: 6, Deployment: st.name, Measure: f.measure, Case: name + ", most", Value: most, Unit: f.unit,
			Note: fmt.Sprintf("mean %s", number(sum/float64(len(perVM))))}
		if judged {
			figure.Target = limit(f.target)
		}
		s.report.add(figure)
	}
}

// usagePerSecond returns the use of each VM per second of a phase.
func (s *session) usagePerSecond(st *site, phase func() error) ([]usage, error) {
	before, err := usages(st)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := phase(); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, err := usages(st)
	if err != nil {
		return nil, err
	}
	out := make([]usage, len(after))
	for i := range after {
		out[i] = usage{cpu: (after[i].cpu - before[i].cpu) / seconds, memory: after[i].memory,
			bytes: int64(float64(after[i].bytes-before[i].bytes) / seconds)}
	}
	return out, nil
}

func usages(st *site) ([]usage, error) {
	out := make([]usage, len(st.VMs))
	for i, v := range st.VMs {
		u, err := usageOf(v)
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

func usageOf(v *cluster.VM) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.Pid()))
	if err != nil {
		return usage{}, errors.Wrapf(err, "use of %s", v.Name)
	}
	// The name in parentheses may hold spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	var ticks [2]int
	for i := range ticks {
		if ticks[i], err = strconv.Atoi(f[11+i]); err != nil { // utime and stime
			return usage{}, errors.Wrap(err, "parse stat")
		}
	}
	pages, err := strconv.Atoi(f[21])
	if err != nil {
		return usage{}, errors.Wrap(err, "parse stat")
	}
	u := usage{cpu: float64(ticks[0]+ticks[1]) / clockTicks, memory: float64(pages*os.Getpagesize()) / 1e6}
	peerUp, peerDown := v.PeerProxy.Bytes()
	platformUp, platformDown := v.PlatformProxy.Bytes()
	u.bytes = peerUp + peerDown + platformUp + platformDown
	return u, nil
}
