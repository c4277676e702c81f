// Package target is a stand-in for a target: a server that keeps state per key
// and enforces the grants of the target protocol. It starts cold, sheds load,
// crashes and answers wrongly when tests ask for it.
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

// The distributions of service times.
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
	ChecksFences bool
	BootID       string // of the first start; empty means a random one

	// KeyHeader and KeyTemplate find the key as in inventory.Rule. The last
	// element of the path is the key where they find none.
	KeyHeader   string
	KeyTemplate string

	Slots          int // requests that run at once; 0 means DefaultSlots
	MaxInFlight    int // requests beyond this are shed; 0 means DefaultMaxInFlight
	MaxConnections int // connections beyond this are closed; see ConnState
	ServiceTime    time.Duration
	Distribution   Distribution // empty means Fixed
	Seed           int64        // of service times and faults

	ColdCompletions int     // the target is cold until it ran this many requests
	ColdFactor      float64 // multiplies the service time while cold; 0 means 1
	ColdMaxInFlight int     // falls over with more in flight while cold; 0 means never
	LoadLag         time.Duration
	MaxExecutions   int // executions that the ledger lists; 0 means DefaultMaxExecutions

	// CrashHeader names the header that crashes the target with the value 1.
	CrashHeader string
	// OnCrash and OnFallOver are called once each before the target goes dead.
	OnCrash    func()
	OnFallOver func()
	// OnExecution is called for each execution, in order, before its answer.
	// It must not call the server.
	OnExecution func(Execution)
	// Clock returns the target's monotonic time; nil means CLOCK_BOOTTIME, so
	// that a reading made before a restart is never ahead of one made after it.
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
	for value, standard := range map[*int]int{&c.Slots: DefaultSlots, &c.MaxInFlight: DefaultMaxInFlight,
		&c.MaxConnections: DefaultMaxConnections, &c.MaxExecutions: DefaultMaxExecutions} {
		if *value == 0 {
			*value = standard
		}
	}
	if c.Clock == nil {
		c.Clock = bootTime
	}
	return c
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// Server is a target. It is an http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	rng      *mathrand.Rand
	boot     *boot
	faults   Faults
	counters map[string]uint64 // by key
	ledger   ledger
	stats    Stats
	conns    map[net.Conn]bool
	lastID   string // request id of the last answer, for wrong answers
}

// boot is what a restart loses.
type boot struct {
	id        string
	grants    grants
	slots     chan struct{} // holds one element per running request
	active    map[string]*request
	inFlight  int
	running   int
	completed int // since the target was last cold
	draining  bool
	samples   []sample
	dead      chan struct{} // closed when the target crashed or fell over
	isDead    bool
}

// New returns a target that has just started.
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
	s.mux.HandleFunc("POST /mangogate/grants", s.alive(s.postGrants))
	s.mux.HandleFunc("GET /mangogate/grants", s.alive(s.getGrants))
	s.mux.HandleFunc("GET /mangogate/load", s.alive(s.getLoad))
	s.mux.HandleFunc("POST /mangogate/cancel", s.alive(s.postCancel))
	s.mux.HandleFunc("POST /mangogate/faults", s.alive(s.postFaults))
	s.mux.HandleFunc("/", s.serve)
	return s
}

func (s *Server) newBoot(id string) *boot {
	if id == "" {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		id = hex.EncodeToString(b[:])
	}
	return &boot{id: id, grants: newGrants(), slots: make(chan struct{}, s.cfg.Slots),
		active: map[string]*request{}, dead: make(chan struct{})}
}

// Handler returns the HTTP interface of the target.
func (s *Server) Handler() http.Handler { return s }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// BootID returns the id of the current start.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot.id
}

// Restart ends all requests in flight without an answer and starts the target
// again: cold and without grants. Keys, ledger and counters are kept.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.die()
	s.boot = s.newBoot("")
}

// Close ends all requests in flight without an answer. Later ones are cut,
// until Restart.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot.die()
}

// die ends the requests in flight without an answer.
func (b *boot) die() {
	if !b.isDead {
		b.isDead = true
		close(b.dead)
	}
}

// alive cuts the connection when the target is dead.
func (s *Server) alive(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		dead := s.boot.isDead
		s.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// ConnState closes the connections beyond Config.MaxConnections. Servers set it
// as http.Server.ConnState.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.conns) >= s.cfg.MaxConnections {
			s.stats.RefusedConnections++
			_ = c.Close() // refused either way
			return
		}
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (b *boot) warm(cfg Config) bool { return b.completed >= cfg.ColdCompletions }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the reader is gone when this fails
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
