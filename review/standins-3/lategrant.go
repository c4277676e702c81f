package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	carriedOutAfter = 2 * time.Second // the least delay of an order that is carried out late
	rounds          = 4
	roundPause      = 6 * time.Second // from the end of a round to the next one
)

// lateGrant makes an upstream send one second copy of its answer to a grant, late, and leave
// one later grant unanswered, which it carries out after carriedOutAfter.
type lateGrant struct {
	mu     sync.Mutex
	copyOn net.Conn      // the connection on which a second copy is still to be sent
	done   chan struct{} // closed when the grant was left unanswered
	left   bool
}

func (t *lateGrant) onGrant(u *upstream, c net.Conn, g grantCall, arrived time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.left:
		return false
	case t.copyOn == nil:
		t.copyOn = c // the sound answer follows now, its second copy with the next call
		return false
	case t.copyOn != c:
		return false
	}
	t.left = true
	close(t.done)
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	u.r.record.note("%s sends a second copy of its last answer, leaves the grant of %d to %d, fence %d, %.2f s, unanswered, and will carry it out in %s", u.id, g.From, g.To, g.Fence, g.HoldS, carriedOutAfter)
	time.AfterFunc(carriedOutAfter, func() {
		if time.Since(arrived).Seconds() >= g.HoldS {
			u.r.record.note("%s drops the late grant of %d to %d: its time is over", u.id, g.From, g.To)
			return
		}
		u.r.record.note("%s carries the late grant of %d to %d, fence %d, out", u.id, g.From, g.To, g.Fence)
		u.grant(g, arrived)
	})
	return true
}

// grantsTakenForAnswered empties upstreams one after the other; each sends a second copy of an
// answer and leaves a grant unanswered right before.
func grantsTakenForAnswered(r *rig, trouble bool) (broken int, err error) {
	routeTimeoutS = 2
	r.configure(map[string]bool{"board": true})
	for i := range 6 {
		if _, err := r.addUpstream(fmt.Sprintf("i-board%d", i), "board", zones[i%3], true, 30*time.Millisecond); err != nil {
			return 0, err
		}
	}
	if err := r.startAll(); err != nil {
		return 0, err
	}
	served := 0
	span := rounds*(roundPause+2*time.Second) + 4*time.Second
	go r.traffic(span, 9, 40*time.Millisecond, func(n int) (string, string, int, string) {
		key := n * 7919 % 65536
		if n%2 == 0 {
			return "GET", fmt.Sprintf("/board/safe/%d", n), key, ""
		}
		return "POST", fmt.Sprintf("/board/unsafe/%d", n), key, "a booking"
	}, func(a reply) {
		if a.status == 200 {
			served++
		}
	})
	time.Sleep(4 * time.Second)
	for n := range rounds {
		u := r.upstreams[n]
		if trouble {
			t := &lateGrant{done: make(chan struct{})}
			u.mu.Lock()
			u.onGrant = t.onGrant
			u.mu.Unlock()
			select {
			case <-t.done:
			case <-time.After(2 * time.Second):
				r.record.note("%s has had no chance to leave a grant unanswered", u.id)
			}
		}
		r.record.note("%s reports that it is draining", u.id)
		u.drain()
		if _, err := r.addUpstream(fmt.Sprintf("i-board%d", 6+n), "board", u.zone, true, 30*time.Millisecond); err != nil {
			return 0, err
		}
		time.Sleep(roundPause)
		u.leave()
	}
	time.Sleep(time.Second)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	r.record.note("%d requests got a success", served)
	owners.Lock()
	defer owners.Unlock()
	return owners.broken, nil
}
