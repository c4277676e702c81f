package lending

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a leader that works off a backlog after a pause: slots were lent to requests
// whose deadline had passed, and requests in time were refused because of the queue.
func TestExpiredRequestsAreDroppedFirstAfterAPause(t *testing.T) {
	for name, step := range map[string]func(l *Lender, now time.Duration){
		"a new request":   func(l *Lender, now time.Duration) { l.RequestSlot(now, request(1000, now)) },
		"a returned slot": func(l *Lender, now time.Duration) { l.Return(now, Usage{ID: 1, Result: Answered, Took: 80 * ms}) },
		"a tick":          (*Lender).Tick,
	} {
		t.Run(name, func(t *testing.T) {
			l := newLender(testConfig(), nil, pool(1)...)
			for id := uint64(1); id <= 20; id++ {
				r := request(id, 0)
				r.Objective, r.Deadline = time.Second, time.Second
				l.RequestSlot(0, r)
			}
			require.Equal(t, 3, l.lentCount)
			takeDecisions(l)
			waiting := l.Waiting()
			require.Positive(t, waiting)
			now := 1100 * ms
			step(l, now)
			expired := 0
			for _, d := range l.TakeDecisions() {
				if d.Reason == Expired {
					expired++
				}
				assert.False(t, d.Lent && d.ID <= 20, "request %d had expired", d.ID)
			}
			assert.Equal(t, waiting, expired)
			assert.Equal(t, waiting, l.TakeExpiredInPauses())
		})
	}
}

// Guards against slots that are lent to requests which their VMs gave up during the pause,
// and against dropping those of VMs that wait on.
func TestRequestsGivenUpDuringAPauseAreDropped(t *testing.T) {
	l := newLender(testConfig(), nil, pool(1)...)
	for id := uint64(1); id <= 5; id++ {
		r := request(id, 0)
		r.Objective, r.Deadline = 5*time.Second, 5*time.Second
		if id == 4 {
			r.GiveUp = 800 * ms
		}
		l.RequestSlot(0, r)
	}
	takeDecisions(l)
	l.Return(1100*ms, Usage{ID: 1, Result: Answered, Took: 80 * ms})
	d := takeDecisions(l)
	assert.Equal(t, Expired, d[4].Reason)
	assert.True(t, d[5].Lent)
}

// Guards against decisions on calls that arrived while the process did not run, and against
// refusing those that were sent before or after a pause or in a short one.
func TestCallsSentDuringAPause(t *testing.T) {
	const giveUp = 800 * ms
	var p Pauses
	check := func(now, sentAt, unread time.Duration, abandoned bool) {
		t.Helper()
		got, gone := p.Unread(now, sentAt, giveUp)
		assert.Equal(t, unread, got)
		assert.Equal(t, abandoned, gone)
	}
	for now := 10 * time.Second; now <= 11*time.Second; now += 200 * ms {
		p.Ran(now)
	}
	check(11*time.Second, 10900*ms, 0, false)
	p.Ran(11500 * ms) // a pause that no VM has given the leader up in
	check(11500*ms, 11200*ms, 300*ms, false)
	for now := 11600 * ms; now <= 12*time.Second; now += 200 * ms {
		p.Ran(now)
	}
	p.Ran(13100 * ms)
	check(13100*ms, 12200*ms, 900*ms, true)
	check(13200*ms, 13000*ms, 200*ms, false) // from a VM that asks again
	check(13200*ms, 13150*ms, 0, false)
	check(13200*ms, 0, 0, false)
}
