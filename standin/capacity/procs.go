package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/pkg/errors"
)

const ticksPerSecond = 100 // unit of the times in /proc/PID/stat on Linux

// controlKinds lists the kinds of connections that carry only control traffic when
// there are no requests from callers.
var controlKinds = []string{"peer.client", "peer.server", "logclient", "targets.control"}

// sample is what one VM has used from its start to the time of the sample.
type sample struct {
	at     time.Time
	cpu    float64            // seconds
	rss    float64            // bytes, resident now
	count  map[string]float64 // counters by name
	acting bool               // whether the VM acts as manager
}

// usage is what one VM has used per second between two samples.
type usage struct {
	acting bool               // as manager, at both samples
	cpu    float64            // share of a core
	rss    float64            // bytes, at the second sample
	rate   map[string]float64 // increase of the counters per second, by name
}

// bytes returns the bytes per second of a kind of connections in both directions.
func (u usage) bytes(kind string) float64 {
	return u.rate[kind+".bytes_in"] + u.rate[kind+".bytes_out"]
}

// controlBytes returns the bytes per second of all controlKinds in both directions.
func (u usage) controlBytes() float64 {
	sum := 0.0
	for _, kind := range controlKinds {
		sum += u.bytes(kind)
	}
	return sum
}

// controlWrites returns the writes per second to connections of all controlKinds.
func (u usage) controlWrites() float64 {
	sum := 0.0
	for _, kind := range controlKinds {
		sum += u.rate[kind+".writes"]
	}
	return sum
}

// takeSample reads /proc and the metrics endpoint of a VM.
func takeSample(ctx context.Context, v *cluster.VM) (sample, error) {
	s := sample{at: time.Now(), count: map[string]float64{}}
	var err error
	if s.cpu, err = cpuTime(v.Pid()); err != nil {
		return s, err
	}
	if s.rss, err = residentBytes(v.Pid()); err != nil {
		return s, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.OperatorAddress+"/metrics", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, errors.Wrapf(err, "get the metrics of %s", v.Name)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return s, errors.Wrapf(err, "get the metrics of %s", v.Name)
	}
	var all map[string]struct {
		Count float64 `json:"count"`
		Value float64 `json:"value"`
	}
	if err := json.Unmarshal(data, &all); err != nil {
		return s, errors.Wrapf(err, "get the metrics of %s", v.Name)
	}
	for name, m := range all {
		s.count[name] = m.Count
	}
	s.acting = all["manager.acting"].Value > 0
	return s, nil
}

// cpuTime returns the user and system time of a process in seconds.
func cpuTime(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The process name, in parentheses, may contain spaces. utime and stime are
	// the 12th and 13th field after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	sum := 0.0
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read CPU time")
		}
		sum += ticks / ticksPerSecond
	}
	return sum, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), errors.Wrap(err, "read resident memory")
}

// observe returns the usage of each VM while phase runs. It is an error if another
// VM becomes the manager meanwhile.
func observe(ctx context.Context, c *cluster.Cluster, phase func() error) ([]usage, error) {
	before := make([]sample, len(c.VMs))
	var err error
	for i, v := range c.VMs {
		if before[i], err = takeSample(ctx, v); err != nil {
			return nil, err
		}
	}
	if err := phase(); err != nil {
		return nil, err
	}
	usages := make([]usage, len(c.VMs))
	for i, v := range c.VMs {
		after, err := takeSample(ctx, v)
		if err != nil {
			return nil, err
		}
		if after.acting != before[i].acting {
			return nil, errors.Errorf("the manager changed during the measurement (%s)", v.Name)
		}
		usages[i] = usageBetween(before[i], after)
	}
	return usages, nil
}

func usageBetween(before, after sample) usage {
	seconds := after.at.Sub(before.at).Seconds()
	u := usage{acting: after.acting, cpu: (after.cpu - before.cpu) / seconds, rss: after.rss, rate: map[string]float64{}}
	for name, n := range after.count {
		u.rate[name] = (n - before.count[name]) / seconds
	}
	return u
}

// splitByRole returns the usage of the VM that acts as manager and the mean usage of
// the other VMs. It is an error if there is not one manager and another VM.
func splitByRole(all []usage) (acting, other usage, err error) {
	other.rate = map[string]float64{}
	others, managers := 0.0, 0
	for _, u := range all {
		if u.acting {
			acting = u
			managers++
			continue
		}
		others++
		other.cpu, other.rss = other.cpu+u.cpu, other.rss+u.rss
		for name, n := range u.rate {
			other.rate[name] += n
		}
	}
	if managers != 1 || others == 0 {
		return acting, other, errors.Errorf("want one manager and other VMs, found %d managers and %g other VMs", managers, others)
	}
	other.cpu, other.rss = other.cpu/others, other.rss/others
	for name := range other.rate {
		other.rate[name] /= others
	}
	return acting, other, nil
}
