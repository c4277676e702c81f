package shardmap

import (
	"cmp"
	"container/heap"
	"slices"
)

// HotKeys finds the keys that make up a large share of the requests, in bounded
// memory (the space-saving algorithm of Metwally, Agrawal and El Abbadi). Counts
// decay with each window. It is not safe for concurrent use.
//
// Invariant: for each counted key, Count-Error <= n <= Count, where n is the
// decayed number of its requests. A key without a counter has at most
// Total()/capacity requests.
type HotKeys struct {
	capacity int
	decay    float64
	total    float64
	slots    hotHeap // min-heap by count
	byKey    map[string]*hotSlot
}

// HotKey is a key with a large share of the requests.
type HotKey struct {
	Key   string
	Count float64 // upper bound of the decayed number of requests
	Error float64 // upper bound of how much Count is too high
	Share float64 // Count relative to all requests
}

// NewHotKeys returns a HotKeys that counts at most capacity keys (at least 1).
// At the end of each window all counts are multiplied by decay (0 to 1).
func NewHotKeys(capacity int, decay float64) *HotKeys {
	capacity = max(capacity, 1)
	return &HotKeys{capacity: capacity, decay: min(max(decay, 0), 1), byKey: make(map[string]*hotSlot, capacity)}
}

// Add counts a number of requests for a key. Numbers below 1 are ignored.
func (h *HotKeys) Add(key string, requests int) {
	if requests <= 0 {
		return
	}
	n := float64(requests)
	h.total += n
	if slot, ok := h.byKey[key]; ok {
		slot.count += n
		heap.Fix(&h.slots, slot.index)
		return
	}
	if len(h.slots) < h.capacity {
		slot := &hotSlot{key: key, count: n}
		heap.Push(&h.slots, slot)
		h.byKey[key] = slot
		return
	}
	slot := h.slots[0] // the new key replaces the key with the lowest count, and this count becomes its error
	delete(h.byKey, slot.key)
	slot.key, slot.error = key, slot.count
	slot.count += n
	h.byKey[key] = slot
	heap.Fix(&h.slots, 0)
}

// EndWindow multiplies all counts, and the total, by the decay.
func (h *HotKeys) EndWindow() {
	h.total *= h.decay
	for _, slot := range h.slots {
		slot.count *= h.decay
		slot.error *= h.decay
	}
}

// Total returns the decayed number of all requests.
func (h *HotKeys) Total() float64 { return h.total }

// Above returns the keys whose share of the requests may exceed a threshold, the
// highest count first. The list is complete if the threshold is at least 1/capacity.
// A key certainly exceeds the threshold if (Count-Error)/Total() does.
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

// hotSlot is the counter of one key.
type hotSlot struct {
	key          string
	count, error float64
	index        int // in the heap
}

// hotHeap is a min-heap of counters by count.
type hotHeap []*hotSlot

func (h hotHeap) Len() int           { return len(h) }
func (h hotHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h hotHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *hotHeap) Push(x any) {
	slot := x.(*hotSlot)
	slot.index = len(*h)
	*h = append(*h, slot)
}

// Pop implements heap.Interface.
func (h *hotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
