package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// lateBy is after which time a grant without an answer is carried out.
const lateBy = 2 * time.Second

// faults are those of a sick upstream: a second copy of an answer arrives late, where the next
// answer on the channel is expected, and the call that it seems to answer is left unanswered
// and carried out late.
type faults struct {
	mu   sync.Mutex
	left int // how many more grants are treated so
}

func (f *faults) set(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = n
}

func (f *faults) take() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return false
	}
	f.left--
	return true
}

// silent is the state of an upstream that writes no entries any more.
const silent = "silent"

// obey carries out the orders of the case: a number sets how many faults are left, a word is
// the state that the upstream tells from now on.
func (u *upstream) obey(orders io.Reader) {
	for lines := bufio.NewScanner(orders); lines.Scan(); {
		if n, err := strconv.Atoi(lines.Text()); err == nil {
			u.faults.set(n)
			continue
		}
		u.mu.Lock()
		u.state = lines.Text()
		u.mu.Unlock()
		if lines.Text() != silent {
			u.register()
		}
		u.log(event{Kind: lines.Text()})
	}
}

// serve accepts channels until the process ends.
func (u *upstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serveChannel(c)
	}
}

// serveChannel answers one request after the other on a channel.
func (u *upstream) serveChannel(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var lastGrant []byte // the answer to the grant before, if that was the last call
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == "/grant" && lastGrant != nil && u.faults.take() {
			u.leaveUnanswered(body)
			if _, err := c.Write(lastGrant); err != nil {
				return
			}
			continue
		}
		answer := u.answer(r)
		if _, err := c.Write(answer); err != nil {
			return
		}
		lastGrant = nil
		if r.URL.Path == "/grant" {
			lastGrant = answer
		}
	}
}

// answer returns the bytes of the answer to a request.
func (u *upstream) answer(r *http.Request) []byte {
	w := httptest.NewRecorder()
	u.ServeHTTP(w, r)
	resp := w.Result()
	resp.ContentLength = int64(w.Body.Len())
	var out bytes.Buffer
	_ = resp.Write(&out)
	return out.Bytes()
}

// leaveUnanswered carries out a grant late; its time counts from its arrival.
func (u *upstream) leaveUnanswered(body []byte) {
	arrived := time.Now()
	var c keyCall
	if json.Unmarshal(body, &c) != nil {
		return
	}
	u.log(event{Kind: "unanswered-grant", From: c.From, To: c.To, Fence: c.Fence, HoldS: c.HoldS})
	time.AfterFunc(lateBy, func() { u.grant(c, arrived, "late-grant") })
}
