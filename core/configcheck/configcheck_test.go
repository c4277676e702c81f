package configcheck

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against differences that are told although nothing changes, and against keys of
// workspaces in texts that end up in logs.
func TestNoDifferencesFromItself(t *testing.T) {
	names := Fields{Routes: "routes", Name: "name", Idempotent: "safe", NotIdempotent: "unsafe"}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"a", "b", ""})
		number := rapid.SampledFrom([]float64{-1, 0, 1, 2.5})
		draw := func() *Document {
			d := &Document{Version: rapid.Int64Range(-1, 3).Draw(t, "version")}
			for range rapid.IntRange(0, 3).Draw(t, "routes") {
				d.Routes = append(d.Routes, Route{Name: name.Draw(t, "name"), Host: name.Draw(t, "host"), PathPrefix: "/" + name.Draw(t, "prefix"), Timeout: number.Draw(t, "timeout"), Service: name.Draw(t, "service")})
			}
			for range rapid.IntRange(0, 2).Draw(t, "workspaces") {
				d.Workspaces = append(d.Workspaces, Workspace{Name: name.Draw(t, "workspace"), Keys: []string{rapid.SampledFrom([]string{"secret-1", "secret-2 ", ""}).Draw(t, "key")}, Rate: number.Draw(t, "rate")})
			}
			return d
		}
		from, to := draw(), draw()
		for _, f := range Check(to, from, names) {
			assert.NotContains(t, f.String(), "secret")
		}
		for _, d := range Differences(from, to, names) {
			assert.NotContains(t, d.String(), "secret")
			assert.NotEmpty(t, d.Effect)
		}
		unique := &Document{}
		routes, workspaces := map[string]bool{}, map[string]bool{}
		for _, r := range to.Routes {
			if !routes[r.Name] {
				unique.Routes = append(unique.Routes, r)
			}
			routes[r.Name] = true
		}
		keys := map[string]bool{}
		for _, w := range to.Workspaces {
			if !workspaces[w.Name] && !keys[w.Keys[0]] {
				unique.Workspaces = append(unique.Workspaces, w)
				workspaces[w.Name], keys[w.Keys[0]] = true, true
			}
		}
		assert.Empty(t, Differences(unique, unique, names))
	})
}
