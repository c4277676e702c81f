package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploads       = 4
	uploadBytes   = 60 << 20 // the configured maxBodyBytes is 64 MiB
	memoryMB      = 284
	memoryPoll    = 10 * time.Millisecond
	bookers       = 10
	bookWork      = 250 * time.Millisecond
	mostLost      = 3 // of the rule LOST
	uploadTimeout = 8 * time.Second
)

// bigUploads plays requesters that send large bodies, within the limits of the configuration,
// to one VM: at the same time or, without the disruption, one after the other. Others book on
// kept channels meanwhile. The platform ends a process that exceeds its memory.
func bigUploads(f *fleet) int {
	f.configure(7, 8)
	f.addUpstream(keyedService, 60*time.Millisecond)
	for range 6 {
		f.addUpstream(poolService, bookWork)
	}
	f.startVMs()
	f.awaitReady()
	time.Sleep(3 * time.Second)
	v := f.vms[0]
	watched := f.watchMemory(v)
	stop := make(chan struct{})
	var wg, sending sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for range bookers {
		wg.Go(func() {
			n := f.book(v, stop)
			mu.Lock()
			defer mu.Unlock()
			lost += n
		})
	}
	time.Sleep(3 * time.Second)
	for range uploads {
		send := func() { f.upload(v) }
		if f.trouble {
			sending.Go(send)
			continue
		}
		send()
		time.Sleep(time.Second)
	}
	sending.Wait()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	f.note("most memory of %s: %d MB of %d MB, process ended for it: %t", v.name, watched.peak(), memoryMB, watched.exceeded())
	f.note("%d bookings had been passed on to an upstream on a kept channel that was closed without an answer", lost)
	if watched.exceeded() && lost > mostLost {
		return broken
	}
	return held
}

// upload sends one large booking.
func (f *fleet) upload(v *vm) {
	id := newID()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/book/"+id, bytes.NewReader(make([]byte, uploadBytes)))
	must(err)
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(uploadTimeout.Milliseconds(), 10))
	client := http.Client{Timeout: uploadTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		f.note("upload %s of %d bytes: %v", id, uploadBytes, err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	f.note("upload %s of %d bytes: %d", id, uploadBytes, resp.StatusCode)
}

// book sends bookings on one kept channel after the other until stop is closed, and returns
// how many of them an upstream had begun to run although their channel, which had carried
// requests before, ended without an answer.
func (f *fleet) book(v *vm, stop chan struct{}) (lost int) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	for kept := false; ; {
		select {
		case <-stop:
			return lost
		default:
		}
		id := newID()
		req, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/book/"+id, io.NopCloser(strings.NewReader("one place")))
		must(err)
		req.Host, req.ContentLength = host, 9
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Request-Deadline", "2000")
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond) // what the upstream told has been read by then
			if !kept && !f.ran(id) {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			f.note("booking %s, kept channel %t: no answer: %v; ran %t", id, kept, err, f.ran(id))
			if kept && f.ran(id) {
				lost++
			}
			kept = false
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		f.note("booking %s, kept channel %t: %d", id, kept, resp.StatusCode)
		kept = true
	}
}

// memoryWatch ends a VM's process once it exceeds its memory, as the platform does.
type memoryWatch struct {
	mu     sync.Mutex
	peakMB int
	killed bool
}

func (w *memoryWatch) peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakMB
}

func (w *memoryWatch) exceeded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

func (f *fleet) watchMemory(v *vm) *memoryWatch {
	w := &memoryWatch{}
	go func() {
		for {
			select {
			case <-v.exited:
				return
			case <-time.After(memoryPoll):
			}
			mb := residentMB(v.cmd.Process.Pid)
			w.mu.Lock()
			w.peakMB = max(w.peakMB, mb)
			if mb > memoryMB {
				w.killed = true
				f.note("VM %s uses %d MB, more than its memoryMb of %d: the platform kills it", v.name, mb, memoryMB)
				_ = v.cmd.Process.Signal(syscall.SIGKILL)
			}
			w.mu.Unlock()
		}
	}()
	return w
}

// residentMB returns the resident memory of a process that this program started.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}
