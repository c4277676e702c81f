package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// options sends requests whose path no route begins and checks that none of them gets a
// success without an upstream's signature. With trouble, the path is the asterisk.
func options(d *deployment, trouble bool) (bool, error) {
	d.configure(2)
	for i := range 3 {
		u, err := startUpstream(d.store, d.rec, fmt.Sprintf("i-%04d", i+1), "desk", "labadi", 3, 20*time.Millisecond, 400)
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
	ask := func(id, line string) (*http.Response, error) {
		c, err := net.DialTimeout("tcp", v.front(), time.Second)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(3 * time.Second))
		d.rec.logf("sent %s: %s, Host desk.example", id, line)
		fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nRequest-Deadline: 2000\r\nContent-Length: 0\r\n\r\n", line, id)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil, err
		}
		d.rec.logf("answer to %s: %s, Response-Signature %q, Attempt-Id %q", id, resp.Status, resp.Header.Get("Response-Signature"), resp.Header.Get("Attempt-Id"))
		return resp, nil
	}
	if resp, err := ask("r-look", "GET /look/1"); err != nil || resp.StatusCode != 200 || resp.Header.Get("Response-Signature") == "" {
		return false, fmt.Errorf("an ordinary request was not served: %v", err)
	}
	path := "/nowhere/"
	if trouble {
		path = "*"
	}
	broken := 0
	for i := range 5 {
		id := fmt.Sprintf("r-options-%d", i)
		resp, err := ask(id, "OPTIONS "+path)
		if err != nil {
			return false, err
		}
		ran := false
		for _, u := range d.upstreams {
			u.mu.Lock()
			ran = ran || u.runs[id] != nil
			u.mu.Unlock()
		}
		d.rec.logf("%s was run by an upstream: %v", id, ran)
		if resp.StatusCode/100 == 2 && resp.Header.Get("Response-Signature") == "" {
			broken++
		}
	}
	return broken > 0, nil
}
