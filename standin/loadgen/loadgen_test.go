package loadgen

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/target"
	"github.com/stretchr/testify/require"
)

func startTarget(t *testing.T, faults target.Faults) (*target.Server, string) {
	s := target.New(target.Config{Name: "t1", MaxInFlight: 1000, Slots: 100})
	s.SetFaults(faults)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func testConfig(entries ...string) Config {
	return Config{Entries: entries, Duration: 300 * time.Millisecond, Callers: 4, ReadRatio: 0.5, Keys: 20, AnswerBytes: 100,
		ReadPath: "/fields/{key}", WritePath: "/fields/{key}", Seed: 1, RepeatPause: time.Millisecond}
}

// Guards against requests that the report does not count, and against correct
// answers that it counts as mismatches.
func TestCountsAddUp(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"closed": func(*Config) {},
		"open":   func(c *Config) { c.Rate, c.Zipf, c.HotInterval = 500, 1.2, 50*time.Millisecond },
		"hangup": func(c *Config) { c.HangUpRate, c.HangUpAfter = 0.5, time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			s, url := startTarget(t, target.Faults{})
			cfg := testConfig(url)
			change(&cfg)
			rep, err := Run(context.Background(), cfg)
			require.NoError(t, err)
			require.Positive(t, rep.ServedReads)
			require.Positive(t, rep.ServedWrites)
			require.Zero(t, rep.MismatchTotal)
			require.Equal(t, rep.Requests, rep.Served+rep.HungUp+rep.Skipped+rep.Failed)
			require.Equal(t, int64(rep.Served), rep.Latency.Count)
			if rep.HungUp == 0 {
				require.Equal(t, uint64(rep.ServedWrites), s.Stats().Writes)
			}
			_, err = json.Marshal(rep)
			require.NoError(t, err)
		})
	}
}

// Guards against checks that accept the answer to another request: the target
// also sends each answer to the next request on the connection.
func TestCrossedAnswersAreMismatches(t *testing.T) {
	_, url := startTarget(t, target.Faults{DuplicateAnswer: 1})
	cfg := testConfig(url)
	cfg.Callers, cfg.Keys, cfg.ReadRatio = 1, 1, 1
	rep, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Positive(t, rep.Mismatches[MismatchTag])
}

// Guards against retries that use a new idempotency key or the same entry, and
// against an HTTP transport that retries writes by itself.
func TestUnknownWritesAreRepeated(t *testing.T) {
	bad, badURL := startTarget(t, target.Faults{ShortBody: 1})
	good, goodURL := startTarget(t, target.Faults{})
	cfg := testConfig(badURL, goodURL)
	cfg.Callers, cfg.ReadRatio, cfg.Repeats = 1, 0, 1
	rep, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Equal(t, rep.Requests, rep.Served)
	require.Equal(t, rep.Served, rep.ServedByRepeat)
	for id, n := range bad.Ledger().Counts {
		require.Equal(t, 1, n, id)
		require.Equal(t, 1, good.Ledger().Counts[id], id)
	}
}

// Guards against gaps that include time without requests, and against failed
// requests that do not extend a gap.
func TestGaps(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var g gapTracker
	g.requestStarted(at(0))
	g.requestServed(at(5))
	g.requestStarted(at(1000)) // no request was outstanding between 5 ms and 1000 ms
	g.requestFailed()
	g.requestStarted(at(1010))
	g.requestAbandoned()
	g.requestStarted(at(1020))
	g.requestServed(at(1030))
	require.Equal(t, 30*time.Millisecond, g.longest)
	g.requestStarted(at(2000))
	g.requestAbandoned()
	g.extendLongest(at(9000))
	require.Equal(t, 30*time.Millisecond, g.longest)
}
