package dispatch

import (
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/timeline"
)

// fingerprint returns a hash of the request's content. Repeats of a request have
// the same fingerprint on every VM.
func fingerprint(req *Request) uint64 {
	return shardmap.Hash(req.Service, req.Method, req.URI, req.Key, string(req.Body))
}

func (s *Service) viewDocument(view func(*inventory.Document)) {
	s.replica.View(func(st *control.State) {
		doc, _ := st.Document()
		view(&doc)
	})
}

// checkQuarantine reports whether the request must run alone on its target because
// it is a crash suspect, and whether it is refused.
func (s *Service) checkQuarantine(req *Request) (exclusive, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.quarantine.Check(s.clock.Now(), quarantine.Fingerprint(fingerprint(req))) {
	case quarantine.RunAlone:
		return true, false
	case quarantine.Refused:
		return false, true
	}
	return false, false
}

// acquireExclusiveRun returns false if a crash suspect with the same fingerprint
// is running, so that at most one of them runs at a time.
func (s *Service) acquireExclusiveRun(fp uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exclusiveRuns[fp] {
		return false
	}
	s.exclusiveRuns[fp] = true
	return true
}

func (s *Service) releaseExclusiveRun(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exclusiveRuns, fp)
}

// clearSuspicion tells the quarantine that a crash suspect completed while no
// other request ran on its target.
func (s *Service) clearSuspicion(req *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.CompletedAlone(s.clock.Now(), quarantine.Fingerprint(fingerprint(req)))
}

// checkForCrash queries the target after a connection broke. Unless the same
// process answers, the target counts as crashed and the requests in flight there
// become crash suspects. Callers retry only after that, so that no suspect is sent
// as an ordinary request.
func (s *Service) checkForCrash(g *group, t inventory.Target) {
	inFlight := g.inFlightFingerprints(t.Name)
	g.mu.Lock()
	boot := g.boots[t.Name]
	g.mu.Unlock()
	if s.observe(g, t) {
		return // the target is still the same process; only the connection broke
	}
	fingerprints := make([]quarantine.Fingerprint, len(inFlight))
	for i, f := range inFlight {
		fingerprints[i] = quarantine.Fingerprint(f)
	}
	s.mu.Lock()
	s.quarantine.Crashed(s.clock.Now(), t.Name, boot, fingerprints)
	s.mu.Unlock()
	s.events.Record(timeline.Event{Kind: "target.crashed", Group: g.name, Target: t.Name})
}

// countFirstAttempt counts a request for the retry budget, which limits retries of
// attempts that may have run to a share of the requests.
func (s *Service) countFirstAttempt(*Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(s.clock.Now())
}

func (s *Service) takeRetryToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(s.clock.Now())
}

// refusals returns the refused and suspect fingerprints that this VM tells the
// other VMs. The caller holds mu.
func (s *Service) refusals() []mapstore.Refusal {
	var out []mapstore.Refusal
	now := s.clock.Now()
	for _, r := range s.quarantine.Refusals(now) {
		out = append(out, mapstore.Refusal{Fingerprint: uint64(r.Fingerprint), Crash: r.Crash, Remaining: r.Remaining})
	}
	for _, r := range s.quarantine.Suspects(now) {
		out = append(out, mapstore.Refusal{Fingerprint: uint64(r.Fingerprint), Crash: r.Crash, Suspect: true, Remaining: r.Remaining})
	}
	return out
}

// MergeRefusals implements mapstore.RefusalSink.
func (s *Service) MergeRefusals(rs []mapstore.Refusal) {
	if len(rs) == 0 {
		return
	}
	var refused []quarantine.Refusal
	var suspects []quarantine.Suspect
	for _, r := range rs {
		fp := quarantine.Fingerprint(r.Fingerprint)
		if r.Suspect {
			suspects = append(suspects, quarantine.Suspect{Fingerprint: fp, Crash: r.Crash, Remaining: r.Remaining})
		} else {
			refused = append(refused, quarantine.Refusal{Fingerprint: fp, Crash: r.Crash, Remaining: r.Remaining})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.quarantine.MergeRefusals(now, refused)
	s.quarantine.MergeSuspects(now, suspects)
}
