package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/pkg/errors"
)

// Name is the module name of Listener.
const Name = "gateway.listener"

const (
	// maxConfigWait is how long Start waits for the limits that the operators
	// configured, before it uses defaultLimits.
	maxConfigWait      = 1500 * time.Millisecond
	configPollInterval = 20 * time.Millisecond
)

// defaultLimits apply if the configured limits are not known when the listener
// starts. HeaderTimeout also applies to readiness checks.
var defaultLimits = fleet.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Drain holds the times of a planned stop.
type Drain struct {
	// Notice is how long new connections are still accepted after the readiness
	// check begins to fail, so that the load balancer can remove the VM first.
	Notice time.Duration
	// Grace limits the duration of the whole stop, including Notice.
	Grace time.Duration
}

// Listener serves callers and the load balancer's readiness checks over HTTP.
type Listener struct {
	gateway          *Gateway
	callerAddress    string
	readinessAddress string
	drain            func() Drain
	servers          []*http.Server
	callerServer     *http.Server
}

// NewListener returns a listener on the given addresses for callers and for
// readiness checks. The function drain is called when the listener stops.
func NewListener(g *Gateway, callerAddress, readinessAddress string, drain func() Drain) *Listener {
	return &Listener{gateway: g, callerAddress: callerAddress, readinessAddress: readinessAddress, drain: drain}
}

// Name implements kernel.Module.
func (l *Listener) Name() string { return Name }

// Start implements kernel.Starter. It serves readiness checks before it waits
// for the configuration.
func (l *Listener) Start(ctx context.Context) error {
	if err := l.serve(l.readinessAddress, &http.Server{Handler: http.HandlerFunc(l.handleReadiness), ReadHeaderTimeout: defaultLimits.HeaderTimeout}); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	limits := l.awaitLimits(ctx)
	l.callerServer = &http.Server{
		Handler: l.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes,
	}
	return errors.Wrap(l.serve(l.callerAddress, l.callerServer), "listen for callers")
}

// awaitLimits returns the configured limits, or defaultLimits if they are still
// unknown after maxConfigWait or when ctx ends.
func (l *Listener) awaitLimits(ctx context.Context) fleet.Limits {
	for giveUpAt := time.Now().Add(maxConfigWait); time.Now().Before(giveUpAt) && ctx.Err() == nil; time.Sleep(configPollInterval) {
		if cfg, _ := l.gateway.view.Config(); cfg != nil {
			return cfg.Limits
		}
	}
	return defaultLimits
}

func (l *Listener) serve(address string, s *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.gateway.logger.Error("HTTP listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// handleReadiness answers 503 while the gateway is stopping or its view is not
// ready, and otherwise 200.
func (l *Listener) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if l.gateway.closing.Load() || !l.gateway.view.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop makes the readiness checks fail, accepts new connections for Drain.Notice
// more, because the load balancer stops sending requests only after several failed
// checks, and then waits, within Drain.Grace, for the requests in progress.
func (l *Listener) Stop(ctx context.Context) error {
	l.gateway.closing.Store(true)
	d := l.drain()
	time.Sleep(d.Notice)
	ctx, cancel := context.WithTimeout(ctx, d.Grace-d.Notice)
	defer cancel()
	err := l.callerServer.Shutdown(ctx)
	for _, s := range l.servers {
		s.Close()
	}
	return errors.Wrap(err, "finish the requests of callers")
}
