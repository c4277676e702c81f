package connhealth

import "time"

// ConnID identifies a connection. An id is never used again.
type ConnID uint64

// Event is something that happened to a connection or to an attempt to open one.
type Event interface{ event() }

// Opened reports a new connection.
type Opened struct {
	Conn      ConnID
	Peer      string
	StartedAt time.Duration // when the attempt to open it began
}

// OpenFailed reports that a connection could not be opened in time.
type OpenFailed struct {
	Peer      string
	StartedAt time.Duration
}

// Sent reports that a request is about to be written.
type Sent struct{ Conn ConnID }

// Answered reports a whole answer. The connection is idle afterwards.
type Answered struct{ Conn ConnID }

// TimedOut reports that an answer did not arrive in time.
type TimedOut struct{ Conn ConnID }

// Broken reports that the connection was closed or reset by the other side.
type Broken struct{ Conn ConnID }

// Closed reports that this side closed a connection, for example after Close.
type Closed struct{ Conn ConnID }

// Forget drops a peer that was removed from the configuration.
type Forget struct{ Peer string }

// Tick passes time: idle connections end, and failed peers are tried again.
type Tick struct{}

func (Opened) event()     {}
func (OpenFailed) event() {}
func (Sent) event()       {}
func (Answered) event()   {}
func (TimedOut) event()   {}
func (Broken) event()     {}
func (Closed) event()     {}
func (Forget) event()     {}
func (Tick) event()       {}

// Action is something for the shell to do.
type Action interface{ action() }

// Close closes a connection; it must not be used again. Requests in flight on
// it end with their outcome unknown.
type Close struct{ Conn ConnID }

// Dial opens a new connection to a peer and reports Opened or OpenFailed.
type Dial struct{ Peer string }

// Probe sends a harmless request (a load report) on a connection and reports
// Sent, and Answered or TimedOut. Opening alone proves nothing: the kernel of a
// frozen process still accepts connections.
type Probe struct{ Conn ConnID }

// PeerFailed reports that a new connection to a peer failed too.
type PeerFailed struct{ Peer string }

// PeerRecovered reports that a failed peer answered on a new connection.
type PeerRecovered struct{ Peer string }

func (Close) action()         {}
func (Dial) action()          {}
func (Probe) action()         {}
func (PeerFailed) action()    {}
func (PeerRecovered) action() {}
