package target

import (
	"net/http"
	"time"
)

// outcome is the result of a request: an answer or a refusal. If both are
// empty, the connection is aborted without a response.
type outcome struct {
	refusal string
	answer  *Answer
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	req, err := s.parse(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	out := s.admit(req)
	if out == nil {
		out = s.run(req)
		defer s.removeInFlight(req)
	}
	switch {
	case out.answer != nil:
		s.send(w, r, req, out.answer)
	case out.refusal != "":
		s.refuse(w, req, out.refusal)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) refuse(w http.ResponseWriter, req *request, reason string) {
	s.mu.Lock()
	s.stats.Refused[reason]++
	s.mu.Unlock()
	s.setIdentityHeaders(w.Header(), req, req.id)
	w.Header().Set(HeaderNotRun, reason)
	writeError(w, http.StatusServiceUnavailable, "not run: "+reason)
}

func (s *Server) setIdentityHeaders(h http.Header, req *request, id string) {
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderTarget, s.cfg.Name)
	h.Set(HeaderBootID, req.boot.id)
}

// admit counts a request as in flight and returns nil, or returns the outcome of a
// request that is not admitted.
func (s *Server) admit(req *request) *outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boot
	req.boot = b
	s.stats.Requests++
	switch {
	case b.isStopped:
		return &outcome{}
	case b.draining:
		return &outcome{refusal: NotRunDraining}
	case !b.isWarm(s.cfg) && s.cfg.ColdMaxInFlight > 0 && b.inFlight >= s.cfg.ColdMaxInFlight:
		s.stats.FellOver = true
		s.stop(s.cfg.OnFallOver)
		return &outcome{}
	case b.inFlight >= s.cfg.MaxInFlight:
		return &outcome{refusal: NotRunShed}
	}
	if reason := s.checkOwnership(req, beforeStart); reason != "" {
		return &outcome{refusal: reason}
	}
	b.inFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, b.inFlight)
	if req.id != "" {
		b.active[req.id] = req
	}
	s.recordSample()
	return nil
}

// stop stops the current boot and runs the callback in its own goroutine, so
// that the callback may call the server. It must be called with mu held.
func (s *Server) stop(callback func()) {
	s.boot.stop()
	if callback != nil {
		go callback()
	}
}

func (s *Server) removeInFlight(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.boot.inFlight--
	if req.boot.active[req.id] == req {
		delete(req.boot.active, req.id)
	}
	s.recordSample()
}

// run waits for a slot, sleeps for the service time and applies the effect of
// the request.
func (s *Server) run(req *request) *outcome {
	if out := s.waitForSlot(req); out != nil {
		return out
	}
	defer func() { <-req.boot.slots }()
	duration, out := s.startRunning(req)
	if out != nil {
		return out
	}
	defer s.endRunning(req)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.applyEffect(req)
	case <-req.cancelled:
		return &outcome{refusal: NotRunCancelled}
	case <-req.boot.stopped:
		return &outcome{}
	}
}

// waitForSlot waits for a free slot, takes it and returns nil, or returns the
// outcome if the request ends earlier. It does not watch the connection: a request
// whose sender has disconnected is still executed, as on most servers.
func (s *Server) waitForSlot(req *request) *outcome {
	var expired <-chan time.Time
	if !req.deadline.IsZero() {
		timer := time.NewTimer(time.Until(req.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case req.boot.slots <- struct{}{}:
		return nil
	case <-expired:
		return &outcome{refusal: NotRunDeadline}
	case <-req.cancelled:
		return &outcome{refusal: NotRunCancelled}
	case <-req.boot.stopped:
		return &outcome{}
	}
}

// startRunning counts a request as running and returns its service time, or
// returns the outcome that ends it before it runs.
func (s *Server) startRunning(req *request) (time.Duration, *outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := req.boot
	req.start = time.Now()
	switch {
	case b.isStopped:
		return 0, &outcome{}
	case req.isCancelled:
		return 0, &outcome{refusal: NotRunCancelled}
	case req.expired(req.start):
		return 0, &outcome{refusal: NotRunDeadline}
	}
	if reason := s.checkOwnership(req, beforeStart); reason != "" {
		return 0, &outcome{refusal: reason}
	}
	if req.crash {
		s.stats.Crashes++
		s.stop(s.cfg.OnCrash)
		return 0, &outcome{}
	}
	req.started = true
	b.running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, b.running)
	if req.shard >= 0 {
		b.grants.running[req.shard]++
	}
	return s.serviceTime(), nil
}

func (s *Server) serviceTime() time.Duration {
	d := float64(s.cfg.ServiceTime)
	if s.cfg.Distribution == Exponential {
		d *= s.rng.ExpFloat64()
	}
	if !s.boot.isWarm(s.cfg) {
		d *= s.cfg.ColdFactor
	}
	if s.faults.SlowFactor > 0 {
		d *= s.faults.SlowFactor
	}
	return time.Duration(d)
}

func (s *Server) endRunning(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := req.boot
	b.running--
	if req.shard < 0 {
		return
	}
	if b.grants.running[req.shard]--; b.grants.running[req.shard] == 0 {
		delete(b.grants.running, req.shard)
	}
}

// applyEffect executes the request's read or write. It checks the ownership again
// in the same critical section, so that a process that was paused while it ran a
// request writes nothing after its lease has expired.
func (s *Server) applyEffect(req *request) *outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := req.boot
	if b.isStopped {
		return &outcome{}
	}
	if req.isCancelled {
		return &outcome{refusal: NotRunCancelled}
	}
	if reason := s.checkOwnership(req, beforeEffect); reason != "" {
		return &outcome{refusal: reason}
	}
	if req.isRead() {
		s.stats.Reads++
	} else {
		s.stats.Writes++
		s.counters[req.key]++
	}
	b.completed++
	e := Execution{Target: s.cfg.Name, BootID: b.id, Key: req.key, Shard: req.shard, Fence: req.fence, Epoch: req.epoch,
		IdempotencyKey: req.idempotencyKey, RequestID: req.id, Method: req.method,
		StartUS: req.start.UnixMicro(), EndUS: time.Now().UnixMicro()}
	s.ledger.add(e, s.cfg.MaxExecutions, !req.isRead())
	if s.cfg.OnExecution != nil {
		s.cfg.OnExecution(e)
	}
	return &outcome{answer: &Answer{Target: s.cfg.Name, BootID: b.id, Key: req.key, Counter: s.counters[req.key],
		SHA256: req.bodyHash, Method: req.method, Tag: req.tag}}
}
