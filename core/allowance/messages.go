package allowance

import "time"

// Report is sent by a spender to the VM whose granter it uses.
type Report struct {
	VM, Process string
	Number      uint64 // grows with each report of the process
	// Granter is the granter that the report is for, if the spender has heard from it, and
	// Echo the time in its last reply. If Supports is set, the granter may count on the share
	// of the VM for supportTime from Echo on.
	Granter  string
	Echo     time.Duration
	Supports bool
	// Leaves ends the support for Granter.
	Leaves bool
	Wants  []Want
}

// Want is what a spender needs of one workspace.
type Want struct {
	Workspace string
	Waiting   int // tokens for requests that wait
	Ahead     int // tokens for the requests of the next interval
	Returned  []Returned
}

// Returned are unused tokens of a lease.
type Returned struct {
	Lease  uint64 // number of the report that it was granted for
	Tokens int
}

// Reply answers a Report.
type Reply struct {
	Granter string        // "" if the VM has no granter
	At      time.Duration // reading of the granter's clock
	Number  uint64        // of the report
	Left    bool          // the granter that the report named will not count on the VM any more
	Grants  []Grant
}

// Grant leases tokens of one workspace.
type Grant struct {
	Workspace string
	Tokens    int
	// RoomIn is when there is room again if Tokens is less than what was wanted, and Spacing
	// the time between the requests for which there is room from then on.
	RoomIn, Spacing time.Duration
}
