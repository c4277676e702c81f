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
	// collectTime is how long a new manager waits for VMs beyond more than
	// half of the members before it takes the newest map that it was shown.
	collectTime  = 150 * time.Millisecond
	collectRetry = 50 * time.Millisecond
	// maxConfigLag is how long a VM may lack the configuration and still
	// dispatch or manage. It leaves time for the change of both within the 3 s
	// after which something taken out of service gets no new work.
	maxConfigLag = time.Second
)

// vmState is what the manager knows of a VM in this term.
type vmState struct {
	name       string
	dataCentre string
	address    string
	member     bool

	collected   bool // has shown its map of earlier terms
	collectedAt time.Duration
	collects    bool // is being asked

	replied   bool
	repliedAt time.Duration
	clock     time.Duration // its reading in the last reply
	bootID    string
	installed uint64 // sequence of the installed map of this term
	// behindSince is since when the VM lacks the configuration of this
	// manager, aheadSince since when it has a later one; 0 means neither.
	behindSince, aheadSince time.Duration
	report                  mapstore.Report

	sending bool
	sentAt  time.Duration
}

// lags tells whether the VM has lacked the configuration for too long to
// dispatch: it does not know what operators have taken out of service.
func (v *vmState) lags(now time.Duration) bool {
	return v.behindSince > 0 && now-v.behindSince >= maxConfigLag
}

// compareConfig notes how far the VM has replayed the configuration. A manager
// that cannot read what others have read gives its term up.
func (t *tenure) compareConfig(now time.Duration, v *vmState) {
	note := func(since *time.Duration, differs bool) {
		if !differs {
			*since = 0
		} else if *since == 0 {
			*since = now
		}
	}
	note(&v.behindSince, v.report.ConfigVersion < t.config)
	note(&v.aheadSince, v.report.ConfigVersion > t.config)
	t.m.replica.Expect(v.report.ConfigVersion)
	if v.aheadSince > 0 && now-v.aheadSince >= maxConfigLag {
		t.m.logger.Warn("giving the term up: the control log cannot be read here, but elsewhere", "vm", v.name)
		t.m.act(t.m.node.Step(now, authority.StepDown{Reason: "behind the control log"}))
	}
}

// heardAt returns when the clock reading that a lease can be counted from came in.
func (v *vmState) heardAt() time.Duration { return max(v.repliedAt, v.collectedAt) }

// reachable tells whether the VM may still hold a lease that this manager gave.
func (v *vmState) reachable(now time.Duration) bool {
	return (v.replied || v.collected) && now < v.heardAt()+mapLeaseBound
}

func (v *vmState) busyShard(key control.ShardKey) bool {
	return slices.Contains(v.report.BusyShards, mapstore.ShardReport{Service: key.Service, Shard: key.Shard})
}

func (v *vmState) group(name string) (mapstore.GroupReport, bool) {
	for _, g := range v.report.Groups {
		if g.Group == name && g.Epoch > 0 {
			return g, true
		}
	}
	return mapstore.GroupReport{}, false
}

func (v *vmState) busyGroup(name string) bool {
	for _, g := range v.report.Groups {
		if g.Group == name && g.Busy {
			return true
		}
	}
	return false
}

// followVMs takes over the members and the platform's list.
func (t *tenure) followVMs(now time.Duration) {
	var members []control.Member
	t.m.replica.View(func(st *control.State) { members, _ = st.Members() })
	for _, v := range t.vms {
		v.member = false
	}
	for _, m := range members {
		t.knowVM(m.VM, m.DataCentre, m.PeerAddress).member = true
	}
	for _, l := range t.m.vms {
		if l.State != vmGone {
			t.knowVM(l.ID, l.DataCentre, l.PeerAddress)
		}
	}
	for name, v := range t.vms {
		if !v.member && !v.reachable(now) && t.m.listedGone(name) {
			delete(t.vms, name)
		}
	}
	if t.base == nil {
		t.collect()
	}
}

func (t *tenure) knowVM(name, dataCentre, address string) *vmState {
	v := t.vms[name]
	if v == nil {
		v = &vmState{name: name}
		t.vms[name] = v
		t.dirty = true
	}
	v.dataCentre, v.address = dataCentre, address
	return v
}

// majority tells whether more than half of the members fulfil a condition.
func (t *tenure) majority(holds func(v *vmState) bool) bool {
	members, yes := 0, 0
	for _, v := range t.vms {
		if v.member {
			members++
			if holds(v) {
				yes++
			}
		}
	}
	return 2*yes > members
}

// BaseArgs asks a VM for the map that it holds.
type BaseArgs struct{ Term uint64 }

// BaseReply is the newest map that a VM holds. BootID and Clock let the first
// map of the term come with a lease.
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

// collect asks the VMs for the maps of earlier terms. A change of a dispatcher
// takes effect only after more than half of the members hold it, so the newest
// map of more than half shows every VM that may dispatch.
func (t *tenure) collect() {
	if t.ready() {
		return
	}
	for _, v := range t.vms {
		if v.collected || v.collects {
			continue
		}
		v.collects = true
		go t.ask(v.name, v.address)
	}
}

func (t *tenure) ask(name, address string) {
	reply, err := t.askBase(name, address)
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
		v.collects = false
		if err != nil || t.sequence > 0 {
			return
		}
		v.collected, v.collectedAt = true, t.m.clock.Now()
		v.clock, v.bootID = reply.Clock, reply.BootID
		if reply.Map != nil && reply.Map.Newer(t.base) {
			t.base = reply.Map
		}
	})
}

func (t *tenure) askBase(name, address string) (*BaseReply, error) {
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

// ready tells whether enough VMs have shown their maps.
func (t *tenure) ready() bool {
	if t.sequence > 0 {
		return true
	}
	if !t.majority(func(v *vmState) bool { return v.collected }) {
		return false
	}
	for _, v := range t.vms {
		if !v.collected {
			return t.m.clock.Now()-t.started >= collectTime
		}
	}
	return true
}

// released tells whether a VM can certainly not send any more under a map
// before the given sequence.
func (t *tenure) released(now time.Duration, vm string, sequence uint64, busy func(v *vmState) bool) bool {
	v := t.vms[vm]
	if v == nil {
		return now >= t.started+mapLeaseBound
	}
	if v.installed >= sequence && !busy(v) {
		return true
	}
	return now >= max(v.heardAt(), t.started)+mapLeaseBound
}

// vmList returns the VMs for the placement of dispatchers.
func (t *tenure) vmList(now time.Duration) []placement.VM {
	var out []placement.VM
	t.m.replica.View(func(st *control.State) {
		for _, v := range t.vms {
			out = append(out, placement.VM{
				Name: v.name, DataCentre: v.dataCentre,
				Available: v.reachable(now) && !v.lags(now) && !v.report.Leaving && !st.VMOut(v.name, v.dataCentre),
			})
		}
	})
	slices.SortFunc(out, func(a, b placement.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// installAll sends the map in force to each VM, or renews its lease.
func (t *tenure) installAll(now time.Duration) {
	if t.current == nil {
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

func (t *tenure) installArgs(v *vmState) *mapstore.InstallArgs {
	args := &mapstore.InstallArgs{
		Stamp: t.m.events.Now(), Term: t.term, Manager: t.m.cfg.VM, Echo: v.clock, BootID: v.bootID, Lease: mapLease,
		Sequence: t.sequence, Refusals: t.refusals(),
	}
	if v.installed < t.sequence {
		args.Map = t.current
	}
	return args
}

func (t *tenure) refusals() []mapstore.Refusal {
	longest := map[mapstore.Refusal]bool{}
	var out []mapstore.Refusal
	for _, v := range t.vms {
		for _, r := range v.report.Refusals {
			if !longest[r] {
				longest[r] = true
				out = append(out, r)
			}
		}
	}
	return out
}

func (t *tenure) install(vm, address string, args *mapstore.InstallArgs) {
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
	t.m.post(func() { t.installed(vm, &reply, err) })
}

func (t *tenure) installed(vm string, reply *mapstore.InstallReply, err error) {
	v := t.vms[vm]
	if v == nil || t.m.tenure != t {
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
	v.installed = reply.Sequence // 0 for a process that was started since
	v.report = reply.Report
	t.noteLoads(now, vm, reply.Report.Loads)
	t.compareConfig(now, v)
}
