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
	// The verdict must be the same in each run, so the seed is fixed.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2500", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func histories(honourEpochs bool, sent, answered *int) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(honourEpochs)
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		pick := func(keys map[string]bool) string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(keys))).Draw(t, "key")
		}
		rarity := rapid.IntRange(0, 4).Draw(t, "rarity")
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
					m.call(t, i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
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
			"end": func(t *rapid.T) {
				i := index(3)
				v := m.vms[i]
				if len(v.running) == 0 {
					return
				}
				key := pick(v.running)
				if rapid.Bool().Draw(t, "answered") {
					v.table.Complete(m.now, key, Answer{Body: []byte(m.answers[key])})
					delete(v.running, key)
					*answered++
				} else {
					v.table.Fail(m.now, key, false)
				}
				m.copy(i, key)
			},
			"unsent": func(t *rapid.T) {
				i := index(3)
				if len(m.vms[i].acks) == 0 {
					return
				}
				key := rapid.SampledFrom(slices.Sorted(maps.Keys(m.vms[i].acks))).Draw(t, "key")
				if rapid.Bool().Draw(t, "again") {
					m.copy(i, key)
				} else {
					m.giveUp(i, key)
				}
			},
			"lose": rare(func(t *rapid.T) {
				i := index(3)
				// One complete table must survive, else nothing runs any more.
				survivors := slices.DeleteFunc(slices.Clone(m.holders), func(h int) bool { return h == i || !m.vms[h].table.IsComplete() })
				if len(survivors) > 0 {
					m.lose(i)
					m.holders = slices.DeleteFunc(m.holders, func(h int) bool { return h == i })
					m.epoch++
				}
			}),
			"move": rare(func(t *rapid.T) {
				k := index(len(m.holders))
				m.epoch++
				m.holders[0], m.holders[k] = m.holders[k], m.holders[0]
				if rapid.Bool().Draw(t, "delist") {
					m.holders = m.holders[:max(1, len(m.holders)-1)]
				}
			}),
			"learn":   func(t *rapid.T) { m.dispatch(m.holders[0]) },
			"observe": rare(func(t *rapid.T) { m.vms[index(3)].table.Observe(m.epoch) }),
			"join":    func(t *rapid.T) { m.join(t, index(3)) },
		})
		for _, n := range m.sent {
			*sent += n
		}
	}
}

// Guards against a write that is sent twice, and against a repeat that gets
// another answer than the target's.
func TestWriteSentAtMostOnce(t *testing.T) {
	var sent, answered int
	rapid.Check(t, histories(true, &sent, &answered))
	t.Logf("%d writes sent, %d answered", sent, answered)
	require.Greater(t, sent, 1000, "the histories must reach the target")
	require.Greater(t, answered, 400)
}

// failing collects the verdict of a check that is expected to fail.
type failing struct {
	*testing.T
	failed bool
}

func (f *failing) Errorf(string, ...any) { f.failed = true }
func (f *failing) Fatalf(string, ...any) { f.failed = true }
func (f *failing) FailNow()              { f.failed = true }
func (f *failing) Fail()                 { f.failed = true }
func (f *failing) Failed() bool          { return f.failed }

// Guards against a model too weak to show what the epoch check is for.
func TestWithoutEpochsWriteIsSentTwice(t *testing.T) {
	f := &failing{T: t}
	var n int
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	rapid.Check(f, histories(false, &n, &n))
	require.True(t, f.failed)
}

// Guards against unbounded memory and against forgetting an intent whose
// outcome never arrived one period after it was recorded.
func TestRetentionAndLimits(t *testing.T) {
	table := NewTable(Config{Retention: time.Minute, MaxEntries: 2, MaxAnswerSize: 4})
	decision, _ := table.Begin(0, "a", 1, 1)
	require.Equal(t, Unknown, decision, "an incomplete table must not run an unknown key")
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
	require.Equal(t, Ran, decision)
	require.Error(t, NewTable(Config{MaxEntries: 1}).Import(0, table.Export()))
	require.Equal(t, 1, table.Expire(time.Minute), "a finished write is dropped")
	decision, _ = table.Begin(time.Minute, "b", 1, 1)
	require.Equal(t, Unknown, decision, "an intent turns unknown first")
	require.Equal(t, 1, table.Expire(2*time.Minute))
	require.Zero(t, table.Len())
}

func filled(n int) *Table {
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
			table := filled(n)
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
