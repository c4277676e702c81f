package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// smallestMachine holds the limits of the smallest machine that the pages name.
var smallestMachine = machine{144, 3075}

// attack is a crowd of requesters that come to each machine at once.
type attack struct {
	requesters  int
	openFor     time.Duration // over which they open their channels
	lasts       time.Duration // from then on, after which they leave
	answerBytes int           // of an upstream's answer
	// send plays one requester until end, and tells the status of its answer (0 for none) and
	// whether the answer is whole.
	send func(address, id string, end time.Time) (status int, whole bool)
}

// playAttack plays three rounds of a crowd at two machines and reports whether the rule is
// broken: on both machines processes end three times. The platform kills a process that is over
// the memory of its machine, and starts it again.
func playAttack(d *deployment, a attack) (bool, error) {
	d.configure(4)
	for i := range 8 {
		u, err := startUpstream(d.store, d.rec, fmt.Sprintf("i-%04d", i+1), "desk", "labadi", 3, 5*time.Millisecond, a.answerBytes)
		if err != nil {
			return false, err
		}
		d.upstreams = append(d.upstreams, u)
	}
	ends, names := [2]int{}, [2]string{"front-labadi-1", "front-labadi-2"}
	var vms [2]*vm
	for i := range vms {
		v, err := d.startVM(names[i], "labadi", smallestMachine)
		if err != nil {
			return false, err
		}
		vms[i] = v
	}
	for round := range 3 {
		for i, v := range vms {
			if !v.running() { // the platform starts it again
				again, err := d.restartVM(v, smallestMachine)
				if err != nil {
					return false, err
				}
				vms[i] = again
			}
		}
		for _, v := range vms {
			if err := v.waitReady(); err != nil {
				return false, err
			}
		}
		time.Sleep(4 * time.Second)
		var wg sync.WaitGroup
		var ended [2]bool
		for i, v := range vms {
			wg.Go(func() { ended[i] = a.play(d, v, round) })
		}
		wg.Wait()
		for i := range vms {
			if ended[i] {
				ends[i]++
			}
		}
	}
	d.rec.logf("ends of processes: %s %d, %s %d", names[0], ends[0], names[1], ends[1])
	return ends[0] >= 3 && ends[1] >= 3, nil
}

// play plays one round at a machine, with the platform that watches its memory, and reports
// whether the process has ended.
func (a attack) play(d *deployment, v *vm, round int) bool {
	d.rec.logf("round %d: %s uses %d MB of %d MB before the requests", round+1, v.name, v.residentMB("VmRSS"), smallestMachine.memoryMB)
	var peak atomic.Int64
	done := make(chan struct{})
	go func() { // the platform
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := v.residentMB("VmRSS")
			peak.Store(max(peak.Load(), int64(mb)))
			if mb > smallestMachine.memoryMB && v.running() {
				d.rec.logf("%s uses %d MB, over the %d MB of its machine: the platform kills it", v.name, mb, smallestMachine.memoryMB)
				v.cmd.Process.Kill()
				<-v.exited
				return
			}
		}
	}()
	var wg sync.WaitGroup
	var whole, failed, cut atomic.Int64
	end := time.Now().Add(a.openFor + a.lasts)
	for i := range a.requesters {
		wg.Go(func() {
			time.Sleep(a.openFor * time.Duration(i) / time.Duration(a.requesters))
			switch status, all := a.send(v.front(), fmt.Sprintf("r-%s-%d-%d", v.name, round, i), end); {
			case status == 0 || !all:
				cut.Add(1)
			case status != 200:
				failed.Add(1)
			default:
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	close(done)
	prefix, ran := fmt.Sprintf("r-%s-%d-", v.name, round), 0
	for _, u := range d.upstreams {
		u.mu.Lock()
		for id := range u.runs {
			if strings.HasPrefix(id, prefix) {
				ran++
			}
		}
		u.mu.Unlock()
	}
	d.rec.logf("round %d: %s: %d requests, %d run by upstreams, %d answered 200, %d with another status, %d without a whole answer; peak memory %d MB",
		round+1, v.name, a.requesters, ran, whole.Load(), failed.Load(), cut.Load(), peak.Load())
	if v.running() {
		return false
	}
	d.rec.logf("%s has ended: %v", v.name, v.ended)
	return true
}
