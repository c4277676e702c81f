package bodies

import (
	"io"
	"sync/atomic"

	"github.com/mangogate/mangogate/core/bodies"
	"github.com/pkg/errors"
)

const (
	// minSegment is the size in bytes of the first piece of a body of unknown length. Each
	// further piece is twice as large, up to maxSegment.
	minSegment = 4 << 10
	maxSegment = 256 << 10
)

// ErrTooLarge is returned when a body is longer than permitted.
var ErrTooLarge = errors.New("the body is longer than permitted")

// Body is the body of a caller's request. It is kept in pieces, so that no buffer is
// copied to a larger one while it grows.
type Body struct {
	budget    *Budget
	interrupt func() // makes a Read of the source fail
	gaveUp    atomic.Bool
	pieces    [][]byte
	length    int64
	large     int64 // part of state.Held that counts as large
	unmarked  int64 // bytes since state.Progress
	released  bool
	state     bodies.Body // guarded by budget.mu
}

// Read reads a body that ends within limit bytes. declared is its length, or negative if
// it is unknown. interrupt is called, maybe by another goroutine, when the body has to give
// up its memory, and must make a Read of source fail; a source that begins a Read later has
// to check GaveUp of the body that began receives first. Release must be called whatever
// the error is.
func (b *Budget) Read(source func(*Body) io.Reader, declared, limit int64, interrupt func()) (*Body, error) {
	now := b.now()
	body := &Body{budget: b, interrupt: interrupt, state: bodies.Body{Started: now, Progress: now}}
	b.mu.Lock()
	b.reading[body] = struct{}{}
	b.mu.Unlock()
	err := body.fill(source(body), declared, limit)
	b.mu.Lock()
	delete(b.reading, body) // from now on it cannot be chosen
	if body.gaveUp.Load() {
		err = ErrNoMemory
	}
	b.mu.Unlock()
	if err != nil {
		body.Release()
	}
	return body, err
}

// GaveUp reports whether the body has to give up its memory.
func (b *Body) GaveUp() bool { return b.gaveUp.Load() }

// fill reads the body to its end.
func (b *Body) fill(r io.Reader, declared, limit int64) error {
	for size := int64(minSegment); ; size = min(2*size, maxSegment) {
		left := limit - b.length
		if declared >= 0 {
			if left = declared - b.length; left == 0 {
				return nil
			}
			if b.length == 0 {
				size = max(size, min(declared, firstBytes))
			}
		}
		if left == 0 {
			return expectEnd(r)
		}
		piece, err := b.grow(min(size, left))
		if err != nil {
			return err
		}
		n, err := b.readInto(r, piece)
		b.pieces = append(b.pieces, piece[:n])
		b.length += int64(n)
		switch {
		case err == io.EOF && declared >= 0 && b.length < declared:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// expectEnd returns ErrTooLarge unless the source has ended.
func expectEnd(r io.Reader) error {
	var one [1]byte
	switch n, err := io.ReadFull(r, one[:]); {
	case n > 0:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

// grow takes n bytes from the budget and returns a piece of that size.
func (b *Body) grow(n int64) ([]byte, error) {
	large := n - max(0, min(n, firstBytes-b.length))
	if err := b.budget.reserve(b, n, large); err != nil {
		return nil, err
	}
	b.budget.mu.Lock()
	b.state.Held += n
	if b.gaveUp.Load() {
		b.budget.leaving += n // giveUp did not know of it
	}
	b.budget.mu.Unlock()
	b.large += large
	return make([]byte, n), nil
}

// readInto reads until the piece is full or an error occurs, and records progress.
func (b *Body) readInto(r io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = r.Read(piece[n:])
		n += read
		if b.unmarked += int64(read); b.unmarked >= bodies.ProgressBytes {
			b.unmarked = 0
			now := b.budget.now()
			b.budget.mu.Lock()
			b.state.Progress = now
			b.budget.mu.Unlock()
		}
	}
	return n, err
}

// Pieces returns the bytes of the body, in order. A nil body has none.
func (b *Body) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// Len returns the number of bytes of the body; 0 for a nil body.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Prefix returns the first bytes of the body, at most n.
func (b *Body) Prefix(n int) []byte {
	var out []byte
	for _, p := range b.Pieces() {
		if len(out) == 0 && len(p) >= n {
			return p[:n]
		}
		if out = append(out, p[:min(len(p), n-len(out))]...); len(out) == n {
			break
		}
	}
	return out
}

// Release ends the use of the body. Further calls have no effect.
func (b *Body) Release() {
	if b == nil || b.released {
		return
	}
	b.released, b.pieces = true, nil
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.gaveUp.Load() {
		b.budget.leaving -= b.state.Held
	}
	b.budget.remove(b.state.Held, b.large)
	b.state.Held = 0
	b.budget.wake()
}
