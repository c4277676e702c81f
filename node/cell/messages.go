package cell

import (
	"time"

	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/node/view"
)

// RPCName is the name under which a VM serves the RPCs of this package.
const RPCName = "Cell"

// LendArgs asks a leader for a slot. Times are relative to when it is sent, because
// the clocks of VMs differ.
type LendArgs struct {
	Service    string
	VM         string
	RequestID  string // the caller's id of the request, for the log
	DataCentre string
	Route      string
	Priority   int
	Idempotent bool
	Age        time.Duration          // time since the caller's request arrived
	Objective  time.Duration          // time left until the answer is worth less
	Deadline   time.Duration          // time left until nobody waits for the answer
	Key        int                    // lending.NoKey if the request has none
	Repeat     bool                   // the request was sent to a target before
	Avoid      string                 // target that failed the request, or ""
	Print      quarantine.Fingerprint // identifies the request to the quarantine
	// SentAt is when the call was sent, by the leader's clock as its earlier answers tell
	// it; 0 if unknown, and from VMs of earlier versions, which do not give up a silent
	// leader.
	SentAt time.Duration
	// Leaving are the targets of the service that the sender knows to leave.
	Leaving []view.Announcement
}

// after returns the request with its times adjusted for having waited.
func (a LendArgs) after(waited time.Duration) LendArgs {
	a.Age, a.Objective, a.Deadline = a.Age+waited, a.Objective-waited, a.Deadline-waited
	return a
}

// TellArgs passes on the record of a cell that has a new leader.
type TellArgs struct{ Record []view.Change }

// LendReply is the leader's decision on a LendArgs.
type LendReply struct {
	Decision lending.Decision
	// Leads is false if the VM that was asked does not lead the cell and so decided
	// nothing. Moved is then the newest record of the cell that the VM knows, and
	// Deputy the deputy of the leader named there; both are empty if unknown.
	Leads  bool
	Moved  []view.Change
	Deputy *DeputyArgs
	// Clock is the reading of the clock of the VM that answers; see LendArgs.SentAt.
	Clock time.Duration
}

// ReturnArgs returns a slot to the leader that lent it.
type ReturnArgs struct {
	Service string
	Usage   lending.Usage
	Leaving []view.Announcement // as in LendArgs
}

// SyncArgs is a heartbeat. If Passes is set, it also asks for what the called VM knows
// beyond Known.
type SyncArgs struct {
	VM     string
	Known  view.Known
	Passes bool
}

// SyncReply names the process that answers. Batch is empty unless Passes was set.
type SyncReply struct {
	Boot  string
	Batch view.Batch
}
