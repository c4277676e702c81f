package hostile

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	crowd = 40 // hostile callers at a time
	// connections is more than lowered.maxFds.
	connections = 200
	// sendLimit ends the writes of a caller whose bytes the VM does not read.
	sendLimit = 5 * time.Second
)

// lowered lets the bodies of the crowd exceed the memory of the VM more than twice.
var lowered = limits{memoryMB: 144, maxFds: 128, bodyBytes: 8 << 20}

var binary string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "hostile")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "mangogate")
		if out, err := exec.Command("go", "build", "-o", binary, "github.com/mangogate/mangogate/cmd/mangogate").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// head returns the header of a request with the given further fields.
func head(method, path string, i int, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d-%d\r\nRequest-Deadline: 8000\r\n%s\r\n",
		method, path, host, i, time.Now().UnixNano(), strings.Join(append(fields, ""), "\r\n"))
}

// attack lets each caller of a crowd send on a connection of its own, and checks the VM
// while those that did not break off keep their connections open.
func attack(t *testing.T, l limits, callers int, send func(c net.Conn, i int)) {
	v := startVM(t, l)
	stop := v.watchDescriptors()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := v.dial()
			if c == nil {
				return
			}
			_ = c.SetWriteDeadline(time.Now().Add(sendLimit))
			send(c, i)
		})
	}
	wg.Wait()
	v.check(stop())
}

// sendAll writes pieces of a size until n bytes are written or the VM takes no more.
func sendAll(c net.Conn, n, piece int) bool {
	buffer := make([]byte, piece)
	for n > 0 {
		m, err := c.Write(buffer[:min(n, piece)])
		if err != nil {
			return false
		}
		n -= m
	}
	return true
}

// short returns how many bytes a caller of the crowd leaves out: most stop just short of
// the end of their body.
func short(i int) int {
	if i%10 == 0 {
		return 0
	}
	return 1
}

// Guards against a process that exceeds its memory because callers send many bodies of
// permitted size, whole or in pieces, and stop just short of the end.
func TestManyLargeBodies(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		fmt.Fprint(c, head(http.MethodPost, "/desk/1", i, fmt.Sprintf("Content-Length: %d", lowered.bodyBytes)))
		piece := 64 << 10
		if i%2 == 0 {
			piece = lowered.bodyBytes
		}
		sendAll(c, lowered.bodyBytes-short(i), piece)
	})
}

// chunks writes n bytes in chunks of a size, most of the time without the last chunk.
func chunks(c net.Conn, i, n, size int) {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, make([]byte, size))
	batch := bytes.Repeat(chunk, max(1, 64<<10/len(chunk)))
	for left := n / size * len(chunk); left > 0; {
		m, err := c.Write(batch[:min(left, len(batch))])
		if err != nil {
			return
		}
		left -= m
	}
	if short(i) == 0 {
		_, _ = c.Write([]byte("0\r\n\r\n")) // the VM may have closed the connection
	}
}

// Guards against a process that exceeds its memory by bodies of unknown length, whose
// buffers grow.
func TestManyLargeChunks(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		fmt.Fprint(c, head(http.MethodPost, "/desk/1", i, "Transfer-Encoding: chunked"))
		chunks(c, i, lowered.bodyBytes, 1<<20)
	})
}

// Guards against the same with chunks of one byte.
func TestManySmallChunks(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		fmt.Fprint(c, head(http.MethodPost, "/desk/1", i, "Transfer-Encoding: chunked"))
		chunks(c, i, 4<<20, 1)
	})
}

// Guards against memory for bodies that are declared far above the limit.
func TestDeclaredFarOverTheLimit(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		fmt.Fprint(c, head(http.MethodPost, "/desk/1", i, fmt.Sprintf("Content-Length: %d", 1<<30)))
		sendAll(c, 64<<20, 1<<20)
	})
}

// Guards against memory for bodies that go on far above the limit.
func TestSentFarOverTheLimit(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		fmt.Fprint(c, head(http.MethodPost, "/desk/1", i, "Transfer-Encoding: chunked"))
		chunks(c, i, 64<<20, 1<<20)
	})
}

// Guards against callers that occupy a process with headers that do not end.
func TestHeadersByteByByte(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		text := head(http.MethodPost, "/desk/1", i, "Content-Length: 9", "Padding: "+strings.Repeat("x", 400))
		for _, b := range []byte(text[:len(text)-2]) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
}

// Guards against a process that holds answers for callers that do not read them.
func TestAnswersThatAreNotRead(t *testing.T) {
	attack(t, lowered, crowd, func(c net.Conn, i int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // an error leaves the default size
		for range 8 {
			if _, err := fmt.Fprint(c, head(http.MethodPost, "/desk/large", i, "Content-Length: 0")); err != nil {
				return
			}
		}
		time.Sleep(sendLimit) // the VM fetches the answers meanwhile
	})
}

// Guards against callers that take all descriptors of a process and send nothing.
func TestConnectionsWithoutRequests(t *testing.T) {
	attack(t, lowered, connections, func(net.Conn, int) { time.Sleep(time.Second) })
}

// Guards against limits that refuse or cannot hold a single body of the maximum size.
func TestOneBodyOfMaximumSize(t *testing.T) {
	for _, memoryMB := range []int{144, 284} {
		t.Run(fmt.Sprintf("%d-MB", memoryMB), func(t *testing.T) {
			l := limits{memoryMB: memoryMB, maxFds: 128, bodyBytes: 64 << 20}
			v := startVM(t, l)
			stop := v.watchDescriptors()
			assert.Equal(t, http.StatusOK, v.send(make([]byte, l.bodyBytes), false))
			assert.Equal(t, http.StatusOK, v.send(make([]byte, l.bodyBytes), true), "chunked")
			v.check(stop())
		})
	}
}
