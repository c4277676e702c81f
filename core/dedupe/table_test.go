package dedupe

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed so that each run checks the same random histories.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2500", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// historyProperty returns a property that runs random actions on a model. It adds the
// numbers of sent and of answered writes to sent and answered.
func historyProperty(enforceEpochs bool, sent, answered *int) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(enforceEpochs)
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		pick := func(keys map[string]bool) string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(keys))).Draw(t, "key")
		}
		rarity := rapid.IntRange(0, 4).Draw(t, "rarity")
		// rare runs an action with probability 1/(rarity+1).
		rare := func(act func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				if rapid.IntRange(0, rarity).Draw(t, "rare") == 0 {
					act(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { m.now += time.Millisecond; m.check(t) },
			"call": func(t *rapid.T) {
				if i := index(3); m.vms[i].epoch != 0 {
					m.beginWrite(t, i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
				}
			},
			"deliver": func(t *rapid.T) {
				for n := index(4); n >= 0 && len(m.messages) > 0; n-- {
					k := index(len(m.messages))
					msg := m.messages[k]
					if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
						m.messages = slices.Delete(m.messages, k, k+1)
					}
					m.deliver(t, msg)
				}
			},
			"drop": rare(func(t *rapid.T) {
				if len(m.messages) > 0 {
					k := index(len(m.messages))
					m.messages = slices.Delete(m.messages, k, k+1)
				}
			}),
			// A sent write gets its answer, or fails without one.
			"end": func(t *rapid.T) {
				i := index(3)
				v := m.vms[i]
				if len(v.inFlight) == 0 {
					return
				}
				key := pick(v.inFlight)
				if rapid.Bool().Draw(t, "answered") {
					v.table.Complete(m.now, key, Answer{Body: []byte(m.answers[key])})
					delete(v.inFlight, key)
					*answered++
				} else {
					v.table.Fail(m.now, key, false)
				}
				m.copy(i, key)
			},
			// A write that waits for acknowledgements is replicated again or withdrawn.
			"unsent": func(t *rapid.T) {
				i := index(3)
				if len(m.vms[i].acks) == 0 {
					return
				}
				key := rapid.SampledFrom(slices.Sorted(maps.Keys(m.vms[i].acks))).Draw(t, "key")
				if rapid.Bool().Draw(t, "again") {
					m.copy(i, key)
				} else {
					m.withdrawWrite(i, key)
				}
			},
			// A VM restarts with an empty table, and the manager delists it.
			"lose": rare(func(t *rapid.T) {
				i := index(3)
				// Without a complete table, the group could run no new write.
				remaining := slices.DeleteFunc(slices.Clone(m.listed), func(h int) bool { return h == i || !m.vms[h].table.IsComplete() })
				if len(remaining) > 0 {
					m.restartEmpty(i)
					m.listed = slices.DeleteFunc(m.listed, func(h int) bool { return h == i })
					m.epoch++
				}
			}),
			// The manager appoints a listed VM as dispatcher, and may delist a copy holder.
			"move": rare(func(t *rapid.T) {
				k := index(len(m.listed))
				m.epoch++
				m.listed[0], m.listed[k] = m.listed[k], m.listed[0]
				if rapid.Bool().Draw(t, "delist") {
					m.listed = m.listed[:max(1, len(m.listed)-1)]
				}
			}),
			// The appointed VM learns that it is the dispatcher.
			"learn": func(t *rapid.T) { m.becomeDispatcher(m.listed[0]) },
			// A VM learns of the current epoch.
			"observe": rare(func(t *rapid.T) { m.vms[index(3)].table.Observe(m.epoch) }),
			// A VM becomes a copy holder.
			"join": func(t *rapid.T) { m.join(t, index(3)) },
		})
		for _, n := range m.sent {
			*sent += n
		}
	}
}

// Guards against a write that is sent twice, and against a repeated request that
// gets an answer other than the target's. Lost, duplicated or reordered messages
// and changes of the dispatcher could cause either.
func TestWriteSentAtMostOnce(t *testing.T) {
	var sent, answered int
	rapid.Check(t, historyProperty(true, &sent, &answered))
	t.Logf("%d writes sent, %d answered", sent, answered)
	require.Greater(t, sent, 1000, "the random histories must send enough writes")
	require.Greater(t, answered, 400)
}

// failureRecorder records whether a check failed, without failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (f *failureRecorder) Errorf(string, ...any) { f.failed = true }
func (f *failureRecorder) Fatalf(string, ...any) { f.failed = true }
func (f *failureRecorder) FailNow()              { f.failed = true }
func (f *failureRecorder) Fail()                 { f.failed = true }
func (f *failureRecorder) Failed() bool          { return f.failed }

// Guards against a model that is too weak to detect a missing epoch check: with
// the check off, some history must send a write twice.
func TestWithoutEpochsWriteIsSentTwice(t *testing.T) {
	f := &failureRecorder{T: t}
	var n int
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	rapid.Check(f, historyProperty(false, &n, &n))
	require.True(t, f.failed)
}

// Guards against unbounded memory use, and against a write that runs again because
// its intent was removed after only one retention period.
func TestRetentionAndLimits(t *testing.T) {
	table := NewTable(Config{Retention: time.Minute, MaxEntries: 2, MaxAnswerSize: 4})
	decision, _ := table.Begin(0, "a", 1, 1)
	require.Equal(t, Unknown, decision, "an incomplete table must not allow a key that it does not hold")
	table.SetComplete(true)
	for _, key := range []string{"a", "b"} {
		decision, _ = table.Begin(0, key, 1, 1)
		require.Equal(t, Run, decision)
	}
	decision, _ = table.Begin(0, "c", 1, 1)
	require.Equal(t, Full, decision)
	decision, _ = table.Begin(0, "a", 2, 1)
	require.Equal(t, Mismatch, decision)
	table.Complete(0, "a", Answer{Body: []byte("12345")})
	decision, _ = table.Begin(0, "a", 1, 1)
	require.Equal(t, AnswerNotKept, decision)
	require.Error(t, NewTable(Config{MaxEntries: 1}).Import(0, table.Export()))
	require.Equal(t, 1, table.Expire(time.Minute), "a completed write is removed")
	decision, _ = table.Begin(time.Minute, "b", 1, 1)
	require.Equal(t, Unknown, decision, "an expired intent becomes unknown")
	require.Equal(t, 1, table.Expire(2*time.Minute))
	require.Zero(t, table.Len())
}

// filledTable returns a table that holds n intents.
func filledTable(n int) *Table {
	table := NewTable(DefaultConfig())
	table.SetComplete(true)
	for i := range n {
		table.Begin(0, fmt.Sprintf("bookings/caller/%08d", i), uint64(i), 1)
	}
	return table
}

func BenchmarkBegin(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := filledTable(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for b.Loop() {
				table.Begin(0, "bookings/caller/new", 1, 1)
				table.Fail(0, "bookings/caller/new", true)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/entry")
		})
	}
}
