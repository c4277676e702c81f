package view

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
)

// KnownTarget is a target with what follows from its data centre.
type KnownTarget struct {
	fleet.Target
	ColdUntil time.Duration // reading of the view's clock
	// Usable is false for targets that leave and those in a data centre that
	// is taken out of service.
	Usable bool
}

// TargetsOf returns the targets of a service, ordered by id.
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
		for _, e := range v.missing {
			add(e)
		}
	}
	slices.SortFunc(out, func(a, b KnownTarget) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (v *View) knownTarget(e *entry) KnownTarget {
	t := KnownTarget{Target: *e.Target, Usable: !e.Target.Leaving && !v.outOfService(e.Target.DataCentre)}
	if e.Target.ColdFor > 0 {
		t.ColdUntil = e.seenAt + e.Target.ColdFor
	}
	if back, ok := v.coldDC[e.Target.DataCentre]; ok {
		t.ColdUntil = max(t.ColdUntil, back+v.warmUp(e.Target.Service))
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

// Alive tells whether a life of a target may still run: it is not known to
// have been replaced by a later one.
func (v *View) Alive(target string, life int64) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[Targets][target]
	return e == nil || e.Target == nil || e.Target.Life <= life
}

// VMs returns the VMs that have registered, ordered by id.
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

// VM returns the record of a VM.
func (v *View) VM(id string) (fleet.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][VMKey(id)]
	if e == nil || e.VM == nil {
		return fleet.VM{}, false
	}
	return *e.VM, true
}

// Cell returns the record of a service's cell and the number of that record,
// counted from 1, or nil.
func (v *View) Cell(service string) (*fleet.Cell, int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.entries[System][CellKey(service)]
	if e == nil || e.Cell == nil {
		return nil, 0
	}
	return e.Cell, Number(e.Offset)
}

// Number returns the number of a record, which counts from 1. Keys that the
// record assigns have it as their fence.
func Number(offset int64) int64 { return offset + 1 }

// Offset returns the offset of the record with a number.
func Offset(number int64) int64 { return number - 1 }

// CellKey returns the key of a cell's record.
func CellKey(service string) string { return "cell/" + service }

// VMKey returns the key of a VM's record.
func VMKey(id string) string { return "vm/" + id }

// Address returns the address of a target that has an entry, or had one lately.
func (v *View) Address(target string) (string, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if e := v.entries[Targets][target]; e != nil && e.Target != nil {
		return e.Target.Address, true
	}
	if e := v.last[target]; e != nil {
		return e.Target.Address, true
	}
	return "", false
}
