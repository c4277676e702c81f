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
	group   = "bookings"
	enough  = 5 * time.Second
	soon    = 200 * time.Millisecond
	theHash = uint64(7)
)

// vm is the part of a VM that keeps write intents.
type vm struct {
	name, address string
	clock         *clock.Clock
	maps          *mapstore.Store
	ledger        *Ledger
	kernel        *kernel.Kernel
}

func startVM(t *testing.T, name string) *vm {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	key, registry, log := []byte("0123456789abcdef"), metrics.NewRegistry(), hclog.NewNullLogger()
	v := &vm{name: name, address: l.Addr().String(), clock: clock.New(), kernel: kernel.New()}
	events := timeline.New(name)
	v.maps = mapstore.New(v.clock, events, log, name)
	v.ledger = New(name, v.clock, events, log, registry)
	require.NoError(t, v.kernel.Register(
		peer.NewServer(v.address, key, nil, log, registry), peer.NewClient(key, nil, registry), v.maps, v.ledger))
	require.NoError(t, v.kernel.Start(t.Context()))
	t.Cleanup(v.stop)
	return v
}

func (v *vm) stop() { _ = v.kernel.Stop(context.Background()) } // stopped twice at worst

// install puts a map in force in which the first VM keeps the group and the
// others hold copies.
func install(t *testing.T, epoch uint64, vms ...*vm) {
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

func (v *vm) install(t *testing.T, m *shardmap.Map) {
	t.Helper()
	args := &mapstore.InstallArgs{Term: m.Term, Sequence: m.Sequence, Map: m, Echo: v.clock.Now(), BootID: v.name, Lease: time.Minute}
	require.NoError(t, v.maps.Install(args, &mapstore.InstallReply{}))
}

// waitComplete waits until the copy of a VM is complete at an epoch.
func (v *vm) waitComplete(t *testing.T, epoch uint64) {
	t.Helper()
	b := v.ledger.lookup(group)
	require.Eventually(t, func() bool { return b.report().Epoch == epoch }, enough, time.Millisecond)
}

func (v *vm) begin(attempt string, remaining time.Duration) BeginReply {
	return v.ledger.Begin(context.Background(), BeginArgs{Group: group, Key: "k", Fingerprint: theHash, Attempt: attempt, Remaining: remaining})
}

func (v *vm) finish(attempt string, outcome Outcome) {
	f := FinishArgs{Group: group, Key: "k", Attempt: attempt, Outcome: outcome}
	if outcome == OutcomeDone {
		f.Answer = &dedupe.Answer{Status: 200, Body: []byte("whole")}
	}
	v.ledger.Finish(f)
}

// Guards against a late message that ends an earlier attempt: it must not let a
// write run again beside a later attempt that is in flight.
func TestLateEndOfAnEarlierAttempt(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", enough).Decision)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, Run, v.begin("second", enough).Decision)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, Unknown, v.begin("third", soon).Decision, "the second attempt is in flight")
	v.finish("second", OutcomeDone)
	require.Equal(t, Replay, v.begin("fourth", soon).Decision)
}

// Guards against an attempt that begins after the VM that asked for it has given
// it up: nobody would end it, and repeats of the write would be unknown.
func TestAttemptGivenUpWhileItWaits(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", enough).Decision)
	waiting := make(chan Decision, 1)
	go func() { waiting <- v.begin("second", enough).Decision }()
	v.finish("second", OutcomeNotRun)
	v.finish("first", OutcomeNotRun)
	require.Equal(t, Moved, <-waiting)
	require.Equal(t, Run, v.begin("third", enough).Decision)
}

// Guards against a repeat that runs beside the first attempt or gets another
// answer.
func TestRepeatWaitsForTheAnswer(t *testing.T) {
	v := startVM(t, "a")
	install(t, 1, v)
	require.Equal(t, Run, v.begin("first", enough).Decision)
	repeat := make(chan BeginReply, 1)
	go func() { repeat <- v.begin("second", enough) }()
	select {
	case r := <-repeat:
		require.Fail(t, "the repeat did not wait", "%v", r.Decision)
	case <-time.After(soon):
	}
	v.finish("first", OutcomeDone)
	r := <-repeat
	require.Equal(t, Replay, r.Decision)
	require.Equal(t, "whole", string(r.Answer.Body))
}

// Guards against a second run after the loss of the keeper and one copy: the
// copy that is left knows of the write, and its answer if there was one.
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
			require.Equal(t, Run, a.begin("first", enough).Decision)
			if tc.outcome != 0 {
				a.finish("first", tc.outcome)
				copied := a.ledger.lookup(group)
				require.Eventually(t, func() bool { return !copied.report().Busy }, enough, time.Millisecond)
			}
			a.stop()
			b.stop()
			install(t, 2, c)
			require.Equal(t, tc.want, c.begin("second", enough).Decision)
		})
	}
}

// Guards against a write that is sent before every copy knows of it.
func TestIntentThatIsNotCopiedIsNotSent(t *testing.T) {
	a, b := startVM(t, "a"), startVM(t, "b")
	install(t, 1, a, b)
	b.waitComplete(t, 1)
	b.stop()
	require.Equal(t, NotRecorded, a.begin("first", soon).Decision)
	install(t, 2, a) // the copy is replaced
	require.Equal(t, Run, a.begin("second", enough).Decision)
}

// Guards against a keeper that was paused while another took over: the copies
// refuse its intents, so that it may not send.
func TestKeeperThatWasReplacedMayNotSend(t *testing.T) {
	a, b, c := startVM(t, "a"), startVM(t, "b"), startVM(t, "c")
	install(t, 1, a, b, c)
	c.waitComplete(t, 1)
	b.waitComplete(t, 1)
	install(t, 2, b, c)
	require.Equal(t, Run, b.begin("second", enough).Decision)
	require.NotEqual(t, Run, a.begin("first", soon).Decision)
}
