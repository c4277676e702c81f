package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/shardmap"
)

// Fingerprint identifies equal requests: a hash of method, path and body.
type Fingerprint uint64

// Config holds the limits of a State.
type Config struct {
	// Suspicion is how long a request stays suspect after a crash.
	Suspicion time.Duration
	// Refusal is how long a request is refused after its second crash.
	Refusal time.Duration
	// MaxEntries limits the suspect and refused requests that are remembered.
	// Beyond it, those that end first are forgotten, refused ones last.
	MaxEntries int
	// MaxCrashes limits the crashes that are remembered to recognise repeated
	// reports of the same one.
	MaxCrashes int
}

// DefaultConfig returns the limits of one VM.
func DefaultConfig() Config {
	return Config{Suspicion: time.Minute, Refusal: time.Minute, MaxEntries: 16384, MaxCrashes: 1024}
}

// Decision is the answer of Check.
type Decision uint8

// The decisions of Check.
const (
	Clear Decision = iota + 1 // may run with others
	// Alone means that the request may run only while nothing else runs on its
	// target and no equal request runs on any target. Two equal suspects that run
	// on two targets would bring the crashes to three.
	Alone
	Refused // must not run; this attempt was not run
)

// entry is what is known about one request. After its end it is kept for a
// while, so that another VM that heard of it later does not bring it back.
type entry struct {
	crash   uint64 // last crash that counted
	refused bool
	until   time.Duration // end of the suspicion or refusal
}

// State holds the suspect and refused requests that one VM knows. It is not
// safe for concurrent use.
//
// Invariant: a request that was in flight at two different crashes, the second
// while it was suspect, is refused; so at most two targets fall to it.
type State struct {
	cfg     Config
	entries map[Fingerprint]entry
	crashes map[uint64]time.Duration // when each was first reported
}

// New returns an empty state.
func New(cfg Config) *State {
	return &State{cfg: cfg, entries: map[Fingerprint]entry{}, crashes: map[uint64]time.Duration{}}
}

// Crashed reports that the process of a target with a boot id ended while the
// given requests were in flight. Requests that were not suspect become so.
// Suspect ones are refused: for the whole Refusal if they ran alone or were the
// only request common to both crashes, otherwise until their suspicion ends,
// because only one of them is to blame. A repeated report of a crash changes
// nothing.
func (s *State) Crashed(now time.Duration, target, bootID string, inFlight []Fingerprint) {
	s.expire(now)
	crash := shardmap.Hash(target, bootID)
	if _, known := s.crashes[crash]; known {
		return
	}
	s.rememberCrash(now, crash)
	inFlight = slices.Compact(slices.Sorted(slices.Values(inFlight)))
	common := map[uint64]int{} // suspects in flight, by the crash that made them suspect
	for _, fp := range inFlight {
		if e, ok := s.live(now, fp); ok && !e.refused {
			common[e.crash]++
		}
	}
	for _, fp := range inFlight {
		e, live := s.live(now, fp)
		switch {
		case !live:
			s.put(now, fp, entry{crash: crash, until: now + s.cfg.Suspicion})
		case e.refused || e.crash == crash:
		case len(inFlight) == 1 || common[e.crash] == 1:
			s.put(now, fp, entry{crash: crash, refused: true, until: now + s.cfg.Refusal})
		default:
			s.put(now, fp, entry{crash: crash, refused: true, until: e.until})
		}
	}
}

func (s *State) live(now time.Duration, fp Fingerprint) (entry, bool) {
	e, ok := s.entries[fp]
	return e, ok && now < e.until
}

// Check decides whether a request may run. It must be called immediately before
// sending, because a crash can make a queued request suspect.
func (s *State) Check(now time.Duration, fp Fingerprint) Decision {
	e, live := s.live(now, fp)
	switch {
	case !live:
		return Clear
	case e.refused:
		return Refused
	default:
		return Alone
	}
}

// CompletedAlone reports that a suspect ran alone to the end; it is suspect no
// longer. It is not called for one that was cancelled or timed out. A refusal stays.
func (s *State) CompletedAlone(now time.Duration, fp Fingerprint) {
	if e, live := s.live(now, fp); live && !e.refused {
		e.until = now
		s.entries[fp] = e
	}
}

func (s *State) expire(now time.Duration) {
	for fp, e := range s.entries {
		if now >= e.until+s.cfg.Suspicion+s.cfg.Refusal {
			delete(s.entries, fp)
		}
	}
	for crash, at := range s.crashes {
		// The same crash may be reported again as long as it can matter.
		if now >= at+s.cfg.Suspicion+s.cfg.Refusal {
			delete(s.crashes, crash)
		}
	}
}

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

// put stores an entry and makes room for it if needed.
func (s *State) put(now time.Duration, fp Fingerprint, e entry) {
	if _, ok := s.entries[fp]; !ok && len(s.entries) >= max(s.cfg.MaxEntries, 1) {
		delete(s.entries, s.firstToForget(now))
	}
	s.entries[fp] = e
}

// firstToForget returns the entry that matters least: one that has ended, then
// a suspect, then a refusal, and of these the one that ends first.
func (s *State) firstToForget(now time.Duration) Fingerprint {
	var victim Fingerprint
	first := true
	for fp := range s.entries {
		if first || s.compareWorth(now, fp, victim) < 0 {
			victim, first = fp, false
		}
	}
	return victim
}

func (s *State) compareWorth(now time.Duration, a, b Fingerprint) int {
	ea, eb := s.entries[a], s.entries[b]
	return cmp.Or(cmp.Compare(worth(now, ea), worth(now, eb)), cmp.Compare(ea.until, eb.until), cmp.Compare(a, b))
}

func worth(now time.Duration, e entry) int {
	switch {
	case now >= e.until:
		return 0
	case e.refused:
		return 2
	default:
		return 1
	}
}
