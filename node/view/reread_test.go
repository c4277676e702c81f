package view

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
)

// Guards against a restored store that sets the view back when it is read a second time,
// as two readers of a VM do at once: a cell that the copy lacks counts as one that never
// had a leader, whose keys are granted while others hold them, and targets that have left
// are used again.
func TestSecondReadOfRestoredStoreChangesNothing(t *testing.T) {
	now := 10 * time.Second
	v := newTestView(&now)
	v.Apply(System, []Change{inEra(0, Change{Log: System, Key: CellKey("s"), Offset: 16, Cell: &fleet.Cell{Service: "s", Change: 1}})}, end(0, 19), now)
	v.Apply(Targets, []Change{inEra(0, target(0, "stays", false)), inEra(0, target(1, "leaves", true)), inEra(0, target(2, "new", false))}, end(0, 3), now)
	v.Apply(Operators, []Change{{Log: Operators, Key: "evacuate/out", Offset: 0, OutOf: "out"}}, end(0, 1), now)
	for range 2 {
		v.Replace(System, nil, end(1, 0), now)
		v.Replace(Targets, []Change{inEra(1, target(0, "stays", false)), inEra(1, target(1, "leaves", false))}, end(1, 2), now)
		v.Replace(Operators, nil, end(1, 0), now)
		c, _ := v.Cell("s")
		assert.NotNil(t, c, "the leader of the cell is forgotten")
		assert.Equal(t, []string{"new", "stays"}, usable(v))
		assert.True(t, v.outOfService("out"))
	}
}
