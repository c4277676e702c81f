package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	allKeys = 1 << 16
	// keyStride is the distance between the keys whose holders are recorded.
	keyStride = 64
)

// interval is a time in which an upstream holds a key.
type interval struct {
	start, end time.Time
	fence      int64
}

// holds is what an upstream holds and has held, for each keyStride-th key.
type holds struct {
	mu    sync.Mutex
	byKey map[int][]interval // in order; the last one may go on
	seen  map[int]int64      // highest fence by key
}

func newHolds() *holds { return &holds{byKey: map[int][]interval{}, seen: map[int]int64{}} }

func keyOf(r *http.Request) int {
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	return key
}

// holds reports whether the upstream holds a key, which is rounded to a recorded one.
func (h *holds) holds(key int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.byKey[key/keyStride*keyStride]
	return len(list) > 0 && time.Now().Before(list[len(list)-1].end)
}

func (h *holds) endAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for key, list := range h.byKey {
		if last := &list[len(list)-1]; last.end.After(now) {
			h.byKey[key][len(list)-1].end = now
		}
	}
}

func firstRecorded(from int) int { return (from + keyStride - 1) / keyStride * keyStride }

// grant grants or renews the keys, and reports false if a higher fence was seen on one.
func (h *holds) grant(from, to int, fence int64, hold time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := firstRecorded(from); key <= to; key += keyStride {
		if h.seen[key] > fence {
			return false
		}
	}
	for key := firstRecorded(from); key <= to; key += keyStride {
		h.seen[key] = fence
		list := h.byKey[key]
		if len(list) > 0 && !list[len(list)-1].end.Before(now) {
			last := &list[len(list)-1]
			last.end, last.fence = now.Add(hold), fence
			continue
		}
		h.byKey[key] = append(list, interval{now, now.Add(hold), fence})
	}
	return true
}

func (h *holds) release(from, to int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for key := firstRecorded(from); key <= to; key += keyStride {
		if list := h.byKey[key]; len(list) > 0 && list[len(list)-1].end.After(now) {
			list[len(list)-1].end = now
		}
	}
}

// keys returns the number of recorded keys that are held.
func (h *holds) keys() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, now := 0, time.Now()
	for _, list := range h.byKey {
		if list[len(list)-1].end.After(now) {
			n++
		}
	}
	return n
}

// serveKeyCall answers grants and releases.
func (u *upstream) serveKeyCall(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		u.rec.logf("%s of %s, at %s: 421 for a call to %s", r.URL.Path, u.id, u.listener.Addr(), instance)
		return
	}
	var call struct {
		From, To int
		Fence    int64
		HoldS    float64 `json:"holdS"`
		Handover string
	}
	if u.keyed == nil || json.NewDecoder(r.Body).Decode(&call) != nil || call.From < 0 || call.To < call.From || call.To >= allKeys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		u.keyed.release(call.From, call.To)
		for u.runningNow() > 0 {
			time.Sleep(2 * time.Millisecond)
		}
		u.rec.logf("%s releases %d to %d, fence %d", u.id, call.From, call.To, call.Fence)
		w.Header().Set("Handover", fmt.Sprintf("h%d", call.Fence))
		return
	}
	had := u.keyed.holds(firstRecorded(call.From))
	if !u.keyed.grant(call.From, call.To, call.Fence, time.Duration(call.HoldS*float64(time.Second)), now) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !had {
		u.rec.logf("%s at %s is granted %d to %d, fence %d, for %.2f s", u.id, u.listener.Addr(), call.From, call.To, call.Fence, call.HoldS)
	}
}

func (u *upstream) runningNow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// overlap is a time in which two upstreams hold the same key.
type overlap struct {
	key    int
	a, b   *upstream
	ia, ib interval
}

func (o overlap) start() time.Time { return later(o.ia.start, o.ib.start) }
func (o overlap) end() time.Time {
	if o.ia.end.Before(o.ib.end) {
		return o.ia.end
	}
	return o.ib.end
}
func (o overlap) length() time.Duration { return o.end().Sub(o.start()) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overlaps returns, for each recorded key, the times in which two upstreams held it for longer
// than least.
func overlaps(all []*upstream, least time.Duration) (out []overlap) {
	for i, a := range all {
		for _, b := range all[i+1:] {
			for key := 0; key < allKeys; key += keyStride {
				for _, ia := range a.keyed.byKey[key] {
					for _, ib := range b.keyed.byKey[key] {
						if o := (overlap{key, a, b, ia, ib}); o.length() > least {
							out = append(out, o)
						}
					}
				}
			}
		}
	}
	return out
}
