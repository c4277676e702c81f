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

// ciSeeds are the seeds that run in CI. Every seed that has failed once is added,
// with a line on the cause.
var ciSeeds = []int64{1, 2}

const (
	faultDuration = 12 * time.Second // during which random faults are injected
	recoveryLimit = 6 * time.Second  // from the last fault until requests must be served again
	callerCount   = 10
	callInterval  = 25 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// seeds returns the seeds of MANGOGATE_SOAK_SEEDS, or ciSeeds.
func seeds(t *testing.T) []int64 {
	text := os.Getenv("MANGOGATE_SOAK_SEEDS")
	if text == "" {
		return ciSeeds
	}
	var out []int64
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.ParseInt(s, 10, 64)
		require.NoError(t, err, "MANGOGATE_SOAK_SEEDS is a list of numbers")
		out = append(out, n)
	}
	return out
}

// size returns a number from the environment variable name, or defaultSize. Larger
// numbers are for runs up to the machine's limits.
func size(t *testing.T, name string, defaultSize int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultSize
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

// Guards against broken guarantees when random faults of VMs, targets, the store
// and the network overlap, and against service that does not recover after them:
// 90 % of the requests must be served again recoveryLimit after the last fault.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "mangogate")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/mangogate/mangogate/cmd/mangogate").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakOnce(t, binary, seed) })
	}
}

func soakOnce(t *testing.T, binary string, seed int64) {
	f := newFleet(t, binary, seed, size(t, "MANGOGATE_SOAK_VMS", 5), 6, 3)
	defer f.close()
	require.Eventually(t, func() bool { return f.vms[0].ready() && f.vms[1].ready() }, 10*time.Second, 100*time.Millisecond, "VMs are not ready")
	c := &chaos{f: f, rng: rand.New(rand.NewSource(seed))}
	f.checker.drainBoundLifted = c.drainBoundLifted
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	load := &load{f: f}
	for i := range callerCount {
		wg.Go(func() { load.call(ctx, rand.New(rand.NewSource(seed*100+int64(i))), i) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.checker.checkOwners(f.targetsOf(keyedService))
			time.Sleep(15 * time.Millisecond)
		}
	})
	c.run(faultDuration)
	time.Sleep(settleTime)
	f.drainOneOfEach()
	time.Sleep(recoveryLimit - settleTime)
	load.begin()
	time.Sleep(2 * time.Second)
	served, total := load.end()
	cancel()
	wg.Wait()
	for _, p := range f.checker.violations {
		t.Error(p)
	}
	if served*10 < total*9 || total == 0 {
		t.Errorf("%d of %d requests were served %s after the last fault", served, total, recoveryLimit)
	}
	t.Logf("seed %d: %d requests, %d faults: %s", seed, load.count.Load(), len(c.injected), strings.Join(c.injected, "; "))
	if t.Failed() {
		keepLogs(t, f, seed)
	}
}

// drainOneOfEach drains a target of each service at a time when no fault lifts
// drainBound.
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

// load simulates the callers and counts their requests. served and total count the
// served requests and all requests that began while measuring is set.
type load struct {
	f             *fleet
	count         atomic.Int64
	measuring     atomic.Bool
	served, total atomic.Int64
}

// begin starts the measurement. end stops it and returns the number of served
// requests and of all requests.
func (l *load) begin()            { l.measuring.Store(true) }
func (l *load) end() (s, n int64) { l.measuring.Store(false); return l.served.Load(), l.total.Load() }

// call sends requests over a persistent connection until ctx ends. After a failure
// it goes on with a random VM, as the load balancer does.
func (l *load) call(ctx context.Context, rng *rand.Rand, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTimeout}
	v := l.f.vms[caller%len(l.f.vms)]
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callInterval)
		id := fmt.Sprintf("c%d-%d", caller, n)
		route := []string{"look", "look", "book", "pay"}[rng.Intn(4)]
		measured := l.measuring.Load()
		status, body, err := l.send(client, v, route, id, rng.Intn(allKeys))
		l.count.Add(1)
		ok := err == nil && status == http.StatusOK
		if ok && !strings.HasPrefix(body, id+" from ") {
			l.f.checker.mu.Lock()
			l.f.checker.reportf("request %s got a response that is not its own: %q", id, body)
			l.f.checker.mu.Unlock()
		}
		if route != "look" {
			l.f.checker.writeEnded(id, writeOutcome(status, err))
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

// writeOutcome returns the outcome of a write from its response status and error.
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
	req, err := http.NewRequest(method, "http://"+v.ip+":8081/"+route+"/x", content)
	if err != nil {
		return 0, "", err
	}
	req.Host = "soak.example"
	req.GetBody = nil // keeps net/http from retrying a write
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// chaos injects overlapping random faults.
type chaos struct {
	f           *fleet
	rng         *rand.Rand
	wg          sync.WaitGroup
	mu          sync.Mutex
	injected    []string
	lifts       int       // number of running faults that lift drainBound
	liftedUntil time.Time // end of settleTime after the last of these faults
}

// settleTime is how long drainBound stays lifted after an outage of the store or a
// pause of a VM.
const settleTime = 3 * time.Second

// drainBoundLifted tells whether a fault lifts drainBound now.
func (c *chaos) drainBoundLifted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifts > 0 || time.Now().Before(c.liftedUntil)
}

// withDrainBoundLifted runs a fault, with drainBound lifted until settleTime after
// its end.
func (c *chaos) withDrainBoundLifted(fault func()) {
	c.mu.Lock()
	c.lifts++
	c.mu.Unlock()
	fault()
	c.mu.Lock()
	c.lifts--
	c.liftedUntil = time.Now().Add(settleTime)
	c.mu.Unlock()
}

// run injects faults for d, waits until all have ended and heals the store.
func (c *chaos) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.next()
		time.Sleep(time.Duration(200+c.rng.Intn(1200)) * time.Millisecond)
	}
	c.wg.Wait()
	c.f.store.SetFaults(store.Faults{})
	c.f.storeProxy.Heal()
}

// inject records the name of a fault and runs the fault in the background. The
// function fault also ends the fault.
func (c *chaos) inject(name string, fault func()) {
	c.mu.Lock()
	c.injected = append(c.injected, name)
	c.mu.Unlock()
	c.wg.Go(fault)
}

func (c *chaos) vm() *vm { return c.f.vms[c.rng.Intn(len(c.f.vms))] }

func (c *chaos) target() *targetInstance {
	all := c.f.targetsOf("")
	return all[c.rng.Intn(len(all))]
}

// next injects a random fault. All random numbers are drawn before the fault runs.
func (c *chaos) next() {
	v, m, long := c.vm(), c.target(), time.Duration(300+c.rng.Intn(3500))*time.Millisecond
	switch c.rng.Intn(13) {
	case 0:
		c.inject("kill "+v.name, func() { v.shutdown(syscall.SIGKILL); time.Sleep(long); c.f.start(v) })
	case 1:
		c.inject("stop "+v.name, func() { v.shutdown(syscall.SIGTERM); c.f.start(v) })
	case 2:
		c.inject("pause "+v.name, func() {
			c.withDrainBoundLifted(func() { v.signal(syscall.SIGSTOP); time.Sleep(long); v.signal(syscall.SIGCONT) })
		})
	case 3:
		c.inject("reload "+v.name, func() { v.signal(syscall.SIGHUP) })
	case 4:
		c.inject("store refuses", func() { c.store(store.Faults{Refuse: true}, long) })
	case 5:
		c.inject("store is slow", func() { c.store(store.Faults{Delay: long / 10}, long) })
	case 6:
		c.inject("store loses answers", func() { c.store(store.Faults{LoseRate: 0.5, LostAppendDelay: long / 3}, long) })
	case 7:
		c.inject("store is cut from "+v.name, func() {
			c.withDrainBoundLifted(func() {
				c.f.storeProxy.SetClientBoth(v.ip, faultproxy.Settings{Cut: true})
				time.Sleep(long)
				c.f.storeProxy.SetClientBoth(v.ip, faultproxy.Settings{})
			})
		})
	case 8:
		c.inject("crash "+m.ID, func() { c.f.remove(m, false); time.Sleep(long / 4); c.f.addTarget(m.service) })
	case 9:
		c.inject("drain "+m.ID, func() { c.f.addTarget(m.service); c.f.remove(m, true) })
	case 10:
		c.inject("connections of "+m.ID+" are reset", func() { m.proxy.ResetBoth() })
	case 11:
		c.inject("connections of "+m.ID+" are silent", func() { m.proxy.BlackholeExisting() })
	case 12:
		c.inject("configuration, store forgets", func() { c.f.configure(); c.f.store.Compact("keyed.op"); c.f.store.Compact("keyed.servers") })
	}
}

// store sets faults of the store for d.
func (c *chaos) store(f store.Faults, d time.Duration) {
	c.withDrainBoundLifted(func() {
		c.f.store.SetFaults(f)
		time.Sleep(d)
		c.f.store.SetFaults(store.Faults{})
	})
}
