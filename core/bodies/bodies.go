// Package bodies decides which request body gives up its memory when the bodies that a
// process reads from callers do not fit into their budget together.
//
// The load pattern is many large bodies at once, most of which stop before their end.
package bodies

import "time"

const (
	// StallTime is how long a body may be without progress before it gives up its memory to
	// another one. It is longer than the first retransmissions of a lost TCP segment take.
	StallTime = time.Second
	// ProgressBytes is how many bytes count as progress. A caller that sends single bytes
	// does not keep its memory by them.
	ProgressBytes = 4 << 10
	// ContentionTime is how long a body waits for memory before one that has stopped only
	// for lack of memory gives up. Requests that are complete may release theirs meanwhile.
	ContentionTime = 500 * time.Millisecond
)

// Body is a body that is being read. Times are clock readings.
type Body struct {
	Held     int64         // bytes of memory
	Started  time.Duration // when its first byte was expected
	Progress time.Duration // when ProgressBytes more had last arrived
	Waiting  bool          // for memory, so that it cannot make progress
}

// Need is what memory is needed for.
type Need int

const (
	ForBody Need = iota
	ForAnswer
)

// GivesUp returns the index of the body that gives up its memory, or -1 if none does yet.
// waited is how long the body or answer that needs memory has waited. Of the bodies without
// progress it is the one that holds most, so that few have to give up. If all bodies that
// hold memory wait for more, it is the one that started last, so that the first one
// completes. An answer does not wait for bodies that make progress, because its request has
// been run.
func GivesUp(bodies []Body, need Need, now, waited time.Duration) int {
	stalled, last, waiting, progress := -1, -1, 0, false
	for i, b := range bodies {
		if b.Waiting {
			waiting++
		} else if b.Held == 0 {
			continue
		} else if now-b.Progress < StallTime {
			progress = true // its memory will be released
		} else if stalled < 0 || b.Held > bodies[stalled].Held {
			stalled = i
		}
		if last < 0 || b.Started > bodies[last].Started {
			last = i
		}
	}
	switch {
	case stalled >= 0:
		return stalled
	case waited >= ContentionTime && (need == ForAnswer || !progress && waiting > 1):
		return last
	}
	return -1
}

// First returns the index of the body that gets memory before others that wait, or -1 if
// none waits: the one that started first, because the others can only follow it.
func First(bodies []Body) int {
	first := -1
	for i, b := range bodies {
		if b.Waiting && (first < 0 || b.Started < bodies[first].Started) {
			first = i
		}
	}
	return first
}
