package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leavers    = 40  // requesters of each kind
	leaveShare = 0.2 // of them leave
	leaveAfter = 40 * time.Millisecond
)

// halfClose plays requesters some of which leave before their time budget: they end their
// side of the channel after the request, and read what still comes until the other side ends
// it too.
func halfClose(f *fleet) int {
	f.configure(7, 1.2)
	f.addUpstream(keyedService, 60*time.Millisecond)
	for range 2 {
		f.addUpstream(poolService, 150*time.Millisecond)
	}
	f.startVMs()
	f.awaitReady()
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for i := range leavers {
		for _, r := range []struct{ method, path, body string }{{"GET", "/read/", ""}, {"POST", "/book/", "one place"}} {
			leaves := f.trouble && i%int(1/leaveShare) == 0
			wg.Go(func() {
				if f.ask(f.vms[i%vmCount].front, r.method, r.path+newID(), r.body, leaves) {
					mu.Lock()
					wrong++
					mu.Unlock()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.note("%d requesters got a success that no upstream gave", wrong)
	if wrong > 0 {
		return broken
	}
	return held
}

// ask sends one request on a channel of its own and reports whether the requester got a
// success without an upstream's Response-Signature.
func (f *fleet) ask(front, method, path, body string, leaves bool) (wrong bool) {
	c, err := net.Dial("tcp", front)
	if err != nil {
		f.note("no channel to %s: %v", front, err)
		return false
	}
	defer c.Close()
	id := newID()
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: 1500\r\nContent-Length: %d\r\n\r\n%s", method, path, host, id, len(body), body)
	if leaves {
		time.Sleep(leaveAfter)
		_ = c.(*net.TCPConn).CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.note("request %s %s %s, leaves %t: no answer: %v", id, method, path, leaves, err)
		return false
	}
	content, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("Response-Signature")
	f.note("request %s %s %s, leaves %t: %d, signature %q, body %q (%v), ran %t", id, method, path, leaves, resp.StatusCode, signature, content, err, f.ran(id))
	return resp.StatusCode/100 == 2 && signature == ""
}

// ran reports whether an upstream has told that it ran a request.
func (f *fleet) ran(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e.Kind == "run" && e.Request == id {
			return true
		}
	}
	return false
}
