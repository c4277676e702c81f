package control

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a record that makes a replay panic or hang, or that results
// in a state whose snapshot cannot be restored. Seeds are in testdata/fuzz.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		s.ApplyBytes(0, data)
		restored, err := Restore(s.Snapshot())
		require.NoError(t, err)
		require.Equal(t, s, restored)
		rec, err := DecodeRecord(data)
		if err != nil {
			return
		}
		decodedAgain, err := DecodeRecord(encode(t, rec))
		require.NoError(t, err)
		require.Equal(t, encode(t, rec), encode(t, decodedAgain))
	})
}

// Guards against a chunk that makes the Assembler panic or hang, or makes it
// return a snapshot that cannot be restored. The input has one chunk per line.
func FuzzAssembler(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var a Assembler
		for line := range bytes.Lines(data) {
			c, err := DecodeChunk(line)
			if err != nil {
				continue
			}
			_, _ = a.Add(c)
			snap, ok := a.Newest()
			if !ok {
				continue
			}
			_, err = Restore(snap)
			require.NoError(t, err)
			_, err = Chunks(snap, "id", 1000)
			require.NoError(t, err)
		}
	})
}
