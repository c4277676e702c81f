package view

import (
	"slices"
	"time"
)

// Announcement tells that a target's process leaves, as it has said of itself.
type Announcement struct {
	Target string
	Life   int64         // identifies the process; see fleet.Target
	Age    time.Duration // time since a VM first knew of it
}

// leave is what is known of the latest process of a target that is known to leave. A process
// never takes back that it leaves, so neither does a later record of the store or another VM.
type leave struct {
	life int64
	at   time.Duration // when a VM first knew of it
	// registered is set once the store has said so too.
	registered bool
}

// NoteLeaving records that a target's process has announced in its answers that it leaves. It
// reports whether this was not known before.
func (v *View) NoteLeaving(a Announcement) (isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.noteLeave(a.Target, leave{life: a.Life, at: v.now() - max(0, a.Age)})
}

// noteLeave is NoteLeaving with mu held.
func (v *View) noteLeave(target string, l leave) (isNew bool) {
	known, ok := v.leaves[target]
	switch {
	case ok && known.life > l.life:
		return false
	case ok && known.life == l.life:
		l.at, l.registered = min(known.at, l.at), known.registered || l.registered
		if l == known {
			return false
		}
	default:
		isNew = true
	}
	v.leaves[target] = l
	v.noteChange()
	return isNew
}

// leaveOf returns what is known of the leave of a target's process. An earlier process than
// the one that leaves has ended, whatever a late record says.
func (v *View) leaveOf(target string, life int64) (leave, bool) {
	l, ok := v.leaves[target]
	return l, ok && l.life >= life
}

// LeavingSince returns since when a target's process is known to leave.
func (v *View) LeavingSince(target string, life int64) (since time.Duration, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l, ok := v.leaveOf(target, life)
	return l.at, ok
}

// Announcements returns the registered targets of a service that are known to leave, ordered
// by id.
func (v *View) Announcements(service string) []Announcement {
	v.mu.RLock()
	defer v.mu.RUnlock()
	known := v.leaving[service]
	if len(known) == 0 {
		return nil
	}
	out, now := make([]Announcement, 0, len(known)), v.now()
	for _, id := range known {
		l := v.leaves[id]
		out = append(out, Announcement{Target: id, Life: l.life, Age: now - l.at})
	}
	return out
}

// listLeaving returns the ids of the registered targets that are known to leave, by service
// and ordered. Announcements is called for each request that asks a leader for a slot.
func (v *View) listLeaving() map[string][]string {
	out := map[string][]string{}
	for id, l := range v.leaves {
		if e := v.entries[Targets][id]; e != nil && e.Target != nil && e.Target.Life <= l.life {
			out[e.Target.Service] = append(out[e.Target.Service], id)
		}
	}
	for _, ids := range out {
		slices.Sort(ids)
	}
	return out
}

// pruneLeaves forgets the processes that a later one has replaced, and those that have not
// been registered for tombstoneTTL.
func (v *View) pruneLeaves(now time.Duration) {
	for id, l := range v.leaves {
		e := v.entries[Targets][id]
		if e != nil && e.Target != nil {
			if e.Target.Life > l.life {
				delete(v.leaves, id)
			}
			continue
		}
		if now > l.at+tombstoneTTL && (e == nil || now > e.seenAt+tombstoneTTL) {
			delete(v.leaves, id)
		}
	}
}
