package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/pkg/errors"
)

// snapshotFormat is the format that Snapshot writes and Restore reads.
const snapshotFormat = 1

// Snapshot is the JSON form of a State. Equal states have equal snapshots. A
// snapshot shares memory with the states that it is taken from or restored to, so it
// must not be modified.
type Snapshot struct {
	Format          int                `json:"format"`
	Next            uint64             `json:"next"` // offset of the first record that the snapshot does not cover
	Document        inventory.Document `json:"document"`
	DocumentVersion uint64             `json:"document_version"`
	DocumentAuthor  string             `json:"document_author"`
	ConfigVersion   uint64             `json:"config_version"`
	Drains          []SnapshotDrain    `json:"drains,omitempty"`
	Members         []Member           `json:"members,omitempty"`
	MembersVersion  uint64             `json:"members_version"`
	Term            uint64             `json:"term"`
	Manager         string             `json:"manager"`
	Assignments     []ShardAssignment  `json:"assignments,omitempty"`
	AssignVersion   uint64             `json:"assign_version"`
	Published       bool               `json:"published,omitempty"`
	Writers         []SnapshotWriter   `json:"writers,omitempty"`
}

// SnapshotDrain is the state of a drain with its scope and name.
type SnapshotDrain struct {
	DrainKey
	Drain
}

// SnapshotWriter holds the highest sequence number of a writer and the offset of its
// last record.
type SnapshotWriter struct {
	Writer string `json:"writer"`
	Seq    uint64 `json:"seq"`
	Offset uint64 `json:"offset"`
}

// Snapshot returns the state in a form that Restore accepts.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		Format:          snapshotFormat,
		Next:            s.next,
		Document:        s.document,
		DocumentVersion: s.documentVersion,
		DocumentAuthor:  s.documentAuthor,
		ConfigVersion:   s.configVersion,
		Members:         s.members,
		MembersVersion:  s.membersVersion,
		Term:            s.term,
		Manager:         s.manager,
		Published:       s.published,
	}
	for key, d := range s.drains {
		snap.Drains = append(snap.Drains, SnapshotDrain{key, d})
	}
	slices.SortFunc(snap.Drains, func(a, b SnapshotDrain) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	if snap.AssignVersion = s.assignVersion; len(s.assignments) > 0 {
		snap.Assignments, _ = s.Assignments()
	}
	for _, w := range slices.Sorted(maps.Keys(s.writers)) {
		snap.Writers = append(snap.Writers, SnapshotWriter{w, s.writers[w].seq, s.writers[w].offset})
	}
	return snap
}

// Restore returns the state of a snapshot. The error names the first part found that
// no replay can have produced.
func Restore(snap Snapshot) (*State, error) {
	s := NewState()
	s.next = snap.Next
	s.documentVersion, s.documentAuthor, s.configVersion = snap.DocumentVersion, snap.DocumentAuthor, snap.ConfigVersion
	s.membersVersion, s.assignVersion = snap.MembersVersion, snap.AssignVersion
	s.term, s.manager, s.published = snap.Term, snap.Manager, snap.Published
	if snap.Format != snapshotFormat {
		return nil, errors.Errorf("restore snapshot: format %d, not %d", snap.Format, snapshotFormat)
	}
	for _, v := range []uint64{snap.DocumentVersion, snap.ConfigVersion, snap.MembersVersion, snap.AssignVersion} {
		if v > snap.Next {
			return nil, errors.Errorf("restore snapshot: version %d is above the next offset %d", v, snap.Next)
		}
	}
	for _, restore := range []func(Snapshot) error{s.restoreDocument, s.restoreMembers, s.restoreAssignments, s.restoreWriters} {
		if err := restore(snap); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	return s, nil
}

func (s *State) restoreDocument(snap Snapshot) error {
	if snap.DocumentVersion > 0 {
		if err := snap.Document.Validate(); err != nil {
			return errors.Wrap(err, "document")
		}
		s.document = normalizeDocument(snap.Document)
	}
	highest := snap.DocumentVersion
	for _, d := range snap.Drains {
		if _, duplicate := s.drains[d.DrainKey]; duplicate || !d.Scope.valid() || d.Version == 0 || d.Version > snap.Next {
			return errors.Errorf("drain of %s %q at version %d is invalid", d.Scope, d.Name, d.Version)
		}
		s.drains[d.DrainKey] = d.Drain
		highest = max(highest, d.Version)
	}
	if highest != snap.ConfigVersion {
		return errors.Errorf("configuration version is %d, but the newest document or drain has version %d", snap.ConfigVersion, highest)
	}
	return nil
}

func (s *State) restoreMembers(snap Snapshot) error {
	if (len(snap.Members) == 0) != (snap.MembersVersion == 0) {
		return errors.Errorf("a list of %d members cannot have version %d", len(snap.Members), snap.MembersVersion)
	}
	s.members = append([]Member(nil), snap.Members...)
	return checkMembers(snap.Members)
}

func (s *State) restoreAssignments(snap Snapshot) error {
	if len(snap.Assignments) > 0 && snap.AssignVersion == 0 {
		return errors.New("assignments without a version")
	}
	for _, a := range snap.Assignments {
		key := ShardKey{a.Service, a.Shard}
		if _, duplicate := s.assignments[key]; duplicate {
			return errors.Errorf("shard %s/%d is assigned twice", a.Service, a.Shard)
		}
		a.Standbys = append([]string(nil), a.Standbys...)
		s.assignments[key] = a
	}
	return nil
}

func (s *State) restoreWriters(snap Snapshot) error {
	for _, w := range snap.Writers {
		if _, duplicate := s.writers[w.Writer]; duplicate || w.Offset >= snap.Next {
			return errors.Errorf("writer %q is listed twice, or its offset %d is not covered by the snapshot", w.Writer, w.Offset)
		}
		s.writers[w.Writer] = writerState{w.Seq, w.Offset}
	}
	return nil
}
