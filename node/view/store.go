package view

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Others mean that the store could not be reached or did
// not do what was asked.
var (
	// ErrHistoryGone means that records after the offset were deleted.
	ErrHistoryGone = errors.New("the store no longer has records at the offset")
	// ErrConflict means that the log does not end at the expected offset, and
	// that nothing was appended.
	ErrConflict = errors.New("the log has grown since it was read")
	// ErrUnknown means that the append may have been done, or may be done later.
	ErrUnknown = errors.New("the store did not answer the append")
	// ErrRefused means that the store turned the call away and did nothing.
	ErrRefused = errors.New("the store turned the call away")
)

// Anywhere is the expected end of appends that may go behind any record.
const Anywhere = -1

// Store is the service that keeps what must last.
type Store interface {
	// Newest returns the newest value of each key of a log.
	Newest(ctx context.Context, l Log) (changes []Change, end int64, err error)
	// Read returns the records of a log from an offset. If there are none it
	// waits for some up to a time.
	Read(ctx context.Context, l Log, from int64, wait time.Duration) (changes []Change, end int64, err error)
	// Append adds a record to the log System if the log ends at an offset, or
	// anywhere. A change without a value removes the key.
	Append(ctx context.Context, c Change, end int64) (offset int64, err error)
}
