// Package soak runs the real programs against stand-ins, with faults from
// outside, and checks the promises from what callers and targets see.
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

// ciSeeds run in CI. Seeds that ever failed are added with a line on the cause.
var ciSeeds = []int64{1, 2}

const (
	faultTime   = 12 * time.Second // of random faults
	recoverTime = 6 * time.Second  // until service has to be whole again
	callers     = 10
	callPause   = 25 * time.Millisecond
	callTime    = 2 * time.Second
)

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

// size returns a number from the environment, for runs up to the machine's limits.
func size(t *testing.T, name string, usual int) int {
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

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
	f.book.excused = c.excused
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	load := &load{f: f}
	for i := range callers {
		wg.Go(func() { load.call(ctx, rand.New(rand.NewSource(seed*100+int64(i))), i) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.book.checkOwners(f.list(keyedService))
			time.Sleep(15 * time.Millisecond)
		}
	})
	c.run(faultTime)
	time.Sleep(settle)
	f.drainOneOfEach()
	time.Sleep(recoverTime - settle)
	load.begin()
	time.Sleep(2 * time.Second)
	good, all := load.end()
	cancel()
	wg.Wait()
	for _, p := range f.book.problems {
		t.Error(p)
	}
	if good*10 < all*9 || all == 0 {
		t.Errorf("%d of %d requests were served %s after the last fault", good, all, recoverTime)
	}
	t.Logf("seed %d: %d requests, %d faults: %s", seed, load.count.Load(), len(c.log), strings.Join(c.log, "; "))
	if t.Failed() {
		keepLogs(t, f, seed)
	}
}

// drainOneOfEach lets a target of each service leave while nothing excuses a
// late request.
func (f *fleet) drainOneOfEach() {
	var wg sync.WaitGroup
	for _, service := range []string{keyedService, poolService} {
		m := f.list(service)[0]
		f.addTarget(service)
		wg.Go(func() { f.remove(m, true) })
	}
	wg.Wait()
}

// keepLogs copies the logs of the VMs of a failed run.
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

// load is the callers.
type load struct {
	f         *fleet
	count     atomic.Int64
	measuring atomic.Bool
	good, all atomic.Int64
}

func (l *load) begin()            { l.measuring.Store(true) }
func (l *load) end() (g, a int64) { l.measuring.Store(false); return l.good.Load(), l.all.Load() }

// call sends requests over a kept connection until ctx ends; like the load
// balancer, it takes another VM after a failure.
func (l *load) call(ctx context.Context, rng *rand.Rand, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: callTime}
	v := l.f.vms[caller%len(l.f.vms)]
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callPause)
		id := fmt.Sprintf("c%d-%d", caller, n)
		route := []string{"look", "look", "book", "pay"}[rng.Intn(4)]
		measured := l.measuring.Load()
		status, body, err := l.send(client, v, route, id, rng.Intn(allKeys))
		l.count.Add(1)
		ok := err == nil && status == http.StatusOK
		if ok && !strings.HasPrefix(body, id+" from ") {
			l.f.book.mu.Lock()
			l.f.book.problem("request %s got the answer %q", id, body)
			l.f.book.mu.Unlock()
		}
		if route != "look" {
			l.f.book.wrote(id, writeOutcome(status, err))
		}
		if measured {
			l.all.Add(1)
			if ok {
				l.good.Add(1)
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
	req, err := http.NewRequest(method, "http://"+v.ip+":8081/"+route+"/x", content)
	if err != nil {
		return 0, "", err
	}
	req.Host = "soak.example"
	req.GetBody = nil // a write is never sent twice by the client
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(callTime.Milliseconds(), 10))
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// chaos injects faults that overlap.
type chaos struct {
	f       *fleet
	rng     *rand.Rand
	wg      sync.WaitGroup
	mu      sync.Mutex
	log     []string
	excuses int       // faults under way that lift the bound of drains
	until   time.Time // for so long after the last of them
}

// settle is how long after an outage of the store, or a pause of a VM, the
// bound of drains does not hold yet.
const settle = 3 * time.Second

// excused tells whether the bound of drains is lifted.
func (c *chaos) excused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excuses > 0 || time.Now().Before(c.until)
}

// excusing runs a fault that lifts the bound of drains.
func (c *chaos) excusing(fault func()) {
	c.mu.Lock()
	c.excuses++
	c.mu.Unlock()
	fault()
	c.mu.Lock()
	c.excuses--
	c.until = time.Now().Add(settle)
	c.mu.Unlock()
}

func (c *chaos) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.next()
		time.Sleep(time.Duration(200+c.rng.Intn(1200)) * time.Millisecond)
	}
	c.wg.Wait()
	c.f.store.SetFaults(store.Faults{})
	c.f.toStore.Heal()
}

// do runs a fault and what ends it beside the others.
func (c *chaos) do(name string, fault func()) {
	c.mu.Lock()
	c.log = append(c.log, name)
	c.mu.Unlock()
	c.wg.Go(fault)
}

func (c *chaos) vm() *vm { return c.f.vms[c.rng.Intn(len(c.f.vms))] }

func (c *chaos) target() *member {
	all := c.f.list("")
	return all[c.rng.Intn(len(all))]
}

// next draws a fault. All random numbers are drawn before it runs.
func (c *chaos) next() {
	v, m, long := c.vm(), c.target(), time.Duration(300+c.rng.Intn(3500))*time.Millisecond
	switch c.rng.Intn(13) {
	case 0:
		c.do("kill "+v.name, func() { v.end(syscall.SIGKILL); time.Sleep(long); c.f.start(v) })
	case 1:
		c.do("stop "+v.name, func() { v.end(syscall.SIGTERM); c.f.start(v) })
	case 2:
		c.do("pause "+v.name, func() {
			c.excusing(func() { v.signal(syscall.SIGSTOP); time.Sleep(long); v.signal(syscall.SIGCONT) })
		})
	case 3:
		c.do("reload "+v.name, func() { v.signal(syscall.SIGHUP) })
	case 4:
		c.do("store refuses", func() { c.store(store.Faults{Refuse: true}, long) })
	case 5:
		c.do("store is slow", func() { c.store(store.Faults{Delay: long / 10}, long) })
	case 6:
		c.do("store loses answers", func() { c.store(store.Faults{LoseRate: 0.5, LateBy: long / 3}, long) })
	case 7:
		c.do("store is cut from "+v.name, func() {
			c.excusing(func() {
				c.f.toStore.SetClientBoth(v.ip, faultproxy.Settings{Cut: true})
				time.Sleep(long)
				c.f.toStore.SetClientBoth(v.ip, faultproxy.Settings{})
			})
		})
	case 8:
		c.do("crash "+m.ID, func() { c.f.remove(m, false); time.Sleep(long / 4); c.f.addTarget(m.service) })
	case 9:
		c.do("drain "+m.ID, func() { c.f.addTarget(m.service); c.f.remove(m, true) })
	case 10:
		c.do("connections of "+m.ID+" are reset", func() { m.proxy.ResetBoth() })
	case 11:
		c.do("connections of "+m.ID+" are silent", func() { m.proxy.HoldExisting() })
	case 12:
		c.do("configuration, store forgets", func() { c.f.configure(); c.f.store.Forget("keyed.op"); c.f.store.Forget("keyed.servers") })
	}
}

func (c *chaos) store(f store.Faults, d time.Duration) {
	c.excusing(func() {
		c.f.store.SetFaults(f)
		time.Sleep(d)
		c.f.store.SetFaults(store.Faults{})
	})
}
