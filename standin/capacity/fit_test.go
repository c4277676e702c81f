package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong line, which would make every figure of docs/CAPACITY.md
// wrong.
func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 3, l.Intercept, 1e-9)
	require.InDelta(t, 1, l.R2, 1e-9)
	require.InDelta(t, 43, l.At(20), 1e-9)
	l = Fit([]Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}}) // calculated by hand: slope 0.8, intercept 0.3
	require.InDelta(t, 0.8, l.Slope, 1e-9)
	require.InDelta(t, 0.3, l.Intercept, 1e-9)
	require.InDelta(t, 0.64, l.R2, 1e-9)
	require.Equal(t, Line{Intercept: 4}, Fit([]Point{{1, 4}}))
}

// Guards against a merge that loses the series of other parts, or that adds points
// to a series of an earlier run instead of replacing it.
func TestMergeKeepsOtherSeries(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out", "r.json")
	var first, second Report
	first.add("a", "x", "y", "", 1, 2)
	first.add("b", "x", "y", "", 1, 2)
	require.NoError(t, first.Merge(path))
	second.add("b", "x", "y", "", 3, 4)
	require.NoError(t, second.Merge(path))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var all Report
	require.NoError(t, json.Unmarshal(data, &all))
	require.Len(t, all.Series, 2)
	require.Equal(t, []Point{{1, 2}}, all.Series[0].Points)
	require.Equal(t, []Point{{3, 4}}, all.Series[1].Points)
}

// Guards against a wrong field or unit in the parsing of /proc, which would make
// resident memory or CPU time far too low or too high.
func TestOwnProcess(t *testing.T) {
	rss, err := residentBytes(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, rss, 1e6)
	cpu, err := cpuTime(os.Getpid())
	require.NoError(t, err)
	require.GreaterOrEqual(t, cpu, 0.0)
	require.Less(t, cpu, 3600.0)
}
