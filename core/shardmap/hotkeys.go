package shardmap

import (
	"cmp"
	"container/heap"
	"slices"
)

// HotKeys finds the keys that make up a large share of the requests, in bounded
// memory (the space-saving counter of Metwally, Agrawal and El Abbadi). Old
// requests lose weight with each window. It is not safe for concurrent use.
//
// Invariant: for each key, true <= Count and Count-Error <= true, where true is
// the decayed number of its requests; a key that is not held has at most
// Total()/capacity.
type HotKeys struct {
	capacity int
	decay    float64
	total    float64
	slots    hotHeap // the slot with the lowest count first
	byKey    map[string]*hotSlot
}

// HotKey is a key with a large share of the requests.
type HotKey struct {
	Key   string
	Count float64 // upper bound of the decayed number of requests
	Error float64 // by how much Count may be too high
	Share float64 // Count relative to all requests
}

// NewHotKeys returns a counter that holds at most capacity keys (at least 1).
// At the end of each window all counts are multiplied by decay (0 to 1).
func NewHotKeys(capacity int, decay float64) *HotKeys {
	capacity = max(capacity, 1)
	return &HotKeys{capacity: capacity, decay: min(max(decay, 0), 1), byKey: make(map[string]*hotSlot, capacity)}
}

// Add counts requests of a key.
func (h *HotKeys) Add(key string, requests int) {
	if requests <= 0 {
		return
	}
	n := float64(requests)
	h.total += n
	if slot, ok := h.byKey[key]; ok {
		slot.count += n
		heap.Fix(&h.slots, slot.at)
		return
	}
	if len(h.slots) < h.capacity {
		slot := &hotSlot{key: key, count: n}
		heap.Push(&h.slots, slot)
		h.byKey[key] = slot
		return
	}
	slot := h.slots[0] // the new key inherits the lowest count as its error
	delete(h.byKey, slot.key)
	slot.key, slot.error = key, slot.count
	slot.count += n
	h.byKey[key] = slot
	heap.Fix(&h.slots, 0)
}

// EndWindow reduces the weight of all requests counted so far.
func (h *HotKeys) EndWindow() {
	h.total *= h.decay
	for _, slot := range h.slots {
		slot.count *= h.decay
		slot.error *= h.decay
	}
}

// Total returns the decayed number of all requests.
func (h *HotKeys) Total() float64 { return h.total }

// Above returns the keys whose share may exceed a threshold, the hottest first.
// It misses none if the threshold is at least 1/capacity. A key whose
// (Count-Error)/Total() exceeds the threshold is certain.
func (h *HotKeys) Above(threshold float64) []HotKey {
	var hot []HotKey
	for _, s := range h.slots {
		if s.count > threshold*h.total {
			hot = append(hot, HotKey{Key: s.key, Count: s.count, Error: s.error, Share: s.count / h.total})
		}
	}
	slices.SortFunc(hot, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return hot
}

type hotSlot struct {
	key          string
	count, error float64
	at           int // index in the heap
}

type hotHeap []*hotSlot

func (h hotHeap) Len() int           { return len(h) }
func (h hotHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h hotHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *hotHeap) Push(x any) {
	slot := x.(*hotSlot)
	slot.at = len(*h)
	*h = append(*h, slot)
}

// Pop implements heap.Interface.
func (h *hotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
