package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slots  = 3
	queued = 12
)

// upstream is a stand-in for an upstream. It speaks raw HTTP/1.1, so that a case can
// decide on each byte of an answer.
type upstream struct {
	r       *rig
	id      string
	service string
	zone    string
	work    time.Duration
	address string
	born    int64

	// answer, if it is set, replaces the bytes of the answer to a request that has run.
	answer func(u *upstream, id string, sound []byte) []byte

	mu       sync.Mutex
	sequence int
	slots    chan struct{}
	waiting  int
	running  int
}

func (r *rig) addUpstream(id, service, zone string, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{r: r, id: id, service: service, zone: zone, work: work, address: l.Addr().String(),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
	r.mu.Lock()
	r.upstreams = append(r.upstreams, u)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	u.publish()
	go func() {
		for {
			select {
			case <-r.stop:
				l.Close()
				return
			case <-time.After(870 * time.Millisecond):
				u.publish()
			}
		}
	}()
	return u, nil
}

// publish writes the entry of the upstream, which is also its ping.
func (u *upstream) publish() {
	u.mu.Lock()
	u.sequence++
	entry := map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots,
		"state": "ready", "warmupLeftS": 0, "sequence": u.sequence, "born": u.born}
	u.mu.Unlock()
	u.r.store.put("keyed.servers", u.id, entry)
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if want := req.Header.Get("Target-Instance"); want != "" && want != u.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, req.Header.Get("Attempt-Id"))
			continue
		}
		switch req.URL.Path {
		case "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		default:
			if !u.run(c, req, body) {
				return
			}
		}
	}
}

// run runs a request and answers it. It returns false if the connection has to end.
func (u *upstream) run(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Attempt-Id")
	refuse := func(status string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		return err == nil
	}
	u.mu.Lock()
	if u.waiting >= queued+slots {
		u.mu.Unlock()
		return refuse("503 Service Unavailable")
	}
	u.waiting++
	u.mu.Unlock()
	u.slots <- struct{}{}
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	u.r.record.note("%s runs %s %s %s, %d bytes", u.id, id, req.Method, req.RequestURI, len(body))
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.waiting--
	load := fmt.Sprintf("%d,%d,%d,100", u.running, max(0, u.waiting-u.running), slots)
	u.mu.Unlock()
	<-u.slots
	content := fmt.Sprintf("%s by %s", id, u.id)
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nUpstream-Load: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, load, signature(id, u.id), len(content), content)
	out := []byte(sound)
	if u.answer != nil {
		out = u.answer(u, id, out)
	}
	_, err := c.Write(out)
	return err == nil
}

// signature is the proof of an answer.
func signature(id, upstream string) string { return strings.ReplaceAll(id+"."+upstream, "-", "") }
