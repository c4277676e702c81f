// Package callers serves HTTP to callers, the clients of the router. It matches
// requests to rules, applies limits, and turns results into HTTP answers.
package callers

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/dispatch"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/replica"
	"github.com/mangogate/mangogate/node/resolver"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Name is the module name of Listener.
const Name = "entry.callers"

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Listener accepts the requests of callers.
type Listener struct {
	vm       string
	boot     string
	cfg      settings.Callers
	tls      *tls.Config
	logger   hclog.Logger
	resolver *resolver.Resolver
	replica  *replica.Replica

	inProgress chan struct{} // semaphore with one entry for each request in progress
	closing    atomic.Bool
	nextID     atomic.Uint64
	server     *http.Server
	addr       net.Addr
	outcomes   map[dispatch.Outcome]metrics.Counter
	refused    metrics.Counter
	latency    metrics.Timer
}

// New returns the listener of a VM. If tlsConfig is nil, connections are not
// encrypted.
func New(vm, boot string, cfg settings.Callers, tlsConfig *tls.Config, logger hclog.Logger, registry metrics.Registry) *Listener {
	return &Listener{
		vm: vm, boot: boot, cfg: cfg, tls: tlsConfig, logger: logger, inProgress: make(chan struct{}, cfg.MaxConcurrent),
		outcomes: map[dispatch.Outcome]metrics.Counter{
			dispatch.OutcomeRun:     metrics.GetOrRegisterCounter("callers.run", registry),
			dispatch.OutcomeNotRun:  metrics.GetOrRegisterCounter("callers.not_run", registry),
			dispatch.OutcomeUnknown: metrics.GetOrRegisterCounter("callers.unknown", registry),
		},
		refused: metrics.GetOrRegisterCounter("callers.refused_at_entry", registry),
		latency: metrics.GetOrRegisterTimer("callers.latency", registry),
	}
}

// Name implements kernel.Module.
func (l *Listener) Name() string { return Name }

// Provision resolves the modules that the listener depends on.
func (l *Listener) Provision(k *kernel.Kernel) error {
	return k.Resolve(kernel.Into(&l.resolver, resolver.Name), kernel.Into(&l.replica, replica.Name))
}

// Start listens on the configured address and serves requests in the background.
func (l *Listener) Start(context.Context) error {
	listener, err := net.Listen("tcp", l.cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	l.addr = listener.Addr()
	if l.tls != nil {
		listener = tls.NewListener(listener, l.tls)
	}
	l.server = &http.Server{
		Handler: l, MaxHeaderBytes: l.cfg.MaxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: l.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	go func() {
		if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.logger.Error("listener for callers failed", "error", err)
		}
	}()
	return nil
}

// CloseAfterAnswer makes the listener close each connection after its next
// answer, so that callers reconnect to other VMs before this one stops.
func (l *Listener) CloseAfterAnswer() { l.closing.Store(true) }

// Addr returns the address of the listener for callers. It is nil before Start.
func (l *Listener) Addr() net.Addr { return l.addr }

// Stop closes the listener and waits for its requests until ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	return errors.Wrap(l.server.Shutdown(ctx), "finish requests of callers")
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if l.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	select {
	case l.inProgress <- struct{}{}:
		defer func() { <-l.inProgress }()
	default:
		l.refuse(w, &refusal{http.StatusTooManyRequests, dispatch.ReasonTooMany,
			fmt.Sprintf("This VM serves its limit of %d requests at once.", l.cfg.MaxConcurrent)})
		return
	}
	if !l.configured() {
		l.refuse(w, &refusal{http.StatusServiceUnavailable, dispatch.ReasonUnavailable,
			"This VM has not read its configuration yet."})
		return
	}
	service, req, refused := l.prepare(w, r)
	if refused != nil {
		l.refuse(w, refused)
		return
	}
	result := l.resolver.Resolve(r.Context(), service, req)
	l.outcomes[result.Outcome].Inc(1)
	l.latency.UpdateSince(start)
	writeResult(w, result)
}

func (l *Listener) refuse(w http.ResponseWriter, r *refusal) {
	l.refused.Inc(1)
	writeError(w, r.status, dispatch.NotRun(r.reason, r.message))
}

// configured reports whether this VM has read a configuration.
func (l *Listener) configured() (ok bool) {
	l.replica.View(func(st *control.State) {
		_, version := st.Document()
		ok = version > 0
	})
	return ok
}

// match returns the rule for a path and the rule's service. ok is false if no rule
// matches or the service does not exist.
func (l *Listener) match(path string) (rule inventory.Rule, service inventory.Service, ok bool) {
	l.replica.View(func(st *control.State) {
		doc, _ := st.Document()
		if rule, ok = doc.Match(path); ok {
			service, ok = doc.Service(rule.Service)
		}
	})
	return rule, service, ok
}
