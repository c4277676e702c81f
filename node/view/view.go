// Package view holds a VM's replica of the state of the deployment, which is kept in
// three logs of the store. The VM reads them itself or fetches changes from other VMs.
// A change of a key never replaces one at a higher position. After the store was restored
// from an older copy, the view keeps what it knows better than the copy; see Replace.
package view

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/pkg/errors"
)

// Log identifies one of the logs that the view is built from.
type Log int

// The logs, by who writes them.
const (
	Operators Log = iota // operators: configuration and data centres taken out of service
	Targets              // targets: their registrations
	System               // VMs: their registrations and the records of cells
	numLogs
)

// Logs lists all logs.
var Logs = []Log{Operators, Targets, System}

// String returns the log's name.
func (l Log) String() string {
	if l < 0 || l >= numLogs {
		return "unknown"
	}
	return [...]string{"operators", "targets", "system"}[l]
}

// Change is a new value of one key of a log. At most one of Config, OutOf, Target, VM
// and Cell is set. None is set if the key was removed, if its value could not be
// decoded, or while Packed holds the value.
type Change struct {
	Log    Log
	Key    string
	Offset int64         // position of the record in the log; see PositionOf
	Age    time.Duration // time since a VM read the change from the store
	Config *fleet.Config
	OutOf  string // data centre that is out of service
	Target *fleet.Target
	// Sequence rises with each record that a target's process writes; 0 if it is unknown.
	Sequence float64
	VM       *fleet.VM
	Cell     *fleet.Cell
	Packed   []byte // Config or Cell in compressed form, as sent between VMs
}

// isTombstone reports whether the change has no value.
func (c *Change) isTombstone() bool {
	return c.Config == nil && c.OutOf == "" && c.Target == nil && c.VM == nil && c.Cell == nil
}

// Position tells how far a log is known.
type Position struct {
	Read bool          // whether the log was read; a log may be empty
	End  int64         // position after the last known record
	Age  time.Duration // time since the log was known to end there
}

// Known summarizes what a VM's view contains, so that another VM can send what it lacks.
type Known struct {
	Ends  [numLogs]int64         // positions up to which the logs are known
	Cells map[string]CellVersion // by service
}

// CellVersion identifies the version of a cell's record that a VM has.
type CellVersion struct {
	Leader, Boot string
	Change       uint64
	Age          time.Duration // time since a VM read the record from the store
}

// Batch is the part of a view that one VM sends to another.
type Batch struct {
	Changes   []Change
	Positions [numLogs]Position
}

type entry struct {
	Change
	latestOffset int64                  // position of the newest record of the key, which may have repeated the value
	sequence     float64                // of that record, if it is a target's
	shadowed     bool                   // the store holds a later record of the key that is not valid; cells and VMs only
	seenAt       time.Duration          // when a VM read the change from the store
	packed       func() (Change, error) // the change as sent to other VMs, computed once
}

func newEntry(c Change, seenAt time.Duration) *entry {
	return &entry{Change: c, latestOffset: c.Offset, sequence: c.Sequence, seenAt: seenAt, packed: sync.OnceValues(func() (Change, error) { return pack(c) })}
}

// View is the replica. It is safe for concurrent use.
type View struct {
	now    func() time.Duration
	logger hclog.Logger

	mu      sync.RWMutex
	entries [numLogs]map[string]*entry
	ends    [numLogs]int64
	freshAt [numLogs]time.Duration // when the log was last known to its end
	known   [numLogs]bool          // whether the log was ever read
	// acceptOld is set once the store has failed to answer this VM, which then starts from
	// what other VMs know, however old; see maxFirstAge.
	acceptOld bool
	version   uint64 // incremented with each change
	config    *fleet.Config
	table     *fleet.Table
	changed   chan struct{}
	// graceUntil is the end of the grace period after an outage of the store; see
	// OutageEnded.
	graceUntil   time.Duration
	graceTargets map[string]*entry        // targets whose entries were removed in the grace period, by id
	dcReturnedAt map[string]time.Duration // when data centres came back into service
	// goneTargets keeps the last entries of removed targets, by id, for their
	// addresses: the targets may still hold keys.
	goneTargets map[string]*entry
	leaves      map[string]leave    // by target id
	leaving     map[string][]string // see listLeaving
	prunedAt    time.Duration
	unread      [numLogs][]span
	unsettled   []unsettledChange // what a restored store says otherwise than the view
	// previousEra is the era of the log System before the last restore, and
	// previousFreshAt when the log was last known to its end in it.
	previousEra     int64
	previousFreshAt time.Duration
	followedAt      [numLogs]time.Duration // when the last restore was noticed in each log, 0 if never
}

const (
	// tombstoneTTL is how long the removal of a key is remembered. It is far longer
	// than a target holds keys, and twice the usual history of the store.
	tombstoneTTL = 10 * time.Minute
	// pruneInterval is the least time between two runs of prune.
	pruneInterval = time.Minute
	// maxFirstAge is the age up to which a VM that has just started takes a log from
	// another VM. One that is cut off from the store may still list targets that have left
	// and configurations that were withdrawn. VMs that reach the store or the reader are
	// not that far behind.
	maxFirstAge = 2 * time.Second
	// neverKnown is the staleness of what was never read.
	neverKnown = time.Duration(1 << 62)
)

// New returns an empty view. now reads a monotonic clock that includes the time for
// which the VM is suspended.
func New(now func() time.Duration, logger hclog.Logger) *View {
	v := &View{now: now, logger: logger, changed: make(chan struct{}), graceTargets: map[string]*entry{},
		dcReturnedAt: map[string]time.Duration{}, goneTargets: map[string]*entry{}, leaves: map[string]leave{}}
	for i := range v.entries {
		v.entries[i] = map[string]*entry{}
	}
	return v
}

// Ready reports whether the configuration is known and the logs Targets and System
// have been read.
func (v *View) Ready() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config != nil && v.known[Targets] && v.known[System]
}

// Config returns the configuration in force and its routing table, or nil for both if
// none is known.
func (v *View) Config() (*fleet.Config, *fleet.Table) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config, v.table
}

// Changed returns the version of the view, which grows with each change, and a
// channel that is closed at the next change.
func (v *View) Changed() (version uint64, changed <-chan struct{}) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version, v.changed
}

// End returns the position up to which a log is known.
func (v *View) End(l Log) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.ends[l]
}

// Known returns the summary of this view to send to another VM.
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

// Staleness returns the time since the log was last known to its end. It is over a
// hundred years if the log was never read.
func (v *View) Staleness(l Log) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if !v.known[l] {
		return neverKnown
	}
	return v.now() - v.freshAt[l]
}

// Apply applies changes that were read from one log. end is the offset up to which the
// log was read, and began the clock reading at which the read started.
func (v *View) Apply(l Log, changes []Change, end int64, began time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes)
	v.advance(l, end, began)
}

// Replace applies the newest values of all keys of a log, as returned by Store.Newest.
// It removes the other keys, unless the view already knows the log beyond end. If the log
// is in a later era than the view, the store was restored from a copy that may be older
// than the view: what the view knows better stays, and the rest is applied at once or
// after a settling time; see reconcile.
func (v *View) Replace(l Log, changes []Change, end int64, began time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isRestored(l, end) {
		v.skipTo(l, end)
		v.apply(v.reconcile(l, changes, end, true))
		v.advance(l, end, began)
		return
	}
	if v.followedAt[l] > 0 && began <= v.followedAt[l] {
		return // read before the view has compared the copy with what it knew
	}
	if end >= v.ends[l] {
		v.skipTo(l, end)
		present := make(map[string]bool, len(changes))
		for _, c := range changes {
			present[c.Key] = true
		}
		for key, e := range v.entries[l] {
			if !present[key] && !e.isTombstone() {
				changes = append(changes, Change{Log: l, Key: key, Offset: end - 1})
			}
		}
	}
	v.apply(changes)
	v.advance(l, end, began)
}

// prune deletes tombstones older than tombstoneTTL, and what is kept of their targets.
// Like all unexported methods that change the view, it is called with mu held.
func (v *View) prune() {
	now := v.now()
	if now < v.prunedAt+pruneInterval {
		return
	}
	v.prunedAt = now
	for l := range v.entries {
		for key, e := range v.entries[l] {
			if e.isTombstone() && now > e.seenAt+tombstoneTTL {
				delete(v.entries[l], key)
				delete(v.goneTargets, key)
				delete(v.graceTargets, key)
			}
		}
	}
	v.pruneLeaves(now)
}

// advance records that a log was known up to end at the time began. It ignores an end
// below the one already known.
func (v *View) advance(l Log, end int64, began time.Duration) {
	v.prune()
	v.settle()
	if end >= v.ends[l] {
		v.ends[l] = end
		v.freshAt[l] = max(v.freshAt[l], began)
		v.known[l] = true
	}
}

// apply applies the changes that are newer than what the view has.
func (v *View) apply(changes []Change) {
	now, any := v.now(), false
	for _, c := range changes {
		old := v.entries[c.Log][c.Key]
		if old != nil && !old.isReplacedBy(&c) || v.isLateRecord(old, &c) {
			continue
		}
		e := newEntry(c, now-max(0, c.Age)) // nothing is fresher than now, whatever another VM says
		if v.repeatsTarget(old, e) {
			old.latestOffset, old.sequence = c.Offset, max(old.sequence, c.Sequence)
			continue
		}
		v.entries[c.Log][c.Key] = e
		v.handleChange(old, e, now)
		any = true
	}
	if any {
		v.noteChange()
	}
}

// noteChange raises the version of the view and wakes those that wait for a change.
func (v *View) noteChange() {
	v.leaving = v.listLeaving()
	v.version++
	close(v.changed)
	v.changed = make(chan struct{})
}

// isLateRecord reports whether a record of a target was written before one of the same
// process that the view knows or knew: the store may carry out an append late, also after the
// removal of the entry.
func (v *View) isLateRecord(old *entry, c *Change) bool {
	if c.Target == nil || c.Sequence == 0 || old == nil {
		return false
	}
	last := old
	if old.Target == nil {
		if last = v.goneTargets[c.Key]; last == nil {
			return false
		}
	}
	late := last.Target.Life == c.Target.Life && (c.Sequence < last.sequence || old.Target == nil && c.Sequence == last.sequence)
	if late {
		v.logger.Info("ignores an earlier record of a target, which the store has carried out late", "target", c.Key, "life", c.Target.Life,
			"sequence", c.Sequence, "known_sequence", last.sequence, "registered", old.Target != nil, "offset", c.Offset)
	}
	return late
}

// repeatsTarget reports whether a target's registration only repeats the previous one.
// A registration with a cold period never does, since the period starts again with it.
func (v *View) repeatsTarget(old, e *entry) bool {
	return old != nil && old.Target != nil && e.Target != nil && *old.Target == *e.Target && e.Target.ColdFor == 0
}

// handleChange logs a change and updates the state derived from it.
func (v *View) handleChange(old, e *entry, now time.Duration) {
	switch {
	case e.Config != nil:
		v.setConfig(e.Config)
	case e.Log == Operators && old != nil && old.OutOf != "" && e.isTombstone():
		v.dcReturnedAt[old.OutOf] = now
		v.logger.Info("data centre is back in service", "data_centre", old.OutOf, "offset", e.Offset)
	case e.OutOf != "":
		v.logger.Info("data centre is out of service", "data_centre", e.OutOf, "offset", e.Offset)
	case e.Log == Targets:
		v.handleTargetChange(old, e, now)
	case e.Cell != nil:
		v.logger.Info("cell record applied", "service", e.Cell.Service, "leader", e.Cell.Leader, "boot", e.Cell.Boot, "ranges", len(e.Cell.Keys), "offset", e.Offset)
	case e.VM != nil:
		v.logger.Info("VM registration applied", "vm", e.VM.ID, "boot", e.VM.Boot, "peer", e.VM.PeerAddress, "offset", e.Offset)
	}
}

func (v *View) setConfig(c *fleet.Config) {
	if v.config != nil && c.Version <= v.config.Version {
		return
	}
	v.config, v.table = c, fleet.NewTable(c)
	v.logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
}

func (v *View) handleTargetChange(old, e *entry, now time.Duration) {
	delete(v.graceTargets, e.Key)
	switch {
	case e.Target != nil:
		if l, ok := v.leaveOf(e.Key, e.Target.Life); e.Target.Leaving {
			v.noteLeave(e.Key, leave{life: e.Target.Life, at: now, registered: true})
		} else if ok && l.registered {
			v.logger.Info("ignores that a target is registered as ready: its process has announced that it leaves", "target", e.Key,
				"life", e.Target.Life, "leaving_life", l.life, "leaving_for", now-l.at, "offset", e.Offset)
		}
		if old == nil || old.Target == nil || old.Target.Life != e.Target.Life || old.Target.Leaving != e.Target.Leaving {
			t := e.Target
			v.logger.Info("target is new or has changed", "target", t.ID, "service", t.Service, "address", t.Address, "data_centre", t.DataCentre,
				"life", t.Life, "leaving", t.Leaving, "cold_for", t.ColdFor, "offset", e.Offset)
		}
	case old != nil && old.Target != nil:
		v.logger.Info("target registration was removed", "target", old.Target.ID, "service", old.Target.Service, "offset", e.Offset, "grace", now < v.graceUntil)
		v.goneTargets[e.Key] = old
		if now < v.graceUntil {
			v.graceTargets[e.Key] = old
		}
	}
}

// OutageEnded tells the view that the store answers again after an outage. Targets
// whose entries expired in the outage are seen to be removed only after it. They stay
// in use for the given grace period, so that they have time to register again.
func (v *View) OutageEnded(grace time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.graceUntil = v.now() + grace
}

// Packed returns the newest change of a key in the form in which VMs send it to each
// other. It returns an error if the key is unknown or its value cannot be encoded.
func (v *View) Packed(l Log, key string) (Change, error) {
	v.mu.RLock()
	e := v.entries[l][key]
	v.mu.RUnlock()
	if e == nil {
		return Change{}, errors.Errorf("log %s has no key %q", l, key)
	}
	return e.packed()
}

// Learn applies single changes sent by another VM. Earlier records may be missing, so
// the known ends of the logs stay as they are. It returns an error, and applies
// nothing, if a change cannot be decoded.
func (v *View) Learn(changes []Change) error {
	if err := unpackAll(changes); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes)
	return nil
}

// Since returns the changes that a VM with the summary k lacks. A cell record that only
// moves keys is deferred while that VM has a recent one: only VMs that reach no leader
// use the keys, and the cost of sending every record would grow with the numbers of
// targets and VMs. The log's position then ends at the deferred record. A log
// gets no position while this view may lack a removal that the VM has not read either.
func (v *View) Since(k Known) Batch {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var b Batch
	now := v.now()
	for l := range numLogs {
		if !v.known[l] {
			continue
		}
		if !v.mayMissRemovals(l, k.Ends[l]) {
			b.Positions[l] = Position{Read: true, End: v.ends[l], Age: now - v.freshAt[l]}
		}
		for _, e := range v.entries[l] {
			if e.Offset < k.Ends[l] {
				continue
			}
			c, err := e.packed()
			if err != nil {
				v.logger.Error("could not compress a change; sending it uncompressed", "log", l, "key", e.Key, "offset", e.Offset, "error", err)
			}
			switch k.decide(e.Cell, len(c.Packed)) {
			case alreadyKnown:
				continue
			case deferred:
				b.Positions[l].End = min(b.Positions[l].End, e.Offset)
				continue
			}
			c.Age = now - e.seenAt
			b.Changes = append(b.Changes, c)
		}
	}
	for _, c := range v.unsettled { // they concern only VMs that know as much as this one
		if c.Offset >= k.Ends[c.Log] {
			b.Changes = append(b.Changes, c.Change)
		}
	}
	slices.SortFunc(b.Changes, func(a, b Change) int { return int(a.Offset - b.Offset) })
	return b
}

// cellBytesPerSecond bounds the rate at which a VM is sent the key assignments of a
// cell: about a seventh of the 27 KB/s that a VM may use for control traffic.
const cellBytesPerSecond = 4 << 10

// sendDecision tells whether a record is sent to a VM now.
type sendDecision int

const (
	sendNow sendDecision = iota
	alreadyKnown
	deferred
)

// decide decides whether to send a record of the given encoded size to the VM that k
// describes. c is nil unless the record is that of a cell.
func (k Known) decide(c *fleet.Cell, bytes int) sendDecision {
	if c == nil {
		return sendNow
	}
	theirs, known := k.Cells[c.Service]
	switch {
	case known && theirs.Change == c.Change:
		return alreadyKnown
	case known && theirs.Leader == c.Leader && theirs.Boot == c.Boot && theirs.Age < time.Duration(bytes)*time.Second/cellBytesPerSecond:
		return deferred
	}
	return sendNow
}

// unpackAll unpacks changes in place.
func unpackAll(changes []Change) error {
	for i, c := range changes {
		if c.Log < 0 || c.Log >= numLogs {
			return errors.Errorf("key %q at offset %d: there is no log %d", c.Key, c.Offset, int(c.Log))
		}
		var err error
		if changes[i], err = unpack(c); err != nil {
			return errors.Wrapf(err, "key %q at offset %d", c.Key, c.Offset)
		}
	}
	return nil
}

// StoreFailed tells the view that the store does not answer this VM.
func (v *View) StoreFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acceptOld = true
}

// Merge applies a batch that another VM has sent in answer to the summary advertised.
// elapsed is how long the exchange took; it is added to the age of the positions. A log
// is skipped if its changes cannot be decoded, if neither VM has read it, if only the
// other has and that longer ago than maxFirstAge, or if this view ends before the advertised end, so that records would be missing.
func (v *View) Merge(b Batch, advertised Known, elapsed time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for l := range numLogs {
		read := b.Positions[l].Read || b.Positions[l].End > 0
		old := !v.known[l] && !v.acceptOld && elapsed+b.Positions[l].Age > maxFirstAge
		if !read && !v.known[l] || old || advertised.Ends[l] > v.ends[l] {
			continue
		}
		var logChanges []Change
		for _, c := range b.Changes {
			if c.Log == l && !v.isRemovedBefore(&c) {
				logChanges = append(logChanges, c)
			}
		}
		if err := unpackAll(logChanges); err != nil {
			v.logger.Error("could not decode changes from another VM; dropping them", "log", l, "end", b.Positions[l].End, "error", err)
			continue
		}
		if !read && v.known[l] {
			// Without a position the batch may lack keys of the copy, so that it cannot be
			// compared with what is known.
			logChanges = slices.DeleteFunc(logChanges, func(c Change) bool { return Era(c.Offset) > Era(v.ends[l]) })
		}
		if read && v.isRestored(l, b.Positions[l].End) {
			logChanges = v.reconcile(l, logChanges, b.Positions[l].End, false)
		}
		if read && !v.known[l] {
			v.skipTo(l, b.Positions[l].End)
		}
		v.apply(logChanges)
		if read {
			v.advance(l, b.Positions[l].End, now-elapsed-max(0, b.Positions[l].Age))
		}
	}
}
