// Package hostile runs a VM's process against callers that stay outside the limits of the
// configuration, and checks that it lives within its machine's memory and descriptors.
package hostile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/holder"
	"github.com/mangogate/mangogate/standin/store"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	service       = "desk"
	host          = "hostile.example"
	targets       = 2
	targetSlots   = 16
	largeAnswer   = 4 << 20
	entryInterval = 300 * time.Millisecond
	shutdownGrace = 6 * time.Second
)

// limits are what a VM's settings and the configuration state.
type limits struct {
	memoryMB, maxFds int
	bodyBytes        int
}

// vm is a VM's process with a store and targets of its own.
type vm struct {
	limits
	t       *testing.T
	address string // for callers
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// noEvents ignores the events of targets.
type noEvents struct{}

func (noEvents) Granted(string, holder.RangeLease) {}
func (noEvents) Started(string, string, int)       {}

// target reads the whole body of a request, as targets do, and answers large bodies on
// paths that ask for them.
func target(id string) http.Handler {
	h := holder.New(id, targetSlots, 10*time.Millisecond, false, noEvents{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if !strings.HasPrefix(r.URL.Path, "/desk/large") {
			w.Header().Set("Body-Bytes", strconv.FormatInt(n, 10))
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
		_, _ = w.Write(make([]byte, largeAnswer)) // the VM may close the connection
	})
}

// startVM starts the store, the targets and the VM, and waits until it is ready.
func startVM(t *testing.T, l limits) *vm {
	s := store.New(1)
	s.Restore(0) // a store that was never restored is in its first era
	storeServer := httptest.NewServer(s)
	t.Cleanup(storeServer.Close)
	s.Put("keyed.op", "config", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "desk", "host": host, "pathPrefix": "/desk/", "routeType": "unsafe", "timeoutS": 10,
			"targetLatencyS": 0.3, "priority": 1, "attempts": 2, "service": service,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 100, "warmupS": 1, "warmupPerS": 50}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": l.bodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	addresses := map[string]string{}
	for i := range targets {
		id := fmt.Sprintf("i-%04d", i)
		server := httptest.NewServer(target(id))
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		addresses[id] = strings.TrimPrefix(server.URL, "http://")
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go publish(s, addresses, stop)

	const ip = "127.77.0.1"
	dir := t.TempDir()
	settings, err := json.Marshal(map[string]any{
		"nodeName": "vm-0", "ip": ip, "zone": "z-a", "internalPorts": []int{7200, 7215},
		"listen":   map[string]string{"front": ip + ":8081", "readinessAddress": ip + ":8088"},
		"limits":   map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": l.memoryMB, "maxFds": l.maxFds},
		"bounds":   []string{fmt.Sprintf("graceS=%g", shutdownGrace.Seconds()), "retryBudgetRatio=0.2", "budgetBurst=56"},
		"platform": map[string]any{"address": strings.TrimPrefix(storeServer.URL, "http://")},
	})
	require.NoError(t, err)
	path, logPath := filepath.Join(dir, "settings.json"), filepath.Join(dir, "vm.log")
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	out, err := os.Create(logPath)
	require.NoError(t, err)
	defer out.Close()
	v := &vm{limits: l, t: t, address: ip + ":8081", cmd: exec.Command(binary, "platform", "--settings", path), exited: make(chan struct{})}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	require.NoError(t, v.cmd.Start())
	go func() {
		_ = v.cmd.Wait() // an error is normal for a killed process
		close(v.exited)
	}()
	t.Cleanup(func() {
		_ = v.cmd.Process.Signal(syscall.SIGKILL) // fails if the process has exited by itself
		<-v.exited
		if t.Failed() {
			content, _ := os.ReadFile(logPath)
			t.Logf("end of the log:\n%s", content[max(0, len(content)-3000):])
		}
	})
	require.Eventually(t, func() bool { return v.ordinary() == http.StatusOK }, 20*time.Second, 100*time.Millisecond, "the VM does not serve")
	return v
}

// publish writes the entries of the targets, which serve as heartbeats, until stop is closed.
func publish(s *store.Server, addresses map[string]string, stop chan struct{}) {
	born := time.Now().UnixMilli()
	for {
		for id, address := range addresses {
			s.Put("keyed.servers", id, map[string]any{
				"service": service, "address": address, "zone": "z-a", "version": "v1", "slots": targetSlots, "state": "ready",
				"warmupLeftS": 0, "sequence": time.Now().UnixNano(), "born": born,
			})
		}
		select {
		case <-stop:
			return
		case <-time.After(entryInterval):
		}
	}
}

// ordinary sends one small request on a connection of its own and returns its status, or 0
// if there is no answer.
func (v *vm) ordinary() int { return v.send([]byte("one place"), false) }

// send sends a request with a body, chunked or with its length, and returns its status, or
// 0 if there is no answer or the target did not get the whole body.
func (v *vm) send(body []byte, chunked bool) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/desk/1", io.NopCloser(bytes.NewReader(body)))
	require.NoError(v.t, err)
	id := strconv.FormatInt(time.Now().UnixNano(), 36)
	req.Host, req.ContentLength = host, int64(len(body))
	if chunked {
		req.ContentLength = -1
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", "8000")
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get("Body-Bytes") != strconv.Itoa(len(body)) {
		return 0
	}
	return resp.StatusCode
}

// peakMemoryKB returns the largest resident memory of the process so far.
func (v *vm) peakMemoryKB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	require.NoError(v.t, err, "the process has ended")
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			require.NoError(v.t, err)
			return kb
		}
	}
	require.Fail(v.t, "the process has ended: it has no memory")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (v *vm) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which check reports
	}
	return len(entries)
}

// watchDescriptors samples the open descriptors until the returned function is called,
// which returns the largest number.
func (v *vm) watchDescriptors() (stop func() int) {
	done, peak := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, v.descriptors())
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-peak
	}
}

// check checks the bounds and that an ordinary request is answered.
func (v *vm) check(peakDescriptors int) {
	select {
	case <-v.exited:
		require.Fail(v.t, "the process has ended")
	default:
	}
	assert.Eventually(v.t, func() bool { return v.ordinary() == http.StatusOK }, 30*time.Second, 50*time.Millisecond, "no ordinary request is answered")
	memory := v.peakMemoryKB()
	v.t.Logf("peak resident memory %d kB of %d kB, descriptors %d of %d", memory, v.memoryMB<<10, peakDescriptors, v.maxFds)
	assert.LessOrEqual(v.t, memory, v.memoryMB<<10, "peak resident memory in kB")
	assert.LessOrEqual(v.t, peakDescriptors, v.maxFds, "open descriptors")
}

// dial opens a connection that is closed when the test ends, or returns nil.
func (v *vm) dial() net.Conn {
	c, err := net.DialTimeout("tcp", v.address, 2*time.Second)
	if err != nil {
		return nil
	}
	v.t.Cleanup(func() { c.Close() })
	return c
}
