package measure

import (
	"fmt"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	steadyShare = 0.3
	hotKeys     = 10
	hotShare    = 0.3
	// hotMoves stands for a few minutes.
	hotMoves   = time.Second
	burstShare = 0.8
)

// workloads compares the router with the baselines under three workloads.
func (s *session) workloads(st *site) error {
	for _, w := range []struct {
		name   string
		svc    service
		share  float64
		change func(*loadgen.Config)
	}{
		{"steady", st.keyed, steadyShare, func(*loadgen.Config) {}},
		{"hot keys that move", st.keyed, steadyShare, func(c *loadgen.Config) {
			c.HotKeys, c.HotShare, c.HotInterval = hotKeys, hotShare, hotMoves
		}},
		{"month-end writes with keys", st.pools[0], burstShare, func(c *loadgen.Config) { c.ReadRatio, c.Repeats = 0, 2 }},
	} {
		if err := s.workload(st, w.name, w.svc, w.share, w.change); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) workload(st *site, name string, svc service, share float64, change func(*loadgen.Config)) error {
	tails, lost := map[string][]tail{}, map[string]int{}
	var routed run
	s.busy.take()
	err := s.eachWay(st, []service{svc}, func(w way) error {
		cfg := s.serviceLoad(w, svc, share, tailWarm+s.span(tailDuration))
		change(&cfg)
		runs, err := load(s.ctx, cfg)
		if err != nil {
			return err
		}
		if w.name == "router" {
			routed = runs[0]
		}
		tails[w.name] = []tail{served(newLatencies(), runs[0].results, afterWarm(runs[0])).tail()}
		lost[w.name], _ = unserved(runs[0])
		return nil
	})
	if err != nil {
		return err
	}
	note := fmt.Sprintf("not served: router %d, static %d, round robin %d, eight limits %d; %s", lost["router"], lost[nameStatic],
		lost[nameRoundRobin], lost[nameAdaptive], s.checkBusy(st.name+", "+name))
	oracle := s.oracleTail(st, routed, factors(svc.targets, 0, 1))
	s.tailFigures(5, st.name, name+", "+svc.name, tails, 0, &oracle, note)
	return nil
}
