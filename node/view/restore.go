package view

import (
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
)

const (
	// restoreGrace is for how long after a restore of the store a target or an evacuation
	// that the copy lacks stays as it is, so that its writer can write it again.
	restoreGrace = 2200 * time.Millisecond
	// targetSettleTime is after which time a target whose removal the copy lacks counts as
	// present again. The store removes the entry of one that has ended after three missing
	// heartbeats, which come every 1.5 s at most.
	targetSettleTime = 6 * time.Second
	// evacuationSettleTime is the same for an evacuation that was withdrawn. The operators
	// may also have begun it again since the restore, and it has to take effect within 5 s.
	evacuationSettleTime = 3 * time.Second
)

// isRestored reports whether a log that ends at end is in a later era than the view of
// it.
func (v *View) isRestored(l Log, end int64) bool { return v.known[l] && Era(end) > Era(v.ends[l]) }

// reconcile compares the content of a log that was restored from an older copy with the
// view, and returns the changes to apply now. complete tells whether changes holds all
// keys of the log, as Store.Newest returns them, or only what another VM has sent.
//
// The copy can be older than the view. So a target that was known to leave or to have
// ended, or an evacuation that was withdrawn, does not return with it at once, and what
// the copy lacks stays for restoreGrace. Records of the VMs name the era in which they were
// written, which orders them.
func (v *View) reconcile(l Log, changes []Change, end int64, complete bool) (now []Change) {
	v.logger.Warn("the store was restored from an older copy", "log", l, "era", Era(end), "previous_era", Era(v.ends[l]),
		"end", RawOffset(end), "previous_end", RawOffset(v.ends[l]))
	clock := v.now()
	v.followedAt[l] = clock
	v.graceUntil = max(v.graceUntil, clock+restoreGrace)
	if l == System {
		v.previousEra, v.previousFreshAt = Era(v.ends[l]), v.freshAt[l]
	}
	// What an earlier copy said no longer counts.
	v.unsettled = slices.DeleteFunc(v.unsettled, func(c unsettledChange) bool { return c.Log == l })
	present := make(map[string]bool, len(changes))
	for _, c := range changes {
		present[c.Key] = true
		switch old := v.entries[l][c.Key]; v.compareWithCopy(old, &c) {
		case copyIsNewer:
			now = append(now, c)
		case copyMayBeOlder:
			if l == Targets {
				v.settleLater(c, clock+targetSettleTime)
			} else {
				v.settleLater(c, clock+evacuationSettleTime)
			}
		}
	}
	if !complete || l == System {
		return now
	}
	for key, e := range v.entries[l] {
		if present[key] || e.isTombstone() || e.Config != nil {
			continue
		}
		removal := Change{Log: l, Key: key, Offset: end - 1}
		if l == Targets {
			now = append(now, removal) // stays in use up to graceUntil
		} else {
			v.settleLater(removal, clock+restoreGrace)
		}
	}
	return now
}

// comparison is the result of compareWithCopy.
type comparison int

const (
	copyIsNewer comparison = iota
	copyIsOlder
	copyMayBeOlder
)

// compareWithCopy compares what the view knows of a key, nil if nothing, with a record of
// a restored store.
func (v *View) compareWithCopy(old *entry, c *Change) comparison {
	switch {
	case old != nil && old.OutOf != "" && c.isTombstone():
		return copyMayBeOlder
	case old == nil || c.isTombstone():
		return copyIsNewer
	case old.Config != nil && c.Config != nil:
		if c.Config.Version < old.Config.Version {
			return copyIsOlder
		}
	case old.Cell != nil && c.Cell != nil:
		if c.Cell.Change == old.Cell.Change || !isWrittenLater(c.Cell.Era, c.Offset, old.Cell.Era, old.Offset) {
			return copyIsOlder
		}
	case old.VM != nil && c.VM != nil:
		if c.VM.Boot != old.VM.Boot && !isRegisteredLater(c, old) {
			return copyIsOlder
		}
	case c.Target != nil:
		return v.compareTarget(old, c.Target)
	case c.OutOf != "" && old.isTombstone():
		return copyMayBeOlder
	}
	return copyIsNewer
}

// compareTarget is compareWithCopy for a target. A process that has announced its end
// never takes that back.
func (v *View) compareTarget(old *entry, t *fleet.Target) comparison {
	known := old.Target
	if known == nil {
		gone := v.goneTargets[t.ID]
		if gone == nil || gone.Target.Life < t.Life {
			return copyIsNewer
		}
		if gone.Target.Life > t.Life || gone.Target.Leaving {
			return copyIsOlder
		}
		return copyMayBeOlder
	}
	if t.Life > known.Life || t.Life == known.Life && t.Leaving && !known.Leaving {
		return copyIsNewer
	}
	return copyIsOlder
}

// isWrittenLater reports whether a record of a VM was written after another, given their
// eras and positions. Offsets of the same era compare also if one was read from a copy.
func isWrittenLater(era, position, otherEra, otherPosition int64) bool {
	if era != otherEra {
		return era > otherEra
	}
	return RawOffset(position) > RawOffset(otherPosition)
}

// isReplacedBy reports whether a change is newer than the entry of its key. The records
// of cells are ordered by when they were written: the store carries out an append without
// an answer also after a restore, if its condition holds again. Records without an era
// are those of earlier versions of the program.
func (e *entry) isReplacedBy(c *Change) bool {
	if c.VM != nil && e.VM != nil && c.VM.Boot != e.VM.Boot {
		return e.isReplacedByRegistration(c)
	}
	if c.Cell == nil || e.Cell == nil || c.Cell.Era == 0 || e.Cell.Era == 0 {
		return c.Offset > e.latestOffset
	}
	if isWrittenLater(c.Cell.Era, c.Offset, e.Cell.Era, e.Offset) {
		return true
	}
	if c.Offset > e.latestOffset {
		e.latestOffset, e.shadowed = c.Offset, e.shadowed || c.Cell.Change != e.Cell.Change
	}
	return false
}

// isReplacedByRegistration is isReplacedBy for the registration of another process of the
// VM. The store may carry out that of an earlier process late.
func (e *entry) isReplacedByRegistration(c *Change) bool {
	if c.VM.Registration == 0 || e.VM.Registration == 0 {
		return c.Offset > e.latestOffset
	}
	if isRegisteredLater(c, e) {
		return true
	}
	if c.Offset > e.latestOffset {
		e.latestOffset, e.shadowed = c.Offset, true
	}
	return false
}

// isRegisteredLater reports whether a registration was written after an entry by another
// process of the VM. Of two with one number, the process of the later one knew none of the
// other: the first one in the log counts, and the other process registers again.
func isRegisteredLater(c *Change, e *entry) bool {
	if c.VM.Era == e.VM.Era && c.VM.Registration > 0 && e.VM.Registration > 0 {
		return c.VM.Registration > e.VM.Registration
	}
	return isWrittenLater(c.VM.Era, c.Offset, e.VM.Era, e.Offset)
}

// unsettledChange is a change that is applied at a later time.
type unsettledChange struct {
	Change
	at time.Duration
}

// settleLater has a change applied at the given time, unless a later record of the key
// is applied before.
func (v *View) settleLater(c Change, at time.Duration) {
	v.unsettled = append(v.unsettled, unsettledChange{c, at})
	v.logger.Info("keeps what is known of a key although the restored store says otherwise", "log", c.Log, "key", c.Key, "present", !c.isTombstone(), "for", at-v.now())
}

// settle applies the changes of settleLater once they are due.
func (v *View) settle() {
	var due []Change
	now := v.now()
	v.unsettled = slices.DeleteFunc(v.unsettled, func(c unsettledChange) bool {
		if now < c.at {
			return false
		}
		due = append(due, c.Change)
		return true
	})
	v.apply(due)
}

// IsCellRestored reports whether the store does not hold the newest known record of a
// cell as one of its present era: it was restored since the record was written, and other
// VMs may have written later records that are lost. Without a record, all may be lost.
func (v *View) IsCellRestored(service string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][CellKey(service)]
	era := Era(v.ends[System])
	if e == nil || e.Cell == nil {
		return era > firstEra
	}
	return e.shadowed || e.Cell.Era < era
}

// CellStaleness returns the time since the store was last known to hold the newest known
// record of a cell as the newest. It is over a hundred years if it never was.
func (v *View) CellStaleness(service string) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][CellKey(service)]
	switch {
	case e == nil || e.Cell == nil || !v.known[System]:
		return neverKnown
	case e.Cell.Era >= Era(v.ends[System]):
		return v.now() - v.freshAt[System]
	case e.Cell.Era == v.previousEra:
		return v.now() - v.previousFreshAt
	}
	return neverKnown
}

// KnewEarlierEra reports whether this process knew the log System before the store was
// last restored. One that did not may lack records that the others know.
func (v *View) KnewEarlierEra() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.followedAt[System] > 0
}

// IsRegistered reports whether the store is known to hold the registration of a VM's
// process in its present era.
func (v *View) IsRegistered(vm fleet.VM) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][VMKey(vm.ID)]
	return e != nil && e.VM != nil && e.VM.Boot == vm.Boot && Era(e.latestOffset) == Era(v.ends[System]) && !e.shadowed
}

// IsBehind reports whether a log is known only in an earlier era than another.
func (v *View) IsBehind(l Log) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, end := range v.ends {
		if v.known[l] && Era(end) > Era(v.ends[l]) {
			return true
		}
	}
	return false
}
