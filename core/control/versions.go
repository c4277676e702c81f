package control

import "maps"

// AssignVersion returns the version of the last accepted assignment change.
func (s *State) AssignVersion() uint64 { return s.assignVersion }

// Published reports whether a dispatch map may have been in use; see
// AssignmentChange.Published.
func (s *State) Published() bool { return s.published }

func (s *State) MembersVersion() uint64 { return s.membersVersion }

// Drains returns a copy of all drains that were ever set, also those with Out unset.
func (s *State) Drains() map[DrainKey]Drain { return maps.Clone(s.drains) }
