package measure

import (
	"fmt"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	steadyLoad = 0.3 // share of the slots in use
	hotKeys    = 10
	hotShare   = 0.3 // share of requests that go to hot keys
	// hotKeyInterval is the time after which other keys become hot. In production
	// this is a few minutes.
	hotKeyInterval = time.Second
	burstLoad      = 0.8 // share of the slots in use
)

// workloads compares the router with the baselines under three workloads.
func (s *session) workloads(tb *testbed) error {
	for _, w := range []struct {
		name   string
		svc    service
		share  float64
		change func(*loadgen.Config)
	}{
		{"steady", tb.keyed, steadyLoad, func(*loadgen.Config) {}},
		{"hot keys that move", tb.keyed, steadyLoad, func(c *loadgen.Config) {
			c.HotKeys, c.HotShare, c.HotInterval = hotKeys, hotShare, hotKeyInterval
		}},
		{"month-end writes with keys", tb.pools[0], burstLoad, func(c *loadgen.Config) { c.ReadRatio, c.Repeats = 0, 2 }},
	} {
		if err := s.workload(tb, w.name, w.svc, w.share, w.change); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) workload(tb *testbed, name string, svc service, share float64, change func(*loadgen.Config)) error {
	tails, unserved := map[string][]quantiles{}, map[string]int{}
	var routerRun loadResult
	s.wakeups.takeP99()
	err := s.forEachFrontEnd(tb, []service{svc}, func(fe frontEnd) error {
		cfg := s.serviceLoad(fe, svc, share, tailWarmUp+s.scaleDuration(tailDuration))
		change(&cfg)
		runs, err := load(s.ctx, cfg)
		if err != nil {
			return err
		}
		if fe.name == "router" {
			routerRun = runs[0]
		}
		tails[fe.name] = []quantiles{addServed(newLatencies(), runs[0].results, afterWarmUp(runs[0])).quantiles()}
		unserved[fe.name], _ = countUnserved(runs[0])
		return nil
	})
	if err != nil {
		return err
	}
	note := fmt.Sprintf("not served: router %d, static %d, round robin %d, eight limits %d; %s", unserved["router"], unserved[nameStatic],
		unserved[nameRoundRobin], unserved[nameAdaptive], s.checkWakeupDelay(tb.name+", "+name))
	oracle := s.oracleTail(tb, routerRun, factors(svc.targets, 0, 1))
	s.tailFigures(5, tb.name, name+", "+svc.name, tails, 0, &oracle, note)
	return nil
}
