package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of an upstream of a service without keys. It runs up to slots
// requests at a time for work each, rejects the others, and echoes ids.
type upstream struct {
	id, service, zone string
	slots             int
	work              time.Duration
	size              int // bytes of an answer's body
	store             *store
	rec               *recorder
	listener          net.Listener
	server            *http.Server
	born              int64

	interval time.Duration // between two entries
	keyed    *holds        // nil for a service without keys

	mu       sync.Mutex
	running  int
	state    string
	leaving  bool // says so in all its answers
	silent   bool // writes no entry any more
	sequence int
	beatAt   time.Time
	// runs holds, by request id, when the run began and whether it has ended.
	runs map[string]*run
}

type run struct {
	begun time.Time
	from  string // address of the caller
	ended bool
}

// startUpstream starts an upstream of a service without keys that writes an entry every half
// second.
func startUpstream(s *store, rec *recorder, id, service, zone string, slots int, work time.Duration, size int) (*upstream, error) {
	u := &upstream{id: id, service: service, zone: zone, slots: slots, work: work, size: size, store: s, rec: rec, interval: 500 * time.Millisecond}
	return u, u.start("127.0.0.1:0")
}

// start starts an upstream at an address.
func (u *upstream) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.listener, u.born, u.state, u.runs = l, time.Now().UnixMilli(), "ready", map[string]*run{}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	u.beat()
	go func() {
		for range time.Tick(u.interval) {
			u.beat()
		}
	}()
	return nil
}

// beat writes the upstream's entry.
func (u *upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.silent {
		return
	}
	u.beatAt = time.Now()
	u.store.put("keyed.servers", u.id, u.nextEntry())
}

// nextEntry returns the next entry. It is called with mu held.
func (u *upstream) nextEntry() map[string]any {
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": u.state, "warmupLeftS": 0, "sequence": u.sequence, "born": u.born,
	}
}

// beatUnanswered writes the upstream's entry by a call that the store leaves without an answer
// and carries out late.
func (u *upstream) beatUnanswered(late time.Duration) {
	u.mu.Lock()
	entry := u.nextEntry()
	u.mu.Unlock()
	time.AfterFunc(late, func() {
		u.store.put("keyed.servers", u.id, entry)
		u.rec.logf("the store carries out a write of %s that it left without an answer %.1f s ago: address %v, born %v", u.id, late.Seconds(), entry["address"], entry["born"])
	})
}

// lastBeat returns when the upstream last tried to write its entry.
func (u *upstream) lastBeat() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.beatAt
}

// leave reports draining to the store; from when it has accepted that on, all answers say it too.
func (u *upstream) leave() {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.beat()
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
}

// exit ends the upstream as the end of its process would: its entry goes, and what it runs
// is not answered.
func (u *upstream) exit() {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
	u.server.Close()
	u.store.put("keyed.servers", u.id, nil)
}

// crash ends the upstream without a word: its entry stays until the store drops it.
func (u *upstream) crash() {
	u.mu.Lock()
	u.silent = true
	u.mu.Unlock()
	u.server.Close()
	if u.keyed != nil {
		u.keyed.endAll()
	}
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/grant" || r.URL.Path == "/release" {
		u.serveKeyCall(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("Attempt-Id", id)
	u.mu.Lock()
	if u.leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	refuse := 0
	switch {
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != u.id:
		refuse = http.StatusMisdirectedRequest
	case id == "":
		refuse = http.StatusBadRequest
	case u.keyed != nil && !u.keyed.holds(keyOf(r)):
		refuse = http.StatusMisdirectedRequest
	case u.running >= u.slots:
		refuse = http.StatusServiceUnavailable
	}
	if refuse != 0 {
		u.mu.Unlock()
		h.Set("Not-Executed", "1")
		h.Set("Instance-Id", u.id)
		w.WriteHeader(refuse)
		return
	}
	u.running++
	one := &run{begun: time.Now(), from: r.RemoteAddr}
	u.runs[id] = one
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	one.ended = true
	load := fmt.Sprintf("%d,0,%d,100", u.running, u.slots)
	u.mu.Unlock()
	h.Set("Upstream-Load", load)
	h.Set("Response-Signature", "sig-"+id)
	body := bodyOf(id, u.size)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	body := make([]byte, size)
	for n := copy(body, id+" "); n > 0 && n < size; n *= 2 {
		copy(body[n:], body[:n])
	}
	return body
}
