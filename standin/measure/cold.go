package measure

import (
	"fmt"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"golang.org/x/sync/errgroup"
)

const (
	coldBefore = 1000 * time.Millisecond // of load before the restart
	warmShare  = 0.15                    // is below what cold targets can serve
	coldAfter  = 3 * time.Second
	// A data centre bears its full load again when its targets serve this
	// share of what they served before, over one window.
	fullShare  = 0.9
	fullWindow = 500 * time.Millisecond
)

// coldResult is what a cold start of a data centre did.
type coldResult struct {
	fell, lost int
	full       time.Duration
	recovered  bool
}

// coldStart restarts all pool targets of one data centre at once, under load.
func (s *session) coldStart(st *site) error {
	results := map[string]coldResult{}
	s.busy.take()
	err := s.eachWay(st, st.pools, func(w way) error {
		if err := s.warmPools(st); err != nil {
			return err
		}
		var err error
		results[w.name], err = s.coldRun(st, w)
		return err
	})
	if err != nil {
		return err
	}
	note := s.checkBusy(st.name + ", cold start")
	if err := s.warmPools(st); err != nil {
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
		{"targets fallen over", "targets", func(r coldResult) float64 { return float64(r.fell) }, limit(0)},
		{"requests not served", "requests", func(r coldResult) float64 { return float64(r.lost) }, nil},
		{"time to full load", "s", func(r coldResult) float64 { return r.full.Seconds() }, nil},
	} {
		figure := Figure{Section: 2, Deployment: st.name, Measure: f.name, Case: "cold start of " + st.dataCentres[0], Unit: f.unit,
			Value: f.of(router), Target: f.target, Baselines: map[string]float64{}, Note: note}
		note = ""
		for _, p := range policies {
			figure.Baselines[p.name] = f.of(results[p.name])
		}
		s.report.add(figure)
	}
	return nil
}

// warmPools restarts pool targets that fell over and warms all of them through
// the router.
func (s *session) warmPools(st *site) error {
	for _, p := range st.pools {
		for _, t := range st.targetsOf(p.name) {
			stats, err := st.Stats(s.ctx, t)
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
	_, err := s.poolLoads(st, st.router(), warmShare, time.Second)
	return err
}

func restart(t *cluster.Target) error {
	if err := t.Kill(); err != nil {
		return err
	}
	return t.Restart()
}

func (s *session) coldRun(st *site, w way) (coldResult, error) {
	var group errgroup.Group
	var restarted time.Time
	group.Go(func() error {
		time.Sleep(tailWarm + coldBefore)
		restarted = time.Now()
		var each errgroup.Group
		for _, t := range st.poolTargets(st.dataCentres[0]) {
			each.Go(func() error { return restart(t) })
		}
		return each.Wait()
	})
	runs, err := s.poolLoads(st, w, tailShare, coldBefore+coldAfter)
	if err != nil {
		return coldResult{}, err
	}
	if err := group.Wait(); err != nil {
		return coldResult{}, err
	}
	var out coldResult
	var all []loadgen.Result
	for _, r := range runs {
		failed, _ := unserved(r)
		out.lost += failed
		all = append(all, r.results...)
	}
	for _, t := range st.poolTargets(st.dataCentres[0]) {
		stats, err := st.Stats(s.ctx, t)
		if err != nil {
			return out, fmt.Errorf("after the cold start: %w", err)
		}
		if stats.FellOver {
			out.fell++
		}
	}
	out.full, out.recovered = fullLoad(all, st.names(st.dataCentres[0]), restarted)
	return out, nil
}

func (st *site) poolTargets(dataCentre string) []*cluster.Target {
	var out []*cluster.Target
	for _, t := range st.Targets {
		if t.Service != st.keyed.name && t.DataCentre == dataCentre {
			out = append(out, t)
		}
	}
	return out
}

func (st *site) names(dataCentre string) map[string]bool {
	out := map[string]bool{}
	for _, t := range st.poolTargets(dataCentre) {
		out[t.Name] = true
	}
	return out
}

// fullLoad returns the time from the restart to the end of the first window in
// which the targets serve fullShare of their former load.
func fullLoad(results []loadgen.Result, targets map[string]bool, restarted time.Time) (time.Duration, bool) {
	before := restarted.Add(-coldBefore)
	count := func(from, to time.Time) (n int) {
		for _, r := range results {
			if r.Served && targets[r.Target] && r.End.After(from) && !r.End.After(to) {
				n++
			}
		}
		return n
	}
	wanted := fullShare * float64(count(before, restarted)) * fullWindow.Seconds() / coldBefore.Seconds()
	if wanted == 0 {
		return coldAfter, false // they had fallen over before the restart
	}
	const step = 50 * time.Millisecond
	for after := fullWindow; after <= coldAfter; after += step {
		if float64(count(restarted.Add(after-fullWindow), restarted.Add(after))) >= wanted {
			return after, true
		}
	}
	return coldAfter, false
}
