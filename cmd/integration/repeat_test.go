package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// reply is the response or error that a caller got for one request.
type reply struct {
	status          int
	outcome, reason string
	body            string
	took            time.Duration
	err             error
}

// sendWrite sends a write and returns at once; the reply follows on the channel.
func sendWrite(v *cluster.VM, path, body string, header map[string]string) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		start := time.Now()
		// net/http cannot rewind this body, and so does not retry the write.
		req, err := http.NewRequest(http.MethodPost, "http://"+v.CallerAddress+path, io.NopCloser(strings.NewReader(body)))
		if err != nil {
			out <- reply{err: err}
			return
		}
		req.ContentLength = int64(len(body))
		for name, value := range header {
			req.Header.Set(name, value)
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			out <- reply{err: err, took: time.Since(start)}
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		out <- reply{resp.StatusCode, resp.Header.Get("Mangogate-Outcome"), resp.Header.Get("Mangogate-Reason"), string(data), time.Since(start), err}
	}()
	return out
}

// executed returns how often targets ran the write with an idempotency key.
func executed(t *testing.T, c *cluster.Cluster, idempotencyKey string) (n int) {
	t.Helper()
	ran, err := c.Executions()
	require.NoError(t, err)
	for _, e := range ran {
		if e.IdempotencyKey == idempotencyKey {
			n++
		}
	}
	return n
}

func waitExecuted(t *testing.T, c *cluster.Cluster, idempotencyKey string) {
	t.Helper()
	require.Eventually(t, func() bool { return executed(t, c, idempotencyKey) > 0 }, 10*time.Second, 10*time.Millisecond)
}

// otherVM returns a running VM that is not excluded, or nil.
func otherVM(c *cluster.Cluster, excluded ...*cluster.VM) *cluster.VM {
	for _, v := range c.VMs {
		skip := !v.Alive()
		for _, n := range excluded {
			skip = skip || v == n
		}
		if !skip {
			return v
		}
	}
	return nil
}

func delayAllAnswers(t *testing.T, c *cluster.Cluster, delay time.Duration) {
	t.Helper()
	for _, target := range c.Targets {
		require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"answer_late_ms": delay.Milliseconds()}))
	}
}

func counter(t *testing.T, v *cluster.VM, name string) int {
	t.Helper()
	resp, err := httpClient.Get("http://" + v.OperatorAddress + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var all map[string]struct {
		Count int `json:"count"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all[name].Count
}

// recordedIntents returns the number of write intents that all VMs have recorded.
func recordedIntents(t *testing.T, c *cluster.Cluster) (n int) {
	t.Helper()
	for _, v := range c.VMs {
		n += counter(t, v, "ledger.intents")
	}
	return n
}

// Guards against wrong responses to retries of one write: an idempotency key that
// is reused with another body must be refused, a retry of a write that is in
// flight must get the response to the first request, and a write whose
// dispatcher is lost or paused must not run twice.
func TestRepeatsOfOneWrite(t *testing.T) {
	c := startCluster(t, nil)
	for _, service := range []string{"status", "bookings"} {
		path := "/" + service + "/pier"
		t.Run(service+"/another body", func(t *testing.T) { repeatWithAnotherBody(t, c, path) })
		t.Run(service+"/in flight", func(t *testing.T) { repeatInFlight(t, c, path) })
	}
	for _, service := range []string{"status", "bookings"} {
		t.Run(service+"/paused between intent and send", func(t *testing.T) { suspendDispatcher(t, c, service) })
	}
	t.Run("lost without a key", func(t *testing.T) { loseDispatcherWithoutKey(t, c) })
	ran, err := c.Executions()
	require.NoError(t, err)
	require.Empty(t, history.CheckWriteOnce(ran), "a write ran twice")
}

func repeatWithAnotherBody(t *testing.T, c *cluster.Cluster, path string) {
	header := map[string]string{"Idempotency-Key": "body" + path}
	first := <-sendWrite(c.VMs[0], path, "one", header)
	require.Equal(t, "run", first.outcome, first)
	second := <-sendWrite(c.VMs[1], path, "two", header)
	require.Equal(t, http.StatusUnprocessableEntity, second.status, second)
	require.Equal(t, "not-run", second.outcome)
	require.Equal(t, "idempotency-key-reused", second.reason)
	require.Equal(t, 1, executed(t, c, "body"+path))
}

func repeatInFlight(t *testing.T, c *cluster.Cluster, path string) {
	delayAllAnswers(t, c, time.Second)
	defer delayAllAnswers(t, c, 0)
	key := "flight" + path
	header := map[string]string{"Idempotency-Key": key}
	first := sendWrite(c.VMs[0], path, "b", header)
	waitExecuted(t, c, key)
	repeats := []<-chan reply{sendWrite(c.VMs[1], path, "b", header), sendWrite(c.VMs[2], path, "b", header)}
	want := <-first
	require.Equal(t, "run", want.outcome, want)
	for _, r := range repeats {
		got := <-r
		require.Equal(t, "run", got.outcome, got)
		require.Equal(t, want.body, got.body)
	}
	require.Equal(t, 1, executed(t, c, key))
}

// loseDispatcherWithoutKey kills the dispatcher of a write in flight that has no
// idempotency key. No other VM can tell whether it ran, so its outcome is unknown.
func loseDispatcherWithoutKey(t *testing.T, c *cluster.Cluster) {
	delayAllAnswers(t, c, 30*time.Second)
	defer delayAllAnswers(t, c, 0)
	d := currentDispatcher(t, c, "bookings")
	before, err := c.Executions()
	require.NoError(t, err)
	answer := sendWrite(otherVM(c, d), "/bookings/nokey", "b", map[string]string{"Mangogate-Deadline-Ms": "9000"})
	require.Eventually(t, func() bool {
		now, err := c.Executions()
		return err == nil && len(now) > len(before)
	}, 10*time.Second, 10*time.Millisecond)
	at := kill(t, d)
	r := <-answer
	require.Equal(t, "unknown", r.outcome, r)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Less(t, time.Since(at), maxKeyOutage, "the response did not arrive within the outage limit after the loss")
	restartVMs(t, c, d)
}

// suspendDispatcher suspends a dispatcher at which a write with a recorded intent
// waits for a slot, retries the write through another VM, and resumes the dispatcher
// after its successor has taken over.
func suspendDispatcher(t *testing.T, c *cluster.Cluster, service string) {
	const deadline = 12 * time.Second
	group, path := service, "/"+service+"/quay"
	if service == "status" {
		owner, err := c.Owner(t.Context(), c.VMs[0], service, "quay")
		require.NoError(t, err)
		group += "/" + owner.Owner
	}
	d := currentDispatcher(t, c, group)
	entry := otherVM(c, d)
	delayAllAnswers(t, c, deadline/2)
	for range 16 { // more requests than the group has slots
		sendWrite(entry, path, "block", map[string]string{"Mangogate-Deadline-Ms": "12000"})
	}
	before := recordedIntents(t, c)
	key := "paused-" + service
	header := map[string]string{"Idempotency-Key": key, "Mangogate-Deadline-Ms": "12000"}
	first := sendWrite(entry, path, "b", header)
	require.Eventually(t, func() bool { return recordedIntents(t, c) > before }, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, d.Suspend())
	delayAllAnswers(t, c, 0)
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		s, err := c.Status(t.Context(), entry)
		if err != nil {
			return err
		}
		for _, v := range s.VMs {
			for _, g := range v.Dispatches {
				if g == group && v.VM != d.Name && v.Error == "" {
					return nil
				}
			}
		}
		return errors.New("no other VM dispatches the group yet")
	}))
	repeat := sendWrite(otherVM(c, d, entry), path, "b", header)
	probe := <-sendWrite(entry, path, "b", map[string]string{"Idempotency-Key": key + "-after"})
	require.Equal(t, "run", probe.outcome, probe) // the successor serves requests
	require.NoError(t, d.Resume())
	n := 0
	for _, r := range []reply{<-first, <-repeat} {
		t.Logf("answered %d %s %s after %v", r.status, r.outcome, r.reason, r.took)
		n = executed(t, c, key)
		require.LessOrEqual(t, n, 1, "the write ran twice")
		if r.outcome == "run" {
			require.Equal(t, 1, n, "the response says that the write ran")
			var a target.Answer
			require.NoError(t, json.Unmarshal([]byte(r.body), &a))
			require.Equal(t, "quay", a.Key)
		}
		if r.outcome == "not-run" {
			require.Zero(t, n, "the response says that the write did not run, but it ran")
		}
	}
	require.NoError(t, c.WaitReady(t.Context(), 20*time.Second))
}
