package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lease is a grant of the keys From to To.
type lease struct {
	From, To int
	Fence    int64
	Until    time.Time
}

// grantCall is the body of POST /grant and POST /release.
type grantCall struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"holdS"`
}

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
	sharded bool
	work    time.Duration
	address string
	born    int64

	// answer, if it is set, replaces the bytes of the answer to a request that has run.
	answer func(u *upstream, id string, sound []byte) []byte
	// onGrant, if it is set, is asked before a grant is applied. It reports whether it has
	// answered, and the case then applies the grant itself.
	onGrant func(u *upstream, c net.Conn, g grantCall, arrived time.Time) bool

	mu       sync.Mutex
	state    string
	sequence int
	leases   []lease
	slots    chan struct{}
	waiting  int
	running  int
	idle     *sync.Cond
}

func (r *rig) addUpstream(id, service, zone string, sharded bool, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{r: r, id: id, service: service, zone: zone, sharded: sharded, work: work, address: l.Addr().String(),
		born: time.Now().UnixMilli(), state: "ready", slots: make(chan struct{}, slots)}
	u.idle = sync.NewCond(&u.mu)
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
	if u.state == "" {
		u.mu.Unlock()
		return
	}
	u.sequence++
	entry := map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": slots,
		"state": u.state, "warmupLeftS": 0, "sequence": u.sequence, "born": u.born}
	u.mu.Unlock()
	u.r.store.put("keyed.servers", u.id, entry)
}

// leave removes the entry of the upstream, which sends no further ping.
func (u *upstream) leave() {
	u.mu.Lock()
	u.state = ""
	u.mu.Unlock()
	u.r.store.put("keyed.servers", u.id, nil)
}

// drain reports that the upstream is about to leave.
func (u *upstream) drain() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.publish()
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		arrived := time.Now()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if want := req.Header.Get("Target-Instance"); want != "" && want != u.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id, req.Header.Get("Attempt-Id"))
			continue
		}
		switch req.URL.Path {
		case "/grant", "/release":
			var g grantCall
			if json.Unmarshal(body, &g) != nil {
				io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if req.URL.Path == "/release" {
				u.release(c, g)
			} else if hook := u.grantHook(); hook == nil || !hook(u, c, g, arrived) {
				io.WriteString(c, u.grant(g, arrived))
			}
		case "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		default:
			if !u.run(c, req, body) {
				return
			}
		}
	}
}

func (u *upstream) grantHook() func(*upstream, net.Conn, grantCall, time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.onGrant
}

// grant applies a grant and returns the answer. Its time counts from its arrival. The
// clock of the upstream is exact.
func (u *upstream) grant(g grantCall, arrived time.Time) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, l := range u.leases {
		if l.From <= g.To && l.To >= g.From && l.Fence > g.Fence {
			u.r.record.note("%s refuses the grant of %d to %d, fence %d: it has seen fence %d", u.id, g.From, g.To, g.Fence, l.Fence)
			return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		}
	}
	until := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	isNew := !u.cut(g)
	u.leases = append(u.leases, lease{g.From, g.To, g.Fence, until})
	if isNew {
		u.r.record.note("%s takes the keys %d to %d with fence %d for %.3f s", u.id, g.From, g.To, g.Fence, time.Until(until).Seconds())
	}
	checkOwners(u.r, u, lease{g.From, g.To, g.Fence, until})
	return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
}

// cut removes keys from the leases and reports whether one lease had them all, under the
// same fence. mu must be held.
func (u *upstream) cut(g grantCall) (renewed bool) {
	var kept []lease
	for _, l := range u.leases {
		if l.To < g.From || l.From > g.To {
			kept = append(kept, l)
			continue
		}
		renewed = renewed || l.From <= g.From && l.To >= g.To && l.Fence == g.Fence && time.Now().Before(l.Until)
		if l.From < g.From {
			kept = append(kept, lease{l.From, g.From - 1, l.Fence, l.Until})
		}
		if l.To > g.To {
			kept = append(kept, lease{g.To + 1, l.To, l.Fence, l.Until})
		}
	}
	u.leases = kept
	return renewed
}

func (u *upstream) release(c net.Conn, g grantCall) {
	u.mu.Lock()
	u.cut(g)
	for u.running > 0 {
		u.idle.Wait()
	}
	u.mu.Unlock()
	u.r.record.note("%s has released the keys %d to %d, fence %d", u.id, g.From, g.To, g.Fence)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHandover: h%d\r\nContent-Length: 0\r\n\r\n", g.Fence)
}

// holds reports whether the upstream holds a key. mu must be held.
func (u *upstream) holds(key int) bool {
	for _, l := range u.leases {
		if l.From <= key && key <= l.To && time.Now().Before(l.Until) {
			return true
		}
	}
	return false
}

// run runs a request and answers it. It returns false if the connection has to end.
func (u *upstream) run(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Attempt-Id")
	refuse := func(status string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		return err == nil
	}
	u.mu.Lock()
	key, _ := strconv.Atoi(req.Header.Get("Shard-Key"))
	if u.sharded && !u.holds(key) {
		u.mu.Unlock()
		return refuse("421 Misdirected Request")
	}
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
	u.r.record.note("%s runs %s %s %s, key %d, %d bytes", u.id, id, req.Method, req.RequestURI, key, len(body))
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.waiting--
	load := fmt.Sprintf("%d,%d,%d,100", u.running, max(0, u.waiting-u.running), slots)
	u.idle.Broadcast()
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
