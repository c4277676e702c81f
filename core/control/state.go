package control

import (
	"fmt"
	"slices"
	"sort"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/pkg/errors"
)

// Reason says why a record was rejected.
type Reason string

const (
	ReasonNone      Reason = ""
	ReasonRepeated  Reason = "repeated"  // the offset, or the writer's sequence number or a higher one, was applied before
	ReasonBase      Reason = "base"      // the change was made from another version than the current one
	ReasonOldTerm   Reason = "old-term"  // not the current term, or a TermOpened that does not raise it
	ReasonInvalid   Reason = "invalid"   // the content fails validation
	ReasonMalformed Reason = "malformed" // the bytes are not a valid record
	ReasonNoChange  Reason = "no-change" // the content is already in effect; Apply does not return it
)

// Verdict is the result of applying one record.
type Verdict struct {
	Offset        uint64
	Accepted      bool
	Reason        Reason
	Detail        string
	Current       uint64 // for ReasonBase, the current version; for ReasonOldTerm, the current term
	CurrentAuthor string // author or manager of that version or term; empty for a MembersChange
}

// DrainKey identifies a drain by what it takes out of service.
type DrainKey struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
}

// Drain is the accepted state of a drain. Out means out of service.
type Drain struct {
	Out     bool   `json:"out"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
}

type ShardKey struct {
	Service string
	Shard   int
}

// State is the result of replaying the control log. Invariant: two states that
// applied the same records up to the same offset are equal.
type State struct {
	next            uint64 // offset of the next record to apply
	document        inventory.Document
	documentVersion uint64
	documentAuthor  string
	configVersion   uint64
	drains          map[DrainKey]Drain
	members         []Member
	membersVersion  uint64
	term            uint64
	manager         string
	assignments     map[ShardKey]ShardAssignment
	assignVersion   uint64
	published       bool
	writers         map[string]writerState
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		drains:      map[DrainKey]Drain{},
		assignments: map[ShardKey]ShardAssignment{},
		writers:     map[string]writerState{},
	}
}

// version converts the offset of an accepted record into a version. Offsets start
// at 0 and versions at 1, so that version 0 means that nothing was accepted yet.
func version(offset uint64) uint64 { return offset + 1 }

// ApplyBytes decodes and applies a record. A record that cannot be decoded is
// rejected with ReasonMalformed; the replay continues after it.
func (s *State) ApplyBytes(offset uint64, data []byte) Verdict {
	rec, err := DecodeRecord(data)
	if err != nil {
		if offset >= s.next {
			s.advance(offset)
		}
		return Verdict{Offset: offset, Reason: ReasonMalformed, Detail: err.Error()}
	}
	return s.Apply(offset, rec)
}

// Apply applies the record at an offset. Records must be applied in order of their
// offsets: a record below the next offset was applied already and is rejected
// with ReasonRepeated. Offsets may have gaps.
func (s *State) Apply(offset uint64, rec Record) Verdict {
	if offset < s.next {
		return Verdict{Offset: offset, Reason: ReasonRepeated, Detail: "the offset was applied already"}
	}
	s.advance(offset)
	if s.recordWriter(offset, rec) {
		return Verdict{Offset: offset, Reason: ReasonRepeated}
	}
	v := s.applyBody(offset, rec)
	v.Offset = offset
	return v
}

// applyBody applies the body of a record that is not a duplicate.
func (s *State) applyBody(offset uint64, rec Record) Verdict {
	switch {
	case rec.Document != nil:
		return s.applyDocument(offset, rec.Document)
	case rec.Drain != nil:
		return s.applyDrain(offset, rec.Drain)
	case rec.Members != nil:
		return s.applyMembers(offset, rec.Members)
	case rec.Term != nil:
		return s.applyTerm(rec.Term)
	case rec.Assign != nil:
		return s.applyAssign(offset, rec.Assign)
	}
	return Verdict{Reason: ReasonMalformed, Detail: "the record has no body"}
}

func (s *State) applyDocument(offset uint64, c *DocumentChange) Verdict {
	if c.Base != s.documentVersion {
		return Verdict{Reason: ReasonBase, Current: s.documentVersion, CurrentAuthor: s.documentAuthor}
	}
	if err := c.Document.Validate(); err != nil {
		return Verdict{Reason: ReasonInvalid, Detail: err.Error()}
	}
	s.document = normalizeDocument(c.Document)
	s.documentVersion = version(offset)
	s.documentAuthor = c.Author
	s.configVersion = version(offset)
	return Verdict{Accepted: true}
}

// normalizeDocument replaces empty lists by nil where JSON omits empty lists.
// Otherwise a state that was restored from a snapshot would differ from the state
// that wrote the snapshot.
func normalizeDocument(doc inventory.Document) inventory.Document {
	doc.Rules = slices.Clone(doc.Rules)
	for i := range doc.Rules {
		if len(doc.Rules[i].ReadMethods) == 0 {
			doc.Rules[i].ReadMethods = nil
		}
	}
	return doc
}

func (s *State) applyDrain(offset uint64, c *DrainChange) Verdict {
	key := DrainKey{c.Scope, c.Name}
	current := s.drains[key]
	if c.Base != current.Version {
		return Verdict{Reason: ReasonBase, Current: current.Version, CurrentAuthor: current.Author}
	}
	if !c.Scope.valid() {
		return Verdict{Reason: ReasonInvalid, Detail: fmt.Sprintf("unknown scope %q", c.Scope)}
	}
	s.drains[key] = Drain{Out: c.Out, Version: version(offset), Author: c.Author}
	s.configVersion = version(offset)
	return Verdict{Accepted: true}
}

func (s *State) applyMembers(offset uint64, c *MembersChange) Verdict {
	if c.Base != s.membersVersion {
		return Verdict{Reason: ReasonBase, Current: s.membersVersion}
	}
	if len(c.Members) == 0 {
		return Verdict{Reason: ReasonInvalid, Detail: "no members"}
	}
	if err := checkMembers(c.Members); err != nil {
		return Verdict{Reason: ReasonInvalid, Detail: err.Error()}
	}
	s.members = append([]Member(nil), c.Members...)
	s.membersVersion = version(offset)
	return Verdict{Accepted: true}
}

// checkMembers checks that slots are consecutive from 0 and that VMs have names and
// are listed once.
func checkMembers(members []Member) error {
	vms := map[string]bool{}
	for i, m := range members {
		if m.Slot != i || m.VM == "" || vms[m.VM] {
			return errors.Errorf("member %d has a wrong slot, or a missing or duplicate VM name", i)
		}
		vms[m.VM] = true
	}
	return nil
}

func (s *State) applyTerm(c *TermOpened) Verdict {
	if c.Term <= s.term {
		return Verdict{Reason: ReasonOldTerm, Current: s.term, CurrentAuthor: s.manager}
	}
	s.term, s.manager = c.Term, c.Manager
	return Verdict{Accepted: true}
}

func (s *State) applyAssign(offset uint64, c *AssignmentChange) Verdict {
	if c.Term != s.term {
		return Verdict{Reason: ReasonOldTerm, Current: s.term, CurrentAuthor: s.manager}
	}
	if c.Base != s.assignVersion {
		return Verdict{Reason: ReasonBase, Current: s.assignVersion, CurrentAuthor: s.manager}
	}
	if detail := s.checkFences(c.Shards); detail != "" {
		return Verdict{Reason: ReasonInvalid, Detail: detail}
	}
	for _, a := range c.Shards {
		a.Standbys = append([]string(nil), a.Standbys...)
		s.assignments[ShardKey{a.Service, a.Shard}] = a
	}
	s.assignVersion = version(offset)
	s.published = s.published || c.Published
	return Verdict{Accepted: true}
}

// checkFences checks the fencing tokens of a change and returns a description of
// the first problem, or "". A shard's token must not decrease, and must increase
// when the owner changes. A shard must not be listed twice.
func (s *State) checkFences(shards []ShardAssignment) string {
	seen := make(map[ShardKey]bool, len(shards))
	for _, a := range shards {
		key := ShardKey{a.Service, a.Shard}
		old, ok := s.assignments[key]
		switch {
		case seen[key]:
			return fmt.Sprintf("shard %s/%d is assigned twice", a.Service, a.Shard)
		case ok && a.Fence < old.Fence:
			return fmt.Sprintf("fence of %s/%d decreases from %d to %d", a.Service, a.Shard, old.Fence, a.Fence)
		case ok && a.Fence == old.Fence && a.Owner != old.Owner:
			return fmt.Sprintf("owner of %s/%d changes from %s to %s without a higher fence than %d", a.Service, a.Shard, old.Owner, a.Owner, a.Fence)
		}
		seen[key] = true
	}
	return ""
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Document returns the configuration document. Its version is 0 until one is accepted.
func (s *State) Document() (doc inventory.Document, version uint64) {
	return s.document, s.documentVersion
}

// ConfigVersion returns the version of the last accepted document or drain.
func (s *State) ConfigVersion() uint64 { return s.configVersion }

// Drain returns the state of a drain; the zero Drain if it was never set.
func (s *State) Drain(scope DrainScope, name string) Drain { return s.drains[DrainKey{scope, name}] }

// Members returns the members in slot order and their version.
func (s *State) Members() ([]Member, uint64) { return s.members, s.membersVersion }

// Term returns the highest term that was opened and its manager.
func (s *State) Term() (term uint64, manager string) { return s.term, s.manager }

func (s *State) Assignment(key ShardKey) (ShardAssignment, bool) {
	a, ok := s.assignments[key]
	return a, ok
}

// Assignments returns all assignments, ordered by service and shard, and their version.
func (s *State) Assignments() ([]ShardAssignment, uint64) {
	out := make([]ShardAssignment, 0, len(s.assignments))
	for _, a := range s.assignments {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Shard < out[j].Shard
	})
	return out, s.assignVersion
}

// TargetOutOfService reports whether a target must not be given new work, because
// the target or its data centre is out of service.
func (s *State) TargetOutOfService(t inventory.Target) bool {
	return s.Drain(ScopeTarget, t.Name).Out || s.Drain(ScopeDataCentre, t.DataCentre).Out
}

// VMOutOfService reports whether a VM must not be given new work, because the VM or
// its data centre is out of service.
func (s *State) VMOutOfService(vm, dataCentre string) bool {
	return s.Drain(ScopeVM, vm).Out || s.Drain(ScopeDataCentre, dataCentre).Out
}
