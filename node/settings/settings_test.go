package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validSettings returns the text of a valid settings file.
func validSettings(t *testing.T) string {
	t.Helper()
	secret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secret, []byte("0123456789abcdef"), 0o600))
	return strings.ReplaceAll(`{
  // one VM
  "vm": "vm-1", "data_centre": "north",
  "callers": {"listen": "127.0.0.1:8000"},
  "peers": {"listen": "127.0.0.1:8001", "key_file": "SECRET"},
  "operators": {"listen": "127.0.0.1:8002", "token_file": "SECRET"},
  "platform": {"url": "http://127.0.0.1:9000", "timeout": "1s"},
}`, "SECRET", secret)
}

// Guards against omitted settings that are zero instead of their default.
func TestDefaultsApply(t *testing.T) {
	s, err := Parse("vm.json", []byte(validSettings(t)))
	require.NoError(t, err)
	require.Equal(t, 8, s.Members)
	require.Equal(t, 4096, s.Callers.MaxConcurrent)
}

// Guards against a VM that starts with an invalid settings file, and against
// errors that do not name the file, the line and the field.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", `"vm":`, `"vmm": 1, "vm":`, "vm.json:3: vmm: unknown field"},
		{"number without unit", `"timeout": "1s"`, `"timeout": 1`, "vm.json:7: platform.timeout: duration must be a string with a unit"},
		{"wrong unit", `"timeout": "1s"`, `"timeout": "1 second"`, "vm.json:7: platform.timeout: duration \"1 second\" needs a unit"},
		{"missing name", `"vm": "vm-1", `, ``, "vm.json:1: vm: is required"},
		{"host name", `127.0.0.1:8000`, `localhost:8000`, "vm.json:4: callers.listen: \"localhost:8000\" is not an IP address and port"},
		{"same address twice", `127.0.0.1:8002`, `127.0.0.1:8001`, "vm.json:6: operators.listen: is the address of peers.listen too"},
		{"address that peers cannot reach", `127.0.0.1:8001`, `0.0.0.0:8001`, "vm.json:5: peers.listen:"},
		{"short timeout", `"timeout": "1s"`, `"timeout": "1ms"`, "vm.json:7: platform.timeout: 1ms is outside"},
		{"not a URL", `http://127.0.0.1:9000`, `127.0.0.1`, "vm.json:7: platform.url:"},
		{"missing secret", `"key_file": "`, `"key_file": "/nonexistent`, "vm.json:5: peers.key_file: read secret"},
		{"certificate without key", `"callers": {`, `"callers": {"tls": {"cert_file": "/etc/hostname"}, `, "vm.json:4: callers.tls: cert_file and key_file go together"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := validSettings(t)
			require.Contains(t, text, tc.old)
			_, err := Parse("vm.json", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			require.ErrorContains(t, err, tc.want)
		})
	}
}
