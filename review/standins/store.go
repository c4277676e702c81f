package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeEra is the Store-Era of a store that was never restored.
const storeEra = "1"

type record struct {
	key   string
	value []byte
}

// store is the platform's store: keyed topics with one partition, conditional appends, reads
// that wait, and the newest record of each key.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	down    bool
}

func newStore() *store { return &store{topics: map[string][]record{}, changed: make(chan struct{})} }

// put appends a record as the operator or an upstream would; nil removes the key. It reports
// whether the store took it.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.append(topic, record{key, value})
	return true
}

// putJSON is put for a value that is encoded first.
func (s *store) putJSON(topic, key string, value any) {
	content, err := json.Marshal(value)
	must(err)
	s.put(topic, key, content)
}

// setDown makes the store refuse all calls with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(topic string, r record) int {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", storeEra)
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/put": // how upstreams of this review write their entries
		body, _ := io.ReadAll(r.Body)
		if !s.put(topic, r.URL.Query().Get("key"), body) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-read":
		s.serveRead(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rec := record{key: string(body[5 : 5+int(body[4])]), value: body[5+int(body[4]):]}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if asOf := r.URL.Query().Get("asOf"); asOf != "" && asOf != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	offset := s.append(topic, rec)
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, r := range records {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	items := []item{}
	for _, it := range newest {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(records)})
}
