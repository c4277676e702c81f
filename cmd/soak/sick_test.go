package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	sickFor = 6 * time.Second // during which sick targets or odd entries are in use
	// memoryMB is the memory limit of each VM.
	memoryMB = 256
)

// endlessAnswers are the first bytes of answers that never end, and the bytes that
// follow them again and again.
var endlessAnswers = [...]struct{ first, repeated string }{
	{"", "\x00no answer "},
	{"HTTP/1.1 200 OK\r\nA: ", "x"},
	{"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	{"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
}

// addEndlessTarget adds a target that answers each request, grants and releases
// included, with one of endlessAnswers, and counts its answers.
func (f *fleet) addEndlessTarget(service string, kind int, answers *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	answer := endlessAnswers[kind]
	repeated := strings.Repeat(answer.repeated, 64<<10/len(answer.repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				answers.Add(1)
				_, err = io.WriteString(c, strings.ReplaceAll(answer.first, "%s", r.Header.Get("Attempt-Id")))
				for err == nil {
					_, err = io.WriteString(c, repeated)
				}
			}()
		}
	}()
	f.store.Put("keyed.servers", fmt.Sprintf("sick-%s-%d", service, kind), map[string]any{
		"service": service, "address": l.Addr().String(), "zone": f.zone(kind), "version": "v1", "slots": targetSlots,
		"state": "ready", "warmupLeftS": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// peakMemoryMB returns the largest resident memory that the VM's process has had.
func (v *vm) peakMemoryMB(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	require.NoError(t, err, "%s has ended", v.name)
	_, peak, ok := strings.Cut(string(status), "VmHWM:")
	require.True(t, ok)
	kB, err := strconv.Atoi(strings.Fields(peak)[0])
	require.NoError(t, err)
	return kB >> 10
}

// Guards against a VM that keeps all that a sick target sends, runs out of memory and
// takes the requests of other callers with it: the answers, in their heads or bodies,
// end only when the VM closes the connection.
func TestTargetsThatSendWithoutEndLeaveVMsRunning(t *testing.T) {
	f := startReadyFleet(t, buildProgram(t), 43, 3)
	var answers [len(endlessAnswers)]atomic.Int64
	for kind := range endlessAnswers {
		f.addEndlessTarget(poolService, kind, &answers[kind])
		f.addEndlessTarget(keyedService, kind, &answers[kind])
	}
	load, stop := startLoad(f, 43)
	time.Sleep(sickFor)
	for kind := range endlessAnswers {
		assert.Positive(t, answers[kind].Load(), "no target with the answer %q was used", endlessAnswers[kind].first)
		f.store.Put("keyed.servers", fmt.Sprintf("sick-%s-%d", poolService, kind), nil)
		f.store.Put("keyed.servers", fmt.Sprintf("sick-%s-%d", keyedService, kind), nil)
	}
	time.Sleep(recoveryLimit)
	load.begin()
	time.Sleep(2 * time.Second)
	served, total := load.end()
	stop()
	assert.GreaterOrEqual(t, served*10, total*9, "%d of %d requests were served after the sick targets had left", served, total)
	for _, v := range f.vms {
		assert.Equal(t, 1, v.starts(t), v.name)
		peak := v.peakMemoryMB(t)
		t.Logf("%s used up to %d MB", v.name, peak)
		assert.Less(t, peak, memoryMB, "MB at %s", v.name)
	}
	for _, p := range f.checker.violations {
		t.Error(p)
	}
}

// oddEntries are entries of targets that some other program has written. Nobody listens
// at their addresses.
var oddEntries = []string{
	strings.Repeat(`{"service":`, 20000), strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
	`{"version":` + strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000) + `,"service":"desk","address":"127.0.0.1:9","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1:9","zone":"z-a","slots":1e400,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1:9","zone":"z-a","slots":9223372036854775807,"state":"ready","born":9223372036854775807}`,
	`{"service":"board","address":"127.0.0.1:9","zone":"z-a","slots":9223372036854775807,"state":"ready","warmupLeftS":1e308}`,
	`{"service":"board","address":"127.0.0.1:9","zone":"z-a","slots":3,"state":"ready","warmupLeftS":-1e308,"born":-9223372036854775808}`,
	`{"service":"desk","address":"127.0.0.1:65536","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"board","address":"127.0.0.1:99999999999999999999","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"board","address":"127.0.0.1:-1","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"desk","address":"::::","zone":"","slots":3,"state":"ready"}`,
	`{"service":"` + strings.Repeat("s", 200<<10) + `","address":"127.0.0.1:9","zone":"z-a","slots":3,"state":"ready"}`,
	`{"service":"desk","address":"127.0.0.1:9","zone":"z-a","version":"v1","slots":9223372036854775807,"state":"ready","warmupLeftS":1e308,"sequence":1,"born":9223372036854775807}`,
	`{"service":"board","address":"127.0.0.1:65536","zone":"z-a","version":"v1","slots":3,"state":"ready","warmupLeftS":0,"sequence":1,"born":1}`,
	`{"service":"desk","address":"::::","zone":"","version":"v1","slots":3,"state":"ready","warmupLeftS":0,"sequence":1,"born":1}`,
	`[]`, `null`, `0`, `""`, "\xff\xfe\x00", "{", `{"service":null}`,
}

// Guards against VMs that end, or stop following the list of targets, because of an
// entry that another program has written.
func TestOddEntriesOfTargetsStopNoVM(t *testing.T) {
	f := startReadyFleet(t, buildProgram(t), 44, 3)
	load, stop := startLoad(f, 44)
	load.begin()
	for n, entry := range oddEntries {
		for _, key := range []string{"", fmt.Sprintf("odd-%d", n), fmt.Sprintf("\xff%c odd-%d", n, n)} {
			f.store.PutBytes("keyed.servers", key, []byte(entry))
		}
		time.Sleep(sickFor / time.Duration(len(oddEntries)))
	}
	f.store.Compact("keyed.servers") // a process that starts reads the newest entries
	f.stopInSeries(2, 1)
	f.drainOneOfEach()
	served, total := load.end()
	stop()
	assert.GreaterOrEqual(t, served*10, total*9, "%d of %d requests were served", served, total)
	f.checkNewestConfig()
	for n, v := range f.vms {
		assert.Equal(t, 1+n/2, v.starts(t), v.name)
		v.peakMemoryMB(t)
	}
	for _, p := range f.checker.violations {
		t.Error(p)
	}
}
