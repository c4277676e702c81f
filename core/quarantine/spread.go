package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Refusal is a refused request, as sent to other VMs. The remaining time is
// relative because the clocks of VMs are not comparable. A VM adopts a refusal
// only once for each crash: otherwise two VMs would extend it for each other by
// the transit time of every message.
type Refusal struct {
	Fingerprint Fingerprint
	Crash       uint64 // hash that identifies the crash that led to the refusal
	Remaining   time.Duration
}

// Suspect is a suspect request, as sent to other VMs. Without it, each VM would
// need two crashes of its own targets to refuse the request.
type Suspect struct {
	Fingerprint Fingerprint
	Crash       uint64 // hash that identifies the crash that made the request suspect
	Remaining   time.Duration
}

// Refusals returns the requests that are refused now, ordered by fingerprint.
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

// Suspects returns the requests that are suspect now, ordered by fingerprint.
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

// MergeRefusals adopts the refusals of another VM that end later than those known
// here, each at most once for one crash.
func (s *State) MergeRefusals(now time.Duration, list []Refusal) {
	for _, r := range list {
		until := now + min(r.Remaining, s.cfg.Refusal)
		e, known := s.entries[r.Fingerprint]
		if until <= now || known && e.refused && (e.crash == r.Crash || e.until >= until) {
			continue
		}
		s.put(now, r.Fingerprint, entry{crash: r.Crash, refused: true, until: until})
	}
}

// MergeSuspects adopts the suspects of another VM. A request that is already
// suspect here because of an earlier crash stays suspect and is not refused: it
// may have run alone to its end between the two crashes. Only the VM that
// dispatched the request knows whether it did; if not, that VM refuses it.
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
