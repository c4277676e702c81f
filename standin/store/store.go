// Package store is a stand-in for the platform's store, by its published
// protocol: partitioned logs with conditional appends, held reads and the
// newest record of each key. It misbehaves when tests ask for it. It knows only
// what the router uses: partition 0 of keyed topics.
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

// Faults are what the store does wrong. The zero value is a healthy store.
type Faults struct {
	Refuse   bool            // answers 503 to all calls
	Delay    time.Duration   // before each answer
	LoseRate float64         // share of the appends that are done and not answered
	LateBy   time.Duration   // appends whose answer is lost are done this much later
	TurnAway map[string]bool // IP addresses of VMs that get 503
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	first   int // lowest offset that is kept
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  Faults
	rng     *rand.Rand
	changed chan struct{}
}

// New returns an empty store with a source of randomness for its faults.
func New(seed int64) *Server {
	return &Server{topics: map[string]*topic{}, rng: rand.New(rand.NewSource(seed)), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes a record of the operators or of a target. A nil value removes the key.
func (s *Server) Put(name, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value) // test data always encodes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key, content})
}

// Forget deletes the history of a topic; the newest record of each key stays.
func (s *Server) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topics[name]; t != nil {
		t.first = len(t.records)
	}
}

// append is called with mu held and returns the record's offset.
func (s *Server) append(name string, r record) int {
	t := s.topic(name)
	t.records = append(t.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(t.records) - 1
}

func (s *Server) topic(name string) *topic {
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
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Refuse || f.TurnAway[ip] {
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
	rec := body[4:]
	key := string(rec[1 : 1+rec[0]])
	entry := record{key, rec[1+rec[0]:]}
	s.mu.Lock()
	lose := s.rng.Float64() < f.LoseRate
	s.mu.Unlock()
	if lose {
		time.AfterFunc(f.LateBy, func() { s.conditional(name, r.URL.Query().Get("asOf"), entry) })
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	offset, ok := s.conditional(name, r.URL.Query().Get("asOf"), entry)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1}) // the caller has left
}

// conditional appends unless the log does not end at the expected offset.
func (s *Server) conditional(name, asOf string, r record) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
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
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs")) // optional
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		records, first := slices.Clone(t.records), t.first
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || wait == 0 {
			writeRecords(w, records, first, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
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
	_, _ = w.Write(out) // the caller has left
}

func (s *Server) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := map[string]item{}
	for i, r := range s.topic(name).records {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
	}
	end := len(s.topic(name).records)
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Value != "" {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": end}) // the caller has left
}
