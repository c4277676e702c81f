package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// smallMachine holds the limits of the machines of the small sites.
var smallMachine = machine{284, 4100}

// beatInterval is the time between two entries of an upstream, as in the settings of the small
// sites.
const beatInterval = 1500 * time.Millisecond

func (d *deployment) newUpstream(id, service string, keyed bool) *upstream {
	u := &upstream{id: id, service: service, zone: "labadi", slots: 3, work: 60 * time.Millisecond, size: 400, store: d.store, rec: d.rec, interval: beatInterval}
	if keyed {
		u.keyed = newHolds()
	}
	return u
}

// startKeyed starts a deployment of two machines with three upstreams that hold keys, and
// one of another service.
func (d *deployment) startKeyed() error {
	d.configureKeyed()
	for i := range 4 {
		u := d.newUpstream(fmt.Sprintf("i-%04d", i+1), "board", true)
		if i == 3 {
			u = d.newUpstream("i-0008", "desk", false)
		}
		if err := u.start("127.0.0.1:0"); err != nil {
			return err
		}
		if u.keyed != nil {
			d.upstreams = append(d.upstreams, u)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i, zone := range []string{"labadi", "kokrobite"} {
		if _, err := d.startVM(fmt.Sprintf("front-%s-%d", zone, i+1), zone, smallMachine); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := v.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// load is what requesters send to the service with keys.
type load struct {
	stop                      atomic.Bool
	wg                        sync.WaitGroup
	answered, refused, failed atomic.Int64
}

func (d *deployment) startLoad() *load {
	l := &load{}
	addresses := []string{d.vms[0].front(), d.vms[1].front()}
	for requester := range 8 {
		l.wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
			for n := 0; !l.stop.Load(); n++ {
				key := (requester*8191 + n*977) % allKeys / keyStride * keyStride
				req, _ := http.NewRequest(http.MethodPost, "http://"+addresses[(requester+n)%2]+"/pay/1", strings.NewReader("{}"))
				req.Host, req.GetBody = "desk.example", nil
				req.Header.Set("Attempt-Id", fmt.Sprintf("r-%d-%d", requester, n))
				req.Header.Set("Request-Deadline", "2500")
				req.Header.Set("Shard-Key", strconv.Itoa(key))
				resp, err := c.Do(req)
				switch {
				case err != nil:
					l.failed.Add(1)
				case resp.StatusCode == 200:
					l.answered.Add(1)
				case resp.StatusCode == 503 || resp.StatusCode == 429:
					l.refused.Add(1)
				default:
					l.failed.Add(1)
				}
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	return l
}

// end ends the load and reports whether two upstreams held a key for over half a second.
func (d *deployment) end(l *load) bool {
	l.stop.Store(true)
	l.wg.Wait()
	d.rec.logf("%d requests answered 200, %d refused as not run, %d failed", l.answered.Load(), l.refused.Load(), l.failed.Load())
	found := overlaps(d.upstreams, 500*time.Millisecond)
	for i, o := range found {
		if i < 5 {
			d.rec.logf("key %d: %s at %s (fence %d) and %s at %s (fence %d) hold it for %.2f s, from %.3f s on", o.key, o.a.id, o.a.listener.Addr(), o.ia.fence,
				o.b.id, o.b.listener.Addr(), o.ib.fence, o.length().Seconds(), o.start().Sub(d.rec.began).Seconds())
		}
	}
	d.rec.logf("%d of %d recorded keys were held by two upstreams for over half a second", len(found), allKeys/keyStride)
	return len(found) > 0
}

// startAgain starts an upstream that has crashed again, under its id at another address.
func (d *deployment) startAgain(old *upstream) (*upstream, error) {
	again := d.newUpstream(old.id, old.service, true)
	if err := again.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	d.upstreams = append(d.upstreams, again)
	d.rec.logf("%s starts again under its id at %s", again.id, again.listener.Addr())
	return again, nil
}

// reuse starts an upstream of another service at the address of one that has ended.
func (d *deployment) reuse(address string, crashedAt time.Time) error {
	u := d.newUpstream("i-0009", "desk", false)
	if err := u.start(address); err != nil {
		return err
	}
	d.rec.logf("%s of another service starts at %s, %.1f s after the crash", u.id, address, time.Since(crashedAt).Seconds())
	return nil
}

// reborn checks that no two upstreams hold a key for over half a second. An upstream crashes and
// starts again under its id at another address, and its address goes to an upstream of another
// service. With trouble, the store then comes back from a copy that is older than that, while the
// machines are stopped and started in turn.
func reborn(d *deployment, trouble bool) (bool, error) {
	if err := d.startKeyed(); err != nil {
		return false, err
	}
	l := d.startLoad()
	time.Sleep(5 * time.Second)

	leader, follower := d.vms[0], d.vms[1]
	if d.store.lastWriter == follower.ip {
		leader, follower = follower, leader
	}
	d.rec.logf("%s last wrote to the store under a condition", leader.name)
	terminate := func(v *vm) {
		v.cmd.Process.Signal(syscall.SIGTERM)
		d.rec.logf("SIGTERM to %s", v.name)
	}
	backup := d.store.copied()
	copiedAt := time.Now()
	d.rec.logf("a copy of the store is taken")
	old := d.upstreams[0]
	address := old.listener.Addr().String()
	old.crash()
	d.rec.logf("%s at %s crashes; it holds nothing any more", old.id, address)
	time.Sleep(700 * time.Millisecond)
	again, err := d.startAgain(old)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	terminate(follower)
	time.Sleep(1500 * time.Millisecond)
	if err := d.reuse(address, copiedAt); err != nil {
		return false, err
	}
	<-follower.exited
	d.rec.logf("%s has ended; %s holds %d of %d recorded keys", follower.name, again.id, again.keyed.keys(), allKeys/keyStride)
	if again.keyed.keys() == 0 {
		return false, fmt.Errorf("%s was granted no keys", again.id)
	}
	if trouble {
		d.store.setDown(true)
		d.rec.logf("the store is away")
	}
	time.Sleep(200 * time.Millisecond)
	next, err := d.restartVM(follower, smallMachine)
	if err != nil {
		return false, err
	}
	d.rec.logf("%s starts again", next.name)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		// The heartbeat of the upstream that has started again is due 1.25 s after the return at
		// the earliest, and 1.5 s at the latest.
		for time.Since(again.lastBeat()) > 250*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		d.store.restore(backup)
		d.rec.logf("the store is back from the copy, which is %.1f s old, in era %d", time.Since(copiedAt).Seconds(), d.store.era)
	}
	time.Sleep(700 * time.Millisecond)
	terminate(leader)
	time.Sleep(6 * time.Second)
	return d.end(l), nil
}
