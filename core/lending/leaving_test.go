package lending

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request that is lent a slot of a target that leaves, and against one that
// waits or is refused without the reason because all targets leave. Keys without another
// owner are served by the one that leaves until KeysUntil, and refused from then on.
func TestLeavingTargetsGetNoRequestsButForTheirKeys(t *testing.T) {
	targets := pool(2)
	targets[0].Leaving = true
	l := newLender(testConfig(), nil, targets...)
	for id := uint64(1); id <= 3; id++ {
		l.RequestSlot(0, request(id, 0))
		assert.Equal(t, "t1", takeDecisions(l)[id].Target)
	}
	l.RequestSlot(0, request(4, 0))
	assert.Empty(t, takeDecisions(l), "it waits for the target that stays")
	targets[1].Leaving = true
	l.SetTargets(ms, targets)
	l.RequestSlot(ms, request(5, ms))
	assert.Equal(t, Leaving, takeDecisions(l)[5].Reason)

	owner := pool(1)
	owner[0].Leaving, owner[0].KeysUntil = true, time.Second
	l = newLender(testConfig(), func(time.Duration, int) Ownership { return Ownership{Target: "t0", State: Held} }, owner...)
	at := func(id uint64, now time.Duration) Request {
		r := request(id, now)
		r.Key = 7
		return r
	}
	for id := uint64(1); id <= 4; id++ {
		now := time.Second - 5*ms
		l.RequestSlot(now, at(id, now))
	}
	decisions := takeDecisions(l)
	assert.Len(t, decisions, 3, "the target has three slots")
	for _, d := range decisions {
		assert.True(t, d.Lent, "%+v", d)
		assert.EqualValues(t, 1, d.Life)
	}
	l.Tick(time.Second)
	assert.Equal(t, Leaving, takeDecisions(l)[4].Reason, "it waited at the owner when that was to get no more requests")
	l.RequestSlot(time.Second, at(5, time.Second))
	assert.Equal(t, Leaving, takeDecisions(l)[5].Reason)
	assert.Equal(t, 1, l.TakeCounts(time.Second).Leaving)
}

// Guards against any order of announcements, requests and ends in which a target gets a
// request after KeysUntil, or a request is never decided on.
func TestLeavingTargetsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 3
		keyed := rapid.Bool().Draw(t, "keyed")
		infos := pool(targets)
		owners := map[int]int{}
		var owner func(time.Duration, int) Ownership
		if keyed {
			owner = func(_ time.Duration, key int) Ownership { return Ownership{Target: infos[owners[key]].ID, State: Held} }
		}
		l := newLender(testConfig(), owner, infos...)
		waiting, lent := map[uint64]time.Duration{}, []uint64{}
		now := time.Duration(0)
		for id := uint64(1); id < 150; id++ {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * ms
			n := rapid.IntRange(0, targets-1).Draw(t, "target")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if !infos[n].Leaving {
					infos[n].Leaving, infos[n].KeysUntil = true, now
					if keyed {
						infos[n].KeysUntil += 300 * ms
					}
				}
				l.SetTargets(now, infos)
			case 1: // a new process at the address
				infos[n].Life, infos[n].Leaving, infos[n].KeysUntil = infos[n].Life+1, false, 0
				l.SetTargets(now, infos)
			case 2:
				owners[rapid.IntRange(0, 4).Draw(t, "key")] = n
			case 3, 4, 5:
				if len(lent) > 0 {
					l.Return(now, Usage{ID: lent[0], Result: Answered, Took: 30 * ms})
					lent = lent[1:]
				}
			default:
				r := request(id, now)
				if keyed {
					r.Key = rapid.IntRange(0, 4).Draw(t, "key")
				}
				waiting[id] = r.Deadline
				l.RequestSlot(now, r)
			}
			l.Tick(now)
			for id, d := range takeDecisions(l) {
				delete(waiting, id)
				if !d.Lent {
					continue
				}
				lent = append(lent, id)
				for _, info := range infos {
					if info.ID == d.Target {
						require.False(t, info.Leaving && now >= info.KeysUntil, "request %d was sent to %s, which leaves", id, d.Target)
					}
				}
			}
			for id, deadline := range waiting {
				require.LessOrEqual(t, now, deadline+100*ms, "request %d is not decided on", id)
			}
		}
	})
}
