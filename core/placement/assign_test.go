package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed of rapid is fixed so that every run draws the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
	_ = flag.Set("rapid.nofailfile", "true")
}

func makeServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprintf("t%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Weight: 1, Available: true}
	}
	return servers
}

// byName indexes servers by name.
func byName(servers []Server) map[string]Server {
	m := map[string]Server{}
	for _, s := range servers {
		m[s.Name] = s
	}
	return m
}

// ownedCount counts the shards of each available server, and the orphans: the
// shards without an available owner.
func ownedCount(servers []Server, shards []Shard) (counts map[string]int, orphans int) {
	counts = map[string]int{}
	known := byName(servers)
	for _, s := range shards {
		if known[s.Owner].Available {
			counts[s.Owner]++
		} else {
			orphans++
		}
	}
	return counts, orphans
}

// countMoves counts the shards whose owner changed.
func countMoves(before, after []Shard) int {
	n := 0
	for i := range before {
		if before[i].Owner != after[i].Owner {
			n++
		}
	}
	return n
}

// limits returns, by available server, the ceiling of its share of the shards, and
// the share.
func limits(servers []Server, shards int) (limit map[string]int, share map[string]float64) {
	total := 0.0
	for _, s := range servers {
		if s.Available {
			total += s.Weight
		}
	}
	limit, share = map[string]int{}, map[string]float64{}
	for _, s := range servers {
		if s.Available {
			share[s.Name] = float64(shards) * s.Weight / total
			limit[s.Name] = int(math.Ceil(share[s.Name] - 1e-9))
		}
	}
	return limit, share
}

// minMoves returns the number of moves that unavailable owners and servers above
// their limit force, and the number that fills the servers below half of their
// share.
func minMoves(servers []Server, shards []Shard) (forced, filling int) {
	counts, orphans := ownedCount(servers, shards)
	limit, share := limits(servers, len(shards))
	forced = orphans
	for name, c := range limit {
		forced += max(0, counts[name]-c)
		if counts[name] < int(math.Floor(share[name]/2)) {
			filling += int(math.Floor(0.8*share[name])) - counts[name]
		}
	}
	return forced, filling
}

// checkPlacement checks that every shard has an available owner within its limit,
// the right number of distinct standbys, and a first standby in another data centre
// where one is available. The first standbys of an owner must be spread evenly.
func checkPlacement(t require.TestingT, servers []Server, before, after []Shard) {
	known := byName(servers)
	counts, orphans := ownedCount(servers, after)
	limit, _ := limits(servers, len(after))
	if len(limit) == 0 {
		require.Equal(t, before, after, "shards moved although no server is available")
		return
	}
	require.Zero(t, orphans, "shards on unavailable servers")
	for name, c := range counts {
		require.LessOrEqual(t, c, limit[name], "shards of %s", name)
	}
	firstStandbys := map[[2]string]int{} // shards by owner and first standby
	for i, s := range after {
		want := min(maxStandbys, len(limit)-1)
		require.Len(t, s.Standbys, want, "shard %d", i)
		centres := map[string]bool{}
		for _, a := range servers {
			if a.Available && a.DataCentre != known[s.Owner].DataCentre {
				centres[a.DataCentre] = true
			}
		}
		for k, name := range s.Standbys {
			if k == 0 {
				firstStandbys[[2]string{s.Owner, name}]++
			}
			require.NotEqual(t, s.Owner, name)
			require.NotContains(t, s.Standbys[:k], name)
			require.True(t, known[name].Available)
			if len(centres) > 0 && k == 0 {
				require.NotEqual(t, known[s.Owner].DataCentre, known[name].DataCentre, "first standby")
			}
		}
	}
	for pair, n := range firstStandbys {
		require.LessOrEqual(t, n, evenShare(servers, known[pair[0]], known[pair[1]], counts[pair[0]])+1, "shards of %s with the first standby %s", pair[0], pair[1])
	}
}

// evenShare returns how many of an owner's shards a standby is first standby of
// when the shards are spread evenly over the available servers in other data
// centres, or over all other available servers if there are none elsewhere.
func evenShare(servers []Server, owner, standby Server, shards int) int {
	otherCentres, allOthers := 0.0, 0.0
	for _, s := range servers {
		if s.Available && s.Name != owner.Name {
			allOthers += s.Weight
			if s.DataCentre != owner.DataCentre {
				otherCentres += s.Weight
			}
		}
	}
	if otherCentres == 0 {
		otherCentres = allOthers
	}
	return int(math.Ceil(float64(shards)*standby.Weight/otherCentres - 1e-9))
}

// Guards against unnecessary moves, servers above their limit, shards left on
// unavailable servers, and results that depend on the order of the server list.
// Servers are lost, return, drain, are added and change weight at random.
func TestAssignOverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		servers := makeServers(n)
		shards := Assign("s", servers, make([]Shard, rapid.SampledFrom([]int{16, 64, 256, 1000}).Draw(t, "shards")))
		rng := rand.New(rand.NewSource(int64(n)))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			switch rapid.SampledFrom([]string{"toggle", "toggle", "centre", "add", "weight"}).Draw(t, "change") {
			case "toggle": // loss, drain or return
				servers[i].Available = !servers[i].Available
			case "centre":
				for k := range servers {
					if servers[k].DataCentre == servers[i].DataCentre {
						servers[k].Available = false
					}
				}
			case "add":
				servers = append(servers, makeServers(len(servers) + 1)[len(servers)])
			case "weight":
				servers[i].Weight = rapid.SampledFrom([]float64{0.5, 1, 2, 3}).Draw(t, "weight")
			}
			shuffled := slices.Clone(servers)
			rng.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
			next := Assign("s", servers, shards)
			require.Equal(t, next, Assign("s", shuffled, shards), "the result depends on the order of servers")
			checkPlacement(t, servers, shards, next)
			if slices.ContainsFunc(servers, func(s Server) bool { return s.Available }) {
				forced, filling := minMoves(servers, shards)
				moves := countMoves(shards, next)
				require.GreaterOrEqual(t, moves, forced)
				if _, orphans := ownedCount(servers, shards); orphans == 0 {
					require.LessOrEqual(t, float64(moves), 1.1*float64(max(forced, filling)))
				} else {
					require.LessOrEqual(t, moves, forced+filling)
				}
				require.Equal(t, next, Assign("s", servers, next), "a second call with the same servers changed the placement")
			}
			shards = next
		}
	})
}

// Guards against an uneven initial placement, and against one or a few servers
// taking over most shards of a lost server.
func TestAssignLossSpreadsEvenly(t *testing.T) {
	servers := makeServers(13)
	before := Assign("s", servers, make([]Shard, 256))
	for lost := range servers {
		changed := slices.Clone(servers)
		changed[lost].Available = false
		after := Assign("s", changed, before)
		gained, promoted := map[string]int{}, 0
		for i := range after {
			if before[i].Owner != after[i].Owner {
				gained[after[i].Owner]++
				if slices.Contains(before[i].Standbys, after[i].Owner) {
					promoted++
				}
			}
		}
		counts, _ := ownedCount(changed, after)
		most := 0
		for _, c := range counts {
			most = max(most, c)
		}
		require.LessOrEqual(t, float64(most), 1.05*256/12, "imbalance after loss of %s", servers[lost].Name)
		require.GreaterOrEqual(t, promoted, 12, "promotions after loss of %s of %d moves", servers[lost].Name, countMoves(before, after))
		for name, shards := range gained {
			require.LessOrEqual(t, shards, 4, "%s took over too much of %s", name, servers[lost].Name)
		}
	}
}

// Guards against an added server that stays empty. This happens when shards move
// only from servers above their limit and all old servers are exactly at it.
func TestAssignFillsAddedServer(t *testing.T) {
	for _, n := range []int{12, 16, 64} {
		before := Assign("s", makeServers(n), make([]Shard, 256))
		after := Assign("s", makeServers(n+1), before)
		counts, _ := ownedCount(makeServers(n+1), after)
		added := counts[makeServers(n + 1)[n].Name]
		require.GreaterOrEqual(t, added, 256*8/10/(n+1), "of %d servers", n+1)
		require.Equal(t, added, countMoves(before, after), "moves between old servers")
	}
}

// imbalance returns the ratio of the highest to the mean load of the servers.
func imbalance(servers []Server, shards []Shard) float64 {
	load, total := map[string]float64{}, 0.0
	for _, s := range shards {
		load[s.Owner] += s.Load
		total += s.Load
	}
	most := 0.0
	for _, l := range load {
		most = max(most, l)
	}
	return most / (total / float64(len(servers)))
}

// Guards against load that stays on overloaded servers, more moves than the
// budget allows, and Assign reversing the moves of RebalanceShards.
func TestRebalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		servers := makeServers(13)
		shards := Assign("s", servers, make([]Shard, 1024))
		for i := range shards {
			shards[i].Load = 0.2 + 3*rng.Float64()
		}
		shards = Assign("s", servers, shards)
		for range 100 {
			next := RebalanceShards("s", servers, shards, 5)
			moves := countMoves(shards, next)
			require.LessOrEqual(t, moves, 5)
			require.LessOrEqual(t, imbalance(servers, next), imbalance(servers, shards)+1e-9)
			require.Zero(t, countMoves(next, Assign("s", servers, next)), "Assign reversed moves of RebalanceShards")
			shards = next
			if moves == 0 {
				break
			}
		}
		require.LessOrEqual(t, imbalance(servers, shards), MaxImbalance+1e-6)
	})
}

func BenchmarkAssign(b *testing.B) {
	for _, shards := range []int{256, 4096, 65536} {
		for _, n := range []int{13, 100, 500} {
			servers := makeServers(n)
			before := Assign("s", servers, make([]Shard, shards))
			lost := slices.Clone(servers)
			lost[n/2].Available = false
			b.Run(fmt.Sprintf("first/shards=%d/servers=%d", shards, n), func(b *testing.B) {
				for b.Loop() {
					Assign("s", servers, make([]Shard, shards))
				}
			})
			b.Run(fmt.Sprintf("loss/shards=%d/servers=%d", shards, n), func(b *testing.B) {
				for b.Loop() {
					Assign("s", lost, before)
				}
			})
		}
	}
}
