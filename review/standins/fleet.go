package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host         = "review.example"
	keyedService = "board"
	poolService  = "desk"
	vmCount      = 3
	startTimeout = 20 * time.Second
	longest      = 115 * time.Second
	// deployMetricsPort is the port in the command of the deploy file.
	deployMetricsPort = 9100
)

// fleet is a deployment on loopback: VMs, the store and upstreams.
type fleet struct {
	dir     string
	prefix  string // first three octets of its addresses
	store   *store
	server  *http.Server
	storeAt string
	trouble bool
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	events  []event
	vms     []*vm
	servers map[string]*server
	nextID  int
}

type vm struct {
	name, front, readiness, settings string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// server is the process of an upstream.
type server struct {
	id, address, zone string

	args []string
	cmd  *exec.Cmd
	in   io.WriteCloser // takes orders; see upstream.obey
	done chan struct{}
}

func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), servers: map[string]*server{}, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if f.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f.prefix = fmt.Sprintf("127.%d.%d", 30+pid%70, pid/70%250)
	l, err := net.Listen("tcp", f.prefix+".100:0")
	if err != nil {
		return nil, err
	}
	f.storeAt, f.server = l.Addr().String(), &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }()
	f.note("deployment at %s.0, disruption: %t", f.prefix, f.trouble)
	go f.endEarly()
	return f, nil
}

// endEarly ends the case, and all processes that it started, at a signal or after longest.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	f.note("ended early")
	f.close()
	os.Exit(couldNot)
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintln(f.record, line)
}

// configure writes the configuration: safe reads of the keyed service, unsafe writes of the
// other one.
func (f *fleet) configure(version int, timeoutS float64) {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutS": timeoutS,
			"targetLatencyS": 0.3, "priority": 1, "attempts": 2, "service": service,
		}
	}
	service := func(name string, keyed bool) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "warmupS": 3.0, "warmupPerS": 11.0, "sharded": keyed, "warmS": 2.0}
	}
	f.store.putJSON("keyed.op", "config", map[string]any{
		"version":  version,
		"routes":   []any{route("look", "safe", keyedService), route("book", "unsafe", poolService), route("read", "safe", poolService)},
		"services": []any{service(keyedService, true), service(poolService, false)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}

func zone(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// startVMs starts the VMs with the command of the deploy file, in the root of the repository.
func (f *fleet) startVMs() {
	for i := range vmCount {
		f.startVM(i)
	}
}

func (f *fleet) startVM(i int) *vm {
	ip := fmt.Sprintf("%s.%d", f.prefix, i+1)
	v := &vm{
		name: fmt.Sprintf("front-%d", i+1), front: fmt.Sprintf("%s:%d", ip, freePort(ip, 8381)), readiness: fmt.Sprintf("%s:%d", ip, freePort(ip, 8388)),
		settings: filepath.Join(f.dir, fmt.Sprintf("settings-%d.json", i+1)),
	}
	internal := freePort(ip, 7200)
	content, err := json.Marshal(map[string]any{
		"nodeName": v.name, "role": "router", "machineClass": "front", "serves": []string{"front"}, "ip": ip, "zone": zone(i), "region": "r",
		"zones":  map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r"},
		"listen": map[string]string{"front": v.front, "readinessAddress": v.readiness}, "internalPorts": []int{internal, internal + 15}, "seeds": []string{},
		"bootstrap": true, "limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatS": heartbeat.Seconds(),
		"bounds": []string{"reuseAfterS=2", "stableWindowS=3", "drainS=2", "graceS=6", "lossSlackS=0.2", "configApplyS=2", "retryBudgetRatio=0.2",
			"budgetWindowS=10", "budgetBurst=56", "evacS=5", "recoverS=15", "holdMaxS=10", "thawS=0.3"},
		"grants": "invoke", "platform": map[string]any{"address": f.storeAt, "form": "log", "writesPerS": 400, "readsPerS": 2000, "keep_s": 300},
	})
	must(err)
	must(os.WriteFile(v.settings, content, 0o600))
	log, err := os.Create(filepath.Join(f.dir, v.name+".log"))
	must(err)
	defer log.Close()
	v.cmd = exec.Command("target/mangogate", "platform", "--metrics-port", fmt.Sprint(freePort(ip, deployMetricsPort)))
	v.cmd.Env = append(os.Environ(), "MANGOGATE_CONFIG="+v.settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	must(v.cmd.Start())
	v.exited = make(chan struct{})
	go func() { _ = v.cmd.Wait(); close(v.exited) }()
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	f.note("VM %s started, pid %d, front %s", v.name, v.cmd.Process.Pid, v.front)
	return v
}

// freePort returns the preferred port if it is free at an address, else another one.
func freePort(ip string, preferred int) int {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, preferred))
	if err != nil {
		l, err = net.Listen("tcp", ip+":0")
		must(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// addUpstream starts an upstream with a new id.
func (f *fleet) addUpstream(service string, work time.Duration) *server {
	f.nextID++
	n := f.nextID
	id, ip := fmt.Sprintf("i-%06x", 0x5a1000+n*77), fmt.Sprintf("%s.%d", f.prefix, 110+n)
	s := &server{id: id, address: fmt.Sprintf("%s:%d", ip, freePort(ip, 8520)), zone: zone(n)}
	s.args = []string{"upstream", "-id", id, "-service", service, "-address", s.address, "-zone", s.zone, "-store", f.storeAt, "-work", work.String()}
	if service == keyedService {
		s.args = append(s.args, "-keyed")
	}
	f.servers[id] = s
	f.startUpstream(s)
	return s
}

// startUpstream starts the process of an upstream, with further arguments.
func (f *fleet) startUpstream(s *server, more ...string) {
	self, err := os.Executable()
	must(err)
	s.cmd = exec.Command(self, append(append([]string{}, s.args...), more...)...)
	s.cmd.Stderr = os.Stderr
	out, err := s.cmd.StdoutPipe()
	must(err)
	s.in, err = s.cmd.StdinPipe()
	must(err)
	must(s.cmd.Start())
	s.done = make(chan struct{})
	done, cmd := s.done, s.cmd
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				f.addEvent(e)
			}
		}
		_ = cmd.Wait()
		close(done)
	}()
	f.note("upstream %s started, pid %d, %s", s.id, s.cmd.Process.Pid, strings.Join(s.args[3:8], " "))
}

// addEvent keeps what an upstream told and writes it to the record.
func (f *fleet) addEvent(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	fmt.Fprintf(f.record, "%8.3f  %s\n", float64(e.At-f.began.UnixNano())/1e9, e)
}

// kill ends the process of an upstream with SIGKILL.
func (f *fleet) kill(s *server) {
	_ = s.cmd.Process.Signal(syscall.SIGKILL)
	<-s.done
	f.addEvent(event{At: time.Now().UnixNano(), Kind: "killed", ID: s.id})
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady() {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range f.vms {
		for until := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				panic(v.name + " did not get ready")
			}
			resp, err := client.Get("http://" + v.readiness + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
		}
	}
	f.note("all VMs are ready")
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		<-v.exited
	}
	for _, s := range f.servers {
		if s.done == nil { // it did not start
			continue
		}
		_ = s.cmd.Process.Signal(syscall.SIGCONT)
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
		<-s.done
	}
	_ = f.server.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.dir, keep)
	}
	_ = os.RemoveAll(f.dir)
	f.record.Close()
}
