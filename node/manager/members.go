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

// States of a VM in the platform's list.
const (
	vmLive = "live"
	vmGone = "gone"
)

const (
	// orphanedAfter is how long no manager must have acted before a VM
	// proposes members itself.
	orphanedAfter = 3 * time.Second
	// proposeStagger lets the first VM in order propose before the next.
	proposeStagger  = 500 * time.Millisecond
	proposeInterval = time.Second
)

// pollVMs reads the platform's list: each second while this VM may act on it,
// every 10 s otherwise. The list of 760 VMs takes 63 KB, and the control of a VM
// may use 27 KB/s.
func (m *Manager) pollVMs() {
	defer m.wg.Done()
	skipped := 0
	for {
		if !m.needsVMs.Load() && skipped < vmListSkips {
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

// sleep returns false when the module stops.
func (m *Manager) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-m.ctx.Done():
		return false
	}
}

func (m *Manager) listedGone(vm string) bool {
	return slices.ContainsFunc(m.vms, func(l logclient.VM) bool { return l.ID == vm && l.State == vmGone })
}

// considerMembers proposes a change of the members when one is due: by the
// manager, or by any VM when no manager can act.
func (m *Manager) considerMembers(now time.Duration) {
	acting := m.tenure != nil && m.tenure.acting()
	managed := m.managed(now)
	if managed {
		m.idleSince = now
	}
	m.noteNeed(now, acting || !managed || !m.vmsSeen)
	if m.proposing || !m.vmsSeen || m.vmsAt < m.vmsNeeded || now-m.lastPropose < proposeInterval || !m.replica.Ready() {
		return
	}
	var current []control.Member
	var version uint64
	m.replica.View(func(st *control.State) { current, version = st.Members() })
	orphaned := now-m.idleSince >= orphanedAfter+m.rank()*proposeStagger
	if version == 0 {
		orphaned = now-m.idleSince >= m.rank()*proposeStagger
	}
	if !acting && !orphaned {
		return
	}
	next, changed := nextMembers(current, m.vms, m.cfg.Members, acting)
	if !changed {
		return
	}
	m.propose(version, next, now)
}

// noteNeed asks for the list each second while it is needed. Members are
// proposed only from a list that was read since then.
func (m *Manager) noteNeed(now time.Duration, needed bool) {
	if needed && !m.needsVMs.Load() {
		m.vmsNeeded = now
	}
	m.needsVMs.Store(needed)
}

// managed tells whether a manager has been heard of lately: this VM supports
// one, or holds a map lease.
func (m *Manager) managed(now time.Duration) bool {
	_, supported := m.node.Manager(now)
	return supported || (m.tenure != nil && m.tenure.acting()) || m.maps.Permitted()
}

// rank is this VM's place among the live VMs, in order of name.
func (m *Manager) rank() time.Duration {
	rank := 0
	for _, l := range m.vms {
		if l.State == vmLive && l.ID < m.cfg.VM {
			rank++
		}
	}
	return time.Duration(rank)
}

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
				m.logger.Info("members changed", "members", names)
			}
		})
	}()
}

// nextMembers returns the members that should follow the present ones. While a
// manager acts, one slot changes at a time, so that any two majorities share a
// VM. Without a manager every VM that the platform lists as gone is replaced;
// slots without a replacement are dropped, because the platform's word that
// these VMs are gone is final.
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

func renumber(members []control.Member) []control.Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Slot = i
	}
	return out
}
