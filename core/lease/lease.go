// Package lease decides which shards a server may be granted. It is the
// manager's record of every server that may still hold a shard.
//
// Invariant: a shard is granted to a server only when no other server can
// still hold a valid grant for it.
package lease

import "time"

// Config holds the timing of leases.
type Config struct {
	Duration   time.Duration // of a lease, on the server's clock
	Renewal    time.Duration // time between two grants to a server
	DriftBound float64       // largest relative clock drift
	// TakeoverWait is how long a new manager assumes that grants of the
	// manager before it may still be valid at a server that does not answer.
	TakeoverWait time.Duration
}

// DefaultConfig returns the timing that the design page's budget rests on.
func DefaultConfig() Config {
	return Config{Duration: 1200 * time.Millisecond, Renewal: 200 * time.Millisecond,
		DriftBound: 0.01, TakeoverWait: 1220 * time.Millisecond}
}

// Shard identifies a shard.
type Shard struct {
	Service string
	Index   int
}

// Assignment is the durable assignment of a shard.
type Assignment struct {
	Shard    Shard
	Owner    string
	Standbys []string
	Fence    uint64
}

// Hold is a shard that a server holds, and its fence.
type Hold struct {
	Shard Shard
	Fence uint64
}

// Event is an input of Table.Step.
type Event interface{ event() }

// Assigned sets assignments that were read back from the log, or promotions.
// Absent shards keep theirs.
type Assigned struct{ Assignments []Assignment }

// ServerAdded makes a server known. Its service may have servers that check
// fences or not; this package grants alike to both.
type ServerAdded struct{ Server, Service string }

// ServerRemoved says that a server is no longer in the document. It stays a
// possible holder until its lease has certainly ended.
type ServerRemoved struct{ Server string }

// Reply is a server's answer to a grant. Only answers to grants of this table
// may be delivered; a server handles the grants of one term by sequence and
// takes no shards from an older one.
type Reply struct {
	Server   string
	Sequence uint64 // of the grant that it answers
	BootID   string
	// Clock is the server's clock reading when it answered.
	Clock time.Duration
	// Holds lists the shards whose lease is valid at Clock, including those
	// that are still busy after being left out of a grant.
	Holds []Hold
	// Highest is the highest fence that the server has ever held, by shard.
	Highest []Hold
	// Refused says that the server knows a higher term.
	Refused bool
}

// Blocked says that a shard must not be granted to a new owner yet, because a
// VM may still send to the old owner; false lifts this. Used for servers that
// do not check fences.
type Blocked struct {
	Shard   Shard
	Blocked bool
}

// Tick lets time pass.
type Tick struct{}

func (Assigned) event()      {}
func (ServerAdded) event()   {}
func (ServerRemoved) event() {}
func (Reply) event()         {}
func (Blocked) event()       {}
func (Tick) event()          {}

// Action is an output of Table.Step.
type Action interface{ action() }

// Grant is to be sent to a server. It replaces the set of shards that the
// server holds; an empty set asks only for the server's clock and holds.
type Grant struct {
	Server   string
	Sequence uint64
	// Echo is the server's own clock reading that the lease counts from; 0
	// when it is not known yet, and then Shards is empty.
	Echo     time.Duration
	Duration time.Duration
	Shards   []Hold
	// BootID is the boot in which the server read Echo. A server of another
	// boot takes no shards from the grant, because it no longer knows which
	// grants it had refused or released.
	BootID string
}

// Granted says that a server confirmed a shard: requests may go to it.
type Granted struct {
	Shard  Shard
	Server string
	Fence  uint64
}

// Withdrawn says that requests for a shard must not go to the server any more:
// it is being moved, or the server's lease ended.
type Withdrawn struct {
	Shard  Shard
	Server string
}

// Lost says that a server did not answer until its lease ended.
type Lost struct{ Server string }

// Restarted says that a server answered with another boot id: it holds nothing
// and is cold.
type Restarted struct{ Server, BootID string }

// FenceStale says that a shard's assignment is not granted, because a server
// has held the shard under the fence Highest or a higher one was reported. A
// new assignment with a higher fence lifts this.
type FenceStale struct {
	Shard   Shard
	Highest uint64
}

func (Grant) action()      {}
func (Granted) action()    {}
func (Withdrawn) action()  {}
func (Lost) action()       {}
func (Restarted) action()  {}
func (FenceStale) action() {}
