package soak

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/stretchr/testify/assert"
)

// submissionOf returns where and when a request was sent.
func (f *fleet) submissionOf(request string) (submission, bool) {
	s, ok := f.sentTo.Load(request)
	if !ok {
		return submission{}, false
	}
	return s.(submission), true
}

// cutStoreFromAll cuts all VMs off from the store, or ends that.
func (f *fleet) cutStoreFromAll(cut bool) {
	for _, v := range f.vms {
		f.storeProxy.SetClientBoth(v.ip, faultproxy.Settings{Cut: cut})
	}
}

// Guards against VMs that go on sending to targets whose answers say that they leave, because
// the VMs are cut off from the store and only its entries counted.
func TestTargetsThatSayTheyLeaveGetNoMoreRequestsDuringCut(t *testing.T) {
	f := startReadyFleet(t, buildProgram(t), 47, 3)
	f.checker.drainBoundLifted = func() bool { return true } // of the store's entries, which the VMs do not read
	load, stop := startLoad(f, 47)
	time.Sleep(time.Second)
	f.cutStoreFromAll(true)
	time.Sleep(300 * time.Millisecond)
	for _, service := range []string{keyedService, poolService} {
		f.announceEnd(f.targetsOf(service)[0])
	}
	time.Sleep(drainBound)
	load.begin()
	time.Sleep(2200 * time.Millisecond)
	served, total := load.end()
	f.cutStoreFromAll(false)
	stop()
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	for _, p := range f.checker.violations {
		t.Error(p)
	}
	assert.NotEmpty(t, f.checker.passedOn, "no answer said that its target leaves")
	// Three quarters of the requests need a key, and the sixth of the keys whose owner leaves
	// cannot move without the store.
	assert.Greater(t, served*100, total*75, "requests served of %d", total)
	if t.Failed() {
		keepLogs(t, f, 47)
	}
}
