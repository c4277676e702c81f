// Package store simulates the platform's store under its published protocol:
// partitioned logs with conditional appends, long-poll reads and queries for the
// newest record of each key. Tests can inject faults. It implements only what
// the router uses: partition 0 of keyed topics.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults that the store injects. The zero value means none.
type Faults struct {
	Refuse          bool          // all requests are answered with 503
	Delay           time.Duration // before each request is handled
	LoseRate        float64       // probability that an append gets no answer; it takes effect after LostAppendDelay
	LostAppendDelay time.Duration
	RejectIPs       map[string]bool // IP addresses of clients (VMs) whose requests are answered with 503
}

type record struct {
	key        string
	value      []byte
	appendedAt time.Time
}

type topic struct {
	records     []record
	firstOffset int // lowest offset that can still be read
}

// ownTopic is the topic that the router writes. The other topics belong to operators and
// targets, which write again what a restored store has lost.
const ownTopic = "keyed.mangogate"

// eraHeader is the header of every answer with the store's era.
const eraHeader = "Store-Era"

// Server is the simulated store. It is an http.Handler.
type Server struct {
	mu       sync.Mutex
	topics   map[string]*topic
	faults   Faults
	rng      *rand.Rand
	era      int64         // incremented by each Restore
	appended chan struct{} // closed and replaced by each append to any topic
}

// New returns an empty store whose random faults are drawn from the seed.
func New(seed int64) *Server {
	return &Server{topics: map[string]*topic{}, rng: rand.New(rand.NewSource(seed)), appended: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put appends a record with the value as JSON to a topic, as an operator or a
// target would. A nil value appends a tombstone, which removes the key.
func (s *Server) Put(name, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value) // values come from tests and always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key: key, value: content})
}

// Restore replaces the content of the store by a copy of the given age. Later records are
// lost and their offsets are given out again. Operators and targets then write again the
// newest value of each of their keys that the copy lacks.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	copiedAt := time.Now().Add(-age)
	for name, t := range s.topics {
		kept := 0
		for kept < len(t.records) && !t.records[kept].appendedAt.After(copiedAt) {
			kept++
		}
		lost := t.records[kept:]
		t.records, t.firstOffset = slices.Clone(t.records[:kept]), min(t.firstOffset, kept)
		if name == ownTopic {
			continue
		}
		newest := map[string]int{}
		for i, r := range lost {
			newest[r.key] = i
		}
		for i, r := range lost {
			if newest[r.key] == i {
				s.append(name, record{key: r.key, value: r.value})
			}
		}
	}
	close(s.appended)
	s.appended = make(chan struct{})
}

// Compact discards the history of a topic: reads of its present records are
// answered with 410, while the newest record of each key can still be queried.
func (s *Server) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topics[name]; t != nil {
		t.firstOffset = len(t.records)
	}
}

// append appends a record, wakes the waiting reads and returns the record's
// offset. It must be called with mu held.
func (s *Server) append(name string, r record) int {
	t := s.openTopic(name)
	r.appendedAt = time.Now()
	t.records = append(t.records, r)
	close(s.appended)
	s.appended = make(chan struct{})
	return len(t.records) - 1
}

func (s *Server) openTopic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	f := s.faults
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Refuse || f.RejectIPs[ip] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, name, f)
	case "/log-read":
		s.serveRead(w, r, name)
	case "/log-newest":
		s.serveNewest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request, name string, f Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	encoded := body[4:]
	key := string(encoded[1 : 1+encoded[0]])
	entry := record{key: key, value: encoded[1+encoded[0]:]}
	s.mu.Lock()
	loseAnswer := s.rng.Float64() < f.LoseRate
	s.mu.Unlock()
	if loseAnswer {
		time.AfterFunc(f.LostAppendDelay, func() { s.appendIfAt(name, r.URL.Query().Get("asOf"), entry) })
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	offset, ok := s.appendIfAt(name, r.URL.Query().Get("asOf"), entry)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1}) // fails only if the caller has disconnected
}

// appendIfAt appends a record if the topic ends at offset asOf or asOf is empty. It
// returns the record's offset and true, or the end of the topic and false.
func (s *Server) appendIfAt(name, asOf string, r record) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.openTopic(name).records)
	if asOf != "" && asOf != strconv.Itoa(end) {
		return end, false
	}
	return s.append(name, r), true
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs")) // optional; without it the read does not wait
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.openTopic(name), s.appended
		records, first := slices.Clone(t.records), t.firstOffset
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10)) // it may have risen during the wait
		s.mu.Unlock()
		if from < first || from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || waitMS == 0 {
			writeRecords(w, records, first, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		}
	}
}

func writeRecords(w io.Writer, records []record, first, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out) // fails only if the caller has disconnected
}

func (s *Server) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := map[string]item{}
	for i, r := range s.openTopic(name).records {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	end := len(s.openTopic(name).records)
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": end}) // fails only if the caller has disconnected
}
