package manager

import (
	"fmt"
	"testing"

	"github.com/mangogate/mangogate/core/placement"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a stale cached placement: a change of the VMs, of the data
// centre or of the group's entry must give the same placement as a new
// computation.
func TestCachedDispatchMatchesRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tn, g := &termState{}, &groupState{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var vms []placement.VM
			for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
				vms = append(vms, placement.VM{
					Name: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 2), Available: rapid.Bool().Draw(t, "available"),
				})
			}
			tn.updateVMList(vms)
			centre := rapid.SampledFrom([]string{"0", "1"}).Draw(t, "centre")
			restarted := rapid.Bool().Draw(t, "restarted")
			current := placement.DispatchPlacement{Dispatcher: g.entry.Dispatcher, Copies: g.entry.Copies}
			if restarted {
				current.Dispatcher = ""
			}
			want := placement.PlaceGroup("s", centre, vms, current)
			require.Equal(t, want, tn.chooseDispatch(0, groupPlan{name: "s", dataCentre: centre}, g, vms, restarted))
			if rapid.Bool().Draw(t, "adopt") {
				g.entry.Dispatcher, g.entry.Copies = want.Dispatcher, want.Copies
			}
		}
	})
}

// Guards against planning that is skipped although an input has changed, or
// although the assignments of the last plan are not in the log yet.
func TestPlanIsMadeAgainAfterAChange(t *testing.T) {
	inputs := func() planInputs {
		return planInputs{
			docVersion: 1, configVersion: 2, assignVersion: 3, assignedChanges: 4, logged: true,
			servers: map[string][]placement.Server{"s": {{Name: "a", Available: true}}},
		}
	}
	tn := &termState{lastPlan: inputs()}
	require.True(t, tn.planIsCurrent(inputs(), false))
	require.False(t, tn.planIsCurrent(inputs(), true), "the first plan of the deployment is never skipped")
	for name, change := range map[string]func(in *planInputs){
		"document": func(in *planInputs) { in.docVersion++ },
		"config":   func(in *planInputs) { in.configVersion++ },
		"assign":   func(in *planInputs) { in.assignVersion++ },
		"changes":  func(in *planInputs) { in.assignedChanges++ },
		"server":   func(in *planInputs) { in.servers["s"][0].Available = false },
		"service":  func(in *planInputs) { in.servers["t"] = nil },
	} {
		in := inputs()
		change(&in)
		require.False(t, tn.planIsCurrent(in, false), name)
	}
	tn.lastPlan.logged = false
	require.False(t, tn.planIsCurrent(inputs(), false), "the last plan is not in the log yet")
}
