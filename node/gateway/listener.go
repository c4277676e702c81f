package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// A listener that stops accepts connections until none has arrived for
	// acceptQuiet, for maxAcceptQuiet at most: load balancers may go on sending.
	acceptQuiet    = 100 * time.Millisecond
	maxAcceptQuiet = 500 * time.Millisecond
	// firstRequestWait is how long a stop waits for the first byte on a new connection.
	firstRequestWait = 2 * time.Second
	// answerReserve is the time at the end of a stop in which the requests that are still
	// in progress are answered.
	answerReserve = 100 * time.Millisecond
	// drainPollInterval is the interval at which a stop looks for connections to close.
	drainPollInterval = 20 * time.Millisecond
)

// defaultLimits apply if the configured limits are not known when the listener
// starts. HeaderTimeout also applies to readiness checks.
var defaultLimits = fleet.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Drain holds the times of a planned stop.
type Drain struct {
	// Notice is how long new connections are still accepted after the readiness
	// check begins to fail, so that the load balancer can remove the VM first.
	Notice time.Duration
	// Grace limits the duration of the whole stop, including Notice. A request whose time
	// ends later is not sent to a target any more.
	Grace time.Duration
}

// Listener serves callers and the load balancer's readiness checks over HTTP.
type Listener struct {
	gateway          *Gateway
	callerAddress    string
	readinessAddress string
	drain            func() Drain
	servers          []*http.Server
	callers          *drainListener
	callersServed    chan struct{} // closed when no connection is accepted any more

	mu    sync.Mutex
	conns map[net.Conn]callerState // open connections of callers
	limit connLimit
}

// callerState is what the HTTP server says of a connection.
type callerState struct {
	state http.ConnState
	since time.Time
}

// NewListener returns a listener on the given addresses for callers and for
// readiness checks. The function drain is called when the listener stops.
func NewListener(g *Gateway, callerAddress, readinessAddress string, drain func() Drain) *Listener {
	return &Listener{
		gateway: g, callerAddress: callerAddress, readinessAddress: readinessAddress, drain: drain,
		callersServed: make(chan struct{}), conns: map[net.Conn]callerState{}, limit: newConnLimit(g.maxConnections, g.stats.registry),
	}
}

// Name implements kernel.Module.
func (l *Listener) Name() string { return Name }

// Start implements kernel.Starter. It serves readiness checks before it waits
// for the configuration.
func (l *Listener) Start(ctx context.Context) error {
	readiness, err := net.Listen("tcp", l.readinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	go l.serve(readiness, &http.Server{Handler: http.HandlerFunc(l.handleReadiness), ReadHeaderTimeout: defaultLimits.HeaderTimeout})
	limits := l.awaitLimits(ctx)
	callers, err := net.Listen("tcp", l.callerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	l.callers = newDrainListener(callers.(*net.TCPListener))
	l.callers.admit = l.admit
	s := &http.Server{
		Handler: l.gateway, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes, ConnState: l.recordState,
		DisableGeneralOptionsHandler: true, // it answers "OPTIONS *" with a success that no target gave
	}
	go func() {
		defer close(l.callersServed)
		l.serve(l.callers, s)
	}()
	return nil
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

// serve accepts connections until the listener or the server is closed.
func (l *Listener) serve(from net.Listener, s *http.Server) {
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	if err := s.Serve(from); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.gateway.logger.Error("HTTP listener failed", "address", from.Addr().String(), "error", err)
	}
}

// recordState implements http.Server.ConnState for connections of callers.
func (l *Listener) recordState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.limit.open.Update(int64(len(l.conns))) }()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
		return
	case http.StateIdle:
		c.(*callerConn).received.Store(false)
	}
	l.conns[c] = callerState{state: state, since: time.Now()}
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
// checks, and then waits, within Drain.Grace, for the requests in progress. Those that
// are left at its end are answered with outcome unknown.
func (l *Listener) Stop(ctx context.Context) error {
	d := l.drain()
	l.gateway.beginStop(d.Grace - answerReserve)
	giveUp := time.AfterFunc(d.Grace-answerReserve, l.gateway.inProgress.endAll)
	defer giveUp.Stop()
	ctx, cancel := context.WithTimeout(ctx, d.Grace)
	defer cancel()
	defer l.close()
	if err := sleep(ctx, d.Notice); err != nil {
		return errors.Wrap(err, "wait for the load balancer to notice the stop")
	}
	l.callers.drain(acceptQuiet, maxAcceptQuiet)
	select {
	case <-l.callersServed:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "accept the last connections of callers")
	}
	for l.closeUnused() > 0 {
		if err := sleep(ctx, drainPollInterval); err != nil {
			return errors.Wrap(err, "finish the requests of callers")
		}
	}
	return nil
}

// closeUnused closes the connections of callers on which no request is in progress
// or arriving, and returns the number of the others.
func (l *Listener) closeUnused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := 0
	for c, s := range l.conns {
		mayExpectRequest := s.state == http.StateActive || s.state == http.StateNew && time.Since(s.since) < firstRequestWait
		if mayExpectRequest || !c.(*callerConn).isUnused() {
			left++
			continue
		}
		c.Close() // the server then forgets it
	}
	return left
}

// close ends all connections that are left.
func (l *Listener) close() {
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
