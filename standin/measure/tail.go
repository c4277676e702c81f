package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	slowFactor   = 10.0
	tailLoad     = 0.45 // share of the slots in use
	tailWarmUp   = 700 * time.Millisecond
	tailDuration = 2 * time.Second
)

// tails measures the latency quantiles of the pools with none, one and three targets
// slowed down, and then a cold start.
func (s *session) tails(tb *testbed) error {
	for _, slowed := range []int{0, 1, 3} {
		if err := s.warmPools(tb); err != nil {
			return err
		}
		if err := s.setSlowFactor(tb, slowed, slowFactor); err != nil {
			return err
		}
		if err := s.tailCase(tb, slowed); err != nil {
			return err
		}
	}
	if err := s.setSlowFactor(tb, 3, 1); err != nil {
		return err
	}
	return s.coldStart(tb)
}

// setSlowFactor sets the service time factor of the first n targets of each pool.
func (s *session) setSlowFactor(tb *testbed, n int, factor float64) error {
	for _, p := range tb.pools {
		for _, t := range tb.targetsOf(p.name)[:n] {
			if err := tb.TargetFaults(s.ctx, t, map[string]any{"slow_factor": factor, "seed": s.opt.Seed}); err != nil {
				return err
			}
		}
	}
	return nil
}

// tailCase compares the router with the baselines while a number of targets in each
// pool are slow.
func (s *session) tailCase(tb *testbed, slowed int) error {
	results := map[string][]quantiles{} // by front end and pool
	unserved := map[string][]int{}
	var routerRuns []loadResult
	s.wakeups.takeP99()
	err := s.forEachFrontEnd(tb, tb.pools, func(fe frontEnd) error {
		runs, err := s.loadPools(tb, fe, tailLoad, s.scaleDuration(tailDuration))
		if err != nil {
			return err
		}
		if fe.name == "router" {
			routerRuns = runs
		}
		for _, r := range runs {
			failed, _ := countUnserved(r)
			results[fe.name] = append(results[fe.name], addServed(newLatencies(), r.results, afterWarmUp(r)).quantiles())
			unserved[fe.name] = append(unserved[fe.name], failed)
		}
		return nil
	})
	if err != nil {
		return err
	}
	note := s.checkWakeupDelay(fmt.Sprintf("%s, %d slowed", tb.name, slowed))
	for i, p := range tb.pools {
		oracle := s.oracleTail(tb, routerRuns[i], factors(p.targets, slowed, slowFactor))
		unservedNote := fmt.Sprintf("not served: router %d, static %d, round robin %d, eight limits %d", unserved["router"][i],
			unserved[nameStatic][i], unserved[nameRoundRobin][i], unserved[nameAdaptive][i])
		s.tailFigures(2, tb.name, fmt.Sprintf("%s, %d slowed", p.name, slowed), results, i, &oracle, strings.TrimSpace(unservedNote+" "+note))
	}
	return nil
}

// tailFigures adds p50, p99 and p999 to the report. i is the index of the service in
// the values of byFrontEnd. A nil oracle is left out.
func (s *session) tailFigures(section int, deployment, name string, byFrontEnd map[string][]quantiles, i int, oracle *quantiles, note string) {
	for _, q := range []struct {
		name string
		of   func(quantiles) float64
	}{{"p50", func(t quantiles) float64 { return t.p50 }}, {"p99", func(t quantiles) float64 { return t.p99 }},
		{"p999", func(t quantiles) float64 { return t.p999 }}} {
		f := Figure{Section: section, Deployment: deployment, Measure: q.name, Case: name, Value: q.of(byFrontEnd["router"][i]), Unit: "ms",
			Baselines: map[string]float64{}, Note: note}
		note = ""
		for name, tails := range byFrontEnd {
			if name != "router" {
				f.Baselines[name] = q.of(tails[i])
			}
		}
		if oracle != nil {
			f.Baselines[nameOracle] = q.of(*oracle)
		}
		s.report.add(f)
	}
}

// afterWarmUp returns a filter that leaves out the requests of the first tailWarmUp,
// during which adaptive limits and service time estimates converge.
func afterWarmUp(r loadResult) func(loadgen.Result) bool {
	warmUpEnd := firstStart(r).Add(tailWarmUp)
	return func(res loadgen.Result) bool { return res.Start.After(warmUpEnd) }
}

func firstStart(r loadResult) time.Time {
	var first time.Time
	for _, res := range r.results {
		if !res.Start.IsZero() && (first.IsZero() || res.Start.Before(first)) {
			first = res.Start
		}
	}
	return first
}

// loadPools runs a load through a front end that keeps a share of the slots of every
// pool busy, for the warm-up time and d.
func (s *session) loadPools(tb *testbed, fe frontEnd, share float64, d time.Duration) ([]loadResult, error) {
	var cfgs []loadgen.Config
	for _, p := range tb.pools {
		cfg := s.serviceLoad(fe, p, share, tailWarmUp+d)
		cfgs = append(cfgs, cfg)
	}
	return load(s.ctx, cfgs...)
}
