package control

// AssignVersion returns the version of the last accepted assignment change.
func (s *State) AssignVersion() uint64 { return s.assignVersion }

// MembersVersion returns the version of the accepted members.
func (s *State) MembersVersion() uint64 { return s.membersVersion }
