package ledger

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/kernel"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

const (
	group       = "bookings"
	longWait    = 5 * time.Second
	shortWait   = 200 * time.Millisecond
	fingerprint = uint64(7)
)

// testVM is the part of a VM that stores write intents.
type testVM struct {
	name, address string
	clock         *clock.Clock
	maps          *mapstore.Store
	ledger        *Ledger
	kernel        *kernel.Kernel
}

func startVM(t *testing.T, name string) *testVM {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	key, registry, log := []byte("0123456789abcdef"), metrics.NewRegistry(), hclog.NewNullLogger()
	v := &testVM{name: name, address: l.Addr().String(), clock: clock.New(), kernel: kernel.New()}
	events := timeline.New(name)
	v.maps = mapstore.New(v.clock, events, log, name)
	v.ledger = New(name, v.clock, events, log, registry)
	require.NoError(t, v.kernel.Register(
		peer.NewServer(v.address, key, nil, log, registry), peer.NewClient(key, nil, registry), v.maps, v.ledger))
	require.NoError(t, v.kernel.Start(t.Context()))
	t.Cleanup(v.stop)
	return v
}

func (v *testVM) stop() { _ = v.kernel.Stop(context.Background()) } // the error of a second stop does not matter

// install installs a map, on all given VMs, in which the first one dispatches
// the group and the others hold copies.
func install(t *testing.T, epoch uint64, vms ...*testVM) {
	t.Helper()
	m := &shardmap.Map{Term: 1, Sequence: epoch, Peers: map[string]string{}, Groups: map[string]shardmap.Group{}}
	g := shardmap.Group{Dispatcher: vms[0].name, DispatcherBoot: vms[0].name, Active: true, Epoch: epoch}
	for i, v := range vms {
		m.Peers[v.name] = v.address
		if i > 0 {
			g.Copies = append(g.Copies, v.name)
		}
	}
	m.Groups[group] = g
	for _, v := range vms {
		v.install(t, m)
	}
}

func (v *testVM) install(t *testing.T, m *shardmap.Map) {
	t.Helper()
	args := &mapstore.InstallArgs{Term: m.Term, Sequence: m.Sequence, Map: m, Echo: v.clock.Now(), BootID: v.name, Lease: time.Minute}
	require.NoError(t, v.maps.Install(args, &mapstore.InstallReply{}))
}

// waitComplete waits until the copy of a VM is complete at an epoch.
func (v *testVM) waitComplete(t *testing.T, epoch uint64) {
	t.Helper()
	store := v.ledger.storeFor(group)
	require.Eventually(t, func() bool { return store.report().Epoch == epoch }, longWait, time.Millisecond)
}

func (v *testVM) begin(attempt string, remaining time.Duration) BeginReply {
	return v.ledger.Begin(context.Background(), BeginArgs{Group: group, Key: "k", Fingerprint: fingerprint, Attempt: attempt, Remaining: remaining})
}

func (v *testVM) finish(attempt string, outcome Outcome) {
	f := FinishArgs{Group: group, Key: "k", Attempt: attempt, Outcome: outcome}
	if outcome == OutcomeDone {
		f.Answer = &dedupe.Answer{Status: 200, Body: []byte("whole")}
	}
	v.ledger.Finish(f)
}

// Guards against a late Finish of an earlier attempt that ends a later attempt
// in flight: the write could then run twice concurrently.
func TestLateEndOfAnEarlierAttempt(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", longWait).Decision)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, Run, v.begin("second", longWait).Decision)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, Unknown, v.begin("third", shortWait).Decision, "the second attempt is in flight")
	v.finish("second", OutcomeDone)
	require.Equal(t, Replay, v.begin("fourth", shortWait).Decision)
}

// Guards against an attempt that is allowed after the caller has given it up,
// which can happen while it waits for another attempt. No Finish would follow,
// and retries of the write would be answered with Unknown.
func TestAttemptGivenUpWhileItWaits(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", longWait).Decision)
	decision := make(chan Decision, 1)
	go func() { decision <- v.begin("second", longWait).Decision }()
	v.finish("second", OutcomeNotRun)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, NotDispatcher, <-decision)
	require.Equal(t, Run, v.begin("third", longWait).Decision)
}

// Guards against a retry of a write in flight that runs concurrently with the
// first attempt, or that gets a different answer.
func TestRepeatWaitsForTheAnswer(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", longWait).Decision)
	retry := make(chan BeginReply, 1)
	go func() { retry <- v.begin("second", longWait) }()
	select {
	case r := <-retry:
		require.Fail(t, "the retry did not wait for the first attempt", "%v", r.Decision)
	case <-time.After(shortWait):
	}
	v.finish("first", OutcomeDone)
	r := <-retry
	require.Equal(t, Replay, r.Decision)
	require.Equal(t, "whole", string(r.Answer.Body))
}

// Guards against a second run of a write after the loss of the dispatcher and
// one of two copies: the remaining copy has the intent, and the answer if there
// was one.
func TestOneCopyOfThreeIsEnough(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome Outcome
		want    Decision
	}{{"in flight", 0, Unknown}, {"done", OutcomeDone, Replay}, {"not run", OutcomeNotRun, Run}} {
		t.Run(tc.name, func(t *testing.T) {
			a, b, c := startVM(t, "a"), startVM(t, "b"), startVM(t, "c")
			install(t, 1, a, b, c)
			c.waitComplete(t, 1)
			require.Equal(t, Run, a.begin("first", longWait).Decision)
			if tc.outcome != 0 {
				a.finish("first", tc.outcome)
				store := a.ledger.storeFor(group)
				require.Eventually(t, func() bool { return !store.report().Busy }, longWait, time.Millisecond)
			}
			a.stop()
			b.stop()
			install(t, 2, c)
			require.Equal(t, tc.want, c.begin("second", longWait).Decision)
		})
	}
}

// Guards against a write that is sent although a copy could not store its
// intent. After a loss of the dispatcher, that copy would let the write run
// again.
func TestIntentThatIsNotCopiedIsNotSent(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	install(t, 1, a, b)
	b.waitComplete(t, 1)
	b.stop()
	require.Equal(t, NotRecorded, a.begin("first", shortWait).Decision)
	install(t, 2, a) // without the stopped copy
	require.Equal(t, Run, a.begin("second", longWait).Decision)
}

// Guards against a dispatcher that was paused while another took over and that
// goes on to send writes: the copies must refuse its intents, which have an old
// epoch.
func TestReplacedDispatcherMayNotSend(t *testing.T) {
	a, b, c := startVM(t, "a"), startVM(t, "b"), startVM(t, "c")
	install(t, 1, a, b, c)
	c.waitComplete(t, 1)
	b.waitComplete(t, 1)
	install(t, 2, b, c)
	require.Equal(t, Run, b.begin("second", longWait).Decision)
	require.NotEqual(t, Run, a.begin("first", shortWait).Decision)
}
