package target

import (
	"net/http"
	"time"
)

// outcome is the end of a request: an answer, a refusal or, with neither, a
// connection that is cut.
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
	out := s.arrive(req)
	if out == nil {
		out = s.run(req)
		defer s.leave(req)
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
	s.identify(w.Header(), req, req.id)
	w.Header().Set(HeaderNotRun, reason)
	writeError(w, http.StatusServiceUnavailable, "not run: "+reason)
}

func (s *Server) identify(h http.Header, req *request, id string) {
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderTarget, s.cfg.Name)
	h.Set(HeaderBootID, req.boot.id)
}

// arrive counts a request as in flight, or returns how it ends at once.
func (s *Server) arrive(req *request) *outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.boot
	req.boot = b
	s.stats.Requests++
	switch {
	case b.isDead:
		return &outcome{}
	case b.draining:
		return &outcome{refusal: NotRunDraining}
	case !b.warm(s.cfg) && s.cfg.ColdMaxInFlight > 0 && b.inFlight >= s.cfg.ColdMaxInFlight:
		s.stats.FellOver = true
		s.die(s.cfg.OnFallOver)
		return &outcome{}
	case b.inFlight >= s.cfg.MaxInFlight:
		return &outcome{refusal: NotRunShed}
	}
	if reason := s.ownership(req, beforeStart); reason != "" {
		return &outcome{refusal: reason}
	}
	b.inFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, b.inFlight)
	if req.id != "" {
		b.active[req.id] = req
	}
	s.sample()
	return nil
}

// die makes the target dead; the callback runs without the lock.
func (s *Server) die(callback func()) {
	s.boot.die()
	if callback != nil {
		go callback()
	}
}

// leave takes a request out of the counts after its answer.
func (s *Server) leave(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.boot.inFlight--
	if req.boot.active[req.id] == req {
		delete(req.boot.active, req.id)
	}
	s.sample()
}

// run waits for a slot, spends the service time and applies the request.
func (s *Server) run(req *request) *outcome {
	if out := s.waitForSlot(req); out != nil {
		return out
	}
	defer func() { <-req.boot.slots }()
	duration, out := s.begin(req)
	if out != nil {
		return out
	}
	defer s.finish(req)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.apply(req)
	case <-req.cancelled:
		return &outcome{refusal: NotRunCancelled}
	case <-req.boot.dead:
		return &outcome{}
	}
}

// waitForSlot does not watch the caller's connection: a request whose sender
// has gone still runs, as it does on most servers.
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
	case <-req.boot.dead:
		return &outcome{}
	}
}

// begin counts a request as running and returns its service time.
func (s *Server) begin(req *request) (time.Duration, *outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := req.boot
	req.start = time.Now()
	switch {
	case b.isDead:
		return 0, &outcome{}
	case req.isCancelled:
		return 0, &outcome{refusal: NotRunCancelled}
	case req.late(req.start):
		return 0, &outcome{refusal: NotRunDeadline}
	}
	if reason := s.ownership(req, beforeStart); reason != "" {
		return 0, &outcome{refusal: reason}
	}
	if req.crash {
		s.stats.Crashes++
		s.die(s.cfg.OnCrash)
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
	if !s.boot.warm(s.cfg) {
		d *= s.cfg.ColdFactor
	}
	if s.faults.SlowFactor > 0 {
		d *= s.faults.SlowFactor
	}
	return time.Duration(d)
}

// finish takes a request out of the running ones.
func (s *Server) finish(req *request) {
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

// apply makes the request take effect. The ownership is checked once more in
// the same critical section, so that a process that was paused while it ran a
// request writes nothing under a lease that has ended.
func (s *Server) apply(req *request) *outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := req.boot
	if b.isDead {
		return &outcome{}
	}
	if req.isCancelled {
		return &outcome{refusal: NotRunCancelled}
	}
	if reason := s.ownership(req, beforeEffect); reason != "" {
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
		IdempotencyKey: req.idempotency, RequestID: req.id, Method: req.method,
		StartUS: req.start.UnixMicro(), EndUS: time.Now().UnixMicro()}
	s.ledger.add(e, s.cfg.MaxExecutions, !req.isRead())
	if s.cfg.OnExecution != nil {
		s.cfg.OnExecution(e)
	}
	return &outcome{answer: &Answer{Target: s.cfg.Name, BootID: b.id, Key: req.key, Counter: s.counters[req.key],
		SHA256: req.bodyHash, Method: req.method, Tag: req.tag}}
}
