package view

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an answer of another VM, for example one of another version or with a
// faulty clock, that makes a view fresh in the future: it would never be read again,
// and a leader would grant keys on the word of a store that it does not reach.
func TestAnswerFromTheFutureIsNotFresherThanNow(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	b := Batch{Changes: []Change{{Log: System, Key: CellKey("s"), Cell: &fleet.Cell{Service: "s", Leader: "vm-1", Boot: "b"}, Age: -time.Hour}}}
	for l := range numLogs {
		b.Positions[l] = Position{Read: true, End: 3, Age: -time.Hour}
	}
	v.Merge(b, v.Known(), 0)
	now += 3 * time.Second
	for _, l := range Logs {
		assert.GreaterOrEqual(t, v.Staleness(l), 3*time.Second, "log %v", l)
	}
	assert.GreaterOrEqual(t, v.Known().Cells["s"].Age, 3*time.Second)
}

// Guards against an answer of another VM that ends the process, or after which what
// is known goes back.
func FuzzMerge(f *testing.F) {
	now := time.Second
	other := newTestView(&now)
	other.Apply(Operators, []Change{{Log: Operators, Key: "config", Config: manyRoutes(3)}}, 1, now)
	other.Apply(System, []Change{{Log: System, Key: CellKey("s"), Cell: manyRanges(3)}}, 1, now)
	other.Apply(Targets, []Change{{Log: Targets, Key: "i-1", Target: &fleet.Target{ID: "i-1", Service: "s", Slots: 3}}}, 1, now)
	var sent bytes.Buffer
	require.NoError(f, gob.NewEncoder(&sent).Encode(other.Since(Known{})))
	f.Add(sent.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Batch
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&b) != nil {
			return
		}
		now := time.Second
		v := newTestView(&now)
		v.Apply(Operators, []Change{{Log: Operators, Key: "config", Config: &fleet.Config{Version: 5}}}, 1, now)
		before := v.Known()
		v.Merge(b, before, 0)
		v.TargetsOf("s")
		v.VMs()
		cfg, _ := v.Config()
		require.GreaterOrEqual(t, cfg.Version, int64(5))
		for l := range numLogs {
			require.GreaterOrEqual(t, v.ends[l], before.Ends[l])
			require.GreaterOrEqual(t, v.Staleness(l), time.Duration(0))
		}
	})
}
