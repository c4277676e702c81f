package admission

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The seed is fixed so that every run tests the same histories.
	for name, value := range map[string]string{"seed": "1", "checks": "800", "steps": "100", "nofailfile": "true", "shrinktime": "5s"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type running struct {
	Arrive
	target string
}

// referenceModel tracks the state of a group from its events and actions, to
// check the group against it.
type referenceModel struct {
	g       *Group
	now     time.Duration
	next    ID
	waiting map[ID]Arrive
	running map[ID]running
	targets map[string]TargetUpdate
	limit   map[string]int
	done    map[string]int // completions since the limit last changed
}

// step applies an event to the group and the model, and checks the actions.
func (m *referenceModel) step(t *rapid.T, ev Event) {
	nextExclusive, reserved := m.g.nextExclusive, m.g.reserved
	finished := ""
	switch ev := ev.(type) {
	case Arrive:
		m.waiting[ev.ID] = ev
	case Cancel:
		delete(m.waiting, ev.ID)
	case Finish:
		finished = m.running[ev.ID].target
		delete(m.running, ev.ID)
		if ev.Result == ResultDone {
			m.done[finished]++
		}
	}
	actions := m.g.Step(m.now, ev)
	m.checkLimits(t, ev, finished)
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			if nextExclusive != nil && m.g.nextExclusive == nextExclusive && m.g.reserved == reserved && reserved != nil && reserved.name == a.Target {
				t.Fatalf("%v started on the target that is reserved for an exclusive request", a)
			}
			m.start(t, a)
		case Refuse:
			m.refuse(t, a)
		}
	}
	if len(m.waiting) != m.g.QueueLength() || len(m.running) != m.g.InFlight() {
		t.Fatalf("%d requests wait and %d run in the model, %d and %d in the group", len(m.waiting), len(m.running), m.g.QueueLength(), m.g.InFlight())
	}
	m.checkWorkConserving(t)
}

// start checks that a started request was allowed to start on its target.
func (m *referenceModel) start(t *rapid.T, a Start) {
	r, ok := m.waiting[a.ID]
	delete(m.waiting, a.ID)
	if !ok || r.Deadline <= m.now {
		t.Fatalf("request %d was started, but does not wait or has expired", a.ID)
	}
	for _, w := range m.waiting {
		if !r.Exclusive && !w.Exclusive && w.Avoid == r.Avoid && (w.Deadline < r.Deadline || w.Deadline == r.Deadline && w.ID < r.ID) {
			t.Fatalf("%v was started before %v, which is due earlier", r, w)
		}
	}
	inFlight := 1
	for _, o := range m.running {
		if o.target == a.Target {
			inFlight++
			if r.Exclusive || o.Exclusive {
				t.Fatalf("%v was started beside %v, one of which must run alone", r, o)
			}
		}
	}
	m.running[a.ID] = running{r, a.Target}
	seen, known := m.targets[a.Target]
	if !known || !seen.Available || m.now < m.g.byName[a.Target].pausedUntil || inFlight > min(m.limit[a.Target], seen.Slots) {
		t.Fatalf("%v would have %d requests in flight at limit %d, target %v", a, inFlight, m.limit[a.Target], seen)
	}
}

// refuse checks that a refusal has the right reason and hits the latest
// deadline if the queue is full.
func (m *referenceModel) refuse(t *rapid.T, a Refuse) {
	r, ok := m.waiting[a.ID]
	if !ok || a.Reason == ReasonDeadline != (r.Deadline <= m.now) {
		t.Fatalf("wrong refusal %v of %v at %v", a, r, m.now)
	}
	delete(m.waiting, a.ID)
	for _, w := range m.waiting {
		if a.Reason == ReasonQueueFull && (len(m.waiting) < 4 || w.Deadline > r.Deadline) {
			t.Fatalf("%v was refused for a full queue instead of %v", r, w)
		}
	}
}

// checkLimits checks that a limit starts at one slot and grows by one slot at a
// time, each time after enough completions.
func (m *referenceModel) checkLimits(t *rapid.T, ev Event, finished string) {
	for _, s := range m.g.Targets() {
		was := m.limit[s.Target]
		if s.Limit > was && was > 0 && (s.Limit > was+1 || s.Target != finished || m.done[s.Target] < 8) {
			t.Fatalf("%v: limit is %d after %d completions at limit %d", ev, s.Limit, m.done[s.Target], was)
		}
		if e, ok := ev.(TargetUpdate); ok && e.Target == s.Target {
			if (e.Granted || e.BootID != m.targets[e.Target].BootID) && s.Limit != 1 {
				t.Fatalf("%v did not reset the limit to one slot", e)
			}
			m.targets[e.Target] = e
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

// checkWorkConserving checks that no slot is idle while a waiting request may
// use it. The only exceptions are a faster target that is busy and, for an
// exclusive request, another exclusive request that is served first.
func (m *referenceModel) checkWorkConserving(t *rapid.T) {
	meanTime := m.g.meanTime()
	for _, a := range m.g.targets {
		estimate := m.g.estimate(m.now, a, meanTime)
		fasterBusy := slices.ContainsFunc(m.g.targets, func(b *target) bool {
			return b.inFlight > 0 && b.usable(m.now) && m.g.estimate(m.now, b, meanTime) < estimate
		})
		if !m.g.hasFreeSlot(m.now, a) || fasterBusy {
			continue
		}
		for _, w := range m.waiting {
			if m.g.avoidedTarget(m.now, w.Avoid) != a && (!w.Exclusive || a.inFlight == 0 && m.nextExclusiveID() == w.ID) {
				t.Fatalf("%v waits while %s has a free slot", w, a.name)
			}
		}
	}
}

// nextExclusiveID returns the ID of the exclusive request that is served next.
func (m *referenceModel) nextExclusiveID() ID {
	if m.g.nextExclusive != nil {
		return m.g.nextExclusive.id
	}
	return m.g.queue.earliest(exclusiveSubqueue).id
}

// Guards, in random histories of events, against more requests in flight than a
// target's limit, lost or duplicated requests, starts out of deadline order,
// other requests beside one that must run alone, and slots that stay idle while
// requests wait.
func TestGroup(t *testing.T) {
	finishes := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &referenceModel{
			g: NewGroup(DefaultConfig(4)), waiting: map[ID]Arrive{}, running: map[ID]running{},
			targets: map[string]TargetUpdate{}, limit: map[string]int{}, done: map[string]int{},
		}
		oneIn := func(n int) bool { return rapid.IntRange(1, n).Draw(t, "one in") == 1 }
		ms := func(from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, "ms")) * time.Millisecond
		}
		names := []string{"a", "b", "c"}[:rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(t, "targets")]
		name := rapid.SampledFrom(names)
		arrive := func(t *rapid.T) {
			m.next++
			avoid := rapid.SampledFrom([]string{"", "", "", "a", "b"}).Draw(t, "avoid")
			m.step(t, Arrive{ID: m.next, Deadline: m.now + ms(0, 300), Exclusive: oneIn(6), Avoid: avoid})
		}
		finish := func(t *rapid.T) {
			if len(m.running) == 0 {
				return
			}
			finishes++
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "id")
			result := ResultDone
			if oneIn(3) {
				result = Result(rapid.IntRange(1, 6).Draw(t, "result"))
			}
			took := time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 20}).Draw(t, "ms")) * time.Millisecond
			m.step(t, Finish{ID: id, Result: result, ServiceTime: took})
		}
		for _, name := range names {
			m.step(t, TargetUpdate{Target: name, BootID: "1", Slots: 3, Available: true})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive, "arrive3": arrive, "finish": finish, "finish2": finish, "finish3": finish,
			"seen": func(t *rapid.T) {
				boot := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "boot")
				m.step(t, TargetUpdate{Target: name.Draw(t, "target"), BootID: boot, Slots: 3, Available: !oneIn(5), Granted: oneIn(10)})
			},
			"remove": func(t *rapid.T) {
				if oneIn(5) {
					m.step(t, TargetRemoved{name.Draw(t, "target")})
				}
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) > 0 {
					m.step(t, Cancel{rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "id")})
				}
			},
			"tick": func(t *rapid.T) {
				m.now += ms(1, 30)
				m.step(t, Tick{})
			},
		})
	})
	require.Greater(t, finishes, 5_000, "too few requests finished in the generated histories")
}
