// Package lease decides which shards may be granted to which server. It keeps
// the manager's record of every server that may still hold a lease on a shard.
//
// Invariant: a shard is granted to a server only when no other server can still
// hold a valid lease on the shard.
package lease

import "time"

// Config holds the timing of leases.
type Config struct {
	Duration   time.Duration // of a lease, on the server's clock
	Renewal    time.Duration // time between grants to a server; a change can send one earlier
	DriftBound float64       // highest relative clock drift; 0.01 is 1%
	// TakeoverWait is how long a new manager assumes that a server that has not
	// answered may hold leases from previous managers. The table waits longer if a
	// lease can last longer under DriftBound.
	TakeoverWait time.Duration
}

// DefaultConfig returns the timing that the documented failover times assume.
func DefaultConfig() Config {
	return Config{Duration: 1200 * time.Millisecond, Renewal: 200 * time.Millisecond,
		DriftBound: 0.01, TakeoverWait: 1220 * time.Millisecond}
}

// Shard identifies a shard.
type Shard struct {
	Service string
	Index   int
}

// Assignment is the durable assignment of a shard. Owner is empty if the shard
// has no owner.
type Assignment struct {
	Shard    Shard
	Owner    string
	Standbys []string
	Fence    uint64
}

// Hold is a shard and the fencing token with which a server holds it.
type Hold struct {
	Shard Shard
	Fence uint64
}

// Event is an input of Table.Step.
type Event interface{ event() }

// Assigned sets assignments: those read from the log, and promotions of standbys
// and raised fencing tokens before they are logged. Shards that are not listed
// keep their assignment.
type Assigned struct{ Assignments []Assignment }

// ServerAdded says that a server is in the configuration document. Its service
// need not check fencing tokens: leases are granted in the same way.
type ServerAdded struct{ Server, Service string }

// ServerRemoved says that a server is no longer in the configuration document.
// The server remains a possible holder of its shards until its leases have ended
// on any clock within the drift bound.
type ServerRemoved struct{ Server string }

// Reply is a server's answer to a grant of this table; the caller must pass no
// others. Within a term, a server accepts no shards from a grant with a lower
// sequence than one that it has received.
type Reply struct {
	Server   string
	Sequence uint64 // of the grant that this reply answers
	BootID   string
	// Clock is the server's clock reading when it answered.
	Clock time.Duration
	// Holds lists the shards whose lease is valid at Clock. It includes shards
	// that the last grant omitted but that still have requests in flight.
	Holds []Hold
	// Highest lists the highest fencing token that the server has ever held for
	// each shard.
	Highest []Hold
	// Refused says that the server rejected the grant because it knows a higher
	// term or a newer grant.
	Refused bool
}

// Blocked says whether a shard must not be granted to a new owner yet, because a
// VM may still send requests to the old owner. It is used for servers that do
// not check fencing tokens.
type Blocked struct {
	Shard   Shard
	Blocked bool
}

// Tick says that time has passed. The caller must send it regularly, because only
// Tick removes ended leases and renews grants.
type Tick struct{}

func (Assigned) event()      {}
func (ServerAdded) event()   {}
func (ServerRemoved) event() {}
func (Reply) event()         {}
func (Blocked) event()       {}
func (Tick) event()          {}

// Action is an output of Table.Step.
type Action interface{ action() }

// Grant is a message for the caller to send to a server. Its shards replace the
// set of shards that the server holds. A grant with Echo 0 changes no shards and
// asks only for the server's clock reading and holds.
type Grant struct {
	Server   string
	Sequence uint64
	// Echo is the reading of the server's clock at which the lease begins. If no
	// recent reading is known, it is 0 and Shards is empty.
	Echo     time.Duration
	Duration time.Duration
	Shards   []Hold
	// BootID identifies the server process that reported Echo. A process with
	// another boot id accepts no shards from the grant, because it does not know
	// which grants the earlier process refused and which shards it released.
	BootID string
}

// Granted says that a server confirmed that it holds a shard: requests for the
// shard may be sent to the server.
type Granted struct {
	Shard  Shard
	Server string
	Fence  uint64
}

// Withdrawn says that requests for a shard must no longer be sent to a server: the
// shard is being moved, the server was removed, or it no longer holds the shard.
type Withdrawn struct {
	Shard  Shard
	Server string
}

// Lost says that a server has not answered for as long as a lease can last on
// any clock within the drift bound.
type Lost struct{ Server string }

// Restarted says that a server answered with another boot id: the new process
// holds no leases and starts with cold caches. This withdraws all shards of the
// server, without a Withdrawn for each.
type Restarted struct{ Server, BootID string }

// FenceStale says that a shard's assignment cannot be granted, because its
// fencing token is below Highest, or equals Highest and belongs to another
// server. The shard can be granted after an assignment with a higher token.
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
