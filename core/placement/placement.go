// Package placement chooses the owner and standbys of each shard, and the
// dispatcher and copies of each dispatch group. All functions are pure: equal
// inputs give equal results on every VM.
package placement

// Server is a target that can own shards.
type Server struct {
	Name       string
	DataCentre string
	Weight     float64 // relative to the other servers; 0 or less means 1
	Available  bool    // false while lost, draining or out of service
}

// Shard is the current placement of a shard.
type Shard struct {
	Owner    string   // empty when the shard has no owner
	Standbys []string // in order of promotion
	// Load is the shard's load, in any unit that is the same for all shards of the
	// service. 0 means unknown; the mean of the known loads is assumed.
	Load float64
}

// VM is a candidate for the dispatcher and the copies of a group.
type VM struct {
	Name       string
	DataCentre string
	Available  bool
}

// DispatchPlacement is the placement of a dispatch group, by VM name.
type DispatchPlacement struct {
	Dispatcher string   // sends the group's requests
	Copies     []string // VMs that also hold the write intents, in order of promotion
}
