package settings

import (
	"net/netip"
	"os"
	"testing"

	"github.com/mangogate/mangogate/core/jsonc"
	"github.com/stretchr/testify/require"
)

// Guards against settings files that make the parser panic or return an error
// without the file name, and against accepted settings that lack a VM name, a
// timeout or a valid peer address.
func FuzzParseSettings(f *testing.F) {
	for _, example := range []string{"../../examples/society/vm-1.json", "../../examples/flagworks/vm-1.json"} {
		text, err := os.ReadFile(example)
		require.NoError(f, err)
		f.Add(text)
	}
	for _, seed := range []string{"", "{", "null", `{"vm": 1}`, `{"vm": "a", "vm": "b"}`, `{"platform": {"timeout": "-1s", "url": "http://"}}`, "// only a comment\n{}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("vm.json", text)
		if err != nil {
			require.Nil(t, s)
			var problems jsonc.Problems
			require.ErrorAs(t, err, &problems)
			require.Contains(t, problems.Error(), "vm.json:")
			return
		}
		require.NotEmpty(t, s.VM)
		require.Positive(t, s.Platform.Timeout.Std())
		_, err = netip.ParseAddrPort(s.Peers.Listen)
		require.NoError(t, err)
	})
}
