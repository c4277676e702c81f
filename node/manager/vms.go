package manager

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/authority"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	installInterval = 200 * time.Millisecond
	installTimeout  = 400 * time.Millisecond
	// collectTimeout is how long after the start of its term a manager waits for
	// the maps of all VMs. Then those of more than half of the members suffice.
	collectTimeout = 150 * time.Millisecond
	collectRetry   = 50 * time.Millisecond
	// maxConfigLag is how long a VM whose configuration is behind may still
	// dispatch or be the manager. Something that is taken out of service must get
	// no new work after 3 s; this limit leaves time within the 3 s to replace both
	// the dispatcher and the manager.
	maxConfigLag = time.Second
)

// vmState is what the manager knows about a VM in this term.
type vmState struct {
	name       string
	dataCentre string
	address    string
	member     bool

	collected   bool // has sent its map of earlier terms
	collectedAt time.Duration
	collecting  bool // a request for the map of earlier terms is in flight

	replied   bool
	repliedAt time.Duration
	clock     time.Duration // the VM's clock reading in the last reply
	bootID    string
	installed uint64 // sequence of the installed map of this term
	// behindSince and aheadSince say since when the VM's configuration version has
	// been below or above the manager's; 0 if it is not.
	behindSince, aheadSince time.Duration
	report                  mapstore.Report

	sending bool // an install message is in flight
	sentAt  time.Duration
}

// lags reports whether the VM's configuration has been behind for maxConfigLag.
// Such a VM must not dispatch, because it may not know what operators have
// taken out of service.
func (v *vmState) lags(now time.Duration) bool {
	return v.behindSince > 0 && now-v.behindSince >= maxConfigLag
}

// compareConfig compares the configuration version of the VM with the
// manager's. A manager whose own version stays behind for maxConfigLag cannot
// read the control log and gives up its term.
func (t *termState) compareConfig(now time.Duration, v *vmState) {
	track := func(since *time.Duration, differs bool) {
		if !differs {
			*since = 0
		} else if *since == 0 {
			*since = now
		}
	}
	track(&v.behindSince, v.report.ConfigVersion < t.configVersion)
	track(&v.aheadSince, v.report.ConfigVersion > t.configVersion)
	t.m.replica.ExpectConfigVersion(v.report.ConfigVersion)
	if v.aheadSince > 0 && now-v.aheadSince >= maxConfigLag {
		t.m.logger.Warn("giving up the term: another VM has read a newer configuration that this VM cannot read from the control log", "vm", v.name)
		t.m.applyActions(t.m.node.Step(now, authority.StepDown{Reason: "replay of the control log is behind other VMs"}))
	}
}

// clockReceivedAt returns when the VM's last clock reading was received. Leases
// are counted from that reading.
func (v *vmState) clockReceivedAt() time.Duration { return max(v.repliedAt, v.collectedAt) }

// reachable reports whether the VM has answered within mapLeaseBound, so that it
// may hold a map lease from this manager.
func (v *vmState) reachable(now time.Duration) bool {
	return (v.replied || v.collected) && now < v.clockReceivedAt()+mapLeaseBound
}

// busyShard reports whether the VM has requests in flight that it sent under an
// earlier route of the shard.
func (v *vmState) busyShard(key control.ShardKey) bool {
	return slices.Contains(v.report.BusyShards, mapstore.ShardReport{Service: key.Service, Shard: key.Shard})
}

// copyReport returns the VM's report on its copy of a group's write intents, if
// it holds one.
func (v *vmState) copyReport(name string) (mapstore.GroupReport, bool) {
	for _, g := range v.report.Groups {
		if g.Group == name && g.Epoch > 0 {
			return g, true
		}
	}
	return mapstore.GroupReport{}, false
}

// busyGroup reports whether the VM has requests of a group in flight.
func (v *vmState) busyGroup(name string) bool {
	for _, g := range v.report.Groups {
		if g.Group == name && g.Busy {
			return true
		}
	}
	return false
}

// syncVMs updates the known VMs from the members record and the platform's
// list. It forgets a VM that is gone only once its map lease has ended.
func (t *termState) syncVMs(now time.Duration) {
	var members []control.Member
	t.m.replica.View(func(st *control.State) { members, _ = st.Members() })
	for _, v := range t.vms {
		v.member = false
	}
	for _, m := range members {
		t.addVM(m.VM, m.DataCentre, m.PeerAddress).member = true
	}
	for _, l := range t.m.vms {
		if l.State != vmGone {
			t.addVM(l.ID, l.DataCentre, l.PeerAddress)
		}
	}
	for name, v := range t.vms {
		if !v.member && !v.reachable(now) && t.m.listedGone(name) {
			delete(t.vms, name)
		}
	}
	if t.baseMap == nil {
		t.collect()
	}
}

// addVM adds a VM if it is new, sets its data centre and address, and returns its
// state.
func (t *termState) addVM(name, dataCentre, address string) *vmState {
	v := t.vms[name]
	if v == nil {
		v = &vmState{name: name}
		t.vms[name] = v
		t.dirty = true
	}
	v.dataCentre, v.address = dataCentre, address
	return v
}

// majority reports whether more than half of the members fulfil a condition.
func (t *termState) majority(holds func(v *vmState) bool) bool {
	members, matching := 0, 0
	for _, v := range t.vms {
		if v.member {
			members++
			if holds(v) {
				matching++
			}
		}
	}
	return 2*matching > members
}

// BaseArgs asks a VM for its dispatch map. Term is that of the asking manager.
type BaseArgs struct{ Term uint64 }

// BaseReply carries the newest map that a VM holds; Map is nil if it has none.
// BootID and Clock let the manager send a lease with the first map of the term.
type BaseReply struct {
	Map    *shardmap.Map
	BootID string
	Clock  time.Duration
}

// Base returns the map that this VM holds.
func (r *receiver) Base(_ *BaseArgs, reply *BaseReply) error {
	*reply = r.m.ownBase()
	return nil
}

func (m *Manager) ownBase() BaseReply {
	return BaseReply{Clock: m.maps.Clock(), BootID: m.maps.BootID(), Map: m.maps.Current()}
}

// collect asks the VMs for their maps of earlier terms. A change of dispatcher
// takes effect only after more than half of the members have installed the map
// with it, so the newest map of any majority of the members shows the change.
func (t *termState) collect() {
	if t.ready() {
		return
	}
	for _, v := range t.vms {
		if v.collected || v.collecting {
			continue
		}
		v.collecting = true
		go t.collectFrom(v.name, v.address)
	}
}

// collectFrom fetches the map of one VM and keeps it if it is the newest so
// far.
func (t *termState) collectFrom(name, address string) {
	reply, err := t.fetchBase(name, address)
	if err != nil {
		select {
		case <-time.After(collectRetry):
		case <-t.ctx.Done():
			return
		}
	}
	t.m.post(func() {
		v := t.vms[name]
		if v == nil {
			return
		}
		v.collecting = false
		if err != nil || t.sequence > 0 {
			return
		}
		v.collected, v.collectedAt = true, t.m.clock.Now()
		v.clock, v.bootID = reply.Clock, reply.BootID
		if reply.Map != nil && reply.Map.Newer(t.baseMap) {
			t.baseMap = reply.Map
		}
	})
}

// fetchBase returns the map of a VM, by RPC unless it is this VM.
func (t *termState) fetchBase(name, address string) (*BaseReply, error) {
	if name == t.m.cfg.VM {
		own := t.m.ownBase()
		return &own, nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, installTimeout)
	defer cancel()
	var reply BaseReply
	err := t.m.peers.Call(ctx, address, "Authority.Base", &BaseArgs{Term: t.term}, &reply)
	return &reply, err
}

// ready reports whether enough VMs have sent their maps of earlier terms: more
// than half of the members and, until collectTimeout has passed, all other VMs.
func (t *termState) ready() bool {
	if t.sequence > 0 {
		return true
	}
	if !t.majority(func(v *vmState) bool { return v.collected }) {
		return false
	}
	for _, v := range t.vms {
		if !v.collected {
			return t.m.clock.Now()-t.started >= collectTimeout
		}
	}
	return true
}

// stoppedSending reports whether a VM can no longer send requests under a map
// with a lower sequence than the given one: it has installed a map with at least
// that sequence and busy returns false, or its map lease has certainly ended.
func (t *termState) stoppedSending(now time.Duration, vm string, sequence uint64, busy func(v *vmState) bool) bool {
	v := t.vms[vm]
	if v == nil {
		return now >= t.started+mapLeaseBound
	}
	if v.installed >= sequence && !busy(v) {
		return true
	}
	return now >= max(v.clockReceivedAt(), t.started)+mapLeaseBound
}

// vmList returns the VMs for the placement of dispatchers, in order of name.
func (t *termState) vmList(now time.Duration) []placement.VM {
	var out []placement.VM
	t.m.replica.View(func(st *control.State) {
		for _, v := range t.vms {
			out = append(out, placement.VM{
				Name: v.name, DataCentre: v.dataCentre,
				Available: v.reachable(now) && !v.lags(now) && !v.report.Leaving && !st.VMOutOfService(v.name, v.dataCentre),
			})
		}
	})
	slices.SortFunc(out, func(a, b placement.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// installAll renews the map lease of each VM and sends the current map to those
// that have not installed it.
func (t *termState) installAll(now time.Duration) {
	if t.currentMap == nil {
		return
	}
	for _, v := range t.vms {
		due := now-v.sentAt >= installInterval || (v.replied && v.installed < t.sequence)
		if v.sending || !due {
			continue
		}
		v.sending, v.sentAt = true, now
		go t.install(v.name, v.address, t.installArgs(v))
	}
}

// installArgs returns the message that renews a VM's lease; it includes the map
// only if the VM has not installed it.
func (t *termState) installArgs(v *vmState) *mapstore.InstallArgs {
	args := &mapstore.InstallArgs{
		Stamp: t.m.events.Now(), Term: t.term, Manager: t.m.cfg.VM, Echo: v.clock, BootID: v.bootID, Lease: mapLease,
		Sequence: t.sequence, Refusals: t.refusals(),
	}
	if v.installed < t.sequence {
		args.Map = t.currentMap
	}
	return args
}

// refusals returns the refusals that VMs have reported, without duplicates.
func (t *termState) refusals() []mapstore.Refusal {
	seen := map[mapstore.Refusal]bool{}
	var out []mapstore.Refusal
	for _, v := range t.vms {
		for _, r := range v.report.Refusals {
			if !seen[r] {
				seen[r] = true
				out = append(out, r)
			}
		}
	}
	return out
}

// install sends args to a VM and passes the reply to the event loop.
func (t *termState) install(vm, address string, args *mapstore.InstallArgs) {
	t.m.metrics.installs.Inc(1)
	var reply mapstore.InstallReply
	var err error
	if vm == t.m.cfg.VM {
		err = t.m.maps.Install(args, &reply)
	} else {
		ctx, cancel := context.WithTimeout(t.ctx, installTimeout)
		err = t.m.peers.Call(ctx, address, "Map.Install", args, &reply)
		cancel()
	}
	t.m.post(func() { t.handleInstallReply(vm, &reply, err) })
}

// handleInstallReply stores what a VM reports, unless it has seen a higher term.
func (t *termState) handleInstallReply(vm string, reply *mapstore.InstallReply, err error) {
	v := t.vms[vm]
	if v == nil || t.m.termState != t {
		return
	}
	v.sending = false
	if err != nil || reply.Term > t.term {
		return
	}
	t.m.events.Observe(reply.Stamp)
	now := t.m.clock.Now()
	if !v.reachable(now) {
		t.m.events.Record(timeline.Event{Kind: "vm.answers", Detail: vm, Term: t.term})
	}
	v.replied, v.repliedAt, v.clock, v.bootID = true, now, reply.Clock, reply.BootID
	v.installed = reply.Sequence // 0 if the VM has restarted and holds no map of this term
	v.report = reply.Report
	t.recordLoads(now, vm, reply.Report.Loads)
	t.compareConfig(now, v)
}
