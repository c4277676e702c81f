// Package store simulates the platform's store under its published protocol:
// partitioned logs with conditional appends, long-poll reads and queries for the
// newest record of each key. Tests can inject faults. It implements only what
// the router uses: partition 0 of keyed topics.
package store

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
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
	// written holds the newest value that Put was given for each key, which its writer
	// writes again if the store loses it.
	written map[string][]byte
}

// eraHeader is the header of every answer with the store's era.
const eraHeader = "Store-Era"

// Server is the simulated store. It is an http.Handler.
type Server struct {
	mu       sync.Mutex
	topics   map[string]*topic
	faults   Faults
	rng      *rand.Rand
	down     bool
	era      int64         // incremented by each restore
	appended chan struct{} // closed and replaced by each append to any topic and by restores
	calls    atomic.Int64
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

// SetDown takes the store away or brings it back. While it is away, all requests, waiting
// reads included, are answered with 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeReads()
}

// Calls returns the number of requests so far, including those that were refused.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Put appends a record with the value as JSON to a topic, as an operator or a
// target would. A nil value appends a tombstone, which removes the key. While the store is
// away, the value waits for WriteAgain.
func (s *Server) Put(name, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value) // values come from tests and always encode
	}
	s.PutBytes(name, key, content)
}

// PutBytes is Put with a value that need not be JSON, as another program would write it.
func (s *Server) PutBytes(name, key string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openTopic(name).written[key] = content
	if !s.down {
		s.append(name, record{key: key, value: content})
	}
}

// Restore replaces the content of the store by a copy of the given age. Later records are
// lost and their offsets are given out again. Operators and targets then write again the
// newest value of each of their keys that the copy lacks.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreCopy(age)
	for name := range s.topics {
		s.writeAgain(name)
	}
}

// RestoreCopy is Restore for writers that write nothing again until WriteAgain is called.
func (s *Server) RestoreCopy(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreCopy(age)
}

// WriteAgain appends the newest value that was put for each key of a topic if the topic
// holds another one.
func (s *Server) WriteAgain(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeAgain(name)
}

func (s *Server) restoreCopy(age time.Duration) {
	s.era++
	copiedAt := time.Now().Add(-age)
	for _, t := range s.topics {
		kept := 0
		for kept < len(t.records) && !t.records[kept].appendedAt.After(copiedAt) {
			kept++
		}
		t.records, t.firstOffset = slices.Clone(t.records[:kept]), min(t.firstOffset, kept)
	}
	s.wakeReads()
}

func (s *Server) writeAgain(name string) {
	t := s.openTopic(name)
	held := map[string][]byte{}
	for _, r := range t.records {
		held[r.key] = r.value
	}
	for _, key := range slices.Sorted(maps.Keys(t.written)) {
		if value := t.written[key]; !bytes.Equal(held[key], value) {
			s.append(name, record{key: key, value: value})
		}
	}
}

// wakeReads lets waiting reads look at the store again. It must be called with mu held.
func (s *Server) wakeReads() {
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
	s.wakeReads()
	return len(t.records) - 1
}

func (s *Server) openTopic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{written: map[string][]byte{}}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	f := s.faults
	s.setEra(w)
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

// setEra sets the header with the era in which a request is carried out. It must be called
// with mu held.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

// errDown means that the store is away.
var errDown = errors.New("the store is away")

// errConflict means that the topic has another end than the append requires.
var errConflict = errors.New("the topic has another end")

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
		time.AfterFunc(f.LostAppendDelay, func() { _, _ = s.appendIfAt(nil, name, r.URL.Query().Get("asOf"), entry) }) // nobody awaits the result
		panic(http.ErrAbortHandler)                                                                                    // closes the connection without an answer
	}
	offset, err := s.appendIfAt(w, name, r.URL.Query().Get("asOf"), entry)
	switch {
	case errors.Is(err, errDown):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1}) // fails only if the caller has disconnected
}

// appendIfAt appends a record if the topic ends at offset asOf or asOf is empty. It
// returns the record's offset or, with errConflict, the end of the topic. w may be nil.
func (s *Server) appendIfAt(w http.ResponseWriter, name, asOf string, r record) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w != nil {
		s.setEra(w)
	}
	if s.down {
		return 0, errDown
	}
	end := len(s.openTopic(name).records)
	if asOf != "" && asOf != strconv.Itoa(end) {
		return end, errConflict
	}
	return s.append(name, r), nil
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
		records, first, down := slices.Clone(t.records), t.firstOffset, s.down
		s.setEra(w) // it may have risen during the wait
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
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
	s.setEra(w)
	down, newest := s.down, map[string]item{}
	for i, r := range s.openTopic(name).records {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	end := len(s.openTopic(name).records)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []item{}
	for _, it := range newest {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": end}) // fails only if the caller has disconnected
}
