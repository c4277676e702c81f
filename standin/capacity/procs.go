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

// ticksPerSecond is the unit of the times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// The kinds of connections that carry control when no caller sends anything.
var controlKinds = []string{"peer.client", "peer.server", "logclient", "targets.control"}

// sample is what one VM has used since its start.
type sample struct {
	at     time.Time
	cpu    float64 // seconds
	rss    float64 // bytes
	count  map[string]float64
	acting bool
}

// use is what one VM uses per second.
type use struct {
	acting bool
	cpu    float64            // share of a core
	rss    float64            // bytes
	rate   map[string]float64 // counters by name
}

func (u use) bytes(kind string) float64 { return u.rate[kind+".bytes_in"] + u.rate[kind+".bytes_out"] }

// control is the bytes of all control connections.
func (u use) control() float64 {
	sum := 0.0
	for _, kind := range controlKinds {
		sum += u.bytes(kind)
	}
	return sum
}

func (u use) calls() float64 {
	sum := 0.0
	for _, kind := range controlKinds {
		sum += u.rate[kind+".writes"]
	}
	return sum
}

func take(ctx context.Context, v *cluster.VM) (sample, error) {
	s := sample{at: time.Now(), count: map[string]float64{}}
	var err error
	if s.cpu, err = processorTime(v.Pid()); err != nil {
		return s, err
	}
	if s.rss, err = residentBytes(v.Pid()); err != nil {
		return s, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operators+"/metrics", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, errors.Wrapf(err, "metrics of %s", v.Name)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return s, errors.Wrapf(err, "metrics of %s", v.Name)
	}
	var all map[string]struct {
		Count float64 `json:"count"`
		Value float64 `json:"value"`
	}
	if err := json.Unmarshal(data, &all); err != nil {
		return s, errors.Wrapf(err, "metrics of %s", v.Name)
	}
	for name, m := range all {
		s.count[name] = m.Count
	}
	s.acting = all["manager.acting"].Value > 0
	return s, nil
}

// processorTime returns the user and system time of a process in seconds.
func processorTime(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	// The name, in parentheses, may hold spaces; utime and stime are the 12th
	// and 13th field after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	sum := 0.0
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		sum += ticks / ticksPerSecond
	}
	return sum, nil
}

func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "resident memory")
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), errors.Wrap(err, "resident memory")
}

// observe measures all VMs while f runs.
func observe(ctx context.Context, c *cluster.Cluster, f func() error) ([]use, error) {
	before := make([]sample, len(c.VMs))
	var err error
	for i, v := range c.VMs {
		if before[i], err = take(ctx, v); err != nil {
			return nil, err
		}
	}
	if err := f(); err != nil {
		return nil, err
	}
	out := make([]use, len(c.VMs))
	for i, v := range c.VMs {
		after, err := take(ctx, v)
		if err != nil {
			return nil, err
		}
		if after.acting != before[i].acting {
			return nil, errors.Errorf("the manager changed during the measurement (%s)", v.Name)
		}
		out[i] = difference(before[i], after)
	}
	return out, nil
}

func difference(before, after sample) use {
	seconds := after.at.Sub(before.at).Seconds()
	u := use{acting: after.acting, cpu: (after.cpu - before.cpu) / seconds, rss: after.rss, rate: map[string]float64{}}
	for name, n := range after.count {
		u.rate[name] = (n - before.count[name]) / seconds
	}
	return u
}

// roles returns the manager's use and the mean of the others.
func roles(all []use) (acting, other use, err error) {
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
		return acting, other, errors.Errorf("%d managers and %g other VMs", managers, others)
	}
	other.cpu, other.rss = other.cpu/others, other.rss/others
	for name := range other.rate {
		other.rate[name] /= others
	}
	return acting, other, nil
}
