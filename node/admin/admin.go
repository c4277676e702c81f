// Package admin serves operators and monitoring: readiness, metrics, events,
// status, and changes of the configuration.
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
	// isolatedAfter is how long a VM without a map lease stays ready. A change
	// of the manager takes less.
	isolatedAfter = 3 * time.Second
)

// Config holds the listener and its secrets.
type Config struct {
	VM         string
	DataCentre string
	Listen     string
	Token      []byte
	TLS        *tls.Config
}

// Admin is the module.
type Admin struct {
	cfg      Config
	events   *timeline.Recorder
	logger   hclog.Logger
	registry metrics.Registry
	log      *logclient.Client
	replica  *replica.Replica
	maps     *mapstore.Store
	peers    *peer.Client

	leaving   atomic.Bool
	permitted atomic.Int64 // Unix milliseconds of the last valid map lease
	server    *http.Server
	addr      net.Addr
	cancel    context.CancelFunc
}

// New returns the module.
func New(cfg Config, events *timeline.Recorder, log *logclient.Client, logger hclog.Logger, registry metrics.Registry) *Admin {
	return &Admin{cfg: cfg, events: events, log: log, logger: logger, registry: registry}
}

// Name implements kernel.Module.
func (a *Admin) Name() string { return Name }

// Provision looks up the other modules and registers the calls between VMs.
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

// Start listens and serves.
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
			a.logger.Error("operator listener ended", "error", err)
		}
	}()
	return nil
}

// Addr returns the address that operators reach.
func (a *Admin) Addr() net.Addr { return a.addr }

// Stop closes the listener.
func (a *Admin) Stop(ctx context.Context) error {
	a.cancel()
	return errors.Wrap(a.server.Shutdown(ctx), "close operator listener")
}

func (a *Admin) watchLease(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		if a.maps.Permitted() {
			a.permitted.Store(time.Now().UnixMilli())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave takes the VM out of the load balancer and asks the manager to hand
// over what this VM dispatches.
func (a *Admin) Leave() {
	a.leaving.Store(true)
	a.events.Record(timeline.Event{Kind: "vm.leaving"})
}

// Leaving tells whether Leave was called.
func (a *Admin) Leaving() bool { return a.leaving.Load() }

// AddReport implements mapstore.Reporter.
func (a *Admin) AddReport(r *mapstore.Report) { r.Leaving = a.leaving.Load() }

// Ready returns nil when callers should be sent here, or the reason why not.
func (a *Admin) Ready() error {
	var hasDocument, out bool
	a.replica.View(func(st *control.State) {
		_, version := st.Document()
		hasDocument = version > 0
		out = st.VMOut(a.cfg.VM, a.cfg.DataCentre)
	})
	switch {
	case a.leaving.Load():
		return errors.New("the VM is stopping")
	case out:
		return errors.New("the VM or its data centre is out of service")
	case !hasDocument:
		return errors.New("no configuration has been read from the log")
	case a.maps.Current() == nil:
		return errors.New("no dispatch map has been received")
	case time.Since(time.UnixMilli(a.permitted.Load())) > isolatedAfter:
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

// authorized refuses requests without the token.
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

// Problem is the body of a refused operator call.
type Problem struct {
	Error string `json:"error"`
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, Problem{Error: message})
}
