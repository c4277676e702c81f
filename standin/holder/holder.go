// Package holder simulates a target that holds ranges of keys under the
// platform's protocol: leases with fencing tokens, releases that return the
// state to hand over, answers that carry the id of their request, and load
// reports. It reports grants and started requests to an EventRecorder.
package holder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RangeLease is a lease on the keys From to To, inclusive.
type RangeLease struct {
	From, To int
	Fence    int64 // fencing token
	Until    time.Time
}

// EventRecorder receives the events of targets. Its methods are called with the
// target's lock held and must not call the target.
type EventRecorder interface {
	// Granted is called when a target with the given id is granted a lease.
	Granted(target string, lease RangeLease)
	// Started is called when a request starts running at a target.
	Started(target, request string, key int)
}

// Target is one instance of a target, from its start to its crash. It is an
// http.Handler.
type Target struct {
	ID          string
	Slots       int
	ServiceTime time.Duration
	Keyed       bool
	recorder    EventRecorder

	mu             sync.Mutex
	leases         []RangeLease
	highestFence   map[int]int64 // not used
	running        int
	runningChanged sync.Cond
	shedding       bool
	leaving        bool
	crashed        bool
}

// New returns a target that holds no keys. It runs up to slots requests
// concurrently, each for serviceTime. If keyed is set, it runs only
// requests for the keys that it holds.
func New(id string, slots int, serviceTime time.Duration, keyed bool, recorder EventRecorder) *Target {
	t := &Target{ID: id, Slots: slots, ServiceTime: serviceTime, Keyed: keyed, recorder: recorder, highestFence: map[int]int64{}}
	t.runningChanged.L = &t.mu
	return t
}

// Shed makes the target refuse all requests, or stop doing so.
func (t *Target) Shed(shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedding = shed
}

// Leave makes the target say in all its answers that it leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Crash stops the target permanently: it drops its keys and aborts all
// connections without an answer.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed, t.leases = true, nil
	t.runningChanged.Broadcast()
}

// Holds tells whether the target holds an unexpired lease on a key.
func (t *Target) Holds(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdsKey(key)
}

// holdsKey is Holds with mu held.
func (t *Target) holdsKey(key int) bool {
	for _, lease := range t.leases {
		if lease.From <= key && key <= lease.To && time.Now().Before(lease.Until) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	if t.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	t.mu.Unlock()
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != t.ID {
		w.Header().Set("Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant":
		t.grant(w, r)
	case "/release":
		t.release(w, r)
	default:
		t.run(w, r)
	}
	t.mu.Lock()
	crashed := t.crashed
	t.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
}

// rangeRequest is the body of a grant or release of the keys From to To, inclusive.
type rangeRequest struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"holdS"` // duration of the lease in seconds; grants only
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var req rangeRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.From < 0 || req.To < req.From {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, lease := range t.leases {
		if lease.From <= req.To && lease.To >= req.From && lease.Fence > req.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	// The lease is extended by 2 % to simulate the worst case: a target whose
	// clock runs 2 % slow.
	lease := RangeLease{req.From, req.To, req.Fence, arrived.Add(time.Duration(req.HoldS * 1.02 * float64(time.Second)))}
	t.removeRange(req)
	t.leases = append(t.leases, lease)
	t.recorder.Granted(t.ID, lease)
}

// removeRange removes the keys From to To from the leases and splits a lease that
// covers other keys too. It must be called with mu held.
func (t *Target) removeRange(req rangeRequest) {
	var kept []RangeLease
	for _, lease := range t.leases {
		if lease.To < req.From || lease.From > req.To {
			kept = append(kept, lease)
			continue
		}
		if lease.From < req.From {
			kept = append(kept, RangeLease{lease.From, req.From - 1, lease.Fence, lease.Until})
		}
		if lease.To > req.To {
			kept = append(kept, RangeLease{req.To + 1, lease.To, lease.Fence, lease.Until})
		}
	}
	t.leases = kept
}

func (t *Target) release(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.removeRange(req)
	for t.running > 0 && !t.crashed { // waits for all running requests, not only for those of the released keys
		t.runningChanged.Wait()
	}
	t.mu.Unlock()
	w.Header().Set("Handover", fmt.Sprintf("h%d", req.Fence))
}

// startRunning counts a request as running and returns 0, or returns the HTTP
// status with which the request is refused.
func (t *Target) startRunning(id string, key int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.Keyed && !t.holdsKey(key):
		return http.StatusMisdirectedRequest
	case t.shedding || t.running >= t.Slots:
		return http.StatusServiceUnavailable
	}
	t.running++
	t.recorder.Started(t.ID, id, key)
	return 0
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key")) // absent for targets without keys, then 0
	w.Header().Set("Attempt-Id", id)
	if status := t.startRunning(id, key); status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	time.Sleep(t.ServiceTime)
	t.mu.Lock()
	t.running--
	w.Header().Set("Upstream-Load", fmt.Sprintf("%d,0,%d,100", t.running, t.Slots))
	t.runningChanged.Broadcast()
	t.mu.Unlock()
	w.Header().Set("Response-Signature", id)
	fmt.Fprintf(w, "%s from %s", id, t.ID)
}
