package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errStopping is the cause with which the contexts of a request end when the process
// stops.
var errStopping = errors.New("the VM stops")

// requestSet holds the requests of a gateway that wait for a slot or that a target works
// on. Once a stop has begun, it takes only those whose time ends before that of the stop:
// any other could be cut off at a target.
type requestSet struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	stopping bool
	endsAt   time.Duration // clock reading until which the stop waits for requests
}

// add adds a request unless it may outlast a stop that has begun, and reports whether it
// did. The contexts and the deadline of the request must be set.
func (s *requestSet) add(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && q.lastAnswerAt() > s.endsAt {
		return false
	}
	s.requests[q] = struct{}{}
	return true
}

func (s *requestSet) remove(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, q)
}

// beginStop ends the waits of the requests that may outlast the stop. Requests that have
// been sent go on.
func (s *requestSet) beginStop(endsAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping, s.endsAt = true, endsAt
	for q := range s.requests {
		if q.lastAnswerAt() > endsAt {
			q.endWait(errStopping)
		}
	}
}

// endAll ends all requests, also those that a target works on.
func (s *requestSet) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := range s.requests {
		q.endWait(errStopping)
		q.end(errStopping)
	}
}
