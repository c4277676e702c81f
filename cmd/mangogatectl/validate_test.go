package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mangogate/mangogate/cmd/internal/usage"
	"github.com/mangogate/mangogate/platform"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

const inForceConfig = `{"version":7,"routes":[
  {"name":"read","host":"shop.example","pathPrefix":"/read/","routeType":"safe","timeoutS":1.5,"targetLatencyS":0.6,"priority":2,"attempts":2,"service":"pool"},
  {"name":"pay","host":"shop.example","pathPrefix":"/pay/","routeType":"unsafe","timeoutS":2,"targetLatencyS":0.8,"priority":1,"attempts":1,
   "trafficSplit":[{"service":"pool","weight":90},{"service":"next","weight":10}]}],
 "services":[{"name":"pool","maxConnections":10,"warmupS":3,"warmupPerS":11},{"name":"next","maxConnections":10}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutS":3,"idleTimeoutS":15},
 "tenants":[{"name":"w","apiKeys":["secret-1","secret-2"],"ratePerS":100,"burst":20},{"name":"v","apiKeys":["secret-3"],"priority":0}]}`

// newConfig is the next version without another change.
var newConfig = strings.Replace(inForceConfig, `"version":7`, `"version":8,"baseVersion":7`, 1)

// Guards against a faulty configuration that passes, and against findings that do not lead
// an operator to the fault. Each line is what an operator reads.
func TestFaultyStoreConfigurations(t *testing.T) {
	inForce, findings := platform.ReadConfig([]byte(inForceConfig))
	require.Empty(t, findings)
	require.Empty(t, checkStore("f", []byte(newConfig), inForce).Findings)
	for _, test := range []struct{ name, old, new, line string }{
		{"truncated", "\n \"limits\"" + newConfig[strings.Index(newConfig, "\n \"limits\"")+10:], ``, `f:5:115: error: the text ends before the JSON is complete: it may be truncated`},
		{"syntax", `"routes":[`, `"routes":[,`, `f:1:40: error: invalid character ',' looking for beginning of value`},
		{"text after the end", `"priority":0}]}`, `"priority":0}]}}`, `f:7:136: error: invalid character '}' after top-level value`},
		{"no object", newConfig, `null`, `f:1:1: error: the text is no JSON object`},
		{"type", `"timeoutS":1.5`, `"timeoutS":"1.5"`, `f:2:96: error: routes[0].timeoutS: a string is not allowed here, a value of type number is needed`},
		{"type of a key", `["secret-3"]`, `"secret-3"`, `f:7:117: error: tenants[1].apiKeys: a string is not allowed here, a value of type array is needed`},
		{"fraction", `"attempts":1,`, `"attempts":1.5,`, `f:3:141: error: routes[1].attempts: a number is not allowed here, a value of type integer is needed`},
		{"type of an object", `{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutS":3,"idleTimeoutS":15}`, `[1]`, `f:6:11: error: limits: an array is not allowed here, a value of type object is needed`},
		{"misspelt field", `"idleTimeoutS"`, `"idleTimeout"`, `f: warning: limits.idleTimeout: is no known field and is ignored`},
		{"old version", `"version":8`, `"version":7`, `f: error: version: 7 is not above 7, the version in force`},
		{"stale match", `"baseVersion":7`, `"baseVersion":6`, `f: error: baseVersion: made from version 6, but 7 is in force: what was changed since then would be undone`},
		{"negative version", `"version":8`, `"version":-8`, `f: error: version: -8 is negative`},
		{"no routes", newConfig[strings.Index(newConfig, "[")+1 : strings.Index(newConfig, "],\n \"services\"")], ``, `f: error: routes: there are none: every request would be answered with 404`},
		{"unknown service", `"service":"pool"}`, `"service":"pol"}`, `f: error: routes[0].service: there is no service "pol"`},
		{"unknown service in a split", `"service":"next"`, `"service":"nxt"`, `f: error: routes[1].trafficSplit[1].service: there is no service "nxt"`},
		{"no service", `,"service":"pool"}`, `}`, `f: error: routes[0]: has neither service nor trafficSplit`},
		{"service and split", `"attempts":1,`, `"attempts":1,"service":"pool",`, `f: warning: routes[1].service: "pool" is ignored, because the route has trafficSplit`},
		{"negative timeout", `"timeoutS":1.5`, `"timeoutS":-1.5`, `f: error: routes[0].timeoutS: -1.5 is negative`},
		{"negative objective", `"targetLatencyS":0.6`, `"targetLatencyS":-1`, `f: error: routes[0].targetLatencyS: -1 is negative`},
		{"negative priority", `"priority":2`, `"priority":-2`, `f: error: routes[0].priority: -2 is negative`},
		{"negative attempts", `"attempts":2`, `"attempts":-2`, `f: error: routes[0].attempts: -2 is negative`},
		{"no attempts", `"attempts":2`, `"attempts":0`, `f: warning: routes[0].attempts: is 0: a request is sent once`},
		{"negative weight", `"weight":90`, `"weight":-90`, `f: error: routes[1].trafficSplit[0].weight: -90 is negative`},
		{"no weight", `,"weight":90`, ``, `f: error: routes[1].trafficSplit[0].weight: is missing: the service would get no request`},
		{"weight 0", `"weight":90`, `"weight":0`, `f: warning: routes[1].trafficSplit[0].weight: is 0: service "pool" gets no request of this route`},
		{"weights sum to 0", `"weight":90},{"service":"next","weight":10}`, `"weight":0},{"service":"next","weight":0}`, `f: error: routes[1].trafficSplit: the weights sum to 0`},
		{"odd kind", `"routeType":"safe"`, `"routeType":"saef"`, `f: error: routes[0].routeType: "saef" is unknown, "safe" or "unsafe" is needed`},
		{"objective above timeout", `"targetLatencyS":0.6`, `"targetLatencyS":1.6`, `f: error: routes[0].targetLatencyS: 1.6 s is above the timeout of 1.5 s`},
		{"no host", `"host":"shop.example","pathPrefix":"/read/"`, `"pathPrefix":"/read/"`, `f: error: routes[0].host: is empty: the route can never match`},
		{"host with port", `"host":"shop.example","pathPrefix":"/read/"`, `"host":"shop.example:80","pathPrefix":"/read/"`, `f: error: routes[0].host: "shop.example:80" has a port: the route can never match, because ports are removed from requests`},
		{"host with path", `"host":"shop.example","pathPrefix":"/read/"`, `"host":"shop.example/","pathPrefix":"/read/"`, `f: error: routes[0].host: "shop.example/" is no name of a host: the route can never match`},
		{"host with capitals", `"host":"shop.example","pathPrefix":"/read/"`, `"host":"Shop.example","pathPrefix":"/read/"`, `f: warning: routes[0].host: "Shop.example" matches only callers that write it with the same capitals`},
		{"prefix without slash", `"/read/"`, `"read/"`, `f: error: routes[0].pathPrefix: "read/" does not begin with /: the route can never match`},
		{"prefix with query", `"/read/"`, `"/read/?a=/"`, `f: error: routes[0].pathPrefix: "/read/?a=/" is no path: the route can never match`},
		{"prefix of other paths", `"/read/"`, `"/read"`, `f: warning: routes[0].pathPrefix: "/read" does not end with /: it matches "/readx" too`},
		{"hidden route", `"/pay/"`, `"/read/"`, `f: error: routes[1]: can never match: routes[0] has the same host "shop.example" and path prefix "/read/"`},
		{"route name twice", `"name":"pay"`, `"name":"read"`, `f: warning: routes[1].name: "read" is the name of routes[0] too: their work and figures are counted together`},
		{"unused service", `"services":[`, `"services":[{"name":"old"},`, `f: warning: services[0]: no route uses service "old"`},
		{"service name twice", `{"name":"next",`, `{"name":"pool"},{"name":"next",`, `f: error: services[1].name: "pool" is the name of services[0] too`},
		{"negative connections", `"maxConnections":10,"warmupS"`, `"maxConnections":-10,"warmupS"`, `f: error: services[0].maxConnections: -10 is negative`},
		{"negative warm-up", `"warmupS":3`, `"warmupS":-3`, `f: error: services[0].warmupS: -3 is negative`},
		{"no request while cold", `"warmupPerS":11`, `"warmupPerS":0`, `f: warning: services[0].warmupPerS: is 0: a target gets no request in the first 3 s after its start`},
		{"negative limit", `"maxBodyBytes":65536`, `"maxBodyBytes":-1`, `f: error: limits.maxBodyBytes: -1 is negative`},
		{"no bodies", `"maxBodyBytes":65536`, `"maxBodyBytes":0`, `f: warning: limits.maxBodyBytes: is 0: requests with a body are refused, and routes[1] ("pay") is for writes`},
		{"headers too small", `"maxHeaderBytes":16384`, `"maxHeaderBytes":50`, `f: error: limits.maxHeaderBytes: 50 is below what a request of routes[0] ("read") needs, 58`},
		{"negative allowance", `"ratePerS":100`, `"ratePerS":-100`, `f: error: tenants[0].ratePerS: -100 is negative`},
		{"burst without rate", `"ratePerS":100,`, ``, `f: error: tenants[0].burst: is 20, but without ratePerS there is no limit`},
		{"two allowances", `{"name":"v"`, `{"name":"w"`, `f: error: tenants[1]: "w" has an allowance of no limit here and of 100 requests/s and a burst of 20 in tenants[0]`},
		{"one key twice", `"secret-3"`, `"secret-1"`, `f: error: tenants[1].apiKeys[0]: is the same key as tenants[0].apiKeys[0]`},
		{"key with spaces", `"secret-3"`, `"secret-3 "`, `f: error: tenants[1].apiKeys[0]: has spaces at an end or control characters: no request can have it`},
		{"empty key", `"secret-3"`, `"secret-3",""`, `f: warning: tenants[1].apiKeys[1]: is empty and is ignored`},
		{"no key", `"secret-3"`, ``, `f: warning: tenants[1].apiKeys: there are none: no request can be of workspace "v"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(newConfig, test.old))
			report := checkStore("f", []byte(strings.Replace(newConfig, test.old, test.new, 1)), inForce)
			var lines []string
			for _, f := range report.Findings {
				lines = append(lines, findingLine("f", f))
			}
			assert.Contains(t, lines, test.line)
			assert.Equal(t, !strings.Contains(strings.Join(lines, "\n"), ": error: "), report.Valid)
			assert.NotContains(t, strings.Join(lines, "\n"), "secret", "keys must not be shown")
		})
	}
}

// Guards against a change whose effect an operator learns from callers.
func TestDifferencesFromTheVersionInForce(t *testing.T) {
	inForce, _ := platform.ReadConfig([]byte(inForceConfig))
	for _, test := range []struct{ name, old, new, line string }{
		{"route removed", newConfig[strings.Index(newConfig, "\n  {\"name\":\"read\""):strings.Index(newConfig, "\n  {\"name\":\"pay\"")], ``, `route "read" is removed: requests for shop.example/read/ are answered with 404`},
		{"route renamed", `"name":"read"`, `"name":"look"`, `route "read" is removed: requests for shop.example/read/ match route "look"`},
		{"route added", `"routes":[`, `"routes":[{"name":"n","host":"h","pathPrefix":"/","routeType":"safe","attempts":1,"service":"pool"},`, `route "n" is new: requests for h/ go to service "pool"`},
		{"prefix", `"/read/"`, `"/r/"`, `route "read": shop.example/read/ becomes shop.example/r/: requests for shop.example/read/ are answered with 404`},
		{"split", `"weight":90`, `"weight":30`, `route "pay": another split: requests go to 75 % to service "pool", 25 % to service "next", before to 90 % to service "pool", 10 % to service "next"`},
		{"kind", `"routeType":"unsafe"`, `"routeType":"safe"`, `route "pay": routeType "unsafe" becomes "safe": requests may run more than once`},
		{"timeout", `"timeoutS":1.5`, `"timeoutS":1`, `route "read": timeoutS 1.5 becomes 1: requests that take longer fail`},
		{"objective", `"targetLatencyS":0.6`, `"targetLatencyS":0.5`, `route "read": targetLatencyS 0.6 becomes 0.5: requests are refused after a shorter wait`},
		{"priority", `"priority":2`, `"priority":3`, `route "read": priority 2 becomes 3: requests are served after more others`},
		{"public", `"service":"pool"}`, `"service":"pool","public":true}`, `route "read": becomes public: requests need no key, and targets are told no workspace`},
		{"keyed", `{"name":"pool",`, `{"name":"pool","sharded":true,`, `service "pool": sharded false becomes true: each key has one owner, which is assigned anew`},
		{"limit", `"maxBodyBytes":65536`, `"maxBodyBytes":1024`, `limits.maxBodyBytes 65536 becomes 1024: larger bodies are refused with 413`},
		{"key removed", `"secret-1",`, ``, `workspace "w": 1 key removed: 1 key becomes invalid: requests with it are answered with 401`},
		{"key added", `"secret-1",`, `"secret-1","secret-9",`, `workspace "w": 1 key added: requests with it are accepted`},
		{"workspace removed", `,{"name":"v","apiKeys":["secret-3"],"priority":0}`, ``, `workspace "v" is removed: 1 key becomes invalid: requests with it are answered with 401`},
		{"allowance", `"ratePerS":100`, `"ratePerS":50`, `workspace "w": allowance of 100 requests/s and a burst of 20 becomes 50 requests/s and a burst of 20: requests beyond it are answered with 429`},
		{"no workspaces", newConfig[strings.Index(newConfig, ",\n \"tenants\"") : len(newConfig)-1], ``, `no workspaces are left: requests need no key`},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, 1, strings.Count(newConfig, test.old))
			var lines []string
			for _, d := range checkStore("f", []byte(strings.Replace(newConfig, test.old, test.new, 1)), inForce).Differences {
				lines = append(lines, d.String())
			}
			assert.Contains(t, lines, test.line)
			assert.NotContains(t, strings.Join(lines, "\n"), "secret", "keys must not be shown")
		})
	}
	assert.Empty(t, checkStore("f", []byte(newConfig), inForce).Differences)
}

// Guards against scripts that send a faulty configuration because of the exit status or the
// JSON output, and against a change of the check of inventories.
func TestValidateStoreCommand(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good, old, inForce := file("good", newConfig), file("old", inForceConfig), file("in-force", inForceConfig)
	faulty, broken := file("faulty", strings.Replace(newConfig, `"safe"`, `"saef"`, 1)), file("broken", newConfig[:100])
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		root := &cli.Command{Name: "mangogatectl", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{validateCommand()},
			ExitErrHandler: func(context.Context, *cli.Command, error) {}}
		err := usage.Strict(root).Run(context.Background(), append([]string{"mangogatectl", "validate"}, args...))
		code := 0
		if err != nil {
			code = 1
			if exit, ok := err.(cli.ExitCoder); ok {
				code = exit.ExitCode()
			}
		}
		return out.String(), code
	}
	for _, test := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"--store", good}, 0, good + " is valid: 0 errors, 0 warnings, not compared with a version in force\n"},
		{[]string{"--store", good, "--in-force", inForce}, 0, good + " is valid: 0 errors, 0 warnings, 0 changes\n"},
		{[]string{"--store", old, "--in-force", inForce}, usage.ExitCode,
			old + ": error: version: 7 is not above 7, the version in force\n" + old + " must not be sent: 1 errors, 0 warnings, 0 changes\n"},
		{[]string{"--store", good, "--in-force", broken}, usage.ExitCode, ""},
		{[]string{"--store", filepath.Join(dir, "none")}, usage.ExitCode, ""},
		{[]string{"--store", good, good}, usage.ExitCode, ""},
		{[]string{"--json", good}, usage.ExitCode, ""},
		{[]string{"--in-force", inForce, good}, usage.ExitCode, ""},
	} {
		out, code := run(test.args...)
		assert.Equal(t, test.code, code, "%v", test.args)
		assert.Equal(t, test.out, out, "%v", test.args)
	}
	out, code := run("--store", faulty, "--json")
	assert.Equal(t, usage.ExitCode, code)
	var report storeReport
	require.NoError(t, json.Unmarshal([]byte(out), &report), out)
	assert.False(t, report.Valid)
	assert.Equal(t, "routes[0].routeType", report.Findings[0].Path)
	out, code = run("--store", broken, "--json")
	assert.Equal(t, usage.ExitCode, code)
	require.NoError(t, json.Unmarshal([]byte(out), &report), out)
	assert.Equal(t, 2, report.Findings[0].Line)
}
