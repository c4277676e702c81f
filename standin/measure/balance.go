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
	maxImbalance = 1.05
	maxChurn     = 1.1
	balanceLoad  = 0.3 // share of the slots in use
)

// balance measures imbalance and churn of the manager's placement for a sequence of
// changes of the servers. Churn is the number of moved shards over the fewest
// possible moves.
func (s *session) balance(tb *testbed) error {
	servers := make([]placement.Server, tb.keyed.targets)
	for i := range servers {
		servers[i] = placement.Server{Name: fmt.Sprintf("%s-%d", tb.keyed.name, i), Weight: 1, Available: true,
			DataCentre: tb.dataCentres[i%len(tb.dataCentres)]}
	}
	current := placement.Assign(tb.keyed.name, servers, make([]placement.Shard, shards))
	added := placement.Server{Name: tb.keyed.name + "-new", Weight: 1, Available: true, DataCentre: tb.dataCentres[0]}
	moved, minMoved, staticMoved := 0, 0, 0
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
		next := placement.Assign(tb.keyed.name, servers, current)
		stepMoved, stepMin, stepStatic := countMoves(current, next), fewestMoves(current, servers), staticMoves(before, available(servers))
		moved, minMoved, staticMoved = moved+stepMoved, minMoved+stepMin, staticMoved+stepStatic
		s.report.add(Figure{Section: 4, Deployment: tb.name, Measure: "shards of a target, max over mean", Case: "after " + step.name,
			Value: shardImbalance(next, servers), Target: targetValue(maxImbalance),
			Baselines: map[string]float64{nameStatic: staticImbalance(available(servers))},
			Note:      fmt.Sprintf("moved %d of at least %d, static hash %d", stepMoved, stepMin, stepStatic)})
		current = next
	}
	s.report.add(Figure{Section: 4, Deployment: tb.name, Measure: "churn", Case: "loss, return, drain, back in, add",
		Value: float64(moved) / float64(minMoved), Target: targetValue(maxChurn),
		Baselines: map[string]float64{nameStatic: float64(staticMoved) / float64(minMoved), nameOracle: 1}})
	return s.servedBalance(tb)
}

// servedBalance measures how evenly the targets serve a load that is spread evenly
// over the keys.
func (s *session) servedBalance(tb *testbed) error {
	for _, svc := range []service{tb.keyed, tb.pools[0]} {
		f := Figure{Section: 4, Deployment: tb.name, Measure: "served of a target, max over mean", Case: svc.name,
			Target: targetValue(maxImbalance), Baselines: map[string]float64{}}
		err := s.forEachFrontEnd(tb, []service{svc}, func(fe frontEnd) error {
			runs, err := load(s.ctx, s.serviceLoad(fe, svc, balanceLoad, s.scaleDuration(tailDuration)))
			if err != nil {
				return err
			}
			if v := servedImbalance(runs[0].results, svc.targets); fe.name == "router" {
				f.Value = v
				f.Note = fmt.Sprintf("%d requests a target", runs[0].Served/svc.targets)
			} else {
				f.Baselines[fe.name] = v
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

// servedImbalance returns the highest number of requests that a target served over
// the mean of all targets.
func servedImbalance(results []loadgen.Result, targets int) float64 {
	counts, total := map[string]int{}, 0
	for _, r := range results {
		if r.Served {
			counts[r.Target]++
			total++
		}
	}
	return maxOverMean(counts, total, targets)
}

// maxOverMean returns the highest count over total/n, the mean of n counts. Missing
// counts are 0.
func maxOverMean(counts map[string]int, total, n int) float64 {
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

func shardsByOwner(current []placement.Shard) map[string]int {
	counts := map[string]int{}
	for _, shard := range current {
		counts[shard.Owner]++
	}
	return counts
}

func shardImbalance(current []placement.Shard, servers []placement.Server) float64 {
	return maxOverMean(shardsByOwner(current), len(current), len(available(servers)))
}

func countMoves(a, b []placement.Shard) (n int) {
	for i := range a {
		if a[i].Owner != b[i].Owner {
			n++
		}
	}
	return n
}

// fewestMoves returns a lower bound of the shards that any placement has to move so
// that each available server owns at least the mean, rounded down: the shards whose
// owner is unavailable, or those that servers below the mean lack, if they are more.
func fewestMoves(current []placement.Shard, servers []placement.Server) int {
	names := available(servers)
	counts := shardsByOwner(current)
	forced, missing := 0, 0
	for owner, n := range counts {
		if !slices.Contains(names, owner) {
			forced += n
		}
	}
	mean := int(math.Floor(float64(len(current)) / float64(len(names))))
	for _, name := range names {
		missing += max(0, mean-counts[name])
	}
	return max(forced, missing)
}

func staticOwner(shard int, names []string) string {
	return names[baseline.Hash(strconv.Itoa(shard), len(names))]
}

// staticMoves returns how many shards change their owner under static hashing when
// the available servers change.
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
	return maxOverMean(counts, shards, len(names))
}
