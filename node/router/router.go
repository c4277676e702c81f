// Package router assembles the modules of one VM that uses the platform's store:
// calls between VMs, the view and its feed, the cells, the gateway and the metrics.
package router

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/locality"
	nodeallowance "github.com/mangogate/mangogate/node/allowance"
	"github.com/mangogate/mangogate/node/bodies"
	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/exporter"
	"github.com/mangogate/mangogate/node/feed"
	"github.com/mangogate/mangogate/node/gateway"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/upstream"
	"github.com/mangogate/mangogate/node/view"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	bootIDBytes = 6
	// keyCallAnswerMemory is the upstream.Client.AnswerMemory, in bytes, of the client
	// for grants and releases, whose answers are small.
	keyCallAnswerMemory = 1 << 20
)

// Settings are the settings that a VM needs before it can read the store.
type Settings struct {
	VM         string
	DataCentre string
	Cores      float64 // number of processor cores that the VM may use
	LinkMbps   float64 // bandwidth of the VM's link in Mbit/s; 0 if unknown
	Callers    string  // listen address for callers
	Readiness  string  // listen address for the load balancer's readiness checks
	Peers      string  // listen address for other VMs
	Metrics    string  // listen address for metrics; "" disables it
	PeerKey    []byte  // key that all VMs of the deployment share
	// AnswerMemory limits the memory, in bytes, for large answers of targets.
	AnswerMemory int64
	// BodyMemory limits the memory, in bytes, for bodies of requests and large answers.
	BodyMemory int64
	// CallerConnections limits the open connections of callers; 0 means no limit.
	CallerConnections int
	Drain             gateway.Drain
	Retry             cell.RetryLimits
	// Revocation is the time after which a removed key of a workspace must not work on any
	// VM; 0 means that there is no such time.
	Revocation time.Duration
	// Allowances bound how far the requests of a workspace may exceed its limit; without a
	// window, limits are not enforced.
	Allowances allowance.Bounds
	// Spillover enables the decision which requests leave their data centre. If it is nil,
	// other data centres cost a constant penalty.
	Spillover *locality.Config
}

// Adapter provides the parts that depend on the platform on which the router
// runs.
type Adapter interface {
	// Store returns the store. Its connections use the source address local; nil
	// lets the system choose.
	Store(local *net.TCPAddr, logger hclog.Logger) view.Store
	// KeyCaller returns the client that sends grants and releases of keys to targets.
	KeyCaller(targets *upstream.Client) cell.KeyCaller
	// Codec returns the codec for the headers of callers and targets.
	Codec() gateway.HeaderCodec
}

// Router runs the modules of one VM's process.
type Router struct {
	kernel    *kernel.Kernel
	logger    hclog.Logger
	registry  metrics.Registry
	drain     atomic.Pointer[gateway.Drain]
	clients   []*upstream.Client
	cells     *cell.Service
	leaving   *leavingWatch
	stopSweep context.CancelFunc
}

// New assembles a router with a new random boot id. Start starts it.
func New(s Settings, a Adapter, logger hclog.Logger, registry metrics.Registry) (*Router, error) {
	boot := make([]byte, bootIDBytes)
	if _, err := rand.Read(boot); err != nil {
		return nil, errors.Wrap(err, "create boot id")
	}
	r := &Router{kernel: kernel.New(), logger: logger, registry: registry, leaving: newLeavingWatch(a.Codec(), logger.Named("targets"))}
	self := fleet.VM{ID: s.VM, DataCentre: s.DataCentre, PeerAddress: s.Peers, Cores: s.Cores, LinkMbps: s.LinkMbps, Boot: hex.EncodeToString(boot)}
	return r, r.assemble(s, self, a)
}

func (r *Router) assemble(s Settings, self fleet.VM, a Adapter) error {
	local := peer.SourceAddr(s.Peers)
	c := clock.New()
	v := view.New(c.Now, r.logger.Named("view"))
	store := a.Store(local, r.logger.Named("store"))
	server := peer.NewServer(s.Peers, s.PeerKey, nil, r.logger.Named("peer"), r.registry)
	client := peer.NewClient(s.PeerKey, nil, r.registry)
	// No pings: the periodic exchange of views between VMs already detects silent
	// connections.
	client.LocalAddr, client.Options = local, peer.Options{Connections: 1, NoPings: true}
	cells, err := cell.New(cell.Config{
		Self: self, View: v, Store: store, KeyCaller: a.KeyCaller(r.newTargetClient(local, keyCallAnswerMemory)), Clock: c, Peers: client, Server: server,
		Retry: s.Retry, Spillover: s.Spillover, Logger: r.logger.Named("cell"), Registry: r.registry,
	})
	if err != nil {
		return err
	}
	r.cells, r.leaving.note = cells, cells.NoteLeaving
	budget := bodies.New(s.BodyMemory, r.logger.Named("bodies"), r.registry)
	r.logger.Info("limits for callers", "body_memory", s.BodyMemory, "connections", s.CallerConnections)
	if !budget.HoldsMaxBody() {
		r.logger.Warn("the memory for bodies does not hold one of the default maximum size; such bodies are refused",
			"body_memory", s.BodyMemory, "body_bytes", bodies.MaxBodyBytes)
	}
	targets := r.newTargetClient(local, s.AnswerMemory)
	targets.CountIn(budget)
	gatewayConfig := gateway.Config{
		VM: self, Codec: a.Codec(), View: v, Cells: cells, Targets: targets, Clock: c, Bodies: budget, MaxConnections: s.CallerConnections,
		Revocation: s.Revocation, Logger: r.logger.Named("gateway"), Registry: r.registry,
	}
	modules := []kernel.Module{server, client, feed.New(self, v, store, c, cells, r.logger.Named("feed"), r.registry), cells}
	if s.Allowances.Window > 0 {
		allowances, err := nodeallowance.New(nodeallowance.Config{
			Self: self, View: v, Readers: cells, Clock: c, Peers: client, Server: server, Bounds: s.Allowances,
			Logger: r.logger.Named("allowance"), Registry: r.registry,
		})
		if err != nil {
			return err
		}
		gatewayConfig.Allowances = allowances
		modules = append(modules, allowances)
	}
	g := gateway.New(gatewayConfig)
	r.drain.Store(&s.Drain)
	return r.kernel.Register(append(modules,
		gateway.NewListener(g, s.Callers, s.Readiness, func() gateway.Drain { return *r.drain.Load() }),
		exporter.New(s.Metrics, r.registry, r.logger.Named("metrics")),
	)...)
}

// newTargetClient returns a new client for targets that uses a source address and at
// most answerMemory bytes for large answers.
func (r *Router) newTargetClient(local *net.TCPAddr, answerMemory int64) *upstream.Client {
	d := net.Dialer{KeepAlive: time.Second, Control: peer.SetUserTimeout}
	peer.BindSource(&d, local)
	c := upstream.New(d, r.registry)
	c.AnswerMemory, c.OnAnswer = answerMemory, r.leaving.handleAnswer
	r.clients = append(r.clients, c)
	return c
}

// Apply applies s.Drain, the only setting that may change while the process runs.
func (r *Router) Apply(s Settings) { r.drain.Store(&s.Drain) }

// Start starts all modules, and the sweeps of idle connections to targets.
func (r *Router) Start(ctx context.Context) error {
	sweepCtx, stop := context.WithCancel(context.Background())
	r.stopSweep = stop
	for _, c := range r.clients {
		go c.SweepIdle(sweepCtx)
	}
	return r.kernel.Start(ctx)
}

// Stop stops all modules. While it waits for the requests of callers to end, it
// hands over the cells that the VM leads; it does not wait for the handovers.
func (r *Router) Stop(ctx context.Context) error {
	defer r.stopSweep()
	go r.cells.Retire(ctx)
	return r.kernel.Stop(ctx)
}
