package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/jsonc"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/mangogate/mangogate/node/vm"
	"github.com/mangogate/mangogate/standin/platform"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
)

const (
	demoVMs           = 3
	demoSecret        = "demo-secret-0123456789"
	demoShards        = 64
	demoServiceTime   = 2 * time.Millisecond
	demoSlots         = 3
	demoConnections   = 100
	demoShutdownLimit = 10 * time.Second
)

// deployment runs VMs in the process of the demo, with stand-ins for the platform
// and the targets.
type deployment struct {
	platformServer *http.Server
	platform       *platform.Server
	targets        []*demoTarget
	vms            []*vm.VM
	document       inventory.Document

	mu       sync.Mutex
	executed []target.Execution
}

type demoTarget struct {
	name   string
	server *http.Server
}

// kill closes the listener and all connections abruptly, as a crash would.
func (t *demoTarget) kill() { _ = t.server.Close() } // the listener is closed even after an error

// startDeployment starts the platform, the targets and the VMs, applies the
// configuration document and waits until all VMs are ready. If a step fails, it
// stops them all.
func startDeployment(ctx context.Context, secretFile string, logger hclog.Logger) (*deployment, error) {
	if err := os.WriteFile(secretFile, []byte(demoSecret), 0o600); err != nil {
		return nil, errors.Wrap(err, "write secret")
	}
	d := &deployment{platform: platform.New(platform.Config{})}
	server, address, err := listen(d.platform.Handler())
	if err != nil {
		return nil, err
	}
	d.platformServer = server
	if err := d.startTargets(); err != nil {
		d.close()
		return nil, err
	}
	for i := range demoVMs {
		if err := d.startVM(ctx, i, address, secretFile, logger); err != nil {
			d.close()
			return nil, err
		}
	}
	if err := d.applyDocument(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// listen serves a handler on a free port of the loopback interface.
func listen(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on loopback")
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	return server, l.Addr().String(), nil
}

// startTargets builds the configuration document and starts two targets of each
// service in each data centre.
func (d *deployment) startTargets() error {
	d.document = inventory.Document{
		Deployment: "demo",
		Services: []inventory.Service{
			{Name: "status", Ownership: inventory.OwnershipKey, Shards: demoShards, ChecksFences: true},
			{Name: "bookings", Ownership: inventory.OwnershipPool},
		},
	}
	for _, dc := range []string{"north", "centre", "south"} {
		d.document.DataCentres = append(d.document.DataCentres, inventory.DataCentre{Name: dc})
	}
	for _, s := range d.document.Services {
		d.document.Rules = append(d.document.Rules, inventory.Rule{
			PathPrefix: "/" + s.Name + "/", Service: s.Name, KeyTemplate: "/" + s.Name + "/{key}",
			DefaultDeadline: jsonc.Duration(5 * time.Second),
		})
		for _, dc := range d.document.DataCentres {
			for i := range 2 {
				if err := d.startTarget(s, dc.Name, i); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startTarget starts a target and adds it to the configuration document.
func (d *deployment) startTarget(s inventory.Service, dataCentre string, i int) error {
	name := fmt.Sprintf("%s-%s-%d", s.Name, dataCentre, i)
	t := target.New(target.Config{
		Name: name, Service: s.Name, Ownership: s.Ownership, ChecksFences: s.ChecksFences, KeyTemplate: "/" + s.Name + "/{key}",
		Slots: demoSlots, ServiceTime: demoServiceTime, Distribution: target.Exponential,
		OnExecution: func(e target.Execution) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.executed = append(d.executed, e)
		},
	})
	server, address, err := listen(t.Handler())
	if err != nil {
		return err
	}
	d.targets = append(d.targets, &demoTarget{name: name, server: server})
	d.document.Targets = append(d.document.Targets, inventory.Target{
		Name: name, Service: s.Name, DataCentre: dataCentre, Address: address, Slots: demoSlots, Connections: demoConnections,
	})
	return nil
}

// startVM starts a VM and registers it with the platform.
func (d *deployment) startVM(ctx context.Context, i int, platformAddress, secretFile string, logger hclog.Logger) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "find a port for peers")
	}
	peerAddress := l.Addr().String()
	l.Close()
	s := settings.Defaults()
	s.VM, s.DataCentre, s.Members = fmt.Sprintf("vm-%d", i), d.document.DataCentres[i].Name, demoVMs
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", peerAddress
	s.Peers.KeyFile, s.Operators.TokenFile = secretFile, secretFile
	s.Platform.URL = "http://" + platformAddress
	s.Shutdown.LeaveBalancer = jsonc.Duration(100 * time.Millisecond)
	node, err := vm.New(&s, logger.Named(s.VM))
	if err != nil {
		return err
	}
	if err := node.Start(ctx); err != nil {
		return err
	}
	d.vms = append(d.vms, node)
	return d.platform.SetVM(platform.VM{ID: s.VM, DataCentre: s.DataCentre, PeerAddress: peerAddress, State: "live"})
}

// callerAddrs returns the addresses at which the VMs accept callers.
func (d *deployment) callerAddrs() []string {
	var out []string
	for _, v := range d.vms {
		out = append(out, v.CallerAddr().String())
	}
	return out
}

// callOperator sends an operator request to the first VM and decodes the answer
// into out. It does not check the status.
func (d *deployment) callOperator(ctx context.Context, method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.vms[0].OperatorAddr().String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demoSecret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// applyDocument applies the configuration document and waits for at most
// demoReadyLimit until ready returns nil.
func (d *deployment) applyDocument(ctx context.Context) error {
	var reply admin.ChangeReply
	if err := d.callOperator(ctx, http.MethodPost, "/v1/apply", admin.ApplyRequest{Author: "demo", Document: d.document}, &reply); err != nil {
		return errors.Wrap(err, "apply the document")
	}
	deadline := time.Now().Add(demoReadyLimit)
	for {
		err := d.ready(ctx)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready returns nil if all VMs are ready and all shards have owners, otherwise an
// error with the reason.
func (d *deployment) ready(ctx context.Context) error {
	var s admin.ClusterStatus
	if err := d.callOperator(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	if len(s.VMs) < demoVMs {
		return errors.Errorf("%d of %d VMs are known", len(s.VMs), demoVMs)
	}
	for _, v := range s.VMs {
		if !v.Ready {
			return errors.Errorf("%s is not ready", v.VM)
		}
	}
	if s.Unassigned > 0 {
		return errors.Errorf("%d shards have no owner", s.Unassigned)
	}
	return nil
}

// drain takes a data centre, VM or target out of service or puts it back.
func (d *deployment) drain(ctx context.Context, scope control.DrainScope, name string, out bool) error {
	var reply admin.ChangeReply
	if err := d.callOperator(ctx, http.MethodPost, "/v1/drain", admin.DrainRequest{Author: "demo", Scope: scope, Name: name, Out: out}, &reply); err != nil {
		return errors.Wrapf(err, "drain %s", name)
	}
	if reply.Result != admin.ResultAccepted {
		return errors.Errorf("drain %s: %s %s", name, reply.Result, reply.Detail)
	}
	return nil
}

// close shuts the VMs down one after another, then stops the targets and the
// platform. The last VM is aborted, since no other VM is left for its handover.
func (d *deployment) close() {
	ctx, cancel := context.WithTimeout(context.Background(), demoShutdownLimit)
	defer cancel()
	for i, v := range d.vms {
		if i == len(d.vms)-1 {
			v.Abort()
			break
		}
		_ = v.Stop(ctx) // the process exits anyway
	}
	for _, t := range d.targets {
		t.kill()
	}
	d.platform.Close()
	_ = d.platformServer.Close() // the process exits anyway
}
