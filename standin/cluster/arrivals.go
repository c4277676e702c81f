package cluster

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
)

// arrivals records when requests were written to the sockets of the targets.
type arrivals struct {
	mu sync.Mutex
	at map[history.Attempt]int64 // microseconds since 1970-01-01 UTC
}

var requestIDHeader = []byte("\r\n" + target.HeaderRequestID + ": ")

// record stores the current time for the first request whose ID header is in data,
// which a proxy is about to write to the target. A request whose ID header is split
// over two writes gets no time, and SplitDelayedByPause does not count it as delayed.
func (a *arrivals) record(target string, data []byte) {
	_, rest, found := bytes.Cut(data, requestIDHeader)
	if !found {
		return
	}
	id, _, found := bytes.Cut(rest, []byte("\r\n"))
	if !found {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[history.Attempt{Target: target, RequestID: string(id)}] = time.Now().UnixMicro()
}

// Arrivals returns the time at which each request last reached its target, in
// microseconds since 1970-01-01 UTC. It is empty without Config.Proxied.
func (c *Cluster) Arrivals() map[history.Attempt]int64 {
	c.arrivals.mu.Lock()
	defer c.arrivals.mu.Unlock()
	return maps.Clone(c.arrivals.at)
}

// Grants returns the shards for which a target holds a lease now, with the
// fencing token of each.
func (c *Cluster) Grants(ctx context.Context, t *Target) (target.GrantReply, error) {
	var reply target.GrantReply
	_, err := call(ctx, http.MethodGet, "http://"+t.DirectAddress+"/mangogate/grants", "", nil, &reply)
	return reply, errors.Wrapf(err, "get the grants of %s", t.Name)
}
