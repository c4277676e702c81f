// Package authority elects the VM that may act as manager (the leader) of a
// cluster. A candidate needs promises of support for its term from a majority of
// the members, and keeps them with heartbeats. The package is a pure state
// machine: its inputs are events and clock readings, its outputs are actions.
//
// Invariant: no two nodes act as manager at the same instant, as long as clocks
// drift by no more than Config.DriftBound.
package authority

import "time"

// Config holds the timing of one cluster. All members use the same values.
type Config struct {
	Self      string        // VM name
	Promise   time.Duration // how long a member supports a term after its last heartbeat
	Heartbeat time.Duration // interval between the heartbeats of a manager
	// CampaignTimeout is how long a candidate without a majority keeps its term.
	CampaignTimeout time.Duration
	// CampaignBackoff is the longest random delay before a node campaigns again
	// after it gave up a term.
	CampaignBackoff time.Duration
	// Stagger is the delay of a node's campaign per slot of distance from the slot
	// of the highest known term, so that members campaign one after another.
	Stagger time.Duration
	// DriftBound is the largest drift of a clock relative to real time; 0.01 is 1 %.
	DriftBound float64
}

// DefaultConfig returns the timing that the time budget in docs/design.md assumes.
func DefaultConfig(self string) Config {
	return Config{
		Self: self, Promise: time.Second, Heartbeat: 200 * time.Millisecond,
		CampaignTimeout: 400 * time.Millisecond, CampaignBackoff: 400 * time.Millisecond,
		Stagger: 50 * time.Millisecond, DriftBound: 0.01,
	}
}

// Event is an input of Node.Step.
type Event interface{ event() }

// Tick runs what is due at the current time.
type Tick struct{}

// MembersChanged replaces the list of members. A member's index is its slot; only
// the member in slot term % len(Members) may hold a term.
type MembersChanged struct{ Members []string }

// TermSeen reports a term that was opened in the control log.
type TermSeen struct{ Term uint64 }

// VersionSeen reports the version of the assignments that this node has
// replayed. A node does not support a new term of a candidate that has replayed
// an older version: while the log is unavailable, a manager that lacks a granted
// assignment cannot learn its holder.
type VersionSeen struct{ Version uint64 }

// Received delivers a message from another member.
type Received struct {
	From    string
	Message Message
}

// ClockJumped reports that this VM was paused. The node gives up its own term at
// once; for Config.Promise, it neither supports a node nor campaigns.
type ClockJumped struct{}

// Resign gives up the node's own term and releases its supporters, for a planned
// stop. A node that has resigned does not campaign again.
type Resign struct{}

// StepDown gives up the node's own term and releases its supporters, so that
// another member takes over. Unlike after Resign, the node may campaign again.
type StepDown struct{ Reason string }

func (Tick) event()           {}
func (MembersChanged) event() {}
func (TermSeen) event()       {}
func (VersionSeen) event()    {}
func (Received) event()       {}
func (ClockJumped) event()    {}
func (Resign) event()         {}
func (StepDown) event()       {}

type Kind uint8

const (
	KindProbe          Kind = iota + 1 // asks whether support would be given; does not change the receiver's promise
	KindProbeReply                     // answers KindProbe
	KindHeartbeat                      // asks for support or for its renewal
	KindHeartbeatReply                 // answers KindHeartbeat
	KindRelease                        // sent by a manager or candidate that gives up its term
)

type Message struct {
	Kind Kind
	Term uint64
	// SentAt is the sender's clock reading; a reply echoes that of the request.
	SentAt time.Duration
	// Supported is set in replies: whether support is given (KindHeartbeatReply)
	// or would be given (KindProbeReply).
	Supported bool
	// HighestTerm is set in replies: the highest term known to the replier.
	HighestTerm uint64
	// Incarnation is a random number that identifies the sending process; a reply
	// echoes that of the request. SentAt does not distinguish replies to an earlier
	// process of the same VM, because clock readings of two processes are unrelated.
	Incarnation uint64
	// Version is set in requests for support: the version of the assignments that
	// the sender has replayed.
	Version uint64
}

// Action is an output of Node.Step.
type Action interface{ action() }

type Send struct {
	To      string
	Message Message
}

// Acquired reports that this node acts as manager of the term from now on.
type Acquired struct{ Term uint64 }

// Lost reports that this node no longer acts as manager. Its support may have
// expired before this action is returned, so callers must check Node.Acting
// immediately before each effect.
type Lost struct {
	Term   uint64
	Reason string
}

func (Send) action()     {}
func (Acquired) action() {}
func (Lost) action()     {}
