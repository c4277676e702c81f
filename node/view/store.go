package view

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Any other error means that the store could not be reached or
// did not do what was asked.
var (
	// ErrHistoryGone means that the store has deleted the record at which Read was to
	// start. Newest has to be used instead.
	ErrHistoryGone = errors.New("the store has deleted records at the offset")
	// ErrConflict means that nothing was appended because the log does not end at
	// the expected offset.
	ErrConflict = errors.New("the log has grown since it was last read")
	// ErrOutcomeUnknown means that the outcome of an append is unknown: the store
	// may have carried it out or may do so later.
	ErrOutcomeUnknown = errors.New("the store did not acknowledge the append")
	// ErrRefused means that the store refused the call and did nothing.
	ErrRefused = errors.New("the store refused the call")
)

// AnyOffset is the expected end for an unconditional append.
const AnyOffset = -1

// Store is the durable storage service that keeps the logs.
type Store interface {
	// Newest returns the newest value of each key of a log, and the end of the log.
	Newest(ctx context.Context, l Log) (changes []Change, end int64, err error)
	// Read returns the records of a log from an offset on, and the offset after the
	// last of them. If there are none, it waits at most wait for the next record.
	Read(ctx context.Context, l Log, from int64, wait time.Duration) (changes []Change, end int64, err error)
	// Append appends a record to the log System and returns its offset, on condition
	// that the log ends at end or end is AnyOffset. A change without a value removes
	// the key.
	Append(ctx context.Context, c Change, end int64) (offset int64, err error)
}
