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

// fake is a dispatcher on another VM.
type fake struct {
	address  string
	server   *peer.Server
	received chan string // request ids
	answer   func() dispatch.Result
}

// Submit implements the dispatcher's call.
func (f *fake) Submit(req *dispatch.Request, result *dispatch.Result) error {
	f.received <- req.ID
	*result = f.answer()
	return nil
}

func startFake(t *testing.T, answer func() dispatch.Result) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	f := &fake{address: l.Addr().String(), received: make(chan string, 100), answer: answer}
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

// dispatchedBy puts a map in force in which one dispatcher has the group.
func (r *Resolver) dispatchedBy(t *testing.T, sequence uint64, f *fake) {
	t.Helper()
	m := &shardmap.Map{Term: 1, Sequence: sequence, Peers: map[string]string{"d": f.address},
		Groups: map[string]shardmap.Group{pool.Name: {Dispatcher: "d", Active: true, Epoch: sequence}}}
	require.NoError(t, r.maps.Install(&mapstore.InstallArgs{Term: 1, Sequence: sequence, Map: m}, &mapstore.InstallReply{}))
}

// Guards against a refusal that is not true: the dispatcher is lost while it has
// the request, and its successor refuses the repeat as not run.
func TestDispatcherLostWithTheRequest(t *testing.T) {
	for _, tc := range []struct {
		name      string
		req       dispatch.Request
		want      dispatch.Outcome
		sentAgain bool
	}{
		{"write without a key", dispatch.Request{}, dispatch.OutcomeUnknown, false},
		{"write with a key", dispatch.Request{IdempotencyKey: "k"}, dispatch.OutcomeUnknown, true},
		{"read", dispatch.Request{Read: true}, dispatch.OutcomeNotRun, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newResolver(t)
			gone := make(chan struct{})
			first := startFake(t, func() dispatch.Result { <-gone; return refusal })
			second := startFake(t, func() dispatch.Result { return refusal })
			defer func() { _ = second.server.Stop(t.Context()) }() // the test has ended
			r.dispatchedBy(t, 1, first)
			req := tc.req
			req.ID, req.Remaining = "1", 5*time.Second
			done := make(chan *dispatch.Result, 1)
			go func() { done <- r.Resolve(t.Context(), pool, &req) }()
			<-first.received
			r.dispatchedBy(t, 2, second)
			go func() { _ = first.server.Stop(context.Background()) }() // ends the connection; waits for gone
			result := <-done
			close(gone)
			require.Equal(t, tc.want, result.Outcome, result)
			require.Equal(t, tc.sentAgain, len(second.received) == 1)
		})
	}
}

// Guards against a refusal that says "not run" at the deadline although a lost
// dispatcher may have run the write, and against "unknown" when nothing was sent.
func TestDeadlineWithoutDispatcher(t *testing.T) {
	r := newResolver(t)
	req := &dispatch.Request{ID: "1", Remaining: 50 * time.Millisecond}
	require.Equal(t, dispatch.OutcomeNotRun, r.Resolve(t.Context(), pool, req).Outcome)

	silent := startFake(t, func() dispatch.Result { time.Sleep(300 * time.Millisecond); return refusal })
	defer func() { _ = silent.server.Stop(context.Background()) }() // the test has ended
	r.dispatchedBy(t, 1, silent)
	req = &dispatch.Request{ID: "2", Remaining: 50 * time.Millisecond, IdempotencyKey: "k"}
	require.Equal(t, dispatch.OutcomeUnknown, r.Resolve(t.Context(), pool, req).Outcome)
}
