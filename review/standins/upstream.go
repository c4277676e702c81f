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
	case "grant", "late-grant", "refused-grant", "refused-late-grant", "unanswered-grant", "release":
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
	state    string
	out      *json.Encoder
	faults   *faults
}

func runUpstream(args []string) {
	u := &upstream{started: time.Now(), onKey: map[int]int{}, leases: make([]lease, keys), state: "ready", out: json.NewEncoder(os.Stdout), faults: &faults{}}
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
	go u.obey(os.Stdin)
	go func() {
		for {
			u.register()
			time.Sleep(heartbeat)
		}
	}()
	u.serve(l)
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

// register writes the upstream's entry to the store.
func (u *upstream) register() {
	u.mu.Lock()
	if u.state == silent {
		u.mu.Unlock()
		return
	}
	u.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": upstreamSlots, "state": u.state,
		"warmupLeftS": u.warmUpLeft().Seconds(), "sequence": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+u.store+"/put?"+url.Values{"topic": {"keyed.servers"}, "key": {u.id}}.Encode(), "application/json", bytes.NewReader(entry))
	if err == nil {
		resp.Body.Close()
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
	var c keyCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From < 0 || c.To < c.From || c.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/grant" {
		w.WriteHeader(u.grant(c, time.Now(), "grant"))
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := c.From; k <= c.To; k++ {
		u.leases[k].until = time.Time{}
	}
	u.logLocked(event{Kind: "release", From: c.From, To: c.To, Fence: c.Fence})
	for u.worksOn(c.From, c.To) {
		u.freed.Wait()
	}
	w.Header().Set("Handover", fmt.Sprintf("%x", c.Fence))
}

// keyCall is the body of a grant or a release.
type keyCall struct {
	From, To int
	Fence    int64
	HoldS    float64
}

// grant takes keys for a time that counts from the arrival of the call, and returns the
// status of the answer. kind is the kind of the event.
func (u *upstream) grant(c keyCall, arrived time.Time, kind string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := c.From; k <= c.To; k++ {
		if u.leases[k].highest > c.Fence {
			u.logLocked(event{Kind: "refused-" + kind, From: c.From, To: c.To, Fence: c.Fence})
			return http.StatusConflict
		}
	}
	until := arrived.Add(time.Duration(c.HoldS * float64(time.Second)))
	for k := c.From; k <= c.To; k++ {
		u.leases[k] = lease{c.Fence, until, c.Fence}
	}
	u.logLocked(event{Kind: kind, From: c.From, To: c.To, Fence: c.Fence, HoldS: time.Until(until).Seconds()})
	return http.StatusOK
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
