package view

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
)

// Guards against the registration of an earlier process of a VM that the store carries out
// late: the running process, which may lead, was taken to have ended. That process has to
// register again, which counts everywhere.
func TestLateRegistrationDoesNotReplaceALaterOne(t *testing.T) {
	now := time.Second
	registration := func(offset int64, boot string, number int64) Change {
		return Change{Log: System, Key: VMKey("a"), Offset: offset, VM: &fleet.VM{ID: "a", Boot: boot, Registration: number}}
	}
	boot := func(v *View) string {
		vm, _ := v.VM("a")
		return vm.Boot
	}
	for _, late := range []int64{1, 2} {
		v := newTestView(&now)
		v.Apply(System, []Change{registration(0, "first", 1), registration(1, "running", 2)}, 2, 0)
		assert.True(t, v.IsRegistered(fleet.VM{ID: "a", Boot: "running"}))
		v.Apply(System, []Change{registration(2, "late", late)}, 3, 0)
		assert.Equal(t, "running", boot(v), "number %d", late)
		assert.False(t, v.IsRegistered(fleet.VM{ID: "a", Boot: "running"}), "others read only the late one")
		v.Apply(System, []Change{registration(3, "running", 3)}, 4, 0)
		assert.True(t, v.IsRegistered(fleet.VM{ID: "a", Boot: "running"}))

		other := newTestView(&now) // knows only the late one
		other.Apply(System, []Change{registration(2, "late", late)}, 3, 0)
		other.Apply(System, []Change{registration(3, "running", 3)}, 4, 0)
		assert.Equal(t, "running", boot(other))
		other.Apply(System, []Change{registration(4, "next", 4)}, 5, 0)
		assert.Equal(t, "next", boot(other))
	}
	v := newTestView(&now)
	v.Apply(System, []Change{registration(0, "first", 7), registration(1, "earlier version", 0), registration(2, "next", 1)}, 3, 0)
	assert.Equal(t, "next", boot(v), "registrations without a number go by position")
}
