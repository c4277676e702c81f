package replica

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const testTimeout = 20 * time.Second

// startReplica starts a replica that reads f and stops when the test ends.
func startReplica(t *testing.T, f *fakeLog, writer string, logger hclog.Logger) *Replica {
	t.Helper()
	r := New(Config{Log: logclient.New(logclient.Config{BaseURL: f.URL, Timeout: testTimeout}), Writer: writer, Logger: logger})
	require.NoError(t, r.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, r.Stop(context.Background())) })
	return r
}

// drain returns a record that takes a VM out of service.
func drain(name string) control.Record {
	return control.Record{Drain: &control.DrainChange{Scope: control.ScopeVM, Name: name, Out: true}}
}

// appendAll appends n records concurrently and requires that all are accepted.
func appendAll(t *testing.T, r *Replica, n int) {
	t.Helper()
	var group errgroup.Group
	for i := range n {
		group.Go(func() error {
			v, err := r.Append(context.Background(), drain(fmt.Sprint("v", i)))
			if err == nil && !v.Accepted {
				err = fmt.Errorf("record %d was rejected: %s", i, v.Reason)
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, time.Millisecond)
}

// Guards against a wrong verdict when requests or replies are lost, appends are
// stored twice, pages repeat records, and calls overlap: each record must be
// accepted exactly once.
func TestAppendIsExactWithLostAnswersAndDuplicates(t *testing.T) {
	f := newFakeLog(t)
	f.redelivered = 2
	f.onAppend = func(n int) (int, int) {
		return [...]int{1, 1, 0, 2, 2, 0}[n%6], [...]int{200, 0, 0, 200, 0, 500}[n%6]
	}
	r := startReplica(t, f, "w", nil)
	appendAll(t, r, 30)
	accepted, replay := 0, control.NewState()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.streams[ControlStream] {
		if replay.ApplyBytes(e.Offset, e.Data).Accepted {
			accepted++
		}
	}
	require.Equal(t, 30, accepted)
	require.Positive(t, r.counters.appendsRepeated.Count())
}

// Guards against reporting the verdict of the second copy of a record. The first
// append gets no reply and is stored only when the record is appended again.
func TestAppendThatTakesEffectLate(t *testing.T) {
	f := newFakeLog(t)
	f.onAppend = func(n int) (int, int) { // the first copy is stored directly before the second
		return [...]int{0, 0, 2, 1}[n], [...]int{0, 0, 200, 200}[n]
	}
	f.streams[ControlStream] = []logclient.Record{{Offset: 0, Data: []byte(`{}`)}}
	r := startReplica(t, f, "w", nil)
	v, err := r.Append(context.Background(), drain("v"))
	require.NoError(t, err)
	require.Equal(t, control.Verdict{Offset: 1, Accepted: true}, v)
	v, err = r.Append(context.Background(), drain("v"))
	require.NoError(t, err)
	require.Equal(t, control.ReasonBase, v.Reason)
	require.EqualValues(t, 2, v.Current)
}

// Guards against reporting an unknown outcome as known, or a known one as unknown,
// when an append is refused, gets no reply, or cannot be read back in time.
func TestAppendWithoutVerdict(t *testing.T) {
	f := newFakeLog(t)
	r := startReplica(t, f, "w", nil)
	eventually(t, r.Ready)
	var outcome *OutcomeError
	_, err := r.Append(context.Background(), control.Record{})
	require.ErrorAs(t, err, &outcome)
	require.False(t, outcome.Unknown, "a record without a body must not be sent")
	f.locked(func() { f.onAppend = func(int) (int, int) { return 0, 400 } })
	_, err = r.Append(context.Background(), drain("v"))
	require.ErrorAs(t, err, &outcome)
	require.False(t, outcome.Unknown)
	for _, status := range []int{0, 200} {
		f.locked(func() {
			f.appends = 0
			f.onAppend = func(int) (int, int) { return 0, status }
			f.onRead = func() int { return 503 }
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err = r.Append(ctx, drain("v"))
		cancel()
		require.ErrorAs(t, err, &outcome)
		require.True(t, outcome.Unknown)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		f.locked(func() { require.Equal(t, 1, f.appends, "the record was appended again without reading the log first") })
	}
}

// Guards against a replica that never recovers when the log service cannot be
// reached at startup: the first reads fail, and later ones succeed.
func TestOutageAtStart(t *testing.T) {
	f := newFakeLog(t)
	reads := 0
	f.onRead = func() int { reads++; return min(reads/4, 1) * 200 }
	f.add(ControlStream, []byte(`{"writer":"x","seq":1,"term":{"term":7,"manager":"m"}}`))
	changes := make(chan struct{}, 1)
	r := New(Config{Log: logclient.New(logclient.Config{BaseURL: f.URL}), Writer: "w", OnChange: func() { changes <- struct{}{} }})
	changed := r.Changed()
	require.NoError(t, r.Start(context.Background()))
	require.False(t, r.Ready())
	eventually(t, r.Ready)
	<-changed
	<-changes
	require.EqualValues(t, 3, r.counters.readErrors.Count())
	require.Less(t, r.Lag(), testTimeout)
	r.View(func(s *control.State) {
		term, manager := s.Term()
		require.EqualValues(t, 7, term)
		require.Equal(t, "m", manager)
	})
	require.NoError(t, r.Stop(context.Background()))
}

// Guards against a new VM accepting a state with missing records, an incomplete
// snapshot, or one that ends before the first record that the log retains.
func TestRetentionPassed(t *testing.T) {
	f := newFakeLog(t)
	writer := startReplica(t, f, "w", nil)
	appendAll(t, writer, 10)
	f.locked(func() { f.expire(ControlStream, 8) })
	var logOutput bytes.Buffer
	newVM := startReplica(t, f, "b", hclog.New(&hclog.LoggerOptions{Output: &logOutput}))
	eventually(t, func() bool { return newVM.counters.snapshotAbsent.Count() > 2 })
	require.False(t, newVM.Ready())
	require.Error(t, newVM.WriteSnapshot(context.Background()))

	n := 0
	f.locked(func() { // the first chunk is stored but gets no reply, so it is written again
		f.onAppend = func(int) (int, int) { n++; return 1, min(n-1, 1) * 200 }
	})
	require.True(t, writer.SnapshotDue())
	require.NoError(t, writer.WriteSnapshot(context.Background()))
	require.False(t, writer.SnapshotDue())
	eventually(t, newVM.Ready)
	require.Equal(t, 1, strings.Count(logOutput.String(), "ERROR"), logOutput.String())

	incomplete, err := control.Chunks(control.Snapshot{Format: 1, Next: 99}, "half", 400)
	require.NoError(t, err)
	data, err := incomplete[0].Encode()
	require.NoError(t, err)
	f.locked(func() { f.add(SnapshotStream, data); f.expire(ControlStream, 10) })
	late := startReplica(t, f, "l", nil)
	eventually(t, late.Ready)
	writer.View(func(want *control.State) {
		late.View(func(got *control.State) { require.Equal(t, want, got) })
	})

	f.locked(func() {
		f.add(ControlStream, []byte(`{}`))
		f.add(ControlStream, []byte(`{}`))
		f.expire(ControlStream, 11)
	})
	behind := startReplica(t, f, "g", nil)
	eventually(t, func() bool { return behind.counters.snapshotAbsent.Count() > 0 })
	require.Zero(t, behind.counters.snapshotsLoaded.Count(), "the snapshot does not reach the first retained record")
}
