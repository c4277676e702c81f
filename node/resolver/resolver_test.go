package resolver

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/dispatch"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

var (
	key     = []byte("0123456789abcdef")
	pool    = inventory.Service{Name: "bookings", Ownership: inventory.OwnershipPool}
	refusal = dispatch.Result{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonQueueFull}
)

// fakeDispatcher is a dispatcher on another VM.
type fakeDispatcher struct {
	address  string
	server   *peer.Server
	received chan string // request ids
	answer   func() dispatch.Result
}

// Submit implements the RPC method of a dispatcher.
func (f *fakeDispatcher) Submit(req *dispatch.Request, result *dispatch.Result) error {
	f.received <- req.ID
	*result = f.answer()
	return nil
}

// startFakeDispatcher starts a dispatcher that returns the result of answer.
func startFakeDispatcher(t *testing.T, answer func() dispatch.Result) *fakeDispatcher {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	f := &fakeDispatcher{address: l.Addr().String(), received: make(chan string, 100), answer: answer}
	f.server = peer.NewServer(f.address, key, nil, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(t, f.server.Register("Dispatch", f))
	require.NoError(t, f.server.Start(t.Context()))
	return f
}

func newResolver(t *testing.T) *Resolver {
	t.Helper()
	c, events, registry := clock.New(), timeline.New("entry"), metrics.NewRegistry()
	r := New("entry", c, events, registry)
	r.maps = mapstore.New(c, events, hclog.NewNullLogger(), "boot")
	r.peers = peer.NewClient(key, nil, registry)
	t.Cleanup(func() { _ = r.peers.Stop(context.Background()) }) // returns no error
	return r
}

// installMap installs a map in which f dispatches the group.
func (r *Resolver) installMap(t *testing.T, sequence uint64, f *fakeDispatcher) {
	t.Helper()
	m := &shardmap.Map{Term: 1, Sequence: sequence, Peers: map[string]string{"d": f.address},
		Groups: map[string]shardmap.Group{pool.Name: {Dispatcher: "d", Active: true, Epoch: sequence}}}
	require.NoError(t, r.maps.Install(&mapstore.InstallArgs{Term: 1, Sequence: sequence, Map: m}, &mapstore.InstallReply{}))
}

// Guards against a write that is reported as not run although a dispatcher was lost
// while it had the request, because the next dispatcher refuses the resubmission.
func TestDispatcherLostWithTheRequest(t *testing.T) {
	for _, tc := range []struct {
		name        string
		req         dispatch.Request
		want        dispatch.Outcome
		resubmitted bool
	}{
		{"write without a key", dispatch.Request{}, dispatch.OutcomeUnknown, false},
		{"write with a key", dispatch.Request{IdempotencyKey: "k"}, dispatch.OutcomeUnknown, true},
		{"read", dispatch.Request{Read: true}, dispatch.OutcomeNotRun, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newResolver(t)
			release := make(chan struct{})
			first := startFakeDispatcher(t, func() dispatch.Result { <-release; return refusal })
			second := startFakeDispatcher(t, func() dispatch.Result { return refusal })
			defer func() { _ = second.server.Stop(t.Context()) }() // the test has ended
			r.installMap(t, 1, first)
			req := tc.req
			req.ID, req.Remaining = "1", 5*time.Second
			done := make(chan *dispatch.Result, 1)
			go func() { done <- r.Resolve(t.Context(), pool, &req) }()
			<-first.received
			r.installMap(t, 2, second)
			go func() { _ = first.server.Stop(context.Background()) }() // closes the connection at once; returns after release is closed
			result := <-done
			close(release)
			require.Equal(t, tc.want, result.Outcome, result)
			require.Equal(t, tc.resubmitted, len(second.received) == 1)
		})
	}
}

// Guards against a write that is reported as not run at its deadline although a
// dispatcher that did not answer may have run it, and against one that is reported as
// unknown although it was never sent.
func TestDeadlineWithoutDispatcher(t *testing.T) {
	r := newResolver(t)
	req := &dispatch.Request{ID: "1", Remaining: 50 * time.Millisecond}
	require.Equal(t, dispatch.OutcomeNotRun, r.Resolve(t.Context(), pool, req).Outcome)

	slow := startFakeDispatcher(t, func() dispatch.Result { time.Sleep(300 * time.Millisecond); return refusal })
	defer func() { _ = slow.server.Stop(context.Background()) }() // the test has ended
	r.installMap(t, 1, slow)
	req = &dispatch.Request{ID: "2", Remaining: 50 * time.Millisecond, IdempotencyKey: "k"}
	require.Equal(t, dispatch.OutcomeUnknown, r.Resolve(t.Context(), pool, req).Outcome)
}
