package measure

import (
	"bytes"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

// Guards against a figure that counts as met although its value is on the wrong side
// of the target value, or although it has none. AtLeast reverses the comparison.
func TestVerdicts(t *testing.T) {
	var r Report
	r.add(Figure{Value: 2, Target: targetValue(1)})
	r.add(Figure{Value: 2, Target: targetValue(1), AtLeast: true})
	r.add(Figure{Value: 0, Target: targetValue(0)})
	r.add(Figure{Value: 1})
	require.False(t, *r.Figures[0].Met)
	require.True(t, *r.Figures[1].Met)
	require.True(t, *r.Figures[2].Met)
	require.Nil(t, r.Figures[3].Met)
	var out bytes.Buffer
	require.NoError(t, r.Print(&out))
	require.Contains(t, out.String(), "NO")
}

// Guards against a lower bound of moves that is too high, which would make churn
// look better than it is.
func TestFewestMoves(t *testing.T) {
	servers := []placement.Server{{Name: "a", Available: true}, {Name: "b", Available: true}, {Name: "c", Available: true}}
	current := []placement.Shard{{Owner: "a"}, {Owner: "a"}, {Owner: "a"}, {Owner: "b"}, {Owner: "b"}, {Owner: "b"}}
	require.Equal(t, 2, fewestMoves(current, servers), "the shards that the new server lacks")
	servers[1].Available = false
	require.Equal(t, 3, fewestMoves(current, servers), "all shards of the lost server")
}

// Guards against a recovery that is reported before the restarted targets serve
// their former load again, or that counts requests of other targets.
func TestFullLoad(t *testing.T) {
	restarted := time.Unix(1000, 0)
	var results []loadgen.Result
	add := func(target string, from, to time.Duration) {
		for at := from; at < to; at += 10 * time.Millisecond {
			results = append(results, loadgen.Result{Served: true, Target: target, End: restarted.Add(at)})
		}
	}
	add("a", -coldLoadBefore, 0)
	add("b", 0, coldLoadAfter)
	_, ok := timeToFullLoad(results, map[string]bool{"a": true}, restarted)
	require.False(t, ok)
	add("a", time.Second, coldLoadAfter)
	took, ok := timeToFullLoad(results, map[string]bool{"a": true}, restarted)
	require.True(t, ok)
	require.InDelta(t, time.Second+recoveryWindow, took, float64(100*time.Millisecond))
}
