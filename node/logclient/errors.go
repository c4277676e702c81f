package logclient

import (
	"fmt"

	"github.com/pkg/errors"
)

// AppendError is the error of an append that failed or whose outcome is unknown.
type AppendError struct {
	// Unknown says that the record may have been stored or may still be stored. If it
	// is false, the record is certainly not stored.
	Unknown bool
	// Status is the HTTP status of the reply, 0 if there was none.
	Status int
	Stream string
	Peer   string
	Err    error
}

func (e *AppendError) Error() string {
	outcome := "not appended"
	if e.Unknown {
		outcome = "outcome unknown"
	}
	return fmt.Sprintf("append to stream %s at %s: %s: %v", e.Stream, e.Peer, outcome, e.Err)
}

func (e *AppendError) Unwrap() error { return e.Err }

// GoneError says that the records before First are no longer retained.
type GoneError struct{ First uint64 }

func (e *GoneError) Error() string {
	return fmt.Sprintf("offset is no longer retained; the first retained offset is %d", e.First)
}

// TooLargeError says that the body of a reply was longer than Limit bytes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("reply is longer than %d bytes", e.Limit)
}

// statusError returns an error with an HTTP status and the start of the reply's body.
func statusError(status int, body []byte) error {
	return errors.Errorf("status %d: %.*q", status, maxErrorText, body)
}
