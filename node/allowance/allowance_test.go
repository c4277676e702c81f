package allowance

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/allowance"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var usualBounds = allowance.Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// agreed is the reader that all VMs of a test agree on.
type agreed struct {
	mu     sync.Mutex
	reader fleet.VM
}

func (a *agreed) set(vm fleet.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reader = vm
}

func (a *agreed) get() fleet.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader
}

// fakeReaders implements Readers for one VM.
type fakeReaders struct {
	*agreed
	self string
}

func (r fakeReaders) Reader() (fleet.VM, bool) { vm := r.get(); return vm, vm.ID != "" }
func (r fakeReaders) IsReader() bool           { return r.get().ID == r.self }

type testVM struct {
	*Service
	server *peer.Server
	cancel func() // ends the process as a crash does
}

// startVMs starts n VMs that know each other and a configuration, with vm0 as the reader.
func startVMs(t *testing.T, n int, workspaces ...fleet.Workspace) ([]*testVM, *agreed) {
	var registered []fleet.VM
	for i := range n {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		registered = append(registered, fleet.VM{ID: fmt.Sprint("vm", i), Boot: "b", PeerAddress: free.Addr().String()})
		free.Close()
	}
	a := &agreed{reader: registered[0]}
	var out []*testVM
	for _, self := range registered {
		c, registry, logger := clock.New(), metrics.NewRegistry(), hclog.NewNullLogger()
		v := view.New(c.Now, logger)
		v.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Config: &fleet.Config{Version: 1, Workspaces: workspaces}}}, 1, c.Now())
		var vms []view.Change
		for i := range registered {
			vms = append(vms, view.Change{Log: view.System, Key: view.VMKey(registered[i].ID), Offset: int64(i), VM: &registered[i]})
		}
		v.Apply(view.System, vms, int64(n), c.Now())
		server, client := peer.NewServer(self.PeerAddress, nil, nil, logger, registry), peer.NewClient(nil, nil, registry)
		client.Options = peer.Options{Connections: 1, NoPings: true}
		s, err := New(Config{Self: self, View: v, Readers: fakeReaders{a, self.ID}, Clock: c, Peers: client, Server: server,
			Bounds: usualBounds, Logger: logger, Registry: registry})
		require.NoError(t, err)
		require.NoError(t, server.Start(context.Background()))
		require.NoError(t, s.Start(context.Background()))
		vm := &testVM{Service: s, server: server}
		vm.cancel = sync.OnceFunc(func() {
			_ = s.Stop(context.Background())
			_ = client.Stop(context.Background())
			_ = server.Stop(context.Background())
		})
		t.Cleanup(vm.cancel)
		out = append(out, vm)
	}
	return out, a
}

// takeEventually takes a token at vm, and fails the test if that is not possible in time.
func takeEventually(t *testing.T, vm *testVM, workspace string) {
	require.Eventually(t, func() bool {
		ticket, _ := vm.Take(context.Background(), workspace)
		return ticket != 0
	}, 20*time.Second, 20*time.Millisecond)
}

// Guards against requests that are refused although the allowance has room, on any VM, and
// against a workspace that exceeds its allowance by using all VMs.
func TestTokensReachAllVMs(t *testing.T) {
	vms, _ := startVMs(t, 3, fleet.Workspace{Name: "w", Rate: 20, Burst: 10}, fleet.Workspace{Name: "free"})
	for _, vm := range vms {
		takeEventually(t, vm, "w")
	}
	began, taken := time.Now(), 0
	for time.Since(began) < time.Second {
		for _, vm := range vms {
			ticket, retryAfter := vm.Take(context.Background(), "w")
			if ticket != 0 {
				taken++
				continue
			}
			assert.Positive(t, retryAfter)
			assert.LessOrEqual(t, retryAfter, usualBounds.Window)
		}
		time.Sleep(time.Millisecond)
	}
	assert.LessOrEqual(t, float64(taken), (20*time.Since(began).Seconds()*1.1+20*0.5+10)*1.1+20)
	ticket, _ := vms[1].Take(context.Background(), "free")
	assert.NotZero(t, ticket)
}

// Guards against a granter that is lost for good: the VMs use their own shares until another
// VM grants, and take its tokens then.
func TestGranterIsLost(t *testing.T) {
	vms, reader := startVMs(t, 3, fleet.Workspace{Name: "w", Rate: 300, Burst: 300})
	takeEventually(t, vms[1], "w")
	vms[0].cancel()
	own := func() bool {
		vms[1].mu.Lock()
		defer vms[1].mu.Unlock()
		return vms[1].spender.IsOnItsOwn(vms[1].Clock.Now())
	}
	require.Eventually(t, own, 20*time.Second, 20*time.Millisecond)
	takeEventually(t, vms[1], "w")
	reader.set(vms[2].Self)
	require.Eventually(t, func() bool { return !own() }, 20*time.Second, 20*time.Millisecond, "the new granter is supported")
	takeEventually(t, vms[1], "w")
	assert.Equal(t, "vm2/b/1", vms[1].spender.Granter())
}

// Guards against messages in deployments that limit no workspace.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	vms, _ := startVMs(t, 2, fleet.Workspace{Name: "free"})
	ticket, _ := vms[1].Take(context.Background(), "free")
	assert.NotZero(t, ticket)
	time.Sleep(1200 * time.Millisecond)
	assert.Zero(t, vms[1].reports.Count())
}
