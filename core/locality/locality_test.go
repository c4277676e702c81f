package locality

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fleet returns figures of data centres with 30 slots each, work of 80 ms and a delay of
// 1 ms between them.
func fleet(now time.Duration, demand ...float64) Figures {
	f := Figures{At: now, Work: 80 * ms, Bytes: 20_000, Centres: map[string]Centre{}, Delay: func(string, string) time.Duration { return ms }}
	for i, slots := range demand {
		f.Centres[name(i)] = Centre{Demand: slots, Capacity: 30, Slowness: 1}
	}
	return f
}

func name(i int) string { return string(rune('a' + i)) }

// run steps a decider from a time on until another with the figures that of returns.
func run(t require.TestingT, d *Decider, from, to time.Duration, of func(now time.Duration) Figures) {
	for now := from; now < to; now += Interval {
		before := snapshot(d)
		f := of(now)
		d.Step(now, f)
		requireSound(t, before, d, f)
	}
}

func snapshot(d *Decider) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for home, away := range d.shares {
		out[home] = maps.Clone(away)
	}
	return out
}

// requireSound checks what holds after each step: no two data centres spill into each
// other, no share goes to a data centre without capacity, and shares change by at most a
// step unless a data centre has no capacity.
func requireSound(t require.TestingT, before map[string]map[string]float64, d *Decider, f Figures) {
	for home := range f.Centres {
		var total float64
		for other, c := range f.Centres {
			share := d.Share(home, other)
			total += share
			require.GreaterOrEqual(t, share, 0.0)
			require.False(t, share > 0 && d.Share(other, home) > 0, "%s and %s spill into each other", home, other)
			if c.Capacity <= 0 {
				require.Zero(t, share, "%s sends to %s, which has no capacity", home, other)
			} else if f.Centres[home].Capacity > 0 {
				require.LessOrEqual(t, math.Abs(share-before[home][other]), Step+1e-9, "share of %s to %s", home, other)
			}
		}
		require.LessOrEqual(t, total, 1+1e-9)
	}
}

// Guards against ping-pong: traffic that two data centres send to each other pays for the
// link twice and serves nobody sooner. It also guards against jumps, which overload a data
// centre before its figures show it, for any sequence of loads, losses and link delays.
func TestDataCentresNeverSpillIntoEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Config{PricePerMB: time.Duration(rapid.IntRange(0, 500).Draw(t, "price")) * ms})
		n := rapid.IntRange(1, 4).Draw(t, "centres")
		now := time.Duration(0)
		for range 40 {
			now += time.Duration(rapid.IntRange(1, 600).Draw(t, "pause")) * ms
			delay := time.Duration(rapid.IntRange(0, 60).Draw(t, "delay")) * ms
			f := Figures{
				At: now - time.Duration(rapid.IntRange(0, 4000).Draw(t, "age"))*ms, Work: 80 * ms, Bytes: 20_000, Centres: map[string]Centre{},
				Delay: func(string, string) time.Duration { return delay },
			}
			for i := range n {
				f.Centres[name(i)] = Centre{
					Demand:   rapid.Float64Range(0, 90).Draw(t, "demand"),
					Capacity: rapid.SampledFrom([]float64{0, 1, 30, 30, 30, 60}).Draw(t, "capacity"),
					Waiting:  time.Duration(rapid.IntRange(0, 2000).Draw(t, "waiting")) * ms,
					Slowness: rapid.SampledFrom([]float64{0, 1, 1, 1, 3}).Draw(t, "slowness"),
				}
			}
			before := snapshot(d)
			d.Step(now, f)
			requireSound(t, before, d, f)
		}
	})
}

// Guards against traffic between data centres on days of normal load.
func TestDemandBelowCapacityStaysHome(t *testing.T) {
	d := New(Config{})
	run(t, d, 0, 10*time.Second, func(now time.Duration) Figures {
		return fleet(now, 15+10*math.Sin(now.Seconds()), 15+10*math.Cos(now.Seconds()), 26)
	})
	for _, s := range d.Shares() {
		assert.Empty(t, s.Away)
		assert.Equal(t, HomeHasCapacity, s.Reason)
	}
}

// Guards against requests that wait at home or are refused there while other data
// centres have free slots, and against a spill that goes on after the load has passed.
func TestTwiceItsCapacity(t *testing.T) {
	d := New(Config{PricePerMB: 100 * ms})
	run(t, d, 0, time.Second, func(now time.Duration) Figures { return fleet(now, 60, 6, 6) })
	served := 60 * d.Shares()[0].AtHome()
	assert.InDelta(t, 27, served, 60*Step, "home keeps what it can serve")
	assert.InDelta(t, d.Share("a", "b"), d.Share("a", "c"), Step, "equal places get about equal shares")
	assert.Equal(t, HomeShort, d.Shares()[0].Reason)
	run(t, d, time.Second, 2*time.Second, func(now time.Duration) Figures { return fleet(now, 15, 6, 6) })
	assert.Equal(t, 1.0, d.Shares()[0].AtHome())
	assert.Equal(t, HomeHasCapacity, d.Shares()[0].Reason)
}

// Guards against a spill that only moves the queue to another place: where all are full,
// each serves its own.
func TestAllFull(t *testing.T) {
	d := New(Config{})
	run(t, d, 0, 5*time.Second, func(now time.Duration) Figures { return fleet(now, 40, 45, 60) })
	for _, s := range d.Shares() {
		assert.Empty(t, s.Away)
		assert.Equal(t, NoSpare, s.Reason)
	}
}

// Guards against requests that are sent to a data centre that is out of service, lost or
// cold: it gets nothing from the next step on, and its own demand goes elsewhere.
func TestOneLost(t *testing.T) {
	d := New(Config{})
	run(t, d, 0, 2*time.Second, func(now time.Duration) Figures { return fleet(now, 50, 6, 6) })
	require.Positive(t, d.Share("a", "b"))
	lost := func(now time.Duration) Figures {
		f := fleet(now, 50, 6, 6)
		f.Centres["b"] = Centre{Demand: 6}
		return f
	}
	d.Step(2*time.Second, lost(2*time.Second))
	assert.Zero(t, d.Share("a", "b"))
	assert.InDelta(t, 1, d.Share("b", "a")+d.Share("b", "c"), 1e-9, "the home that is lost serves nothing")
	shares := d.Shares()
	assert.Equal(t, []Reason{Withdrawn, HomeLost}, []Reason{shares[0].Reason, shares[1].Reason})
	run(t, d, 2200*ms, 6*time.Second, func(now time.Duration) Figures { return fleet(now, 20, 6, 6) })
	assert.Equal(t, 1.0, d.Shares()[1].AtHome(), "its demand returns once it has capacity")
}

// Guards against requests that fare worse than by waiting: over a link slower than the
// wait at home, nothing is sent, and the excess goes over the other link.
func TestOneSlowLink(t *testing.T) {
	d := New(Config{})
	slow := func(now time.Duration) Figures {
		f := fleet(now, 29, 6, 6)
		f.Delay = func(from, to string) time.Duration {
			if from == "a" && to == "b" {
				return 300 * ms
			}
			return ms
		}
		return f
	}
	run(t, d, 0, 3*time.Second, slow)
	assert.Zero(t, d.Share("a", "b"))
	assert.Positive(t, d.Share("a", "c"))
	// A link that becomes slow loses the share that it has.
	d = New(Config{})
	run(t, d, 0, 2*time.Second, func(now time.Duration) Figures { return fleet(now, 45, 6, 6) })
	require.Positive(t, d.Share("a", "b"))
	run(t, d, 2*time.Second, 6*time.Second, func(now time.Duration) Figures {
		f := slow(now)
		f.Centres["a"] = Centre{Demand: 29, Capacity: 30, Slowness: 1}
		return f
	})
	assert.Zero(t, d.Share("a", "b"))
}

// Guards against a price that has no effect: where bytes cost more than the wait that
// they save, the excess waits at home.
func TestPriceKeepsLargeAnswersHome(t *testing.T) {
	share := func(price time.Duration) float64 {
		d := New(Config{PricePerMB: price})
		run(t, d, 0, 3*time.Second, func(now time.Duration) Figures {
			f := fleet(now, 29, 6)
			f.Bytes = 1e6
			return f
		})
		return d.Share("a", "b")
	}
	assert.Positive(t, share(0))
	assert.Zero(t, share(time.Second))
}

// Guards against requests that stay at targets several times slower than those of another
// data centre only because these slots are free.
func TestSlowHomeSendsAway(t *testing.T) {
	d := New(Config{})
	run(t, d, 0, 3*time.Second, func(now time.Duration) Figures {
		f := fleet(now, 12, 6)
		f.Centres["a"] = Centre{Demand: 12, Capacity: 30, Slowness: 3}
		return f
	})
	assert.Positive(t, d.Share("a", "b"))
	assert.Equal(t, HomeSlow, d.Shares()[0].Reason)
}

// wave is a demand of 45 slots that moves from one of three data centres to the next
// every period, on top of 6 slots in each.
func wave(now, period time.Duration) []float64 {
	demand := []float64{6, 6, 6}
	for i := range demand {
		phase := 2 * math.Pi * (now.Seconds()/period.Seconds() - float64(i)) / 3
		demand[i] += 45 * max(0, math.Cos(phase))
	}
	return demand
}

// Guards against shares that lag behind a wave of demand: the data centre that it reaches
// must not get the demand of the one that it leaves.
func TestDemandMovesInAWave(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second} {
		t.Run(fmt.Sprintf("figures %v old", age), func(t *testing.T) {
			d := New(Config{})
			var unserved, asked float64
			run(t, d, 0, 60*time.Second, func(now time.Duration) Figures {
				demand := wave(now, 10*time.Second)
				u, a := unservedSlots(d, demand, 30)
				unserved, asked = unserved+u, asked+a
				return fleet(now-age, wave(max(0, now-age), 10*time.Second)...)
			})
			assert.Less(t, unserved/asked, 0.06, "share of the demand that finds no slot")
		})
	}
}

// unservedSlots returns the demand that no data centre serves with the shares of d, if
// each sends away no more than it cannot serve itself, and the whole demand.
func unservedSlots(d *Decider, demand []float64, capacity float64) (unserved, asked float64) {
	load := slices.Clone(demand)
	for i := range demand {
		asked += demand[i]
		for j := range demand {
			n := min(d.Share(name(i), name(j))*demand[i], max(0, load[i]-capacity))
			load[i] -= n
			load[j] += n
		}
	}
	for _, n := range load {
		unserved += max(0, n-capacity)
	}
	return unserved, asked
}

// Guards against oscillation: figures that are 1 s old show the effect of five steps late,
// and shares that followed the load at the targets would overshoot and swing.
func TestOldFiguresDoNotOscillate(t *testing.T) {
	const age = time.Second
	d := New(Config{})
	turns, last, direction := 0, 0.0, 0
	for now := time.Duration(0); now < 30*time.Second; now += Interval {
		demand := 6.0
		if now-age > 2*time.Second {
			demand = 48
		}
		d.Step(now, fleet(now-age, demand, 6, 6))
		away := 1 - d.atHome("a")
		if way := sign(away - last); way != 0 {
			if direction != 0 && way != direction {
				turns++
			}
			direction = way
		}
		last = away
	}
	assert.Zero(t, turns, "changes of direction")
	assert.InDelta(t, (48-27)/48.0, last, Step)
}

func (d *Decider) atHome(home string) float64 { return Shares{Away: d.shares[home]}.AtHome() }

func sign(x float64) int {
	switch {
	case x > 1e-9:
		return 1
	case x < -1e-9:
		return -1
	}
	return 0
}

// Guards against a spill that is decided on figures from before a failure of measuring.
func TestOldFiguresRaiseNoShare(t *testing.T) {
	d := New(Config{})
	run(t, d, 10*time.Second, 12*time.Second, func(time.Duration) Figures { return fleet(6*time.Second, 60, 6) })
	assert.Empty(t, d.Shares()[0].Away)
	assert.Equal(t, Old, d.Shares()[0].Reason)
}

// Guards against any effect on a fleet with one data centre.
func TestOneDataCentre(t *testing.T) {
	d := New(Config{})
	run(t, d, 0, 3*time.Second, func(now time.Duration) Figures { return fleet(now, 90) })
	assert.Equal(t, []Shares{{Home: "a", Reason: NoSpare}}, d.Shares())
	run(t, d, 3*time.Second, 4*time.Second, func(now time.Duration) Figures {
		return Figures{At: now, Centres: map[string]Centre{"a": {Demand: 90}}}
	})
	assert.Equal(t, 1.0, d.Shares()[0].AtHome(), "there is nowhere else to go")
}
