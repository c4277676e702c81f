package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func makeVMs(n int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{Name: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Available: true}
	}
	return vms
}

// Guards against three faults while VMs become unavailable and return: a
// dispatcher moves although it is available, a new dispatcher is not a copy
// although a copy is available, and an available copy is removed.
func TestDispatchersOverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := makeVMs(rapid.IntRange(1, 9).Draw(t, "vms"))
		d := PlaceGroup("g", "dc1", vms, DispatchPlacement{})
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			vms[i].Available = !vms[i].Available
			available, centres := map[string]bool{}, map[string]bool{}
			for _, vm := range vms {
				if vm.Available {
					available[vm.Name], centres[vm.DataCentre] = true, true
				}
			}
			next := PlaceGroup("g", "dc1", vms, d)
			copies := slices.DeleteFunc(slices.Clone(d.Copies), func(c string) bool { return !available[c] })
			switch {
			case len(available) == 0:
				require.Equal(t, d, next)
				continue
			case available[d.Dispatcher]:
				require.Equal(t, d.Dispatcher, next.Dispatcher)
			case len(copies) > 0:
				require.Equal(t, copies[0], next.Dispatcher)
			}
			for _, c := range copies {
				require.Contains(t, append(next.Copies, next.Dispatcher), c)
			}
			require.Len(t, next.Copies, min(2, len(available)-1))
			require.NotContains(t, next.Copies, next.Dispatcher)
			d = next
		}
	})
}

// Guards against dispatchers that stay concentrated on a few VMs after a data
// centre returns, moves to VMs without the write intents, and more changes per
// call than allowed.
func TestRebalanceGroupsAfterReturn(t *testing.T) {
	vms := makeVMs(8)
	groups := make([]Group, 26)
	for i := range groups {
		groups[i] = Group{Name: fmt.Sprintf("s/t%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	for step, centre0Available := range []bool{true, false, true} { // data centre 0 becomes unavailable and returns
		for i := range vms {
			vms[i].Available = centre0Available || vms[i].DataCentre != "dc0"
		}
		for i, g := range groups {
			groups[i].Dispatch = PlaceGroup(g.Name, g.DataCentre, vms, g.Dispatch)
			if step == 2 {
				require.Equal(t, g.Dispatch.Dispatcher, groups[i].Dispatch.Dispatcher, "a dispatcher moved when its data centre returned")
			}
		}
	}
	calls := 0
	for ; ; calls++ {
		require.Less(t, calls, 100, "RebalanceGroups does not converge")
		changed := RebalanceGroups(groups, vms, 3)
		if len(changed) == 0 {
			break
		}
		require.LessOrEqual(t, len(changed), 3)
		for _, g := range changed {
			at := slices.IndexFunc(groups, func(x Group) bool { return x.Name == g.Name })
			holders := append([]string{groups[at].Dispatch.Dispatcher}, groups[at].Dispatch.Copies...)
			require.Contains(t, holders, g.Dispatch.Dispatcher, "the new dispatcher was not a copy")
			groups[at] = g
		}
	}
	count := map[string]int{}
	for _, g := range groups {
		count[g.Dispatch.Dispatcher]++
		centres := map[string]bool{}
		for _, name := range append([]string{g.Dispatch.Dispatcher}, g.Dispatch.Copies...) {
			centres[vms[slices.IndexFunc(vms, func(v VM) bool { return v.Name == name })].DataCentre] = true
		}
		require.Len(t, centres, 3, "group %s", g.Name)
	}
	for _, vm := range vms {
		require.InDelta(t, 26.0/8, count[vm.Name], 1.75, vm.Name)
	}
}
