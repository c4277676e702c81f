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
	// Limits from the design page for the control plane on one VM, without requests.
	maxCPUPercent       = 2.5
	maxMemoryMB         = 128
	maxControlKBps      = 27
	clockTicksPerSecond = 100 // unit of the times in /proc/PID/stat
	kilobyte            = 1000.0
)

// usage is what a VM has used since its start, or has used per second.
type usage struct {
	cpu    float64 // seconds
	memory float64 // MB, resident now
	bytes  int64   // through the proxies of its peer listener and of the platform, both directions
}

// resources measures the resource use of the VMs without requests, which it compares
// with the limits, and under a steady load.
func (s *session) resources(tb *testbed) error {
	idle, err := s.usagePerSecond(tb, func() error { time.Sleep(s.scaleDuration(resourceTime)); return nil })
	if err != nil {
		return err
	}
	s.resourceFigures(tb, "idle", idle, true)
	steady, err := s.usagePerSecond(tb, func() error {
		_, err := load(s.ctx, s.serviceLoad(tb.router(), tb.keyed, tailLoad/2, s.scaleDuration(resourceTime)),
			s.serviceLoad(tb.router(), tb.pools[0], tailLoad/2, s.scaleDuration(resourceTime)))
		return err
	})
	if err != nil {
		return err
	}
	s.resourceFigures(tb, "steady", steady, false)
	return nil
}

// resourceFigures reports for each resource the VM that uses most of it. With
// compare, the limit is the target value.
func (s *session) resourceFigures(tb *testbed, name string, perVM []usage, compare bool) {
	for _, f := range []struct {
		measure, unit string
		of            func(usage) float64
		target        float64
	}{
		{"CPU of a VM", "% of a core", func(u usage) float64 { return 100 * u.cpu }, maxCPUPercent},
		{"memory of a VM", "MB", func(u usage) float64 { return u.memory }, maxMemoryMB},
		{"bytes between VMs and platform", "KB/s a VM", func(u usage) float64 { return float64(u.bytes) / kilobyte }, maxControlKBps},
	} {
		most, sum := 0.0, 0.0
		for _, u := range perVM {
			most, sum = max(most, f.of(u)), sum+f.of(u)
		}
		figure := Figure{Section: 6, Deployment: tb.name, Measure: f.measure, Case: name + ", most", Value: most, Unit: f.unit,
			Note: fmt.Sprintf("mean %s", formatValue(sum/float64(len(perVM))))}
		if compare {
			figure.Target = targetValue(f.target)
		}
		s.report.add(figure)
	}
}

// usagePerSecond returns the CPU seconds and bytes that each VM uses per second of
// phase, and its memory at the end.
func (s *session) usagePerSecond(tb *testbed, phase func() error) ([]usage, error) {
	before, err := currentUsage(tb)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := phase(); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, err := currentUsage(tb)
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

func currentUsage(tb *testbed) ([]usage, error) {
	out := make([]usage, len(tb.VMs))
	for i, v := range tb.VMs {
		u, err := usageOf(v)
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// usageOf reads the CPU time and memory from /proc and the bytes from the proxies.
func usageOf(v *cluster.VM) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.Pid()))
	if err != nil {
		return usage{}, errors.Wrapf(err, "read the resource use of %s", v.Name)
	}
	// The process name, in parentheses, may contain spaces.
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
	u := usage{cpu: float64(ticks[0]+ticks[1]) / clockTicksPerSecond, memory: float64(pages*os.Getpagesize()) / 1e6}
	peerUp, peerDown := v.PeerProxy.Bytes()
	platformUp, platformDown := v.PlatformProxy.Bytes()
	u.bytes = peerUp + peerDown + platformUp + platformDown
	return u, nil
}
