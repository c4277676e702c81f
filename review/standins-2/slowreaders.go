package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readers     = 1200
	answerBytes = 128_000
	openFor     = 3 * time.Second // over which the requesters open their channels
	readFor     = 8 * time.Second // after which a slow requester has its answer or leaves
	// segment makes the link of a requester one with small windows: as on the platform's
	// links, a peer that does not read then blocks the writer.
	segment = 536
)

// slowReaders lets requesters within the limits ask two machines for answers of ordinary size,
// and checks that the processes stay within the memory of their machines, beyond which the
// platform kills them and starts them again. With trouble, the requesters read slowly. The
// rule is broken if on two machines processes end three times.
func slowReaders(d *deployment, trouble bool) (bool, error) {
	d.configure(4)
	for i := range 8 {
		u, err := startUpstream(d.store, d.rec, fmt.Sprintf("i-%04d", i+1), "desk", "labadi", 3, 5*time.Millisecond, answerBytes)
		if err != nil {
			return false, err
		}
		d.upstreams = append(d.upstreams, u)
	}
	m := machine{144, 3075}
	ends, names := [2]int{}, [2]string{"front-labadi-1", "front-labadi-2"}
	var vms [2]*vm
	for i := range vms {
		v, err := d.startVM(names[i], "labadi", m)
		if err != nil {
			return false, err
		}
		vms[i] = v
	}
	for round := range 3 {
		for i, v := range vms {
			if !v.running() { // the platform starts it again
				again, err := d.restartVM(v, m)
				if err != nil {
					return false, err
				}
				vms[i] = again
			}
		}
		for _, v := range vms {
			if err := v.waitReady(); err != nil {
				return false, err
			}
		}
		time.Sleep(4 * time.Second)
		var wg sync.WaitGroup
		var ended [2]bool
		for i, v := range vms {
			wg.Go(func() { ended[i] = crowd(d, v, m, round, trouble) })
		}
		wg.Wait()
		for i := range vms {
			if ended[i] {
				ends[i]++
			}
		}
	}
	d.rec.logf("ends of processes: %s %d, %s %d", names[0], ends[0], names[1], ends[1])
	return ends[0] >= 3 && ends[1] >= 3, nil
}

// crowd plays one round of requesters at a machine, with the platform that watches its memory,
// and reports whether the process has ended.
func crowd(d *deployment, v *vm, m machine, round int, slow bool) bool {
	d.rec.logf("round %d: %s uses %d MB of %d MB before the requests", round+1, v.name, v.residentMB("VmRSS"), m.memoryMB)
	var peak atomic.Int64
	done := make(chan struct{})
	go func() { // the platform
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			mb := v.residentMB("VmRSS")
			peak.Store(max(peak.Load(), int64(mb)))
			if mb > m.memoryMB && v.running() {
				d.rec.logf("%s uses %d MB, over the %d MB of its machine: the platform kills it", v.name, mb, m.memoryMB)
				v.cmd.Process.Kill()
				<-v.exited
				return
			}
		}
	}()
	var wg sync.WaitGroup
	var whole, failed, cut atomic.Int64
	end := time.Now().Add(openFor + readFor)
	for i := range readers {
		wg.Go(func() {
			time.Sleep(openFor * time.Duration(i) / readers)
			switch status, all, err := ask(v.front(), fmt.Sprintf("r-%s-%d-%d", v.name, round, i), slow, end); {
			case err != nil || status == 200 && !all:
				cut.Add(1)
			case status != 200:
				failed.Add(1)
			default:
				whole.Add(1)
			}
		})
	}
	wg.Wait()
	close(done)
	prefix, ran := fmt.Sprintf("r-%s-%d-", v.name, round), 0
	for _, u := range d.upstreams {
		u.mu.Lock()
		for id := range u.runs {
			if strings.HasPrefix(id, prefix) {
				ran++
			}
		}
		u.mu.Unlock()
	}
	d.rec.logf("round %d: %s: %d requests sent, %d run by upstreams, %d answered whole, %d refused or failed with an answer, %d without a whole answer; peak memory %d MB",
		round+1, v.name, readers, ran, whole.Load(), failed.Load(), cut.Load(), peak.Load())
	if v.running() {
		return false
	}
	d.rec.logf("%s has ended: %v", v.name, v.ended)
	return true
}

// ask sends a request on a channel of its own and reads the answer, slowly if slow is set.
func ask(address, id string, slow bool, end time.Time) (status int, whole bool, err error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		})
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	c.SetDeadline(end)
	fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nRequest-Deadline: 8000\r\n\r\n", id, id)
	var answer []byte
	buffer := make([]byte, 2048)
	for {
		n, err := c.Read(buffer)
		answer = append(answer, buffer[:n]...)
		if err != nil {
			if len(answer) < 12 {
				return 0, false, err
			}
			return statusOf(answer), false, nil
		}
		if total := wholeLength(answer); total > 0 && len(answer) >= total {
			if !slow {
				time.Sleep(time.Until(end)) // keeps the channel open, as the slow ones do
			}
			return statusOf(answer), true, nil
		}
		if slow {
			time.Sleep(200 * time.Millisecond) // about 10 KB/s
		}
	}
}

// statusOf returns the status of an answer that has begun.
func statusOf(answer []byte) (status int) {
	if len(answer) >= 12 {
		fmt.Sscanf(string(answer[9:12]), "%d", &status)
	}
	return status
}

// wholeLength returns the length of an answer with its head, 0 while that is not known.
func wholeLength(answer []byte) int {
	head := indexOf(answer, "\r\n\r\n")
	if head < 0 {
		return 0
	}
	at := indexOf(answer[:head], "Content-Length: ")
	if at < 0 {
		return head + 4
	}
	length := 0
	fmt.Sscanf(string(answer[at+16:]), "%d", &length)
	return head + 4 + length
}

func indexOf(b []byte, s string) int {
	for i := 0; i+len(s) <= len(b); i++ {
		if string(b[i:i+len(s)]) == s {
			return i
		}
	}
	return -1
}
