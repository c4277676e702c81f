// Package soak runs the real programs against stand-ins under injected faults,
// and checks the guarantees from what callers and targets see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/store"
	"github.com/stretchr/testify/require"
)

// ciSeeds are the seeds that run in CI. Each seed that has failed once is added, with
// a line on the cause.
var ciSeeds = []int64{
	1, 2,
	57877, 3171, // two owners of a key: a cell whose records a restored store lacked was claimed as a new one
}

const (
	faultDuration = 12 * time.Second // during which random faults are injected
	recoveryLimit = 6 * time.Second  // from the last fault until requests must be served again
	callerCount   = 10
	callInterval  = 25 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// seeds returns the seeds of MANGOGATE_SOAK_SEEDS, or those given if it is not set.
func seeds(t *testing.T, inCI []int64) []int64 {
	text := os.Getenv("MANGOGATE_SOAK_SEEDS")
	if text == "" {
		return inCI
	}
	var out []int64
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.ParseInt(s, 10, 64)
		require.NoError(t, err, "MANGOGATE_SOAK_SEEDS is a list of numbers")
		out = append(out, n)
	}
	return out
}

// intFromEnv returns the number in an environment variable, or defaultValue if it is
// not set. Larger numbers are for runs up to the machine's limits.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// Guards against broken guarantees when random faults of VMs, targets, the store
// and the network overlap, and against service that does not recover after them:
// 90 % of the requests must be served again recoveryLimit after the last fault.
func TestSoak(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range seeds(t, ciSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakOnce(t, binary, seed) })
	}
}

// buildProgram builds mangogate and returns the path of the program.
func buildProgram(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "mangogate")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/mangogate/mangogate/cmd/mangogate").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// startReadyFleet starts a fleet, which is closed when the test ends, and waits until
// it serves.
func startReadyFleet(t *testing.T, binary string, seed int64, vms int) *fleet {
	f := newFleet(t, binary, seed, vms, 6, 3)
	t.Cleanup(f.close)
	require.Eventually(t, func() bool { return f.vms[0].ready() && f.vms[1].ready() }, 10*time.Second, 100*time.Millisecond, "VMs are not ready")
	return f
}

// startLoad starts callers and checks of owners. stop ends both.
func startLoad(f *fleet, seed int64) (l *load, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	l = &load{f: f}
	for i := range callerCount {
		wg.Go(func() { l.call(ctx, rand.New(rand.NewSource(seed*100+int64(i))), i) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.checker.checkOwners(f.targetsOf(keyedService))
			time.Sleep(15 * time.Millisecond)
		}
	})
	return l, func() {
		cancel()
		wg.Wait()
	}
}

func soakOnce(t *testing.T, binary string, seed int64) {
	f := startReadyFleet(t, binary, seed, intFromEnv(t, "MANGOGATE_SOAK_VMS", 5))
	fi := &faultInjector{f: f, rng: rand.New(rand.NewSource(seed))}
	f.checker.drainBoundLifted = fi.drainBoundLifted
	load, stop := startLoad(f, seed)
	fi.run(faultDuration)
	time.Sleep(settleTime)
	f.drainOneOfEach()
	time.Sleep(recoveryLimit - settleTime)
	load.begin()
	time.Sleep(2 * time.Second)
	served, total := load.end()
	stop()
	f.checkNewestConfig()
	for _, p := range f.checker.violations {
		t.Error(p)
	}
	if served*10 < total*9 || total == 0 {
		t.Errorf("%d of %d requests were served %s after the last fault", served, total, recoveryLimit)
	}
	t.Logf("seed %d: %d requests, %d faults: %s", seed, load.count.Load(), len(fi.injected), strings.Join(fi.injected, "; "))
	if t.Failed() {
		keepLogs(t, f, seed)
	}
}

// drainOneOfEach drains a target of each service. No fault may lift drainBound then.
func (f *fleet) drainOneOfEach() {
	var wg sync.WaitGroup
	for _, service := range []string{keyedService, poolService} {
		m := f.targetsOf(service)[0]
		f.addTarget(service)
		wg.Go(func() { f.remove(m, true) })
	}
	wg.Wait()
}

// keepLogs copies the VMs' logs of a failed run to the temporary directory.
func keepLogs(t *testing.T, f *fleet, seed int64) {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("mangogate-soak-%d", seed))
	require.NoError(t, os.MkdirAll(dir, 0o755))
	for _, v := range f.vms {
		content, err := os.ReadFile(v.log)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, v.name+".log"), content, 0o600))
	}
	t.Logf("logs are in %s", dir)
}

// load simulates the callers. count is the number of requests that have ended. Of
// those that began while measuring was set, total counts all, served the served ones.
type load struct {
	f             *fleet
	count         atomic.Int64
	measuring     atomic.Bool
	served, total atomic.Int64
}

// begin starts the measurement. end stops it and returns served and total.
func (l *load) begin()            { l.measuring.Store(true) }
func (l *load) end() (s, n int64) { l.measuring.Store(false); return l.served.Load(), l.total.Load() }

// checkRecovery measures the load recoveryLimit after the last fault, ends it, and
// reports what is wrong.
func (l *load) checkRecovery(t *testing.T, stop func()) {
	time.Sleep(recoveryLimit)
	l.begin()
	time.Sleep(2 * time.Second)
	served, total := l.end()
	stop()
	for _, p := range l.f.checker.violations {
		t.Error(p)
	}
	if served*10 < total*9 || total == 0 {
		t.Errorf("%d of %d requests were served %s after the last fault", served, total, recoveryLimit)
	}
}

// call sends requests over a persistent connection until ctx ends. After a failure
// it continues with a random VM, as a load balancer would.
func (l *load) call(ctx context.Context, rng *rand.Rand, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTimeout}
	v := l.f.vms[caller%len(l.f.vms)]
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callInterval)
		id := fmt.Sprintf("c%d-%d", caller, n)
		route := []string{"look", "look", "book", "pay"}[rng.Intn(4)]
		measured := l.measuring.Load()
		status, body, err := l.send(client, v, route, id, rng.Intn(keyCount))
		l.count.Add(1)
		ok := err == nil && status == http.StatusOK
		if ok && !strings.HasPrefix(body, id+" from ") {
			l.f.checker.mu.Lock()
			l.f.checker.reportf("request %s got a response that is not its own: %q", id, body)
			l.f.checker.mu.Unlock()
		}
		if route != "look" {
			l.f.checker.recordOutcome(id, writeOutcome(status, err))
		}
		if measured {
			l.total.Add(1)
			if ok {
				l.served.Add(1)
			}
		}
		if !ok {
			v = l.f.vms[rng.Intn(len(l.f.vms))]
		}
	}
}

func writeOutcome(status int, err error) string {
	switch {
	case err == nil && status == http.StatusOK:
		return answered
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return refused
	}
	return unknown
}

func (l *load) send(client *http.Client, v *vm, route, id string, key int) (int, string, error) {
	method := http.MethodGet
	var content io.Reader
	if route != "look" {
		method, content = http.MethodPost, strings.NewReader("{}")
	}
	path := "x"
	if l.f.distinctPaths {
		path = id
	}
	req, err := http.NewRequest(method, "http://"+v.ip+":8081/"+route+"/"+path, content)
	if err != nil {
		return 0, "", err
	}
	req.Host = "soak.example"
	req.GetBody = nil // keeps net/http from retrying a write
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	v.mu.Lock()
	sent := submission{vm: v.name, vmStart: v.startedAt, vmPauses: v.pauses, at: time.Now()}
	v.mu.Unlock()
	l.f.sentTo.Store(id, sent)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if _, target, ok := strings.Cut(string(body), " from "); ok && resp.Header.Get("Server-Leaving") == "1" {
		l.f.checker.recordLeavingPassedOn(sent, target)
	}
	return resp.StatusCode, string(body), err
}

// faultInjector injects overlapping random faults.
type faultInjector struct {
	f           *fleet
	rng         *rand.Rand
	kinds       []int // of faults that are injected, all if nil
	wg          sync.WaitGroup
	mu          sync.Mutex
	injected    []string
	activeLifts int       // running faults that lift drainBound
	liftedUntil time.Time // settleTime after the last of them
}

// settleTime is how long drainBound stays lifted after a fault of the store, a cut
// from the store or a pause of a VM.
const settleTime = 3 * time.Second

func (fi *faultInjector) drainBoundLifted() bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.activeLifts > 0 || time.Now().Before(fi.liftedUntil)
}

// withDrainBoundLifted lifts drainBound from the start of a fault until settleTime
// after its end.
func (fi *faultInjector) withDrainBoundLifted(fault func()) {
	fi.mu.Lock()
	fi.activeLifts++
	fi.mu.Unlock()
	fault()
	fi.mu.Lock()
	fi.activeLifts--
	fi.liftedUntil = time.Now().Add(settleTime)
	fi.mu.Unlock()
}

// run injects faults for d, waits until they have ended and clears those of the store.
func (fi *faultInjector) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		fi.injectRandom()
		time.Sleep(time.Duration(200+fi.rng.Intn(1200)) * time.Millisecond)
	}
	fi.wg.Wait()
	fi.f.store.SetFaults(store.Faults{})
	fi.f.storeProxy.Heal()
}

// inject records the name of a fault and runs it in the background. The function
// fault also ends it.
func (fi *faultInjector) inject(name string, fault func()) {
	fi.mu.Lock()
	fi.injected = append(fi.injected, name)
	fi.mu.Unlock()
	fi.wg.Go(fault)
}

func (fi *faultInjector) randomVM() *vm { return fi.f.vms[fi.rng.Intn(len(fi.f.vms))] }

func (fi *faultInjector) randomTarget() *targetInstance {
	all := fi.f.targetsOf("")
	return all[fi.rng.Intn(len(all))]
}

// faultKinds is the number of kinds of faults that injectRandom draws from.
const faultKinds = 16

// injectRandom injects a random fault. It draws all random numbers before the fault
// runs.
func (fi *faultInjector) injectRandom() {
	v, m, duration := fi.randomVM(), fi.randomTarget(), time.Duration(300+fi.rng.Intn(3500))*time.Millisecond
	kind := fi.rng.Intn(faultKinds)
	if fi.kinds != nil {
		kind = fi.kinds[kind%len(fi.kinds)]
	}
	switch kind {
	case 0:
		fi.inject("kill "+v.name, func() { v.shutdown(syscall.SIGKILL); time.Sleep(duration); fi.f.start(v) })
	case 1:
		fi.inject("stop "+v.name, func() { v.shutdown(syscall.SIGTERM); fi.f.start(v) })
	case 2:
		fi.inject("pause "+v.name, func() {
			fi.withDrainBoundLifted(func() { v.signal(syscall.SIGSTOP); time.Sleep(duration); v.signal(syscall.SIGCONT) })
		})
	case 3:
		fi.inject("reload "+v.name, func() { v.signal(syscall.SIGHUP) })
	case 4:
		fi.inject("store refuses", func() { fi.withStoreFaults(store.Faults{Refuse: true}, duration) })
	case 5:
		fi.inject("store is slow", func() { fi.withStoreFaults(store.Faults{Delay: duration / 10}, duration) })
	case 6:
		fi.inject("store loses answers", func() { fi.withStoreFaults(store.Faults{LoseRate: 0.5, LostAppendDelay: duration / 3}, duration) })
	case 7:
		fi.inject("store is cut from "+v.name, func() {
			fi.withDrainBoundLifted(func() {
				fi.f.storeProxy.SetClientBoth(v.ip, faultproxy.Settings{Cut: true})
				time.Sleep(duration)
				fi.f.storeProxy.SetClientBoth(v.ip, faultproxy.Settings{})
			})
		})
	case 8:
		fi.inject("crash "+m.ID, func() { fi.f.remove(m, false); time.Sleep(duration / 4); fi.f.addTarget(m.service) })
	case 9:
		fi.inject("drain "+m.ID, func() { fi.f.addTarget(m.service); fi.f.remove(m, true) })
	case 10:
		fi.inject("connections of "+m.ID+" are reset", func() { m.proxy.ResetBoth() })
	case 11:
		fi.inject("connections of "+m.ID+" are silent", func() { m.proxy.BlackholeExisting() })
	case 12:
		fi.inject("new configuration, store compacted", func() { fi.f.configure(); fi.f.store.Compact("keyed.op"); fi.f.store.Compact("keyed.servers") })
	case 13, 14:
		r := restore{age: time.Duration(1000+fi.rng.Intn(11000)) * time.Millisecond, outage: duration, rewriteDelay: time.Duration(fi.rng.Intn(1000)) * time.Millisecond}
		fi.inject(fmt.Sprintf("store is restored from a copy %v old, away for %v", r.age, r.outage), func() {
			fi.withDrainBoundLifted(func() { fi.f.restoreStore(r) })
		})
	case 15:
		fi.inject("stops in series from "+v.name, func() { fi.f.stopInSeries(slices.Index(fi.f.vms, v), 3) })
	}
}

func (fi *faultInjector) withStoreFaults(f store.Faults, d time.Duration) {
	fi.withDrainBoundLifted(func() {
		fi.f.store.SetFaults(f)
		time.Sleep(d)
		fi.f.store.SetFaults(store.Faults{})
	})
}
