// Package vm assembles the modules of one VM and starts and stops them.
package vm

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/callers"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/dispatch"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/ledger"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/node/manager"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/replica"
	"github.com/mangogate/mangogate/node/resolver"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/mangogate/mangogate/node/targets"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	bootIDBytes = 6 // random bytes that identify one start of the process
	// snapshotEvery is the number of log records between two snapshots.
	snapshotEvery = 1000
	// handoverPollInterval is the pause between two checks whether the handover, or the
	// last request in flight, has ended.
	handoverPollInterval = 20 * time.Millisecond
	// successorPollInterval is the pause between two checks for a successor, which is
	// another VM that answers and is not stopping itself.
	successorPollInterval = 250 * time.Millisecond
	// successorTimeout is the time without a successor after which the handover is given
	// up. It spans several checks because a busy VM may fail to answer one of them.
	successorTimeout = 1500 * time.Millisecond
)

// VM holds the modules of the process that runs on one VM.
type VM struct {
	settings *settings.Settings
	logger   hclog.Logger
	kernel   *kernel.Kernel
	admin    *admin.Admin
	callers  *callers.Listener
	dispatch *dispatch.Service
	maps     *mapstore.Store
	registry metrics.Registry
}

// secrets holds the shared secrets, which are read from files once, at start.
type secrets struct{ peerKey, operatorToken []byte }

// New assembles a VM from valid settings. It fails if a secret or a TLS file
// cannot be read.
func New(s *settings.Settings, logger hclog.Logger) (*VM, error) {
	bootID := make([]byte, bootIDBytes)
	if _, err := rand.Read(bootID); err != nil {
		return nil, errors.Wrap(err, "create boot id")
	}
	secret, err := readSecrets(s)
	if err != nil {
		return nil, err
	}
	v := &VM{settings: s, logger: logger, kernel: kernel.New(), registry: metrics.NewRegistry()}
	return v, v.assemble(hex.EncodeToString(bootID), secret)
}

func readSecrets(s *settings.Settings) (secrets, error) {
	key, err := settings.ReadSecret(s.Peers.KeyFile)
	if err != nil {
		return secrets{}, errors.Wrap(err, "peers.key_file")
	}
	token, err := settings.ReadSecret(s.Operators.TokenFile)
	return secrets{peerKey: key, operatorToken: token}, errors.Wrap(err, "operators.token_file")
}

// assemble creates the modules and registers them in the order in which they
// start. They stop in the reverse order: the listener for callers first, the
// connections to peers last.
func (v *VM) assemble(bootID string, secret secrets) error {
	s, log := v.settings, v.logger
	tlsConfigs, err := loadTLS(s)
	if err != nil {
		return err
	}
	source := peer.SourceAddr(s.Peers.Listen)
	peers, targetClient := peer.NewClient(secret.peerKey, tlsConfigs.peerClient, v.registry), targets.New(tlsConfigs.targets, v.registry)
	peers.LocalAddr, targetClient.LocalAddr = source, source
	c, events := clock.New(), timeline.New(s.VM)
	platform := logclient.New(logclient.Config{
		BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Std(), LocalAddr: source, Metrics: v.registry,
	})
	v.maps = mapstore.New(c, events, log.Named("map"), bootID)
	v.dispatch = dispatch.New(s.VM, c, events, log.Named("dispatch"), v.registry)
	v.callers = callers.New(s.VM, bootID, s.Callers, tlsConfigs.callers, log.Named("callers"), v.registry)
	v.admin = admin.New(admin.Config{
		VM: s.VM, DataCentre: s.DataCentre, Listen: s.Operators.Listen, Token: secret.operatorToken, TLS: tlsConfigs.operators,
	}, events, platform, log.Named("operators"), v.registry)
	return v.kernel.Register(
		peer.NewServer(s.Peers.Listen, secret.peerKey, tlsConfigs.peerServer, log.Named("peer"), v.registry),
		peers,
		replica.New(replica.Config{
			Log: platform, Writer: s.VM + "-" + bootID, Logger: log.Named("replica"), Metrics: v.registry, SnapshotEvery: snapshotEvery,
		}),
		v.maps,
		targetClient,
		ledger.New(s.VM, c, events, log.Named("ledger"), v.registry),
		v.dispatch,
		resolver.New(s.VM, c, events, v.registry),
		manager.New(manager.Config{
			VM: s.VM, DataCentre: s.DataCentre, PeerAddress: s.Peers.Listen, Members: s.Members,
		}, c, events, platform, log.Named("manager"), v.registry),
		v.admin,
		v.callers,
	)
}

// Start starts all modules. If one fails to start, those before it are stopped.
func (v *VM) Start(ctx context.Context) error { return v.kernel.Start(ctx) }

// CallerAddr returns the address of the listener for callers.
func (v *VM) CallerAddr() net.Addr { return v.callers.Addr() }

// OperatorAddr returns the address of the listener for operators.
func (v *VM) OperatorAddr() net.Addr { return v.admin.Addr() }

// Stop shuts the VM down gracefully: it reports not ready so that the load
// balancer stops sending requests, hands over its dispatch groups, drains the
// requests in flight and stops all modules. The settings shutdown.leave_balancer
// and shutdown.finish together limit the time.
func (v *VM) Stop(ctx context.Context) error {
	v.admin.Leave()
	v.callers.CloseAfterAnswer()
	ctx, cancel := context.WithTimeout(ctx, v.settings.Shutdown.LeaveBalancer.Std()+v.settings.Shutdown.Finish.Std())
	defer cancel()
	sleep(ctx, v.settings.Shutdown.LeaveBalancer.Std())
	v.handOver(ctx)
	for ctx.Err() == nil && v.dispatch.InFlight() > 0 {
		sleep(ctx, handoverPollInterval)
	}
	return v.kernel.Stop(ctx)
}

// handOver waits until other VMs have taken over the dispatch groups of this one. It
// gives up when there was no successor for successorTimeout.
func (v *VM) handOver(ctx context.Context) {
	successorSeenAt := time.Now()
	for checkedAt := successorSeenAt; ctx.Err() == nil && v.isDispatcher(); sleep(ctx, handoverPollInterval) {
		if time.Since(checkedAt) < successorPollInterval {
			continue
		}
		if v.admin.HasSuccessor(ctx) {
			successorSeenAt = time.Now()
		}
		checkedAt = time.Now()
		if checkedAt.Sub(successorSeenAt) >= successorTimeout {
			v.logger.Info("handover given up: every other VM is stopping or unreachable")
			return
		}
	}
}

// Abort stops the VM without a handover and without a drain, as a crash would.
func (v *VM) Abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.kernel.Stop(ctx) // fails because requests in flight are cut off, which is intended
}

// isDispatcher reports whether the current dispatch map still assigns a group to this
// VM. It is false once the map lease has expired: this VM may no longer dispatch then,
// and its map is not renewed, so there is nothing to wait for.
func (v *VM) isDispatcher() bool {
	m := v.maps.Current()
	if m == nil || !v.maps.LeaseValid() {
		return false
	}
	for _, g := range m.Groups {
		if g.Dispatcher == v.settings.VM {
			return true
		}
	}
	return false
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Map returns the current dispatch map, or nil before the first one.
func (v *VM) Map() *shardmap.Map { return v.maps.Current() }
