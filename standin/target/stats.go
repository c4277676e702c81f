package target

import (
	"maps"
	"net/http"
	"time"
)

// Execution is one request that took effect. Times are wall clock times in
// microseconds since 1970-01-01 UTC.
type Execution struct {
	Target         string `json:"target"`
	BootID         string `json:"boot_id"`
	Key            string `json:"key"`
	Shard          int    `json:"shard"` // -1 if the request has no HeaderShard
	Fence          uint64 `json:"fence"`
	Epoch          uint64 `json:"epoch"`
	IdempotencyKey string `json:"idempotency_key"`
	RequestID      string `json:"request_id"`
	Method         string `json:"method"`
	StartUS        int64  `json:"start_us"`
	EndUS          int64  `json:"end_us"`
}

// Ledger lists what the target has executed, over all boots. Counts holds the
// number of executed writes by idempotency key, also of those that Executions no
// longer lists.
type Ledger struct {
	Target     string         `json:"target"`
	BootID     string         `json:"boot_id"`
	Executions []Execution    `json:"executions"`
	Dropped    int            `json:"dropped"` // number of older executions that are no longer listed
	Counts     map[string]int `json:"counts"`
}

type ledger struct {
	executions []Execution
	dropped    int
	counts     map[string]int
}

func (l *ledger) add(e Execution, limit int, write bool) {
	if e.IdempotencyKey != "" && write {
		l.counts[e.IdempotencyKey]++
	}
	if len(l.executions) >= limit {
		l.executions = l.executions[1:]
		l.dropped++
	}
	l.executions = append(l.executions, e)
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{Target: s.cfg.Name, BootID: s.boot.id, Dropped: s.ledger.dropped,
		Executions: append([]Execution{}, s.ledger.executions...), Counts: maps.Clone(s.ledger.counts)}
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Ledger())
}

// Stats holds the counters of the target since New, over all boots, and its
// current state.
type Stats struct {
	Target             string            `json:"target"`
	BootID             string            `json:"boot_id"`
	Requests           uint64            `json:"requests"`
	Reads              uint64            `json:"reads"`   // that took effect
	Writes             uint64            `json:"writes"`  // that took effect
	Refused            map[string]uint64 `json:"refused"` // by the value of HeaderNotRun
	Grants             uint64            `json:"grants"`  // including refused ones
	GrantsRefused      uint64            `json:"grants_refused"`
	RefusedConnections uint64            `json:"refused_connections"`
	Connections        int               `json:"connections"`
	InFlight           int               `json:"in_flight"`
	Running            int               `json:"running"`
	MaxInFlight        int               `json:"max_in_flight"`
	MaxRunning         int               `json:"max_running"`
	Warm               bool              `json:"warm"`
	FellOver           bool              `json:"fell_over"`
	Crashes            int               `json:"crashes"`
}

func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Refused = maps.Clone(s.stats.Refused)
	out.Target, out.BootID = s.cfg.Name, s.boot.id
	out.InFlight, out.Running = s.boot.inFlight, s.boot.running
	out.Warm, out.Connections = s.boot.isWarm(s.cfg), len(s.conns)
	return out
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// Load is a load report of the target.
type Load struct {
	BootID   string `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Warm     bool   `json:"warm"`
	Draining bool   `json:"draining"`
}

// loadSample is the load at a past time; load reports lag by Config.LoadLag.
type loadSample struct {
	takenAt time.Time
	load    Load
}

// recordSample records the current load and drops the samples that are too old for
// any later load report. It must be called with mu held.
func (s *Server) recordSample() {
	b, now := s.boot, time.Now()
	b.samples = append(b.samples, loadSample{takenAt: now, load: Load{BootID: b.id, InFlight: b.inFlight,
		Slots: s.cfg.Slots, Warm: b.isWarm(s.cfg), Draining: b.draining}})
	b.trimSamples(now.Add(-s.cfg.LoadLag))
}

// trimSamples keeps the newest sample taken at or before a time and all later ones.
func (b *boot) trimSamples(before time.Time) {
	for len(b.samples) > 1 && !b.samples[1].takenAt.After(before) {
		b.samples = b.samples[1:]
	}
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if len(s.boot.samples) == 0 {
		s.recordSample()
	}
	s.boot.trimSamples(time.Now().Add(-s.cfg.LoadLag))
	load := s.boot.samples[0].load
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}
