// Package placement chooses the owner and standbys of each shard and the
// dispatcher of each group. All functions are pure: equal inputs give equal
// results on every VM.
package placement

// Server is a target that can own shards.
type Server struct {
	Name       string
	DataCentre string
	Weight     float64
	Available  bool // false while lost, draining or out of service
}

// Shard is the present placement of a shard.
type Shard struct {
	Owner    string // empty when it has none
	Standbys []string
	// Load is the shard's share of the service's load; 0 means unknown and
	// counts as the mean.
	Load float64
}

// VM is a VM that can dispatch.
type VM struct {
	Name       string
	DataCentre string
	Available  bool
}

// Dispatch is the placement of a group.
type Dispatch struct {
	Dispatcher string
	Copies     []string
}
