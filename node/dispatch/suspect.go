package dispatch

import (
	"strings"

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

// cleared ends the suspicion against a request that ran.
func (s *Service) cleared(req *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Completed(s.clock.Now(), quarantine.Fingerprint(fingerprint(req)))
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
	return s.budget.Take(s.clock.Now())
}

// refusals returns what the quarantine spreads; mu is held.
func (s *Service) refusals() []mapstore.Refusal {
	var out []mapstore.Refusal
	for _, r := range s.quarantine.Refusals(s.clock.Now()) {
		out = append(out, mapstore.Refusal{Fingerprint: uint64(r.Fingerprint), Remaining: r.Remaining})
	}
	return out
}

// MergeRefusals implements mapstore.RefusalSink.
func (s *Service) MergeRefusals(rs []mapstore.Refusal) {
	if len(rs) == 0 {
		return
	}
	list := make([]quarantine.Refusal, len(rs))
	for i, r := range rs {
		list[i] = quarantine.Refusal{Fingerprint: quarantine.Fingerprint(r.Fingerprint), Remaining: r.Remaining}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Merge(s.clock.Now(), list)
}

// serviceOf returns the service of a group name.
func serviceOf(group string) string {
	name, _, _ := strings.Cut(group, "/")
	return name
}
