package view

// The position of a record in a log holds, in its upper bits, the era of the store in
// which the record was read and, in the lower ones, its offset. The store begins a new era
// when it is restored from an older copy: what was written since the copy is lost, and
// its offsets are given out again. Positions rise across eras, and so do the fencing
// tokens that derive from them.

// offsetBits is the number of bits of the offset in a position. The rest leaves 8,191
// eras in which a position is an exact number in JSON, as targets may decode it.
const offsetBits = 40

// firstEra is the highest era of a store that was never restored.
const firstEra = 1

// MaxEra and MaxOffset are the largest era and offset that a position can hold.
const (
	MaxEra    = 1<<(53-offsetBits) - 1
	MaxOffset = 1<<offsetBits - 1
)

// PositionOf returns the position of the record at an offset in an era.
func PositionOf(era, offset int64) int64 { return era<<offsetBits | offset }

// Era returns the era of a position.
func Era(position int64) int64 { return position >> offsetBits }

// RawOffset returns the offset that the store gave to the record at a position.
func RawOffset(position int64) int64 { return position & MaxOffset }
