package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRecord is a record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store: partition 0 of keyed topics, with
// conditional appends, long-poll reads and the newest record of each key. It keeps all
// records.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// era is sent in all answers; a restore raises it.
	era  int
	down bool // all calls are answered 503
	// lastWriter is the address that last wrote under a condition.
	lastWriter string
	// cut reports whether a caller's address is partitioned from the store: its calls get
	// no answer and are not carried out.
	cut func(ip string) bool
}

func newStore() *store {
	return &store{era: 1, topics: map[string][]storeRecord{}, changed: make(chan struct{}), cut: func(string) bool { return false }}
}

// copied returns a copy of the present content.
func (s *store) copied() map[string][]storeRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]storeRecord{}
	for name, records := range s.topics {
		out[name] = slices.Clone(records)
	}
	return out
}

// setDown takes the store away or brings it back, waiting reads included.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(from map[string][]storeRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.down = from, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record as the operator or an upstream does; a nil value removes the key.
// It returns when the store has accepted the record.
func (s *store) put(topic, key string, value any) {
	var content []byte
	if value != nil {
		content = mustJSON(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down { // the writer writes again with its next heartbeat
		s.appendLocked(topic, storeRecord{key, content})
	}
}

func (s *store) appendLocked(topic string, r storeRecord) int {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	body, err := io.ReadAll(r.Body)
	if s.cut(ip) {
		<-r.Context().Done() // no answer until the caller gives up
		return
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic, q := r.URL.Query().Get("topic"), r.URL.Query()
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, ip, topic, q.Get("asOf"), body)
	case "/log-read":
		s.serveRead(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, topic, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, ip, topic, asOf string, body []byte) {
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+n]
		body = body[4+n:]
		k := int(rec[0])
		if 1+k > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, storeRecord{string(rec[1 : 1+k]), bytes.Clone(rec[1+k:])})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if asOf != "" && asOf != strconv.Itoa(end) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		w.Write(mustJSON(map[string]int{"end": end}))
		return
	}
	for _, r := range records {
		s.appendLocked(topic, r)
	}
	if asOf != "" {
		s.lastWriter = ip
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(mustJSON(map[string]int{"offset": end, "end": len(s.topics[topic])}))
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed, down := s.topics[topic], s.changed, s.down
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			w.Write(mustJSON(map[string]int{"first": 0}))
			return
		}
		if from < len(records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := map[string]item{}
	for i, r := range s.topics[topic] {
		if len(r.value) == 0 {
			delete(newest, r.key)
			continue
		}
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := []item{}
	for key, it := range newest {
		if key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(mustJSON(map[string]any{"items": items, "more": more, "end": end}))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
