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
	// drainTimeout is how long a change of dispatcher waits for the requests that
	// the old dispatcher has in flight. Outcomes that arrive later still reach the
	// new dispatcher.
	drainTimeout = 500 * time.Millisecond
	// copySyncTimeout is how long a planned change of dispatcher waits until a copy
	// of the write intents is complete.
	copySyncTimeout = 5 * time.Second
	// epochBits is the number of low bits of an epoch that count the changes within
	// one term; the higher bits are the term.
	epochBits = 20
)

// groupState is a group's map entry together with the state of a change that is
// in progress.
type groupState struct {
	entry               shardmap.Group
	copyBootIDs         map[string]string // boot ids by VM in entry.Copies, when entry was set
	dataCentre          string
	previousDispatchers []string // may still be sending requests
	// sequence is that of the first map that contains entry. While
	// previousDispatchers is not empty, entry is not active in that map, so a VM
	// that has installed the map starts no more requests of the group.
	sequence  uint64
	changedAt time.Duration
	notBefore time.Duration // earliest time at which entry may become active
	// dataEpochs holds the last two epochs, or fewer, at which the entry was
	// active. A copy that is complete at one of them holds all write intents.
	dataEpochs   []uint64
	waitingSince time.Duration // when the wait for a complete copy began; 0 if none is under way
	// excludedVM could not reach the group's target; it is not chosen as the
	// dispatcher until excludedUntil.
	excludedVM    string
	excludedUntil time.Duration
	cached        cachedDispatch
}

// planGroups chooses a dispatcher, and copies where needed, for each group that
// the document asks for, and removes the groups that it no longer asks for.
func (t *termState) planGroups(now time.Duration) {
	if t.docVersion == 0 || !t.ready() {
		return
	}
	if t.sequence == 0 {
		t.adoptGroups()
	}
	vms := t.vmList(now)
	t.updateVMList(vms)
	for _, p := range t.groupPlans {
		t.planGroup(now, p, vms)
	}
	for name := range t.groups {
		if !t.groupNames[name] {
			delete(t.groups, name)
			t.dirty = true
		}
	}
}

// adoptGroups takes the group entries over from the newest map of earlier
// terms.
func (t *termState) adoptGroups() {
	if t.baseMap == nil || len(t.groups) > 0 {
		return
	}
	for name, entry := range t.baseMap.Groups {
		g := &groupState{entry: entry, dataEpochs: slices.Clone(entry.DataEpochs), changedAt: t.started, sequence: 1}
		if !entry.Active {
			// The earlier dispatcher is not known, but by notBefore its map lease has
			// ended.
			g.notBefore = t.started + mapLeaseBound
		}
		t.groups[name] = g
	}
}

// planGroup chooses the placement of one group, starts the change to it, and
// activates the entry when it is safe.
func (t *termState) planGroup(now time.Duration, p groupPlan, vms []placement.VM) {
	name := p.name
	g := t.groups[name]
	if g == nil {
		g = &groupState{}
		t.groups[name] = g
	}
	g.dataCentre = p.dataCentre
	restarted := t.bootOf(g.entry.Dispatcher) != g.entry.DispatcherBoot
	want := t.chooseDispatch(now, p, g, vms, restarted)
	if !shardmap.StoresWriteIntents(name) {
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

// bootOf returns the boot id of a VM, or an empty string while it is not known.
func (t *termState) bootOf(vm string) string {
	if v := t.vms[vm]; v != nil {
		return v.bootID
	}
	return ""
}

// copyRestarted reports whether the process of a VM that holds a copy was
// restarted. Its copy was lost and has to be rebuilt under a new epoch.
func (t *termState) copyRestarted(g *groupState) bool {
	for _, vm := range g.entry.Copies {
		if boot, known := g.copyBootIDs[vm]; known && boot != t.bootOf(vm) {
			return true
		}
	}
	return false
}

// changeCopies sets the copies of a group and keeps its dispatcher.
func (t *termState) changeCopies(now time.Duration, name string, g *groupState, copies []string) {
	entry := g.entry
	entry.Copies = copies
	t.setEntry(now, name, g, entry)
}

// sameSet reports whether two lists without duplicates have the same elements.
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

// setEntry replaces the group's map entry and gives it a new epoch.
func (t *termState) setEntry(now time.Duration, name string, g *groupState, entry shardmap.Group) {
	t.epochCount++
	entry.Epoch = t.term<<epochBits | t.epochCount
	g.copyBootIDs = map[string]string{}
	for _, vm := range entry.Copies {
		g.copyBootIDs[vm] = t.bootOf(vm)
	}
	if entry.Active {
		g.recordDataEpoch(entry.Epoch)
	}
	g.entry, g.changedAt, g.sequence = entry, now, t.sequence+1
	t.dirty = true
	t.m.events.Record(timeline.Event{Kind: t.groupEvent, Group: name, Term: t.term, Detail: entry.Dispatcher})
}

// recordDataEpoch appends an epoch to dataEpochs and keeps the last two. A copy
// that was complete at the older epoch and has not confirmed the newer one still
// has all intents, because the dispatcher stores every intent of the newer epoch
// at all copies before it sends the write.
func (g *groupState) recordDataEpoch(epoch uint64) {
	g.dataEpochs = append(g.dataEpochs, epoch)
	if n := len(g.dataEpochs); n > 2 {
		g.dataEpochs = g.dataEpochs[n-2:]
	}
}

// changeDispatcher moves a group to another VM. A group that stores write intents
// moves to a VM with a complete copy; while none is known but one may be or become
// complete, changeDispatcher changes nothing and is called again later. If all
// copies are lost, or no VM has a map although one was published, the new
// dispatcher answers writes that it has no intent of with "unknown" until the
// retention of intents has passed, because they may have run.
func (t *termState) changeDispatcher(now time.Duration, name string, g *groupState, want placement.DispatchPlacement, vms []placement.VM) {
	old := g.entry
	entry := shardmap.Group{Dispatcher: want.Dispatcher, Copies: want.Copies}
	if shardmap.StoresWriteIntents(name) && old.Dispatcher != "" {
		next, complete := t.completeCopy(name, g, vms)
		if !complete && (t.awaitsCopyReports(now, g) || t.waitForCopy(now, name, g, want, vms)) {
			return
		}
		if complete {
			entry.Dispatcher = next
			entry.Copies = slices.DeleteFunc(append([]string{want.Dispatcher}, want.Copies...), func(vm string) bool { return vm == next })
			entry.Copies = entry.Copies[:min(2, len(entry.Copies))]
			entry.UnknownUntilMS = old.UnknownUntilMS
		} else {
			entry.UnknownUntilMS = unknownUntil()
			t.m.logger.Warn("no complete copy of the write intents is available; writes without a recorded intent are answered as unknown until the retention has passed",
				"group", name, "retention", dedupe.DefaultConfig().Retention)
		}
	}
	if shardmap.StoresWriteIntents(name) && old.Dispatcher == "" && !t.neverPublished && t.baseMap == nil {
		entry.UnknownUntilMS = unknownUntil()
	}
	if old.Active {
		g.previousDispatchers = append(g.previousDispatchers, old.Dispatcher)
	}
	g.waitingSince = 0
	entry.DispatcherBoot = t.bootOf(entry.Dispatcher)
	t.setEntry(now, name, g, entry)
}

// unknownUntil returns the wall clock time, in Unix milliseconds, at which the
// retention of write intents that begins now ends.
func unknownUntil() int64 {
	return time.Now().Add(dedupe.DefaultConfig().Retention).UnixMilli()
}

// completeCopy returns the first available VM, in the order of the entry's
// copies, whose copy is complete.
func (t *termState) completeCopy(name string, g *groupState, vms []placement.VM) (string, bool) {
	for _, candidate := range g.entry.Copies {
		available := slices.ContainsFunc(vms, func(p placement.VM) bool { return p.Name == candidate && p.Available })
		if available && t.isCompleteCopy(name, g, candidate) {
			return candidate, true
		}
	}
	return "", false
}

// isCompleteCopy reports whether a VM has reported a complete copy of the
// group's write intents at one of the group's data epochs.
func (t *termState) isCompleteCopy(name string, g *groupState, vm string) bool {
	v := t.vms[vm]
	if v == nil {
		return false
	}
	r, ok := v.copyReport(name)
	return ok && r.Complete && slices.Contains(g.dataEpochs, r.Epoch)
}

// awaitsCopyReports reports whether a VM with a copy has not reported in this
// term, so that its copy may be complete. A new manager has no reports before
// its first map is installed; without this wait, the simultaneous loss of the
// manager and a dispatcher would be treated as the loss of all copies.
func (t *termState) awaitsCopyReports(now time.Duration, g *groupState) bool {
	// No new dispatcher can start before the map lease of the lost one has ended,
	// so waiting until then adds no delay.
	if now >= t.started+mapLeaseBound {
		return false
	}
	return slices.ContainsFunc(g.entry.Copies, func(vm string) bool {
		v := t.vms[vm]
		return v != nil && !v.replied
	})
}

// waitForCopy reports whether a planned change has to wait for a copy. If the old
// dispatcher is active and reachable, waitForCopy assigns copies to the wanted
// dispatcher and the first wanted copy, and allows copySyncTimeout to complete one.
func (t *termState) waitForCopy(now time.Duration, name string, g *groupState, want placement.DispatchPlacement, vms []placement.VM) bool {
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
	return now-g.waitingSince < copySyncTimeout
}

// activate marks the group's entry active, which lets its dispatcher send
// requests, once every earlier dispatcher has stopped sending and more than half
// of the members hold the map with the change, so that the next manager finds it.
func (t *termState) activate(now time.Duration, name string, g *groupState) {
	if g.entry.Active || g.entry.Dispatcher == "" || now < g.notBefore {
		return
	}
	g.previousDispatchers = slices.DeleteFunc(g.previousDispatchers, func(vm string) bool {
		return t.stoppedSending(now, vm, g.sequence, func(v *vmState) bool {
			return v.busyGroup(name) && now-g.changedAt < drainTimeout
		})
	})
	if len(g.previousDispatchers) > 0 || !t.majority(func(v *vmState) bool { return v.installed >= g.sequence }) {
		return
	}
	g.entry.Active = true
	g.recordDataEpoch(g.entry.Epoch)
	t.dirty = true
	t.m.events.Record(timeline.Event{Kind: "group.activated", Group: name, Term: t.term, Detail: g.entry.Dispatcher})
}

// publish builds the next map if something has changed; installAll sends it.
func (t *termState) publish(now time.Duration) {
	if !t.dirty || t.docVersion == 0 || !t.ready() || !t.canPublish(now) {
		return
	}
	t.dirty = false
	t.sequence++
	t.currentMap = t.newMap()
	t.m.metrics.maps.Inc(1)
}

// newMap builds a map from the current routes, groups and VMs.
func (t *termState) newMap() *shardmap.Map {
	m := &shardmap.Map{
		Term: t.term, Sequence: t.sequence, ConfigVersion: t.configVersion,
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

// canPublish reports whether a map may be published. The first map of the term
// waits until every shard has an owner and there are groups, or until
// firstMapDelay has passed. If no earlier map is known, it also waits until the
// log records that a map may be in use.
func (t *termState) canPublish(now time.Duration) bool {
	if t.sequence > 0 {
		return true
	}
	if t.baseMap == nil && !t.published() {
		return false
	}
	if now-t.started >= firstMapDelay {
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
