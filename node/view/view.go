// Package view holds what a VM knows of the deployment. The knowledge comes
// from three logs of the store, read by the VM itself or passed on by another
// VM; a change with a lower offset never replaces one with a higher offset.
package view

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/pkg/errors"
)

// Log is one of the logs that the view is made of.
type Log int

// The logs.
const (
	Operators Log = iota // configuration and data centres taken out of service
	Targets              // what targets say of themselves
	System               // what the VMs keep
	numLogs
)

// Logs lists all logs.
var Logs = []Log{Operators, Targets, System}

// String returns the log's name.
func (l Log) String() string {
	return [...]string{"operators", "targets", "system"}[l]
}

// Change is a new value of one key of a log. At most one of the pointers is
// set; none is set when the key is gone or its value could not be read.
type Change struct {
	Log    Log
	Key    string
	Offset int64
	Age    time.Duration // since the VM that read it did so
	Config *fleet.Config
	OutOf  string // data centre that is taken out of service
	Target *fleet.Target
	VM     *fleet.VM
	Cell   *fleet.Cell
	Packed []byte // Config or Cell between VMs
}

func (c *Change) gone() bool {
	return c.Config == nil && c.OutOf == "" && c.Target == nil && c.VM == nil && c.Cell == nil
}

// Position is how far a log was read.
type Position struct {
	End int64         // offset after the last record that was read
	Age time.Duration // since the log was read up to there
}

// Known is what a VM knows, as it tells another VM.
type Known struct {
	Ends  [numLogs]int64 // offsets up to which the logs are known
	Cells map[string]CellVersion
}

// CellVersion names the version of a cell's record that a VM has.
type CellVersion struct {
	Leader, Boot string
	Change       uint64
	Age          time.Duration // since the VM that read it did so
}

// Batch is a part of the view, as VMs pass it to each other.
type Batch struct {
	Changes   []Change
	Positions [numLogs]Position
}

type entry struct {
	Change
	latest int64 // offset of the last record of the key, which may repeat the value
	seenAt time.Duration
	packed func() (Change, error) // the change as it is passed on
}

func newEntry(c Change, seenAt time.Duration) *entry {
	return &entry{Change: c, latest: c.Offset, seenAt: seenAt, packed: sync.OnceValues(func() (Change, error) { return pack(c) })}
}

// View is safe for concurrent use.
type View struct {
	now    func() time.Duration
	logger hclog.Logger

	mu      sync.RWMutex
	entries [numLogs]map[string]*entry
	ends    [numLogs]int64
	freshAt [numLogs]time.Duration
	known   [numLogs]bool
	version uint64 // counts the changes of anything
	config  *fleet.Config
	table   *fleet.Table
	changed chan struct{}
	// graceUntil is the end of the time in which targets whose entries went
	// during an outage of the store may come back.
	graceUntil time.Duration
	missing    map[string]*entry // targets without an entry, in grace
	coldDC     map[string]time.Duration
	// last keeps the entries of targets that are gone, which may still hold keys.
	last     map[string]*entry
	prunedAt time.Duration
}

const (
	// goneFor is how long a key that is gone is remembered: far beyond the time
	// for which a target holds keys, and twice the store's usual history.
	goneFor = 10 * time.Minute
	// prunePause is the pause between two looks for what may be forgotten.
	prunePause = time.Minute
)

// New returns an empty view. Now reads a clock that counts suspended time.
func New(now func() time.Duration, logger hclog.Logger) *View {
	v := &View{now: now, logger: logger, changed: make(chan struct{}), missing: map[string]*entry{},
		coldDC: map[string]time.Duration{}, last: map[string]*entry{}}
	for i := range v.entries {
		v.entries[i] = map[string]*entry{}
	}
	return v
}

// Ready tells whether the operators' configuration and the targets are known.
func (v *View) Ready() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config != nil && v.known[Targets] && v.known[System]
}

// Config returns the configuration in force and its routes, or nil.
func (v *View) Config() (*fleet.Config, *fleet.Table) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config, v.table
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() (version uint64, changed <-chan struct{}) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version, v.changed
}

// End returns the offset up to which a log is known.
func (v *View) End(l Log) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.ends[l]
}

// Known returns what this VM knows, for another VM that is asked for more.
func (v *View) Known() Known {
	v.mu.RLock()
	defer v.mu.RUnlock()
	k := Known{Ends: v.ends, Cells: map[string]CellVersion{}}
	now := v.now()
	for _, e := range v.entries[System] {
		if c := e.Cell; c != nil {
			k.Cells[c.Service] = CellVersion{Leader: c.Leader, Boot: c.Boot, Change: c.Change, Age: now - e.seenAt}
		}
	}
	return k
}

// Staleness returns how long ago a log was known to its end.
func (v *View) Staleness(l Log) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if !v.known[l] {
		return 1 << 62
	}
	return v.now() - v.freshAt[l]
}

// Apply takes changes of one log that was read up to end by a call that began
// at a reading of the clock.
func (v *View) Apply(l Log, changes []Change, end int64, began time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes)
	v.advance(l, end, began)
}

// Replace takes the newest values of all keys of a log. Keys that are not
// among them are gone, unless the view already knows the log further.
func (v *View) Replace(l Log, changes []Change, end int64, began time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if end >= v.ends[l] {
		named := make(map[string]bool, len(changes))
		for _, c := range changes {
			named[c.Key] = true
		}
		for key, e := range v.entries[l] {
			if !named[key] && !e.gone() {
				changes = append(changes, Change{Log: l, Key: key, Offset: end - 1})
			}
		}
	}
	v.apply(changes)
	v.advance(l, end, began)
}

// prune forgets keys that have been gone for long.
func (v *View) prune() {
	now := v.now()
	if now < v.prunedAt+prunePause {
		return
	}
	v.prunedAt = now
	for l := range v.entries {
		for key, e := range v.entries[l] {
			if e.gone() && now > e.seenAt+goneFor {
				delete(v.entries[l], key)
				delete(v.last, key)
				delete(v.missing, key)
			}
		}
	}
}

func (v *View) advance(l Log, end int64, began time.Duration) {
	v.prune()
	if end >= v.ends[l] {
		v.ends[l] = end
		v.freshAt[l] = max(v.freshAt[l], began)
		v.known[l] = true
	}
}

func (v *View) apply(changes []Change) {
	now, any := v.now(), false
	for _, c := range changes {
		old := v.entries[c.Log][c.Key]
		if old != nil && old.latest >= c.Offset {
			continue
		}
		e := newEntry(c, now-c.Age)
		if v.sameTarget(old, e) {
			old.latest = c.Offset
			continue
		}
		v.entries[c.Log][c.Key] = e
		v.note(old, e, now)
		any = true
	}
	if any {
		v.version++
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// sameTarget tells whether a target only repeats what it said before.
func (v *View) sameTarget(old, e *entry) bool {
	return old != nil && old.Target != nil && e.Target != nil && *old.Target == *e.Target && e.Target.ColdFor == 0
}

// note logs a change of what the process believes and updates what follows from it.
func (v *View) note(old, e *entry, now time.Duration) {
	switch {
	case e.Config != nil:
		v.setConfig(e.Config)
	case e.Log == Operators && old != nil && old.OutOf != "" && e.gone():
		v.coldDC[old.OutOf] = now
		v.logger.Info("data centre is back in service", "data_centre", old.OutOf, "offset", e.Offset)
	case e.OutOf != "":
		v.logger.Info("data centre is taken out of service", "data_centre", e.OutOf, "offset", e.Offset)
	case e.Log == Targets:
		v.noteTarget(old, e, now)
	case e.Cell != nil:
		v.logger.Info("cell record", "service", e.Cell.Service, "leader", e.Cell.Leader, "boot", e.Cell.Boot, "ranges", len(e.Cell.Keys), "offset", e.Offset)
	case e.VM != nil:
		v.logger.Info("vm record", "vm", e.VM.ID, "boot", e.VM.Boot, "peer", e.VM.PeerAddress, "offset", e.Offset)
	}
}

func (v *View) setConfig(c *fleet.Config) {
	if v.config != nil && c.Version <= v.config.Version {
		return
	}
	v.config, v.table = c, fleet.NewTable(c)
	v.logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
}

func (v *View) noteTarget(old, e *entry, now time.Duration) {
	delete(v.missing, e.Key)
	switch {
	case e.Target != nil:
		if old == nil || old.Target == nil || old.Target.Life != e.Target.Life || old.Target.Leaving != e.Target.Leaving {
			t := e.Target
			v.logger.Info("target", "target", t.ID, "service", t.Service, "address", t.Address, "data_centre", t.DataCentre,
				"life", t.Life, "leaving", t.Leaving, "cold_for", t.ColdFor, "offset", e.Offset)
		}
	case old != nil && old.Target != nil:
		v.logger.Info("target is gone", "target", old.Target.ID, "service", old.Target.Service, "offset", e.Offset, "grace", now < v.graceUntil)
		v.last[e.Key] = old
		if now < v.graceUntil {
			v.missing[e.Key] = old
		}
	}
}

// OutageEnded says that the store answers again after an outage. Entries that
// lapsed meanwhile have some time to come back.
func (v *View) OutageEnded(grace time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.graceUntil = v.now() + grace
}

// Packed returns the newest change of a key as it is passed on to another VM.
func (v *View) Packed(l Log, key string) (Change, error) {
	v.mu.RLock()
	e := v.entries[l][key]
	v.mu.RUnlock()
	if e == nil {
		return Change{}, errors.Errorf("log %s has no key %q", l, key)
	}
	return e.packed()
}

// Learn takes changes that another VM passes on by themselves. Records before
// them may be unknown, so the logs are read as before.
func (v *View) Learn(changes []Change) error {
	if err := unpackAll(changes); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes)
	return nil
}

// Since returns what another VM does not know. A record that only moves keys
// of a cell is held back while that VM has one that is not old: only VMs that
// reach no leader go by its keys, and to pass on each of them would take more
// with each target and VM. The log then counts as known up to there.
func (v *View) Since(k Known) Batch {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var b Batch
	now := v.now()
	for l := range numLogs {
		if !v.known[l] {
			continue
		}
		b.Positions[l] = Position{End: v.ends[l], Age: now - v.freshAt[l]}
		for _, e := range v.entries[l] {
			if e.Offset < k.Ends[l] {
				continue
			}
			c, err := e.packed()
			if err != nil {
				v.logger.Error("a change is passed on as it is", "log", l, "key", e.Key, "offset", e.Offset, "error", err)
			}
			switch k.needs(e.Cell, len(c.Packed)) {
			case has:
				continue
			case canWait:
				b.Positions[l].End = min(b.Positions[l].End, e.Offset)
				continue
			}
			c.Age = now - e.seenAt
			b.Changes = append(b.Changes, c)
		}
	}
	slices.SortFunc(b.Changes, func(a, b Change) int { return int(a.Offset - b.Offset) })
	return b
}

// keysRate bounds the bytes a second that a VM gets to know of who owns which
// keys: a seventh of the 27 KB/s that control may take on a VM.
const keysRate = 4 << 10

// need tells whether a VM is to be sent a record.
type need int

const (
	sendNow need = iota
	has
	canWait
)

// needs tells whether a VM needs the record of a cell, nil for other records.
func (k Known) needs(c *fleet.Cell, bytes int) need {
	if c == nil {
		return sendNow
	}
	mine, known := k.Cells[c.Service]
	switch {
	case known && mine.Change == c.Change:
		return has
	case known && mine.Leader == c.Leader && mine.Boot == c.Boot && mine.Age < time.Duration(bytes)*time.Second/keysRate:
		return canWait
	}
	return sendNow
}

func unpackAll(changes []Change) error {
	for i, c := range changes {
		var err error
		if changes[i], err = unpack(c); err != nil {
			return errors.Wrapf(err, "key %q at %d", c.Key, c.Offset)
		}
	}
	return nil
}

// Merge takes what another VM knows beyond what this VM had told it.
func (v *View) Merge(b Batch, told Known, elapsed time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for l := range numLogs {
		if b.Positions[l].End == 0 && !v.known[l] || told.Ends[l] > v.ends[l] {
			continue
		}
		var mine []Change
		for _, c := range b.Changes {
			if c.Log == l {
				mine = append(mine, c)
			}
		}
		if err := unpackAll(mine); err != nil {
			v.logger.Error("changes from another VM were not taken", "log", l, "end", b.Positions[l].End, "error", err)
			continue
		}
		v.apply(mine)
		if b.Positions[l].End > 0 {
			v.advance(l, b.Positions[l].End, now-elapsed-b.Positions[l].Age)
		}
	}
}
