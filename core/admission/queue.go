package admission

import (
	"container/heap"
	"slices"
	"time"
)

// request is a request that waits or, once target is set, runs.
type request struct {
	id        ID
	deadline  time.Duration
	arrival   uint64 // orders requests with equal deadlines
	exclusive bool
	avoid     string

	subqueue *subqueue
	position [2]int // heap indexes: in its subqueue and in queue.byLatestDeadline

	target     *target
	bootID     string
	generation uint64
	probe      bool
}

// before reports whether r precedes o in the order of deadlines and arrivals.
func (r *request) before(o *request) bool {
	if r.deadline != o.deadline {
		return r.deadline < o.deadline
	}
	return r.arrival < o.arrival
}

// deadlineHeap is a heap of requests by deadline, with the earliest at the top,
// or the latest if latestFirst is set.
type deadlineHeap struct {
	items       []*request
	latestFirst bool
}

// positionIndex returns the index in request.position that belongs to the heap.
func (h *deadlineHeap) positionIndex() int {
	if h.latestFirst {
		return 1
	}
	return 0
}

func (h *deadlineHeap) Len() int { return len(h.items) }

func (h *deadlineHeap) Less(i, j int) bool {
	if h.latestFirst {
		i, j = j, i
	}
	return h.items[i].before(h.items[j])
}

func (h *deadlineHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.positionIndex()] = i
	h.items[j].position[h.positionIndex()] = j
}

func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.position[h.positionIndex()] = len(h.items)
	h.items = append(h.items, r)
}

func (h *deadlineHeap) Pop() any {
	last := len(h.items) - 1
	r := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return r
}

func (h *deadlineHeap) remove(r *request) { heap.Remove(h, r.position[h.positionIndex()]) }

// subqueue holds the waiting requests that may start on the same targets, so that
// one that has to wait for a target does not block requests for other targets.
type subqueue struct {
	avoid     string
	exclusive bool
	requests  deadlineHeap
}

func (l *subqueue) head() *request { return l.requests.items[0] }

// queue holds the waiting requests. Empty subqueues are removed.
type queue struct {
	subqueues        []*subqueue
	byLatestDeadline deadlineHeap
}

func newQueue() queue { return queue{byLatestDeadline: deadlineHeap{latestFirst: true}} }

func (q *queue) len() int { return q.byLatestDeadline.Len() }

func (q *queue) push(r *request) {
	r.subqueue = q.subqueueFor(r)
	heap.Push(&r.subqueue.requests, r)
	heap.Push(&q.byLatestDeadline, r)
}

// subqueueFor returns the subqueue for a request and creates it if necessary.
func (q *queue) subqueueFor(r *request) *subqueue {
	avoid := r.avoid
	if r.exclusive {
		avoid = ""
	}
	for _, l := range q.subqueues {
		if l.exclusive == r.exclusive && l.avoid == avoid {
			return l
		}
	}
	l := &subqueue{avoid: avoid, exclusive: r.exclusive}
	q.subqueues = append(q.subqueues, l)
	return l
}

func (q *queue) remove(r *request) {
	r.subqueue.requests.remove(r)
	q.byLatestDeadline.remove(r)
	if r.subqueue.requests.Len() == 0 {
		q.subqueues = slices.DeleteFunc(q.subqueues, func(l *subqueue) bool { return l == r.subqueue })
	}
	r.subqueue = nil
}

// earliest returns the request with the earliest deadline in the subqueues that
// match, or nil if there is none.
func (q *queue) earliest(match func(*subqueue) bool) *request {
	var first *request
	for _, l := range q.subqueues {
		if match(l) && (first == nil || l.head().before(first)) {
			first = l.head()
		}
	}
	return first
}

func anySubqueue(*subqueue) bool         { return true }
func exclusiveSubqueue(l *subqueue) bool { return l.exclusive }
