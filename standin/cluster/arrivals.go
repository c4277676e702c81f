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

// arrivals notes when requests were delivered to the targets' sockets.
type arrivals struct {
	mu sync.Mutex
	at map[history.Attempt]int64 // microseconds since 1970
}

var requestIDHeader = []byte("\r\n" + target.HeaderRequestID + ": ")

// note looks for the id of a request to a target that begins in the data. A request whose
// header is split is not noted, so that a check treats it as sent late.
func (a *arrivals) note(target string, data []byte) {
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

// Arrivals returns when requests last reached the targets, in microseconds
// since 1970. It needs Config.Proxied.
func (c *Cluster) Arrivals() map[history.Attempt]int64 {
	c.arrivals.mu.Lock()
	defer c.arrivals.mu.Unlock()
	return maps.Clone(c.arrivals.at)
}

// Grants returns the shards that a target holds now, with their fences.
func (c *Cluster) Grants(ctx context.Context, t *Target) (target.GrantReply, error) {
	var reply target.GrantReply
	_, err := call(ctx, http.MethodGet, "http://"+t.Direct+"/mangogate/grants", "", nil, &reply)
	return reply, errors.Wrapf(err, "grants of %s", t.Name)
}
