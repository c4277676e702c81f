package connhealth

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run gives the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against taking a live target out of service because its old
// connections went silent, and against using a condemned connection again: new
// connections work, and any connection may go silent once it has been used.
func TestSilentOldConnectionsNeverFailPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, now, next := New(DefaultConfig()), time.Hour, ConnID(0)
		var dials []time.Duration // begun, not yet reported
		var open, condemned []ConnID
		answered := map[ConnID]bool{}
		step := func(ev Event) {
			for _, a := range tr.Step(now, ev) {
				switch a := a.(type) {
				case Dial:
					dials = append(dials, now)
				case Probe: // a new connection answers
					require.Empty(t, tr.Step(now, Sent(a)))
					require.Empty(t, tr.Step(now, Answered(a)))
					answered[a.Conn] = true
				case Close:
					condemned = append(condemned, a.Conn)
				case PeerFailed:
					require.Fail(t, "a live peer was reported failed")
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			pick := rapid.IntRange(0, 1000).Draw(t, "pick")
			switch rapid.SampledFrom([]string{"dial", "open", "answer", "silence", "tick"}).Draw(t, "step") {
			case "dial":
				dials = append(dials, now)
			case "open":
				if len(dials) > 0 {
					next++
					open = append(open, next)
					step(Opened{Conn: next, Peer: "p", StartedAt: dials[0]})
					dials = dials[1:]
				}
			case "answer", "silence":
				if len(open) == 0 {
					continue
				}
				id := open[pick%len(open)]
				if !tr.Usable(now, id) {
					continue
				}
				step(Sent{Conn: id})
				if pick%2 == 0 || !answered[id] {
					step(Answered{Conn: id})
					answered[id] = true
				} else {
					now += 100 * time.Millisecond
					step(TimedOut{Conn: id})
					step(Answered{Conn: id}) // late
				}
			case "tick":
				step(Tick{})
			}
			for _, id := range condemned {
				require.False(t, tr.Usable(now, id))
			}
		}
	})
}

// Guards against a dead peer that is never reported, or reported twice, or that
// stays reported after its return.
func TestFreshFailureReportsPeer(t *testing.T) {
	tr := New(DefaultConfig())
	tr.Step(0, Opened{Conn: 1, Peer: "p"})
	tr.Step(0, Opened{Conn: 2, Peer: "p"})
	tr.Step(0, Sent{Conn: 1})
	tr.Step(0, Sent{Conn: 2})
	require.Equal(t, []Action{Close{1}, Dial{"p"}}, tr.Step(100*time.Millisecond, TimedOut{Conn: 1}))
	require.Equal(t, []Action{Close{2}}, tr.Step(110*time.Millisecond, TimedOut{Conn: 2}))
	require.Empty(t, tr.Step(110*time.Millisecond, OpenFailed{Peer: "p"}), "an attempt from before the first timeout")
	require.Equal(t, []Action{Probe{3}}, tr.Step(120*time.Millisecond, Opened{Conn: 3, Peer: "p", StartedAt: 100 * time.Millisecond}))
	require.Equal(t, []Action{Close{3}, PeerFailed{"p"}}, tr.Step(220*time.Millisecond, TimedOut{Conn: 3}))
	require.Empty(t, tr.Step(230*time.Millisecond, OpenFailed{Peer: "p", StartedAt: 200 * time.Millisecond}))
	require.Equal(t, []Action{Dial{"p"}}, tr.Step(time.Second, Tick{}))
	tr.Step(time.Second, Opened{Conn: 4, Peer: "p", StartedAt: time.Second})
	require.Equal(t, []Action{PeerRecovered{"p"}}, tr.Step(time.Second, Answered{Conn: 4}))
	require.True(t, tr.Usable(2900*time.Millisecond, 4))
	require.False(t, tr.Usable(3*time.Second, 4), "idle connections are trusted for 2 s only")
}
