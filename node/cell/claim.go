package cell

import (
	"context"
	"math/rand"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
)

// errCellChanged means that the newest record of the cell is not the one that a
// decision was based on. Usually another VM has become the leader, but this VM may
// also have written the record itself, for example in reclaim.
var errCellChanged = errors.New("another record of the cell was written, usually by a new leader")

// errStoreRestored means that the store was restored from an older copy since a decision
// was made: the log has another end, and records that the decision was based on may be
// lost.
var errStoreRestored = errors.New("the store was restored from an older copy")

// errNotRegistered means that the store is not known to hold this VM's registration. Other
// VMs would take a leader without one for a process that has ended.
var errNotRegistered = errors.New("the store is not known to hold the registration of this VM")

// appendRetryDelay is the delay before a failed append is retried.
const appendRetryDelay = 100 * time.Millisecond

// write appends a record of a cell to the system's log, on condition that the log has
// not grown since this VM last read it and that previous is still the newest record of
// the cell, and returns the record's number. Only the log shows the outcome of an append
// that the store did not acknowledge, so write reads it and retries until the outcome is
// known or ctx ends. It returns errCellChanged if the cell has another record, and
// errStoreRestored if the store was restored meanwhile.
func (s *Service) write(ctx context.Context, c, previous *fleet.Cell) (int64, error) {
	return s.writeWith(ctx, c, previous, func() {})
}

// writeWith is write with a function that updates the record from what the view holds up to
// the end on which the next append depends.
func (s *Service) writeWith(ctx context.Context, c, previous *fleet.Cell, update func()) (int64, error) {
	c.Change, c.Era = rand.Uint64(), view.Era(s.view.End(view.System))
	change := view.Change{Log: view.System, Key: view.CellKey(c.Service), Cell: c}
	for {
		// The end is read before the record: a record of another leader that lies before the
		// end is then seen, and one behind it makes the append fail.
		end := s.view.End(view.System)
		if view.Era(end) != c.Era {
			return 0, errStoreRestored
		}
		switch current, number := s.view.Cell(c.Service); {
		case current != nil && sameRecord(current, c):
			return number, nil
		case !sameRecord(current, previous):
			return 0, errCellChanged
		}
		update()
		began := s.clock.Now()
		offset, err := s.store.Append(ctx, change, end)
		if err == nil {
			change.Offset = offset
			s.view.Apply(view.System, []view.Change{change}, offset+1, began)
			return view.Number(offset), nil
		}
		s.logger.Info("store did not confirm the append of a cell record", "service", c.Service, "end", end, "error", err)
		if !errors.Is(err, view.ErrConflict) {
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			time.Sleep(appendRetryDelay)
		}
		if err := s.readSystem(ctx); err != nil {
			s.logger.Info("could not read the system's log to find the outcome of an append", "error", err)
			time.Sleep(appendRetryDelay)
		}
	}
}

// sameRecord reports whether two records of a cell, either of which may be nil, are one.
func sameRecord(a, b *fleet.Cell) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Change == b.Change && a.Boot == b.Boot
}

// readSystem reads the system's log to its end and applies it to the view.
func (s *Service) readSystem(ctx context.Context) error {
	for {
		from, began := s.view.End(view.System), s.clock.Now()
		changes, end, err := s.store.Read(ctx, view.System, from, 0)
		if errors.Is(err, view.ErrHistoryGone) {
			if changes, end, err = s.store.Newest(ctx, view.System); err == nil {
				s.view.Replace(view.System, changes, end, began)
				return nil
			}
		}
		if err != nil {
			return err
		}
		s.view.Apply(view.System, changes, end, began)
		if len(changes) == 0 {
			return nil
		}
	}
}

// succession is what a claimant knows of the grants of previous leaders.
type succession struct {
	// grantBound returns, once the claim is written, for how long previous leaders may
	// still grant keys.
	grantBound func() time.Duration
	// votes are those that grantBound counts, or nil. They are on the leader of the record
	// that the claim replaces, which may have been written since.
	votes *releaseVotes
	// exactRecord tells that the claim is by word of the leader that the record names, which
	// may go on by a later record of its own.
	exactRecord bool
	// continuous tells that the leader named in the record held its lease until it gave
	// way to the claimant, so that no later record of another leader can be lost.
	continuous bool
	// afterRestore tells that grantBound also holds for leaders whose records are lost.
	afterRestore bool
	// earlier is what is left of the waits of the leader that gives way, or nil if only its
	// record tells.
	earlier *EarlierGrants
}

// claim makes this VM the leader of a cell by writing a record that names it. seen is
// the record that the decision to claim was based on; if the cell has another leader
// by now, claim returns errCellChanged. If the store was restored and later records of the
// cell may be lost, no key is granted before all grants of such leaders have expired.
func (s *Service) claim(ctx context.Context, svc fleet.Service, seen *fleet.Cell, p succession) error {
	if err := s.readSystem(ctx); err != nil {
		return errors.Wrap(err, "read the system's log before claiming a cell")
	}
	current, currentNumber := s.view.Cell(svc.Name)
	if !sameLeader(current, seen) || p.exactRecord && !sameRecord(current, seen) {
		return errCellChanged
	}
	recordsLost := s.view.IsCellRestored(svc.Name) && !p.continuous
	if recordsLost && !p.afterRestore {
		return errStoreRestored
	}
	if !s.view.IsRegistered(s.self) {
		return errNotRegistered
	}
	if p.votes != nil && current != nil {
		p.votes.record = current
	}
	hold := current.GrantHold()
	if recordsLost {
		hold = fleet.LongestHold
	}
	inherited := p.earlier
	if inherited == nil {
		inherited = &EarlierGrants{}
		if current != nil {
			inherited = &EarlierGrants{Left: current.EarlierGrants, UnknownHolders: current.UnknownHolders}
		}
	}
	earlier := func() time.Duration { return max(p.grantBound()+maxHoldAfterLease(hold), inherited.Left) }
	record := &fleet.Cell{Service: svc.Name, Leader: s.self.ID, Boot: s.self.Boot}
	if svc.Keyed {
		record.UnknownHolders = recordsLost || inherited.UnknownHolders
		cfg, _ := s.view.Config()
		record.Hold = holdFor(cfg, svc.Name)
		record.Keys = keyspace.New(keyConfig(record.Hold), resolveFences(current, currentNumber), 0).TakeOver()
	}
	// Releases count if their processes are registered when the record is written.
	number, err := s.writeWith(ctx, record, current, func() {
		if svc.Keyed {
			record.EarlierGrants = earlier()
		}
	})
	if err != nil {
		return errors.Wrap(err, "write the record that claims the cell")
	}
	s.logClaim(record, current, number)
	m := s.inherit(svc, earlier())
	if record.UnknownHolders {
		s.logger.Warn("grants no keys until those that lost records may have granted are free", "service", svc.Name, "for", m.PriorManagerHoldBound()-s.clock.Now())
	}
	s.startLeading(svc.Name, m, number)
	return nil
}

// logClaim logs what a claimed record says of earlier grants and what is known of those who
// may have given them.
func (s *Service) logClaim(record, previous *fleet.Cell, number int64) {
	if previous == nil {
		previous = &fleet.Cell{}
	}
	s.mu.Lock()
	d := s.deputies[record.Service]
	s.mu.Unlock()
	deputy := ""
	if d.change == previous.Change {
		deputy = d.vm.ID
	}
	s.logger.Info("claimed the cell", "service", record.Service, "number", number, "previous_leader", previous.Leader, "previous_boot", previous.Boot, "previous_change", previous.Change,
		"process_ended", processEnded(s.view, previous), "known_deputy", deputy, "earlier_grants", record.EarlierGrants)
}

// sameLeader reports whether two records name the same leader process. The records
// may differ, because a VM may read a leader's last key assignments just before it
// claims the cell.
func sameLeader(a, b *fleet.Cell) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Leader == b.Leader && a.Boot == b.Boot
}

// inherit builds the key manager of a cell from its newest record, whose
// assignments it takes over. bound is how long grants of the previous leader may still
// be in effect; those of leaders before it may be so for as long as the record tells. It
// returns nil for a service without keys.
func (s *Service) inherit(svc fleet.Service, bound time.Duration) *keyspace.Manager {
	if !svc.Keyed {
		return nil
	}
	c, number := s.view.Cell(svc.Name)
	if c == nil {
		return keyspace.New(keyConfig(c.GrantHold()), nil, s.clock.Now()+bound)
	}
	m := keyspace.New(keyConfig(c.GrantHold()), resolveFences(c, number), s.clock.Now()+max(bound, c.EarlierGrants))
	if c.UnknownHolders {
		m.ExpectUnknownHolders()
	}
	return m
}

// maxHoldAfterLease returns how long a target may hold keys after the lease of the
// leader that granted them, for hold each, has ended: the last grant may have been sent
// right before.
func maxHoldAfterLease(hold time.Duration) time.Duration { return keyConfig(hold).MaxHoldSinceSend() }

// resolveFences returns the assignments of a record with their fencing tokens.
// Assignments that the record itself introduces are stored with fence 0, since
// the record's number, which is their fence, is known only after the append.
func resolveFences(c *fleet.Cell, number int64) []keyspace.Assignment {
	if c == nil {
		return nil
	}
	out := make([]keyspace.Assignment, len(c.Keys))
	copy(out, c.Keys)
	for i := range out {
		if out[i].Fence == 0 && out[i].Owner.Target != "" {
			out[i].Fence = number
		}
	}
	return out
}

// processEnded reports whether the leader process named in a record is known to have
// ended: its VM has registered another process, or is not registered.
func processEnded(v *view.View, c *fleet.Cell) bool {
	vm, known := v.VM(c.Leader)
	return !known || vm.Boot != c.Boot
}
