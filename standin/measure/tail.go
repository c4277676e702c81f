package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	slowFactor   = 10.0
	tailShare    = 0.45 // of the slots in use
	tailWarm     = 700 * time.Millisecond
	tailDuration = 2 * time.Second
)

// tails measures the pools with none, one and three targets slowed.
func (s *session) tails(st *site) error {
	for _, slowed := range []int{0, 1, 3} {
		if err := s.warmPools(st); err != nil {
			return err
		}
		if err := s.slow(st, slowed, slowFactor); err != nil {
			return err
		}
		if err := s.tailCase(st, slowed); err != nil {
			return err
		}
	}
	if err := s.slow(st, 3, 1); err != nil {
		return err
	}
	return s.coldStart(st)
}

// slow sets the factor of the first targets of each pool.
func (s *session) slow(st *site, n int, factor float64) error {
	for _, p := range st.pools {
		for _, t := range st.targetsOf(p.name)[:n] {
			if err := st.TargetFaults(s.ctx, t, map[string]any{"slow_factor": factor, "seed": s.opt.Seed}); err != nil {
				return err
			}
		}
	}
	return nil
}

// tailCase compares the router with the baselines in one state of the targets.
func (s *session) tailCase(st *site, slowed int) error {
	results := map[string][]tail{} // by way and pool
	lost := map[string][]int{}
	var last []run
	s.busy.take()
	err := s.eachWay(st, st.pools, func(w way) error {
		runs, err := s.poolLoads(st, w, tailShare, s.span(tailDuration))
		if err != nil {
			return err
		}
		if w.name == "router" {
			last = runs
		}
		for _, r := range runs {
			failed, _ := unserved(r)
			results[w.name] = append(results[w.name], served(newLatencies(), r.results, afterWarm(r)).tail())
			lost[w.name] = append(lost[w.name], failed)
		}
		return nil
	})
	if err != nil {
		return err
	}
	note := s.checkBusy(fmt.Sprintf("%s, %d slowed", st.name, slowed))
	for i, p := range st.pools {
		oracle := s.oracleTail(st, last[i], factors(p.targets, slowed, slowFactor))
		refused := fmt.Sprintf("not served: router %d, static %d, round robin %d, eight limits %d", lost["router"][i],
			lost[nameStatic][i], lost[nameRoundRobin][i], lost[nameAdaptive][i])
		s.tailFigures(2, st.name, fmt.Sprintf("%s, %d slowed", p.name, slowed), results, i, &oracle, strings.TrimSpace(refused+" "+note))
	}
	return nil
}

// tailFigures adds the three quantiles of a service.
func (s *session) tailFigures(section int, deployment, name string, ways map[string][]tail, i int, oracle *tail, note string) {
	for _, q := range []struct {
		name string
		of   func(tail) float64
	}{{"p50", func(t tail) float64 { return t.p50 }}, {"p99", func(t tail) float64 { return t.p99 }},
		{"p999", func(t tail) float64 { return t.p999 }}} {
		f := Figure{Section: section, Deployment: deployment, Measure: q.name, Case: name, Value: q.of(ways["router"][i]), Unit: "ms",
			Baselines: map[string]float64{}, Note: note}
		note = ""
		for name, tails := range ways {
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

// afterWarm leaves the time out in which limits and estimates settle.
func afterWarm(r run) func(loadgen.Result) bool {
	starts := firstStart(r).Add(tailWarm)
	return func(res loadgen.Result) bool { return res.Start.After(starts) }
}

func firstStart(r run) time.Time {
	var first time.Time
	for _, res := range r.results {
		if !res.Start.IsZero() && (first.IsZero() || res.Start.Before(first)) {
			first = res.Start
		}
	}
	return first
}

// poolLoads loads all pools through their way for a time after the warm-up.
func (s *session) poolLoads(st *site, w way, share float64, d time.Duration) ([]run, error) {
	var cfgs []loadgen.Config
	for _, p := range st.pools {
		cfg := s.serviceLoad(w, p, share, tailWarm+d)
		cfgs = append(cfgs, cfg)
	}
	return load(s.ctx, cfgs...)
}
