package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
)

// attempt is a write that this VM has allowed and that has not finished.
type attempt struct {
	id      string
	expires time.Duration // from this time on, the outcome counts as unknown
}

// intentStore holds the write intents and outcomes of one group on this VM, as
// the group's dispatcher or as the holder of a copy.
type intentStore struct {
	group string

	mu           sync.Mutex
	table        *dedupe.Table
	epoch        uint64 // of the last active map entry of the group
	isDispatcher bool   // this VM is the active dispatcher
	// handingOver says that this VM was the active dispatcher and the next one is
	// not active yet. Attempts that this VM allowed still finish here.
	handingOver bool
	copies      []string
	attempts    map[string]attempt // by key
	// cancelled holds attempts that the caller gave up before they were allowed
	// here, with the time until which they are remembered. Such an attempt may
	// still be waiting in beginLocal; it must not be allowed, because no Finish
	// call would follow.
	cancelled    map[string]time.Duration
	attemptEnded chan struct{} // closed and replaced when an attempt ends
	// completeAt is the epoch at which the entries held here are complete; 0 if
	// none.
	completeAt uint64
	// unknownUntil is the wall clock time until which a write without an entry is
	// answered with Unknown: it may have run, and its entry may have been lost.
	unknownUntil  time.Time
	pendingCopies int // number of outcomes that are being sent to the copies
}

func newIntentStore(group string) *intentStore {
	return &intentStore{
		group: group, table: dedupe.NewTable(dedupe.DefaultConfig()),
		attempts: map[string]attempt{}, cancelled: map[string]time.Duration{}, attemptEnded: make(chan struct{}),
	}
}

// applyMapEntry takes over the group's entry of a new map. syncCopies says that
// this VM is the dispatcher and has to bring the copies to the new epoch;
// previous is the epoch at which a copy may already be complete.
func (s *intentStore) applyMapEntry(g shardmap.Group, self, bootID string, now time.Duration) (syncCopies bool, previous uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dispatches := g.DispatchedBy(self, bootID)
	if g.Epoch < s.epoch || (g.Epoch == s.epoch && s.isDispatcher == dispatches) {
		return false, 0
	}
	if !g.Active {
		// Until the next dispatcher is active, the old one still sends the outcomes of
		// its attempts in flight to the copies.
		s.handingOver = s.handingOver || s.isDispatcher
		s.isDispatcher = false
		return false, 0
	}
	s.handingOver = false
	wasDispatcher := s.isDispatcher
	if !wasDispatcher || !dispatches || !s.table.Renew(g.Epoch) {
		s.table.Observe(g.Epoch)
	}
	previous = s.completeAt
	s.epoch, s.copies = g.Epoch, slices.Clone(g.Copies)
	s.isDispatcher = dispatches
	if !s.isDispatcher {
		if !slices.Contains(g.Copies, self) {
			s.table.SetComplete(false) // this VM gets no further intents
		}
		return false, 0
	}
	if !wasDispatcher {
		s.table.Promote(now, g.Epoch)
		s.attempts = map[string]attempt{}
		s.unknownUntil = time.UnixMilli(g.UnknownUntilMS)
	}
	s.table.SetComplete(!time.Now().Before(s.unknownUntil))
	s.completeAt = g.Epoch
	return true, previous
}

// tick expires old entries, attempts and cancellations.
func (s *intentStore) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	if s.isDispatcher && !s.table.IsComplete() && !time.Now().Before(s.unknownUntil) {
		s.table.SetComplete(true)
	}
	for id, until := range s.cancelled {
		if now > until {
			delete(s.cancelled, id)
		}
	}
	for key, a := range s.attempts {
		if now > a.expires {
			s.table.Fail(now, key, false)
			s.endAttempt(key)
		}
	}
}

// endAttempt removes an attempt and wakes all calls that wait for one. The caller
// holds mu.
func (s *intentStore) endAttempt(key string) {
	delete(s.attempts, key)
	close(s.attemptEnded)
	s.attemptEnded = make(chan struct{})
}

// report returns the state of this group for the manager.
func (s *intentStore) report() mapstore.GroupReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mapstore.GroupReport{
		Group: s.group, Epoch: s.completeAt, Complete: s.completeAt > 0,
		Busy: len(s.attempts) > 0 || s.pendingCopies > 0,
	}
}

func (s *intentStore) entry(key string) (dedupe.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Lookup(key)
}

// maySend reports whether the write of entry e may be sent, after the given
// copies have stored its intent at the given epoch. The attempt must not have
// ended, and this VM must still be the dispatcher, with the same copies and
// epoch.
func (s *intentStore) maySend(e dedupe.Entry, epoch uint64, copies []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDispatcher && s.epoch == epoch && slices.Equal(s.copies, copies) && s.table.MaySend(e.Key, e.Attempt)
}

// currentCopies returns the VMs that hold copies, the epoch under which intents
// are sent to them, and whether this VM is the active dispatcher.
func (s *intentStore) currentCopies() (copies []string, epoch uint64, isDispatcher bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies, s.epoch, s.isDispatcher
}
