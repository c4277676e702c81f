package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/holder"
	"github.com/mangogate/mangogate/standin/store"
	"github.com/stretchr/testify/require"
)

const (
	keyedService = "board"
	poolService  = "desk"
	targetSlots  = 3
	targetWork   = 30 * time.Millisecond
	entryPause   = 300 * time.Millisecond // between two entries of a target
	grace        = 6 * time.Second
)

// vm is a real process.
type vm struct {
	name, ip, settings, log string
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	paused                  bool
}

// fleet is a deployment: processes, the store and the targets with proxies.
type fleet struct {
	t       *testing.T
	binary  string
	net     string // first three numbers of the VMs' addresses
	store   *store.Server
	toStore *faultproxy.Proxy
	book    *book
	vms     []*vm

	mu      sync.Mutex
	targets map[string]*member
	nextID  int
	version int
	stop    chan struct{}
	wg      sync.WaitGroup
}

// member is one life of a target with its proxy.
type member struct {
	*holder.Target
	service string
	born    int64
	proxy   *faultproxy.Proxy
	server  *httptest.Server
	state   string
	silent  bool // writes no entries
}

func newFleet(t *testing.T, binary string, seed int64, vms, keyed, pool int) *fleet {
	f := &fleet{
		t: t, binary: binary, net: fmt.Sprintf("127.%d.%d", 20+seed%200, (seed/200)%250), store: store.New(seed),
		book: newBook(), targets: map[string]*member{}, stop: make(chan struct{}),
	}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	var err error
	f.toStore, err = faultproxy.New(faultproxy.Config{Upstream: strings.TrimPrefix(server.URL, "http://")})
	require.NoError(t, err)
	t.Cleanup(f.toStore.Close)
	f.configure()
	for range keyed {
		f.addTarget(keyedService)
	}
	for range pool {
		f.addTarget(poolService)
	}
	f.wg.Add(1)
	go f.heartbeats()
	for i := range vms {
		f.vms = append(f.vms, f.newVM(i))
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

func (f *fleet) zone(i int) string { return []string{"z-a", "z-b", "z-c"}[i%3] }

func (f *fleet) newVM(i int) *vm {
	dir := f.t.TempDir()
	v := &vm{name: fmt.Sprintf("vm-%d", i), ip: fmt.Sprintf("%s.%d", f.net, i+1)}
	v.settings, v.log = filepath.Join(dir, "settings.json"), filepath.Join(dir, v.name+".log")
	f.writeSettings(v, i)
	return v
}

func (f *fleet) writeSettings(v *vm, i int) {
	content, err := json.Marshal(map[string]any{
		"nodeName": v.name, "ip": v.ip, "zone": f.zone(i), "internalPorts": []int{7200, 7215},
		"listen":   map[string]string{"front": v.ip + ":8081", "readinessAddress": v.ip + ":8088"},
		"limits":   map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": 256},
		"bounds":   []string{fmt.Sprintf("graceS=%g", grace.Seconds()), "retryBudgetRatio=0.2", "budgetBurst=56"},
		"platform": map[string]any{"address": f.toStore.Addr()},
	})
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(v.settings, content, 0o600))
}

// start starts a VM's process; it does nothing if one runs.
func (f *fleet) start(v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		return
	}
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer out.Close()
	cmd := exec.Command(f.binary, "platform", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(f.t, cmd.Start())
	v.cmd = cmd
}

// signal sends a signal to the process that the soak started.
func (v *vm) signal(s os.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s) // it may have ended by itself
		v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
	}
}

// end ends the process by a signal and waits for it.
func (v *vm) end(s os.Signal) {
	v.signal(syscall.SIGCONT)
	v.signal(s)
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	kill := time.AfterFunc(grace+time.Second, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait() // killed processes end with an error
	kill.Stop()
	v.mu.Lock()
	v.cmd, v.paused = nil, false
	v.mu.Unlock()
}

func (f *fleet) close() {
	close(f.stop)
	f.wg.Wait()
	var wg sync.WaitGroup
	for _, v := range f.vms {
		wg.Go(func() { v.end(syscall.SIGKILL) })
	}
	wg.Wait()
	for _, m := range f.list("") {
		m.close()
	}
}

func (m *member) close() {
	m.Crash()
	m.proxy.Close()
	m.server.CloseClientConnections()
	m.server.Close()
}

// configure writes the next configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	f.version += 2
	version := f.version
	f.mu.Unlock()
	route := func(name, kind, service string, timeout float64) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutS": timeout,
			"targetLatencyS": 0.3, "priority": 1, "attempts": 2, "service": service,
		}
	}
	service := func(name string, keyed bool) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 100, "warmupS": 1, "warmupPerS": 50, "sharded": keyed}
	}
	f.store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("look", "safe", keyedService, 2), route("book", "unsafe", poolService, 2), route("pay", "unsafe", keyedService, 2),
			route(fmt.Sprintf("v%d", version), "safe", poolService, 2),
		},
		"services": []any{service(keyedService, true), service(poolService, false)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

func (f *fleet) addTarget(service string) *member {
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("i-%04d", f.nextID)
	f.mu.Unlock()
	m := &member{
		Target:  holder.New(id, targetSlots, targetWork, service == keyedService, f.book),
		service: service, born: time.Now().UnixMilli(), state: "ready",
	}
	m.server = httptest.NewUnstartedServer(m.Target)
	m.server.Config.ErrorLog = nil
	m.server.Start()
	var err error
	m.proxy, err = faultproxy.New(faultproxy.Config{Upstream: strings.TrimPrefix(m.server.URL, "http://")})
	require.NoError(f.t, err)
	f.mu.Lock()
	f.targets[id] = m
	f.mu.Unlock()
	f.announce(m)
	return m
}

func (f *fleet) announce(m *member) {
	f.store.Put("keyed.servers", m.ID, map[string]any{
		"service": m.service, "address": m.proxy.Addr(), "zone": f.zone(len(m.ID) + int(m.born)), "version": "v1", "slots": targetSlots,
		"state": m.state, "warmupLeftS": 0, "sequence": time.Now().UnixNano(), "born": m.born,
	})
}

// heartbeats repeats the entries of all targets.
func (f *fleet) heartbeats() {
	defer f.wg.Done()
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(entryPause):
		}
		for _, m := range f.list("") {
			if !m.silent {
				f.announce(m)
			}
		}
	}
}

// list returns the targets of a service, or all.
func (f *fleet) list(service string) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*member
	for _, m := range f.targets {
		if service == "" || m.service == service {
			out = append(out, m)
		}
	}
	return out
}

// remove ends a target: at once, or after it has said that it leaves.
func (f *fleet) remove(m *member, drain bool) {
	if drain {
		m.state = "draining"
		f.announce(m)
		f.book.leaves(m.ID)
		time.Sleep(drainBound + 2*time.Second)
	}
	f.mu.Lock()
	delete(f.targets, m.ID)
	f.mu.Unlock()
	f.book.ended(m.ID)
	m.close()
	f.store.Put("keyed.servers", m.ID, nil)
}

// ready tells whether a VM takes callers.
func (v *vm) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + net.JoinHostPort(v.ip, "8088") + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
