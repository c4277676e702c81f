package target

import (
	"encoding/json"
	mathrand "math/rand"
	"net/http"
	"time"
)

// Faults are the faults of a target. Rates are between 0 and 1.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`      // multiplies the service time; 0 means 1
	AnswerLateMS    int     `json:"answer_late_ms"`   // between the effect and the answer
	AnswerLate      float64 `json:"answer_late"`      // rate of late answers; 0 means 1 if AnswerLateMS is set
	WrongRequestID  float64 `json:"wrong_request_id"` // rate of answers that carry another request's id
	ShortBody       float64 `json:"short_body"`       // rate of answers that are cut in the middle
	DuplicateAnswer float64 `json:"duplicate_answer"` // rate of answers that are sent to the next request too
	TurnCold        bool    `json:"turn_cold"`        // makes the target cold once
	Draining        bool    `json:"draining"`         // refuses new requests
	Seed            int64   `json:"seed"`             // of the draws
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.AnswerLateMS > 0 && f.AnswerLate == 0 {
		f.AnswerLate = 1
	}
	if f.TurnCold {
		s.boot.completed = 0
	}
	s.boot.draining = f.Draining
	s.faults = f
	s.rng = mathrand.New(mathrand.NewSource(f.Seed))
	s.sample()
}

// draws are the faults of one answer.
type draws struct {
	late         time.Duration
	id           string
	short, twice bool
}

func (s *Server) drawFaults(req *request) draws {
	s.mu.Lock()
	defer s.mu.Unlock()
	hit := func(rate float64) bool { return rate > 0 && s.rng.Float64() < rate }
	d := draws{id: req.id}
	if hit(s.faults.AnswerLate) {
		d.late = time.Duration(s.faults.AnswerLateMS) * time.Millisecond
	}
	if hit(s.faults.WrongRequestID) {
		if d.id = s.lastID; d.id == "" || d.id == req.id {
			d.id = "wrong-" + req.id
		}
	}
	d.short = hit(s.faults.ShortBody)
	d.twice = hit(s.faults.DuplicateAnswer)
	s.lastID = req.id
	return d
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) postCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	req, ok := s.boot.active[r.URL.Query().Get("id")]
	if ok && !req.isCancelled {
		req.isCancelled = true
		close(req.cancelled)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]bool{"cancelled": ok})
}
