package mapstore

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/stretchr/testify/require"
)

func gobEncode(t testing.TB, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(v))
	return b.Bytes()
}

// Guards against an Install message that crashes the process, that partly takes
// effect although it is rejected, or that gives a lease from a clock reading
// that this VM has not reached yet.
func FuzzInstall(f *testing.F) {
	good := InstallArgs{Term: 2, Manager: "vm-1", Echo: 1, BootID: "boot", Lease: time.Second, Sequence: 1, Map: &shardmap.Map{
		Term: 2, Sequence: 1, Shards: map[string][]shardmap.Route{"status": {{Owner: "a", Fence: 1024}}}, Groups: map[string]shardmap.Group{"status/a": {Dispatcher: "vm-1"}},
	}}
	wrongTerm, future, negative := good, good, good
	wrongTerm.Term, future.Echo, negative.Lease = 3, 1<<62, -time.Second
	for _, seed := range []InstallArgs{good, wrongTerm, future, negative, {}, {Term: 1<<64 - 1}} {
		f.Add(gobEncode(f, seed))
	}
	f.Add([]byte("no gob"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var args InstallArgs
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&args) != nil {
			return
		}
		s := New(clock.New(), timeline.New("vm"), hclog.NewNullLogger(), "boot")
		var reply InstallReply
		err := s.Install(&args, &reply)
		term, _ := s.Term()
		if err != nil {
			require.Zero(t, term, "a rejected message took effect")
			require.Nil(t, s.Current(), "a rejected message took effect")
		}
		if s.LeaseValid() {
			require.Equal(t, s.BootID(), args.BootID)
			require.LessOrEqual(t, args.Echo, s.Clock())
		}
		if m := s.Current(); m != nil {
			m.Lookup("status", "key")
		}
	})
}
