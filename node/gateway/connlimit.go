package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// unusedBeforeClose is how long a connection has been without a request before it is
	// closed to make room for another one. Callers send a request on a new connection at once.
	unusedBeforeClose = time.Second
	connLogInterval   = 10 * time.Second
)

// connLimit limits the open connections of callers.
type connLimit struct {
	max                   int // 0 means no limit
	open                  metrics.Gauge
	closedUnused, refused metrics.Counter
	lastLogged            time.Time
}

func newConnLimit(max int, r metrics.Registry) connLimit {
	metrics.GetOrRegisterGauge("callers.connections_limit", r).Update(int64(max))
	return connLimit{
		max: max, open: metrics.GetOrRegisterGauge("callers.connections", r),
		closedUnused: metrics.GetOrRegisterCounter("callers.connections_closed_unused", r),
		refused:      metrics.GetOrRegisterCounter("callers.connections_refused", r),
	}
}

// admit reports whether one more connection of a caller is served. Beyond the limit it
// first closes the connection that has been without a request for longest.
func (l *Listener) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.limit
	if c.max == 0 || len(l.conns) < c.max {
		return true
	}
	unused := l.longestUnused()
	if unused != nil {
		unused.Close()
		delete(l.conns, unused) // its descriptor is free before the server forgets it
		c.closedUnused.Inc(1)
	} else {
		c.refused.Inc(1)
	}
	if now := time.Now(); now.Sub(c.lastLogged) >= connLogInterval {
		c.lastLogged = now
		l.gateway.logger.Warn("all connections for callers are in use", "limit", c.max,
			"refused_so_far", c.refused.Count(), "closed_unused_so_far", c.closedUnused.Count())
	}
	return unused != nil
}

// longestUnused returns the connection that has been without a request for longest, and
// for unusedBeforeClose at least, or nil. mu must be held.
func (l *Listener) longestUnused() net.Conn {
	var found net.Conn
	since := time.Now().Add(-unusedBeforeClose)
	for conn, s := range l.conns {
		if s.state != http.StateActive && s.since.Before(since) && conn.(*callerConn).isUnused() {
			found, since = conn, s.since
		}
	}
	return found
}
