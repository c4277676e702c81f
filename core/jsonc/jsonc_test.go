package jsonc

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Wait  Duration `json:"wait"`
	Items []struct {
		Size int `json:"size"`
	} `json:"items"`
}

// Guards against problems that are reported without the line and field where they
// are, so that an operator would have to search a large file for them.
func TestDecodeReportsLineAndField(t *testing.T) {
	text := []byte("{\n  // a comment\n  \"wait\": 250,\n  \"items\": [\n    {\"size\": \"x\"},\n    {\"sizes\": 1}]}")
	var s sample
	_, err := Decode("f.json", text, &s)
	require.EqualError(t, err, `f.json:3: wait: duration must be a string with a unit, such as "250ms", not 250
f.json:5: items[0].size: must be of type int, not string
f.json:6: items[1].sizes: unknown field`)
}

// Guards against a decoder that rejects comments, trailing commas or durations with
// a unit, and against a wrong line in a problem that the caller reports itself.
func TestDecodeAcceptsCommentsAndUnits(t *testing.T) {
	var s sample
	src, err := Decode("f.json", []byte("{\"wait\": \"250ms\", /* c */ \"items\": [\n{\"size\": 3},]}"), &s)
	require.NoError(t, err)
	require.Equal(t, 3, s.Items[0].Size)
	require.Equal(t, "f.json:2: items[0].size: too small", src.Problem("items[0].size", "too small").Error())
}
