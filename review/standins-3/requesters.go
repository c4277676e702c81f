package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reply is what a requester got.
type reply struct {
	id, path string
	status   int // 0: no answer
	header   http.Header
	body     string
	err      error
}

var lastID atomic.Int64

// send sends one request to a VM and reads the whole answer.
func (r *rig) send(c *http.Client, v *vm, method, path, body string) reply {
	out := reply{id: fmt.Sprintf("%04x%012x", rand.Intn(1<<16), lastID.Add(1)), path: path}
	req, err := http.NewRequest(method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = "review.example"
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Request-Deadline", "1500")
	r.record.note("request %s %s %s is sent to %s", out.id, method, path, v.name)
	resp, err := c.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var content []byte
		if content, err = io.ReadAll(resp.Body); err == nil {
			out.status, out.header, out.body = resp.StatusCode, resp.Header, string(content)
		}
	}
	out.err = err
	if err != nil {
		r.record.note("request %s gets no answer: %v", out.id, err)
	} else {
		r.record.note("request %s gets %d, signature %q, %d bytes", out.id, out.status, out.header.Get("Response-Signature"), len(out.body))
	}
	return out
}

// traffic lets requesters send requests for a time, each over a kept connection, and passes
// each answer to check, one at a time.
func (r *rig) traffic(span time.Duration, requesters int, pause time.Duration, path func(n int) (method, path, body string), check func(reply)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(span)
	for i := range requesters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true}}
			defer c.CloseIdleConnections()
			for n := i; time.Now().Before(end); n += requesters {
				method, p, body := path(n)
				answer := r.send(c, r.vms[i%len(r.vms)], method, p, body)
				mu.Lock()
				check(answer)
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	wg.Wait()
}
