package cell

import (
	"time"

	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/node/view"
)

// RPCName is the name under which a VM serves the calls of this package.
const RPCName = "Cell"

// LendArgs asks a leader for a slot. Times are relative, since clocks differ.
type LendArgs struct {
	Service    string
	VM         string
	RequestID  string // of the caller, for the log
	DataCentre string
	Route      string
	Priority   int
	Idempotent bool
	Age        time.Duration // since the caller's request arrived
	Objective  time.Duration // left until the answer is worth less
	Deadline   time.Duration // left until nobody waits
	Key        int
	Repeat     bool
	Avoid      string
	Print      quarantine.Fingerprint
}

// after returns the same request some time later.
func (a LendArgs) after(waited time.Duration) LendArgs {
	a.Age, a.Objective, a.Deadline = a.Age+waited, a.Objective-waited, a.Deadline-waited
	return a
}

// TellArgs is the record of a cell that has got a new leader.
type TellArgs struct{ Record []view.Change }

// LendReply is the leader's decision.
type LendReply struct {
	Decision lending.Decision
	// Leads is false if the VM does not lead the cell; nothing was decided.
	// Moved is then the record of the cell, and Deputy the VM that acts for the
	// leader that it names, if the VM knows them.
	Leads  bool
	Moved  []view.Change
	Deputy *DeputyArgs
}

// ReturnArgs ends a loan.
type ReturnArgs struct {
	Service string
	Usage   lending.Usage
}

// SyncArgs tells a VM what the caller knows.
type SyncArgs struct {
	VM     string
	Known  view.Known
	Passes bool // asks for what the VM knows beyond that
}

// SyncReply is what the VM knows beyond that, if it was asked for.
type SyncReply struct {
	Boot  string
	Batch view.Batch
}
