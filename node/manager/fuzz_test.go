package manager

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/authority"
	"github.com/stretchr/testify/require"
)

// Guards against an election message that crashes the process, or that makes a
// VM act as manager without the support of other members.
func FuzzDeliver(f *testing.F) {
	for _, m := range []authority.Message{
		{}, {Kind: authority.KindProbe, Term: 2, SentAt: time.Second}, {Kind: authority.KindHeartbeat, Term: 5, Incarnation: 1, Version: 3},
		{Kind: 200, Term: 1<<64 - 1, SentAt: -1, Supported: true, HighestTerm: 1<<64 - 1, Version: 1<<64 - 1},
	} {
		var b bytes.Buffer
		require.NoError(f, gob.NewEncoder(&b).Encode(DeliverArgs{From: "vm-1", Message: m}))
		f.Add(b.Bytes())
	}
	f.Add([]byte("no gob"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var args DeliverArgs
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&args) != nil {
			return
		}
		n := authority.New(authority.DefaultConfig("vm-0"), 0, rand.New(rand.NewPCG(1, 1)))
		n.Step(0, authority.MembersChanged{Members: []string{"vm-0", "vm-1", "vm-2"}})
		now := 2 * time.Second // later than the promise of 1 s that a node assumes at its start
		n.Step(now, authority.Received{From: args.From, Message: args.Message})
		_, acting := n.Acting(now)
		require.False(t, acting)
		n.Step(now+time.Millisecond, authority.Tick{})
	})
}
