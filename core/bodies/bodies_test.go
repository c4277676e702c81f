package bodies

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	now    = 10 * time.Second
	recent = now - StallTime/2
	old    = now - 2*StallTime
)

// Guards against a body that makes progress and gives up although others do not.
func TestBodyWithoutProgressGivesUpFirst(t *testing.T) {
	crowd := []Body{
		{Held: 60, Started: recent, Progress: recent},
		{Held: 20, Started: 1, Progress: old},
		{Held: 40, Started: 2, Progress: old},
		{Held: 90, Started: 3, Progress: old, Waiting: true},
		{Held: 0, Started: 4, Progress: 0},
	}
	assert.Equal(t, 2, GivesUp(crowd, ForBody, now, 0))
	assert.Equal(t, 2, GivesUp(crowd, ForBody, now, time.Minute))
}

// Guards against bodies that all hold a part of the budget and wait for the others.
func TestFirstOfContendingBodiesCompletes(t *testing.T) {
	crowd := []Body{{Held: 50, Started: 1, Progress: old, Waiting: true}, {Held: 50, Started: 2, Progress: old, Waiting: true}}
	assert.Equal(t, -1, GivesUp(crowd, ForBody, now, ContentionTime/2))
	assert.Equal(t, 1, GivesUp(crowd, ForBody, now, ContentionTime))
	assert.Equal(t, 0, First(crowd))
	assert.Equal(t, -1, First(nil))
}

// Guards against bodies that give up although memory will be released: that of a body that
// makes progress, or of requests that are complete.
func TestBodiesWaitForMemoryThatWillBeReleased(t *testing.T) {
	waiting := Body{Held: 50, Started: 1, Progress: old, Waiting: true}
	assert.Equal(t, -1, GivesUp([]Body{waiting, waiting, {Held: 10, Started: 3, Progress: recent}}, ForBody, now, time.Minute))
	assert.Equal(t, -1, GivesUp([]Body{waiting}, ForBody, now, time.Minute))
	assert.Equal(t, -1, GivesUp(nil, ForBody, now, time.Minute))
}

// Guards against an answer that is lost although bodies hold memory that could be given up.
func TestAnswerDoesNotWaitForBodies(t *testing.T) {
	crowd := []Body{{Held: 50, Started: 1, Progress: recent}, {Held: 10, Started: 2, Progress: recent}}
	assert.Equal(t, -1, GivesUp(crowd, ForAnswer, now, ContentionTime/2))
	assert.Equal(t, 1, GivesUp(crowd, ForAnswer, now, ContentionTime))
	assert.Equal(t, 0, GivesUp(crowd[:1], ForAnswer, now, ContentionTime))
}
