package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// workspaceCall is one request of a workspace.
type workspaceCall struct {
	sent, ended time.Time
	status      int
	retryAfter  string
}

// callWorkspace sends requests with a key at a rate for a while, to the VMs in turn, without
// waiting for answers.
func callWorkspace(f *fleet, key string, perSecond float64, length time.Duration, vms ...*vm) []workspaceCall {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var calls []workspaceCall
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return calls
		case <-tick.C:
		}
		v := vms[i%len(vms)]
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+v.ip+":8081/v2/x", nil)
			if err != nil {
				return
			}
			req.Host = "soak.example"
			req.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d-%d", key, time.Now().UnixNano(), i))
			req.Header.Set("Request-Deadline", "2000")
			req.Header.Set("Key", key)
			c := workspaceCall{sent: time.Now()}
			if resp, err := client.Do(req); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				c.status, c.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
			}
			c.ended = time.Now()
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
}

// count returns how many calls had a status.
func count(calls []workspaceCall, status int) (n int) {
	for _, c := range calls {
		if c.status == status {
			n++
		}
	}
	return n
}

// mostRun returns the most requests that were sent and answered by targets in one window.
func mostRun(calls []workspaceCall, window time.Duration) (most int) {
	for _, first := range calls {
		n := 0
		for _, c := range calls {
			if c.status == http.StatusOK && !c.sent.Before(first.sent) && !c.ended.After(first.sent.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against workspaces that exceed their allowance by using several VMs, also while
// the granter is killed, against one that loses requests since another one sends 7 times
// its load, and against keys that are not checked.
func TestAllowancesOverProcesses(t *testing.T) {
	workspace := func(name string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{"key-" + name}, "ratePerS": 40, "burst": 20}
	}
	f := newFleetWithWorkspaces(t, buildProgram(t), 71, 4, 2, 3, workspace("greedy"), workspace("usual"))
	t.Cleanup(f.close)
	for _, v := range f.vms {
		require.Eventually(t, v.ready, 20*time.Second, 50*time.Millisecond, "%s is not ready", v.name)
	}
	require.Eventually(t, func() bool {
		return count(callWorkspace(f, "key-usual", 5, time.Second, f.vms...), http.StatusOK) > 3
	}, 20*time.Second, time.Millisecond)
	assert.Equal(t, http.StatusUnauthorized, callWorkspace(f, "other", 5, 300*time.Millisecond, f.vms[0])[0].status)
	time.Sleep(2 * time.Second)

	const length, bound = 14 * time.Second, (40*5+20)*1.1 + 20
	var greedy, usual []workspaceCall
	var wg sync.WaitGroup
	wg.Go(func() { greedy = callWorkspace(f, "key-greedy", 200, length, f.vms...) })
	wg.Go(func() { usual = callWorkspace(f, "key-usual", 28, length/2, f.vms[1], f.vms[2]) })
	time.Sleep(length / 2)
	for _, v := range f.vms {
		if v.grantsAllowances(t) {
			v.shutdown(syscall.SIGKILL)
			t.Log("killed", v.name)
			break
		}
	}
	wg.Wait()
	for name, calls := range map[string][]workspaceCall{"greedy": greedy, "usual": usual} {
		most := mostRun(calls, 5*time.Second)
		t.Logf("%s: %d calls, %d run, %d over the allowance, %d refused otherwise, at most %d in 5 s, bound %.0f", name, len(calls), count(calls, 200), count(calls, 429), count(calls, 503), most, bound)
		assert.LessOrEqual(t, float64(most), float64(bound), name)
	}
	i := slices.IndexFunc(greedy, func(c workspaceCall) bool { return c.status == http.StatusTooManyRequests })
	require.GreaterOrEqual(t, i, 0)
	assert.NotEmpty(t, greedy[i].retryAfter)
	assert.Less(t, float64(count(usual, http.StatusTooManyRequests)), 0.1*float64(len(usual)), "requests below the limit")
	var last []workspaceCall
	for _, c := range greedy {
		if time.Since(c.sent) < 4*time.Second {
			last = append(last, c)
		}
	}
	assert.Positive(t, count(last, http.StatusOK), "after the loss of the granter")
}

// grantsAllowances reports whether the VM's log names it as the present granter.
func (v *vm) grantsAllowances(t *testing.T) bool {
	content, err := os.ReadFile(v.log)
	require.NoError(t, err)
	return strings.LastIndex(string(content), "grants allowances") > strings.LastIndex(string(content), "stopped granting allowances")
}
