// Package platform simulates the platform's log service and VM list, with
// injected faults that tests can switch on and off.
package platform

import (
	"net/http"
	"sync"
	"time"
)

// Limits and defaults of the log service.
const (
	DefaultMaxRecordBytes = 4 << 20
	maxAnswerRecords      = 1000    // also the default if the reader sets no maximum
	maxAnswerBytes        = 8 << 20 // no further record is added to an answer that has reached this size
	maxLongPoll           = time.Minute
)

// Config holds the settings of a Server. The zero value retains every record,
// shows VM changes immediately and has no rate limit.
type Config struct {
	RetainRecords    int           // records retained per stream; 0 means all
	RetainAge        time.Duration // age after which a record is dropped; 0 means never
	VMLag            time.Duration // delay until a change of the VM list is visible
	AppendsPerSecond int           // appends beyond this are answered with 429; 0 means no limit
	MaxRecordBytes   int64         // larger records are answered with 413; 0 means DefaultMaxRecordBytes
	Seed             int64         // of the faults, until SetFaults sets another seed
}

// Stats holds the counters of the log service and the bounds of its streams.
type Stats struct {
	Appends     uint64                 `json:"appends"` // appends that took effect
	Reads       uint64                 `json:"reads"`   // reads that were answered
	Bytes       uint64                 `json:"bytes"`   // bytes of records, appended and read
	LostAnswers uint64                 `json:"lost_answers"`
	Dropped     uint64                 `json:"dropped_appends"`
	Limited     uint64                 `json:"limited_appends"`
	Streams     map[string]StreamStats `json:"streams"`
}

// StreamStats holds the offset bounds of a stream.
type StreamStats struct {
	First uint64 `json:"first"` // lowest retained offset
	Next  uint64 `json:"next"`  // offset of the next append
}

// Server is the simulated platform. It is an http.Handler.
type Server struct {
	cfg         Config
	mux         *http.ServeMux
	mu          sync.Mutex
	streams     map[string]*stream
	vms         vmList
	faults      faultState
	stats       Stats
	appendLimit appendLimiter
	closed      chan struct{}
	closeOnce   sync.Once
}

// New returns a platform without streams or VMs.
func New(cfg Config) *Server {
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = DefaultMaxRecordBytes
	}
	s := &Server{cfg: cfg, mux: http.NewServeMux(), streams: map[string]*stream{}, closed: make(chan struct{})}
	s.vms.visible = map[string]VM{}
	s.faults.set(Faults{Seed: cfg.Seed})
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	s.mux.HandleFunc("GET /v1/vms", s.listVMs)
	s.mux.HandleFunc("POST /v1/vms", s.registerVM)
	s.mux.HandleFunc("GET /v1/faults", s.getFaults)
	s.mux.HandleFunc("POST /v1/faults", s.postFaults)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	return s
}

// Handler returns the HTTP interface of the platform.
func (s *Server) Handler() http.Handler { return s }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends long polls and injected delays; later requests do not wait either.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.closed) }) }

// Stats returns the counters and the bounds of all streams.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Streams = make(map[string]StreamStats, len(s.streams))
	for name, st := range s.streams {
		s.expire(st)
		out.Streams[name] = StreamStats{First: st.first, Next: st.next()}
	}
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// appendLimiter limits the appends per second. It counts them in windows of one
// second, which start with an append.
type appendLimiter struct {
	start time.Time
	count int
}

// allow returns whether an append is within the limit, and counts it if so.
func (a *appendLimiter) allow(now time.Time, limit int) bool {
	if limit <= 0 {
		return true
	}
	if now.Sub(a.start) >= time.Second {
		a.start, a.count = now, 0
	}
	if a.count >= limit {
		return false
	}
	a.count++
	return true
}
