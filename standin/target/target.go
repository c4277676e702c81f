// Package target simulates a target: a server that keeps state per key and
// enforces the grants of the target protocol. It can start cold, shed load,
// crash and inject faults into its answers, as tests configure it.
package target

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"golang.org/x/sys/unix"
)

// Distribution is the distribution of service times.
type Distribution string

const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// Defaults of a Config.
const (
	DefaultSlots          = 3
	DefaultMaxInFlight    = 32
	DefaultMaxConnections = 100
	DefaultMaxExecutions  = 100_000
	DefaultKeyHeader      = "X-Key"
	DefaultCrashHeader    = "X-Crash"
)

// Config holds the settings of a Server.
type Config struct {
	Name         string
	Service      string
	Ownership    inventory.Ownership // empty means key
	ChecksFences bool                // enforces dispatch epochs, held shards and their fences
	BootID       string              // of the first boot; empty means a random one

	// KeyHeader and KeyTemplate locate the key of a request as in
	// inventory.Rule. If they match nothing, the last element of the URL path
	// is the key.
	KeyHeader   string
	KeyTemplate string

	Slots          int           // requests that run concurrently; 0 means DefaultSlots
	MaxInFlight    int           // requests in flight beyond this are shed; 0 means DefaultMaxInFlight
	MaxConnections int           // connections beyond this are closed, see ConnState; 0 means DefaultMaxConnections
	ServiceTime    time.Duration // the mean if Distribution is Exponential
	Distribution   Distribution  // empty means Fixed
	Seed           int64         // of service times and faults

	ColdCompletions int           // the target is cold until it has executed this many requests
	ColdFactor      float64       // multiplies the service time while cold; 0 means 1
	ColdMaxInFlight int           // a cold target with more requests in flight falls over and stops; 0 means never
	LoadLag         time.Duration // load reports show the load of this long ago
	MaxExecutions   int           // newest executions that the ledger lists; 0 means DefaultMaxExecutions

	CrashHeader string // request header that crashes the target if it is "1"; empty means DefaultCrashHeader

	// OnCrash and OnFallOver are called, at most once per boot and in their own
	// goroutine, when the target stops because it crashed or fell over.
	OnCrash    func()
	OnFallOver func()
	// OnExecution is called for each execution, in the order of the ledger and
	// before the answer is sent, with the server's lock held. It must not call
	// the server.
	OnExecution func(Execution)
	// Clock returns the target's monotonic time. Nil means CLOCK_BOOTTIME, which
	// all processes of a machine share: a reading before a restart of the
	// process is never ahead of a reading after it.
	Clock func() time.Duration
}

func (c Config) withDefaults() Config {
	if c.Ownership == "" {
		c.Ownership = inventory.OwnershipKey
	}
	if c.KeyHeader == "" {
		c.KeyHeader = DefaultKeyHeader
	}
	if c.CrashHeader == "" {
		c.CrashHeader = DefaultCrashHeader
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 1
	}
	for value, defaultValue := range map[*int]int{&c.Slots: DefaultSlots, &c.MaxInFlight: DefaultMaxInFlight,
		&c.MaxConnections: DefaultMaxConnections, &c.MaxExecutions: DefaultMaxExecutions} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if c.Clock == nil {
		c.Clock = machineUptime
	}
	return c
}

func machineUptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}

// Server is a simulated target. It is an http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu            sync.Mutex
	rng           *mathrand.Rand
	boot          *boot
	faults        Faults
	counters      map[string]uint64 // by key
	ledger        ledger
	stats         Stats
	conns         map[net.Conn]bool
	lastRequestID string // request id of the last answer, sent by Faults.WrongRequestID
}

// boot is the state that a restart discards.
type boot struct {
	id        string
	grants    grants
	slots     chan struct{} // semaphore; holds one element per request that has a slot
	active    map[string]*request
	inFlight  int
	running   int
	completed int // executions since the start or the last Faults.TurnCold
	draining  bool
	samples   []loadSample
	stopped   chan struct{} // closed when the target crashes, falls over or is closed or restarted
	isStopped bool
}

// New returns a target that has just started: cold and without grants.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, mux: http.NewServeMux(), counters: map[string]uint64{}, conns: map[net.Conn]bool{}}
	s.ledger.counts = map[string]int{}
	s.stats.Refused = map[string]uint64{}
	s.faults = Faults{Seed: cfg.Seed}
	s.rng = mathrand.New(mathrand.NewSource(cfg.Seed))
	s.boot = s.newBoot(cfg.BootID)
	s.mux.HandleFunc("GET /mangogate/stats", s.getStats)
	s.mux.HandleFunc("GET /mangogate/ledger", s.getLedger)
	s.mux.HandleFunc("POST /mangogate/grants", s.abortIfStopped(s.postGrants))
	s.mux.HandleFunc("GET /mangogate/grants", s.abortIfStopped(s.getGrants))
	s.mux.HandleFunc("GET /mangogate/load", s.abortIfStopped(s.getLoad))
	s.mux.HandleFunc("POST /mangogate/cancel", s.abortIfStopped(s.postCancel))
	s.mux.HandleFunc("POST /mangogate/faults", s.abortIfStopped(s.postFaults))
	s.mux.HandleFunc("/", s.serve)
	return s
}

func (s *Server) newBoot(id string) *boot {
	if id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // crypto/rand never returns an error
		id = hex.EncodeToString(b[:])
	}
	return &boot{id: id, grants: newGrants(), slots: make(chan struct{}, s.cfg.Slots),
		active: map[string]*request{}, stopped: make(chan struct{})}
}

// Handler returns the HTTP interface of the target.
func (s *Server) Handler() http.Handler { return s }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// BootID returns the id of the current boot.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot.id
}

// Restart ends all requests in flight without an answer and boots the target
// again, cold and without grants. The state of the keys, the ledger and the
// statistics are kept.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.stop()
	s.boot = s.newBoot("")
}

// Close ends all requests in flight without an answer. Later requests, except for
// statistics and the ledger, are aborted until Restart.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.stop()
}

// stop ends the requests in flight without an answer. It may be called repeatedly,
// with mu held.
func (b *boot) stop() {
	if !b.isStopped {
		b.isStopped = true
		close(b.stopped)
	}
}

// abortIfStopped aborts the connection if the target is stopped and calls next
// otherwise.
func (s *Server) abortIfStopped(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		stopped := s.boot.isStopped
		s.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// ConnState closes new connections beyond Config.MaxConnections. It is meant to
// be set as http.Server.ConnState.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.conns) >= s.cfg.MaxConnections {
			s.stats.RefusedConnections++
			_ = c.Close() // the connection counts as refused even if closing fails
			return
		}
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (b *boot) isWarm(cfg Config) bool { return b.completed >= cfg.ColdCompletions }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
