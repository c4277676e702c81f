package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/stretchr/testify/assert"
)

func newTestView(now *time.Duration) *View {
	return New(func() time.Duration { return *now }, hclog.NewNullLogger())
}

func target(offset int64, id string, leaving bool) Change {
	return Change{Log: Targets, Key: id, Offset: offset, Target: &fleet.Target{ID: id, Service: "s", Address: id + ":1", DataCentre: "z", Slots: 3, Leaving: leaving}}
}

func usable(v *View) []string {
	var out []string
	for _, t := range v.TargetsOf("s") {
		if t.Usable {
			out = append(out, t.ID)
		}
	}
	return out
}

// What a VM hears late, from a store that answers with old data or from another
// VM, must not undo what it knows.
func TestOlderChangeDoesNotGoBack(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(5, "a", true)}, 6, 0)
	v.Replace(Targets, []Change{target(3, "a", false)}, 4, 0)
	assert.Empty(t, usable(v))
	assert.Equal(t, int64(6), v.End(Targets))
	// A repeated entry raises the bar without being a change.
	v.Apply(Targets, []Change{target(8, "a", true)}, 9, 0)
	v.Apply(Targets, []Change{target(7, "a", false)}, 8, 0)
	assert.Empty(t, usable(v))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	config := func(offset, version int64) Change {
		return Change{Log: Operators, Key: "config", Offset: offset, Config: &fleet.Config{Version: version}}
	}
	v.Apply(Operators, []Change{config(1, 7)}, 2, 0)
	v.Apply(Operators, []Change{config(2, 5)}, 3, 0)
	c, _ := v.Config()
	assert.Equal(t, int64(7), c.Version)
}

// Keys that are missing among the newest records were removed while the
// history was dropped.
func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(0, "a", false), target(1, "b", false)}, 2, 0)
	v.Replace(Targets, []Change{target(1, "b", false)}, 9, 0)
	assert.Equal(t, []string{"b"}, usable(v))
}

// Entries lapse while the store is away. Their targets stay in use for the time
// in which the entries may come back, and no longer.
func TestEntryThatLapsedDuringOutageIsKeptForAWhile(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(0, "a", false)}, 1, 0)
	v.OutageEnded(2 * time.Second)
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 1}}, 2, 0)
	assert.Equal(t, []string{"a"}, usable(v))
	now += 2 * time.Second
	assert.Empty(t, usable(v))
}

// A data centre that is taken out gets nothing; when it comes back its targets
// count as cold for their warm-up.
func TestDataCentreOutAndBackCold(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	v.Apply(Operators, []Change{{Log: Operators, Key: "config", Offset: 0, Config: &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s", WarmUp: 3 * time.Second}}}}}, 1, 0)
	v.Apply(Targets, []Change{target(0, "a", false)}, 1, 0)
	v.Apply(Operators, []Change{{Log: Operators, Key: "evacuate/z", Offset: 1, OutOf: "z"}}, 2, 0)
	assert.Empty(t, usable(v))
	v.Apply(Operators, []Change{{Log: Operators, Key: "evacuate/z", Offset: 2}}, 3, 0)
	assert.Equal(t, []string{"a"}, usable(v))
	assert.Equal(t, now+3*time.Second, v.TargetsOf("s")[0].ColdUntil)
}

// A VM that the store turns away knows what another VM knows, with the age.
func TestMergeTakesChangesAndAge(t *testing.T) {
	now := 100 * time.Second
	reader, other := newTestView(&now), newTestView(&now)
	reader.Apply(Targets, []Change{target(0, "a", false), target(1, "b", true)}, 2, now-time.Second)
	asked := other.Known()
	other.Merge(reader.Since(asked), asked, 10*time.Millisecond)
	assert.Equal(t, []string{"a"}, usable(other))
	assert.Equal(t, time.Second+10*time.Millisecond, other.Staleness(Targets))
	reader.Apply(Targets, []Change{target(2, "b", true)}, 3, now)
	assert.Empty(t, reader.Since(other.Known()).Changes, "a repeated entry does not travel")
}

// A router that runs for months must not remember each target that ever was.
func TestGoneTargetsAreForgotten(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(0, "a", false), {Log: Targets, Key: "a", Offset: 1}}, 2, 0)
	address, known := v.Address("a")
	assert.True(t, known, "it may still hold keys")
	assert.Equal(t, "a:1", address)
	now += goneFor + prunePause
	v.Apply(Targets, nil, 3, 0)
	_, known = v.Address("a")
	assert.False(t, known)
	assert.Empty(t, v.entries[Targets])
}

func cellRecord(offset int64, boot string, ranges int) Change {
	c := &fleet.Cell{Service: "s", Leader: "vm-1", Boot: boot, Change: uint64(offset) + 100}
	for i := range ranges {
		owner := keyspace.Holder{Target: fmt.Sprintf("i-%08x", uint32(i+int(offset))*2654435761), Life: int64(i)}
		c.Keys = append(c.Keys, keyspace.Assignment{From: i, To: i, Owner: owner, Fence: offset})
	}
	return Change{Log: System, Key: CellKey("s"), Offset: offset, Cell: c}
}

// The load of a cell with many targets wanders, so that its leader writes its
// record several times a second. All other VMs together must not get each of them.
func TestRecordsOfWanderingKeysAreNotAllPassedOn(t *testing.T) {
	now := time.Minute
	reader, other := newTestView(&now), newTestView(&now)
	sent := 0
	exchange := func() {
		k := other.Known()
		b := reader.Since(k)
		for _, c := range b.Changes {
			sent += len(c.Packed)
		}
		other.Merge(b, k, 0)
	}
	offset := int64(0)
	const length = 20 * time.Second
	for end := now + length; now < end; now += 200 * time.Millisecond {
		if offset%2 == 0 {
			reader.Apply(System, []Change{cellRecord(offset, "a", 800)}, offset+1, now)
		} else {
			reader.Apply(System, nil, offset, now)
		}
		offset++
		exchange()
		assert.LessOrEqual(t, other.Staleness(System), 200*time.Millisecond, "it still counts as up to date")
	}
	assert.Less(t, float64(sent)/length.Seconds(), 2.0*keysRate)
	held, number := other.Cell("s")
	assert.NotNil(t, held)
	assert.LessOrEqual(t, other.End(System), offset)

	// What follows a record that was held back is passed on, and that record
	// itself later.
	offset++
	reader.Apply(System, []Change{cellRecord(offset, "a", 800), {Log: System, Key: VMKey("x"), Offset: offset + 1, VM: &fleet.VM{ID: "x"}}}, offset+2, now)
	exchange()
	_, known := other.VM("x")
	assert.True(t, known)
	_, same := other.Cell("s")
	assert.Equal(t, number, same)
	assert.LessOrEqual(t, other.End(System), offset, "the VM reads on from there if it reads for itself")
	now += 10 * time.Second
	exchange()
	_, newest := other.Cell("s")
	assert.Equal(t, Number(offset), newest)
	assert.Equal(t, offset+2, other.End(System))

	// A new leader is known at once.
	reader.Apply(System, []Change{cellRecord(offset+2, "b", 800)}, offset+3, now)
	exchange()
	c, _ := other.Cell("s")
	assert.Equal(t, "b", c.Boot)
}
