package inventory

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against input that makes the parser panic or hang, and against a document
// that is accepted from a file but not when it is read back from the control log.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("f.json", text)
		if err != nil {
			return
		}
		data, err := json.Marshal(doc)
		require.NoError(t, err)
		var decoded Document
		require.NoError(t, json.Unmarshal(data, &decoded))
		require.NoError(t, decoded.Validate())
	})
}
