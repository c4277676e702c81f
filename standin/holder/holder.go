// Package holder is a stand-in for a target that holds keys by the platform's
// protocol: grants with fences, releases with a handover, answers that name
// their request, and load reports. It records what it ran.
package holder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Hold is a granted range.
type Hold struct {
	From, To int
	Fence    int64
	Until    time.Time
}

// Journal receives what targets do. Its methods must not call the target.
type Journal interface {
	// Granted is called when keys are granted, with the target's id.
	Granted(target string, h Hold)
	// Ran is called when a request begins to run.
	Ran(target, request string, key int)
}

// Target is one life of a target. It is an http.Handler.
type Target struct {
	ID      string
	Slots   int
	Work    time.Duration
	Keyed   bool
	journal Journal

	mu      sync.Mutex
	holds   []Hold
	seen    map[int]int64 // highest fence by the first key of a grant
	running int
	busy    sync.Cond
	shed    bool
	dead    bool
}

// New returns a target.
func New(id string, slots int, work time.Duration, keyed bool, j Journal) *Target {
	t := &Target{ID: id, Slots: slots, Work: work, Keyed: keyed, journal: j, seen: map[int]int64{}}
	t.busy.L = &t.mu
	return t
}

// Shed makes the target refuse all requests, or stop doing so.
func (t *Target) Shed(shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed = shed
}

// Crash ends the target's life: it holds nothing and answers nothing more.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead, t.holds = true, nil
	t.busy.Broadcast()
}

// Holds tells whether the target holds a key now.
func (t *Target) Holds(key int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdsKey(key)
}

func (t *Target) holdsKey(key int) bool {
	for _, h := range t.holds {
		if h.From <= key && key <= h.To && time.Now().Before(h.Until) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if named := r.Header.Get("Target-Instance"); named != "" && named != t.ID {
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
	dead := t.dead
	t.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
}

type order struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"holdS"`
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.To < o.From {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holds {
		if h.From <= o.To && h.To >= o.From && h.Fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	// The clock of a target may run 2 % slow.
	h := Hold{o.From, o.To, o.Fence, arrived.Add(time.Duration(o.HoldS * 1.02 * float64(time.Second)))}
	t.drop(o)
	t.holds = append(t.holds, h)
	t.journal.Granted(t.ID, h)
}

// drop is called with mu held.
func (t *Target) drop(o order) {
	var kept []Hold
	for _, h := range t.holds {
		if h.To < o.From || h.From > o.To {
			kept = append(kept, h)
			continue
		}
		if h.From < o.From {
			kept = append(kept, Hold{h.From, o.From - 1, h.Fence, h.Until})
		}
		if h.To > o.To {
			kept = append(kept, Hold{o.To + 1, h.To, h.Fence, h.Until})
		}
	}
	t.holds = kept
}

func (t *Target) release(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.drop(o)
	for t.running > 0 && !t.dead { // coarser than the keys' own work
		t.busy.Wait()
	}
	t.mu.Unlock()
	w.Header().Set("Handover", fmt.Sprintf("h%d", o.Fence))
}

// begin tells with which status a request is turned away, 0 if it runs.
func (t *Target) begin(id string, key int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.Keyed && !t.holdsKey(key):
		return http.StatusMisdirectedRequest
	case t.shed || t.running >= t.Slots:
		return http.StatusServiceUnavailable
	}
	t.running++
	t.journal.Ran(t.ID, id, key)
	return 0
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key")) // absent for pools
	w.Header().Set("Attempt-Id", id)
	if status := t.begin(id, key); status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	time.Sleep(t.Work)
	t.mu.Lock()
	t.running--
	w.Header().Set("Upstream-Load", fmt.Sprintf("%d,0,%d,100", t.running, t.Slots))
	t.busy.Broadcast()
	t.mu.Unlock()
	w.Header().Set("Response-Signature", id)
	fmt.Fprintf(w, "%s from %s", id, t.ID)
}
