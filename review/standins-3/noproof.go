package main

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	spoilEach      = 55 // one in so many answers of the faulty upstream, below 0.02 of them
	faultySpan     = 5 * time.Second
	soundSpan      = 3 * time.Second
	noproofSeconds = 24 // three times both
)

// answersWithoutProof lets one of four upstreams of a service spoil a byte in the line with
// the proof of few of its answers, in three spans.
func answersWithoutProof(r *rig, trouble bool) (broken int, err error) {
	r.configure("desk")
	var faulty atomic.Bool
	for i := range 4 {
		u, err := r.addUpstream(fmt.Sprintf("i-desk%d", i), "desk", zones[i%3], 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if i == 0 {
			u.answer = spoilProof(&faulty)
		}
	}
	if err := r.startAll(); err != nil {
		return 0, err
	}
	if trouble {
		go func() {
			for {
				faulty.Store(true)
				time.Sleep(faultySpan)
				faulty.Store(false)
				time.Sleep(soundSpan)
			}
		}()
	}
	served := 0
	r.traffic(noproofSeconds*time.Second, 9, 40*time.Millisecond, func(n int) (string, string, string) {
		if n%2 == 0 {
			return "GET", fmt.Sprintf("/desk/safe/%d", n), ""
		}
		return "POST", fmt.Sprintf("/desk/unsafe/%d", n), "a booking"
	}, func(a reply) {
		if a.status < 200 || a.status > 299 {
			return
		}
		served++
		if a.header.Get("Response-Signature") == "" {
			broken++
			r.record.note("BROKEN MIXED: request %s (%s) gets the success %d without the proof of an upstream", a.id, a.path, a.status)
		}
	})
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	r.record.note("%d requests got a success", served)
	return broken, nil
}

// spoilProof returns a function that changes one byte of the name of the header with the
// proof in few answers, while faulty is set.
func spoilProof(faulty *atomic.Bool) func(*upstream, string, []byte) []byte {
	var answers atomic.Int64
	return func(u *upstream, id string, sound []byte) []byte {
		if !faulty.Load() || answers.Add(1)%spoilEach != 0 {
			return sound
		}
		u.r.record.note("%s spoils the proof of its answer to %s", u.id, id)
		return bytes.Replace(sound, []byte("Response-Signature"), []byte("Rasponse-Signature"), 1)
	}
}
