package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
)

const readyTimeout = 30 * time.Second

var httpClient = &http.Client{Timeout: 12 * time.Second}

// call sends in as JSON and returns the HTTP status; in and out may be nil. The
// body is decoded into out even if the status is not 200, because a rejected change
// has the same type of body as an accepted one.
func call(ctx context.Context, method, url, token string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return resp.StatusCode, errors.Wrapf(err, "%s %s: %s", method, url, data)
		}
	}
	return resp.StatusCode, nil
}

// SetVMState sets the state of a VM in the platform's VM list.
func (c *Cluster) SetVMState(ctx context.Context, v *VM, state string) error {
	entry := map[string]string{"id": v.Name, "data_centre": v.DataCentre, "peer_address": v.PeerAddress, "state": state}
	status, err := call(ctx, http.MethodPost, "http://"+c.PlatformAddress+"/v1/vms", "", entry, nil)
	if err == nil && status/100 != 2 {
		err = errors.Errorf("status %d", status)
	}
	return errors.Wrapf(err, "set %s to %s in the VM list", v.Name, state)
}

// PlatformFaults replaces the faults that the platform injects.
func (c *Cluster) PlatformFaults(ctx context.Context, faults map[string]any) error {
	status, err := call(ctx, http.MethodPost, "http://"+c.PlatformAddress+"/v1/faults", "", faults, nil)
	if err == nil && status/100 != 2 {
		err = errors.Errorf("status %d", status)
	}
	return errors.Wrap(err, "set platform faults")
}

// TargetFaults replaces the faults that a target injects.
func (c *Cluster) TargetFaults(ctx context.Context, t *Target, faults map[string]any) error {
	status, err := call(ctx, http.MethodPost, "http://"+t.DirectAddress+"/mangogate/faults", "", faults, nil)
	if err == nil && status/100 != 2 {
		err = errors.Errorf("status %d", status)
	}
	return errors.Wrapf(err, "set faults of %s", t.Name)
}

// Ledger returns the requests that a target has executed since its last start.
func (c *Cluster) Ledger(ctx context.Context, t *Target) (target.Ledger, error) {
	var l target.Ledger
	_, err := call(ctx, http.MethodGet, "http://"+t.DirectAddress+"/mangogate/ledger", "", nil, &l)
	return l, errors.Wrapf(err, "get the ledger of %s", t.Name)
}

// Stats returns the counters of a target.
func (c *Cluster) Stats(ctx context.Context, t *Target) (target.Stats, error) {
	var s target.Stats
	_, err := call(ctx, http.MethodGet, "http://"+t.DirectAddress+"/mangogate/stats", "", nil, &s)
	return s, errors.Wrapf(err, "get the stats of %s", t.Name)
}

// CallOperatorAPI calls the operator API of a VM and returns the HTTP status.
func (c *Cluster) CallOperatorAPI(ctx context.Context, v *VM, method, path string, in, out any) (int, error) {
	status, err := call(ctx, method, "http://"+v.OperatorAddress+path, c.token, in, out)
	return status, errors.Wrapf(err, "%s %s at %s", method, path, v.Name)
}

// Status returns the state of all VMs as one VM reports it.
func (c *Cluster) Status(ctx context.Context, v *VM) (admin.ClusterStatus, error) {
	var s admin.ClusterStatus
	_, err := c.CallOperatorAPI(ctx, v, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Timeline returns the events of all running VMs in causal order. It queries each
// VM, because the merged list of a single VM lacks the events of VMs that it cannot
// reach. If a VM does not answer, it returns the other events and an error.
func (c *Cluster) Timeline(ctx context.Context) ([]timeline.Event, error) {
	var lists [][]timeline.Event
	var failed error
	for _, v := range c.VMs {
		if !v.Alive() {
			continue
		}
		var events []timeline.Event
		if _, err := c.CallOperatorAPI(ctx, v, http.MethodGet, "/events", nil, &events); err != nil {
			failed = err
			continue
		}
		lists = append(lists, events)
	}
	return timeline.Merge(lists...), failed
}

// Owner returns the owner of a key as one VM reports it.
func (c *Cluster) Owner(ctx context.Context, v *VM, service, key string) (admin.OwnerReply, error) {
	var replies []admin.OwnerReply
	path := "/v1/owner?service=" + url.QueryEscape(service) + "&key=" + url.QueryEscape(key)
	status, err := c.CallOperatorAPI(ctx, v, http.MethodGet, path, nil, &replies)
	if err != nil {
		return admin.OwnerReply{}, err
	}
	if status != http.StatusOK || len(replies) != 1 {
		return admin.OwnerReply{}, errors.Errorf("owner of %q: status %d, %d replies", key, status, len(replies))
	}
	return replies[0], nil
}

// Apply publishes a document through a VM, based on the document version that this
// VM reports.
func (c *Cluster) Apply(ctx context.Context, v *VM, doc inventory.Document) (admin.ChangeReply, error) {
	var config admin.ConfigReply
	if _, err := c.CallOperatorAPI(ctx, v, http.MethodGet, "/v1/config", nil, &config); err != nil {
		return admin.ChangeReply{}, err
	}
	var reply admin.ChangeReply
	_, err := c.CallOperatorAPI(ctx, v, http.MethodPost, "/v1/apply",
		admin.ApplyRequest{Author: "test", Base: config.DocumentVersion, Document: doc}, &reply)
	return reply, err
}

// Drain sends a request to a VM that takes a target or a data centre out of service
// or puts it back.
func (c *Cluster) Drain(ctx context.Context, v *VM, req admin.DrainRequest) (admin.ChangeReply, error) {
	var reply admin.ChangeReply
	_, err := c.CallOperatorAPI(ctx, v, http.MethodPost, "/v1/drain", req, &reply)
	return reply, err
}

// publish applies c.Document and waits until all VMs are ready.
func (c *Cluster) publish(ctx context.Context) error {
	err := Wait(readyTimeout, func() error {
		reply, err := c.Apply(ctx, c.VMs[0], c.Document)
		if err == nil && reply.Result != admin.ResultAccepted && reply.Result != admin.ResultNoChange {
			err = errors.Errorf("apply the document: %s %s", reply.Result, reply.Detail)
		}
		return err
	})
	if err != nil {
		return err
	}
	return c.WaitReady(ctx, readyTimeout)
}

// WaitReady waits until every running VM is ready and reports that every shard has
// an owner. After the timeout it returns the reason why a VM is not ready.
func (c *Cluster) WaitReady(ctx context.Context, timeout time.Duration) error {
	return Wait(timeout, func() error {
		for _, v := range c.VMs {
			if !v.Alive() {
				continue
			}
			if err := c.ready(ctx, v); err != nil {
				return errors.Wrapf(err, "%s is not ready", v.Name)
			}
		}
		return nil
	})
}

// ready returns nil if a VM is ready and reports that every shard has an owner.
func (c *Cluster) ready(ctx context.Context, v *VM) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.OperatorAddress+"/ready", nil)
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s", text)
	}
	s, err := c.Status(ctx, v)
	if err != nil {
		return err
	}
	if s.Unassigned > 0 {
		return errors.Errorf("%d shards have no owner", s.Unassigned)
	}
	return nil
}
