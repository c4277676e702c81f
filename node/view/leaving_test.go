package view

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
)

// process returns a change that registers a process of a target.
func process(offset int64, id string, life int64, leaving bool) Change {
	c := target(offset, id, leaving)
	c.Target.Life = life
	return c
}

// announced returns the ids of the targets that are known to leave.
func announced(v *View) []string {
	var out []string
	for _, a := range v.Announcements("s") {
		out = append(out, a.Target)
	}
	return out
}

// Guards against a target that is used again because the store carries out an earlier append
// of it late: the later position brings back that it is ready.
func TestLateEntryDoesNotReviveALeavingTarget(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{process(0, "a", 1, false), process(1, "a", 1, true)}, 2, 0)
	v.Apply(Targets, []Change{process(2, "a", 1, false)}, 3, 0)
	assert.Empty(t, usable(v))
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 3}}, 4, 0)
	v.Apply(Targets, []Change{process(4, "a", 1, false)}, 5, 0)
	assert.Empty(t, usable(v), "after its removal")
	v.Apply(Targets, []Change{process(5, "a", 2, false)}, 6, 0)
	assert.Equal(t, []string{"a"}, usable(v), "a new process starts clean")
}

// Guards against a target that is used again after its entry was removed, which may be the only
// sign that it leaves: the store carries out an earlier append of it late. A target whose entry
// had lapsed comes back with its next one, and a new process counts anew.
func TestLateEntryDoesNotBringATargetBack(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	record := func(offset, life int64, sequence float64) {
		c := process(offset, "a", life, false)
		c.Sequence = sequence
		v.Apply(Targets, []Change{c}, offset+1, 0)
	}
	record(0, 1, 7)
	record(1, 1, 8) // repeats the first
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 2}}, 3, 0)
	for offset, sequence := range []float64{6, 7, 8} {
		record(int64(3+offset), 1, sequence)
		assert.Empty(t, usable(v), "sequence %v", sequence)
	}
	record(6, 1, 9)
	assert.Equal(t, []string{"a"}, usable(v), "it had lapsed")
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 7}}, 8, 0)
	record(8, 2, 1)
	assert.Equal(t, []string{"a"}, usable(v), "a new process")
	assert.EqualValues(t, 9, v.End(Targets))
}

// Guards against an announcement that is forgotten: by a later entry, by a view
// from behind, by the removal of the entry or by a restored store. A new process starts clean,
// and the announcement of an earlier process does not count for it.
func TestAnnouncementCountsForTheLifetimeOfItsProcess(t *testing.T) {
	now := time.Minute
	v := newTestView(&now)
	v.Apply(Targets, []Change{process(0, "a", 1, false), process(1, "b", 1, false)}, 2, 0)
	assert.True(t, v.NoteLeaving(Announcement{Target: "a", Life: 1}))
	assert.False(t, v.NoteLeaving(Announcement{Target: "a", Life: 1}), "it is known")
	check := func(why string) {
		t.Helper()
		assert.Equal(t, []string{"a"}, announced(v), why)
		since, leaves := v.LeavingSince("a", 1)
		assert.True(t, leaves, why)
		assert.Equal(t, time.Minute, since, why)
		for _, known := range v.TargetsOf("s") {
			assert.Equal(t, known.ID == "a", known.Announced, why)
		}
	}
	check("announced")
	now += time.Second
	v.NoteLeaving(Announcement{Target: "a", Life: 1})
	v.Apply(Targets, []Change{process(2, "a", 1, false)}, 3, 0)
	check("a later entry")
	v.Merge(Batch{Changes: []Change{process(3, "a", 1, false)}, Positions: [numLogs]Position{Targets: {Read: true, End: 4}}}, v.Known(), 0)
	check("a view of another VM")
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 4}}, 5, 0)
	assert.Empty(t, announced(v), "it is not registered")
	v.Apply(Targets, []Change{process(5, "a", 1, false)}, 6, 0)
	check("registered again")
	v.Replace(Targets, []Change{process(PositionOf(2, 1), "a", 1, false), process(PositionOf(2, 0), "b", 1, false)}, PositionOf(2, 2), now)
	check("a restored store")

	v.Apply(Targets, []Change{process(PositionOf(2, 2), "a", 2, false)}, PositionOf(2, 3), 0)
	assert.Empty(t, announced(v), "a new process starts clean")
	assert.False(t, v.NoteLeaving(Announcement{Target: "a", Life: 1}) && len(announced(v)) > 0, "the announcement of the earlier process")
	_, leaves := v.LeavingSince("a", 2)
	assert.False(t, leaves)
	assert.True(t, v.NoteLeaving(Announcement{Target: "a", Life: 2}))
	assert.Equal(t, []string{"a"}, announced(v))
}

// Guards against an earlier process, as a late record or a VM that is behind names it, that is
// used although a later one of the same target leaves.
func TestEarlierProcessOfALeavingTargetIsNotUsed(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{process(0, "a", 1, false)}, 1, 0)
	v.NoteLeaving(Announcement{Target: "a", Life: 2, Age: 300 * time.Millisecond})
	since, leaves := v.LeavingSince("a", 1)
	assert.True(t, leaves)
	assert.Equal(t, 700*time.Millisecond, since)
}

// Guards against memory that grows with each target that has left.
func TestLeavesAreForgotten(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	v.Apply(Targets, []Change{process(0, "a", 1, false), process(1, "b", 1, true), process(2, "c", 1, false)}, 3, 0)
	v.NoteLeaving(Announcement{Target: "a", Life: 1})
	v.NoteLeaving(Announcement{Target: "c", Life: 1})
	v.NoteLeaving(Announcement{Target: "unknown", Life: 1})
	v.Apply(Targets, []Change{{Log: Targets, Key: "a", Offset: 3}, {Log: Targets, Key: "b", Offset: 4}}, 5, 0)
	now += tombstoneTTL + pruneInterval
	v.Apply(Targets, nil, 5, now)
	assert.Len(t, v.leaves, 1, "c is still registered")
	v.Apply(Targets, []Change{process(5, "c", 2, false)}, 6, now)
	now += 2 * pruneInterval
	v.Apply(Targets, nil, 6, now)
	assert.Empty(t, v.leaves)
	assert.Equal(t, []fleet.Target{*process(5, "c", 2, false).Target}, []fleet.Target{v.TargetsOf("s")[0].Target})
}
