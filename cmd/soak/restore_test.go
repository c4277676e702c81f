package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	configBound     = 2 * time.Second // from the store's answer until a configuration is in force on all VMs
	rewriteBound    = 3 * time.Second // the same for one that was written to a restored store again
	removalDelay    = 3 * time.Second // from the store's return until it drops entries of targets that have ended
	seriesInterval  = time.Second     // between two stops of a series
	afterRestore    = 7 * time.Second // observed after the last restore
	configPollDelay = 30 * time.Millisecond
	// maxCallsPerSecond bounds the calls to the store for each VM after a restore. It is
	// what the VM that reads the store for all others makes: it reads the operators' and
	// the targets' log every 250 to 300 ms and the system's log every 700 ms.
	maxCallsPerSecond = 10
)

// restore is a fault of the store: it is away and then comes back as an older copy.
type restore struct {
	age          time.Duration // of the copy when the store goes away
	outage       time.Duration
	rewriteDelay time.Duration // from the return until operators have written again what was lost
	overtaken    bool          // an operator writes a later configuration before that
}

// restoreStore restores the store. It returns when operators have written again what was
// lost, and when that began.
func (f *fleet) restoreStore(r restore) (rewrittenAt time.Time) {
	f.restoring.Lock()
	defer f.restoring.Unlock()
	f.store.SetDown(true)
	time.Sleep(r.outage)
	f.store.RestoreCopy(r.age + r.outage)
	f.store.SetDown(false)
	time.AfterFunc(removalDelay, func() { f.store.WriteAgain("keyed.servers") })
	time.Sleep(r.rewriteDelay)
	f.store.WriteAgain("keyed.op")
	return time.Now()
}

// stopInSeries restarts n VMs, seriesInterval apart, and returns when all have started
// again.
func (f *fleet) stopInSeries(first, n int) {
	var wg sync.WaitGroup
	for i := range n {
		v := f.vms[(first+i)%len(f.vms)]
		wg.Go(func() { v.shutdown(syscall.SIGTERM); f.start(v) })
		time.Sleep(seriesInterval)
	}
	wg.Wait()
}

// checkNewestConfig reports each VM that does not serve the newest configuration, which
// was written longer than configBound ago.
func (f *fleet) checkNewestConfig() {
	l := &load{f: f}
	for _, v := range f.vms {
		status, _, err := l.send(http.DefaultClient, v, fmt.Sprintf("v%d", f.version), v.name+"-newest", 0)
		if err != nil || status == http.StatusNotFound {
			f.checker.mu.Lock()
			f.checker.reportf("%s does not serve version %d: status %d, %v", v.name, f.version, status, err)
			f.checker.mu.Unlock()
		}
	}
}

// configWatch checks that changes of the configuration come into force in time on each
// VM, and that no process goes back to an earlier one.
type configWatch struct {
	f       *fleet
	mu      sync.Mutex
	changes []configChange
}

type configChange struct {
	version    int
	acked, due time.Time
}

// configure writes a configuration and expects it to come into force.
func (w *configWatch) configure() {
	now := time.Now()
	c := configChange{version: w.f.configure(), acked: now, due: now.Add(configBound)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, c)
}

// restore restores the store. The changes that it loses are due again rewriteBound after
// they were written again; a process that has served one keeps to it all along.
func (w *configWatch) restore(r restore) {
	away := time.Now()
	w.postpone(away.Add(-r.age), away, away.Add(time.Hour))
	at := w.f.restoreStore(r)
	w.postpone(away.Add(-r.age), away, at.Add(rewriteBound))
}

// postpone sets when the changes that were acknowledged in a period are due.
func (w *configWatch) postpone(from, to, due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, c := range w.changes {
		if !c.acked.Before(from) && c.acked.Before(to) {
			w.changes[i].due = due
		}
	}
}

// newest returns the newest change and the newest of those that are due, if any.
func (w *configWatch) newest(now time.Time) []configChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []configChange
	for _, c := range slices.Backward(w.changes) {
		due := now.After(c.due)
		if due || len(out) == 0 {
			out = append(out, c)
		}
		if due {
			break
		}
	}
	return out
}

// watch checks a VM until ctx ends, over a connection that it keeps until the process
// closes it.
func (w *configWatch) watch(ctx context.Context, v *vm) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	l := &load{f: w.f}
	served, reported, process := 0, 0, (*exec.Cmd)(nil) // newest version that the process has served, and that was reported
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(configPollDelay)
		now, current := time.Now(), v.process()
		for _, c := range w.newest(now) {
			status, _, err := l.send(client, v, fmt.Sprintf("v%d", c.version), fmt.Sprintf("%s-watch-%d", v.name, n), 0)
			if current == nil || v.process() != current || err != nil {
				continue
			}
			if current != process {
				served, reported, process = 0, 0, current
			}
			switch {
			case status == http.StatusOK:
				served = max(served, c.version)
			case status == http.StatusNotFound && c.version > reported && (c.version <= served || now.After(c.due)):
				reported = c.version
				w.f.checker.mu.Lock()
				w.f.checker.reportf("%s does not serve version %d, acknowledged %v ago and due %v ago; it has served version %d", v.name, c.version, now.Sub(c.acked).Round(time.Millisecond), now.Sub(c.due).Round(time.Millisecond), served)
				w.f.checker.mu.Unlock()
			}
		}
	}
}

// process returns the VM's process, or nil if it has none.
func (v *vm) process() *exec.Cmd {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd
}

// Guards against a store that comes back from an older copy and sets VMs back: changes of
// the configuration that are not in force in time or are withdrawn, two owners of a key,
// requests for targets that have left, calls to the store without a pause.
func TestRestoredStoreSetsNoVMBack(t *testing.T) {
	binary := buildProgram(t)
	for i, c := range []struct {
		name     string
		restores []restore // one after the other
		beside   func(f *fleet)
	}{
		{"all_VMs_restarted_in_series", []restore{{age: 4 * time.Second, outage: 2 * time.Second, rewriteDelay: 600 * time.Millisecond, overtaken: true}},
			func(f *fleet) { f.stopInSeries(0, len(f.vms)) }},
		{"leader_killed_in_outage", []restore{{age: 4 * time.Second, outage: 2 * time.Second, rewriteDelay: 600 * time.Millisecond}},
			func(f *fleet) {
				leader := f.leaderOf(keyedService)
				if !assert.NotNil(f.t, leader, "nobody leads the service") {
					return
				}
				time.Sleep(seriesInterval + 500*time.Millisecond)
				leader.shutdown(syscall.SIGKILL)
				time.Sleep(time.Second)
				f.start(leader)
			}},
		{"restored_twice", []restore{
			{age: 4 * time.Second, outage: time.Second, rewriteDelay: 200 * time.Millisecond},
			{age: 3 * time.Second, outage: 1500 * time.Millisecond, rewriteDelay: 400 * time.Millisecond, overtaken: true},
		}, func(*fleet) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			playRestores(t, startReadyFleet(t, binary, int64(45+i), 4), int64(45+i), c.restores, c.beside)
		})
	}
}

// processStart returns when the process of the VM to which a request was sent started.
func (f *fleet) processStart(request string) time.Time {
	s, _ := f.submissionOf(request)
	return s.vmStart
}

// playRestores restores the store of a fleet while targets leave, the configuration
// changes and beside runs, which starts seriesInterval before the store is away. One of the
// targets goes on serving after its entry was removed. A process that starts later cannot
// know that they have left while the restored store lists them.
func playRestores(t *testing.T, f *fleet, seed int64, restores []restore, beside func(*fleet)) {
	load, stopLoad := startLoad(f, seed)
	w := &configWatch{f: f}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, v := range f.vms {
		wg.Go(func() { w.watch(ctx, v) })
	}
	w.configure()
	time.Sleep(2 * time.Second)

	calm := f.store.Calls()
	byID := func(a, b *targetInstance) int { return cmp.Compare(a.ID, b.ID) }
	keyed, pool := slices.SortedFunc(slices.Values(f.targetsOf(keyedService)), byID), slices.SortedFunc(slices.Values(f.targetsOf(poolService)), byID)
	leaving := []*targetInstance{pool[0], pool[1], keyed[0]}
	announced := time.Now()
	for _, m := range leaving {
		f.addTarget(m.service) // takes its place
		f.announceEnd(m)
	}
	time.Sleep(drainBound + 200*time.Millisecond)
	t.Logf("%d calls to the store in %v without faults", f.store.Calls()-calm, drainBound)
	f.removeEntry(leaving[0])
	var listedUntil atomic.Int64 // Unix nanoseconds
	f.checker.mu.Lock()
	f.checker.unaware = func(request string) bool {
		return time.Now().UnixNano() < listedUntil.Load() && f.processStart(request).After(announced)
	}
	f.checker.mu.Unlock()
	w.configure()
	wg.Go(func() { beside(f) })
	time.Sleep(seriesInterval)

	calls, began := f.store.Calls(), time.Now()
	for _, r := range restores {
		w.configure()
		time.Sleep(100 * time.Millisecond)
		if r.overtaken {
			time.AfterFunc(r.outage+r.rewriteDelay/2, w.configure)
		}
		time.AfterFunc(r.outage, func() { listedUntil.Store(time.Now().Add(removalDelay + drainBound).UnixNano()) })
		w.restore(r)
		time.Sleep(time.Second)
		w.configure()
	}
	time.Sleep(afterRestore - 2*time.Second)
	load.begin()
	time.Sleep(2 * time.Second)
	served, total := load.end()
	calls, took := f.store.Calls()-calls, time.Since(began)
	cancel()
	wg.Wait()
	stopLoad()

	f.checkNewestConfig()
	for _, p := range f.checker.violations {
		t.Error(p)
	}
	assert.LessOrEqual(t, float64(calls), maxCallsPerSecond*float64(len(f.vms))*took.Seconds(), "calls to the store in %v", took)
	assert.GreaterOrEqual(t, served*10, total*9, "requests served of %d", total)
	assert.NotZero(t, total)
	t.Logf("%d requests; %d calls to the store in %v with restores", load.count.Load(), calls, took)
	if t.Failed() {
		keepLogs(t, f, seed)
	}
}
