package inventory

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a document that stops the parser, and against one that is
// accepted from a file but refused when it is read back from the log.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("f.json", text)
		if err != nil {
			return
		}
		data, err := json.Marshal(doc)
		require.NoError(t, err)
		var again Document
		require.NoError(t, json.Unmarshal(data, &again))
		require.NoError(t, again.Validate())
	})
}
