package main

import (
	"fmt"
	"sort"
	"time"
)

const (
	// restartPause is for how long a restarted upstream is down.
	restartPause    = 300 * time.Millisecond
	restarts        = 12
	restartInterval = 5 * time.Second
	// mostOverlap is for how long the rule OWNER lets two upstreams hold a key.
	mostOverlap = 500 * time.Millisecond
	keyStep     = 64 // every so many keys one is looked at
)

// restartSameID restarts upstreams in place, one at a time: each comes back under the id and
// the address that it had.
func restartSameID(f *fleet) int {
	f.configure(7, 1.2)
	var keyed []*server
	for range 8 {
		keyed = append(keyed, f.addUpstream(keyedService, 60*time.Millisecond))
	}
	f.addUpstream(poolService, 60*time.Millisecond)
	f.startVMs()
	f.awaitReady()
	time.Sleep(3 * time.Second)
	stop := f.load(150, "/look/")
	time.Sleep(8 * time.Second)
	for i := range restarts {
		s := keyed[i%len(keyed)]
		if f.trouble {
			f.note("upstream %s is killed and starts again under its id %s later", s.id, restartPause)
			f.kill(s)
			time.Sleep(restartPause)
			f.startUpstream(s, "-cold")
		}
		time.Sleep(restartInterval)
	}
	f.noteLoad(stop())
	return f.checkOwners("OWNER broken")
}

// span is a time during which a process of an upstream holds a key.
type span struct {
	process  string
	upstream string
	from, to int64 // Unix nanoseconds
	fence    int64
}

// checkOwners applies the rule OWNER to the grants, releases and ends that the upstreams
// told: no two upstreams that are up hold a key for over half a second. What it finds is
// noted under the given heading.
func (f *fleet) checkOwners(heading string) int {
	f.mu.Lock()
	events := append([]event{}, f.events...)
	f.mu.Unlock()
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	status, seen := held, map[string]int{}
	for key := 0; key < keys; key += keyStep {
		spans := spansOf(events, key)
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				overlap := time.Duration(min(a.to, b.to) - max(a.from, b.from))
				if a.upstream == b.upstream || overlap <= mostOverlap {
					continue
				}
				status = broken
				pair := a.process + " and " + b.process
				if seen[pair]++; seen[pair] == 1 {
					f.note("%s: key %d was held by %s (generation %d, %.3f to %.3f s) and %s (generation %d, %.3f to %.3f s), both for %s",
						heading, key, a.process, a.fence, f.at(a.from), f.at(a.to), b.process, b.fence, f.at(b.from), f.at(b.to), overlap)
				}
			}
		}
	}
	for pair, n := range seen {
		f.note("%s: %s held %d of the %d keys looked at both for over %s", heading, pair, n, keys/keyStep, mostOverlap)
	}
	return status
}

func (f *fleet) at(ns int64) float64 { return float64(ns-f.began.UnixNano()) / 1e9 }

// spansOf returns when which process held a key.
func spansOf(events []event, key int) []span {
	var out []span
	open := map[string]*span{} // by id of the upstream
	end := func(id string, at int64) {
		if s := open[id]; s != nil {
			s.to = min(s.to, at)
			out = append(out, *s)
			delete(open, id)
		}
	}
	for _, e := range events {
		switch {
		case e.Kind == "killed":
			end(e.ID, e.At)
		case key < e.From || key > e.To:
		case e.Kind == "release":
			end(e.ID, e.At)
		case e.Kind == "grant" || e.Kind == "late-grant":
			until := e.At + int64(e.HoldS*float64(time.Second))
			if s := open[e.ID]; s != nil && s.to >= e.At {
				s.to, s.fence = until, e.Fence
				continue
			}
			end(e.ID, e.At)
			open[e.ID] = &span{fmt.Sprintf("%s born %d", e.ID, e.Born), e.ID, e.At, until, e.Fence}
		}
	}
	for id := range open {
		end(id, 1<<62)
	}
	return out
}
