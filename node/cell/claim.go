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

// errDeposed means that another VM leads the cell.
var errDeposed = errors.New("another VM leads the cell")

// writePause is the pause before an append is tried again.
const writePause = 100 * time.Millisecond

// write appends a cell's record behind all that this VM has read, and returns
// its number. It goes on until the outcome is known: an append without an
// answer may be done later, and only the log can tell.
func (s *Service) write(ctx context.Context, c *fleet.Cell) (int64, error) {
	before, _ := s.view.Cell(c.Service)
	c.Change = rand.Uint64()
	change := view.Change{Log: view.System, Key: view.CellKey(c.Service), Cell: c}
	for {
		end := s.view.End(view.System)
		began := s.clock.Now()
		offset, err := s.store.Append(ctx, change, end)
		if err == nil {
			change.Offset = offset
			s.view.Apply(view.System, []view.Change{change}, offset+1, began)
			return view.Number(offset), nil
		}
		s.logger.Info("append was not confirmed", "service", c.Service, "end", end, "error", err)
		if !errors.Is(err, view.ErrConflict) {
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			time.Sleep(writePause)
		}
		if err := s.readSystem(ctx); err != nil {
			s.logger.Info("log was not read after an append", "error", err)
			continue
		}
		now, number := s.view.Cell(c.Service)
		switch {
		case now != nil && now.Change == c.Change && now.Boot == c.Boot:
			return number, nil
		case now != before:
			return 0, errDeposed
		}
	}
}

// readSystem reads the system's log to its end.
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

// claim makes this VM the leader of a cell. Bound is asked once the record is
// written, and tells how long after that the leader before may still grant keys.
func (s *Service) claim(ctx context.Context, svc fleet.Service, seen *fleet.Cell, bound func() time.Duration) error {
	if err := s.readSystem(ctx); err != nil {
		return errors.Wrap(err, "read the system's log before a claim")
	}
	now, before := s.view.Cell(svc.Name)
	if !sameLeader(now, seen) {
		return errDeposed
	}
	record := &fleet.Cell{Service: svc.Name, Leader: s.self.ID, Boot: s.self.Boot}
	if svc.Keyed {
		record.Keys = keyspace.New(keyConfig(), resolveFences(now, before), 0).TakeOver()
	}
	number, err := s.write(ctx, record)
	if err != nil {
		return errors.Wrap(err, "write the claim")
	}
	s.begin(svc.Name, s.inherit(svc, bound()), number)
	return nil
}

// sameLeader tells whether two records name the same process. A VM may have read
// the last changes of a leader's keys just before it claims the cell.
func sameLeader(a, b *fleet.Cell) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Leader == b.Leader && a.Boot == b.Boot
}

// inherit builds the manager of a cell from its newest record, which names
// this VM. The leader before may still grant keys for up to bound.
func (s *Service) inherit(svc fleet.Service, bound time.Duration) *keyspace.Manager {
	if !svc.Keyed {
		return nil
	}
	c, number := s.view.Cell(svc.Name)
	return keyspace.New(keyConfig(), resolveFences(c, number), s.clock.Now()+bound+afterAuthority())
}

// afterAuthority is how long a target may hold keys after the end of the
// authority under which they were granted: the call may be on its way.
func afterAuthority() time.Duration {
	return callTimeout + time.Duration(float64(hold)*(1+clockError))
}

// resolveFences returns a record's assignments with the fences that the store
// gave them.
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

// processEnded tells whether the process of a record's leader is known to have
// ended: the VM has registered with a later one, or not at all.
func processEnded(v *view.View, c *fleet.Cell) bool {
	vm, known := v.VM(c.Leader)
	return !known || vm.Boot != c.Boot
}
