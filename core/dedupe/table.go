package dedupe

import (
	"container/list"
	"time"

	"github.com/pkg/errors"
)

// Table holds the writes of one dispatch group at one VM. It is not safe for
// concurrent use.
//
// A dispatcher sends a write only after Begin and then Copy at every copy that
// the manager lists, at least one, answered Run for the same Attempt, and only
// if MaySend holds right before. The manager must name as the next dispatcher
// either the present one or a VM of that list. A VM joins the list in this
// order: the dispatcher counts it as a copy, it calls Observe with the
// dispatch epoch, Import with the dispatcher's Export, and SetComplete.
type Table struct {
	cfg      Config
	entries  map[string]*list.Element
	changes  *list.List // of *Entry, the longest unchanged first
	epoch    uint64     // the highest dispatch epoch known
	own      uint64     // the epoch under which this VM dispatches, 0 if it does not
	attempts uint64
	complete bool
}

// NewTable returns an empty table that is not complete.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: map[string]*list.Element{}, changes: list.New()}
}

// Begin asks whether the dispatcher of epoch may run a write. The answer is
// set for Replay only. An epoch above the highest known one implies Promote.
func (t *Table) Begin(now time.Duration, key string, fingerprint, epoch uint64) (Decision, *Answer) {
	if !t.Promote(now, epoch) {
		return OldEpoch, nil
	}
	if have := t.get(key); have != nil {
		if have.Fingerprint != fingerprint {
			return Mismatch, nil
		}
		return have.repeated()
	}
	if !t.complete {
		return Unknown, nil
	}
	if !t.room(now) {
		return Full, nil
	}
	t.attempts++
	t.insert(now, Entry{Key: key, Fingerprint: fingerprint, Epoch: epoch, Attempt: t.attempts, Phase: PhaseIntent})
	return Run, nil
}

// repeated is the decision about another request for a known write.
func (e *Entry) repeated() (Decision, *Answer) {
	switch {
	case e.Phase == PhaseIntent:
		return Wait, nil
	case e.Phase == PhaseUnknown:
		return Unknown, nil
	case e.Answer == nil:
		return Ran, nil
	}
	return Replay, e.Answer
}

// Copy records, at a copy holder, an intent or an outcome that the dispatcher
// sent. Run means that the entry is stored or that a later phase of the same
// attempt is; Incomplete means the same at a table that is not complete, such as
// that of a restarted VM, which could not answer for the group as dispatcher.
// OldEpoch, Mismatch and Full mean that it is not stored. An intent
// that is not news of the same attempt is answered by what is known (Unknown,
// Replay or Ran): the dispatcher must not send it. The order and the number of
// deliveries do not matter.
func (t *Table) Copy(now time.Duration, e Entry) Decision {
	if e.Epoch < t.epoch {
		return OldEpoch
	}
	t.Observe(e.Epoch)
	have := t.get(e.Key)
	switch {
	case have == nil && !t.room(now):
		return Full
	case have == nil:
		t.insert(now, e)
		return t.stored()
	case have.Fingerprint != e.Fingerprint:
		return Mismatch
	case e.Phase != PhaseIntent:
		t.advance(now, have, e.Phase, e.Answer)
		return t.stored()
	case have.Phase == PhaseIntent && have.Epoch == e.Epoch:
		have.Attempt = max(have.Attempt, e.Attempt)
		return t.stored()
	case have.Phase == PhaseIntent:
		// An earlier dispatcher recorded it and may have sent it.
		return Unknown
	}
	decision, _ := have.repeated()
	return decision
}

func (t *Table) stored() Decision {
	if !t.complete {
		return Incomplete
	}
	return Run
}

// MaySend reports whether an attempt that Begin allowed may still be sent. It
// may not once this VM learned of a newer dispatcher.
func (t *Table) MaySend(key string, attempt uint64) bool {
	have := t.get(key)
	return have != nil && have.Phase == PhaseIntent && have.Attempt == attempt && have.Epoch == t.own
}

// Withdraw removes, at a copy holder, an intent whose write provably did not
// run. A withdrawal that arrives after the intent of a later attempt has no
// effect.
func (t *Table) Withdraw(key string, epoch, attempt uint64) {
	if have := t.get(key); have != nil && have.Phase == PhaseIntent && have.Epoch == epoch && have.Attempt <= attempt {
		t.remove(t.entries[key])
	}
}

// Observe learns of a dispatch epoch. Lower ones are refused from then on, and
// a VM that dispatched under a lower one no longer does.
func (t *Table) Observe(epoch uint64) {
	if epoch > t.epoch {
		t.epoch, t.own = epoch, 0
	}
}

// Promote makes this VM the dispatcher of epoch. Intents of earlier epochs
// become unknown, because an earlier dispatcher may have sent them. It returns
// false, without effect, if a higher epoch is known.
func (t *Table) Promote(now time.Duration, epoch uint64) bool {
	if epoch < t.epoch {
		return false
	}
	if t.own == epoch {
		return true
	}
	t.epoch, t.own = epoch, epoch
	for el, n := t.changes.Front(), t.changes.Len(); n > 0; n-- {
		next := el.Next()
		if e := el.Value.(*Entry); e.Phase == PhaseIntent {
			t.advance(now, e, PhaseUnknown, nil)
		}
		el = next
	}
	return true
}

// Renew lets the VM that dispatches go on under a higher epoch. Its intents
// stay what they are, because no other dispatcher was between. It returns
// false, without effect, if this VM does not dispatch or knows that epoch.
func (t *Table) Renew(epoch uint64) bool {
	if t.own == 0 || epoch <= t.epoch {
		return false
	}
	for el := t.changes.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*Entry); e.Phase == PhaseIntent && e.Epoch == t.own {
			e.Epoch = epoch
		}
	}
	t.epoch, t.own = epoch, epoch
	return true
}

// Complete records the answer of a write that was sent from here, also when it
// arrives after the write was given up as unknown. The answer must not be
// changed afterwards.
func (t *Table) Complete(now time.Duration, key string, answer Answer) {
	if have := t.get(key); have != nil {
		t.advance(now, have, PhaseDone, &answer)
	}
}

// Fail records that a write has no answer. notRun says that it provably did not
// run: its intent is removed, and the key may be used again.
func (t *Table) Fail(now time.Duration, key string, notRun bool) {
	have := t.get(key)
	switch {
	case have == nil || have.Phase != PhaseIntent:
	case notRun:
		t.remove(t.entries[key])
	default:
		t.advance(now, have, PhaseUnknown, nil)
	}
}

// Lookup returns what is known about a write, to be sent to the copy holders.
func (t *Table) Lookup(key string) (Entry, bool) {
	if have := t.get(key); have != nil {
		return *have, true
	}
	return Entry{}, false
}

// SetComplete says whether the table holds every write that may have been sent
// in the retention period. Its VM must clear it when the manager no longer
// lists the VM as a holder of this group.
func (t *Table) SetComplete(complete bool) { t.complete = complete }

// IsComplete reports what SetComplete set; false at first.
func (t *Table) IsComplete() bool { return t.complete }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Epoch returns the highest dispatch epoch known.
func (t *Table) Epoch() uint64 { return t.epoch }

// Export returns all entries, the longest unchanged first.
func (t *Table) Export() []Entry {
	out := make([]Entry, 0, t.Len())
	for el := t.changes.Front(); el != nil; el = el.Next() {
		out = append(out, *el.Value.(*Entry))
	}
	return out
}

// Import merges the entries of another VM's table. Their retention starts anew,
// because clocks of two VMs are not comparable. It changes nothing and returns
// an error if they do not all fit or if a key was used for two requests.
func (t *Table) Import(now time.Duration, entries []Entry) error {
	added := 0
	for i := range entries {
		have := t.get(entries[i].Key)
		if have == nil {
			added++
		} else if have.Fingerprint != entries[i].Fingerprint {
			return errors.Errorf("dedupe import: key %q stands for another request here", entries[i].Key)
		}
	}
	if t.Len()+added > t.cfg.MaxEntries {
		return errors.Errorf("dedupe import: %d new entries and %d held exceed the limit of %d", added, t.Len(), t.cfg.MaxEntries)
	}
	for _, e := range entries {
		t.merge(now, e)
	}
	return nil
}

func (t *Table) merge(now time.Duration, e Entry) {
	t.Observe(e.Epoch)
	have := t.get(e.Key)
	switch {
	case have == nil:
		if t.own != 0 && e.Phase == PhaseIntent {
			// Nothing here will end an intent that did not begin here.
			e.Phase = PhaseUnknown
		}
		t.insert(now, e)
	case e.Phase != PhaseIntent:
		t.advance(now, have, e.Phase, e.Answer)
	case have.Phase == PhaseIntent && have.Epoch == e.Epoch:
		have.Attempt = max(have.Attempt, e.Attempt)
	case have.Phase == PhaseIntent:
		// Two dispatchers recorded it; either may have sent it.
		t.advance(now, have, PhaseUnknown, nil)
	}
}

// Expire drops the entries whose retention is over and returns how many. An
// intent becomes unknown first and is kept for another period, because its
// outcome may have been lost on the way here.
func (t *Table) Expire(now time.Duration) int {
	dropped := 0
	for el := t.changes.Front(); el != nil; el = t.changes.Front() {
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

// room reports whether another entry fits.
func (t *Table) room(now time.Duration) bool {
	if t.Len() >= t.cfg.MaxEntries {
		t.Expire(now)
	}
	return t.Len() < t.cfg.MaxEntries
}

func (t *Table) insert(now time.Duration, e Entry) {
	e.ChangedAt = now
	e.Answer = t.kept(e.Answer)
	t.entries[e.Key] = t.changes.PushBack(&e)
}

// advance moves an entry to a later phase; PhaseDone is the last one.
func (t *Table) advance(now time.Duration, e *Entry, to Phase, answer *Answer) {
	if e.Phase == PhaseDone || to == e.Phase || to == PhaseIntent {
		return
	}
	e.Phase, e.ChangedAt = to, now
	e.Answer = t.kept(answer)
	t.changes.MoveToBack(t.entries[e.Key])
}

func (t *Table) remove(el *list.Element) {
	delete(t.entries, t.changes.Remove(el).(*Entry).Key)
}

// kept returns the answer unless it is larger than the limit.
func (t *Table) kept(answer *Answer) *Answer {
	if answer == nil || answer.size() > t.cfg.MaxAnswerSize {
		return nil
	}
	return answer
}

// size returns the bytes of an answer's header and body.
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
