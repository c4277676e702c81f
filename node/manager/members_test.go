package manager

import (
	"testing"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/stretchr/testify/require"
)

func listed(states map[string]string) []logclient.VM {
	var out []logclient.VM
	for id, state := range states {
		out = append(out, logclient.VM{ID: id, State: state})
	}
	return out
}

func names(members []control.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.VM)
	}
	return out
}

// Guards against two disjoint majorities after a change of several slots while
// a manager acts, and against a member group that cannot recover when no
// manager is left.
func TestNextMembers(t *testing.T) {
	current := renumber([]control.Member{{VM: "a"}, {VM: "b"}, {VM: "c"}})
	for _, tc := range []struct {
		name    string
		current []control.Member
		vms     map[string]string
		acting  bool
		want    []string // nil for no change
	}{
		{"the first members wait for enough VMs", nil, map[string]string{"a": vmLive, "b": vmLive}, false, nil},
		{"the first members", nil, map[string]string{"b": vmLive, "a": vmLive, "c": vmLive}, false, []string{"a", "b", "c"}},
		{"a leaving VM keeps its slot", current, map[string]string{"b": "leaving", "d": vmLive}, true, nil},
		{"a VM that is not listed keeps its slot", current, map[string]string{"d": vmLive}, true, nil},
		// Replacing two slots at once could give two majorities without a common VM.
		{"a manager replaces one slot at a time", current, map[string]string{"a": vmGone, "b": vmGone, "d": vmLive, "e": vmLive}, true, []string{"d", "b", "c"}},
		{"a manager does not shrink the members", current, map[string]string{"a": vmGone}, true, nil},
		{"without a manager all slots are replaced", current, map[string]string{"a": vmGone, "b": vmGone, "d": vmLive, "e": vmLive}, false, []string{"d", "e", "c"}},
		{"without a manager and spares the members shrink", current, map[string]string{"a": vmGone, "b": vmGone}, false, []string{"c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, changed := nextMembers(tc.current, listed(tc.vms), 3, tc.acting)
			require.Equal(t, tc.want != nil, changed)
			if changed {
				require.Equal(t, tc.want, names(next))
			}
		})
	}
}
