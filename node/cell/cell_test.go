package cell

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/view"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// memoryStore is a view.Store that keeps the system's log in memory.
type memoryStore struct {
	mu          sync.Mutex
	log         []view.Change
	lostReplies int // number of appends still to be carried out without acknowledgement
	down        bool
	era         int64 // incremented by restore
}

func (s *memoryStore) Newest(ctx context.Context, l view.Log) ([]view.Change, int64, error) {
	s.mu.Lock()
	start := view.PositionOf(s.era, 0)
	s.mu.Unlock()
	return s.Read(ctx, l, start, 0)
}

func (s *memoryStore) Read(_ context.Context, l view.Log, from int64, _ time.Duration) ([]view.Change, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down || l != view.System:
		return nil, 0, view.ErrRefused
	case view.Era(from) != s.era || view.RawOffset(from) > int64(len(s.log)):
		return nil, 0, view.ErrHistoryGone
	}
	changes := append([]view.Change(nil), s.log[view.RawOffset(from):]...)
	for i := range changes {
		changes[i].Offset = view.PositionOf(s.era, changes[i].Offset)
	}
	return changes, view.PositionOf(s.era, int64(len(s.log))), nil
}

// restore makes the store lose all records but the first n.
func (s *memoryStore) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.era, s.down = s.log[:n:n], s.era+1, false
}

// size returns the number of records.
func (s *memoryStore) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.log)
}

func (s *memoryStore) Append(_ context.Context, c view.Change, end int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, view.ErrRefused
	case end != view.AnyOffset && view.RawOffset(end) != int64(len(s.log)):
		return 0, view.ErrConflict
	}
	c.Log, c.Offset = view.System, int64(len(s.log))
	s.log = append(s.log, c)
	position := view.PositionOf(s.era, c.Offset)
	if end != view.AnyOffset && end != position {
		return 0, view.ErrOutcomeUnknown
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, view.ErrOutcomeUnknown
	}
	return position, nil
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// cellRecords returns how many cell records were appended.
func (s *memoryStore) cellRecords() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.log {
		if c.Cell != nil {
			n++
		}
	}
	return n
}

// acceptAll implements KeyCaller with targets that accept all grants and releases.
type acceptAll struct{}

func (acceptAll) Grant(_ context.Context, _ KeyCall, beforeSend func() error) (keyspace.CallResult, error) {
	if err := beforeSend(); err != nil {
		return keyspace.NotSent, err
	}
	return keyspace.Accepted, nil
}

func (acceptAll) Release(context.Context, KeyCall) (string, keyspace.CallResult, error) {
	return "h", keyspace.Accepted, nil
}

type testVM struct {
	*Service
	server     *peer.Server
	disconnect func() // stops its RPC server, so that no other VM reaches it
	stop       context.CancelFunc
}

// processLoopback returns a loopback address that other test processes don't use: they
// could take a port between its choice and the start of the VM.
func processLoopback() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid)|1).String()
}

// usedAddresses holds the addresses that unusedAddress has returned.
var usedAddresses sync.Map

// unusedAddress returns an address on which nobody listens. It returns each only once: tests run
// in parallel, and one could choose the port of another between its choice and its use.
func unusedAddress(t *testing.T) string {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(processLoopback(), "0"))
		require.NoError(t, err)
		address := l.Addr().String()
		l.Close()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// startVM starts a VM that is registered in the store and stops when the test ends.
func startVM(t *testing.T, id string, store view.Store) *testVM {
	return startProcess(t, id, "boot-"+id, store)
}

// startProcess starts a process of a VM; see startVM.
func startProcess(t *testing.T, id, boot string, store view.Store) *testVM {
	address := unusedAddress(t)
	c, registry, logger := clock.New(), metrics.NewRegistry(), hclog.NewNullLogger()
	v := view.New(c.Now, logger)
	v.Apply(view.Operators, []view.Change{{Log: view.Operators, Key: "config", Config: &fleet.Config{
		Version: 1, Services: []fleet.Service{{Name: "s", Keyed: true}},
	}}}, 1, c.Now())
	v.Apply(view.Targets, []view.Change{{Log: view.Targets, Key: "t", Target: &fleet.Target{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "z", Slots: 3}}}, 1, c.Now())
	self := fleet.VM{ID: id, PeerAddress: address, Boot: boot, Cores: 1, Registration: registrations(t, store, id) + 1}
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey(id), VM: &self}, view.AnyOffset)
	require.NoError(t, err)
	server := peer.NewServer(address, nil, nil, logger, registry)
	client := peer.NewClient(nil, nil, registry)
	client.Options = peer.Options{Connections: 1, NoPings: true}
	s, err := New(Config{Self: self, View: v, Store: store, KeyCaller: acceptAll{}, Clock: c, Peers: client, Server: server, Logger: logger, Registry: registry})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	vm := &testVM{Service: s, server: server}
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			_ = s.readSystem(ctx) // fails while the test has the store down
			time.Sleep(30 * time.Millisecond)
		}
	})
	require.NoError(t, server.Start(ctx))
	require.NoError(t, s.Start(ctx))
	vm.disconnect = sync.OnceFunc(func() { assert.NoError(t, server.Stop(context.Background())) })
	var once sync.Once
	vm.stop = func() {
		once.Do(func() {
			cancel()
			wg.Wait()
			assert.NoError(t, s.Stop(context.Background()))
			vm.disconnect()
			assert.NoError(t, client.Stop(context.Background()))
		})
	}
	t.Cleanup(vm.stop)
	return vm
}

// registrations returns the number of the newest registration of a VM in a store, 0 if none.
func registrations(t *testing.T, store view.Store, id string) int64 {
	newest, _, err := store.Newest(context.Background(), view.System)
	require.NoError(t, err)
	var n int64
	for _, c := range newest {
		if c.VM != nil && c.VM.ID == id {
			n = max(n, c.VM.Registration)
		}
	}
	return n
}

// leaders returns the VMs that lead the cell.
func leaders(vms []*testVM) []*testVM {
	var out []*testVM
	for _, vm := range vms {
		if vm.leadershipOf("s") != nil {
			out = append(out, vm)
		}
	}
	return out
}

// Guards against a cell that stays without a leader. The leader of three VMs is stopped,
// then its successor, until none is left; even the last VM must take over.
func TestLastVMLeads(t *testing.T) {
	store := &memoryStore{}
	var vms []*testVM
	for i := range 3 {
		vms = append(vms, startVM(t, fmt.Sprintf("vm-%d", i), store))
	}
	for remaining := 3; remaining > 0; remaining-- {
		require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 20*time.Millisecond, "no leader with %d VMs remaining", remaining)
		lost := leaders(vms)[0]
		lost.stop()
		for i, vm := range vms {
			if vm == lost {
				vms = append(vms[:i:i], vms[i+1:]...)
				break
			}
		}
	}
}

// Guards against a duplicate claim when the store carries out an append but its answer
// is lost. The VM must find its record in the log and lead, without writing it again.
func TestClaimWithLostAnswerIsNotRepeated(t *testing.T) {
	store := &memoryStore{}
	vm := startVM(t, "vm-0", store)
	store.mu.Lock()
	store.lostReplies = 1
	store.mu.Unlock()
	require.Eventually(t, func() bool { return vm.leadershipOf("s") != nil }, 5*time.Second, 20*time.Millisecond)
	c, _ := vm.view.Cell("s")
	assert.Equal(t, "vm-0", c.Leader)
	assert.LessOrEqual(t, store.cellRecords(), 3, "more records than the claim and the first assignments")
}

// Guards against two leaders that grant the same keys. If the store does not confirm a
// leader and too few VMs support it, another VM may have become the leader, so the
// first one must stop granting within its lease.
func TestLeaderWithoutConfirmationGrantsNothing(t *testing.T) {
	store := &memoryStore{}
	leader, others := startLeader(t, store, 2)
	l := leader.leadershipOf("s")
	require.NoError(t, l.mayGrant())
	store.setDown(true)
	others[0].stop()
	require.Eventually(t, func() bool { return l.mayGrant() != nil }, leaderLease+time.Second, 20*time.Millisecond)
}

// Guards against requests that fail because the leader is lost. A VM gets slots from
// the leader while the leader works, and must lend locally as soon as the leader is
// lost.
func TestLendingGoesOnWithoutLeader(t *testing.T) {
	store := &memoryStore{}
	vms := []*testVM{startVM(t, "vm-0", store), startVM(t, "vm-1", store)}
	require.Eventually(t, func() bool { return len(leaders(vms)) == 1 }, 8*time.Second, 20*time.Millisecond)
	leader, other := leaders(vms)[0], vms[0]
	if leader == other {
		other = vms[1]
	}
	lend := func() Slot {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		slot, err := other.AcquireSlot(ctx, LendArgs{Service: "s", VM: other.self.ID, Route: "r", Idempotent: true,
			Objective: 300 * time.Millisecond, Deadline: time.Second, Key: 5})
		require.NoError(t, err)
		return slot
	}
	require.Eventually(t, func() bool {
		slot := lend()
		other.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		return slot.Lent && slot.DecidedBy == leader.self.ID
	}, 5*time.Second, 50*time.Millisecond)
	leader.stop()
	slot := lend()
	assert.True(t, slot.Lent, "%s", slot.Reason)
	assert.Equal(t, other.self.ID, slot.DecidedBy)
}

// Guards against requests that wait until their deadline. The leader is lost and its key
// grants may have expired, so requests wait in the local queues of the other VMs. They
// must ask the new leader as soon as there is one.
func TestWaitingRequestsAskTheNextLeader(t *testing.T) {
	store := &memoryStore{}
	first := startVM(t, "a", store)
	require.Eventually(t, func() bool { return first.leadershipOf("s") != nil }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { // until its keys are granted
		slot, err := first.AcquireSlot(context.Background(), newLendArgs(first))
		first.Return(slot, lending.Usage{Result: lending.Answered, Took: time.Millisecond})
		return err == nil && slot.Lent
	}, 5*time.Second, 10*time.Millisecond)
	// The first VM is lost without a handover and is registered with a new process at
	// once. The other VMs then see that the leader's process has ended, and that they
	// have themselves started too recently to trust the grants in its record.
	first.stop()
	restarted := fleet.VM{ID: "a", PeerAddress: "127.0.0.1:1", Boot: "later", Cores: 1}
	_, err := store.Append(context.Background(), view.Change{Key: view.VMKey("a"), VM: &restarted}, view.AnyOffset)
	require.NoError(t, err)
	vms := []*testVM{startVM(t, "b", store), startVM(t, "c", store)}
	for _, vm := range vms {
		require.Eventually(t, vm.view.Ready, time.Second, time.Millisecond)
		a := newLendArgs(vm)
		a.Objective, a.Deadline = 1500*time.Millisecond, 3*time.Second
		slot, err := vm.AcquireSlot(context.Background(), a)
		require.NoError(t, err)
		assert.True(t, slot.Lent, "refused: %s", slot.Reason)
		lentByLeader := slot.leader != "" || slot.lenderDriver != nil && slot.lenderDriver.keys != nil
		assert.True(t, lentByLeader, "the slot was lent locally instead of by a leader")
	}
}
