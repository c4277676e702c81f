package history

import (
	"testing"

	"github.com/mangogate/mangogate/standin/target"
	"github.com/stretchr/testify/require"
)

// Guards against an exemption for paused targets that is too wide. It must not
// hide executions of requests that arrived after the next owner began or after
// the pause, whose arrival time is unknown, or whose target was not paused.
func TestSplitDelayedByPauseTakesOutOnlyEarlierRequests(t *testing.T) {
	lateExecution := target.Execution{Target: "a", Key: "k", Fence: 1, RequestID: "r", StartUS: 200, EndUS: 210}
	nextOwnerExecution := target.Execution{Target: "b", Key: "k", Fence: 2, RequestID: "s", StartUS: 100, EndUS: 110}
	all := []target.Execution{nextOwnerExecution, lateExecution}
	require.NotEmpty(t, CheckSingleOwner(all))
	pause := Pause{Target: "a", FromUS: 10, UntilUS: 150}
	for _, tc := range []struct {
		name     string
		pause    Pause
		arrivals map[Attempt]int64
		delayed  int
	}{
		{"arrived before the next owner", pause, map[Attempt]int64{{"a", "r"}: 20}, 1},
		{"arrived after the next owner", pause, map[Attempt]int64{{"a", "r"}: 120}, 0},
		{"arrived after the pause", pause, map[Attempt]int64{{"a", "r"}: 190}, 0},
		{"no arrival time", pause, nil, 0},
		{"arrived at another target", pause, map[Attempt]int64{{"b", "r"}: 20}, 0},
		{"another target paused", Pause{Target: "b", FromUS: 10, UntilUS: 150}, map[Attempt]int64{{"a", "r"}: 20}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rest, delayed := SplitDelayedByPause(all, []Pause{tc.pause}, tc.arrivals)
			require.Len(t, delayed, tc.delayed)
			require.Equal(t, tc.delayed == 0, len(CheckSingleOwner(rest)) > 0)
		})
	}
}
