package cell

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// vmsOf returns n VMs of one size.
func vmsOf(n int, cores, linkMbps float64) []fleet.VM {
	var out []fleet.VM
	for i := range n {
		out = append(out, fleet.VM{ID: fmt.Sprintf("vm-%v-%v-%d", cores, linkMbps, i), Cores: cores, LinkMbps: linkMbps})
	}
	return out
}

// ranked returns the VMs in the order in which they claim the cell of a service.
func ranked(service string, vms []fleet.VM) []fleet.VM {
	large := newLargeThreshold(vms)
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b fleet.VM) int {
		if ranksBefore(service, a, b, large) {
			return -1
		}
		return 1
	})
	return out
}

// rankedByHalfOfTheCores returns the order of earlier versions.
func rankedByHalfOfTheCores(service string, vms []fleet.VM) []fleet.VM {
	largest := 0.0
	for _, vm := range vms {
		largest = max(largest, vm.Cores)
	}
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b fleet.VM) int {
		aLarge, bLarge := a.Cores >= largest/2, b.Cores >= largest/2
		if aLarge == bLarge && rankHash(service, a.ID) > rankHash(service, b.ID) || aLarge && !bLarge {
			return -1
		}
		return 1
	})
	return out
}

// Guards against a leader that cannot keep up: on a fleet with three sizes, VMs with half of
// the largest ones' processor time and a twentieth of their link became leaders.
func TestOnlyTheLargestVMsRankFirst(t *testing.T) {
	vms := slices.Concat(vmsOf(46, 0.12, 10), vmsOf(17, 0.4, 10), vmsOf(6, 0.8, 200))
	for i := range 20 {
		for _, vm := range ranked(fmt.Sprint("service-", i), vms)[:6] {
			assert.Equal(t, 0.8, vm.Cores)
		}
	}
	sameCores := slices.Concat(vmsOf(20, 0.8, 10), vmsOf(2, 0.8, 200))
	for _, vm := range ranked("s", sameCores)[:2] {
		assert.Equal(t, 200.0, vm.LinkMbps)
	}
}

// Guards against leaders that move on deployments whose VMs are equal or differ only as far
// as they did before links counted.
func TestRankOfEvenFleetsIsUnchanged(t *testing.T) {
	for name, vms := range map[string][]fleet.VM{
		"two sizes, links unknown": slices.Concat(vmsOf(60, 0.16, 0), vmsOf(12, 0.8, 0)),
		"two sizes, equal links":   slices.Concat(vmsOf(60, 0.16, 100), vmsOf(12, 0.8, 100)),
		"equal VMs":                vmsOf(40, 0.32, 10),
	} {
		for i := range 20 {
			service := fmt.Sprint("service-", i)
			assert.Equal(t, rankedByHalfOfTheCores(service, vms), ranked(service, vms), name)
		}
	}
}

// Guards against a fleet without any large VM, and against a VM of an earlier version that
// falls behind because its record has no link.
func TestUnknownLinkCountsAsLargest(t *testing.T) {
	vms := slices.Concat(vmsOf(10, 0.8, 10), vmsOf(1, 0.8, 0), vmsOf(2, 0.8, 200), vmsOf(5, 0.4, 400))
	large := newLargeThreshold(vms)
	var ids []string
	for _, vm := range vms {
		if large.isLarge(vm) {
			ids = append(ids, vm.ID)
		}
	}
	assert.ElementsMatch(t, []string{"vm-0.8-0-0", "vm-0.8-200-0", "vm-0.8-200-1"}, ids)
}

// earlierVM is fleet.VM as earlier versions have it.
type earlierVM struct {
	ID, DataCentre, PeerAddress, Boot string
	Cores                             float64
	Era                               int64
}

// Guards against VMs that cannot decode each other's records during an update.
func TestRecordsOfVMsDecodeInBothVersions(t *testing.T) {
	vm := fleet.VM{ID: "a", Boot: "b", Cores: 0.8, LinkMbps: 200, Era: 3}
	earlier := earlierVM{ID: "a", Boot: "b", Cores: 0.8, Era: 3}
	unknown := vm
	unknown.LinkMbps = 0

	var buf bytes.Buffer
	var gotEarlier earlierVM
	require.NoError(t, gob.NewEncoder(&buf).Encode(vm))
	require.NoError(t, gob.NewDecoder(&buf).Decode(&gotEarlier))
	assert.Equal(t, earlier, gotEarlier)
	var got fleet.VM
	buf.Reset()
	require.NoError(t, gob.NewEncoder(&buf).Encode(earlier))
	require.NoError(t, gob.NewDecoder(&buf).Decode(&got))
	assert.Equal(t, unknown, got)

	text, err := json.Marshal(vm)
	require.NoError(t, err)
	gotEarlier, got = earlierVM{}, fleet.VM{}
	require.NoError(t, json.Unmarshal(text, &gotEarlier))
	assert.Equal(t, earlier, gotEarlier)
	text, err = json.Marshal(earlier)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &got))
	assert.Equal(t, unknown, got)
}
