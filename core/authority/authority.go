// Package authority decides which VM may act as manager. It is a pure state
// machine: messages and clock readings in, messages out.
//
// Invariant: at no instant do two nodes act, as long as clocks drift by no
// more than Config.DriftBound.
package authority

import "time"

// Config holds the timing of one cell. All members use the same values.
type Config struct {
	Self      string        // VM name
	Promise   time.Duration // how long a supporter stands by a term
	Heartbeat time.Duration // time between two heartbeats of a manager
	// CampaignTimeout is the time after which a candidate gives its term up.
	CampaignTimeout time.Duration
	// CampaignBackoff bounds the random wait after a failed campaign.
	CampaignBackoff time.Duration
	// Stagger is the extra wait for each slot of distance from the slot of the last term.
	Stagger time.Duration
	// DriftBound is the largest relative clock drift, such as 0.01.
	DriftBound float64
}

// DefaultConfig returns the timing that the design page's budget rests on.
func DefaultConfig(self string) Config {
	return Config{
		Self: self, Promise: time.Second, Heartbeat: 200 * time.Millisecond,
		CampaignTimeout: 400 * time.Millisecond, CampaignBackoff: 400 * time.Millisecond,
		Stagger: 50 * time.Millisecond, DriftBound: 0.01,
	}
}

// Event is an input of Node.Step.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// MembersChanged replaces the members; index is the slot. Slot term % len may hold a term.
type MembersChanged struct{ Members []string }

// TermSeen reports a term opened in the control log.
type TermSeen struct{ Term uint64 }

// VersionSeen reports the version of the assignments that this node has
// replayed. A node supports no new term of a candidate that has replayed less:
// with the log down, a manager that missed a granted assignment could not know
// its holder.
type VersionSeen struct{ Version uint64 }

// Received delivers a message from another member.
type Received struct {
	From    string
	Message Message
}

// ClockJumped reports that this VM was paused: every promise given to it and
// its own term end at once, and it supports nobody for one promise.
type ClockJumped struct{}

// Resign gives up the own term and releases the supporters; used on a planned
// stop. A node that resigned campaigns no more.
type Resign struct{}

// StepDown gives up the own term and releases the supporters, so that another
// member takes over. Unlike after Resign, the node campaigns again in its turn.
type StepDown struct{ Reason string }

func (Tick) event()           {}
func (MembersChanged) event() {}
func (TermSeen) event()       {}
func (VersionSeen) event()    {}
func (Received) event()       {}
func (ClockJumped) event()    {}
func (Resign) event()         {}
func (StepDown) event()       {}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	KindProbe      Kind = iota + 1 // asks whether support would be given; no effect
	KindProbeReply                 // answers KindProbe
	KindHeartbeat                  // asks for support, or renews it
	KindHeartbeatReply
	KindRelease // the manager or candidate of the term gives it up
)

// Message travels between members.
type Message struct {
	Kind Kind
	Term uint64
	// SentAt is the sender's clock reading; a reply echoes that of the request.
	SentAt time.Duration
	// Supported is set in replies: support is, or would be, given.
	Supported bool
	// HighestTerm is set in replies: the highest term that the replier knows.
	HighestTerm uint64
	// Incarnation is a random number of the requesting process; a reply echoes
	// it. SentAt alone does not tell a reply to an earlier process of the same
	// VM apart, because its clock may have started elsewhere.
	Incarnation uint64
	// Version is set in requests: the version of the assignments that the
	// sender has replayed.
	Version uint64
}

// Action is an output of Node.Step.
type Action interface{ action() }

// Send sends a message to another member.
type Send struct {
	To      string
	Message Message
}

// Acquired says that this node acts as manager of the term from now on.
type Acquired struct{ Term uint64 }

// Lost says that this node acts no more. Support may have ended before this
// action: callers ask Node.Acting immediately before each effect.
type Lost struct {
	Term   uint64
	Reason string
}

func (Send) action()     {}
func (Acquired) action() {}
func (Lost) action()     {}
