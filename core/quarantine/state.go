package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/shardmap"
)

// Fingerprint identifies equal requests: the caller computes it as a hash of, among
// others, method, URI and body.
type Fingerprint uint64

// Config holds the limits of a State.
type Config struct {
	// Suspicion is how long a request stays suspect after a crash.
	Suspicion time.Duration
	// Refusal is how long a request is refused after its second crash.
	Refusal time.Duration
	// MaxEntries is the most requests that are kept. Beyond it, entries that have
	// ended are evicted first, then suspects, then refused requests, and of these
	// the one whose suspicion or refusal ends first.
	MaxEntries int
	// MaxCrashes is the most crashes that are remembered in order to ignore
	// repeated reports of the same crash.
	MaxCrashes int
}

// DefaultConfig returns the limits of one VM.
func DefaultConfig() Config {
	return Config{Suspicion: time.Minute, Refusal: time.Minute, MaxEntries: 16384, MaxCrashes: 1024}
}

// Decision is the result of Check.
type Decision uint8

const (
	Clear Decision = iota + 1 // may run beside other requests
	// RunAlone means that the request may run only while no other request runs on
	// its target and no equal request runs on any target. If two equal suspects
	// ran on two targets, three targets could crash.
	RunAlone
	Refused // must not be sent to any target
)

// entry is what is known about one request. It is kept for a while after until, so
// that another VM's later message about the same crash does not make the request
// suspect or refused again.
type entry struct {
	crash   uint64 // hash of the last crash that changed the entry
	refused bool
	until   time.Duration // end of the suspicion or refusal
}

// State holds the suspect and refused requests that one VM knows. It is not
// safe for concurrent use.
//
// Invariant: a request that was in flight at two different crashes, and was
// suspect at the second, is refused. So, until its refusal ends, a request crashes at
// most two targets, if at most two equal ones are in flight at the first crash.
type State struct {
	cfg     Config
	entries map[Fingerprint]entry
	crashes map[uint64]time.Duration // by hash: time of the first report
}

// New returns a State without suspects and refusals.
func New(cfg Config) *State {
	return &State{cfg: cfg, entries: map[Fingerprint]entry{}, crashes: map[uint64]time.Duration{}}
}

// Crashed reports that the process of a target, identified by its boot id,
// ended while the given requests were in flight. Those that were not suspect
// become suspect. A suspect becomes refused: for the whole Refusal time if it is the
// only request in flight, or the only one that the same earlier crash made suspect;
// otherwise only until its suspicion ends, because only one of several requests
// caused the crashes. Repeated reports of a crash are ignored.
func (s *State) Crashed(now time.Duration, target, bootID string, inFlight []Fingerprint) {
	s.expire(now)
	crash := shardmap.Hash(target, bootID)
	if _, known := s.crashes[crash]; known {
		return
	}
	s.rememberCrash(now, crash)
	inFlight = slices.Compact(slices.Sorted(slices.Values(inFlight)))
	common := map[uint64]int{} // number of suspects in flight, by the crash that made them suspect
	for _, fp := range inFlight {
		if e, ok := s.active(now, fp); ok && !e.refused {
			common[e.crash]++
		}
	}
	for _, fp := range inFlight {
		e, active := s.active(now, fp)
		switch {
		case !active:
			s.put(now, fp, entry{crash: crash, until: now + s.cfg.Suspicion})
		case e.refused || e.crash == crash:
		case len(inFlight) == 1 || common[e.crash] == 1:
			s.put(now, fp, entry{crash: crash, refused: true, until: now + s.cfg.Refusal})
		default:
			s.put(now, fp, entry{crash: crash, refused: true, until: e.until})
		}
	}
}

// active returns the entry of a request and whether its suspicion or refusal
// still lasts.
func (s *State) active(now time.Duration, fp Fingerprint) (entry, bool) {
	e, ok := s.entries[fp]
	return e, ok && now < e.until
}

// Check decides whether a request may run. It must be called immediately before
// the request is sent, because a crash can make a queued request suspect.
func (s *State) Check(now time.Duration, fp Fingerprint) Decision {
	e, active := s.active(now, fp)
	switch {
	case !active:
		return Clear
	case e.refused:
		return Refused
	default:
		return RunAlone
	}
}

// CompletedAlone reports that a suspect ran alone to its end, which ends its
// suspicion. It must not be called if the request was cancelled or timed out.
// It does not end a refusal.
func (s *State) CompletedAlone(now time.Duration, fp Fingerprint) {
	if e, active := s.active(now, fp); active && !e.refused {
		e.until = now
		s.entries[fp] = e
	}
}

// expire deletes entries and crashes that can no longer affect a decision.
func (s *State) expire(now time.Duration) {
	for fp, e := range s.entries {
		if now >= e.until+s.cfg.Suspicion+s.cfg.Refusal {
			delete(s.entries, fp)
		}
	}
	for crash, at := range s.crashes {
		// Keep a crash as long as a repeated report of it could affect an entry.
		if now >= at+s.cfg.Suspicion+s.cfg.Refusal {
			delete(s.crashes, crash)
		}
	}
}

// rememberCrash stores a crash and evicts the oldest one if there are too many.
func (s *State) rememberCrash(now time.Duration, crash uint64) {
	if len(s.crashes) >= s.cfg.MaxCrashes {
		var oldest uint64
		at := time.Duration(math.MaxInt64)
		for c, t := range s.crashes {
			if t < at || t == at && c < oldest {
				oldest, at = c, t
			}
		}
		delete(s.crashes, oldest)
	}
	s.crashes[crash] = now
}

// put stores an entry and evicts another one if there are too many.
func (s *State) put(now time.Duration, fp Fingerprint, e entry) {
	if _, ok := s.entries[fp]; !ok && len(s.entries) >= max(s.cfg.MaxEntries, 1) {
		delete(s.entries, s.evictionCandidate(now))
	}
	s.entries[fp] = e
}

// evictionCandidate returns the entry to evict: the first by compareRetention.
func (s *State) evictionCandidate(now time.Duration) Fingerprint {
	var candidate Fingerprint
	first := true
	for fp := range s.entries {
		if first || s.compareRetention(now, fp, candidate) < 0 {
			candidate, first = fp, false
		}
	}
	return candidate
}

// compareRetention orders entries by retentionRank, then by their end.
func (s *State) compareRetention(now time.Duration, a, b Fingerprint) int {
	ea, eb := s.entries[a], s.entries[b]
	return cmp.Or(cmp.Compare(retentionRank(now, ea), retentionRank(now, eb)), cmp.Compare(ea.until, eb.until), cmp.Compare(a, b))
}

// retentionRank returns 0 for an entry that has ended, 1 for a suspect and 2 for a
// refused request; the lowest are evicted first.
func retentionRank(now time.Duration, e entry) int {
	switch {
	case now >= e.until:
		return 0
	case e.refused:
		return 2
	default:
		return 1
	}
}
