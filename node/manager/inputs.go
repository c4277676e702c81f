package manager

import (
	"maps"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/placement"
)

// planInputs holds what the placement of shards depends on. Planning many shards
// takes tens of milliseconds, so it is skipped while the inputs stay the same.
type planInputs struct {
	docVersion, configVersion, assignVersion uint64 // versions
	assignedChanges                          uint64 // counts changes of termState.assigned
	round                                    int64  // number of the rebalancing round; new shard loads count from the next round on
	servers                                  map[string][]placement.Server
	logged                                   bool // the plan added nothing to the assignments in the log
}

func (t *termState) currentPlanInputs(now time.Duration, st *control.State) planInputs {
	in := planInputs{
		docVersion: t.docVersion, configVersion: t.configVersion, assignVersion: st.AssignVersion(), assignedChanges: t.assignedChanges, round: balanceRound(now - t.started),
		servers: map[string][]placement.Server{},
	}
	draining := map[string]bool{} // targets that a VM reports as draining
	for _, v := range t.vms {
		for _, target := range v.report.Draining {
			draining[target] = true
		}
	}
	for _, s := range t.doc.Services {
		if s.Ownership == inventory.OwnershipKey {
			in.servers[s.Name] = t.serverList(now, st, s.Name, draining)
		}
	}
	return in
}

// planIsCurrent reports whether planning can be skipped: the last plan had the
// same inputs, and nothing is left to append to the log.
func (t *termState) planIsCurrent(in planInputs, markPublished bool) bool {
	last := t.lastPlan
	return !markPublished && last.logged && in.docVersion == last.docVersion && in.configVersion == last.configVersion && in.assignVersion == last.assignVersion &&
		in.assignedChanges == last.assignedChanges && in.round == last.round && maps.EqualFunc(in.servers, last.servers, slices.Equal)
}

// setAssigned sets the assignment of a shard and counts it as a change of the
// planning inputs.
func (t *termState) setAssigned(key control.ShardKey, a control.ShardAssignment) {
	t.assigned[key] = a
	t.assignedChanges++
}

// serverList returns the servers of a service for the placement of shards.
func (t *termState) serverList(now time.Duration, st *control.State, service string, draining map[string]bool) []placement.Server {
	var out []placement.Server
	for _, target := range t.doc.TargetsOf(service) {
		s := t.servers[target.Name]
		// A server that has not answered in this term keeps its shards until the lease
		// from an earlier term has certainly expired.
		alive := s != nil && !s.lost && (s.answered || now-t.started < mapLeaseBound)
		out = append(out, placement.Server{
			Name: target.Name, DataCentre: target.DataCentre, Weight: target.EffectiveWeight(),
			Available: alive && !st.TargetOutOfService(target) && !draining[target.Name],
		})
	}
	return out
}

// groupPlan is a group that the document asks for. target is empty for the group
// of a whole service.
type groupPlan struct{ name, dataCentre, target string }

// listGroupPlans returns the groups that a document asks for: one for each service
// and one for each target of a service that shards by key.
func listGroupPlans(doc *inventory.Document) []groupPlan {
	var out []groupPlan
	for _, s := range doc.Services {
		all := doc.TargetsOf(s.Name)
		out = append(out, groupPlan{s.Name, mainDataCentre(all), ""})
		if s.Ownership != inventory.OwnershipKey {
			continue
		}
		for _, target := range all {
			out = append(out, groupPlan{s.Name + "/" + target.Name, target.DataCentre, target.Name})
		}
	}
	return out
}

// mainDataCentre returns the data centre that has the most targets.
func mainDataCentre(targets []inventory.Target) string {
	counts := map[string]int{}
	best := ""
	for _, target := range targets {
		counts[target.DataCentre]++
		if best == "" || counts[target.DataCentre] > counts[best] {
			best = target.DataCentre
		}
	}
	return best
}

// cachedDispatch is a computed placement of a group and the inputs that it was
// computed from. The computation ranks all VMs, so the result is reused until an
// input changes.
type cachedDispatch struct {
	vmChanges  uint64 // value of termState.vmChanges
	excluded   string // the VM that cannot reach the target
	dataCentre string
	current    placement.DispatchPlacement
	want       placement.DispatchPlacement
}

func (c *cachedDispatch) sameInputs(next cachedDispatch) bool {
	return c.vmChanges == next.vmChanges && c.excluded == next.excluded && c.dataCentre == next.dataCentre &&
		c.current.Dispatcher == next.current.Dispatcher && slices.Equal(c.current.Copies, next.current.Copies)
}

// chooseDispatch returns the dispatcher and copies that a group should have.
// restarted says that the dispatcher process in the entry no longer runs.
func (t *termState) chooseDispatch(now time.Duration, p groupPlan, g *groupState, vms []placement.VM, restarted bool) placement.DispatchPlacement {
	current := placement.DispatchPlacement{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
	if restarted {
		current.Dispatcher = "" // the new process on that VM has no write intents
	}
	vms, excluded := t.excludeDisconnectedVM(now, p.target, g, vms)
	name, dataCentre := p.name, p.dataCentre
	c := &g.cached
	next := cachedDispatch{vmChanges: t.vmChanges, excluded: excluded, dataCentre: dataCentre, current: current}
	if c.sameInputs(next) {
		return c.want
	}
	*c = next
	c.want = placement.PlaceGroup(name, dataCentre, vms, current)
	return c.want
}

// updateVMList keeps vms as the last list and increments vmChanges if the list
// differs from the previous one.
func (t *termState) updateVMList(vms []placement.VM) {
	if t.vmChanges == 0 || !slices.Equal(vms, t.lastVMs) {
		t.lastVMs = vms
		t.vmChanges++
	}
}
