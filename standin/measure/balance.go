package measure

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/standin/baseline"
	"github.com/mangogate/mangogate/standin/loadgen"
)

const (
	mostImbalance = 1.05
	mostChurn     = 1.1
	balanceShare  = 0.3
)

// balance measures imbalance and churn. Moves are counted on the placement that
// the manager uses, over a sequence of changes of the servers.
func (s *session) balance(st *site) error {
	servers := make([]placement.Server, st.keyed.targets)
	for i := range servers {
		servers[i] = placement.Server{Name: fmt.Sprintf("%s-%d", st.keyed.name, i), Weight: 1, Available: true,
			DataCentre: st.dataCentres[i%len(st.dataCentres)]}
	}
	now := placement.Assign(st.keyed.name, servers, make([]placement.Shard, shards))
	added := placement.Server{Name: st.keyed.name + "-new", Weight: 1, Available: true, DataCentre: st.dataCentres[0]}
	moved, least, static := 0, 0, 0
	for _, step := range []struct {
		name   string
		change func()
	}{
		{"loss", func() { servers[1].Available = false }},
		{"return", func() { servers[1].Available = true }},
		{"drain", func() { servers[2].Available = false }},
		{"back in", func() { servers[2].Available = true }},
		{"add", func() { servers = append(servers, added) }},
	} {
		before := available(servers)
		step.change()
		next := placement.Assign(st.keyed.name, servers, now)
		m, l, h := moves(now, next), fewestMoves(now, servers), staticMoves(before, available(servers))
		moved, least, static = moved+m, least+l, static+h
		s.report.add(Figure{Section: 4, Deployment: st.name, Measure: "shards of a target, max over mean", Case: "after " + step.name,
			Value: shardImbalance(next, servers), Target: limit(mostImbalance),
			Baselines: map[string]float64{nameStatic: staticImbalance(available(servers))},
			Note:      fmt.Sprintf("moved %d of at least %d, static hash %d", m, l, h)})
		now = next
	}
	s.report.add(Figure{Section: 4, Deployment: st.name, Measure: "churn", Case: "loss, return, drain, back in, add",
		Value: float64(moved) / float64(least), Target: limit(mostChurn),
		Baselines: map[string]float64{nameStatic: float64(static) / float64(least), nameOracle: 1}})
	return s.servedBalance(st)
}

// servedBalance compares the requests that each target served under an even load.
func (s *session) servedBalance(st *site) error {
	for _, svc := range []service{st.keyed, st.pools[0]} {
		f := Figure{Section: 4, Deployment: st.name, Measure: "served of a target, max over mean", Case: svc.name,
			Target: limit(mostImbalance), Baselines: map[string]float64{}}
		err := s.eachWay(st, []service{svc}, func(w way) error {
			runs, err := load(s.ctx, s.serviceLoad(w, svc, balanceShare, s.span(tailDuration)))
			if err != nil {
				return err
			}
			if v := servedImbalance(runs[0].results, svc.targets); w.name == "router" {
				f.Value = v
				f.Note = fmt.Sprintf("%d requests a target", runs[0].Served/svc.targets)
			} else {
				f.Baselines[w.name] = v
			}
			return nil
		})
		if err != nil {
			return err
		}
		s.report.add(f)
	}
	return nil
}

func servedImbalance(results []loadgen.Result, targets int) float64 {
	counts, total := map[string]int{}, 0
	for _, r := range results {
		if r.Served {
			counts[r.Target]++
			total++
		}
	}
	return ratio(counts, total, targets)
}

// ratio is the highest count over the mean of n.
func ratio(counts map[string]int, total, n int) float64 {
	most := 0
	for c := range maps.Values(counts) {
		most = max(most, c)
	}
	return float64(most) * float64(n) / float64(max(total, 1))
}

func available(servers []placement.Server) []string {
	var out []string
	for _, s := range servers {
		if s.Available {
			out = append(out, s.Name)
		}
	}
	return out
}

func ownersOf(now []placement.Shard) map[string]int {
	counts := map[string]int{}
	for _, shard := range now {
		counts[shard.Owner]++
	}
	return counts
}

func shardImbalance(now []placement.Shard, servers []placement.Server) float64 {
	return ratio(ownersOf(now), len(now), len(available(servers)))
}

func moves(a, b []placement.Shard) (n int) {
	for i := range a {
		if a[i].Owner != b[i].Owner {
			n++
		}
	}
	return n
}

// fewestMoves is what any placement has to move so that each server has at
// least the floor of the mean: the shards of servers that are gone, or the
// share of one that is new.
func fewestMoves(now []placement.Shard, servers []placement.Server) int {
	names := available(servers)
	counts := ownersOf(now)
	forced, missing := 0, 0
	for owner, n := range counts {
		if !slices.Contains(names, owner) {
			forced += n
		}
	}
	mean := int(math.Floor(float64(len(now)) / float64(len(names))))
	for _, name := range names {
		missing += max(0, mean-counts[name])
	}
	return max(forced, missing)
}

func staticOwner(shard int, names []string) string {
	return names[baseline.Hash(strconv.Itoa(shard), len(names))]
}

func staticMoves(before, after []string) (n int) {
	for i := range shards {
		if staticOwner(i, before) != staticOwner(i, after) {
			n++
		}
	}
	return n
}

func staticImbalance(names []string) float64 {
	counts := map[string]int{}
	for i := range shards {
		counts[staticOwner(i, names)]++
	}
	return ratio(counts, shards, len(names))
}
