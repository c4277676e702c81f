package authority

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a manager that lacks a granted assignment: during an outage of the
// log, it would not count the new owner among the possible holders. A member must
// not support a candidate that has replayed an older version.
func TestCandidateWithOlderAssignmentsGetsNoSupport(t *testing.T) {
	voter := New(DefaultConfig("a"), 0, rand.New(rand.NewPCG(1, 1)))
	voter.Step(0, MembersChanged{Members: []string{"a", "b", "c"}})
	voter.Step(0, VersionSeen{Version: 7})
	probe := func(version uint64) bool {
		out := voter.Step(1100*time.Millisecond, Received{From: "b",
			Message: Message{Kind: KindProbe, Term: 4, Incarnation: 1, Version: version}})
		require.NotEmpty(t, out)
		return out[0].(Send).Message.Supported
	}
	require.False(t, probe(6))
	require.True(t, probe(7))
}
