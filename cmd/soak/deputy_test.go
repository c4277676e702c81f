package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/store"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	outages         = 2
	phasesPerOutage = 2 // each with another VM that reaches the store, or none
	stopsPerPhase   = 2
)

// ciDeputySeeds are the seeds that run in CI.
var ciDeputySeeds = []int64{1, 2}

// Guards against two owners of a key after a succession that involves deputies: a VM that
// does not know of a deputy claims the cell, or two deputies act for one leader. Leaders
// stop, die or are suspended while the store refuses all VMs or all but one.
func TestDeputiesLeaveOneOwner(t *testing.T) {
	binary, deputies := buildProgram(t), 0
	for _, seed := range seeds(t, ciDeputySeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { deputies += succeedOnce(t, binary, seed) })
	}
	assert.Positive(t, deputies, "no VM became a deputy, so nothing was shown")
}

// succeedOnce runs a seed and returns how often a VM became deputy of a leader of keys.
func succeedOnce(t *testing.T, binary string, seed int64) (deputies int) {
	f := startReadyFleet(t, binary, seed, intFromEnv(t, "MANGOGATE_SOAK_VMS", 5))
	f.distinctPaths = true
	fi := &faultInjector{f: f, rng: rand.New(rand.NewSource(seed))}
	f.checker.drainBoundLifted = fi.drainBoundLifted
	require.Eventually(t, func() bool { return f.leaderOf(keyedService) != nil }, 5*time.Second, 50*time.Millisecond, "nobody leads the service")
	load, stop := startLoad(f, seed)
	fi.withDrainBoundLifted(fi.plannedStopInOutage)
	for range outages {
		fi.withDrainBoundLifted(fi.outage)
		time.Sleep(fi.between(300*time.Millisecond, 1500*time.Millisecond))
	}
	fi.wg.Wait()
	load.checkRecovery(t, stop)
	f.eachLeadership(func(_ *vm, line logLine) {
		if line.Acts && line.Service == keyedService { // only this one renews grants
			deputies++
		}
	})
	t.Logf("seed %d: %d requests, %d deputies of leaders of keys, faults: %v", seed, load.count.Load(), deputies, fi.injected)
	if t.Failed() {
		keepLogs(t, f, seed)
	}
	return deputies
}

func (fi *faultInjector) between(least, most time.Duration) time.Duration {
	return least + time.Duration(fi.rng.Int63n(int64(most-least)))
}

// plannedStopInOutage lets a leader of keys stop while the store refuses all VMs, so that it
// needs a deputy whatever the seed.
func (fi *faultInjector) plannedStopInOutage() {
	f, refused := fi.f, map[string]bool{}
	for _, v := range f.vms {
		refused[v.ip] = true
	}
	f.store.SetFaults(store.Faults{RejectIPs: refused})
	time.Sleep(500 * time.Millisecond) // until the VMs notice
	v := f.leaderOf(keyedService)
	fi.inject("stop "+v.name, func() { v.shutdown(syscall.SIGTERM); f.start(v) })
	time.Sleep(1500 * time.Millisecond)
	f.store.SetFaults(store.Faults{})
	time.Sleep(time.Second)
}

// outage lets the store refuse all VMs, or all but one, while leaders end and keys move.
func (fi *faultInjector) outage() {
	f := fi.f
	for range phasesPerOutage {
		reaching := fi.rng.Intn(2 * len(f.vms)) // no VM from len(f.vms) on
		refused := map[string]bool{}
		for i, v := range f.vms {
			refused[v.ip] = i != reaching
		}
		f.store.SetFaults(store.Faults{RejectIPs: refused})
		if reaching < len(f.vms) {
			v := f.vms[reaching]
			fi.inject("only "+v.name+" reaches the store", func() {})
			if fi.rng.Intn(2) == 0 { // it then knows of no deputy
				fi.restart(v, fi.between(0, time.Second))
			}
		} else {
			fi.inject("store refuses all", func() {})
		}
		for range stopsPerPhase {
			fi.endLeader()
			time.Sleep(fi.between(100*time.Millisecond, 600*time.Millisecond))
			fi.moveKeys()
			time.Sleep(fi.between(300*time.Millisecond, 1200*time.Millisecond))
		}
	}
	f.store.SetFaults(store.Faults{})
}

// endLeader stops, kills or suspends the VM that leads the keyed service.
func (fi *faultInjector) endLeader() {
	v, other, d := fi.f.leaderOf(keyedService), fi.randomVM(), fi.between(500*time.Millisecond, 4*time.Second)
	switch fi.rng.Intn(6) {
	case 0:
		fi.restart(v, d/4)
	case 1:
		fi.suspend(v, d)
	case 2: // the other VM does not hear of a deputy, and supports none, until it wakes up
		if other != v {
			fi.suspend(other, d)
			time.Sleep(d / 20)
		}
		fallthrough
	default:
		fi.inject("stop "+v.name, func() { v.shutdown(syscall.SIGTERM); fi.f.start(v) })
	}
}

// restart kills a VM's process and starts another one after a time.
func (fi *faultInjector) restart(v *vm, down time.Duration) {
	fi.inject("kill "+v.name, func() { v.shutdown(syscall.SIGKILL); time.Sleep(down); fi.f.start(v) })
}

func (fi *faultInjector) suspend(v *vm, d time.Duration) {
	fi.inject("suspend "+v.name, func() { v.signal(syscall.SIGSTOP); time.Sleep(d); v.signal(syscall.SIGCONT) })
}

// moveKeys replaces a target of the keyed service, which leaves or crashes.
func (fi *faultInjector) moveKeys() {
	targets := slices.DeleteFunc(fi.f.targetsOf(keyedService), (*targetInstance).leaves)
	m, drain := targets[fi.rng.Intn(len(targets))], fi.rng.Intn(2) == 0
	fi.f.addTarget(keyedService)
	fi.inject(fmt.Sprintf("end %s, drain %v", m.ID, drain), func() { fi.f.remove(m, drain) })
}

// leaves reports whether a target has announced that it leaves.
func (m *targetInstance) leaves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == "draining"
}
