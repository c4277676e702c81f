package manager

import (
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	// A VM counts as unable to reach a target if the target's last answer to it is
	// answerGap older than the last one to another VM. When the target itself
	// crashes, the two differ by at most the dispatcher's query interval, 500 ms.
	answerGap = time.Second
	// exclusionTime is how long a VM that could not reach a target is not chosen as
	// its dispatcher. It limits how often the dispatcher of a target changes when
	// only the target's load endpoint fails.
	exclusionTime = 10 * time.Second
)

// lastAnswerFrom returns, on the manager's clock, when a target last answered a
// load query of the VM, or when the VM began to dispatch to it. ok is false if the
// VM does not report on the target.
func (v *vmState) lastAnswerFrom(target string) (at time.Duration, ok bool) {
	for _, h := range v.report.Heard {
		if h.Target == target {
			return v.repliedAt - h.Ago, true
		}
	}
	return 0, false
}

// isPartitioned reports whether the manager is partitioned from the servers:
// those that still answer their dispatchers but not the manager outnumber those
// that answer the manager. Such a manager lets every lease expire although
// another member could renew it, so it steps down.
func (t *termState) isPartitioned() bool {
	unreachable, answering := 0, 0
	for name, s := range t.servers {
		switch {
		case s.answered && !s.lost:
			answering++
		case s.lost && t.answersOthers(name, s.lastAnswerAt+answerGap):
			unreachable++
		}
	}
	return unreachable > answering
}

// answersOthers reports whether a target answered a VM other than the manager
// after a given time.
func (t *termState) answersOthers(target string, after time.Duration) bool {
	for name, v := range t.vms {
		if at, ok := v.lastAnswerFrom(target); ok && name != t.m.cfg.VM && at > after {
			return true
		}
	}
	return false
}

// excludeDisconnectedVM returns the VMs that may dispatch to a target. If the
// target stops answering the group's dispatcher while it still answers the
// manager, that VM is marked unavailable for exclusionTime and its name is
// returned as well. If no other VM is available, vms is returned unchanged.
func (t *termState) excludeDisconnectedVM(now time.Duration, target string, g *groupState, vms []placement.VM) (available []placement.VM, excluded string) {
	s := t.servers[target]
	if s == nil || !s.answered {
		return vms, ""
	}
	if v := t.vms[g.entry.Dispatcher]; v != nil && g.entry.Active && now >= g.excludedUntil {
		// Answers to the manager after the VM's last report do not count, because the
		// VM may have had answers since then too.
		if at, ok := v.lastAnswerFrom(target); ok && min(s.lastAnswerAt, v.repliedAt)-at >= answerGap {
			g.excludedVM, g.excludedUntil = v.name, now+exclusionTime
			t.m.events.Record(timeline.Event{Kind: "group.unreached", Target: target, Term: t.term, Detail: v.name})
		}
	}
	if now >= g.excludedUntil {
		return vms, ""
	}
	out := slices.Clone(vms)
	for i := range out {
		out[i].Available = out[i].Available && out[i].Name != g.excludedVM
	}
	if !slices.ContainsFunc(out, func(p placement.VM) bool { return p.Available }) {
		return vms, ""
	}
	return out, g.excludedVM
}
