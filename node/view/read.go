package view

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
)

// KnownTarget is a target with the state that the view derives for it.
type KnownTarget struct {
	fleet.Target
	// ColdUntil is the reading of the view's clock up to which the target counts as
	// cold, after its own start or the return of its data centre to service.
	ColdUntil time.Duration
	// Usable is false for targets that are registered as leaving and for targets in a data
	// centre that is out of service.
	Usable bool
	// Announced is set if the target has announced to a VM that it leaves, at AnnouncedAt on
	// the view's clock. The store may not say so, or not be reachable.
	Announced   bool
	AnnouncedAt time.Duration
}

// TargetsOf returns the targets of a service, ordered by id. In the grace period after
// an outage of the store it includes targets whose entries were removed in that period.
func (v *View) TargetsOf(service string) []KnownTarget {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []KnownTarget
	add := func(e *entry) {
		if e.Target != nil && e.Target.Service == service {
			out = append(out, v.knownTarget(e))
		}
	}
	for _, e := range v.entries[Targets] {
		add(e)
	}
	if v.now() < v.graceUntil {
		for _, e := range v.graceTargets {
			add(e)
		}
	}
	slices.SortFunc(out, func(a, b KnownTarget) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (v *View) knownTarget(e *entry) KnownTarget {
	t := KnownTarget{Target: *e.Target, Usable: !e.Target.Leaving && !v.outOfService(e.Target.DataCentre)}
	if l, ok := v.leaveOf(e.Target.ID, e.Target.Life); ok {
		t.Usable = t.Usable && !l.registered
		t.Announced, t.AnnouncedAt = true, l.at
	}
	if e.Target.ColdFor > 0 {
		t.ColdUntil = e.seenAt + e.Target.ColdFor
	}
	if returnedAt, ok := v.dcReturnedAt[e.Target.DataCentre]; ok {
		t.ColdUntil = max(t.ColdUntil, returnedAt+v.warmUp(e.Target.Service))
	}
	return t
}

func (v *View) warmUp(service string) time.Duration {
	if v.config == nil {
		return 0
	}
	s, _ := v.config.Service(service)
	return s.WarmUp
}

func (v *View) outOfService(dataCentre string) bool {
	for _, e := range v.entries[Operators] {
		if e.OutOf == dataCentre {
			return true
		}
	}
	return false
}

// Alive reports whether a target's process, identified by its life, may still run. It
// is false only if the target is registered with a later life.
func (v *View) Alive(target string, life int64) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[Targets][target]
	return e == nil || e.Target == nil || e.Target.Life <= life
}

// VMs returns all registered VMs, ordered by id.
func (v *View) VMs() []fleet.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []fleet.VM
	for _, e := range v.entries[System] {
		if e.VM != nil {
			out = append(out, *e.VM)
		}
	}
	slices.SortFunc(out, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// VM returns the registration of a VM.
func (v *View) VM(id string) (fleet.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][VMKey(id)]
	if e == nil || e.VM == nil {
		return fleet.VM{}, false
	}
	return *e.VM, true
}

// Cell returns the newest known record of a service's cell and its number, which counts
// from 1, or nil and 0 if none is known.
func (v *View) Cell(service string) (*fleet.Cell, int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][CellKey(service)]
	if e == nil || e.Cell == nil {
		return nil, 0
	}
	return e.Cell, Number(e.Offset)
}

// Number returns the number of the record at an offset, counted from 1. It is the
// fencing token of the keys that the record assigns.
func Number(offset int64) int64 { return offset + 1 }

// Offset returns the offset of the record with the given number.
func Offset(number int64) int64 { return number - 1 }

// CellKey returns the key of a cell's record.
func CellKey(service string) string { return "cell/" + service }

// VMKey returns the key of a VM's record.
func VMKey(id string) string { return "vm/" + id }

// Address returns the address and the life of a target that is registered, or was so
// until at most about tombstoneTTL ago.
func (v *View) Address(target string) (address string, life int64, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if e := v.entries[Targets][target]; e != nil && e.Target != nil {
		return e.Target.Address, e.Target.Life, true
	}
	if e := v.goneTargets[target]; e != nil {
		return e.Target.Address, e.Target.Life, true
	}
	return "", 0, false
}
