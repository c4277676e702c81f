package view

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// manyRoutes returns a configuration with n random routes.
func manyRoutes(n int) *fleet.Config {
	c := &fleet.Config{Version: 7, Services: []fleet.Service{{Name: "s", Keyed: true}}}
	rng := rand.New(rand.NewSource(1))
	for i := range n {
		c.Routes = append(c.Routes, fleet.Route{
			Name: fmt.Sprintf("r-%07x", rng.Intn(1<<28)), Host: fmt.Sprintf("h%04x.example", rng.Intn(1<<16)), PathPrefix: fmt.Sprintf("/%05x/%02x/", rng.Intn(1<<20), i%256),
			Idempotent: i%2 == 0, Timeout: 1500 * time.Millisecond, Objective: 800 * time.Millisecond, Attempts: 2, Priority: i % 3,
			Parts: []fleet.RoutePart{{Service: "s", Weight: 1}},
		})
	}
	return c
}

// manyRanges returns a cell record with n random key ranges.
func manyRanges(n int) *fleet.Cell {
	c := &fleet.Cell{Service: "s", Leader: "vm-1", Boot: "b"}
	rng := rand.New(rand.NewSource(1))
	for i := range n {
		c.Keys = append(c.Keys, keyspace.Assignment{
			From: i * 30, To: i*30 + 29, Fence: int64(100 + i%7),
			Owner: keyspace.Holder{Target: fmt.Sprintf("i-%010x", rng.Int63n(1<<40)), Life: 1700000000000 + rng.Int63n(1<<24)},
		})
	}
	return c
}

// Guards against exchanges that time out because a change is too large. A leader sends
// each change to 75 VMs over a link of 200 Mbit/s, and an exchange may take 400 ms. A
// large configuration and the key ranges of a service have to fit into half of that.
func TestLargeValuesAreSentCompressed(t *testing.T) {
	const maxBytes = 200e6 / 8 * 0.4 / 75 / 2
	now := time.Second
	reader, other := newTestView(&now), newTestView(&now)
	config, cell := manyRoutes(1800), manyRanges(400)
	reader.Apply(Operators, []Change{{Log: Operators, Key: "config", Config: config}}, 1, now)
	reader.Apply(System, []Change{{Log: System, Key: CellKey("s"), Cell: cell}}, 1, now)
	var sent bytes.Buffer
	require.NoError(t, gob.NewEncoder(&sent).Encode(reader.Since(other.Known())))
	assert.Less(t, float64(sent.Len()), maxBytes)
	var b Batch
	require.NoError(t, gob.NewDecoder(&sent).Decode(&b))
	other.Merge(b, other.Known(), 0)
	got, _ := other.Config()
	assert.Equal(t, config, got)
	gotCell, _ := other.Cell("s")
	assert.Equal(t, cell, gotCell)
	assert.Len(t, reader.Since(other.Known()).Changes, 0)
}

// Guards against the loss of a change that arrives damaged: if the log counted as known
// beyond that change, the VM would never ask for it again.
func TestDamagedValueIsNotTaken(t *testing.T) {
	now := time.Second
	reader, other := newTestView(&now), newTestView(&now)
	reader.Apply(Operators, []Change{{Log: Operators, Key: "config", Config: manyRoutes(3)}}, 1, now)
	b := reader.Since(other.Known())
	b.Changes[0].Packed = b.Changes[0].Packed[:10]
	other.Merge(b, other.Known(), 0)
	got, _ := other.Config()
	assert.Nil(t, got)
	assert.Zero(t, other.End(Operators))
}
