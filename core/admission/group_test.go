package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The verdict must be the same in each run, so the seed is fixed.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "800", "rapid.steps": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// reference follows a group from its events and actions alone.
type reference struct {
	g        *Group
	now      time.Duration
	next     ID
	waiting  map[ID]Arrive
	running  map[ID]Start
	alone    map[ID]bool
	inFlight map[string]int
	targets  map[string]TargetSeen
	limit    map[string]int
	done     map[string]int // completions since the limit last changed
}

func newReference() *reference {
	return &reference{
		g: NewGroup(DefaultConfig(4)), waiting: map[ID]Arrive{}, running: map[ID]Start{}, alone: map[ID]bool{},
		inFlight: map[string]int{}, targets: map[string]TargetSeen{}, limit: map[string]int{}, done: map[string]int{},
	}
}

func (m *reference) step(t *rapid.T, ev Event) {
	turn, reserved, paused := m.g.turn, m.g.reserved, map[string]bool{}
	if m.g.turn != nil && m.waiting[m.g.turn.id].ID != m.g.turn.id {
		t.Fatalf("the turn belongs to a request that does not wait")
	}
	if a, ok := ev.(Arrive); ok {
		m.waiting[a.ID] = a
	}
	if c, ok := ev.(Cancel); ok {
		delete(m.waiting, c.ID)
	}
	finished := m.finish(ev)
	actions := m.g.Step(m.now, ev)
	m.limits(t, ev, finished)
	for _, s := range m.g.Targets() {
		paused[s.Target] = m.now < s.PausedUntil
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			if turn != nil && m.g.turn == turn && m.g.reserved == reserved && reserved != nil && reserved.name == a.Target {
				t.Fatalf("%v started on the target that is held back", a)
			}
			m.start(t, a, paused[a.Target])
		case Refuse:
			m.refuse(t, a)
		}
	}
	if len(m.waiting) != m.g.QueueLength() || len(m.running) != m.g.InFlight() {
		t.Fatalf("%d wait and %d run, the group has %d and %d", len(m.waiting), len(m.running), m.g.QueueLength(), m.g.InFlight())
	}
	m.conserve(t)
}

func (m *reference) finish(ev Event) string {
	f, ok := ev.(Finish)
	if !ok {
		return ""
	}
	target := m.running[f.ID].Target
	delete(m.running, f.ID)
	delete(m.alone, f.ID)
	m.inFlight[target]--
	if f.Result == ResultDone {
		m.done[target]++
	}
	return target
}

func (m *reference) start(t *rapid.T, a Start, paused bool) {
	r, ok := m.waiting[a.ID]
	delete(m.waiting, a.ID)
	if !ok || r.Deadline <= m.now {
		t.Fatalf("started %d, which does not wait or has expired", a.ID)
	}
	for id, s := range m.running {
		if s.Target == a.Target && (r.Alone || m.alone[id]) {
			t.Fatalf("%d started beside %d, one of which must run alone", a.ID, id)
		}
	}
	for _, w := range m.waiting {
		if !r.Alone && !w.Alone && w.Avoid == r.Avoid && (w.Deadline < r.Deadline || w.Deadline == r.Deadline && w.ID < r.ID) {
			t.Fatalf("%v started before %v", r, w)
		}
	}
	m.running[a.ID], m.alone[a.ID] = a, r.Alone
	m.inFlight[a.Target]++
	seen, known := m.targets[a.Target]
	if !known || !seen.Available || paused || m.inFlight[a.Target] > min(m.limit[a.Target], seen.Slots) {
		t.Fatalf("start %v with %d in flight, limit %d, paused %v, %v", a, m.inFlight[a.Target], m.limit[a.Target], paused, seen)
	}
}

func (m *reference) refuse(t *rapid.T, a Refuse) {
	r, ok := m.waiting[a.ID]
	if !ok || a.Reason == ReasonDeadline != (r.Deadline <= m.now) {
		t.Fatalf("%v of %v at %v", a, r, m.now)
	}
	delete(m.waiting, a.ID)
	for _, w := range m.waiting {
		if a.Reason == ReasonQueueFull && (len(m.waiting) < 4 || w.Deadline > r.Deadline) {
			t.Fatalf("%v refused for a full queue before %v", r, w)
		}
	}
}

// limits checks that a limit starts at one slot, shrinks on a shed and grows
// slot by slot after enough completions.
func (m *reference) limits(t *rapid.T, ev Event, finished string) {
	for _, s := range m.g.Targets() {
		was := m.limit[s.Target]
		if s.Limit > was && was > 0 && (s.Limit > was+1 || s.Target != finished || m.done[s.Target] < 8) {
			t.Fatalf("%v: limit %d after %d completions at %d", ev, s.Limit, m.done[s.Target], was)
		}
		if e, ok := ev.(TargetSeen); ok && e.Target == s.Target {
			if (e.Granted || e.BootID != m.targets[e.Target].BootID) && s.Limit != 1 {
				t.Fatalf("%v did not put the target at one slot", e)
			}
			m.targets[e.Target] = e
		}
		if e, ok := ev.(Finish); ok && s.Target == finished && e.Result == ResultShed && was > 1 && s.Limit >= was {
			// The shed of an earlier process says nothing about this one.
			if m.g.byName[s.Target].generation == 1 {
				t.Fatalf("limit %d stays after a shed", was)
			}
		}
		if m.limit[s.Target] = s.Limit; s.Limit != was {
			m.done[s.Target] = 0
		}
	}
	if e, ok := ev.(TargetRemoved); ok {
		delete(m.targets, e.Target)
		delete(m.limit, e.Target)
	}
}

// conserve guards against an idle slot while a request waits that may use it.
// The only excuses are a faster target that is busy and, for an Alone request,
// another one that is next.
func (m *reference) conserve(t *rapid.T) {
	typical := m.g.typical()
	for _, a := range m.g.targets {
		if !m.g.free(m.now, a) || m.excused(a, typical) {
			continue
		}
		for _, w := range m.waiting {
			mayStart := m.g.avoided(m.now, w.Avoid) != a && (!w.Alone || a.inFlight == 0 && m.nextAlone() == w.ID)
			if mayStart {
				t.Fatalf("%v waits while %s has a free slot", w, a.name)
			}
		}
	}
}

// nextAlone is the Alone request that runs before the other ones.
func (m *reference) nextAlone() ID {
	if m.g.turn != nil {
		return m.g.turn.id
	}
	return m.g.queue.earliest(aloneLane).id
}

func (m *reference) excused(a *target, typical float64) bool {
	for _, b := range m.g.targets {
		if b.inFlight > 0 && b.usable(m.now) && m.g.estimate(m.now, b, typical) < m.g.estimate(m.now, a, typical) {
			return true
		}
	}
	return false
}

// Guards against more in flight than a target bears, lost or doubled requests,
// starts out of deadline order, company for a request that must run alone, and
// slots left idle.
func TestGroup(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newReference()
		names := []string{"a", "b", "c"}[:rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "targets")]
		seen := func(t *rapid.T) {
			m.step(t, TargetSeen{
				Target: rapid.SampledFrom(names).Draw(t, "target"), BootID: rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "boot"),
				Slots: 3, Available: rapid.IntRange(0, 4).Draw(t, "available") > 0, Granted: rapid.IntRange(0, 9).Draw(t, "granted") == 0,
			})
		}
		arrive := func(t *rapid.T) {
			m.next++
			m.step(t, Arrive{
				ID: m.next, Deadline: m.now + time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline"))*time.Millisecond,
				Alone: rapid.IntRange(0, 5).Draw(t, "alone") == 0, Avoid: rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "avoid"),
			})
		}
		finish := func(t *rapid.T) {
			id := pick(t, m.running, m.next)
			if id == 0 {
				return
			}
			starts++
			results := []Result{ResultDone, ResultDone, ResultDone, ResultDone, ResultDone, ResultDone, ResultDone, ResultDone, ResultDone, ResultDone,
				ResultShed, ResultRefused, ResultFailed, ResultTimeout, ResultCancelled}
			m.step(t, Finish{
				ID: id, Result: rapid.SampledFrom(results).Draw(t, "result"),
				ServiceTime: time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 20}).Draw(t, "ms")) * time.Millisecond,
			})
		}
		for _, name := range names {
			m.step(t, TargetSeen{Target: name, BootID: "1", Slots: 3, Available: true})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive, "arrive3": arrive, "finish": finish, "finish2": finish, "finish3": finish,
			"seen": seen,
			"remove": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
					m.step(t, TargetRemoved{rapid.SampledFrom(names).Draw(t, "target")})
				}
			},
			"cancel": func(t *rapid.T) {
				if id := pick(t, m.waiting, m.next); id != 0 {
					m.step(t, Cancel{id})
				}
			},
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
				m.step(t, Tick{})
			},
		})
	})
	require.Greater(t, starts, 5_000, "the histories must start requests")
}

// pick draws an ID in the map, or 0.
func pick[V any](t *rapid.T, of map[ID]V, last ID) ID {
	var ids []ID
	for id := ID(1); id <= last; id++ {
		if _, ok := of[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

// Guards against an Alone request that waits for ever behind a steady stream,
// and against a pool that stands still for it.
func TestAloneDoesNotStarve(t *testing.T) {
	for _, targets := range []int{1, 3} {
		g := NewGroup(DefaultConfig(100))
		var running []Start
		const alone = ID(1000)
		for i := range targets {
			g.Step(0, TargetSeen{Target: fmt.Sprint("t", i), BootID: "b", Slots: 3, Available: true})
		}
		started, others := -1, 0
		for i := 0; i < 600 && started < 0; i++ {
			now := time.Duration(i) * time.Millisecond
			events := []Event{Arrive{ID: ID(i + 1), Deadline: now + time.Second}}
			if i == 300 {
				events = []Event{Arrive{ID: alone, Deadline: now + 100*time.Millisecond, Alone: true}}
			}
			if len(running) > 2*targets || g.QueueLength() > 0 && len(running) > 0 {
				events = append(events, Finish{ID: running[0].ID, Result: ResultDone, ServiceTime: 2 * time.Millisecond})
				running = running[1:]
			}
			for _, ev := range events {
				for _, a := range g.Step(now, ev) {
					if s, ok := a.(Start); ok {
						running = append(running, s)
						if s.ID == alone {
							started = i
						} else if i > 300 {
							others++
						}
					}
				}
			}
		}
		t.Logf("%d targets: started %d steps after its arrival, %d others meanwhile", targets, started-300, others)
		require.Positive(t, started)
		require.True(t, targets == 1 || others > 0)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, targets := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			g := NewGroup(DefaultConfig(1000))
			for i := range targets {
				g.Step(0, TargetSeen{Target: fmt.Sprint("t", i), BootID: "b", Slots: 3, Available: true})
			}
			// One Arrive and one Finish an operation, with a queue of 100.
			id, running := ID(0), []ID{}
			now := time.Duration(0)
			step := func(ev Event) {
				for _, a := range g.Step(now, ev) {
					if s, ok := a.(Start); ok {
						running = append(running, s.ID)
					}
				}
			}
			for range 3*targets + 100 {
				id++
				step(Arrive{ID: id, Deadline: time.Hour})
			}
			for b.Loop() {
				now += time.Microsecond
				id++
				step(Arrive{ID: id, Deadline: now + time.Hour})
				first := running[0]
				running = running[1:]
				step(Finish{ID: first, Result: ResultDone, ServiceTime: time.Millisecond})
			}
		})
	}
}
