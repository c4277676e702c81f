package dispatch

import (
	"context"
	"strings"
	"sync"

	"github.com/mangogate/mangogate/core/admission"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/targets"
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
	asked := s.clock.Now()
	load, err := s.askLoad(ctx, t)
	s.mu.Lock()
	was := s.unhealthy[t.Name]
	// A query that timed out says nothing: health endpoints lag, and a frozen
	// target shows in its service times.
	refused := err != nil && ctx.Err() == nil
	if err == nil || refused {
		setOrDelete(s.unhealthy, t.Name, refused)
	}
	if err == nil {
		s.heard[t.Name] = s.clock.Now()
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
	if load != nil && former == load.BootID && g.missing(t.Name, load.InFlight, asked) {
		s.targets.CondemnIdle(t.Address)
	}
	if load != nil && former != "" && former != load.BootID {
		s.events.Record(timeline.Event{Kind: "target.restarted", Group: g.name, Target: t.Name})
	}
	return err == nil && (former == "" || former == load.BootID)
}

// askLoad asks again on a new connection when the first one gives no answer: it
// may have gone silent, and the manager must not take that for a target that is
// out of reach.
func (s *Service) askLoad(ctx context.Context, t inventory.Target) (*targets.LoadReply, error) {
	first, cancel := context.WithTimeout(ctx, loadTimeout/2)
	defer cancel()
	load, err := s.targets.Load(first, t.Name, t.Address)
	if err != nil && first.Err() != nil && ctx.Err() == nil {
		return s.targets.Load(ctx, t.Name, t.Address)
	}
	return load, err
}

// targetsHeard returns when the targets of the dispatched groups last answered.
func (s *Service) targetsHeard() []mapstore.TargetHeard {
	var out []mapstore.TargetHeard
	for _, g := range s.allGroups() {
		known := g.knownTargets()
		s.mu.Lock()
		for _, name := range known {
			if at, ok := s.heard[name]; ok {
				out = append(out, mapstore.TargetHeard{Target: name, Ago: s.clock.Now() - at})
			}
		}
		s.mu.Unlock()
	}
	return out
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
