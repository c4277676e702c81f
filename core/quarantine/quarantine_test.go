package quarantine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run gives the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	_ = flag.Set("rapid.nofailfile", "true")
}

const crasher = Fingerprint(1000) // ends each process that runs it

// sim runs requests on targets the way a dispatcher does.
type sim struct {
	state   *State
	now     time.Duration
	running [][]Fingerprint // by target
	alone   []bool          // by target
	boots   []int
	crashes int                           // with the crasher in flight
	suspect map[Fingerprint]time.Duration // first crash with the request in flight
}

func (s *sim) start(target int, fp Fingerprint) {
	switch s.state.Check(s.now, fp) {
	case Clear:
		if s.alone[target] || fp == crasher && s.inFlight(crasher) >= 2 {
			return // the caller sends it again at most once before an answer
		}
	case Alone:
		if len(s.running[target]) > 0 || s.inFlight(fp) > 0 {
			return
		}
		s.alone[target] = true
	case Refused:
		return
	}
	s.running[target] = append(s.running[target], fp)
}

func (s *sim) inFlight(fp Fingerprint) (n int) {
	for _, list := range s.running {
		for _, other := range list {
			if other == fp {
				n++
			}
		}
	}
	return n
}

func (s *sim) finish(target int) {
	list := s.running[target]
	if len(list) == 0 || list[0] == crasher {
		return
	}
	if s.alone[target] {
		s.state.CompletedAlone(s.now, list[0])
		delete(s.suspect, list[0])
		s.alone[target] = false
	}
	s.running[target] = list[1:]
}

func (s *sim) crash(target int) {
	ended := false
	for _, fp := range s.running[target] {
		ended = ended || fp == crasher
	}
	if !ended {
		return
	}
	for _, fp := range s.running[target] {
		if _, ok := s.suspect[fp]; !ok {
			s.suspect[fp] = s.now
		}
	}
	s.crashes++
	s.state.Crashed(s.now, fmt.Sprint(target), fmt.Sprint(s.boots[target]), s.running[target])
	s.boots[target]++
	s.running[target], s.alone[target] = nil, false
}

// Guards against a crashing request that ends a third target, and innocent
// requests that are refused beyond their suspicion.
func TestCrashingRequestEndsTwoTargetsAtMost(t *testing.T) {
	twice := 0
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(2, 5).Draw(t, "targets")
		s := &sim{state: New(DefaultConfig()), running: make([][]Fingerprint, targets), alone: make([]bool, targets),
			boots: make([]int, targets), suspect: map[Fingerprint]time.Duration{}}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 250).Draw(t, "ms")) * time.Millisecond
			target := rapid.IntRange(0, targets-1).Draw(t, "target")
			switch rapid.SampledFrom([]string{"start", "start", "crasher", "finish", "crash"}).Draw(t, "step") {
			case "start":
				s.start(target, Fingerprint(rapid.IntRange(1, 8).Draw(t, "request")))
			case "crasher":
				s.start(target, crasher)
			case "finish":
				s.finish(target)
			case "crash":
				s.crash(target)
			}
			require.LessOrEqual(t, s.crashes, 2)
			if s.crashes == 2 {
				require.Equal(t, Refused, s.state.Check(s.now, crasher))
				twice++
			}
			for fp := Fingerprint(1); fp <= 8; fp++ {
				if s.state.Check(s.now, fp) == Refused {
					since, ok := s.suspect[fp]
					require.True(t, ok, "request %d was in flight at no crash", fp)
					require.Less(t, s.now-since, DefaultConfig().Suspicion)
				}
			}
		}
	})
	require.Positive(t, twice, "no run came to a second crash")
}

// Guards against a crashing request that returns early because others were in
// flight, and against innocent ones refused for the whole refusal.
func TestRefusalEnds(t *testing.T) {
	for name, c := range map[string]struct {
		second []Fingerprint
		end    time.Duration
	}{
		"alone":                  {[]Fingerprint{crasher}, 90 * time.Second},
		"the only common one":    {[]Fingerprint{crasher, 9}, 90 * time.Second},
		"one of two common ones": {[]Fingerprint{crasher, 7}, 60 * time.Second},
	} {
		s := New(DefaultConfig())
		s.Crashed(0, "t1", "1", []Fingerprint{crasher, 7})
		s.Crashed(30*time.Second, "t2", "1", c.second)
		require.Equal(t, Refused, s.Check(c.end-1, crasher), name)
		require.Equal(t, Clear, s.Check(c.end, crasher), name)
	}
}

// Guards against a refusal that two VMs keep alive for each other, and against
// needing two crashes on each VM.
func TestSpread(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	now := time.Hour
	a.Crashed(now, "t1", "1", []Fingerprint{crasher, 7})
	a.Crashed(now, "t1", "1", []Fingerprint{crasher, 7}) // the same crash, reported again
	require.Equal(t, Alone, a.Check(now, crasher))
	b.MergeSuspects(now, a.Suspects(now))
	require.Equal(t, Alone, b.Check(now, 7))
	b.CompletedAlone(now, 7)
	b.MergeSuspects(now, a.Suspects(now))
	require.Equal(t, Clear, b.Check(now, 7), "cleared, and not made suspect by the same crash again")
	b.Crashed(now, "t2", "1", []Fingerprint{crasher})
	require.Len(t, b.Refusals(now), 1)
	for range 400 { // messages take longer than they are apart
		a.Merge(now+150*time.Millisecond, b.Refusals(now))
		b.Merge(now+150*time.Millisecond, a.Refusals(now))
		now += 200 * time.Millisecond
		if now < time.Hour+59*time.Second {
			require.Equal(t, Refused, a.Check(now, crasher))
		}
	}
	require.Equal(t, Clear, a.Check(now, crasher))
	require.Equal(t, Clear, b.Check(now, crasher))
}

// Guards against memory that grows with crashes, and a refusal that gives way
// to suspects.
func TestMemoryIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries, cfg.MaxCrashes = 10, 5
	s := New(cfg)
	s.Crashed(0, "t", "a", []Fingerprint{crasher})
	s.Crashed(0, "t", "b", []Fingerprint{crasher})
	for i := range 100 {
		s.Crashed(time.Duration(i)*time.Millisecond, "t", fmt.Sprint(i), []Fingerprint{Fingerprint(i), Fingerprint(i + 500)})
		require.LessOrEqual(t, len(s.entries), cfg.MaxEntries)
		require.LessOrEqual(t, len(s.crashes), cfg.MaxCrashes)
	}
	require.Equal(t, Refused, s.Check(time.Second, crasher))
}
