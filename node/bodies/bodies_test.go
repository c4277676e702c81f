package bodies

import (
	"bytes"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/bodies"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testLimit = 8 << 20

func newBudget(limit int64) *Budget { return New(limit, hclog.NewNullLogger(), metrics.NewRegistry()) }

// pausing is a source that yields left bytes, at most piece at a time, and then blocks
// until it is interrupted, or ends if ends is set.
type pausing struct {
	left, piece int
	ends        bool
	interrupted chan struct{}
	once        sync.Once
}

func newPausing(left, piece int, ends bool) *pausing {
	return &pausing{left: left, piece: piece, ends: ends, interrupted: make(chan struct{})}
}

func (p *pausing) Read(b []byte) (int, error) {
	n := min(len(b), p.left, p.piece)
	if p.left -= n; n > 0 {
		return n, nil
	}
	if p.ends {
		return 0, io.EOF
	}
	<-p.interrupted
	return 0, io.ErrClosedPipe
}

func (p *pausing) interrupt() { p.once.Do(func() { close(p.interrupted) }) }

func (p *pausing) read(b *Budget, declared, limit int64) (*Body, error) {
	return b.Read(func(*Body) io.Reader { return p }, declared, limit, p.interrupt)
}

// Guards against bodies that change in their pieces, and against memory that is kept, for
// each way in which a body ends.
func TestBodyIsReadWhole(t *testing.T) {
	content := make([]byte, 3<<20)
	rand.New(rand.NewSource(1)).Read(content)
	for _, size := range []int{0, 1, minSegment - 1, minSegment, minSegment + 1, firstBytes, maxSegment + 1, len(content)} {
		for _, declared := range []int{size, -1, size + 1} {
			b := newBudget(testLimit)
			source := func(*Body) io.Reader { return bytes.NewReader(content[:size]) }
			body, err := b.Read(source, int64(declared), int64(size)+1, func() {})
			if declared > size {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			} else {
				require.NoError(t, err)
				assert.True(t, bytes.Equal(content[:size], bytes.Join(body.Pieces(), nil)))
				assert.True(t, bytes.Equal(content[:min(size, 5000)], body.Prefix(5000)))
				body.Release()
			}
			body.Release()
			assert.Zero(t, b.Used())
			assert.Zero(t, b.largeUsed.Load())
			if size == 0 {
				continue
			}
			_, err = b.Read(source, -1, int64(size)-1, func() {})
			assert.ErrorIs(t, err, ErrTooLarge)
			body, err = b.Read(source, -1, int64(size), func() {})
			assert.NoError(t, err, "a body of the limit")
			body.Release()
			assert.Zero(t, b.Used())
		}
	}
}

// Guards against a crowd of bodies that stop before their end and keep the memory from
// others, and against bodies that hold more than the budget.
func TestBodiesThatStopGiveUpTheirMemory(t *testing.T) {
	b := newBudget(testLimit)
	var wg sync.WaitGroup
	var gaveUp atomic.Int64
	var crowd []*pausing
	for range 20 {
		p := newPausing(1<<20-1, 32<<10, false)
		crowd = append(crowd, p)
		wg.Go(func() {
			if _, err := p.read(b, 1<<20, 1<<20); err == ErrNoMemory {
				gaveUp.Add(1)
			}
		})
	}
	time.Sleep(bodies.StallTime)
	assert.Eventually(t, func() bool {
		body, err := newPausing(4<<20, 32<<10, true).read(b, 4<<20, 4<<20)
		assert.LessOrEqual(t, b.Used(), int64(testLimit))
		body.Release()
		return err == nil
	}, 20*time.Second, time.Millisecond, "the body that makes progress gets no memory")
	assert.Positive(t, gaveUp.Load())
	for _, p := range crowd {
		p.interrupt()
	}
	wg.Wait()
	assert.Zero(t, b.Used())
	assert.Zero(t, b.leaving)
	assert.Empty(t, b.reading)
}

// Guards against bodies that all wait for the memory of the others: the first completes.
func TestContendingBodiesDoNotWaitForEachOther(t *testing.T) {
	b := newBudget(testLimit)
	var wg sync.WaitGroup
	var complete atomic.Int64
	for range 4 {
		p := newPausing(5<<20, 16<<10, true)
		wg.Go(func() {
			body, err := p.read(b, -1, 5<<20)
			if err != nil {
				assert.ErrorIs(t, err, ErrNoMemory)
				return
			}
			complete.Add(1)
			body.Release()
		})
	}
	wg.Wait()
	assert.Positive(t, complete.Load())
	assert.Zero(t, b.Used())
	assert.Zero(t, b.largeUsed.Load())
}

// Guards against answers that are lost because bodies without progress hold the memory,
// and against a body that takes the part of the budget that small bodies need.
func TestAnswersAndSmallBodiesFitBesideLargeOnes(t *testing.T) {
	b := newBudget(testLimit)
	large := newPausing(testLimit, 64<<10, false)
	done := make(chan error)
	go func() {
		_, err := large.read(b, testLimit, testLimit)
		done <- err
	}()
	require.Eventually(t, func() bool { return b.Used() >= testLimit/4*3-maxSegment }, time.Second, time.Millisecond)
	body, err := newPausing(firstBytes, 1<<10, true).read(b, -1, firstBytes)
	require.NoError(t, err)
	body.Release()
	assert.True(t, b.Reserve(testLimit/2), "the body that waits gives up for an answer")
	assert.False(t, b.Reserve(testLimit))
	b.Release(testLimit / 2)
	large.interrupt()
	assert.ErrorIs(t, <-done, ErrNoMemory)
	assert.Zero(t, b.Used())
}

// Guards against a budget of a VM with 144 MB that does not hold one body of the largest
// permitted size.
func TestBudgetOfSmallVMHoldsOneLargestBody(t *testing.T) {
	memory := 144.0 * 0.6 * 0.8 * (1 << 20)
	b := newBudget(int64(memory))
	assert.True(t, b.HoldsMaxBody())
	body, err := newPausing(MaxBodyBytes, 64<<10, true).read(b, -1, MaxBodyBytes)
	require.NoError(t, err)
	body.Release()
	assert.False(t, newBudget(60<<20).HoldsMaxBody())
}

// Guards against the answer of a request that has run, and is lost because a body that waits
// looks for memory right before it each time, although that body should give way.
func TestBodiesLeaveAnswersTheirTurns(t *testing.T) {
	b := newBudget(testLimit)
	large := newPausing(testLimit, 64<<10, false)
	done := make(chan error)
	go func() {
		_, err := large.read(b, testLimit, testLimit)
		done <- err
	}()
	require.Eventually(t, func() bool { return b.Used() >= testLimit/4*3-maxSegment }, time.Second, time.Millisecond)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { // takes all turns of bodies
		defer close(ended)
		for {
			b.mu.Lock()
			b.nextDecision[bodies.ForBody] = b.now() + pollInterval
			b.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(pollInterval / 4):
			}
		}
	}()
	assert.True(t, b.Reserve(testLimit/2))
	close(stop)
	<-ended
	b.Release(testLimit / 2)
	large.interrupt()
	assert.ErrorIs(t, <-done, ErrNoMemory)
}
