package inventory

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `{ // society
  "deployment": "society",
  "data_centres": [{"name": "a"},
    {"name": "b"}],
  "services": [
    {"name": "field", "ownership": "key",
      "shards": 8},
    {"name": "rota", "ownership": "pool",
      "max_queue": 9}],
  "targets": [
    {"name": "f1", "service": "field", "data_centre": "a", "address": "127.0.0.1:1", "slots": 3, "connections": 9},
    {"name": "r1", "service": "rota", "data_centre": "b",
      "address": "127.0.0.1:2", "slots": 3,
      "connections": 9, "weight": 2}],
  "rules": [
    {"path_prefix": "/fields", "service": "field", "key_template": "/fields/{key}/conditions"},
    {"path_prefix": "/fields/all", "service": "rota",
      "default_deadline": "2s", "max_body_bytes": 10},
    {"path_prefix": "/fields/all/", "service": "field", "key_header": "Key", "read_methods": ["GET"]}]}`

// Guards against invalid documents that are accepted, and against errors without
// the file, line and field that the operator has to edit. Each case makes one
// replacement in the valid document.
func TestParseReportsEachFaultWithFileLineAndField(t *testing.T) {
	for _, tc := range [][3]string{
		{`"society",`, `"Society",`, `i.json:2: deployment: "Society" is not a valid name`},
		{`"name": "b"`, `"name": "a"`, `i.json:4: data_centres[1].name: data centre "a" is listed twice`},
		{`{"name": "b"}`, `{}`, `i.json:4: data_centres[1].name: "" is not a valid name`},
		{`"shards": 8`, `"shards": 0`, `i.json:7: services[0].shards: 0 is outside 1 to 65536`},
		{",\n      \"shards\": 8", ``, `i.json:6: services[0].shards: 0 is outside 1 to 65536`},
		{`"name": "rota"`, `"name": "field"`, `i.json:8: services[1].name: service "field" is listed twice`},
		{`"max_queue": 9`, `"shards": 2`, `i.json:9: services[1].shards: a service with pool ownership has no shards`},
		{`"max_queue": 9`, `"max_queue": -1`, `i.json:9: services[1].max_queue: must not be negative`},
		{`"pool"`, `"pol"`, `i.json:8: services[1].ownership: "pol" is not "key" or "pool"`},
		{`"name": "r1"`, `"name": "f1"`, `i.json:12: targets[1].name: target "f1" is listed twice`},
		{`"service": "rota", "data`, `"service": "rot", "data`, `i.json:12: targets[1].service: service "rot" does not exist`},
		{`"service": "rota", "data`, `"service": "field", "data`, `i.json:8: services[1].name: service "rota" has no target`},
		{`"data_centre": "b"`, `"data_centre": "c"`, `i.json:12: targets[1].data_centre: data centre "c" does not exist`},
		{`127.0.0.1:2`, `localhost:2`, `i.json:13: targets[1].address: "localhost:2" is not an IP address and port`},
		{`127.0.0.1:2`, `127.0.0.1:1`, `i.json:13: targets[1].address: address is already used by target "f1"`},
		{"2\", \"slots\": 3", "2\", \"slots\": 0", `i.json:13: targets[1].slots: 0 is outside 1 to 1024`},
		{"9, \"weight\": 2", `2, "weight": 2`, `i.json:14: targets[1].connections: 2 connections are too few for 3 slots`},
		{`"weight": 2`, `"weight": -2`, `i.json:14: targets[1].weight: -2 is outside 0 to 1000`},
		{`"/fields/all",`, `"fields",`, `i.json:17: rules[1].path_prefix: "fields" must begin with /`},
		{`"/fields/all",`, `"/fields",`, `i.json:17: rules[1].path_prefix: prefix "/fields" is listed twice`},
		{`"/fields/all", "service": "rota"`, `"/x", "service": "r"`, `i.json:17: rules[1].service: service "r" does not exist`},
		{`/{key}/`, `/{id}/`, `i.json:16: rules[0].key_template: "/fields/{id}/conditions" must contain {key} exactly once`},
		{`"/fields/{key}`, `"/f/{key}`, `i.json:16: rules[0].key_template: "/f/{key}/conditions" can never match the prefix "/fields"`},
		{`, "key_header": "Key"`, ``, `i.json:19: rules[2].key_header: service "field" has key ownership`},
		{`"2s"`, `"11m"`, `i.json:18: rules[1].default_deadline: 11m0s is outside 0s to 10m0s`},
		{`_bytes": 10`, `_bytes": 9000000`, `i.json:18: rules[1].max_body_bytes: 9000000 is outside 0 to 8388608`},
		{`"max_queue"`, `"max_queues"`, `i.json:9: services[1].max_queues: unknown field`},
		{`"connections": 9, "weight"`, `"connections": 9 "weight"`, `i.json:14: column 24: invalid character`},
	} {
		require.Equal(t, 1, strings.Count(valid, tc[0]), "%q must occur once", tc[0])
		_, err := Parse("i.json", []byte(strings.Replace(valid, tc[0], tc[1], 1)))
		require.ErrorContains(t, err, tc[2])
	}
	_, err := Parse("i.json", []byte(valid))
	require.NoError(t, err)
}

// Guards against a request that is routed by a rule with a shorter prefix although
// a rule with a longer prefix matches too.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	doc, err := Parse("i.json", []byte(valid))
	require.NoError(t, err)
	for path, want := range map[string]string{
		"/fields/7/conditions": "/fields", "/fields/all": "/fields/all", "/fields/allotment": "/fields",
		"/fields/all/x": "/fields/all/", "/fields": "/fields", "/fieldsets": "", "/": "", "": "",
	} {
		rule, ok := doc.Match(path)
		require.Equal(t, want != "", ok, path)
		require.Equal(t, want, rule.PathPrefix, path)
	}
}

// Guards against two URL escapings of one key that are routed to different
// owners, and against requests without a key that are all routed to the owner of
// the empty key.
func TestKey(t *testing.T) {
	wholeElement := Rule{KeyTemplate: "/fields/{key}/conditions"}
	partOfElement := Rule{KeyTemplate: "/f/{key}.json"}
	header := Rule{KeyHeader: "Key", KeyTemplate: "/f/{key}"}
	for _, tc := range []struct {
		rule              Rule
		path, header, key string
	}{
		{wholeElement, "/fields/7/conditions", "", "7"},
		{wholeElement, "/fields/7/conditions/wind", "", "7"},
		{wholeElement, "/fields/a%20b/conditions", "", "a b"},
		{wholeElement, "/fields/%37/conditions", "", "7"},
		{wholeElement, "/%66ields/7/conditions", "", "7"},
		{wholeElement, "/fields/a%2Fb/conditions", "", "a/b"},
		{wholeElement, "/fields/a%252Fb/conditions", "", "a%2Fb"},
		{wholeElement, "/fields/a+b/conditions", "", "a+b"},
		{wholeElement, "/fields/%zz/conditions", "", ""},
		{wholeElement, "/fields//conditions", "", ""},
		{wholeElement, "/fields//7/conditions", "", ""},
		{wholeElement, "/fields/7", "", ""},
		{wholeElement, "/fields/7/rota", "", ""},
		{partOfElement, "/f/7.json", "", "7"},
		{partOfElement, "/f/7%2Ejson", "", "7"},
		{partOfElement, "/f/.json", "", ""},
		{header, "/f/7", "a%20b", "a%20b"},
		{header, "/f/7", "", "7"},
		{Rule{KeyHeader: "Key"}, "/f/7", "", ""},
	} {
		key, ok := tc.rule.Key(tc.path, tc.header)
		require.Equal(t, tc.key, key, tc.path)
		require.Equal(t, tc.key != "", ok, tc.path)
	}
	_, ok := Rule{}.Key("/rota", "")
	require.True(t, ok, "a rule without a key header or template needs no key")
}
