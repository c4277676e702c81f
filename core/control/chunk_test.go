package control

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an Assembler that returns an incomplete or corrupt snapshot, or
// mixes snapshots that several managers write at the same time. After each chunk
// it must return the newest snapshot that is complete and correct.
func TestAssemblerYieldsOnlyCompleteCorrectSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const writers = MaxPendingSnapshots
		var snaps [writers]Snapshot
		var chunks [writers][]Chunk
		var corrupt [writers]bool
		for i := range snaps {
			s := NewState()
			s.Apply(uint64(rapid.IntRange(1, 9).Draw(t, "covers")), Record{Writer: "w", Seq: uint64(i), Term: &TermOpened{uint64(i) + 1, "m"}})
			snaps[i] = s.Snapshot()
			var err error
			chunks[i], err = Chunks(snaps[i], string(rune('a'+i)), 300)
			require.NoError(t, err)
			if corrupt[i] = rapid.IntRange(0, 3).Draw(t, "corrupt") == 0; corrupt[i] {
				c := &chunks[i][rapid.IntRange(0, len(chunks[i])-1).Draw(t, "chunk")]
				c.Data = bytes.Clone(c.Data)
				c.Data[rapid.IntRange(0, len(c.Data)-1).Draw(t, "byte")] ^= 1
			}
		}
		var a Assembler
		var want Snapshot
		var nextChunk [writers]int
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, writers-1).Draw(t, "writer")
			if nextChunk[i] == len(chunks[i]) {
				continue
			}
			_, _ = a.Add(chunks[i][nextChunk[i]])
			if nextChunk[i] > 0 && rapid.Bool().Draw(t, "twice") {
				_, _ = a.Add(chunks[i][nextChunk[i]-1])
			}
			nextChunk[i]++
			if nextChunk[i] == len(chunks[i]) && !corrupt[i] && snaps[i].Next > want.Next {
				want = snaps[i]
			}
			got, ok := a.Newest()
			require.Equal(t, want.Next > 0, ok)
			require.Equal(t, want, got)
		}
	})
}

// Guards against an Assembler that combines chunks of different snapshots with the
// same id, and against memory that grows with the number of incomplete snapshots.
func TestAssemblerDropsConflictingAndOldIncompleteSnapshots(t *testing.T) {
	s := NewState()
	s.Apply(0, Record{Writer: "w", Seq: 1, Term: &TermOpened{1, "m"}})
	chunks, err := Chunks(s.Snapshot(), "a", 300)
	require.NoError(t, err)
	require.Greater(t, len(chunks), 1)
	var a Assembler
	_, err = a.Add(chunks[0])
	require.NoError(t, err)
	conflicting := chunks[0]
	conflicting.Data = []byte("x")
	_, err = a.Add(conflicting)
	require.ErrorContains(t, err, "written again with different data")
	for i := range 100 {
		c := chunks[0]
		c.ID = string(rune('b' + i))
		_, err = a.Add(c)
		require.NoError(t, err)
	}
	require.Len(t, a.pending, MaxPendingSnapshots)
	_, ok := a.Newest()
	require.False(t, ok)
	mismatched := chunks[1]
	mismatched.Covers++
	for _, c := range append([]Chunk{mismatched}, chunks...) {
		_, err = a.Add(c)
		require.NoError(t, err)
	}
	_, ok = a.Newest()
	require.True(t, ok, "a mismatched chunk with the same id must not prevent the complete snapshot")
}

// Guards against restoring a snapshot that is damaged or has another format. Each
// case makes one change after which no replay of records can have produced the
// snapshot.
func TestRestoreRejectsInconsistentSnapshot(t *testing.T) {
	for name, damage := range map[string]func(*Snapshot){
		"format":                func(s *Snapshot) { s.Format++ },
		"version above next":    func(s *Snapshot) { s.MembersVersion = s.Next + 1 },
		"invalid document":      func(s *Snapshot) { s.Document.Deployment = "" },
		"configuration":         func(s *Snapshot) { s.ConfigVersion-- },
		"drain twice":           func(s *Snapshot) { s.Drains = append(s.Drains, s.Drains[0]) },
		"members":               func(s *Snapshot) { s.Members[0].Slot = 1 },
		"members lost":          func(s *Snapshot) { s.Members = nil },
		"assignment twice":      func(s *Snapshot) { s.Assignments = append(s.Assignments, s.Assignments[0]) },
		"no assign version":     func(s *Snapshot) { s.AssignVersion = 0 },
		"writer twice":          func(s *Snapshot) { s.Writers = append(s.Writers, s.Writers[0]) },
		"writer is not covered": func(s *Snapshot) { s.Writers[0].Offset = s.Next },
	} {
		s := NewState()
		for i, rec := range []Record{
			{Document: &DocumentChange{Document: document("d")}},
			{Drain: &DrainChange{Scope: ScopeVM, Name: "v", Out: true}},
			{Members: &MembersChange{Members: []Member{{0, "v1", "a", "p"}}}},
			{Assign: &AssignmentChange{Shards: []ShardAssignment{{Service: "s", Owner: "t1"}}}},
		} {
			rec.Writer, rec.Seq = "w", uint64(i+1)
			require.True(t, s.Apply(uint64(i), rec).Accepted)
		}
		snap := s.Snapshot()
		_, err := Restore(snap)
		require.NoError(t, err)
		damage(&snap)
		_, err = Restore(snap)
		require.Error(t, err, name)
	}
}
