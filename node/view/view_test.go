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

// target returns a change that registers a target.
func target(offset int64, id string, leaving bool) Change {
	return Change{Log: Targets, Key: id, Offset: offset, Target: &fleet.Target{ID: id, Service: "s", Address: id + ":1", DataCentre: "z", Slots: 3, Leaving: leaving}}
}

// usable returns the ids of the usable targets.
func usable(v *View) []string {
	var out []string
	for _, t := range v.TargetsOf("s") {
		if t.Usable {
			out = append(out, t.ID)
		}
	}
	return out
}

// Guards against old data that undoes newer changes. It may come late, from another VM
// or from a store that answers with an old state.
func TestOlderChangeIsIgnored(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(5, "a", true)}, 6, 0)
	v.Replace(Targets, []Change{target(3, "a", false)}, 4, 0)
	assert.Empty(t, usable(v))
	assert.Equal(t, int64(6), v.End(Targets))
	// A registration that repeats the previous one is no change, but it still makes
	// records with lower offsets obsolete.
	v.Apply(Targets, []Change{target(8, "a", true)}, 9, 0)
	v.Apply(Targets, []Change{target(7, "a", false)}, 8, 0)
	assert.Empty(t, usable(v))
}

// Guards against an older configuration in force: a lower version that an operator
// writes at a higher offset must be ignored.
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

// Guards against targets that stay in use after their removal. If the store deletes the
// record of a removal before the VM reads it, the key is only absent from the newest
// values.
func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	now := time.Duration(0)
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(0, "a", false), target(1, "b", false)}, 2, 0)
	v.Replace(Targets, []Change{target(1, "b", false)}, 9, 0)
	assert.Equal(t, []string{"b"}, usable(v))
}

// Guards against the loss of all targets after an outage of the store in which their
// entries expired. The targets must stay in use for the grace period, and no longer.
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

// Guards against requests to a data centre that is out of service, and against full
// load on its targets right after its return: they count as cold for their warm-up.
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

// Guards against a VM that lacks changes, or takes them to be newer than they are, when
// it fetches them from another VM because the store refuses it.
func TestMergeTakesChangesAndAge(t *testing.T) {
	now := 100 * time.Second
	reader, other := newTestView(&now), newTestView(&now)
	reader.Apply(Targets, []Change{target(0, "a", false), target(1, "b", true)}, 2, now-time.Second)
	asked := other.Known()
	other.Merge(reader.Since(asked), asked, 10*time.Millisecond)
	assert.Equal(t, []string{"a"}, usable(other))
	assert.Equal(t, time.Second+10*time.Millisecond, other.Staleness(Targets))
	reader.Apply(Targets, []Change{target(2, "b", true)}, 3, now)
	assert.Empty(t, reader.Since(other.Known()).Changes, "a repeated registration was sent")
}

// Guards against memory that grows with each target that ever existed, in a process
// that runs for months.
func TestGoneTargetsAreForgotten(t *testing.T) {
	now := time.Second
	v := newTestView(&now)
	v.Apply(Targets, []Change{target(0, "a", false), {Log: Targets, Key: "a", Offset: 1}}, 2, 0)
	address, _, known := v.Address("a")
	assert.True(t, known, "a removed target may still hold keys")
	assert.Equal(t, "a:1", address)
	now += tombstoneTTL + pruneInterval
	v.Apply(Targets, nil, 3, 0)
	_, _, known = v.Address("a")
	assert.False(t, known)
	assert.Empty(t, v.entries[Targets])
}

// cellRecord returns a change with a cell record that assigns the given number of
// ranges, to different owners at each offset.
func cellRecord(offset int64, boot string, ranges int) Change {
	c := &fleet.Cell{Service: "s", Leader: "vm-1", Boot: boot, Change: uint64(offset) + 100}
	for i := range ranges {
		owner := keyspace.Holder{Target: fmt.Sprintf("i-%08x", uint32(i+int(offset))*2654435761), Life: int64(i)}
		c.Keys = append(c.Keys, keyspace.Assignment{From: i, To: i, Owner: owner, Fence: offset})
	}
	return Change{Log: System, Key: CellKey("s"), Offset: offset, Cell: c}
}

// Guards against control traffic that grows with the number of targets and VMs. In a
// cell with many targets the load keeps shifting, so the leader writes a record several
// times a second. Not every one of these may be sent to all other VMs.
func TestRecordsThatOnlyMoveKeysAreRateLimited(t *testing.T) {
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
		assert.LessOrEqual(t, other.Staleness(System), 200*time.Millisecond, "the view does not count as up to date")
	}
	assert.Less(t, float64(sent)/length.Seconds(), 2.0*cellBytesPerSecond)
	record, number := other.Cell("s")
	assert.NotNil(t, record)
	assert.LessOrEqual(t, other.End(System), offset)

	// Changes after a deferred record are sent at once, and that record later.
	offset++
	reader.Apply(System, []Change{cellRecord(offset, "a", 800), {Log: System, Key: VMKey("x"), Offset: offset + 1, VM: &fleet.VM{ID: "x"}}}, offset+2, now)
	exchange()
	_, known := other.VM("x")
	assert.True(t, known)
	_, same := other.Cell("s")
	assert.Equal(t, number, same)
	assert.LessOrEqual(t, other.End(System), offset, "the VM would skip the deferred record if it read the log itself")
	now += 10 * time.Second
	exchange()
	_, newest := other.Cell("s")
	assert.Equal(t, Number(offset), newest)
	assert.Equal(t, offset+2, other.End(System))

	// The record of a new leader is not deferred.
	reader.Apply(System, []Change{cellRecord(offset+2, "b", 800)}, offset+3, now)
	exchange()
	c, _ := other.Cell("s")
	assert.Equal(t, "b", c.Boot)
}

// Guards against VMs that all read an empty log themselves when a deployment starts: that
// the log is empty can be learned from another VM too.
func TestEmptyLogIsLearnedFromAnotherVM(t *testing.T) {
	clock := func() time.Duration { return time.Second }
	from, to := New(clock, hclog.NewNullLogger()), New(clock, hclog.NewNullLogger())
	from.Apply(Targets, nil, 0, time.Second)
	known := to.Known()
	to.Merge(from.Since(known), known, 0)
	assert.Zero(t, to.Staleness(Targets))
	assert.Greater(t, to.Staleness(Operators), time.Hour, "the other VM has not read it")
}

// Guards against targets that have left, and configurations that were withdrawn, that are
// in use again after a restart: the VM that restarts must not start from the view of a VM
// that has lost the store. If the store answers neither, that view is the best there is.
func TestRestartDoesNotStartFromOldView(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	behind := New(clock, hclog.NewNullLogger())
	behind.Apply(Operators, []Change{{Log: Operators, Key: "config", Offset: 3, Config: &fleet.Config{Version: 3}}}, 4, now)
	behind.Apply(Targets, []Change{{Log: Targets, Key: "t", Offset: 5, Target: &fleet.Target{ID: "t", Service: "s"}}}, 6, now)
	behind.Apply(System, nil, 1, now)
	now += maxFirstAge + time.Millisecond

	restarted := New(clock, hclog.NewNullLogger())
	merge := func() {
		known := restarted.Known()
		restarted.Merge(behind.Since(known), known, 0)
	}
	merge()
	assert.False(t, restarted.Ready())
	assert.Empty(t, restarted.TargetsOf("s"))
	restarted.Apply(Targets, nil, 8, now)
	merge()
	assert.Empty(t, restarted.TargetsOf("s"), "the store has told that the target has left")

	alone := New(clock, hclog.NewNullLogger())
	alone.StoreFailed()
	known := alone.Known()
	alone.Merge(behind.Since(known), known, 0)
	assert.True(t, alone.Ready())
	assert.Len(t, alone.TargetsOf("s"), 1)
}
