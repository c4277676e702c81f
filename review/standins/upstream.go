package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	keys           = 1 << 16
	upstreamSlots  = 3
	upstreamQueue  = 12
	heartbeat      = 870 * time.Millisecond
	upstreamWarmUp = 3 * time.Second
)

// event is one line of an upstream's standard output.
type event struct {
	At    int64   `json:"at"` // Unix nanoseconds
	Kind  string  `json:"kind"`
	ID    string  `json:"id"`
	Born  int64   `json:"born"`
	From  int     `json:"from,omitempty"`
	To    int     `json:"to,omitempty"`
	Fence int64   `json:"fence,omitempty"`
	HoldS float64 `json:"holdS,omitempty"`
	// Request is the id of a request, Detail what was answered.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// String returns the line of the record for an event.
func (e event) String() string {
	switch e.Kind {
	case "run":
		return fmt.Sprintf("%s runs %s, key %d, %s", e.ID, e.Request, e.From, e.Detail)
	case "grant", "refused-grant", "release":
		return fmt.Sprintf("%s born %d: %s of %d to %d, generation %d, %g s", e.ID, e.Born, e.Kind, e.From, e.To, e.Fence, e.HoldS)
	}
	return fmt.Sprintf("%s born %d: %s", e.ID, e.Born, e.Kind)
}

// lease is a grant of one key.
type lease struct {
	fence   int64
	until   time.Time
	highest int64 // generation number
}

// upstream is a sound upstream by the pages: it runs a request only while it holds its key,
// takes grants and releases, tells its load and registers itself in the store.
type upstream struct {
	id, service, address, zone, store string
	born                              int64
	keyed, cold                       bool
	work                              time.Duration
	started                           time.Time

	mu       sync.Mutex
	leases   []lease
	running  int
	waiting  int
	freed    *sync.Cond
	onKey    map[int]int
	sequence int
	out      *json.Encoder
}

func runUpstream(args []string) {
	u := &upstream{started: time.Now(), onKey: map[int]int{}, leases: make([]lease, keys), out: json.NewEncoder(os.Stdout)}
	u.born = u.started.UnixMilli()
	u.freed = sync.NewCond(&u.mu)
	fs := flag.NewFlagSet("upstream", flag.ExitOnError)
	fs.StringVar(&u.id, "id", "", "")
	fs.StringVar(&u.service, "service", "", "")
	fs.StringVar(&u.address, "address", "", "")
	fs.StringVar(&u.zone, "zone", "", "")
	fs.StringVar(&u.store, "store", "", "")
	fs.BoolVar(&u.keyed, "keyed", false, "")
	fs.BoolVar(&u.cold, "cold", false, "")
	fs.DurationVar(&u.work, "work", 60*time.Millisecond, "")
	_ = fs.Parse(args)
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	u.log(event{Kind: "up"})
	go u.heartbeats()
	_ = http.Serve(l, u)
}

func (u *upstream) log(e event) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.logLocked(e)
}

func (u *upstream) logLocked(e event) {
	e.At, e.ID, e.Born = time.Now().UnixNano(), u.id, u.born
	_ = u.out.Encode(e)
}

// warmUpLeft is how long the upstream stays cold.
func (u *upstream) warmUpLeft() time.Duration {
	if !u.cold {
		return 0
	}
	return max(0, upstreamWarmUp-time.Since(u.started))
}

func (u *upstream) heartbeats() {
	client := http.Client{Timeout: time.Second}
	for {
		u.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": upstreamSlots, "state": "ready",
			"warmupLeftS": u.warmUpLeft().Seconds(), "sequence": u.sequence, "born": u.born,
		})
		resp, err := client.Post("http://"+u.store+"/put?"+url.Values{"topic": {"keyed.servers"}, "key": {u.id}}.Encode(), "application/json", bytes.NewReader(entry))
		if err == nil {
			resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Target-Instance"); want != "" && want != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		u.serveKeys(w, r)
	case "/health":
		w.Header().Set("Instance-Id", u.id)
	default:
		u.run(w, r)
	}
}

func (u *upstream) serveKeys(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c struct {
		From, To int
		Fence    int64
		HoldS    float64
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From < 0 || c.To < c.From || c.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.URL.Path == "/release" {
		for k := c.From; k <= c.To; k++ {
			u.leases[k].until = time.Time{}
		}
		u.logLocked(event{Kind: "release", From: c.From, To: c.To, Fence: c.Fence})
		for u.worksOn(c.From, c.To) {
			u.freed.Wait()
		}
		w.Header().Set("Handover", fmt.Sprintf("%x", c.Fence))
		return
	}
	for k := c.From; k <= c.To; k++ {
		if u.leases[k].highest > c.Fence {
			u.logLocked(event{Kind: "refused-grant", From: c.From, To: c.To, Fence: c.Fence})
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := c.From; k <= c.To; k++ {
		u.leases[k] = lease{c.Fence, arrived.Add(time.Duration(c.HoldS * float64(time.Second))), c.Fence}
	}
	u.logLocked(event{Kind: "grant", From: c.From, To: c.To, Fence: c.Fence, HoldS: c.HoldS})
}

func (u *upstream) worksOn(from, to int) bool {
	for k, n := range u.onKey {
		if n > 0 && from <= k && k <= to {
			return true
		}
	}
	return false
}

func (u *upstream) holds(key int) bool { return !u.keyed || time.Now().Before(u.leases[key].until) }

func (u *upstream) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	u.mu.Lock()
	defer u.mu.Unlock()
	refuse := 0
	switch {
	case !u.holds(key):
		refuse = http.StatusMisdirectedRequest
	case u.waiting >= upstreamQueue:
		refuse = http.StatusServiceUnavailable
	}
	if refuse != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refuse)
		return
	}
	u.waiting++
	for u.running >= upstreamSlots {
		u.freed.Wait()
	}
	u.waiting--
	u.running++
	u.onKey[key]++
	u.logLocked(event{Kind: "run", Request: id, From: key, Detail: r.Method + " " + r.RequestURI + " body " + strconv.Itoa(len(body))})
	u.mu.Unlock()
	time.Sleep(u.work)
	u.mu.Lock()
	u.running--
	u.onKey[key]--
	u.freed.Broadcast()
	w.Header().Set("Upstream-Load", fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, upstreamSlots))
	w.Header().Set("Response-Signature", "s."+id)
	if !u.holds(key) { // the work outlasted its lease
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s ran at %s", id, u.id)
}
