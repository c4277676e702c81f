package platform

import (
	"context"
	"encoding/json"
	"math/rand"
	"net/http"
	"slices"
	"time"
)

// Faults are the faults that the log service injects. Only VMsDown applies to
// the VM list.
type Faults struct {
	Down        bool     `json:"down"`         // connections are closed without an answer
	DelayMS     int      `json:"delay_ms"`     // milliseconds before a request takes effect
	LoseAnswers float64  `json:"lose_answers"` // probability that an append takes effect but gets no answer
	DropAppends float64  `json:"drop_appends"` // probability that an append gets no answer and takes no effect
	Streams     []string `json:"streams"`      // affected streams; empty means all
	Seed        int64    `json:"seed"`         // of the random number generator for faults
	VMsDown     bool     `json:"vms_down"`     // requests for the VM list are closed without an answer
}

type faultState struct {
	Faults
	rng     *rand.Rand
	changed chan struct{} // closed when the faults are replaced
}

func (f *faultState) set(faults Faults) {
	if f.changed != nil {
		close(f.changed)
	}
	*f = faultState{Faults: faults, rng: rand.New(rand.NewSource(faults.Seed)), changed: make(chan struct{})}
}

func (f *faultState) affects(stream string) bool {
	return len(f.Streams) == 0 || slices.Contains(f.Streams, stream)
}

func (f *faultState) drawFault(stream string, rate float64) bool {
	return rate > 0 && f.affects(stream) && f.rng.Float64() < rate
}

// SetFaults replaces all faults. Waiting reads are woken so that the new faults
// apply to them too.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.set(f)
}

// delayOrAbort applies Faults.DelayMS and Faults.Down to a request for a stream.
// Closing the server ends the delay. The connection is aborted without an answer if
// ctx ends during the delay, or if the service is down before or after it.
func (s *Server) delayOrAbort(ctx context.Context, stream string) {
	s.mu.Lock()
	f, affected := s.faults.Faults, s.faults.affects(stream)
	s.mu.Unlock()
	if affected && f.DelayMS > 0 && !f.Down {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-s.closed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		f, affected = s.faults.Faults, s.faults.affects(stream)
		s.mu.Unlock()
	}
	if affected && f.Down {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults.Faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
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
