package logclient

import (
	"fmt"

	"github.com/pkg/errors"
)

// AppendError is a failed append.
type AppendError struct {
	// Unknown says that the append may have taken effect, now or later.
	Unknown bool
	// Status is the HTTP status, 0 when there was no answer.
	Status int
	Stream string
	Peer   string
	Err    error
}

// Error names the stream, the peer and what is known about the effect.
func (e *AppendError) Error() string {
	effect := "not appended"
	if e.Unknown {
		effect = "outcome unknown"
	}
	return fmt.Sprintf("append to stream %s at %s: %s: %v", e.Stream, e.Peer, effect, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// GoneError says that the records before First are no longer retained.
type GoneError struct{ First uint64 }

// Error names the first retained offset.
func (e *GoneError) Error() string {
	return fmt.Sprintf("offset is no longer retained; the first is %d", e.First)
}

// TooLargeError says that an answer was longer than Limit bytes.
type TooLargeError struct{ Limit int64 }

// Error names the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer is longer than %d bytes", e.Limit)
}

func statusError(status int, body []byte) error {
	return errors.Errorf("status %d: %.*q", status, maxErrorText, body)
}
