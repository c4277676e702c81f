package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Refusal is a refused request, as spread to other VMs. The time is relative
// because the clocks of VMs are not comparable. A VM takes over a refusal once
// for each crash: otherwise two VMs would lengthen it for each other by the time
// that the message takes.
type Refusal struct {
	Fingerprint Fingerprint
	Crash       uint64 // identifies the crash that led to it
	Remaining   time.Duration
}

// Suspect is a suspect request, as spread to other VMs. Without it, each VM
// whose targets a request reaches would need two crashes of its own.
type Suspect struct {
	Fingerprint Fingerprint
	Crash       uint64 // identifies the crash that made it suspect
	Remaining   time.Duration
}

// Refusals returns the refused requests in the order of their fingerprints.
func (s *State) Refusals(now time.Duration) []Refusal {
	var list []Refusal
	for fp, e := range s.entries {
		if e.refused && now < e.until {
			list = append(list, Refusal{Fingerprint: fp, Crash: e.crash, Remaining: e.until - now})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Suspects returns the suspect requests in the order of their fingerprints.
func (s *State) Suspects(now time.Duration) []Suspect {
	var list []Suspect
	for fp, e := range s.entries {
		if !e.refused && now < e.until {
			list = append(list, Suspect{Fingerprint: fp, Crash: e.crash, Remaining: e.until - now})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Merge takes over refusals of another VM.
func (s *State) Merge(now time.Duration, list []Refusal) {
	for _, r := range list {
		until := now + min(r.Remaining, s.cfg.Refusal)
		e, known := s.entries[r.Fingerprint]
		if until <= now || known && e.refused && (e.crash == r.Crash || e.until >= until) {
			continue
		}
		s.put(now, r.Fingerprint, entry{crash: r.Crash, refused: true, until: until})
	}
}

// MergeSuspects takes over suspects of another VM. A request that is suspect
// here because of an earlier crash stays suspect: it may have run alone in
// between at its dispatcher, which alone can tell and refuses it if not.
func (s *State) MergeSuspects(now time.Duration, list []Suspect) {
	for _, r := range list {
		until := now + min(r.Remaining, s.cfg.Suspicion)
		e, known := s.entries[r.Fingerprint]
		live := known && now < e.until
		if until <= now || known && e.crash == r.Crash || live && (e.refused || e.until >= until) {
			continue
		}
		s.put(now, r.Fingerprint, entry{crash: r.Crash, until: until})
	}
}
