// Package baseline holds simple entries that measurements put beside the
// router. They send to the same targets and know nothing of each other.
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

// Policy is how an entry chooses targets.
type Policy int

// The policies.
const (
	StaticHash Policy = iota // of the key over all targets, without control
	RoundRobin               // without limits
	Adaptive                 // a limit of its own for each target
)

// Config holds the settings of an Entry.
type Config struct {
	Policy  Policy
	Targets []string // addresses
	Local   net.IP   // source address of connections
	// ByKey keeps the hash with Adaptive, for services that own keys.
	ByKey bool
	// Connections is the most open connections to a target.
	Connections int
	// MaxLimit bounds the adaptive limit of a target.
	MaxLimit int
}

// Entry is an http.Handler that forwards requests.
type Entry struct {
	cfg    Config
	client *http.Transport
	turn   atomic.Uint64
	limits *limits
}

const (
	defaultDeadline = 2 * time.Second
	dialTimeout     = 500 * time.Millisecond
)

// New returns an entry.
func New(cfg Config) *Entry {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: cfg.Local}}
	return &Entry{cfg: cfg, limits: newLimits(len(cfg.Targets), cfg.MaxLimit), client: &http.Transport{
		DialContext: d.DialContext, MaxConnsPerHost: cfg.Connections, MaxIdleConnsPerHost: cfg.Connections, DisableCompression: true,
	}}
}

// Close closes the idle connections.
func (e *Entry) Close() { e.client.CloseIdleConnections() }

// ServeHTTP forwards one request, once.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadline := defaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(target.HeaderDeadline)); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	i, ok := e.choose(ctx, r)
	if !ok {
		w.Header().Set(target.HeaderNotRun, target.NotRunDeadline)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	start := time.Now()
	resp, answer, err := e.send(ctx, r, body, e.cfg.Targets[i])
	if e.cfg.Policy == Adaptive {
		e.limits.finish(i, time.Since(start), err == nil && resp.StatusCode == http.StatusOK)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer) // the caller is gone when this fails
}

func (e *Entry) choose(ctx context.Context, r *http.Request) (int, bool) {
	n := len(e.cfg.Targets)
	switch {
	case e.cfg.Policy == RoundRobin:
		return int(e.turn.Add(1) % uint64(n)), true
	case e.cfg.Policy == StaticHash:
		return Hash(keyOf(r), n), true
	case e.cfg.ByKey:
		i := Hash(keyOf(r), n)
		return i, e.limits.wait(ctx, i)
	}
	return e.limits.waitAny(ctx)
}

func keyOf(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

// Hash is the static placement of a key.
func Hash(key string, n int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	x := h.Sum64()
	// FNV alone leaves similar keys in neighbouring places.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int((x ^ x>>31) % uint64(n))
}

func (e *Entry) send(ctx context.Context, r *http.Request, body []byte, address string) (*http.Response, []byte, error) {
	// The plain reader keeps net/http from sending a write twice.
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
	resp, err := e.client.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}
