package control

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid so that every run draws the same cases, unless
// -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(f *flag.Flag) { seedSet = seedSet || f.Name == "rapid.seed" })
	if !seedSet {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// entry is a record of the log with its offset.
type entry struct {
	offset uint64
	data   []byte
}

// drawLog draws a log, and returns it with the state after its last entry. Base
// versions, terms and sequence numbers are mostly, but not always, acceptable.
// Entries are 10 offsets apart; with gaps, sometimes more than WriterRetention.
func drawLog(t *rapid.T, gaps bool) ([]entry, *State) {
	s := NewState()
	var log []entry
	offset := uint64(0)
	for i := range rapid.IntRange(0, 40).Draw(t, "records") {
		data := []byte(`{"writer":"w0"}`)
		if rapid.IntRange(0, 15).Draw(t, "malformed") > 0 {
			data = encode(t, drawRecord(t, s, rapid.IntRange(0, 4).Draw(t, "kind")))
		}
		if gaps && rapid.IntRange(0, 9).Draw(t, "jump") == 0 {
			offset += WriterRetention + uint64(i)
		}
		log = append(log, entry{offset, data})
		s.ApplyBytes(offset, data)
		offset += 10
	}
	return log, s
}

func drawRecord(t *rapid.T, s *State, kind int) Record {
	rec := Record{Writer: fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "writer"))}
	rec.Seq = s.WriterSeq(rec.Writer) + drawNear(t, 1)
	switch kind {
	case 0:
		rec.Document = &DocumentChange{s.documentVersion + drawNear(t, 0), "ann", document(fmt.Sprint("d", drawNear(t, 3)))}
	case 1:
		scope := rapid.SampledFrom([]DrainScope{ScopeDataCentre, ScopeVM, ScopeTarget, "rack"}).Draw(t, "scope")
		rec.Drain = &DrainChange{scope, "a", rapid.Bool().Draw(t, "out"), s.Drain(scope, "a").Version + drawNear(t, 0), "bob"}
	case 2:
		rec.Members = &MembersChange{s.membersVersion + drawNear(t, 0), []Member{{0, "v1", "a", "p"}, {int(drawNear(t, 1)), "v2", "b", "q"}}}
	case 3:
		rec.Term = &TermOpened{s.term + drawNear(t, 1), rec.Writer}
	default:
		shard := ShardAssignment{"s", int(drawNear(t, 0)), "t1", rapid.SampledFrom([][]string{nil, {}, {"t2"}}).Draw(t, "standbys"), FenceBlock * drawNear(t, 2)}
		rec.Assign = &AssignmentChange{s.term + drawNear(t, 0), s.assignVersion + drawNear(t, 0), []ShardAssignment{shard}, rapid.Bool().Draw(t, "published")}
	}
	return rec
}

// drawNear draws n in three of four cases, otherwise n+1 or n-1 (at least 0).
func drawNear(t *rapid.T, n uint64) uint64 {
	switch rapid.IntRange(0, 7).Draw(t, "near") {
	case 0:
		return n + 1
	case 1:
		return max(n, 1) - 1
	}
	return n
}

func document(name string) inventory.Document {
	return inventory.Document{
		Deployment:  name,
		DataCentres: []inventory.DataCentre{{Name: "a"}},
		Services:    []inventory.Service{{Name: "s", Ownership: inventory.OwnershipPool}},
		Targets:     []inventory.Target{{Name: "t1", Service: "s", DataCentre: "a", Address: "127.0.0.1:1", Slots: 1, Connections: 1}},
		Rules:       []inventory.Rule{{PathPrefix: "/", Service: "s", ReadMethods: []string{}}},
	}
}

func encode(t require.TestingT, rec Record) []byte {
	data, err := rec.Encode()
	require.NoError(t, err)
	return data
}

// Guards against replicas with different states. A replica that replays the whole
// log and one that starts from a snapshot must reach deeply equal states.
func TestReplayFromSnapshotEqualsFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, full := drawLog(t, true)
		snapshotAt := rapid.IntRange(0, len(log)).Draw(t, "cut")
		s := NewState()
		for i, e := range log {
			if i == snapshotAt {
				s = restoreFromChunks(t, s)
			}
			s.ApplyBytes(e.offset, e.data)
		}
		require.Equal(t, full, s)
		require.Equal(t, full, restoreFromChunks(t, s))
	})
}

// restoreFromChunks writes a state as snapshot chunks and restores it from them.
func restoreFromChunks(t *rapid.T, s *State) *State {
	chunks, err := Chunks(s.Snapshot(), "id", 400)
	require.NoError(t, err)
	var a Assembler
	for _, c := range chunks {
		data, err := c.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 400)
		c, err = DecodeChunk(data)
		require.NoError(t, err)
		_, err = a.Add(c)
		require.NoError(t, err)
	}
	snap, ok := a.Newest()
	require.True(t, ok)
	restored, err := Restore(snap)
	require.NoError(t, err)
	return restored
}

// Guards against versions or terms that decrease during replay, which would revert
// the configuration or reopen a term.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, _ := drawLog(t, true)
		s, last := NewState(), [5]uint64{}
		for _, e := range log {
			s.ApplyBytes(e.offset, e.data)
			now := [5]uint64{s.configVersion, s.documentVersion, s.membersVersion, s.term, s.assignVersion}
			for i := range now {
				require.GreaterOrEqual(t, now[i], last[i])
			}
			last = now
		}
	})
}

// Guards against accepting two concurrent changes that are based on the same
// version, and against a rejected change without the version of the accepted one.
func TestFirstOfTwoRecordsWithTheSameBaseWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, s := drawLog(t, true)
		doc, drain := document("d"), DrainChange{ScopeVM, "v", true, s.Drain(ScopeVM, "v").Version, "ann"}
		rec := rapid.SampledFrom([]Record{
			{Document: &DocumentChange{s.documentVersion, "ann", doc}},
			{Drain: &drain},
			{Members: &MembersChange{s.membersVersion, []Member{{0, "v1", "a", "p"}}}},
			{Assign: &AssignmentChange{s.term, s.assignVersion, nil, false}},
		}).Draw(t, "record")
		at := s.Next() + 3
		rec.Writer, rec.Seq = "x", 1
		require.Equal(t, Verdict{Offset: at, Accepted: true}, s.Apply(at, rec))
		rec.Writer = "y"
		second := s.Apply(at+5, rec)
		require.False(t, second.Accepted)
		require.Equal(t, ReasonBase, second.Reason)
		require.Equal(t, version(at), second.Current)
	})
}

// Guards against a record that takes effect twice. A record is applied again when
// an append is retried after its reply was lost, or when a page of the log is
// delivered twice.
func TestDuplicatesHaveNoSecondEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, full := drawLog(t, false)
		s := NewState()
		for i, e := range log {
			s.ApplyBytes(e.offset, e.data)
			before := *s
			require.False(t, s.ApplyBytes(e.offset, e.data).Accepted)
			require.Equal(t, before, *s)
			repeated := log[rapid.IntRange(0, i).Draw(t, "again")]
			require.False(t, s.ApplyBytes(e.offset+1, repeated.data).Accepted)
		}
		got, want := s.Snapshot(), full.Snapshot()
		got.Next, got.Writers = want.Next, want.Writers // duplicates advance the offset and count for their writer
		require.Equal(t, want, got)
	})
}

// Guards against a manager that changes assignments, or opens its term again, after
// another manager opened a higher or equal term.
func TestRecordOfLowerTermIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, s := drawLog(t, true)
		term, at := s.term+uint64(rapid.IntRange(1, 5).Draw(t, "ahead")), s.Next()
		require.True(t, s.Apply(at, Record{Writer: "x", Seq: 1, Term: &TermOpened{term, "x"}}).Accepted)
		lower := rapid.Uint64Range(0, term-1).Draw(t, "lower")
		for i, rec := range []Record{
			{Term: &TermOpened{lower, "y"}}, {Term: &TermOpened{term, "y"}},
			{Assign: &AssignmentChange{lower, s.assignVersion, []ShardAssignment{{Service: "s", Owner: "t2", Fence: 1 << 40}}, false}},
		} {
			rec.Writer, rec.Seq = "y", uint64(i+1)
			v := s.Apply(s.Next(), rec)
			require.Equal(t, Verdict{Offset: v.Offset, Reason: ReasonOldTerm, Current: term, CurrentAuthor: "x"}, v)
		}
	})
}

// Guards against unbounded growth of the table of writers. Each process start adds
// a writer, so writers without recent records have to be removed.
func TestIdleWritersAreRemoved(t *testing.T) {
	s := NewState()
	drain := func(writer string, seq uint64) Record {
		return Record{Writer: writer, Seq: seq, Drain: &DrainChange{Scope: "rack"}}
	}
	require.Equal(t, ReasonInvalid, s.Apply(0, drain("w", 5)).Reason)
	require.Equal(t, ReasonRepeated, s.Apply(WriterRetention, drain("w", 5)).Reason)
	require.EqualValues(t, 5, s.WriterSeq("w"))
	require.Equal(t, ReasonInvalid, s.Apply(2*WriterRetention+1, drain("w", 1)).Reason, "forgotten")
	for i := range WriterRetention + 3*writerSweepInterval {
		s.Apply(s.Next(), drain(fmt.Sprint("n", i), 1))
	}
	require.LessOrEqual(t, len(s.writers), WriterRetention+writerSweepInterval)
	require.Zero(t, s.WriterSeq("w"))
}
