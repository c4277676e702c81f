package target

import (
	"encoding/json"
	mathrand "math/rand"
	"net/http"
	"time"
)

// Faults are the faults that a target injects. Rates are probabilities between
// 0 and 1, drawn for each answer.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`      // multiplies the service time; 0 means 1
	AnswerLateMS    int     `json:"answer_late_ms"`   // milliseconds between a request's effect and its answer
	AnswerLate      float64 `json:"answer_late"`      // rate of answers delayed by AnswerLateMS; 0 means 1 if AnswerLateMS is set
	WrongRequestID  float64 `json:"wrong_request_id"` // rate of answers that carry the id of another request
	ShortBody       float64 `json:"short_body"`       // rate of answers that are truncated to half of their body
	DuplicateAnswer float64 `json:"duplicate_answer"` // rate of answers that are also sent to the next request on the connection; not for HEAD
	TurnCold        bool    `json:"turn_cold"`        // makes the target cold once, when the faults are set
	Draining        bool    `json:"draining"`         // refuses new requests
	Seed            int64   `json:"seed"`             // of the random number generator for faults and service times
}

// SetFaults replaces all faults and reseeds the random number generator.
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
	s.recordSample()
}

// answerFaults are the faults that were drawn for one answer.
type answerFaults struct {
	delay            time.Duration
	id               string // request id that the answer carries
	short, duplicate bool
}

func (s *Server) drawFaults(req *request) answerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	occurs := func(rate float64) bool { return rate > 0 && s.rng.Float64() < rate }
	d := answerFaults{id: req.id}
	if occurs(s.faults.AnswerLate) {
		d.delay = time.Duration(s.faults.AnswerLateMS) * time.Millisecond
	}
	if occurs(s.faults.WrongRequestID) {
		if d.id = s.lastRequestID; d.id == "" || d.id == req.id {
			d.id = "wrong-" + req.id
		}
	}
	d.short = occurs(s.faults.ShortBody)
	d.duplicate = occurs(s.faults.DuplicateAnswer)
	s.lastRequestID = req.id
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
