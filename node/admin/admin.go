// Package admin serves the HTTP interface for operators and monitoring:
// liveness, readiness, metrics, events, status and configuration changes.
package admin

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/replica"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Admin.
const Name = "operators.admin"

const (
	readHeaderTimeout = 10 * time.Second
	// leaseGracePeriod is how long a VM stays ready after its map lease expired. A
	// manager failover takes less, so it does not make all VMs unready at once.
	leaseGracePeriod = 3 * time.Second
)

// Config identifies the VM and holds the address, the bearer token and the TLS
// configuration of the listener. A nil TLS means plain text.
type Config struct {
	VM         string
	DataCentre string
	Listen     string
	Token      []byte
	TLS        *tls.Config
}

// Admin is the module that serves operators and monitoring.
type Admin struct {
	cfg      Config
	events   *timeline.Recorder
	logger   hclog.Logger
	registry metrics.Registry
	log      *logclient.Client
	replica  *replica.Replica
	maps     *mapstore.Store
	peers    *peer.Client

	leaving      atomic.Bool
	leaseValidAt atomic.Int64 // Unix milliseconds at which the map lease was last seen valid
	server       *http.Server
	addr         net.Addr
	cancel       context.CancelFunc
}

// New returns the module. It does not listen before Start.
func New(cfg Config, events *timeline.Recorder, log *logclient.Client, logger hclog.Logger, registry metrics.Registry) *Admin {
	return &Admin{cfg: cfg, events: events, log: log, logger: logger, registry: registry}
}

// Name implements kernel.Module.
func (a *Admin) Name() string { return Name }

// Provision looks up the other modules and registers the RPC methods.
func (a *Admin) Provision(k *kernel.Kernel) error {
	var server *peer.Server
	err := k.Resolve(
		kernel.Into(&server, peer.ServerName),
		kernel.Into(&a.replica, replica.Name),
		kernel.Into(&a.maps, mapstore.Name),
		kernel.Into(&a.peers, peer.ClientName),
	)
	if err != nil {
		return err
	}
	a.maps.Attach(a)
	return server.Register("Admin", &receiver{a})
}

// Start opens the listener and serves it in the background.
func (a *Admin) Start(context.Context) error {
	l, err := net.Listen("tcp", a.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	a.addr = l.Addr()
	if a.cfg.TLS != nil {
		l = tls.NewListener(l, a.cfg.TLS)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.watchLease(ctx)
	a.server = &http.Server{
		Handler: a.handler(), ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: a.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	go func() {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.logger.Error("listener for operators failed", "error", err)
		}
	}()
	return nil
}

// Addr returns the address of the listener for operators. It is nil before Start.
func (a *Admin) Addr() net.Addr { return a.addr }

// Stop closes the listener and waits for its requests until ctx ends.
func (a *Admin) Stop(ctx context.Context) error {
	a.cancel()
	return errors.Wrap(a.server.Shutdown(ctx), "close listener for operators")
}

// watchLease updates leaseValidAt every 100 ms while the map lease is valid, until
// ctx ends.
func (a *Admin) watchLease(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if a.maps.LeaseValid() {
			a.leaseValidAt.Store(time.Now().UnixMilli())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave prepares a graceful shutdown: the VM reports not ready, so that the load
// balancer sends it no new requests, and its next report asks the manager to
// move its dispatch groups to other VMs. The VM continues to serve requests.
func (a *Admin) Leave() {
	a.leaving.Store(true)
	a.events.Record(timeline.Event{Kind: "vm.leaving"})
}

// Leaving reports whether Leave was called.
func (a *Admin) Leaving() bool { return a.leaving.Load() }

// AddReport implements mapstore.Reporter.
func (a *Admin) AddReport(r *mapstore.Report) { r.Leaving = a.leaving.Load() }

// Ready returns nil if the load balancer may send requests to this VM, otherwise
// an error with the reason.
func (a *Admin) Ready() error {
	var hasDocument, outOfService bool
	a.replica.View(func(st *control.State) {
		_, version := st.Document()
		hasDocument = version > 0
		outOfService = st.VMOutOfService(a.cfg.VM, a.cfg.DataCentre)
	})
	switch {
	case a.leaving.Load():
		return errors.New("the VM is stopping")
	case outOfService:
		return errors.New("the VM or its data centre is out of service")
	case !hasDocument:
		return errors.New("no configuration has been read from the log")
	case a.maps.Current() == nil:
		return errors.New("no dispatch map has been received")
	case time.Since(time.UnixMilli(a.leaseValidAt.Load())) > leaseGracePeriod:
		return errors.New("no manager has renewed the map lease")
	}
	return nil
}

func (a *Admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live\n") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := a.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(a.registry, w)
	})
	mux.Handle("GET /events", a.authorized(a.handleEvents))
	mux.Handle("GET /v1/status", a.authorized(a.handleStatus))
	mux.Handle("GET /v1/config", a.authorized(a.handleConfig))
	mux.Handle("GET /v1/owner", a.authorized(a.handleOwner))
	mux.Handle("POST /v1/apply", a.authorized(a.handleApply))
	mux.Handle("POST /v1/drain", a.authorized(a.handleDrain))
	return mux
}

// authorized wraps a handler so that requests without the operators' bearer
// token are answered with status 401.
func (a *Admin) authorized(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), a.cfg.Token) != 1 {
			writeProblem(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next(w, r)
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error()+"\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Problem is the JSON body of the answer to an operator request that failed, except
// where a ChangeReply says why.
type Problem struct {
	Error string `json:"error"`
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, Problem{Error: message})
}
