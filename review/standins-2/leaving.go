package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainBound = 2 * time.Second
	// cutTime is how long the machine is cut off, at most the for_s of node_cut.
	cutTime   = 5500 * time.Millisecond
	leaveAt   = 300 * time.Millisecond  // after the cut began
	exitAfter = 4200 * time.Millisecond // after the store has accepted that the upstream leaves
)

// sentRequest is a request of a requester with the fate that it has seen.
type sentRequest struct {
	id         string
	sent, done time.Time
	status     int // 0 if there was no answer
	leaving    bool
	err        error
}

// leaving checks that a machine sends an upstream nothing later than drainBound after it has
// passed on an answer in which that upstream said that it leaves. With trouble, the machine is
// cut off from the store, and from nothing else, when the upstream begins to leave.
func leaving(d *deployment, trouble bool) (bool, error) {
	d.configure(2)
	for i := range 3 {
		u, err := startUpstream(d.store, d.rec, fmt.Sprintf("i-%04d", i+1), "desk", "labadi", 3, 150*time.Millisecond, 400)
		if err != nil {
			return false, err
		}
		d.upstreams = append(d.upstreams, u)
	}
	v, err := d.startVM("front-labadi-1", "labadi", machine{284, 4100})
	if err != nil {
		return false, err
	}
	if err := v.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // stableWindowS, and the warm-up of the upstreams
	var (
		stop atomic.Bool
		wg   sync.WaitGroup
		mu   sync.Mutex
		all  []sentRequest
	)
	for requester := range 9 {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for n := 0; !stop.Load(); n++ {
				q := sentRequest{id: fmt.Sprintf("r-%d-%d", requester, n), sent: time.Now()}
				req, _ := http.NewRequest(http.MethodPost, "http://"+v.front()+"/book/1", strings.NewReader("{}"))
				req.Host, req.GetBody = "desk.example", nil
				req.Header.Set("Attempt-Id", q.id)
				req.Header.Set("Request-Deadline", "2500")
				var resp *http.Response
				if resp, q.err = c.Do(req); q.err == nil {
					_, q.err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					q.status, q.leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"
				}
				q.done = time.Now()
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
				time.Sleep(time.Duration(5+(requester*13+n*7)%31) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	var cut atomic.Bool
	d.store.cut = func(ip string) bool { return cut.Load() && ip == v.ip }
	cut.Store(trouble)
	began := time.Now()
	d.rec.logf("the machine is cut off from the store: %v", trouble)
	time.Sleep(leaveAt)
	leaver := d.upstreams[0]
	leaver.leave()
	d.rec.logf("the store has accepted that %s is draining", leaver.id)
	time.Sleep(exitAfter)
	exited := time.Now()
	leaver.exit()
	d.rec.logf("%s has ended, %.1f s after the store had accepted that it leaves", leaver.id, exitAfter.Seconds())
	time.Sleep(time.Until(began.Add(cutTime)))
	cut.Store(false)
	d.rec.logf("the cut has ended")
	time.Sleep(time.Second)
	stop.Store(true)
	wg.Wait()

	var passedOn time.Time
	for _, q := range all {
		if q.leaving && (passedOn.IsZero() || q.done.Before(passedOn)) {
			passedOn = q.done
		}
	}
	late, lost, lostLate, answered, notRun := 0, 0, 0, 0, 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, q := range all {
		switch {
		case q.status == 200:
			answered++
		case q.status == 503 || q.status == 429:
			notRun++
		default:
			lost++
		}
		r := leaver.runs[q.id]
		if r == nil || passedOn.IsZero() || !q.sent.After(passedOn.Add(drainBound)) {
			continue
		}
		late++
		outcome := fmt.Sprintf("answered %d", q.status)
		if q.status != 200 {
			lostLate++
			outcome = fmt.Sprintf("its answer was lost: status %d, error %v", q.status, q.err)
		}
		d.rec.logf("%s, sent %.2f s after the machine had passed on Server-Leaving of %s (%.2f s after the cut), runs there; %s",
			q.id, q.sent.Sub(passedOn).Seconds(), leaver.id, q.sent.Sub(began).Seconds(), outcome)
	}
	d.rec.logf("%d requests: %d answered 200, %d refused as not run, %d without the answer of an upstream", len(all), answered, notRun, lost)
	d.rec.logf("Server-Leaving first passed on %.2f s after the leave; %d requests ran at %s that were sent over %v later, %d of them in vain; %s ended %.2f s after it",
		passedOn.Sub(began.Add(leaveAt)).Seconds(), late, leaver.id, drainBound, lostLate, leaver.id, exited.Sub(passedOn).Seconds())
	return late > 0, nil
}
