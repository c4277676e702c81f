package authority

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cluster without eligible managers: a member that stepped down
// because it was partitioned must be able to hold a later term. Only a member that
// resigned for a planned stop must not campaign again.
func TestStepDownCampaignsAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event Event
		again bool
	}{{"step down", StepDown{Reason: "cut off"}, true}, {"resign", Resign{}, false}} {
		t.Run(tc.name, func(t *testing.T) {
			n := New(DefaultConfig("a"), 0, rand.New(rand.NewPCG(1, 1)))
			n.Step(0, MembersChanged{Members: []string{"a"}})
			now := 1100 * time.Millisecond
			n.Step(now, Tick{})
			first, acting := n.Acting(now)
			require.True(t, acting)

			n.Step(now, tc.event)
			_, acting = n.Acting(now)
			require.False(t, acting)
			for range 100 {
				now += 20 * time.Millisecond
				n.Step(now, Tick{})
			}
			term, acting := n.Acting(now)
			require.Equal(t, tc.again, acting)
			require.Equal(t, tc.again, term > first)
		})
	}
}
