package dispatch

import (
	"context"
	"strings"
	"sync"

	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/timeline"
)

// targetsOf returns the service and the targets of a group, from the
// configuration in force.
func (s *Service) targetsOf(group string) (inventory.Service, []inventory.Target) {
	serviceName, target, single := strings.Cut(group, "/")
	var service inventory.Service
	var out []inventory.Target
	s.replica.View(func(st *control.State) {
		doc, _ := st.Document()
		service, _ = doc.Service(serviceName)
		if !single && service.Ownership == inventory.OwnershipKey {
			return
		}
		for _, t := range doc.TargetsOf(serviceName) {
			if !single || t.Name == target {
				out = append(out, t)
			}
		}
	})
	return service, out
}

// available tells whether a target may get new work. A target with keys that
// is being drained works on until its shards are handed over, but not for
// longer than handoverPatience.
func (s *Service) available(t inventory.Target) bool {
	var out, keyed bool
	s.replica.View(func(st *control.State) {
		out = st.TargetOut(t)
		doc, _ := st.Document()
		service, _ := doc.Service(t.Service)
		keyed = service.Ownership == inventory.OwnershipKey
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves := out || s.draining[t.Name]
	if !leaves {
		delete(s.leavingSince, t.Name)
	} else if _, known := s.leavingSince[t.Name]; !known {
		s.leavingSince[t.Name] = s.clock.Now()
	}
	if s.unhealthy[t.Name] {
		return false
	}
	return !leaves || keyed && s.clock.Now()-s.leavingSince[t.Name] < handoverPatience
}

// refreshAll brings the groups in line with what is out of service, without
// asking the targets.
func (s *Service) refreshAll() {
	for _, g := range s.allGroups() {
		_, members := s.targetsOf(g.name)
		for _, t := range members {
			if g.knows(t.Name) {
				g.seen(admission.TargetSeen{Target: t.Name, Slots: t.Slots, Available: s.available(t)})
			}
		}
	}
}

// observeAll asks the targets of all dispatched groups for their load and
// brings the groups in line with the configuration.
func (s *Service) observeAll() {
	var wg sync.WaitGroup
	for _, g := range s.allGroups() {
		_, members := s.targetsOf(g.name)
		wanted := map[string]bool{}
		for _, t := range members {
			wanted[t.Name] = true
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.observe(g, t)
			}()
		}
		for _, name := range g.knownTargets() {
			if !wanted[name] {
				g.removed(name)
			}
		}
	}
	wg.Wait()
}

// observe asks one target for its load. It returns true when the target runs
// as the process that was known before.
func (s *Service) observe(g *group, t inventory.Target) (sameProcess bool) {
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	defer cancel()
	load, err := s.targets.Load(ctx, t.Name, t.Address)
	s.mu.Lock()
	was := s.unhealthy[t.Name]
	// A query that timed out says nothing: health endpoints lag, and a frozen
	// target shows in its service times.
	refused := err != nil && ctx.Err() == nil
	if err == nil || refused {
		setOrDelete(s.unhealthy, t.Name, refused)
	}
	if err == nil {
		setOrDelete(s.draining, t.Name, load.Draining)
	}
	s.mu.Unlock()
	if refused != was && (err == nil || refused) {
		s.events.Record(timeline.Event{Kind: healthKind(refused), Group: g.name, Target: t.Name})
	}
	seen := admission.TargetSeen{Target: t.Name, Slots: t.Slots, Available: s.available(t)}
	if load != nil {
		seen.BootID = load.BootID
	}
	former := g.seen(seen)
	if load != nil && former != "" && former != load.BootID {
		s.events.Record(timeline.Event{Kind: "target.restarted", Group: g.name, Target: t.Name})
	}
	return err == nil && (former == "" || former == load.BootID)
}

func healthKind(refused bool) string {
	if refused {
		return "target.refuses_connections"
	}
	return "target.accepts_connections"
}

func setOrDelete(m map[string]bool, key string, set bool) {
	if set {
		m[key] = true
	} else {
		delete(m, key)
	}
}
