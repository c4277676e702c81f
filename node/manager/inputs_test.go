package manager

import (
	"fmt"
	"testing"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a kept choice of dispatchers that no longer fits the VMs, the
// data centre or the entry of the group.
func TestKeptDispatchIsTheNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ten, g := &tenure{}, &groupState{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var vms []placement.VM
			for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
				vms = append(vms, placement.VM{
					Name: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 2), Available: rapid.Bool().Draw(t, "available"),
				})
			}
			ten.noteVMs(vms)
			centre := rapid.SampledFrom([]string{"0", "1"}).Draw(t, "centre")
			restarted := rapid.Bool().Draw(t, "restarted")
			current := placement.Dispatch{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
			if restarted {
				current.Dispatcher = ""
			}
			want := placement.Dispatchers("s", centre, vms, current)
			require.Equal(t, want, ten.chooseDispatch(0, groupPlan{name: "s", dataCentre: centre}, g, vms, restarted))
			if rapid.Bool().Draw(t, "adopt") {
				g.entry.Dispatcher, g.entry.Copies = want.Dispatcher, want.Copies
			}
		}
	})
}

// Guards against a plan that is left out although an input has changed or the
// last one still had to be appended.
func TestPlanIsMadeAgainAfterAChange(t *testing.T) {
	inputs := func() planInputs {
		return planInputs{
			document: 1, config: 2, assign: 3, changes: 4, nothing: true,
			servers: map[string][]placement.Server{"s": {{Name: "a", Available: true}}},
		}
	}
	ten := &tenure{lastPlan: inputs()}
	require.True(t, ten.unplanned(inputs(), false))
	require.False(t, ten.unplanned(inputs(), true), "first plan of all")
	for name, change := range map[string]func(in *planInputs){
		"document": func(in *planInputs) { in.document++ },
		"config":   func(in *planInputs) { in.config++ },
		"assign":   func(in *planInputs) { in.assign++ },
		"changes":  func(in *planInputs) { in.changes++ },
		"server":   func(in *planInputs) { in.servers["s"][0].Available = false },
		"service":  func(in *planInputs) { in.servers["t"] = nil },
	} {
		in := inputs()
		change(&in)
		require.False(t, ten.unplanned(in, false), name)
	}
	ten.lastPlan.nothing = false
	require.False(t, ten.unplanned(inputs(), false), "not appended yet")
}
