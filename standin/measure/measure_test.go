package measure

import (
	"bytes"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

// Guards against a verdict that passes a figure on the wrong side of its target.
func TestVerdicts(t *testing.T) {
	var r Report
	r.add(Figure{Value: 2, Target: limit(1)})
	r.add(Figure{Value: 2, Target: limit(1), AtLeast: true})
	r.add(Figure{Value: 0, Target: limit(0)})
	r.add(Figure{Value: 1})
	require.False(t, *r.Figures[0].Met)
	require.True(t, *r.Figures[1].Met)
	require.True(t, *r.Figures[2].Met)
	require.Nil(t, r.Figures[3].Met)
	var out bytes.Buffer
	require.NoError(t, r.Print(&out))
	require.Contains(t, out.String(), "NO")
}

// Guards against churn that is compared to too high a bound.
func TestFewestMoves(t *testing.T) {
	servers := []placement.Server{{Name: "a", Available: true}, {Name: "b", Available: true}, {Name: "c", Available: true}}
	now := []placement.Shard{{Owner: "a"}, {Owner: "a"}, {Owner: "a"}, {Owner: "b"}, {Owner: "b"}, {Owner: "b"}}
	require.Equal(t, 2, fewestMoves(now, servers), "the new server's share")
	servers[1].Available = false
	require.Equal(t, 3, fewestMoves(now, servers), "all shards of the lost server")
}

// Guards against a full load that is reported before the restarted targets
// serve again, or on the load of other targets.
func TestFullLoad(t *testing.T) {
	restarted := time.Unix(1000, 0)
	var results []loadgen.Result
	add := func(target string, from, to time.Duration) {
		for at := from; at < to; at += 10 * time.Millisecond {
			results = append(results, loadgen.Result{Served: true, Target: target, End: restarted.Add(at)})
		}
	}
	add("a", -coldBefore, 0)
	add("b", 0, coldAfter)
	_, ok := fullLoad(results, map[string]bool{"a": true}, restarted)
	require.False(t, ok)
	add("a", time.Second, coldAfter)
	took, ok := fullLoad(results, map[string]bool{"a": true}, restarted)
	require.True(t, ok)
	require.InDelta(t, time.Second+fullWindow, took, float64(100*time.Millisecond))
}
