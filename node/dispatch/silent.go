package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/admission"
)

const (
	// silenceThreshold is how long a request must wait for its answer before a
	// load report can count it as missing at the target.
	silenceThreshold = time.Second
	// minMissedReports is the number of consecutive load reports that must not
	// count a request before it is treated as lost, because reports lag.
	minMissedReports = 2
)

// errSilentConnection is the timeout error that cancels a read on a connection
// that went silent.
type errSilentConnection struct{}

func (errSilentConnection) Error() string   { return "the connection went silent" }
func (errSilentConnection) Timeout() bool   { return true }
func (errSilentConnection) Temporary() bool { return true }

// detectMissing compares the requests in flight at a target with the number that
// the target reports, in reply to a query that was sent at queriedAt over a
// separate connection. If the target reports fewer, the requests that have waited
// longest, for at least silenceThreshold, count as missing, except exclusive ones.
// It returns true if any request is missing.
//
// A connection can go silent: it stays open but delivers nothing more. Requests on
// it would occupy their slots until their deadlines, and a few of them would leave
// the target without work. So the slot of a request that stays missing is released:
// a read is sent again, and a write waits for its answer until its deadline.
func (g *group) detectMissing(target string, reported int, queriedAt time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []admission.ID
	expected := 0
	for id, r := range g.running {
		if r.target != target || r.slotReleased || r.sentAt > queriedAt {
			continue
		}
		expected++
		if !r.exclusive && queriedAt-r.sentAt >= silenceThreshold {
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, func(a, b admission.ID) int { return cmp.Compare(g.running[a].sentAt, g.running[b].sentAt) })
	missing := max(0, min(expected-reported, len(candidates)))
	for i, id := range candidates {
		g.recordReport(id, i < missing)
	}
	return missing > 0
}

// recordReport updates the consecutive missed reports of a request and releases
// its slot at minMissedReports. The caller holds mu.
func (g *group) recordReport(id admission.ID, missing bool) {
	r := g.running[id]
	if !missing {
		r.missedReports = 0
	} else if r.missedReports++; r.missedReports >= minMissedReports {
		r.slotReleased = true
		if r.cancelRead != nil {
			r.cancelRead()
		}
		g.step(admission.Finish{ID: id, Result: admission.ResultTimeout, ServiceTime: g.clock.Now() - r.sentAt})
	}
	g.running[id] = r
}
