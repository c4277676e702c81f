package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a target that stays in use for good: a VM that has just read the newest
// values, in which removals do not appear, passes on that it knows the log to its end, and
// the other VMs never read the removal.
func TestRemovalIsNotSkippedByWhatAFreshVMPassesOn(t *testing.T) {
	now := time.Duration(0)
	running, fresh := newTestView(&now), newTestView(&now)
	running.Apply(Targets, []Change{target(0, "a", false), target(1, "b", false)}, 2, now)
	fresh.Replace(Targets, []Change{target(0, "a", false)}, 3, now) // b was removed at 2
	known := running.Known()
	running.Merge(fresh.Since(known), known, 0)
	if running.End(Targets) <= 2 {
		running.Apply(Targets, []Change{{Log: Targets, Key: "b", Offset: 2}}, 3, now)
	}
	assert.Equal(t, []string{"a"}, usable(running))
}

// Guards against a target that returns after its removal: a VM that starts reads the newest
// values and then merges an answer of a VM that has not read the removal yet.
func TestRemovedTargetDoesNotReturnFromVMThatIsBehind(t *testing.T) {
	now := time.Duration(0)
	behind, fresh := newTestView(&now), newTestView(&now)
	behind.Apply(Targets, []Change{target(0, "a", false), target(1, "b", false)}, 2, now)
	known := fresh.Known()
	answer := behind.Since(known)
	fresh.Replace(Targets, []Change{target(0, "a", false)}, 3, now) // b was removed at 2
	fresh.Merge(answer, known, 0)
	assert.Equal(t, []string{"a"}, usable(fresh))
}
