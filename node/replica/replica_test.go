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

const patience = 20 * time.Second

func start(t *testing.T, f *fakeLog, writer string, logger hclog.Logger) *Replica {
	t.Helper()
	r := New(Config{Log: logclient.New(logclient.Config{BaseURL: f.URL, Timeout: patience}), Writer: writer, Logger: logger})
	require.NoError(t, r.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, r.Stop(context.Background())) })
	return r
}

func drain(name string) control.Record {
	return control.Record{Drain: &control.DrainChange{Scope: control.ScopeVM, Name: name, Out: true}}
}

func appendAll(t *testing.T, r *Replica, n int) {
	t.Helper()
	var group errgroup.Group
	for i := range n {
		group.Go(func() error {
			v, err := r.Append(context.Background(), drain(fmt.Sprint("v", i)))
			if err == nil && !v.Accepted {
				err = fmt.Errorf("record %d is void: %s", i, v.Reason)
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, time.Millisecond)
}

// Guards against a wrong verdict when answers or requests are lost, appends
// take effect twice, pages are delivered twice, and calls overlap: each record
// is new, so each must be accepted, and exactly once.
func TestAppendIsExactWithLostAnswersAndDuplicates(t *testing.T) {
	f := newFakeLog(t)
	f.repeat = 2
	f.onAppend = func(n int) (int, int) {
		return [...]int{1, 1, 0, 2, 2, 0}[n%6], [...]int{200, 0, 0, 200, 0, 500}[n%6]
	}
	r := start(t, f, "w", nil)
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

// Guards against the verdict of the second copy being reported when the first
// append takes effect only after it was appended again.
func TestAppendThatTakesEffectLate(t *testing.T) {
	f := newFakeLog(t)
	f.onAppend = func(n int) (int, int) { // the first copy lands right before the second
		return [...]int{0, 0, 2, 1}[n], [...]int{0, 0, 200, 200}[n]
	}
	f.streams[ControlStream] = []logclient.Entry{{Offset: 0, Data: []byte(`{}`)}}
	r := start(t, f, "w", nil)
	v, err := r.Append(context.Background(), drain("v"))
	require.NoError(t, err)
	require.Equal(t, control.Verdict{Offset: 1, Accepted: true}, v)
	v, err = r.Append(context.Background(), drain("v"))
	require.NoError(t, err)
	require.Equal(t, control.ReasonBase, v.Reason)
	require.EqualValues(t, 2, v.Winner)
}

// Guards against an outcome that is unknown being reported as known.
func TestAppendWithoutVerdict(t *testing.T) {
	f := newFakeLog(t)
	r := start(t, f, "w", nil)
	eventually(t, r.Ready)
	var outcome *OutcomeError
	_, err := r.Append(context.Background(), control.Record{})
	require.ErrorAs(t, err, &outcome)
	require.False(t, outcome.Unknown, "a record without a body is not sent")
	f.set(func() { f.onAppend = func(int) (int, int) { return 0, 400 } })
	_, err = r.Append(context.Background(), drain("v"))
	require.ErrorAs(t, err, &outcome)
	require.False(t, outcome.Unknown)
	for _, status := range []int{0, 200} {
		f.set(func() {
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
		f.set(func() { require.Equal(t, 1, f.appends, "appended again without a look at the log") })
	}
}

// Guards against a log that is down at the start stopping the process for good.
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
	require.Less(t, r.Lag(), patience)
	r.View(func(s *control.State) {
		term, manager := s.Term()
		require.EqualValues(t, 7, term)
		require.Equal(t, "m", manager)
	})
	require.NoError(t, r.Stop(context.Background()))
}

// Guards against a blank VM, or one that fell behind, taking a state with a gap
// or half a snapshot once early records are gone.
func TestRetentionPassed(t *testing.T) {
	f := newFakeLog(t)
	writer := start(t, f, "w", nil)
	appendAll(t, writer, 10)
	f.set(func() { f.expire(ControlStream, 8) })
	var lines bytes.Buffer
	blank := start(t, f, "b", hclog.New(&hclog.LoggerOptions{Output: &lines}))
	eventually(t, func() bool { return blank.counters.snapshotAbsent.Count() > 2 })
	require.False(t, blank.Ready())
	require.Error(t, blank.WriteSnapshot(context.Background()))

	n := 0
	f.set(func() { // the first chunk takes effect without an answer, and is written again
		f.onAppend = func(int) (int, int) { n++; return 1, min(n-1, 1) * 200 }
	})
	require.True(t, writer.SnapshotDue())
	require.NoError(t, writer.WriteSnapshot(context.Background()))
	require.False(t, writer.SnapshotDue())
	eventually(t, blank.Ready)
	require.Equal(t, 1, strings.Count(lines.String(), "ERROR"), lines.String())

	half, err := control.Chunks(control.Snapshot{Format: 1, Next: 99}, "half", 400)
	require.NoError(t, err)
	data, err := half[0].Encode()
	require.NoError(t, err)
	f.set(func() { f.add(SnapshotStream, data); f.expire(ControlStream, 10) })
	late := start(t, f, "l", nil)
	eventually(t, late.Ready)
	writer.View(func(want *control.State) {
		late.View(func(got *control.State) { require.Equal(t, want, got) })
	})

	f.set(func() {
		f.add(ControlStream, []byte(`{}`))
		f.add(ControlStream, []byte(`{}`))
		f.expire(ControlStream, 11)
	})
	gap := start(t, f, "g", nil)
	eventually(t, func() bool { return gap.counters.snapshotAbsent.Count() > 0 })
	require.Zero(t, gap.counters.snapshotsLoaded.Count(), "the snapshot ends before the first retained record")
}
