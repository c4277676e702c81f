package dispatch

import (
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/quarantine"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/timeline"
)

// fingerprint identifies a request that is sent again, whatever VM it comes by.
func fingerprint(req *Request) uint64 {
	return shardmap.Hash(req.Service, req.Method, req.URI, req.Key, string(req.Body))
}

func (s *Service) viewDocument(do func(*inventory.Document)) {
	s.replica.View(func(st *control.State) {
		doc, _ := st.Document()
		do(&doc)
	})
}

func (s *Service) checkQuarantine(req *Request) (alone, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.quarantine.Check(s.clock.Now(), quarantine.Fingerprint(fingerprint(req))) {
	case quarantine.Alone:
		return true, false
	case quarantine.Refused:
		return false, true
	}
	return false, false
}

// takeAlone lets only one of several equal suspects run at a time.
func (s *Service) takeAlone(fp uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alone[fp] {
		return false
	}
	s.alone[fp] = true
	return true
}

func (s *Service) leaveAlone(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.alone, fp)
}

// cleared ends the suspicion against a request that ran alone.
func (s *Service) cleared(req *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.CompletedAlone(s.clock.Now(), quarantine.Fingerprint(fingerprint(req)))
}

// suspectCrash finds out whether a target crashed and marks what it had in
// flight. It returns before any of that is sent again.
func (s *Service) suspectCrash(g *group, t inventory.Target) {
	inFlight := g.inFlight(t.Name)
	g.mu.Lock()
	boot := g.boots[t.Name]
	g.mu.Unlock()
	if s.observe(g, t) {
		return // only the connection broke
	}
	fps := make([]quarantine.Fingerprint, len(inFlight))
	for i, f := range inFlight {
		fps[i] = quarantine.Fingerprint(f)
	}
	s.mu.Lock()
	s.quarantine.Crashed(s.clock.Now(), t.Name, boot, fps)
	s.mu.Unlock()
	s.events.Record(timeline.Event{Kind: "target.crashed", Group: g.name, Target: t.Name})
}

// requested feeds the retry budget.
func (s *Service) requested(*Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(s.clock.Now())
}

func (s *Service) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(s.clock.Now())
}

// refusals returns what the quarantine spreads; mu is held.
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
	s.quarantine.Merge(now, refused)
	s.quarantine.MergeSuspects(now, suspects)
}
