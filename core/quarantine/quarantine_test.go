package quarantine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run tests the same histories.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	_ = flag.Set("rapid.nofailfile", "true")
}

const crashingRequest = Fingerprint(1000) // crashes every target that runs it

// sim runs requests on targets as a dispatcher does.
type sim struct {
	state   *State
	now     time.Duration
	running [][]Fingerprint // by target
	alone   []bool          // by target
	bootIDs []int
	crashes int                           // crashes with crashingRequest in flight
	suspect map[Fingerprint]time.Duration // time of the first crash with the request in flight
}

// start starts a request on a target if Check allows it.
func (s *sim) start(target int, fp Fingerprint) {
	switch s.state.Check(s.now, fp) {
	case Clear:
		if s.alone[target] || fp == crashingRequest && s.inFlight(crashingRequest) >= 2 {
			return // the caller retries it at most once before it has an answer
		}
	case RunAlone:
		if len(s.running[target]) > 0 || s.inFlight(fp) > 0 {
			return
		}
		s.alone[target] = true
	case Refused:
		return
	}
	s.running[target] = append(s.running[target], fp)
}

// inFlight returns the number of requests with a fingerprint that run now.
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

// finish completes the oldest request of a target, unless it is
// crashingRequest.
func (s *sim) finish(target int) {
	list := s.running[target]
	if len(list) == 0 || list[0] == crashingRequest {
		return
	}
	if s.alone[target] {
		s.state.CompletedAlone(s.now, list[0])
		delete(s.suspect, list[0])
		s.alone[target] = false
	}
	s.running[target] = list[1:]
}

// crash ends the process of a target if crashingRequest runs there.
func (s *sim) crash(target int) {
	runsThere := false
	for _, fp := range s.running[target] {
		runsThere = runsThere || fp == crashingRequest
	}
	if !runsThere {
		return
	}
	for _, fp := range s.running[target] {
		if _, ok := s.suspect[fp]; !ok {
			s.suspect[fp] = s.now
		}
	}
	s.crashes++
	s.state.Crashed(s.now, fmt.Sprint(target), fmt.Sprint(s.bootIDs[target]), s.running[target])
	s.bootIDs[target]++
	s.running[target], s.alone[target] = nil, false
}

// Guards against a crashing request that crashes a third target, and against
// refusals of other requests that last longer than their suspicion.
func TestCrashingRequestEndsTwoTargetsAtMost(t *testing.T) {
	stepsAfterSecondCrash := 0
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(2, 5).Draw(t, "targets")
		s := &sim{state: New(DefaultConfig()), running: make([][]Fingerprint, targets), alone: make([]bool, targets),
			bootIDs: make([]int, targets), suspect: map[Fingerprint]time.Duration{}}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 250).Draw(t, "ms")) * time.Millisecond
			target := rapid.IntRange(0, targets-1).Draw(t, "target")
			switch rapid.SampledFrom([]string{"start", "start", "crasher", "finish", "crash"}).Draw(t, "step") {
			case "start":
				s.start(target, Fingerprint(rapid.IntRange(1, 8).Draw(t, "request")))
			case "crasher":
				s.start(target, crashingRequest)
			case "finish":
				s.finish(target)
			case "crash":
				s.crash(target)
			}
			require.LessOrEqual(t, s.crashes, 2)
			if s.crashes == 2 {
				require.Equal(t, Refused, s.state.Check(s.now, crashingRequest))
				stepsAfterSecondCrash++
			}
			for fp := Fingerprint(1); fp <= 8; fp++ {
				if s.state.Check(s.now, fp) == Refused {
					since, ok := s.suspect[fp]
					require.True(t, ok, "request %d is refused although it was in flight at no crash", fp)
					require.Less(t, s.now-since, DefaultConfig().Suspicion)
				}
			}
		}
	})
	require.Positive(t, stepsAfterSecondCrash, "no generated history reached a second crash")
}

// Guards against a crashing request that is accepted again too early because other
// requests were in flight at its crashes, and against requests that are refused for
// the whole Refusal time although another one may have caused the crashes.
func TestRefusalEnds(t *testing.T) {
	for name, c := range map[string]struct {
		second []Fingerprint
		end    time.Duration
	}{
		"alone":                  {[]Fingerprint{crashingRequest}, 90 * time.Second},
		"the only common one":    {[]Fingerprint{crashingRequest, 9}, 90 * time.Second},
		"one of two common ones": {[]Fingerprint{crashingRequest, 7}, 60 * time.Second},
	} {
		s := New(DefaultConfig())
		s.Crashed(0, "t1", "1", []Fingerprint{crashingRequest, 7})
		s.Crashed(30*time.Second, "t2", "1", c.second)
		require.Equal(t, Refused, s.Check(c.end-1, crashingRequest), name)
		require.Equal(t, Clear, s.Check(c.end, crashingRequest), name)
	}
}

// Guards against a refusal that two VMs extend for each other without end, and
// against VMs that each need two crashes of their own to refuse a request.
func TestMergedRefusalsExpire(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	now := time.Hour
	a.Crashed(now, "t1", "1", []Fingerprint{crashingRequest, 7})
	a.Crashed(now, "t1", "1", []Fingerprint{crashingRequest, 7}) // the same crash, reported again
	require.Equal(t, RunAlone, a.Check(now, crashingRequest))
	b.MergeSuspects(now, a.Suspects(now))
	require.Equal(t, RunAlone, b.Check(now, 7))
	b.CompletedAlone(now, 7)
	b.MergeSuspects(now, a.Suspects(now))
	require.Equal(t, Clear, b.Check(now, 7), "the same crash must not make the request suspect again after it was cleared")
	b.Crashed(now, "t2", "1", []Fingerprint{crashingRequest})
	require.Len(t, b.Refusals(now), 1)
	for range 400 { // messages are sent every 200 ms and take 150 ms
		a.MergeRefusals(now+150*time.Millisecond, b.Refusals(now))
		b.MergeRefusals(now+150*time.Millisecond, a.Refusals(now))
		now += 200 * time.Millisecond
		if now < time.Hour+59*time.Second {
			require.Equal(t, Refused, a.Check(now, crashingRequest))
		}
	}
	require.Equal(t, Clear, a.Check(now, crashingRequest))
	require.Equal(t, Clear, b.Check(now, crashingRequest))
}

// Guards against memory that grows with the number of crashes, and against
// refused requests that are evicted in favour of suspects.
func TestMemoryIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEntries, cfg.MaxCrashes = 10, 5
	s := New(cfg)
	s.Crashed(0, "t", "a", []Fingerprint{crashingRequest})
	s.Crashed(0, "t", "b", []Fingerprint{crashingRequest})
	for i := range 100 {
		s.Crashed(time.Duration(i)*time.Millisecond, "t", fmt.Sprint(i), []Fingerprint{Fingerprint(i), Fingerprint(i + 500)})
		require.LessOrEqual(t, len(s.entries), cfg.MaxEntries)
		require.LessOrEqual(t, len(s.crashes), cfg.MaxCrashes)
	}
	require.Equal(t, Refused, s.Check(time.Second, crashingRequest))
}
