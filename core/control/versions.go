package control

import "maps"

// AssignVersion returns the version of the last accepted assignment change.
func (s *State) AssignVersion() uint64 { return s.assignVersion }

// Published tells whether a dispatch map may have been in use.
func (s *State) Published() bool { return s.published }

// MembersVersion returns the version of the accepted members.
func (s *State) MembersVersion() uint64 { return s.membersVersion }

// Drains returns all drains that were ever set; the map is a copy.
func (s *State) Drains() map[DrainKey]Drain { return maps.Clone(s.drains) }
