package manager

import (
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	// silentFor is how much longer ago a target must have answered one VM than
	// another for the first to count as cut off from it. A target that crashes
	// leaves a difference of at most the dispatcher's query interval, 500 ms.
	silentFor = time.Second
	// avoidTime is how long a VM that was cut off from a target does not
	// dispatch to it. It bounds how often a target whose load endpoint fails
	// by itself makes its dispatcher change.
	avoidTime = 10 * time.Second
)

// heardTarget returns when a target last answered a VM, on this clock.
func (v *vmState) heardTarget(target string) (at time.Duration, ok bool) {
	for _, h := range v.report.Heard {
		if h.Target == target {
			return v.repliedAt - h.Ago, true
		}
	}
	return 0, false
}

// cutOff tells whether more servers still answer their dispatchers but not this
// VM than answer this VM. Such a manager lets every lease end although another
// member could renew them, so it steps down.
func (t *tenure) cutOff() bool {
	unheard, heard := 0, 0
	for name, s := range t.servers {
		switch {
		case s.answered && !s.lost:
			heard++
		case s.lost && t.answersOthers(name, s.heardAt+silentFor):
			unheard++
		}
	}
	return unheard > heard
}

// answersOthers tells whether a target answered another VM after an instant.
func (t *tenure) answersOthers(target string, after time.Duration) bool {
	for name, v := range t.vms {
		if at, ok := v.heardTarget(target); ok && name != t.m.cfg.VM && at > after {
			return true
		}
	}
	return false
}

// reaching returns the VMs that may dispatch to a target: without one that the
// target no longer answers while it answers this VM, which it names.
func (t *tenure) reaching(now time.Duration, target string, g *groupState, vms []placement.VM) (reach []placement.VM, avoided string) {
	s := t.servers[target]
	if s == nil || !s.answered {
		return vms, ""
	}
	if v := t.vms[g.entry.Dispatcher]; v != nil && g.entry.Active && now >= g.avoidUntil {
		// An answer that came after the VM's report says nothing about the VM.
		if at, ok := v.heardTarget(target); ok && min(s.heardAt, v.repliedAt)-at >= silentFor {
			g.avoid, g.avoidUntil = v.name, now+avoidTime
			t.m.events.Record(timeline.Event{Kind: "group.unreached", Target: target, Term: t.term, Detail: v.name})
		}
	}
	if now >= g.avoidUntil {
		return vms, ""
	}
	out := slices.Clone(vms)
	for i := range out {
		out[i].Available = out[i].Available && out[i].Name != g.avoid
	}
	if !slices.ContainsFunc(out, func(p placement.VM) bool { return p.Available }) {
		return vms, ""
	}
	return out, g.avoid
}
