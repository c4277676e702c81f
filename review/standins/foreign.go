package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	foreignRounds  = 3
	drain          = 2 * time.Second // the bound drainS
	serveOn        = 2500 * time.Millisecond
	foreignAfter   = 500 * time.Millisecond
	foreignBookers = 10
)

// foreignEntry takes upstreams away one at a time. Each is one that never reports draining:
// its entry is removed, it serves for drainS and a little longer, and ends. Meanwhile another
// writer writes entries under its id in which fields are missing.
func foreignEntry(f *fleet) int {
	f.configure(7, 1.2)
	f.addUpstream(keyedService, 60*time.Millisecond)
	var pool []*server
	for range 8 {
		pool = append(pool, f.addUpstream(poolService, 150*time.Millisecond))
	}
	f.startVMs()
	f.awaitReady()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range foreignBookers {
		wg.Go(func() { f.keepBooking(f.vms[i%vmCount], stop) })
	}
	time.Sleep(4 * time.Second)
	status := held
	for i := range foreignRounds {
		if f.takeAway(pool[i]) {
			status = broken
		}
		f.addUpstream(poolService, 150*time.Millisecond)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	return status
}

// takeAway removes an upstream and reports whether a request reached it later than drainS after
// the store had confirmed that it is gone.
func (f *fleet) takeAway(s *server) (late bool) {
	fmt.Fprintln(s.in, "silent")
	time.Sleep(50 * time.Millisecond) // an entry that is on its way arrives before
	f.store.put("keyed.servers", s.id, nil)
	gone := time.Now()
	f.note("entry of upstream %s is removed", s.id)
	for elapsed := foreignAfter; f.trouble && elapsed < drain+serveOn; elapsed += heartbeat {
		time.Sleep(time.Until(gone.Add(elapsed)))
		f.store.putJSON("keyed.servers", s.id, map[string]any{"service": poolService, "address": s.address, "zone": s.zone, "slots": upstreamSlots, "state": "ready"})
		f.note("another writer writes an entry under %s, without version, warmupLeftS, sequence and born", s.id)
	}
	time.Sleep(time.Until(gone.Add(drain + serveOn)))
	f.kill(s)
	f.store.put("keyed.servers", s.id, nil)
	f.mu.Lock()
	n := 0
	for _, e := range f.events {
		if e.ID == s.id && e.Kind == "run" && e.At > gone.Add(drain).UnixNano() {
			n++
		}
	}
	f.mu.Unlock()
	if n > 0 {
		f.note("DRAIN broken: %d requests reached %s later than %s after its entry was removed", n, s.id, drain)
	}
	return n > 0
}

// keepBooking sends bookings, one after the other, until stop is closed.
func (f *fleet) keepBooking(v *vm, stop chan struct{}) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		req, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/book/"+id, io.NopCloser(strings.NewReader("one place")))
		must(err)
		req.Host, req.ContentLength = host, 9
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Request-Deadline", "1500")
		resp, err := client.Do(req)
		if err != nil {
			f.note("booking %s: no answer: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		f.note("booking %s: %d", id, resp.StatusCode)
	}
}
