package main

import (
	"fmt"
	"sort"
	"time"
)

const (
	sickRounds = 4
	sickFor    = 5 * time.Second
	// sickGrants is how many answers to grants a sick upstream copies, and as many grants it
	// leaves unanswered, at most. They are the last ones before and after the announcement to
	// leave, which comes leavesAfter the sickness began.
	sickGrants  = 2
	copiesAfter = 4 * time.Second
	leavesAfter = 4500 * time.Millisecond
	leaveFor    = 5 * time.Second // from the announcement to the end of the process
	longTimeout = 2.4             // seconds; grants last for 0.5 s more
)

// copyOfGrant takes upstreams away as planned, one at a time. Each is sick shortly before: it
// sends second copies of answers late, and carries out the grants that they seem to answer
// late.
func copyOfGrant(f *fleet) int {
	f.configure(7, longTimeout)
	var keyed []*server
	for range 8 {
		keyed = append(keyed, f.addUpstream(keyedService, 60*time.Millisecond))
	}
	f.addUpstream(poolService, 60*time.Millisecond)
	f.startVMs()
	f.awaitReady()
	time.Sleep(3 * time.Second)
	stop := f.load(150, "/look/")
	time.Sleep(6 * time.Second)
	for i := range sickRounds {
		s := keyed[i]
		began := time.Now()
		f.note("upstream %s is sick for %s: %t", s.id, sickFor, f.trouble)
		time.Sleep(copiesAfter)
		if f.trouble {
			fmt.Fprintln(s.in, sickGrants)
		}
		time.Sleep(leavesAfter - copiesAfter)
		f.note("upstream %s announces that it leaves", s.id)
		fmt.Fprintln(s.in, "draining")
		time.Sleep(sickFor - leavesAfter)
		fmt.Fprintln(s.in, 0)
		f.noteDose(s.id, began, time.Now())
		time.Sleep(leaveFor)
		f.kill(s)
		f.store.put("keyed.servers", s.id, nil)
		f.addUpstream(keyedService, 60*time.Millisecond)
		time.Sleep(3 * time.Second)
	}
	f.noteLoad(stop())
	status := f.checkGenerations()
	f.checkOwners("two holders (renewals taken late, which that part of the rule doesn't count)")
	return status
}

// noteDose writes how many of its answers an upstream copied in a time, and how many of its
// orders it left unanswered.
func (f *fleet) noteDose(id string, from, to time.Time) {
	f.mu.Lock()
	answers, orders, unanswered := 0, 0, 0
	for _, e := range f.events {
		if e.ID != id || e.At < from.UnixNano() || e.At > to.UnixNano() {
			continue
		}
		switch e.Kind {
		case "run":
			answers++
		case "grant", "release":
			answers++
			orders++
		case "unanswered-grant":
			orders++
			unanswered++
		}
	}
	f.mu.Unlock()
	f.note("upstream %s copied %d of %d answers and left %d of %d orders unanswered", id, unanswered, answers, unanswered, orders)
}

// checkGenerations applies the second part of the rule OWNER: no upstream takes a key with a
// generation number that isn't above all with which other upstreams had it.
func (f *fleet) checkGenerations() int {
	f.mu.Lock()
	events := append([]event{}, f.events...)
	f.mu.Unlock()
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	type taken struct {
		fence int64
		id    string
	}
	highest := map[int]taken{}
	status := held
	for _, e := range events {
		if e.Kind != "grant" && e.Kind != "late-grant" || e.HoldS <= 0 {
			continue
		}
		reported := false
		for key := (e.From + keyStep - 1) / keyStep * keyStep; key <= e.To; key += keyStep {
			before := highest[key]
			if before.id != "" && before.id != e.ID && e.Fence <= before.fence {
				status = broken
				if !reported {
					f.note("OWNER broken: %s took key %d at %.3f s by a %s with generation %d, for %.3f s more; %s had had it with generation %d",
						e.ID, key, f.at(e.At), e.Kind, e.Fence, e.HoldS, before.id, before.fence)
				}
				reported = true
			}
			if e.Fence > before.fence {
				highest[key] = taken{e.Fence, e.ID}
			}
		}
	}
	return status
}
