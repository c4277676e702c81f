package cell

import (
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/view"
)

// leavingKeysPeriod is how long a target that leaves is sent requests for the keys that it
// still owns. The keys usually move within that time. It is below the 2 s within which a VM
// must stop sending, and leaves the target the rest of them to end what it runs.
const leavingKeysPeriod = time.Second

// keysUntil returns until when requests for its keys are sent to a target that has announced
// that it leaves.
func keysUntil(svc fleet.Service, announcedAt time.Duration) time.Duration {
	if !svc.Keyed {
		return announcedAt
	}
	return announcedAt + leavingKeysPeriod
}

// NoteLeaving records that a target's process, reached at an address, has announced in an
// answer to this VM that it leaves. life identifies the process; 0 if it is unknown.
func (s *Service) NoteLeaving(target, address string, life int64) {
	if s.view.NoteLeaving(view.Announcement{Target: target, Life: life}) {
		s.leaving.Inc(1)
		s.logger.Info("target announces that it leaves", "target", target, "life", life, "address", address,
			"view_age", s.view.Staleness(view.Targets))
	}
}

// learnLeaving records what another VM knows of targets that leave.
func (s *Service) learnLeaving(vm, service string, leaving []view.Announcement) {
	for _, a := range leaving {
		if s.view.NoteLeaving(a) {
			s.leaving.Inc(1)
			s.logger.Info("another VM knows that a target leaves", "vm", vm, "service", service, "target", a.Target, "life", a.Life,
				"age", a.Age, "view_age", s.view.Staleness(view.Targets))
		}
	}
}

// LifeOf returns the life of the process that is reached at the address of a slot, as far as
// it is known: this VM may know of a later start there than the VM that lent the slot.
func (s *Service) LifeOf(slot Slot) int64 {
	if address, life, ok := s.view.Address(slot.Target); ok && address == slot.Address {
		return max(life, slot.Life)
	}
	return slot.Life
}

// MaySend reports whether a request may still be sent to the target of a slot, given the
// life of its process. The VM that lent the slot may not know that the target leaves.
func (s *Service) MaySend(slot Slot, life int64) bool {
	since, leaves := s.view.LeavingSince(slot.Target, life)
	if !leaves {
		return true
	}
	cfg, _ := s.view.Config()
	if cfg == nil {
		return false
	}
	svc, _ := cfg.Service(slot.service)
	return s.clock.Now() < keysUntil(svc, since)
}
