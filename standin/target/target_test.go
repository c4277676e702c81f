package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is a target with a clock that the test advances.
type fixture struct {
	*Server
	t   *testing.T
	url string
	now atomic.Int64
}

func startTarget(t *testing.T, cfg Config) *fixture {
	f := &fixture{t: t}
	f.now.Store(int64(10 * time.Second))
	cfg.Name, cfg.Clock = "t1", func() time.Duration { return time.Duration(f.now.Load()) }
	f.Server = New(cfg)
	srv := httptest.NewServer(f.Server)
	t.Cleanup(srv.Close)
	t.Cleanup(f.Close)
	f.url = srv.URL
	return f
}

func (f *fixture) advance(d time.Duration) { f.now.Add(int64(d)) }

func (f *fixture) grant(sequence uint64, echo int64, shards ...ShardFence) GrantReply {
	status, reply := f.Grant(Grant{Term: 1, Sequence: sequence, EchoMS: echo, LeaseMS: 1200, DispatchEpoch: 1, Shards: shards})
	require.Equal(f.t, http.StatusOK, status)
	return reply
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) send(method string, header ...string) response {
	// The transport retries a request with an idempotency key if its connection
	// is closed, unless it cannot rewind the body. NopCloser prevents rewinding.
	body := io.NopCloser(strings.NewReader("hello"))
	req, err := http.NewRequest(method, f.url+"/fields/k1", body)
	require.NoError(f.t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// write sends a write to shard 7 with the idempotency key i1.
func (f *fixture) write(fence, epoch uint64, header ...string) response {
	return f.send(http.MethodPost, append(header, HeaderShard, "7", HeaderFence, fmt.Sprint(fence),
		HeaderDispatchEpoch, fmt.Sprint(epoch), HeaderIdempotency, "i1")...)
}

func (f *fixture) awaitRunning(n int) {
	require.Eventually(f.t, func() bool { return f.Stats().Running == n }, 5*time.Second, time.Millisecond)
}

// Guards against accepting a grant of a deposed manager with an older term, a
// grant out of sequence, an echo ahead of the clock, and a lower fence.
func TestOlderGrantsAreRefused(t *testing.T) {
	f := startTarget(t, Config{})
	f.grant(5, 10_000, ShardFence{7, 2048})
	for _, g := range []Grant{{Term: 0, Sequence: 9}, {Term: 1, Sequence: 4}} {
		g.EchoMS, g.LeaseMS, g.Shards = 10_000, 5000, []ShardFence{{8, 1024}}
		status, reply := f.Grant(g)
		require.Equal(t, http.StatusConflict, status)
		require.Equal(t, []ShardFence{{7, 2048}}, reply.Holds)
	}
	status, _ := f.Grant(Grant{Term: 2, EchoMS: 10_001})
	require.Equal(t, http.StatusBadRequest, status, "an echo ahead of the clock would prolong the lease")
	require.Empty(t, f.grant(6, 10_000, ShardFence{7, 1024}).Holds, "the fence is lower than the fence of an earlier grant")
}

// Guards against a delayed renewal that revives an expired lease: a lease starts
// at the echoed clock reading, not at the arrival of the grant.
func TestLeaseCountsFromEcho(t *testing.T) {
	f := startTarget(t, Config{ChecksFences: true})
	f.grant(1, 9_000, ShardFence{7, 1024})
	require.Equal(t, 200, f.write(1024, 1).status)
	f.advance(200 * time.Millisecond)
	require.Equal(t, NotRunNotOwner, f.write(1024, 1).header.Get(HeaderNotRun))
	require.Empty(t, f.grant(2, 9_000, ShardFence{7, 1024}).Holds)
	require.Len(t, f.grant(3, 10_200, ShardFence{7, 1024}).Holds, 1)
	require.Len(t, f.grant(4, 0).Holds, 1, "a query changes no shard")
	require.Empty(t, f.grant(5, 10_200).Holds)
}

// Guards against executing a request with an older fence than the granted one or
// with the epoch of a former dispatcher.
func TestFences(t *testing.T) {
	f := startTarget(t, Config{ChecksFences: true})
	f.grant(1, 10_000, ShardFence{7, 1024})
	require.Equal(t, NotRunFence, f.write(1023, 1).header.Get(HeaderNotRun))
	require.Equal(t, 200, f.write(1024, 3).status)
	require.Equal(t, NotRunFence, f.write(1024, 2).header.Get(HeaderNotRun))
	require.Equal(t, NotRunNotOwner, f.send(http.MethodGet, HeaderDispatchEpoch, "3").header.Get(HeaderNotRun))
	require.Len(t, f.Ledger().Executions, 1)
	require.Equal(t, 1, f.Ledger().Counts["i1"])
}

// Guards against a shard that is reported as released while a request for it is
// still running, and against a new request for a shard that is being released.
func TestBusyShardIsHeldUntilDone(t *testing.T) {
	f := startTarget(t, Config{ChecksFences: true, ServiceTime: time.Hour})
	f.grant(1, 10_000, ShardFence{7, 1024})
	done := make(chan response, 1)
	go func() { done <- f.write(1024, 1, HeaderRequestID, "r1") }()
	f.awaitRunning(1)
	reply := f.grant(2, 10_000)
	require.Equal(t, []ShardFence{{7, 1024}}, reply.Holds)
	require.Equal(t, []int{7}, reply.Busy)
	require.Equal(t, NotRunNotOwner, f.write(1024, 1).header.Get(HeaderNotRun))
	resp, err := http.Post(f.url+"/mangogate/cancel?id=r1", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, NotRunCancelled, (<-done).header.Get(HeaderNotRun))
	require.Empty(t, f.grant(3, 10_000).Holds)
	require.Empty(t, f.Ledger().Executions)
}

// Guards against a write that takes effect although the lease expired while the
// request was running.
func TestNoEffectAfterLeaseEnd(t *testing.T) {
	f := startTarget(t, Config{ChecksFences: true, ServiceTime: 500 * time.Millisecond})
	f.grant(1, 10_000, ShardFence{7, 1024})
	done := make(chan response, 1)
	go func() { done <- f.write(1024, 1) }()
	f.awaitRunning(1)
	f.advance(1200 * time.Millisecond)
	require.Equal(t, NotRunNotOwner, (<-done).header.Get(HeaderNotRun))
	require.Empty(t, f.Ledger().Executions)
}

// Guards against a cold target that survives more requests in flight than
// configured, a crash that leaves the target running, and a restart that keeps
// the boot id, so that senders believe that its grants are still held.
func TestColdTargetFallsOverAndCrashes(t *testing.T) {
	fellOver, crashed := make(chan bool, 1), make(chan bool, 1)
	f := startTarget(t, Config{ServiceTime: time.Hour, ColdCompletions: 10, ColdMaxInFlight: 1,
		OnFallOver: func() { fellOver <- true }, OnCrash: func() { crashed <- true }})
	first := make(chan response, 1)
	go func() { first <- f.write(1, 1) }()
	f.awaitRunning(1)
	require.Error(t, f.write(1, 1).err)
	require.Error(t, (<-first).err)
	require.True(t, <-fellOver)
	require.True(t, f.Stats().FellOver)
	require.Error(t, f.send(http.MethodGet).err, "the target stays stopped until its restart")
	boot := f.BootID()
	f.Restart()
	require.NotEqual(t, boot, f.BootID())
	require.Error(t, f.send(http.MethodGet, DefaultCrashHeader, "1").err)
	require.True(t, <-crashed)
}

// Guards against refusals with a wrong reason. The router treats all of these as
// requests that were not executed.
func TestShedDrainAndDeadline(t *testing.T) {
	f := startTarget(t, Config{Slots: 1, MaxInFlight: 2, ServiceTime: time.Hour})
	go f.write(1, 1)
	f.awaitRunning(1)
	waiting := make(chan response, 1)
	go func() { waiting <- f.write(1, 1, HeaderDeadline, "200") }()
	require.Eventually(t, func() bool { return f.Stats().InFlight == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, NotRunShed, f.write(1, 1).header.Get(HeaderNotRun))
	require.Equal(t, NotRunDeadline, (<-waiting).header.Get(HeaderNotRun))
	f.SetFaults(Faults{Draining: true})
	require.Equal(t, NotRunDraining, f.write(1, 1).header.Get(HeaderNotRun))
}

// Guards against answer faults that do not reach the client as configured: a wrong
// request id, a truncated body, and a duplicate answer.
func TestAnswerFaults(t *testing.T) {
	f := startTarget(t, Config{})
	got := f.write(1, 1, HeaderRequestID, "r1", HeaderAnswerBytes, "1000")
	var answer Answer
	require.NoError(t, json.Unmarshal([]byte(got.body), &answer))
	require.Equal(t, "k1", answer.Key)
	require.Equal(t, uint64(1), answer.Counter)
	require.Len(t, answer.Padding, 1000)
	require.Equal(t, "r1", got.header.Get(HeaderRequestID))
	f.SetFaults(Faults{WrongRequestID: 1})
	require.Equal(t, "r1", f.write(1, 1, HeaderRequestID, "r2").header.Get(HeaderRequestID))
	f.SetFaults(Faults{ShortBody: 1})
	require.ErrorIs(t, f.write(1, 1).err, io.ErrUnexpectedEOF)
	f.SetFaults(Faults{DuplicateAnswer: 1})
	require.Equal(t, "r3", f.write(1, 1, HeaderRequestID, "r3").header.Get(HeaderRequestID))
	require.Equal(t, "r3", f.write(1, 1, HeaderRequestID, "r4").header.Get(HeaderRequestID), "r4 gets the answer to r3")
	require.Len(t, f.Ledger().Executions, 4, "r4 is not executed")
}

// Guards against load reports that show a newer load than LoadLag allows.
func TestLoadLags(t *testing.T) {
	f := startTarget(t, Config{ServiceTime: time.Hour, LoadLag: time.Hour})
	read := func() (load Load) {
		resp, err := http.Get(f.url + "/mangogate/load")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&load))
		return load
	}
	require.Equal(t, 0, read().InFlight)
	go f.write(1, 1)
	f.awaitRunning(1)
	require.Equal(t, 0, read().InFlight)
}
