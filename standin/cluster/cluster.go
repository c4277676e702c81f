package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/pkg/errors"
)

// Service describes one service of a deployment.
type Service struct {
	Name         string
	Ownership    inventory.Ownership
	Shards       int // used with key ownership only
	Targets      int
	ChecksFences bool
	// TargetArgs holds additional flags for the target program.
	TargetArgs []string
}

// Config describes a deployment.
type Config struct {
	Dir         string // directory of settings and logs
	Binaries    Binaries
	DataCentres []string
	VMs         int
	Services    []Service
	// Proxied puts a fault-injecting proxy in front of every VM's peer listener
	// and every target, and between every VM and the platform.
	Proxied      bool
	PlatformArgs []string
	LogLevel     string // empty means info
}

// VM is one VM of the deployment.
type VM struct {
	*Process
	DataCentre      string
	CallerAddress   string // address that callers use
	OperatorAddress string // address of the operator API
	PeerAddress     string // address that other VMs use
	// IP is the source address of the VM's connections to peers, targets and
	// the platform. With Config.Proxied each VM has its own.
	IP            string
	PeerProxy     *faultproxy.Proxy // in front of the peer listener; nil without Config.Proxied
	PlatformProxy *faultproxy.Proxy // between this VM and the platform; nil without Config.Proxied
}

// Target is one target of the deployment.
type Target struct {
	*Process
	Service       string
	DataCentre    string
	Address       string            // address that VMs use
	DirectAddress string            // address of the process itself, not of a proxy
	Proxy         *faultproxy.Proxy // nil without Config.Proxied
}

// Cluster is a running deployment.
type Cluster struct {
	cfg             Config
	Platform        *Process
	PlatformAddress string // address of the process itself, not of a proxy
	VMs             []*VM
	Targets         []*Target
	Document        inventory.Document
	token           string
	proxies         []*faultproxy.Proxy
	arrivals        arrivals
	vmIPCount       int // number of IP addresses assigned to VMs
}

const (
	targetConnections = 100
	targetSlots       = 3
	clusterSecret     = "cluster-secret-0123456789"
)

// Start starts the platform, the targets and the VMs, publishes the document and
// waits until all VMs are ready. After an error nothing is left running.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, token: clusterSecret, arrivals: arrivals{at: map[history.Attempt]int64{}}}
	for _, step := range []func(context.Context) error{c.startPlatform, c.startTargets, c.startVMs, c.publish} {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Close kills all processes and closes all proxies.
func (c *Cluster) Close() {
	for _, p := range c.processes() {
		if p.cmd != nil {
			_ = p.Kill() // fails if the process has exited by itself
		}
	}
	for _, p := range c.proxies {
		p.Close()
	}
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, v := range c.VMs {
		all = append(all, v.Process)
	}
	for _, t := range c.Targets {
		all = append(all, t.Process)
	}
	if c.Platform != nil {
		all = append(all, c.Platform)
	}
	return all
}

func (c *Cluster) newProcess(name, bin string, args ...string) *Process {
	return &Process{Name: name, bin: bin, args: args, logPath: filepath.Join(c.cfg.Dir, name+".log")}
}

// newProxy starts a proxy in front of upstream. delivered may be nil; otherwise it
// is called with the bytes for upstream before they are written.
func (c *Cluster) newProxy(upstream string, delivered func([]byte)) (*faultproxy.Proxy, error) {
	address, err := freeAddress(loopback)
	if err != nil {
		return nil, err
	}
	p, err := faultproxy.New(faultproxy.Config{Listen: address, Upstream: upstream, Delivered: delivered})
	if err != nil {
		return nil, err
	}
	c.proxies = append(c.proxies, p)
	return p, nil
}

// listenAddress returns ADDR of a line "listening on ADDR".
func listenAddress(line string) (string, error) {
	_, address, ok := strings.Cut(line, "listening on ")
	if !ok {
		return "", errors.Errorf("the first line of output holds no listen address: %q", line)
	}
	return strings.TrimSpace(address), nil
}

func (c *Cluster) startPlatform(context.Context) error {
	c.Platform = c.newProcess("platform", c.cfg.Binaries.Standin, append([]string{"platform"}, c.cfg.PlatformArgs...)...)
	line, err := c.Platform.start()
	if err != nil {
		return err
	}
	c.PlatformAddress, err = listenAddress(line)
	return err
}

func (c *Cluster) startTargets(context.Context) error {
	c.Document = inventory.Document{Deployment: "test"}
	for _, dc := range c.cfg.DataCentres {
		c.Document.DataCentres = append(c.Document.DataCentres, inventory.DataCentre{Name: dc})
	}
	for _, s := range c.cfg.Services {
		c.Document.Services = append(c.Document.Services, inventory.Service{
			Name: s.Name, Ownership: s.Ownership, Shards: s.Shards, ChecksFences: s.ChecksFences,
		})
		c.Document.Rules = append(c.Document.Rules, inventory.Rule{
			PathPrefix: "/" + s.Name + "/", Service: s.Name, KeyTemplate: "/" + s.Name + "/{key}",
		})
		for i := range s.Targets {
			if err := c.startTarget(s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startTarget(s Service, i int) error {
	name := fmt.Sprintf("%s-%d", s.Name, i)
	address, err := freeAddress(loopback)
	if err != nil {
		return err
	}
	args := []string{
		"target", "--listen", address, "--name", name, "--service", s.Name, "--ownership", string(s.Ownership),
		"--key-template", "/" + s.Name + "/{key}", "--slots", fmt.Sprint(targetSlots), "--ledger-file", c.executionsFile(),
	}
	if s.ChecksFences {
		args = append(args, "--checks-fences")
	}
	t := &Target{
		Process: c.newProcess(name, c.cfg.Binaries.Standin, append(args, s.TargetArgs...)...),
		Service: s.Name, DataCentre: c.cfg.DataCentres[i%len(c.cfg.DataCentres)], DirectAddress: address, Address: address,
	}
	if _, err := t.start(); err != nil {
		return err
	}
	if c.cfg.Proxied {
		if t.Proxy, err = c.newProxy(address, func(data []byte) { c.arrivals.record(name, data) }); err != nil {
			return err
		}
		t.Address = t.Proxy.Addr()
	}
	c.Targets = append(c.Targets, t)
	c.Document.Targets = append(c.Document.Targets, inventory.Target{
		Name: name, Service: s.Name, DataCentre: t.DataCentre, Address: t.Address, Slots: targetSlots, Connections: targetConnections,
	})
	return nil
}

func (c *Cluster) executionsFile() string { return filepath.Join(c.cfg.Dir, "executions") }

// Executions returns the requests that the targets have executed, including those
// before restarts.
func (c *Cluster) Executions() ([]target.Execution, error) {
	data, err := os.ReadFile(c.executionsFile())
	if err != nil {
		return nil, errors.Wrap(err, "read the executions file")
	}
	var out []target.Execution
	for d := json.NewDecoder(bytes.NewReader(data)); d.More(); {
		var e target.Execution
		if err := d.Decode(&e); err != nil {
			return nil, errors.Wrap(err, "decode the executions file")
		}
		out = append(out, e)
	}
	return out, nil
}

// Restart starts the process of a target again at the same address. The process
// must have exited.
func (t *Target) Restart() error {
	_, err := t.start()
	return err
}

// The ports lie below the range that Linux uses for outgoing connections, so that
// no such connection takes the port of a process that restarts.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort = atomic.Int64{}

func init() { nextPort.Store(int64(rand.IntN(lastPort - firstPort))) }

const loopback = "127.0.0.1"

// freeAddress returns ip with a port on which nothing listens at the moment.
func freeAddress(ip string) (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port in the range")
}

func (c *Cluster) startVMs(ctx context.Context) error {
	secret := filepath.Join(c.cfg.Dir, "secret")
	if err := os.WriteFile(secret, []byte(clusterSecret), 0o600); err != nil {
		return errors.Wrap(err, "write secret")
	}
	for i := range c.cfg.VMs {
		if _, err := c.AddVM(ctx, fmt.Sprintf("vm-%d", i), c.cfg.DataCentres[i%len(c.cfg.DataCentres)]); err != nil {
			return err
		}
	}
	return nil
}

// AddVM starts a new VM and adds it to the platform's VM list as live.
func (c *Cluster) AddVM(ctx context.Context, name, dataCentre string) (*VM, error) {
	v := &VM{DataCentre: dataCentre, IP: loopback}
	if c.cfg.Proxied {
		c.vmIPCount++
		v.IP = fmt.Sprintf("127.0.1.%d", c.vmIPCount)
	}
	peerListen, err := freeAddress(v.IP)
	if err != nil {
		return nil, err
	}
	platformAddress := c.PlatformAddress
	v.PeerAddress = peerListen
	if c.cfg.Proxied {
		if v.PeerProxy, err = c.newProxy(peerListen, nil); err != nil {
			return nil, err
		}
		if v.PlatformProxy, err = c.newProxy(platformAddress, nil); err != nil {
			return nil, err
		}
		v.PeerAddress, platformAddress = v.PeerProxy.Addr(), v.PlatformProxy.Addr()
	}
	if v.CallerAddress, err = freeAddress(loopback); err != nil {
		return nil, err
	}
	if v.OperatorAddress, err = freeAddress(loopback); err != nil {
		return nil, err
	}
	path, err := c.writeSettings(name, v, peerListen, platformAddress)
	if err != nil {
		return nil, err
	}
	v.Process = c.newProcess(name, c.cfg.Binaries.Mangogate, "serve", "--settings", path)
	if _, err := v.start(); err != nil {
		return nil, err
	}
	c.VMs = append(c.VMs, v)
	return v, c.SetVMState(ctx, v, "live")
}

// Restart starts the process of a VM again under the same name and addresses. The
// process must have exited.
func (v *VM) Restart() error {
	_, err := v.start()
	return err
}

func (c *Cluster) writeSettings(name string, v *VM, peerListen, platformAddress string) (string, error) {
	secret := filepath.Join(c.cfg.Dir, "secret")
	level := c.cfg.LogLevel
	if level == "" {
		level = "info"
	}
	settings := map[string]any{
		"vm": name, "data_centre": v.DataCentre, "members": c.cfg.VMs, "log_level": level,
		"callers":   map[string]any{"listen": v.CallerAddress},
		"peers":     map[string]any{"listen": peerListen, "key_file": secret},
		"operators": map[string]any{"listen": v.OperatorAddress, "token_file": secret},
		"platform":  map[string]any{"url": "http://" + platformAddress, "timeout": "1s"},
		"shutdown":  map[string]any{"leave_balancer": "300ms", "finish": "20s"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(c.cfg.Dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}

// Entries returns the caller addresses of the VMs that are alive.
func (c *Cluster) Entries() []string {
	var out []string
	for _, v := range c.VMs {
		if v.Alive() {
			out = append(out, v.CallerAddress)
		}
	}
	return out
}

// Wait calls check every 10 ms until it returns nil or the timeout has passed, and
// returns the last result.
func Wait(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
