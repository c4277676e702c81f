package cell

import (
	"context"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/panics"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a process that ends because of one malformed call of another VM, for
// example one of another version. net/rpc does not recover from panics.
func TestMalformedCallsDoNotEndTheProcess(t *testing.T) {
	store := &memoryStore{}
	vm := startVM(t, "vm-0", store)
	require.Eventually(t, func() bool { return vm.leadershipOf("s") != nil }, 5*time.Second, 10*time.Millisecond)
	client := peer.NewClient(nil, nil, metrics.NewRegistry())
	t.Cleanup(func() { assert.NoError(t, client.Stop(context.Background())) })
	call := func(method string, args any) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return client.Call(ctx, vm.self.PeerAddress, RPCName+"."+method, args, &struct{}{})
	}
	for _, key := range []int{keyspace.Keys, 1 << 40, -7} {
		a := newLendArgs(vm)
		a.Key = key
		assert.Error(t, call("Lend", a), "key %d", key)
	}
	for _, l := range []view.Log{-1, 99} {
		assert.Error(t, call("Tell", TellArgs{Record: []view.Change{{Log: l, Key: "k", Offset: 1}}}), "log %d", l)
	}
	assert.Error(t, call("Tell", TellArgs{Record: []view.Change{{Log: view.System, Key: "cell/s", Packed: []byte("garbage")}}}))
	assert.Error(t, call("Act", ActArgs{}))
	assert.Error(t, call("Take", 7), "arguments of another type")

	require.Eventually(t, func() bool {
		slot, err := vm.AcquireSlot(context.Background(), newLendArgs(vm))
		vm.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		return err == nil && slot.Lent
	}, 5*time.Second, 10*time.Millisecond, "the cell must go on being served")
}

// panickingKeyCaller implements KeyCaller with calls that panic.
type panickingKeyCaller struct{ acceptAll }

func (panickingKeyCaller) Grant(context.Context, KeyCall, func() error) (keyspace.CallResult, error) {
	panic("malformed answer")
}

// Guards against a panic in one call to a target that ends the process or leaves the
// range waiting for the result of the call for ever.
func TestPanicInKeyCallCountsAsNoAnswer(t *testing.T) {
	vm := startVM(t, "vm-0", &memoryStore{})
	registry, holder := metrics.NewRegistry(), keyspace.Holder{Target: "t"}
	s := &Service{view: vm.view, clock: vm.clock, logger: vm.logger, keyCaller: panickingKeyCaller{}, guard: panics.New(vm.logger, registry)}
	manager := keyspace.New(keyConfig(fleet.ShortestHold), []keyspace.Assignment{{From: 0, To: keyspace.Keys - 1, Owner: holder, Fence: 1}}, 0)
	l := s.newLeadership("s", manager)
	calls := l.dueCalls()
	require.Len(t, calls, 1)
	l.perform(context.Background(), calls[0])
	assert.EqualValues(t, 1, metrics.GetOrRegisterCounter(panics.CounterName, registry).Count())
	time.Sleep(time.Millisecond)
	assert.Positive(t, manager.FailingFor(l.now(), holder), "the call counts as unanswered")
}
