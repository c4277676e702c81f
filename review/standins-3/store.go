package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// logRecord is a record of a keyed topic; an empty value removes the key.
type logRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: partition 0 of keyed topics, with
// conditional appends, long-poll reads and the newest record of each key.
type store struct {
	mu       sync.Mutex
	topics   map[string][]logRecord
	appended chan struct{}
	address  string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]logRecord{}, appended: make(chan struct{}), address: l.Addr().String()}
	go http.Serve(l, s)
	return s, nil
}

// put writes a value as an operator or an upstream does; nil removes the key.
func (s *store) put(topic, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, logRecord{key, content})
}

func (s *store) append(topic string, r logRecord) int {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.appended)
	s.appended = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic, q.Get("asOf"))
	case "/log-read":
		s.serveRead(w, topic, q.Get("from"), q.Get("waitMs"))
	case "/log-newest":
		s.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, asOf string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(body[4])
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if asOf != "" && asOf != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	offset := s.append(topic, logRecord{string(body[5 : 5+n]), body[5+n:]})
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, topic, fromText, waitText string) {
	from, err := strconv.Atoi(fromText)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(waitText) // optional
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for over := waitMS == 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.appended
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(records) || over {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
				out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
			}
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
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
	newest, end := map[string]item{}, len(s.topics[topic])
	for i, r := range s.topics[topic] {
		if len(r.value) == 0 {
			delete(newest, r.key)
			continue
		}
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": end})
}
