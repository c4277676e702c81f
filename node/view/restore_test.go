package view

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// inEra returns a change with its offset as the position in an era.
func inEra(era int64, c Change) Change {
	c.Offset = PositionOf(era, c.Offset)
	return c
}

// end returns the position of the end of a log.
func end(era, offset int64) int64 { return PositionOf(era, offset) }

// Guards against a store that is never read again after its restore: its offsets lie below
// the known ones, and records that are written at them must count.
func TestRecordsOfRestoredStoreAreNewer(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	config := func(era, offset, version int64) Change {
		return inEra(era, Change{Log: Operators, Key: "config", Offset: offset, Config: &fleet.Config{Version: version}})
	}
	v.Apply(Operators, []Change{config(1, 8, 9)}, end(1, 9), 0)
	now = time.Second
	v.Replace(Operators, []Change{config(2, 2, 5)}, end(2, 3), now)
	assert.Zero(t, v.Staleness(Operators))
	c, _ := v.Config()
	assert.Equal(t, int64(9), c.Version, "the copy's older version is in force")
	v.Apply(Operators, []Change{config(2, 3, 11)}, end(2, 4), now)
	c, _ = v.Config()
	assert.Equal(t, int64(11), c.Version)
}

// Guards against requests to targets that have left, or to fewer than there are, because
// the copy is older than what was known: the targets that it lacks have time to register
// again, and those that had gone return only if the store still lists them later.
func TestRestoredStoreBringsNoTargetBack(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{
		inEra(1, target(0, "stays", false)), inEra(1, target(1, "leaving", false)), inEra(1, target(2, "ended", false)), inEra(1, target(3, "lapsed", false)),
		inEra(1, target(4, "new", false)), inEra(1, target(5, "lost", false)), inEra(1, target(6, "leaving", true)),
		inEra(1, Change{Log: Targets, Key: "ended", Offset: 7}), inEra(1, Change{Log: Targets, Key: "lapsed", Offset: 8}),
	}, end(1, 9), now)
	var copied []Change
	for i, id := range []string{"stays", "leaving", "ended", "lapsed"} {
		copied = append(copied, inEra(2, target(int64(i), id, false)))
	}
	v.Replace(Targets, copied, end(2, 4), now)
	assert.Equal(t, []string{"lost", "new", "stays"}, usable(v))
	v.Apply(Targets, []Change{inEra(2, target(4, "new", false))}, end(2, 5), now)
	now += restoreGrace
	v.Apply(Targets, nil, end(2, 5), now)
	assert.Equal(t, []string{"new", "stays"}, usable(v))
	v.Apply(Targets, []Change{inEra(2, Change{Log: Targets, Key: "ended", Offset: 5})}, end(2, 6), now)
	now += targetSettleTime
	v.Apply(Targets, nil, end(2, 6), now)
	assert.Equal(t, []string{"lapsed", "new", "stays"}, usable(v))
}

// Guards against a data centre in use although its evacuation was acknowledged, and one
// out of use although it was taken back, in the time in which the operators write again
// what the copy lacks.
func TestRestoredStoreChangesNoEvacuationAtOnce(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	out := func(era, offset int64, dataCentre string, is bool) Change {
		c := Change{Log: Operators, Key: "evacuate/" + dataCentre, Offset: offset}
		if is {
			c.OutOf = dataCentre
		}
		return inEra(era, c)
	}
	v.Apply(Operators, []Change{out(1, 0, "back", true), out(1, 1, "back", false), out(1, 2, "out", true), out(1, 3, "lost", true)}, end(1, 4), now)
	v.Replace(Operators, []Change{out(2, 0, "back", true)}, end(2, 1), now)
	state := func() (s [3]bool) {
		for i, dc := range []string{"back", "out", "lost"} {
			s[i] = v.outOfService(dc)
		}
		return s
	}
	assert.Equal(t, [3]bool{false, true, true}, state())
	v.Apply(Operators, []Change{out(2, 1, "out", true), out(2, 2, "back", false)}, end(2, 3), now)
	now += evacuationSettleTime
	v.Apply(Operators, nil, end(2, 3), now)
	assert.Equal(t, [3]bool{false, true, false}, state())
}

// Guards against VMs that keep different views of a restored store: what one has read,
// another merges by the same rules, and a VM that has just started learns all of it.
func TestViewOfRestoredStoreIsPassedOn(t *testing.T) {
	now := 10 * time.Second
	reader, follower, fresh := newTestView(&now), newTestView(&now), newTestView(&now)
	for _, v := range []*View{reader, follower} {
		v.Apply(Targets, []Change{inEra(1, target(0, "a", false)), inEra(1, target(1, "b", true)), inEra(1, target(2, "c", false))}, end(1, 3), now)
		v.Apply(System, []Change{inEra(1, Change{Log: System, Key: VMKey("vm"), VM: &fleet.VM{ID: "vm", Boot: "new", Era: 1}, Offset: 9})}, end(1, 10), now)
	}
	reader.Replace(Targets, []Change{inEra(2, target(0, "a", false)), inEra(2, target(1, "b", false)), inEra(2, target(2, "d", false))}, end(2, 3), now)
	reader.Replace(System, []Change{inEra(2, Change{Log: System, Key: VMKey("vm"), VM: &fleet.VM{ID: "vm", Boot: "old", Era: 1}, Offset: 3})}, end(2, 4), now)
	for _, v := range []*View{follower, fresh} {
		known := v.Known()
		v.Merge(reader.Since(known), known, 0)
	}
	now += restoreGrace
	for _, v := range []*View{follower, fresh} {
		v.Apply(Targets, nil, end(2, 3), now)
		assert.Equal(t, []string{"a", "d"}, usable(v))
		vm, _ := v.VM("vm")
		assert.Equal(t, "new", vm.Boot)
		assert.Equal(t, end(2, 4), v.End(System))
		assert.False(t, v.IsRegistered(vm))
	}
}

// Guards against a leader that relies on a restored store's word for a record that the
// store may hold only because it is older than a lost one.
func TestStoreConfirmsNoCellOfEarlierEra(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	cell := func(era, offset, written int64, change uint64) Change {
		return inEra(era, Change{Log: System, Key: CellKey("s"), Offset: offset, Cell: &fleet.Cell{Service: "s", Change: change, Era: written}})
	}
	v.Apply(System, []Change{cell(1, 4, 1, 1)}, end(1, 5), now)
	require.False(t, v.IsCellRestored("s"))
	now += time.Second
	v.Replace(System, []Change{cell(2, 4, 1, 1)}, end(2, 5), now)
	assert.True(t, v.IsCellRestored("s"))
	assert.Equal(t, time.Second, v.CellStaleness("s"))
	v.Apply(System, []Change{cell(2, 5, 2, 2)}, end(2, 6), now)
	assert.False(t, v.IsCellRestored("s"))
	assert.Zero(t, v.CellStaleness("s"))
	v.Apply(System, []Change{cell(2, 6, 1, 3)}, end(2, 7), now)
	c, _ := v.Cell("s")
	assert.Equal(t, uint64(2), c.Change, "a late append of the earlier era counts")
	assert.True(t, v.IsCellRestored("s"))
}

// Guards against a target that returns because a copy of the store listed it, although the
// store was restored again since, from a copy without it.
func TestSecondRestoreReplacesWhatTheFirstSaid(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{inEra(1, target(0, "a", false)), inEra(1, target(1, "b", false)), inEra(1, Change{Log: Targets, Key: "b", Offset: 2})}, end(1, 3), now)
	v.Replace(Targets, []Change{inEra(2, target(0, "a", false)), inEra(2, target(1, "b", false))}, end(2, 2), now)
	now += time.Second
	v.Replace(Targets, []Change{inEra(3, target(0, "a", false))}, end(3, 1), now)
	now += targetSettleTime
	v.Apply(Targets, nil, end(3, 1), now)
	assert.Equal(t, []string{"a"}, usable(v))
}

// Guards against a comparison with the copy that is undone by a second answer of the store:
// two readers of one VM, or a reader and an exchange with another VM, notice the restore at
// the same time.
func TestSecondAnswerOfRestoredStoreUndoesNothing(t *testing.T) {
	for _, how := range []string{"read", "exchange"} {
		t.Run(how, func(t *testing.T) {
			now := 10 * time.Second
			v, other := newTestView(&now), newTestView(&now)
			for _, x := range []*View{v, other} {
				x.Apply(Targets, []Change{inEra(1, target(0, "a", false)), inEra(1, target(1, "leaving", false)), inEra(1, target(2, "ended", false)),
					inEra(1, target(3, "leaving", true)), inEra(1, Change{Log: Targets, Key: "ended", Offset: 4})}, end(1, 5), now)
				x.Apply(Operators, []Change{inEra(1, Change{Log: Operators, Key: "evacuate/z2", OutOf: "z2"})}, end(1, 1), now)
				x.Apply(System, []Change{
					inEra(1, Change{Log: System, Key: VMKey("vm"), VM: &fleet.VM{ID: "vm", Boot: "new", Era: 1}, Offset: 9}),
					inEra(1, Change{Log: System, Key: VMKey("lost"), VM: &fleet.VM{ID: "lost", Boot: "b", Era: 1}, Offset: 10}),
					inEra(1, Change{Log: System, Key: CellKey("s"), Cell: &fleet.Cell{Service: "s", Leader: "lost", Change: 5, Era: 1}, Offset: 11}),
				}, end(1, 12), now)
			}
			began := now
			now += 4 * time.Millisecond
			read := func(x *View) {
				x.Replace(Targets, []Change{inEra(2, target(0, "a", false)), inEra(2, target(1, "leaving", false)), inEra(2, target(2, "ended", false))}, end(2, 3), began)
				x.Replace(Operators, nil, end(2, 0), began)
				x.Replace(System, []Change{inEra(2, Change{Log: System, Key: VMKey("vm"), VM: &fleet.VM{ID: "vm", Boot: "old", Era: 1}, Offset: 3})}, end(2, 4), began)
			}
			if how == "read" {
				read(v)
			} else {
				read(other)
				known := v.Known()
				v.Merge(other.Since(known), known, 0)
			}
			read(v)
			assert.Equal(t, []string{"a"}, usable(v))
			assert.True(t, v.outOfService("z2"))
			vm, _ := v.VM("vm")
			assert.Equal(t, "new", vm.Boot)
			_, known := v.VM("lost")
			assert.True(t, known)
			c, _ := v.Cell("s")
			assert.NotNil(t, c)
		})
	}
}

// Guards against a data centre that is in use again at once in the view of a VM that learns
// of the restore from another one.
func TestEvacuationStaysWhereRestoreIsLearnedFromAnotherVM(t *testing.T) {
	now := 10 * time.Second
	reader, follower := newTestView(&now), newTestView(&now)
	for _, v := range []*View{reader, follower} {
		v.Apply(Operators, []Change{inEra(1, Change{Log: Operators, Key: "evacuate/z2", Offset: 1, OutOf: "z2"})}, end(1, 2), now)
	}
	reader.Replace(Operators, nil, end(2, 1), now)
	known := follower.Known()
	follower.Merge(reader.Since(known), known, 0)
	assert.Equal(t, end(2, 1), follower.End(Operators))
	assert.True(t, follower.outOfService("z2"))
	now += evacuationSettleTime
	follower.Apply(Operators, nil, end(2, 1), now)
	assert.False(t, follower.outOfService("z2"))
}

// Guards against a target that stays in use for good: a VM that has started after the
// restore knows no target that the copy lacks, so that it tells of none that has gone.
func TestRestoreIsNotLearnedFromVMWithoutItsPast(t *testing.T) {
	now := 10 * time.Second
	follower, fresh := newTestView(&now), newTestView(&now)
	follower.Apply(Targets, []Change{inEra(1, target(0, "a", false)), inEra(1, target(1, "ended", false)), inEra(1, target(2, "a", true))}, end(1, 3), now)
	fresh.Replace(Targets, []Change{inEra(2, target(0, "a", false)), inEra(2, target(1, "b", false))}, end(2, 2), now)
	known := follower.Known()
	follower.Merge(fresh.Since(known), known, 0)
	assert.Equal(t, end(1, 3), follower.End(Targets), "the log counts as read")
	assert.Equal(t, []string{"ended"}, usable(follower))
	now += time.Second
	follower.Replace(Targets, []Change{inEra(2, target(0, "a", false)), inEra(2, target(1, "b", false))}, end(2, 2), now)
	now += restoreGrace
	follower.Apply(Targets, nil, end(2, 2), now)
	assert.Equal(t, []string{"b"}, usable(follower))
}
