package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
)

// attempt is a write that was begun here and has not finished.
type attempt struct {
	id      string
	expires time.Duration // from then on its outcome counts as unknown
}

// book holds the write intents of one group on this VM.
type book struct {
	group string

	mu     sync.Mutex
	table  *dedupe.Table
	epoch  uint64 // of the group's map entry
	keeper bool   // this VM is the active dispatcher
	// handing says that this VM was the active dispatcher and the next one is
	// not active yet: what is in flight here still ends here.
	handing  bool
	copies   []string
	attempts map[string]attempt // by key
	// ended holds attempts that ended before they began here, and for how long
	// they are remembered: one that waits must not begin when nobody will end it.
	ended   map[string]time.Duration
	settled chan struct{} // closed when an attempt finishes
	// completeAt is the epoch at which the copy held here is complete; 0 for none.
	completeAt uint64
	// unknownUntil is the wall clock time until which unknown keys may have run.
	unknownUntil time.Time
	pending      int // outcomes that are being copied
}

func newBook(group string) *book {
	return &book{
		group: group, table: dedupe.NewTable(dedupe.DefaultConfig()),
		attempts: map[string]attempt{}, ended: map[string]time.Duration{}, settled: make(chan struct{}),
	}
}

// follow takes over the group's map entry. It returns true when the copies
// have to be brought to the new epoch, and the epoch that they may have.
func (b *book) follow(g shardmap.Group, self, bootID string, now time.Duration) (syncCopies bool, previous uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keeps := g.DispatchedBy(self, bootID)
	if g.Epoch < b.epoch || (g.Epoch == b.epoch && b.keeper == keeps) {
		return false, 0
	}
	if !g.Active {
		// The earlier dispatcher still copies the outcomes of what it has in flight.
		b.handing = b.handing || b.keeper
		b.keeper = false
		return false, 0
	}
	b.handing = false
	wasKeeper := b.keeper
	if !wasKeeper || !keeps || !b.table.Renew(g.Epoch) {
		b.table.Observe(g.Epoch)
	}
	previous = b.completeAt
	b.epoch, b.copies = g.Epoch, slices.Clone(g.Copies)
	b.keeper = keeps
	if !b.keeper {
		if !slices.Contains(g.Copies, self) {
			b.table.SetComplete(false) // writes are no longer copied here
		}
		return false, 0
	}
	if !wasKeeper {
		b.table.Promote(now, g.Epoch)
		b.attempts = map[string]attempt{}
		b.unknownUntil = time.UnixMilli(g.UnknownUntilMS)
	}
	b.table.SetComplete(!time.Now().Before(b.unknownUntil))
	b.completeAt = g.Epoch
	return true, previous
}

// tick expires old entries and attempts.
func (b *book) tick(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Expire(now)
	if b.keeper && !b.table.IsComplete() && !time.Now().Before(b.unknownUntil) {
		b.table.SetComplete(true)
	}
	for id, until := range b.ended {
		if now > until {
			delete(b.ended, id)
		}
	}
	for key, a := range b.attempts {
		if now > a.expires {
			b.table.Fail(now, key, false)
			b.settle(key)
		}
	}
}

// settle ends an attempt; mu is held.
func (b *book) settle(key string) {
	delete(b.attempts, key)
	close(b.settled)
	b.settled = make(chan struct{})
}

func (b *book) report() mapstore.GroupReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return mapstore.GroupReport{
		Group: b.group, Epoch: b.completeAt, Complete: b.completeAt > 0,
		Busy: len(b.attempts) > 0 || b.pending > 0,
	}
}

func (b *book) entry(key string) (dedupe.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Lookup(key)
}

// maySend tells whether the copies that stored an intent are still the ones
// that matter.
func (b *book) maySend(e dedupe.Entry, epoch uint64, copies []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper && b.epoch == epoch && slices.Equal(b.copies, copies) && b.table.MaySend(e.Key, e.Attempt)
}

// currentCopies returns the copies and the epoch under which intents go to them.
func (b *book) currentCopies() (copies []string, epoch uint64, keeper bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copies, b.epoch, b.keeper
}
