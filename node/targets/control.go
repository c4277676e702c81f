package targets

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

const maxControlBytes = 4 << 20 // limit of an answer to a control request

// GrantRequest is the body of POST /mangogate/grants. It replaces the whole
// set of shards that the target holds. A request with EchoMS 0 and no shards
// changes no shard and only asks for the target's state.
type GrantRequest struct {
	Term          uint64 `json:"term"`
	Sequence      uint64 `json:"sequence"`
	EchoMS        int64  `json:"echo_ms"` // ClockMS of an earlier reply of the target
	LeaseMS       int64  `json:"lease_ms"`
	DispatchEpoch uint64 `json:"dispatch_epoch"`
	// BootID is the boot id under which the target sent the clock reading
	// EchoMS. A target with another boot id takes no shards.
	BootID string       `json:"boot_id"`
	Shards []ShardFence `json:"shards"`
}

// ShardFence is a shard and its fencing token.
type ShardFence struct {
	Shard int    `json:"shard"`
	Fence uint64 `json:"fence"`
}

// GrantReply is the target's answer to a GrantRequest.
type GrantReply struct {
	BootID       string         `json:"boot_id"`
	ClockMS      int64          `json:"clock_ms"`
	Warm         bool           `json:"warm"`
	HighestFence map[int]uint64 `json:"highest_fence"`
	Holds        []ShardFence   `json:"holds"`
	Busy         []int          `json:"busy"`
	// Refused is set if the target has seen a higher term or sequence.
	Refused bool `json:"-"`
}

// LoadReply is the answer to GET /mangogate/load. Its values may be outdated.
type LoadReply struct {
	BootID   string `json:"boot_id"`
	InFlight int    `json:"in_flight"`
	Slots    int    `json:"slots"`
	Warm     bool   `json:"warm"`
	Draining bool   `json:"draining"`
}

// Grant sends a grant to a target. A refusal (409) is no error; it sets
// Refused.
func (c *Client) Grant(ctx context.Context, target, address string, g GrantRequest) (*GrantReply, error) {
	var reply GrantReply
	status, err := c.call(ctx, http.MethodPost, address, "/mangogate/grants", g, &reply)
	if err != nil {
		return nil, errors.Wrapf(err, "grant to target %s", target)
	}
	if status == http.StatusConflict {
		return &GrantReply{Refused: true}, nil
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("grant to target %s: status %d", target, status)
	}
	return &reply, nil
}

// Load queries the load of a target.
func (c *Client) Load(ctx context.Context, target, address string) (*LoadReply, error) {
	var reply LoadReply
	status, err := c.call(ctx, http.MethodGet, address, "/mangogate/load", nil, &reply)
	if err != nil {
		return nil, errors.Wrapf(err, "load of target %s", target)
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("load of target %s: status %d", target, status)
	}
	return &reply, nil
}

// Cancel asks a target to stop a request. It has no effect if the target has
// finished the request.
func (c *Client) Cancel(ctx context.Context, target, address, requestID string) error {
	_, err := c.call(ctx, http.MethodPost, address, "/mangogate/cancel?id="+url.QueryEscape(requestID), nil, nil)
	return errors.Wrapf(err, "cancel at target %s", target)
}

// call sends a control request and decodes the answer into out if the status
// is 200. Control requests have connections of their own, so that they never
// wait for a connection that caller requests occupy.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, body)
	if err != nil {
		return 0, err
	}
	t := c.transport("control "+address, controlConnections, c.control)
	resp, err := t.RoundTrip(req)
	if err != nil {
		t.CloseIdleConnections() // the next control request opens a new connection
		return 0, causeOf(ctx, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return 0, causeOf(ctx, err)
	}
	if out != nil && resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return resp.StatusCode, err
		}
	}
	return resp.StatusCode, nil
}

const controlConnections = 2 // connections per target for control requests
