package manager

import (
	"maps"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/placement"
)

// planInputs is all that the placement of shards depends on. The same inputs
// give the same plan, and a plan of many shards takes tens of milliseconds.
type planInputs struct {
	document, config, assign uint64 // versions
	changes                  uint64 // of tenure.assigned
	round                    int64  // of balancing by load
	servers                  map[string][]placement.Server
	nothing                  bool // the plan equals what the log holds
}

func (t *tenure) planInputs(now time.Duration, st *control.State) planInputs {
	in := planInputs{
		document: t.docVersion, config: t.config, assign: st.AssignVersion(), changes: t.changes, round: balanceRound(now - t.started),
		servers: map[string][]placement.Server{},
	}
	draining := map[string]bool{} // targets that a dispatcher reports as leaving
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

// unplanned tells whether a plan is not needed: the last one had the same
// inputs and left nothing to append.
func (t *tenure) unplanned(in planInputs, first bool) bool {
	last := t.lastPlan
	return !first && last.nothing && in.document == last.document && in.config == last.config && in.assign == last.assign &&
		in.changes == last.changes && in.round == last.round && maps.EqualFunc(in.servers, last.servers, slices.Equal)
}

// setAssigned notes an assignment as a change of the inputs.
func (t *tenure) setAssigned(key control.ShardKey, a control.ShardAssignment) {
	t.assigned[key] = a
	t.changes++
}

func (t *tenure) serverList(now time.Duration, st *control.State, service string, draining map[string]bool) []placement.Server {
	var out []placement.Server
	for _, target := range t.doc.TargetsOf(service) {
		s := t.servers[target.Name]
		// A server that has not answered yet is given the time that its old
		// lease may last before its shards are moved.
		heard := s != nil && !s.lost && (s.answered || now-t.started < mapLeaseBound)
		out = append(out, placement.Server{
			Name: target.Name, DataCentre: target.DataCentre, Weight: target.EffectiveWeight(),
			Available: heard && !st.TargetOut(target) && !draining[target.Name],
		})
	}
	return out
}

// groupPlan is a group that the document asks for. Target is empty for a ledger.
type groupPlan struct{ name, dataCentre, target string }

// planList returns the groups of a document.
func planList(doc *inventory.Document) []groupPlan {
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

// mainDataCentre returns the data centre with the most of the targets.
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

// chosenDispatch is a choice of dispatchers and what it was made from. A choice
// ranks all VMs, so it is made again only when they or the entry have changed.
type chosenDispatch struct {
	vms        uint64 // tenure.vmChanges
	avoided    string // the VM that is cut off from the target
	dataCentre string
	current    placement.Dispatch
	want       placement.Dispatch
}

// madeFrom tells whether a choice was made from the same as next would be.
func (c *chosenDispatch) madeFrom(next chosenDispatch) bool {
	return c.vms == next.vms && c.avoided == next.avoided && c.dataCentre == next.dataCentre &&
		c.current.Dispatcher == next.current.Dispatcher && slices.Equal(c.current.Copies, next.current.Copies)
}

// chooseDispatch returns the dispatcher and copies that a group should have.
// With restarted, the process that the entry names is gone.
func (t *tenure) chooseDispatch(now time.Duration, p groupPlan, g *groupState, vms []placement.VM, restarted bool) placement.Dispatch {
	current := placement.Dispatch{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
	if restarted {
		current.Dispatcher = "" // a process started since knows no write intents
	}
	vms, avoided := t.reaching(now, p.target, g, vms)
	name, dataCentre := p.name, p.dataCentre
	c := &g.chosen
	next := chosenDispatch{vms: t.vmChanges, avoided: avoided, dataCentre: dataCentre, current: current}
	if c.madeFrom(next) {
		return c.want
	}
	*c = next
	c.want = placement.Dispatchers(name, dataCentre, vms, current)
	return c.want
}

// noteVMs counts the changes of the VMs that the choice of dispatchers sees.
func (t *tenure) noteVMs(vms []placement.VM) {
	if t.vmChanges == 0 || !slices.Equal(vms, t.lastVMs) {
		t.lastVMs = vms
		t.vmChanges++
	}
}
