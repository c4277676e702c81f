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
	// configPatience is how long the start waits for the operators' limits.
	configPatience = 1500 * time.Millisecond
	configPoll     = 20 * time.Millisecond
)

// defaultLimits hold until the operators' limits are known.
var defaultLimits = fleet.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Drain says how a planned stop goes.
type Drain struct {
	// Notice is how long new connections are still accepted, so that the load
	// balancer can leave the VM out.
	Notice time.Duration
	// Grace is how long the whole stop may take.
	Grace time.Duration
}

// Listener serves callers and the load balancer's readiness checks.
type Listener struct {
	gateway   *Gateway
	address   string
	readiness string
	drain     func() Drain
	servers   []*http.Server
	front     *http.Server
}

// NewListener returns a listener for the callers' and the readiness address.
func NewListener(g *Gateway, address, readiness string, drain func() Drain) *Listener {
	return &Listener{gateway: g, address: address, readiness: readiness, drain: drain}
}

// Name implements kernel.Module.
func (l *Listener) Name() string { return Name }

// Start implements kernel.Starter.
func (l *Listener) Start(ctx context.Context) error {
	if err := l.serve(l.readiness, &http.Server{Handler: http.HandlerFunc(l.ready), ReadHeaderTimeout: defaultLimits.HeaderTimeout}); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	limits := l.awaitLimits(ctx)
	l.front = &http.Server{
		Handler: l.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes,
	}
	return errors.Wrap(l.serve(l.address, l.front), "listen for callers")
}

func (l *Listener) awaitLimits(ctx context.Context) fleet.Limits {
	for end := time.Now().Add(configPatience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(configPoll) {
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
			l.gateway.logger.Error("listener ended", "address", address, "error", err)
		}
	}()
	return nil
}

func (l *Listener) ready(w http.ResponseWriter, _ *http.Request) {
	if l.gateway.closing.Load() || !l.gateway.view.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop answers what has come and closes. New connections are accepted for a
// while: the load balancer notices the stop after some checks.
func (l *Listener) Stop(ctx context.Context) error {
	l.gateway.closing.Store(true)
	d := l.drain()
	time.Sleep(d.Notice)
	ctx, cancel := context.WithTimeout(ctx, d.Grace-d.Notice)
	defer cancel()
	err := l.front.Shutdown(ctx)
	for _, s := range l.servers {
		s.Close()
	}
	return errors.Wrap(err, "finish the requests of callers")
}
