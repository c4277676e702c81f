package admission

import (
	"container/heap"
	"slices"
	"time"
)

// request is a request that waits or, once target is set, runs.
type request struct {
	id       ID
	deadline time.Duration
	arrival  uint64 // orders equal deadlines
	alone    bool
	avoid    string

	lane     *lane
	position [2]int // in the lane and in queue.latest

	target     *target
	bootID     string
	generation uint64
	probe      bool
}

func (r *request) before(o *request) bool {
	if r.deadline != o.deadline {
		return r.deadline < o.deadline
	}
	return r.arrival < o.arrival
}

// deadlineHeap has the earliest deadline at the top, or the latest one.
type deadlineHeap struct {
	items  []*request
	latest bool
}

func (h *deadlineHeap) slot() int {
	if h.latest {
		return 1
	}
	return 0
}

func (h *deadlineHeap) Len() int { return len(h.items) }

func (h *deadlineHeap) Less(i, j int) bool {
	if h.latest {
		i, j = j, i
	}
	return h.items[i].before(h.items[j])
}

func (h *deadlineHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.slot()] = i
	h.items[j].position[h.slot()] = j
}

func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.position[h.slot()] = len(h.items)
	h.items = append(h.items, r)
}

func (h *deadlineHeap) Pop() any {
	last := len(h.items) - 1
	r := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return r
}

func (h *deadlineHeap) remove(r *request) { heap.Remove(h, r.position[h.slot()]) }

// lane holds the waiting requests that may start on the same targets, so that
// a request that must wait for another target does not block the others.
type lane struct {
	avoid    string
	alone    bool
	requests deadlineHeap
}

func (l *lane) head() *request { return l.requests.items[0] }

// queue holds the waiting requests. It has no empty lane.
type queue struct {
	lanes  []*lane
	latest deadlineHeap
}

func newQueue() queue { return queue{latest: deadlineHeap{latest: true}} }

func (q *queue) len() int { return q.latest.Len() }

func (q *queue) push(r *request) {
	r.lane = q.lane(r)
	heap.Push(&r.lane.requests, r)
	heap.Push(&q.latest, r)
}

func (q *queue) lane(r *request) *lane {
	avoid := r.avoid
	if r.alone {
		avoid = ""
	}
	for _, l := range q.lanes {
		if l.alone == r.alone && l.avoid == avoid {
			return l
		}
	}
	l := &lane{avoid: avoid, alone: r.alone}
	q.lanes = append(q.lanes, l)
	return l
}

func (q *queue) remove(r *request) {
	r.lane.requests.remove(r)
	q.latest.remove(r)
	if r.lane.requests.Len() == 0 {
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l == r.lane })
	}
	r.lane = nil
}

// earliest returns the request with the earliest deadline in the lanes that
// match, or nil.
func (q *queue) earliest(match func(*lane) bool) *request {
	var first *request
	for _, l := range q.lanes {
		if match(l) && (first == nil || l.head().before(first)) {
			first = l.head()
		}
	}
	return first
}

func anyLane(*lane) bool     { return true }
func aloneLane(l *lane) bool { return l.alone }
