package control

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a record in the log that stops a replay or that leaves a
// state which cannot be restored. Seeds are in testdata/fuzz.
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
		again, err := DecodeRecord(encode(t, rec))
		require.NoError(t, err)
		require.Equal(t, encode(t, rec), encode(t, again))
	})
}

// Guards against a chunk that stops the Assembler, or that makes it yield a
// snapshot which cannot be restored. The input has one chunk a line.
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
