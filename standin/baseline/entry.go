// Package baseline holds what measurements compare the router with: simple forwarders
// to the same targets, which do not coordinate with each other, and an ideal scheduler.
package baseline

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/standin/target"
)

// Policy is the way in which an entry chooses the target of a request.
type Policy int

// The policies of an Entry.
const (
	StaticHash Policy = iota // hash of the key over all targets, without health checks or limits
	RoundRobin               // all targets in turn, without limits
	Adaptive                 // an adaptive concurrency limit for each target
)

// Config holds the settings of an Entry.
type Config struct {
	Policy  Policy
	Targets []string // addresses
	Local   net.IP   // source address of connections
	// ByKey makes Adaptive choose the target by the hash of the key, for services
	// whose targets own keys.
	ByKey       bool
	Connections int // maximum number of open connections to a target
	MaxLimit    int // upper bound of the adaptive limit of a target, in requests in flight
}

// Entry is an http.Handler that forwards each request to a target.
type Entry struct {
	cfg       Config
	transport *http.Transport
	next      atomic.Uint64
	limits    *limits
}

const (
	defaultDeadline = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
)

// New returns an Entry, which must be closed after use.
func New(cfg Config) *Entry {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: cfg.Local}}
	return &Entry{cfg: cfg, limits: newLimits(len(cfg.Targets), cfg.MaxLimit), transport: &http.Transport{
		DialContext: d.DialContext, MaxConnsPerHost: cfg.Connections, MaxIdleConnsPerHost: cfg.Connections, DisableCompression: true,
	}}
}

// Close closes the idle connections.
func (e *Entry) Close() { e.transport.CloseIdleConnections() }

// ServeHTTP forwards a request to one target, without retries.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadline := defaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(target.HeaderDeadline)); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has closed the connection
	}
	i, ok := e.chooseTarget(ctx, r)
	if !ok {
		w.Header().Set(target.HeaderNotRun, target.NotRunDeadline)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	start := time.Now()
	resp, respBody, err := e.send(ctx, r, body, e.cfg.Targets[i])
	if e.cfg.Policy == Adaptive {
		e.limits.release(i, time.Since(start), err == nil && resp.StatusCode == http.StatusOK)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(respBody) // fails only if the caller has closed the connection
}

// chooseTarget returns the index of a target. With Adaptive it acquires a slot of
// the target, and returns false if ctx ends before a slot is free.
func (e *Entry) chooseTarget(ctx context.Context, r *http.Request) (int, bool) {
	n := len(e.cfg.Targets)
	switch {
	case e.cfg.Policy == RoundRobin:
		return int(e.next.Add(1) % uint64(n)), true
	case e.cfg.Policy == StaticHash:
		return Hash(keyOf(r), n), true
	case e.cfg.ByKey:
		i := Hash(keyOf(r), n)
		return i, e.limits.acquire(ctx, i)
	}
	return e.limits.acquireAny(ctx)
}

func keyOf(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

// Hash maps a key to an index from 0 to n-1.
func Hash(key string, n int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	x := h.Sum64()
	// FNV alone maps similar keys to neighbouring values, so its result is mixed.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int((x ^ x>>31) % uint64(n))
}

func (e *Entry) send(ctx context.Context, r *http.Request, body []byte, address string) (*http.Response, []byte, error) {
	// net/http retries a request whose body it can rewind, which might execute a
	// write twice. Hiding the type of the reader prevents this.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), reader)
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = nil
	}
	req.Header = r.Header.Clone()
	resp, err := e.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp, respBody, err
}
