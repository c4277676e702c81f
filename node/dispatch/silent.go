package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/admission"
)

const (
	// silentAfter is how long an answer may be missing before the target's load
	// report is taken as a sign that the request is not there.
	silentAfter = time.Second
	// missingReports is the number of load reports in a row that must miss a
	// request, because reports lag.
	missingReports = 2
)

// errSilent ends the wait of a read on a connection that went silent. It counts
// as a timeout.
type errSilent struct{}

func (errSilent) Error() string   { return "the connection went silent" }
func (errSilent) Timeout() bool   { return true }
func (errSilent) Temporary() bool { return true }

// missing compares what is in flight at a target with the target's own count,
// which arrived on a new connection. A connection can go silent for good: a
// request on it would hold its slot until its deadline, and with a few of them
// the target gets no work. It returns true when a connection seems silent. The
// slots of requests that stay missing go to others; a lost read is sent again, a
// lost write waits for its answer until its deadline.
func (g *group) missing(target string, reported int, asked time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var old []admission.ID
	sent := 0
	for id, r := range g.running {
		if r.target != target || r.lost || r.sentAt > asked {
			continue
		}
		sent++
		if !r.alone && asked-r.sentAt >= silentAfter {
			old = append(old, id)
		}
	}
	slices.SortFunc(old, func(a, b admission.ID) int { return cmp.Compare(g.running[a].sentAt, g.running[b].sentAt) })
	count := max(0, min(sent-reported, len(old)))
	for i, id := range old {
		g.mark(id, i < count)
	}
	return count > 0
}

// mark counts a report that misses a request or not; mu is held.
func (g *group) mark(id admission.ID, missing bool) {
	r := g.running[id]
	if !missing {
		r.missing = 0
	} else if r.missing++; r.missing >= missingReports {
		r.lost = true
		if r.abandon != nil {
			r.abandon()
		}
		g.step(admission.Finish{ID: id, Result: admission.ResultTimeout, ServiceTime: g.clock.Now() - r.sentAt})
	}
	g.running[id] = r
}
