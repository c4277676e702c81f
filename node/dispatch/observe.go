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

// targetsOf returns the service and the targets of a group in the current
// configuration. A group name with "/" means one target of a keyed service; a
// group that is named after a keyed service has no targets.
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

// available reports whether a target may get new requests. A target of a keyed
// service that drains or is out of service still gets them while its shards are
// handed over, for at most handoverTimeout.
func (s *Service) available(t inventory.Target) bool {
	var outOfService, keyed bool
	s.replica.View(func(st *control.State) {
		outOfService = st.TargetOutOfService(t)
		doc, _ := st.Document()
		service, _ := doc.Service(t.Service)
		keyed = service.Ownership == inventory.OwnershipKey
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := outOfService || s.draining[t.Name]
	if !withdrawn {
		delete(s.withdrawnSince, t.Name)
	} else if _, known := s.withdrawnSince[t.Name]; !known {
		s.withdrawnSince[t.Name] = s.clock.Now()
	}
	if s.unhealthy[t.Name] {
		return false
	}
	return !withdrawn || keyed && s.clock.Now()-s.withdrawnSince[t.Name] < handoverTimeout
}

// refreshAll updates the availability of all known targets from the
// configuration and the last load replies. It does not query the targets.
func (s *Service) refreshAll() {
	for _, g := range s.allGroups() {
		_, groupTargets := s.targetsOf(g.name)
		for _, t := range groupTargets {
			if g.hasTarget(t.Name) {
				g.updateTarget(admission.TargetUpdate{Target: t.Name, Slots: t.Slots, Available: s.available(t)})
			}
		}
	}
}

// observeAll queries the load of all targets of the dispatched groups. It adds
// targets that are new in the configuration and removes those that left it.
func (s *Service) observeAll() {
	var wg sync.WaitGroup
	for _, g := range s.allGroups() {
		_, groupTargets := s.targetsOf(g.name)
		configured := map[string]bool{}
		for _, t := range groupTargets {
			configured[t.Name] = true
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.observe(g, t)
			}()
		}
		for _, name := range g.knownTargets() {
			if !configured[name] {
				g.removeTarget(name)
			}
		}
	}
	wg.Wait()
}

// observe queries the load of one target and updates its state in the group. It
// returns true if the target answered and its boot id is the known one, or none
// was known.
func (s *Service) observe(g *group, t inventory.Target) (sameProcess bool) {
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	defer cancel()
	queriedAt := s.clock.Now()
	load, err := s.queryLoad(ctx, t)
	s.mu.Lock()
	wasUnhealthy := s.unhealthy[t.Name]
	// A timeout does not change the health state: health endpoints lag, and a
	// frozen target is detected by its service times.
	unhealthy := err != nil && ctx.Err() == nil
	if err == nil || unhealthy {
		setOrDelete(s.unhealthy, t.Name, unhealthy)
	}
	if err == nil {
		s.lastReply[t.Name] = s.clock.Now()
		setOrDelete(s.draining, t.Name, load.Draining)
	}
	s.mu.Unlock()
	if unhealthy != wasUnhealthy && (err == nil || unhealthy) {
		s.events.Record(timeline.Event{Kind: healthKind(unhealthy), Group: g.name, Target: t.Name})
	}
	update := admission.TargetUpdate{Target: t.Name, Slots: t.Slots, Available: s.available(t)}
	if load != nil {
		update.BootID = load.BootID
	}
	previousBoot := g.updateTarget(update)
	if load != nil && previousBoot == load.BootID && g.detectMissing(t.Name, load.InFlight, queriedAt) {
		s.targets.CloseIdle(t.Address)
	}
	if load != nil && previousBoot != "" && previousBoot != load.BootID {
		s.events.Record(timeline.Event{Kind: "target.restarted", Group: g.name, Target: t.Name})
	}
	return err == nil && (previousBoot == "" || previousBoot == load.BootID)
}

// queryLoad queries a target's load. If there is no answer within half of
// loadTimeout it retries once on a new connection: the first connection may have
// gone silent, which must not look like an unreachable target to the manager.
func (s *Service) queryLoad(ctx context.Context, t inventory.Target) (*targets.LoadReply, error) {
	firstCtx, cancel := context.WithTimeout(ctx, loadTimeout/2)
	defer cancel()
	load, err := s.targets.Load(firstCtx, t.Name, t.Address)
	if err != nil && firstCtx.Err() != nil && ctx.Err() == nil {
		return s.targets.Load(ctx, t.Name, t.Address)
	}
	return load, err
}

// replyAges returns how long ago each target of the dispatched groups last
// answered a load query, or this VM began to dispatch to it.
func (s *Service) replyAges() []mapstore.TargetHeard {
	var out []mapstore.TargetHeard
	for _, g := range s.allGroups() {
		known := g.knownTargets()
		s.mu.Lock()
		for _, name := range known {
			if repliedAt, ok := s.lastReply[name]; ok {
				out = append(out, mapstore.TargetHeard{Target: name, Ago: s.clock.Now() - repliedAt})
			}
		}
		s.mu.Unlock()
	}
	return out
}

func healthKind(unhealthy bool) string {
	if unhealthy {
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
