package manager

import (
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	// busyPatience is how long the change of a dispatcher waits for what the
	// old one has in flight; its late outcomes still reach the new one.
	busyPatience = 500 * time.Millisecond
	// copyPatience is how long a planned change waits for a complete copy.
	copyPatience = 5 * time.Second
	// epochBits is the room for changes within one term.
	epochBits = 20
)

// groupState is a group's map entry and how it came about.
type groupState struct {
	entry      shardmap.Group
	boots      map[string]string // boot ids of the copies at the last change
	dataCentre string
	// previous are VMs that dispatched before and may not have stopped.
	previous  []string
	sequence  uint64 // first map without them
	changedAt time.Duration
	notBefore time.Duration
	// dataEpochs are the last epochs at which a copy can be complete.
	dataEpochs   []uint64
	waitingSince time.Duration // for a complete copy
	// avoid is a VM that did not reach the group's target, until avoidUntil.
	avoid      string
	avoidUntil time.Duration
	chosen     chosenDispatch
}

// planGroups keeps a dispatcher for each group.
func (t *tenure) planGroups(now time.Duration) {
	if t.docVersion == 0 || !t.ready() {
		return
	}
	if t.sequence == 0 {
		t.adoptGroups()
	}
	vms := t.vmList(now)
	t.noteVMs(vms)
	for _, p := range t.plans {
		t.planGroup(now, p, vms)
	}
	for name := range t.groups {
		if !t.wanted[name] {
			delete(t.groups, name)
			t.dirty = true
		}
	}
}

// adoptGroups continues the groups of the newest map of earlier terms.
func (t *tenure) adoptGroups() {
	if t.base == nil || len(t.groups) > 0 {
		return
	}
	for name, entry := range t.base.Groups {
		g := &groupState{entry: entry, dataEpochs: slices.Clone(entry.DataEpochs), changedAt: t.started, sequence: 1}
		if !entry.Active {
			// The dispatcher before it is not known; its lease ends by then.
			g.notBefore = t.started + mapLeaseBound
		}
		t.groups[name] = g
	}
}

func (t *tenure) planGroup(now time.Duration, p groupPlan, vms []placement.VM) {
	name := p.name
	g := t.groups[name]
	if g == nil {
		g = &groupState{}
		t.groups[name] = g
	}
	g.dataCentre = p.dataCentre
	restarted := t.bootOf(g.entry.Dispatcher) != g.entry.DispatcherBoot
	want := t.chooseDispatch(now, p, g, vms, restarted)
	if !shardmap.IsLedger(name) {
		want.Copies = nil
	}
	switch {
	case want.Dispatcher == "":
	case want.Dispatcher != g.entry.Dispatcher || restarted:
		t.changeDispatcher(now, name, g, want, vms)
	case !sameSet(want.Copies, g.entry.Copies) || t.copyRestarted(g):
		t.changeCopies(now, name, g, want.Copies)
	}
	t.activate(now, name, g)
}

// bootOf returns the boot id of a VM, empty while it is not known.
func (t *tenure) bootOf(vm string) string {
	if v := t.vms[vm]; v != nil {
		return v.bootID
	}
	return ""
}

// copyRestarted tells whether the process of a copy was started again; it has
// to be brought up to date under a new epoch.
func (t *tenure) copyRestarted(g *groupState) bool {
	for _, vm := range g.entry.Copies {
		if boot, known := g.boots[vm]; known && boot != t.bootOf(vm) {
			return true
		}
	}
	return false
}

// changeCopies sets the copies of a group whose dispatcher stays.
func (t *tenure) changeCopies(now time.Duration, name string, g *groupState, copies []string) {
	entry := g.entry
	entry.Copies = copies
	t.setEntry(now, name, g, entry)
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// setEntry gives the group a new entry and epoch.
func (t *tenure) setEntry(now time.Duration, name string, g *groupState, entry shardmap.Group) {
	t.epochs++
	entry.Epoch = t.term<<epochBits | t.epochs
	g.boots = map[string]string{}
	for _, vm := range entry.Copies {
		g.boots[vm] = t.bootOf(vm)
	}
	if entry.Active {
		g.noteEpoch(entry.Epoch)
	}
	g.entry, g.changedAt, g.sequence = entry, now, t.sequence+1
	t.dirty = true
	t.m.events.Record(timeline.Event{Kind: t.groupEvent, Group: name, Term: t.term, Detail: entry.Dispatcher})
}

// noteEpoch keeps the last two epochs: until a copy has confirmed the newer
// one, it is complete if it was at the older, because every intent of the newer
// one was copied to it before the write was sent.
func (g *groupState) noteEpoch(epoch uint64) {
	g.dataEpochs = append(g.dataEpochs, epoch)
	if n := len(g.dataEpochs); n > 2 {
		g.dataEpochs = g.dataEpochs[n-2:]
	}
}

// changeDispatcher moves a group to another VM. A group with write intents
// moves to a complete copy; when none is left, the outcome of writes that are
// not known is unknown for the retention of intents.
func (t *tenure) changeDispatcher(now time.Duration, name string, g *groupState, want placement.Dispatch, vms []placement.VM) {
	old := g.entry
	entry := shardmap.Group{Dispatcher: want.Dispatcher, Copies: want.Copies}
	if shardmap.IsLedger(name) && old.Dispatcher != "" {
		next, complete := t.completeCopy(name, g, vms)
		if !complete && (t.copiesUnheard(now, g) || t.waitForCopy(now, name, g, want, vms)) {
			return
		}
		if complete {
			entry.Dispatcher = next
			entry.Copies = slices.DeleteFunc(append([]string{want.Dispatcher}, want.Copies...), func(vm string) bool { return vm == next })
			entry.Copies = entry.Copies[:min(2, len(entry.Copies))]
			entry.UnknownUntilMS = old.UnknownUntilMS
		} else {
			entry.UnknownUntilMS = unknownUntil()
			t.m.logger.Warn("no complete copy of the write intents is left; unknown writes are not run for the retention",
				"group", name, "retention", dedupe.DefaultConfig().Retention)
		}
	}
	if shardmap.IsLedger(name) && old.Dispatcher == "" && !t.fresh && t.base == nil {
		entry.UnknownUntilMS = unknownUntil()
	}
	if old.Active {
		g.previous = append(g.previous, old.Dispatcher)
	}
	g.waitingSince = 0
	entry.DispatcherBoot = t.bootOf(entry.Dispatcher)
	t.setEntry(now, name, g, entry)
}

func unknownUntil() int64 {
	return time.Now().Add(dedupe.DefaultConfig().Retention).UnixMilli()
}

// completeCopy returns an available VM whose copy is complete.
func (t *tenure) completeCopy(name string, g *groupState, vms []placement.VM) (string, bool) {
	for _, candidate := range g.entry.Copies {
		available := slices.ContainsFunc(vms, func(p placement.VM) bool { return p.Name == candidate && p.Available })
		if available && t.isCompleteCopy(name, g, candidate) {
			return candidate, true
		}
	}
	return "", false
}

func (t *tenure) isCompleteCopy(name string, g *groupState, vm string) bool {
	v := t.vms[vm]
	if v == nil {
		return false
	}
	r, ok := v.group(name)
	return ok && r.Complete && slices.Contains(g.dataEpochs, r.Epoch)
}

// copiesUnheard tells whether a copy may be complete although its holder has
// not reported in this term. A new manager has no reports before its first map
// is installed; without this wait, a loss of the manager together with the
// dispatcher would count as the loss of all copies.
func (t *tenure) copiesUnheard(now time.Duration, g *groupState) bool {
	// The lease of the lost dispatcher has to end as well; until then the wait
	// costs nothing.
	if now >= t.started+mapLeaseBound {
		return false
	}
	return slices.ContainsFunc(g.entry.Copies, func(vm string) bool {
		v := t.vms[vm]
		return v != nil && !v.replied
	})
}

// waitForCopy gives a dispatcher that is leaving in good order time to bring a
// copy up to date.
func (t *tenure) waitForCopy(now time.Duration, name string, g *groupState, want placement.Dispatch, vms []placement.VM) bool {
	v := t.vms[g.entry.Dispatcher]
	if v == nil || !v.reachable(now) || !g.entry.Active || v.bootID != g.entry.DispatcherBoot {
		return false
	}
	if g.waitingSince == 0 {
		g.waitingSince = now
	}
	copies := append([]string{want.Dispatcher}, want.Copies...)
	copies = copies[:min(2, len(copies))]
	if !sameSet(copies, g.entry.Copies) {
		t.changeCopies(now, name, g, copies)
	}
	return now-g.waitingSince < copyPatience
}

// activate lets the dispatcher begin once those before it have stopped and more
// than half of the members hold the change.
func (t *tenure) activate(now time.Duration, name string, g *groupState) {
	if g.entry.Active || g.entry.Dispatcher == "" || now < g.notBefore {
		return
	}
	g.previous = slices.DeleteFunc(g.previous, func(vm string) bool {
		return t.released(now, vm, g.sequence, func(v *vmState) bool {
			return v.busyGroup(name) && now-g.changedAt < busyPatience
		})
	})
	if len(g.previous) > 0 || !t.majority(func(v *vmState) bool { return v.installed >= g.sequence }) {
		return
	}
	g.entry.Active = true
	g.noteEpoch(g.entry.Epoch)
	t.dirty = true
	t.m.events.Record(timeline.Event{Kind: "group.activated", Group: name, Term: t.term, Detail: g.entry.Dispatcher})
}

// publish makes a new map when something has changed.
func (t *tenure) publish(now time.Duration) {
	if !t.dirty || t.docVersion == 0 || !t.ready() || !t.settled(now) {
		return
	}
	t.dirty = false
	t.sequence++
	t.current = t.newMap()
	t.m.metrics.maps.Inc(1)
}

// newMap returns the map of the present state.
func (t *tenure) newMap() *shardmap.Map {
	m := &shardmap.Map{
		Term: t.term, Sequence: t.sequence, ConfigVersion: t.config,
		Shards: map[string][]shardmap.Route{}, Groups: map[string]shardmap.Group{}, Peers: map[string]string{},
	}
	for service, routes := range t.routes {
		m.Shards[service] = slices.Clone(routes)
	}
	for name, g := range t.groups {
		entry := g.entry
		entry.DataEpochs = slices.Clone(g.dataEpochs)
		m.Groups[name] = entry
	}
	for name, v := range t.vms {
		m.Peers[name] = v.address
	}
	return m
}

// settled tells whether the first map of the term may be published: servers
// have had time to confirm what they hold, and the log says that a map is in use.
func (t *tenure) settled(now time.Duration) bool {
	if t.sequence > 0 {
		return true
	}
	if t.base == nil && !t.published() {
		return false
	}
	if now-t.started >= settleTime {
		return true
	}
	for _, routes := range t.routes {
		for _, r := range routes {
			if r.Owner == "" {
				return false
			}
		}
	}
	return len(t.groups) > 0
}
