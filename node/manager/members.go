package manager

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/node/timeline"
)

// States of a VM in the platform's list of VMs.
const (
	vmLive = "live"
	vmGone = "gone"
)

const (
	// noManagerTimeout is how long a VM that is not the manager waits after a
	// manager was last known before it proposes members.
	noManagerTimeout = 3 * time.Second
	// proposeStagger is the extra wait of a VM for each live VM before it in the
	// order of names, so that one VM proposes before the next one does.
	proposeStagger  = 500 * time.Millisecond
	proposeInterval = time.Second
)

// pollVMs reads the platform's list of VMs: every second while needsVMs is set,
// every 10 s otherwise. A list of 760 VMs takes 63 KB, and the control traffic
// of a VM is limited to 27 KB/s.
func (m *Manager) pollVMs() {
	defer m.wg.Done()
	skipped := 0
	for {
		if !m.needsVMs.Load() && skipped < vmListIdleSkips {
			skipped++
			if !m.sleep(vmListInterval) {
				return
			}
			continue
		}
		skipped = 0
		began := m.clock.Now()
		ctx, cancel := context.WithTimeout(m.ctx, 2*vmListInterval)
		vms, err := m.log.VMs(ctx)
		cancel()
		if err == nil {
			m.post(func() { m.vms, m.vmsSeen, m.vmsAt = vms, true, began })
		}
		if !m.sleep(vmListInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if the module is stopped first.
func (m *Manager) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-m.ctx.Done():
		return false
	}
}

// listedGone reports whether the platform lists a VM as gone.
func (m *Manager) listedGone(vm string) bool {
	return slices.ContainsFunc(m.vms, func(l logclient.VM) bool { return l.ID == vm && l.State == vmGone })
}

// proposeMembersIfDue proposes a change of the members when one is needed. The
// manager does so at once, any other VM only after noManagerTimeout without a
// manager. The first members of a deployment are proposed without that wait.
func (m *Manager) proposeMembersIfDue(now time.Duration) {
	acting := m.termState != nil && m.termState.acting()
	managerKnown := m.managerKnown(now)
	if managerKnown {
		m.managerSeenAt = now
	}
	m.setVMsNeeded(now, acting || !managerKnown || !m.vmsSeen)
	if m.proposing || !m.vmsSeen || m.vmsAt < m.vmsNeededSince || now-m.lastPropose < proposeInterval || !m.replica.Ready() {
		return
	}
	var current []control.Member
	var version uint64
	m.replica.View(func(st *control.State) { current, version = st.Members() })
	noManager := now-m.managerSeenAt >= noManagerTimeout+m.rank()*proposeStagger
	if version == 0 {
		noManager = now-m.managerSeenAt >= m.rank()*proposeStagger
	}
	if !acting && !noManager {
		return
	}
	next, changed := nextMembers(current, m.vms, m.cfg.Members, acting)
	if !changed {
		return
	}
	m.propose(version, next, now)
}

// setVMsNeeded makes pollVMs read the list of VMs every second while it is
// needed. Members are proposed only from a list that was requested after the
// need arose, because an older one may be 10 s old.
func (m *Manager) setVMsNeeded(now time.Duration, needed bool) {
	if needed && !m.needsVMs.Load() {
		m.vmsNeededSince = now
	}
	m.needsVMs.Store(needed)
}

// managerKnown reports whether there is evidence of a live manager: this VM is
// the manager, supports one, or holds a valid map lease.
func (m *Manager) managerKnown(now time.Duration) bool {
	_, supported := m.node.SupportedMember(now)
	return supported || (m.termState != nil && m.termState.acting()) || m.maps.LeaseValid()
}

// rank returns the position of this VM among the live VMs in order of name,
// from 0.
func (m *Manager) rank() time.Duration {
	rank := 0
	for _, l := range m.vms {
		if l.State == vmLive && l.ID < m.cfg.VM {
			rank++
		}
	}
	return time.Duration(rank)
}

// propose appends a members record to the control log; version is that of the
// members which the record replaces.
func (m *Manager) propose(version uint64, members []control.Member, now time.Duration) {
	m.proposing, m.lastPropose = true, now
	rec := control.Record{Members: &control.MembersChange{Base: version, Members: members}}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		ctx, cancel := context.WithTimeout(m.ctx, appendTimeout)
		defer cancel()
		verdict, err := m.replica.Append(ctx, rec)
		m.post(func() {
			m.proposing = false
			if err == nil && verdict.Accepted {
				names := make([]string, len(members))
				for i, member := range members {
					names[i] = member.VM
				}
				m.events.Record(timeline.Event{Kind: "members.changed", Detail: strings.Join(names, " ")})
				m.logger.Info("members record appended to the control log", "members", names)
			}
		})
	}()
}

// nextMembers returns the members that should replace the current ones, and
// whether they differ. The first members are set once there are want live VMs.
// While a manager acts, only one slot changes at a time, so that any majority of
// the old members shares a VM with any majority of the new ones. Without a
// manager, all members that are listed as gone are replaced, or dropped unless
// none would be left; this is safe because such a VM cannot return. A list
// shorter than want gets one more VM.
func nextMembers(current []control.Member, vms []logclient.VM, want int, acting bool) ([]control.Member, bool) {
	spare, gone := sparesAndGone(current, vms)
	if len(current) == 0 {
		if len(spare) < want {
			return nil, false
		}
		return renumber(spare[:want]), true
	}
	next := slices.Clone(current)
	changed := false
	for i := range next {
		if !gone[next[i].VM] || len(spare) == 0 {
			continue
		}
		next[i], spare, changed = spare[0], spare[1:], true
		if acting {
			return renumber(next), true
		}
	}
	if !acting {
		kept := slices.DeleteFunc(slices.Clone(next), func(m control.Member) bool { return gone[m.VM] })
		if len(kept) > 0 && len(kept) < len(next) {
			next, changed = kept, true
		}
	}
	if len(next) < want && len(spare) > 0 {
		next, changed = append(next, spare[0]), true
	}
	return renumber(next), changed
}

// sparesAndGone returns the live VMs that are not members, in order of name,
// and the VMs that the platform lists as gone.
func sparesAndGone(current []control.Member, vms []logclient.VM) (spare []control.Member, gone map[string]bool) {
	gone = map[string]bool{}
	for _, l := range vms {
		member := slices.ContainsFunc(current, func(m control.Member) bool { return m.VM == l.ID })
		switch {
		case l.State == vmGone:
			gone[l.ID] = true
		case l.State == vmLive && !member:
			spare = append(spare, control.Member{VM: l.ID, DataCentre: l.DataCentre, PeerAddress: l.PeerAddress})
		}
	}
	slices.SortFunc(spare, func(a, b control.Member) int { return strings.Compare(a.VM, b.VM) })
	return spare, gone
}

// renumber returns a copy of members with Slot set to the index.
func renumber(members []control.Member) []control.Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Slot = i
	}
	return out
}
