package dedupe

import (
	"container/list"
	"time"

	"github.com/pkg/errors"
)

// Table holds the writes of one dispatch group at one VM. It is not safe for
// concurrent use.
//
// A write runs at most once if the callers keep these rules:
//
// A dispatcher sends a write only if Begin returned Run, every copy holder that the
// manager lists (at least one) acknowledged the same Attempt, that is,
// ApplyReplicated returned Run there, and MaySend holds immediately before sending.
//
// The manager appoints as the next dispatcher either the current one or a copy
// holder on its list. A VM joins that list in four steps: the dispatcher starts
// to require the VM's acknowledgements, then the VM calls Observe with the
// dispatch epoch, Import with the dispatcher's Export, and SetComplete.
type Table struct {
	cfg          Config
	entries      map[string]*list.Element
	byLastChange *list.List // of *Entry, least recently changed first
	epoch        uint64     // highest dispatch epoch known
	ownEpoch     uint64     // epoch in which this VM dispatches, 0 if it does not
	attempts     uint64     // number of the last attempt that Begin recorded
	complete     bool
}

// NewTable returns an empty table that is not complete.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: map[string]*list.Element{}, byLastChange: list.New()}
}

// Begin decides whether the dispatcher of epoch may run a write, and records the
// intent if so. The answer is set for Replay only. A key that the table does not
// hold is Unknown if the table is not complete. Begin calls Promote, so an epoch at
// or above the highest known one makes this VM the dispatcher.
func (t *Table) Begin(now time.Duration, key string, fingerprint, epoch uint64) (Decision, *Answer) {
	if !t.Promote(now, epoch) {
		return StaleEpoch, nil
	}
	if existing := t.get(key); existing != nil {
		if existing.Fingerprint != fingerprint {
			return Mismatch, nil
		}
		return existing.decideRepeat()
	}
	if !t.complete {
		return Unknown, nil
	}
	if !t.hasCapacity(now) {
		return Full, nil
	}
	t.attempts++
	t.insert(now, Entry{Key: key, Fingerprint: fingerprint, Epoch: epoch, Attempt: t.attempts, Phase: PhaseIntent})
	return Run, nil
}

// decideRepeat returns the decision for a repeated request of a known write.
func (e *Entry) decideRepeat() (Decision, *Answer) {
	switch {
	case e.Phase == PhaseIntent:
		return Wait, nil
	case e.Phase == PhaseUnknown:
		return Unknown, nil
	case e.Answer == nil:
		return AnswerNotKept, nil
	}
	return Replay, e.Answer
}

// ApplyReplicated stores, at a copy holder, an intent or an outcome that the
// dispatcher replicates. Deliveries may be repeated or reordered. The result is
//
//   - Run if the entry was stored, or if the table already held an intent of the
//     same epoch (for an intent) or an outcome (for an outcome);
//   - Incomplete in the same cases if the table is not complete. A restarted VM, for
//     example, lacks earlier writes and could not decide about them as dispatcher;
//   - StaleEpoch, Mismatch or Full if the entry was not stored;
//   - Unknown, Replay or AnswerNotKept if an intent is delivered but the table
//     holds an outcome of the key or an intent of another epoch. The dispatcher
//     must not send the write.
func (t *Table) ApplyReplicated(now time.Duration, e Entry) Decision {
	if e.Epoch < t.epoch {
		return StaleEpoch
	}
	t.Observe(e.Epoch)
	existing := t.get(e.Key)
	switch {
	case existing == nil && !t.hasCapacity(now):
		return Full
	case existing == nil:
		t.insert(now, e)
		return t.storedDecision()
	case existing.Fingerprint != e.Fingerprint:
		return Mismatch
	case e.Phase != PhaseIntent:
		t.advance(now, existing, e.Phase, e.Answer)
		return t.storedDecision()
	case existing.Phase == PhaseIntent && existing.Epoch == e.Epoch:
		existing.Attempt = max(existing.Attempt, e.Attempt)
		return t.storedDecision()
	case existing.Phase == PhaseIntent:
		// The dispatcher of an earlier epoch may have sent the write.
		return Unknown
	}
	decision, _ := existing.decideRepeat()
	return decision
}

// storedDecision returns the result of ApplyReplicated for an entry that is stored.
func (t *Table) storedDecision() Decision {
	if !t.complete {
		return Incomplete
	}
	return Run
}

// MaySend reports whether an attempt for which Begin returned Run may still be
// sent. It returns false once the attempt has ended or this VM has learned of a
// newer dispatch epoch.
func (t *Table) MaySend(key string, attempt uint64) bool {
	existing := t.get(key)
	return existing != nil && existing.Phase == PhaseIntent && existing.Attempt == attempt && existing.Epoch == t.ownEpoch
}

// Withdraw removes, at a copy holder, the intent of a write that certainly did
// not run. It has no effect once the intent of a later attempt has arrived.
func (t *Table) Withdraw(key string, epoch, attempt uint64) {
	if existing := t.get(key); existing != nil && existing.Phase == PhaseIntent && existing.Epoch == epoch && existing.Attempt <= attempt {
		t.remove(t.entries[key])
	}
}

// Observe records that a dispatch epoch exists. From then on lower epochs are
// refused, as with a fencing token, and a VM that dispatched in a lower epoch
// stops dispatching.
func (t *Table) Observe(epoch uint64) {
	if epoch > t.epoch {
		t.epoch, t.ownEpoch = epoch, 0
	}
}

// Promote makes this VM the dispatcher of epoch. If it was not already, all intents
// become unknown, because an earlier dispatcher may have sent them. Promote returns
// false and changes nothing if a higher epoch is known.
func (t *Table) Promote(now time.Duration, epoch uint64) bool {
	if epoch < t.epoch {
		return false
	}
	if t.ownEpoch == epoch {
		return true
	}
	t.epoch, t.ownEpoch = epoch, epoch
	for el, n := t.byLastChange.Front(), t.byLastChange.Len(); n > 0; n-- {
		next := el.Next()
		if e := el.Value.(*Entry); e.Phase == PhaseIntent {
			t.advance(now, e, PhaseUnknown, nil)
		}
		el = next
	}
	return true
}

// Renew moves the current dispatcher to a higher epoch. Its intents stay valid
// and move to that epoch, which is safe only if there was no other dispatcher
// between the two epochs. Renew returns false and changes nothing if this VM
// does not dispatch or epoch is not above the highest known one.
func (t *Table) Renew(epoch uint64) bool {
	if t.ownEpoch == 0 || epoch <= t.epoch {
		return false
	}
	for el := t.byLastChange.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*Entry); e.Phase == PhaseIntent && e.Epoch == t.ownEpoch {
			e.Epoch = epoch
		}
	}
	t.epoch, t.ownEpoch = epoch, epoch
	return true
}

// Complete records the answer to a write that this VM sent, also if the write became
// unknown before. The caller must not modify the answer afterwards.
func (t *Table) Complete(now time.Duration, key string, answer Answer) {
	if existing := t.get(key); existing != nil {
		t.advance(now, existing, PhaseDone, &answer)
	}
}

// Fail records that a write failed without an answer. If notRun is set, the write
// certainly did not run: its intent is removed and the key can be used again.
// Otherwise the write becomes unknown. Fail ignores a write that is not an intent.
func (t *Table) Fail(now time.Duration, key string, notRun bool) {
	existing := t.get(key)
	switch {
	case existing == nil || existing.Phase != PhaseIntent:
	case notRun:
		t.remove(t.entries[key])
	default:
		t.advance(now, existing, PhaseUnknown, nil)
	}
}

// Lookup returns the entry of a write, to be replicated to the copy holders.
func (t *Table) Lookup(key string) (Entry, bool) {
	if existing := t.get(key); existing != nil {
		return *existing, true
	}
	return Entry{}, false
}

// SetComplete sets whether the table holds every write of the group that may have
// been sent within Config.Retention. The VM must set it to false when the
// manager no longer lists the VM as dispatcher or copy holder of the group.
func (t *Table) SetComplete(complete bool) { t.complete = complete }

// IsComplete returns the value that SetComplete set last; false for a new table.
func (t *Table) IsComplete() bool { return t.complete }

func (t *Table) Len() int { return len(t.entries) }

// Epoch returns the highest dispatch epoch known.
func (t *Table) Epoch() uint64 { return t.epoch }

// Export returns all entries, least recently changed first.
func (t *Table) Export() []Entry {
	out := make([]Entry, 0, t.Len())
	for el := t.byLastChange.Front(); el != nil; el = el.Next() {
		out = append(out, *el.Value.(*Entry))
	}
	return out
}

// Import merges the entries of another VM's table. Their retention period starts
// again, because the clocks of two VMs are not comparable. Import returns an
// error and changes nothing if the merged table would exceed MaxEntries or if
// both tables use a key for different requests.
func (t *Table) Import(now time.Duration, entries []Entry) error {
	added := 0
	for i := range entries {
		existing := t.get(entries[i].Key)
		if existing == nil {
			added++
		} else if existing.Fingerprint != entries[i].Fingerprint {
			return errors.Errorf("dedupe import: key %q is already used for a different request in this table", entries[i].Key)
		}
	}
	if t.Len()+added > t.cfg.MaxEntries {
		return errors.Errorf("dedupe import: %d new and %d existing entries exceed the limit of %d", added, t.Len(), t.cfg.MaxEntries)
	}
	for _, e := range entries {
		t.merge(now, e)
	}
	return nil
}

// merge adds one entry of another table, or advances the existing entry.
func (t *Table) merge(now time.Duration, e Entry) {
	t.Observe(e.Epoch)
	existing := t.get(e.Key)
	switch {
	case existing == nil:
		if t.ownEpoch != 0 && e.Phase == PhaseIntent {
			// Another VM began the intent, so its answer never arrives here.
			e.Phase = PhaseUnknown
		}
		t.insert(now, e)
	case e.Phase != PhaseIntent:
		t.advance(now, existing, e.Phase, e.Answer)
	case existing.Phase == PhaseIntent && existing.Epoch == e.Epoch:
		existing.Attempt = max(existing.Attempt, e.Attempt)
	case existing.Phase == PhaseIntent:
		// The intents are of two epochs; either dispatcher may have sent the write.
		t.advance(now, existing, PhaseUnknown, nil)
	}
}

// Expire removes the entries whose retention period has ended and returns their
// number. An intent becomes unknown instead and is kept for one more period,
// because the message with its outcome may have been lost.
func (t *Table) Expire(now time.Duration) int {
	dropped := 0
	for el := t.byLastChange.Front(); el != nil; el = t.byLastChange.Front() {
		e := el.Value.(*Entry)
		if now-e.ChangedAt < t.cfg.Retention {
			break
		}
		if e.Phase == PhaseIntent {
			t.advance(now, e, PhaseUnknown, nil)
			continue
		}
		t.remove(el)
		dropped++
	}
	return dropped
}

func (t *Table) get(key string) *Entry {
	if el := t.entries[key]; el != nil {
		return el.Value.(*Entry)
	}
	return nil
}

// hasCapacity reports whether another entry fits, after Expire if the table is full.
func (t *Table) hasCapacity(now time.Duration) bool {
	if t.Len() >= t.cfg.MaxEntries {
		t.Expire(now)
	}
	return t.Len() < t.cfg.MaxEntries
}

func (t *Table) insert(now time.Duration, e Entry) {
	e.ChangedAt = now
	e.Answer = t.limitAnswer(e.Answer)
	t.entries[e.Key] = t.byLastChange.PushBack(&e)
}

// advance moves an entry to a later phase. It ignores a move back to an intent
// and any move away from PhaseDone.
func (t *Table) advance(now time.Duration, e *Entry, to Phase, answer *Answer) {
	if e.Phase == PhaseDone || to == e.Phase || to == PhaseIntent {
		return
	}
	e.Phase, e.ChangedAt = to, now
	e.Answer = t.limitAnswer(answer)
	t.byLastChange.MoveToBack(t.entries[e.Key])
}

func (t *Table) remove(el *list.Element) {
	delete(t.entries, t.byLastChange.Remove(el).(*Entry).Key)
}

// limitAnswer returns the answer, or nil if it is larger than MaxAnswerSize.
func (t *Table) limitAnswer(answer *Answer) *Answer {
	if answer == nil || answer.size() > t.cfg.MaxAnswerSize {
		return nil
	}
	return answer
}

// size returns the size of an answer's header and body in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
