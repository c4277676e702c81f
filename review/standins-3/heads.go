package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	headFields   = 3000 // of an answer, 19 bytes each
	crowd        = 1500 // requesters at each of the machines
	headsSeconds = 65
	// A slow requester reads slowBytes each slowPause, 10 KB/s.
	slowBytes = 1000
	slowPause = 100 * time.Millisecond
	// A segment of the requesters' links, and the window that a slow one offers.
	segmentBytes = 536
	windowBytes  = 2048
	fastPause    = 3 * time.Second // of a requester that reads at once
	refusedPause = time.Second     // of a requester that was refused, as Retry-After says
	bodyBytes    = 30_000          // of an answer, the most of the site's sheet
	killsToBreak = 3               // on each of two machines
	restartDelay = 500 * time.Millisecond
)

// answersWithLargeHeads lets requesters read answers slowly whose heads have many short
// fields. The rig plays the platform: it kills a process whose resident memory exceeds
// memoryMb, and starts it again.
func answersWithLargeHeads(r *rig, trouble bool) (broken int, err error) {
	r.vms = r.vms[:2]
	r.configure("desk")
	for i := range 12 {
		u, err := r.addUpstream(fmt.Sprintf("i-desk%d", i), "desk", zones[i%3], 10*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.answer = addFields
	}
	if err := r.startAll(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	kills := make([]int, len(r.vms))
	var watchers, requesters sync.WaitGroup
	for i, v := range r.vms {
		watchers.Go(func() { kills[i] = r.enforceMemory(v, stop) })
	}
	var whole atomic.Int64
	end := time.Now().Add(headsSeconds * time.Second)
	for _, v := range r.vms {
		for n := range crowd {
			requesters.Go(func() {
				time.Sleep(time.Duration(n) * 4 * time.Millisecond)
				for time.Now().Before(end) {
					if r.readAnswers(v, n, trouble, end, &whole) != nil {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	requesters.Wait()
	close(stop)
	watchers.Wait()
	ended := 0
	for i, n := range kills {
		r.record.note("%s was killed %d times for its memory", r.vms[i].name, n)
		if n >= killsToBreak {
			ended++
		}
	}
	r.record.note("%d answers were read whole", whole.Load())
	switch {
	case ended >= 2:
		return ended, nil
	case whole.Load() == 0:
		return 0, fmt.Errorf("no answer was read")
	}
	return 0, nil
}

// addFields adds headFields short fields to the head of an answer, and makes its body longer.
func addFields(_ *upstream, _ string, sound []byte) []byte {
	var fields strings.Builder
	for i := range headFields {
		fmt.Fprintf(&fields, "X-Note-%04d: %04d\r\n", i, i)
	}
	head, _, _ := strings.Cut(string(sound), "Content-Length")
	return fmt.Appendf(nil, "%s%sContent-Length: %d\r\n\r\n%s", head, fields.String(), bodyBytes, strings.Repeat("x", bodyBytes))
}

// readAnswers sends requests one after the other on one channel and reads their answers.
func (r *rig) readAnswers(v *vm, n int, slow bool, end time.Time, whole *atomic.Int64) error {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if slow {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			}
		})
	}}
	c, err := d.Dial("tcp", v.front)
	if err != nil {
		return err
	}
	defer c.Close()
	in := bufio.NewReaderSize(&slowReader{c, slow}, slowBytes)
	for time.Now().Before(end) {
		id := fmt.Sprintf("%s-%d-%d", v.name, n, lastID.Add(1))
		c.SetDeadline(time.Now().Add(15 * time.Second))
		r.record.note("request %s is sent to %s", id, v.name)
		if _, err := fmt.Fprintf(c, "GET /desk/safe/%d HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\nRequest-Deadline: 10000\r\n\r\n", n, id); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			r.record.note("request %s gets no whole answer: %v", id, err)
			return err
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			r.record.note("request %s gets no whole body: %v", id, err)
			return err
		}
		resp.Body.Close()
		r.record.note("request %s gets %d with %d fields", id, resp.StatusCode, len(resp.Header))
		if resp.StatusCode == 200 {
			whole.Add(1)
		} else {
			time.Sleep(refusedPause)
		}
		if !slow {
			time.Sleep(fastPause)
		}
	}
	return nil
}

// slowReader reads slowBytes each slowPause if slow is set.
type slowReader struct {
	net.Conn
	slow bool
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.slow {
		time.Sleep(slowPause)
		p = p[:min(len(p), slowBytes)]
	}
	return s.Conn.Read(p)
}

// enforceMemory kills the process of a VM whenever its resident memory exceeds memoryMb, and
// starts it again. It returns how often it did when stop is closed.
func (r *rig) enforceMemory(v *vm, stop chan struct{}) (kills int) {
	most := 0
	defer func() { r.record.note("%s had %d MB of resident memory at most", v.name, most) }()
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(v.cmd.Process.Pid)
		most = max(most, mb)
		select {
		case <-v.exited:
			r.record.note("%s has ended by itself", v.name)
		default:
			if mb <= memoryMB {
				continue
			}
			r.record.note("%s has %d MB of resident memory, above %d MB: it is killed", v.name, mb, memoryMB)
			v.cmd.Process.Kill()
			<-v.exited
		}
		kills++
		time.Sleep(restartDelay)
		if err := r.start(v); err != nil {
			r.record.note("%s was not started again: %v", v.name, err)
			return kills
		}
	}
}

// residentMB returns the resident memory of a process in MB, 0 if it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb / 1024
		}
	}
	return 0
}
