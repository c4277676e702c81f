package measure

import (
	"fmt"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"golang.org/x/sync/errgroup"
)

const (
	coldLoadBefore = 1000 * time.Millisecond // of measured load before the restart
	warmUpLoad     = 0.15                    // share of the slots in use, below what cold targets can serve
	coldLoadAfter  = 3 * time.Second         // of load after the restart
	// A data centre has recovered when its targets serve this share of the
	// request rate before the restart, over one window.
	recoveredShare = 0.9
	recoveryWindow = 500 * time.Millisecond
)

// coldResult is the effect of a cold start of a data centre.
type coldResult struct {
	fellOver, unserved int           // targets, requests
	fullLoadAfter      time.Duration // coldLoadAfter if not recovered
	recovered          bool
}

// coldStart compares the router with the baselines when all pool targets of one data
// centre restart at once under load.
func (s *session) coldStart(tb *testbed) error {
	results := map[string]coldResult{}
	s.wakeups.takeP99()
	err := s.forEachFrontEnd(tb, tb.pools, func(fe frontEnd) error {
		if err := s.warmPools(tb); err != nil {
			return err
		}
		var err error
		results[fe.name], err = s.coldStartRun(tb, fe)
		return err
	})
	if err != nil {
		return err
	}
	note := s.checkWakeupDelay(tb.name + ", cold start")
	if err := s.warmPools(tb); err != nil {
		return err
	}
	router := results["router"]
	if !router.recovered {
		note += " the router did not come back to full load"
	}
	for _, f := range []struct {
		name, unit string
		of         func(coldResult) float64
		target     *float64
	}{
		{"targets fallen over", "targets", func(r coldResult) float64 { return float64(r.fellOver) }, targetValue(0)},
		{"requests not served", "requests", func(r coldResult) float64 { return float64(r.unserved) }, nil},
		{"time to full load", "s", func(r coldResult) float64 { return r.fullLoadAfter.Seconds() }, nil},
	} {
		figure := Figure{Section: 2, Deployment: tb.name, Measure: f.name, Case: "cold start of " + tb.dataCentres[0], Unit: f.unit,
			Value: f.of(router), Target: f.target, Baselines: map[string]float64{}, Note: note}
		note = ""
		for _, p := range baselinePolicies {
			figure.Baselines[p.name] = f.of(results[p.name])
		}
		s.report.add(figure)
	}
	return nil
}

// warmPools restarts the pool targets that fell over, and then warms up all pool
// targets with requests through the router.
func (s *session) warmPools(tb *testbed) error {
	for _, p := range tb.pools {
		for _, t := range tb.targetsOf(p.name) {
			stats, err := tb.Stats(s.ctx, t)
			if err != nil {
				return err
			}
			if !stats.FellOver {
				continue
			}
			if err := restart(t); err != nil {
				return err
			}
		}
	}
	_, err := s.loadPools(tb, tb.router(), warmUpLoad, time.Second)
	return err
}

func restart(t *cluster.Target) error {
	if err := t.Kill(); err != nil {
		return err
	}
	return t.Restart()
}

// coldStartRun restarts the pool targets of the first data centre during a load
// through one front end.
func (s *session) coldStartRun(tb *testbed, fe frontEnd) (coldResult, error) {
	var group errgroup.Group
	var restarted time.Time
	group.Go(func() error {
		time.Sleep(tailWarmUp + coldLoadBefore)
		restarted = time.Now()
		var restarts errgroup.Group
		for _, t := range tb.poolTargets(tb.dataCentres[0]) {
			restarts.Go(func() error { return restart(t) })
		}
		return restarts.Wait()
	})
	runs, err := s.loadPools(tb, fe, tailLoad, coldLoadBefore+coldLoadAfter)
	if err != nil {
		return coldResult{}, err
	}
	if err := group.Wait(); err != nil {
		return coldResult{}, err
	}
	var out coldResult
	var all []loadgen.Result
	for _, r := range runs {
		failed, _ := countUnserved(r)
		out.unserved += failed
		all = append(all, r.results...)
	}
	for _, t := range tb.poolTargets(tb.dataCentres[0]) {
		stats, err := tb.Stats(s.ctx, t)
		if err != nil {
			return out, fmt.Errorf("read the target statistics after the cold start: %w", err)
		}
		if stats.FellOver {
			out.fellOver++
		}
	}
	out.fullLoadAfter, out.recovered = timeToFullLoad(all, tb.poolTargetNames(tb.dataCentres[0]), restarted)
	return out, nil
}

func (tb *testbed) poolTargets(dataCentre string) []*cluster.Target {
	var out []*cluster.Target
	for _, t := range tb.Targets {
		if t.Service != tb.keyed.name && t.DataCentre == dataCentre {
			out = append(out, t)
		}
	}
	return out
}

func (tb *testbed) poolTargetNames(dataCentre string) map[string]bool {
	out := map[string]bool{}
	for _, t := range tb.poolTargets(dataCentre) {
		out[t.Name] = true
	}
	return out
}

// timeToFullLoad returns the time from the restart to the end of the first window in
// which the targets serve recoveredShare of the request rate before the restart. If
// there is no such window, it returns coldLoadAfter and false.
func timeToFullLoad(results []loadgen.Result, targets map[string]bool, restarted time.Time) (time.Duration, bool) {
	before := restarted.Add(-coldLoadBefore)
	count := func(from, to time.Time) (n int) {
		for _, r := range results {
			if r.Served && targets[r.Target] && r.End.After(from) && !r.End.After(to) {
				n++
			}
		}
		return n
	}
	required := recoveredShare * float64(count(before, restarted)) * recoveryWindow.Seconds() / coldLoadBefore.Seconds()
	if required == 0 {
		return coldLoadAfter, false // the targets served nothing before the restart
	}
	const step = 50 * time.Millisecond
	for after := recoveryWindow; after <= coldLoadAfter; after += step {
		if float64(count(restarted.Add(after-recoveryWindow), restarted.Add(after))) >= required {
			return after, true
		}
	}
	return coldLoadAfter, false
}
