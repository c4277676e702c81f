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

// reply is what a caller saw of one request.
type reply struct {
	status          int
	outcome, reason string
	body            string
	took            time.Duration
	err             error
}

// send sends a write without waiting for its answer.
func send(v *cluster.VM, path, body string, header map[string]string) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		start := time.Now()
		// The body can't be read twice, so that net/http does not repeat the write.
		req, err := http.NewRequest(http.MethodPost, "http://"+v.Callers+path, io.NopCloser(strings.NewReader(body)))
		if err != nil {
			out <- reply{err: err}
			return
		}
		req.ContentLength = int64(len(body))
		for name, value := range header {
			req.Header.Set(name, value)
		}
		resp, err := caller.Do(req)
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

// executed returns how often targets ran a write.
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

// other returns a running VM that is none of the given ones.
func other(c *cluster.Cluster, not ...*cluster.VM) *cluster.VM {
	for _, v := range c.VMs {
		taken := !v.Alive()
		for _, n := range not {
			taken = taken || v == n
		}
		if !taken {
			return v
		}
	}
	return nil
}

func setAllLate(t *testing.T, c *cluster.Cluster, late time.Duration) {
	t.Helper()
	for _, target := range c.Targets {
		require.NoError(t, c.TargetFaults(t.Context(), target, map[string]any{"answer_late_ms": late.Milliseconds()}))
	}
}

// counter returns a counter of a VM.
func counter(t *testing.T, v *cluster.VM, name string) int {
	t.Helper()
	resp, err := caller.Get("http://" + v.Operators + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var all map[string]struct {
		Count int `json:"count"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all[name].Count
}

// intents returns the number of intents that all VMs recorded.
func intents(t *testing.T, c *cluster.Cluster) (n int) {
	t.Helper()
	for _, v := range c.VMs {
		n += counter(t, v, "ledger.intents")
	}
	return n
}

// Guards the answers to repeats of one write: the same key with another body is
// refused, a repeat in flight waits for the first one's answer, and a write
// whose dispatcher is lost or paused never runs twice.
func TestRepeatsOfOneWrite(t *testing.T) {
	c := deployment(t, nil)
	for _, service := range []string{"status", "bookings"} {
		path := "/" + service + "/pier"
		t.Run(service+"/another body", func(t *testing.T) { anotherBody(t, c, path) })
		t.Run(service+"/in flight", func(t *testing.T) { repeatInFlight(t, c, path) })
	}
	for _, service := range []string{"status", "bookings"} {
		t.Run(service+"/paused between intent and send", func(t *testing.T) { pausedDispatcher(t, c, service) })
	}
	t.Run("lost without a key", func(t *testing.T) { lostWithoutKey(t, c) })
	ran, err := c.Executions()
	require.NoError(t, err)
	require.Empty(t, history.Writes(ran), "a write ran twice")
}

func anotherBody(t *testing.T, c *cluster.Cluster, path string) {
	header := map[string]string{"Idempotency-Key": "body" + path}
	first := <-send(c.VMs[0], path, "one", header)
	require.Equal(t, "run", first.outcome, first)
	second := <-send(c.VMs[1], path, "two", header)
	require.Equal(t, http.StatusUnprocessableEntity, second.status, second)
	require.Equal(t, "not-run", second.outcome)
	require.Equal(t, "idempotency-key-reused", second.reason)
	require.Equal(t, 1, executed(t, c, "body"+path))
}

func repeatInFlight(t *testing.T, c *cluster.Cluster, path string) {
	setAllLate(t, c, time.Second)
	defer setAllLate(t, c, 0)
	key := "flight" + path
	header := map[string]string{"Idempotency-Key": key}
	first := send(c.VMs[0], path, "b", header)
	waitExecuted(t, c, key)
	repeats := []<-chan reply{send(c.VMs[1], path, "b", header), send(c.VMs[2], path, "b", header)}
	want := <-first
	require.Equal(t, "run", want.outcome, want)
	for _, r := range repeats {
		got := <-r
		require.Equal(t, "run", got.outcome, got)
		require.Equal(t, want.body, got.body)
	}
	require.Equal(t, 1, executed(t, c, key))
}

// lostWithoutKey: nobody can tell whether a write without a key ran once its
// dispatcher is gone.
func lostWithoutKey(t *testing.T, c *cluster.Cluster) {
	setAllLate(t, c, 30*time.Second)
	defer setAllLate(t, c, 0)
	d := dispatcher(t, c, "bookings")
	before, err := c.Executions()
	require.NoError(t, err)
	answer := send(other(c, d), "/bookings/nokey", "b", map[string]string{"Mangogate-Deadline-Ms": "9000"})
	require.Eventually(t, func() bool {
		now, err := c.Executions()
		return err == nil && len(now) > len(before)
	}, 10*time.Second, 10*time.Millisecond)
	at := kill(t, d)
	r := <-answer
	require.Equal(t, "unknown", r.outcome, r)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Less(t, time.Since(at), servedAgain, "the answer did not come when the loss was seen")
	revive(t, c, d)
}

// pausedDispatcher stops a dispatcher that has recorded a write and waits for a
// slot, repeats the write through other VMs, and lets it go on after its
// successor took over.
func pausedDispatcher(t *testing.T, c *cluster.Cluster, service string) {
	const deadline = 12 * time.Second
	group, path := service, "/"+service+"/quay"
	if service == "status" {
		owner, err := c.Owner(t.Context(), c.VMs[0], service, "quay")
		require.NoError(t, err)
		group += "/" + owner.Owner
	}
	d := dispatcher(t, c, group)
	entry := other(c, d)
	setAllLate(t, c, deadline/2)
	for range 16 { // more than all slots of the group
		send(entry, path, "block", map[string]string{"Mangogate-Deadline-Ms": "12000"})
	}
	before := intents(t, c)
	key := "paused-" + service
	header := map[string]string{"Idempotency-Key": key, "Mangogate-Deadline-Ms": "12000"}
	first := send(entry, path, "b", header)
	require.Eventually(t, func() bool { return intents(t, c) > before }, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, d.Freeze())
	setAllLate(t, c, 0)
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
		return errors.New("no successor")
	}))
	repeat := send(other(c, d, entry), path, "b", header)
	probe := <-send(entry, path, "b", map[string]string{"Idempotency-Key": key + "-after"})
	require.Equal(t, "run", probe.outcome, probe) // the successor serves
	require.NoError(t, d.Thaw())
	n := 0
	for _, r := range []reply{<-first, <-repeat} {
		t.Logf("answered %d %s %s after %v", r.status, r.outcome, r.reason, r.took)
		n = executed(t, c, key)
		require.LessOrEqual(t, n, 1, "the write ran twice")
		if r.outcome == "run" {
			require.Equal(t, 1, n, "the answer says that the write ran")
			var a target.Answer
			require.NoError(t, json.Unmarshal([]byte(r.body), &a))
			require.Equal(t, "quay", a.Key)
		}
		if r.outcome == "not-run" {
			require.Zero(t, n, "refused as not run, but it ran")
		}
	}
	require.NoError(t, c.WaitReady(t.Context(), 20*time.Second))
}
