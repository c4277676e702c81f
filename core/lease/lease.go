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
	Renewal    time.Duration // time between two grants to a server
	DriftBound float64       // highest relative clock drift; 0.01 is 1%
	// TakeoverWait is how long a new manager assumes that leases granted by the
	// previous manager may still be valid on a server that does not answer. The
	// table waits longer if a lease can last longer under DriftBound.
	TakeoverWait time.Duration
}

// DefaultConfig returns the timing that the failover time budget of the design
// page is based on.
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

// Hold is a shard that a server holds a lease on, and the fencing token.
type Hold struct {
	Shard Shard
	Fence uint64
}

// Event is an input of Table.Step.
type Event interface{ event() }

// Assigned sets assignments that were read back from the log, and promotions of
// standbys. Shards that are not listed keep their assignment.
type Assigned struct{ Assignments []Assignment }

// ServerAdded says that a server is in the configuration document. Leases are
// granted in the same way whether or not the servers of the service check
// fencing tokens.
type ServerAdded struct{ Server, Service string }

// ServerRemoved says that a server is no longer in the configuration document.
// The server remains a possible holder of its shards until its leases have ended
// on any clock within the drift bound.
type ServerRemoved struct{ Server string }

// Reply is a server's answer to a grant. The caller must pass only replies to
// grants of this table. Within a term, a server applies grants in order of their
// sequence: it accepts no shards from a grant that is older than one that it
// applied.
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
	// term.
	Refused bool
}

// Blocked says whether a shard must not be granted to a new owner yet, because a
// VM may still send requests to the old owner. It is used for servers that do
// not check fencing tokens.
type Blocked struct {
	Shard   Shard
	Blocked bool
}

// Tick says only that time has passed. The caller must send it regularly: leases
// expire and grants are renewed on it.
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
// set of shards that the server holds. A grant with Echo 0 changes nothing
// and asks only for the server's clock reading and holds.
type Grant struct {
	Server   string
	Sequence uint64
	// Echo is the server's own clock reading from which the lease duration
	// counts. It is 0 when no recent reading is known; Shards is empty then.
	Echo     time.Duration
	Duration time.Duration
	Shards   []Hold
	// BootID identifies the server process that reported Echo. A process with
	// another boot id accepts no shards from the grant, because after a restart
	// the server no longer knows which grants it has refused or released.
	BootID string
}

// Granted says that a server confirmed that it holds a shard: requests for the
// shard may be sent to the server.
type Granted struct {
	Shard  Shard
	Server string
	Fence  uint64
}

// Withdrawn says that requests for a shard must no longer be sent to a server,
// because the shard is being moved or the server's lease ended.
type Withdrawn struct {
	Shard  Shard
	Server string
}

// Lost says that a server has not answered for as long as a lease can last on
// any clock within the drift bound.
type Lost struct{ Server string }

// Restarted says that a server answered with another boot id: the new process
// holds no leases and starts with cold caches.
type Restarted struct{ Server, BootID string }

// FenceStale says that a shard's assignment cannot be granted, because its
// fencing token is below Highest, or equals Highest and another server has held
// the shard with it. A new assignment with a higher token can be granted.
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
