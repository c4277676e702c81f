package integration

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/stretchr/testify/require"
)

// defaultRequests is the number of requests that the test completes in CI.
// MANGOGATE_ANSWERS overrides it; the full soak uses 100000.
const defaultRequests = 20_000

// Guards against a caller that receives the response to another request, or a
// truncated one. Targets respond late and out of order on reused connections,
// truncate responses, send them twice or under another request's id, and
// callers hang up.
func TestAnswersMatchRequests(t *testing.T) {
	wanted := defaultRequests
	if text := os.Getenv("MANGOGATE_ANSWERS"); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err, "MANGOGATE_ANSWERS")
		wanted = n
	}
	c := startCluster(t, nil)
	for i, target := range c.Targets {
		require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{
			"answer_late_ms": 30, "answer_late": 0.05, "wrong_request_id": 0.01, "short_body": 0.01, "duplicate_answer": 0.01,
			"seed": seed(t) + int64(i),
		}))
	}
	var loads []*load
	for i, service := range []string{"status", "bookings"} {
		loads = append(loads, startLoad(t, c, service, func(cfg *loadgen.Config) {
			cfg.Rate, cfg.Callers, cfg.Duration, cfg.Seed = 0, 24, 10*time.Minute, cfg.Seed+int64(100*i)
			cfg.BodyBytes, cfg.AnswerBytes = 700, 3000
			cfg.HangUpRate, cfg.HangUpAfter = 0.05, 20*time.Millisecond
		}))
	}
	require.Eventually(t, func() bool { return len(loads[0].resultsSoFar())+len(loads[1].resultsSoFar()) >= wanted }, 8*time.Minute, 20*time.Millisecond)
	for i, l := range loads {
		report, _ := l.stop()
		t.Logf("%s: %d requests, %d served, %d hung up, outcomes of all attempts %v", []string{"status", "bookings"}[i],
			report.Requests, report.Served, report.HungUp, report.AttemptOutcomes)
		require.NotZero(t, report.HungUp)
		l.reports <- report
	}
	requireSafe(t, c, loads...)
	mismatched, truncated := 0, 0
	for _, v := range c.VMs {
		mismatched += counter(t, v, "targets.answers_mismatched")
		truncated += counter(t, v, "targets.answers_truncated")
	}
	t.Logf("responses that VMs rejected: %d for another request, %d truncated", mismatched, truncated)
	require.NotZero(t, mismatched, "the faults did not reach the VMs")
	require.NotZero(t, truncated, "the faults did not reach the VMs")
}
