package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// segment makes the link of a requester one with small windows: as on the platform's links, a
// peer that does not read then blocks the writer.
const segment = 536

// slowReaders lets requesters within the limits ask for answers of ordinary size. With trouble
// they read slowly, and otherwise at once.
func slowReaders(d *deployment, trouble bool) (bool, error) {
	return playAttack(d, attack{
		requesters: 1200, openFor: 3 * time.Second, lasts: 8 * time.Second, answerBytes: 120_000,
		send: func(address, id string, end time.Time) (int, bool) { return ask(address, id, trouble, end) },
	})
}

// ask sends a request on a channel of its own and reads the answer, slowly if slow is set.
func ask(address, id string, slow bool, end time.Time) (status int, whole bool) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		})
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return 0, false
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
				return 0, false
			}
			return statusOf(answer), false
		}
		if total := wholeLength(answer); total > 0 && len(answer) >= total {
			if !slow {
				time.Sleep(time.Until(end)) // keeps the channel open, as the slow ones do
			}
			return statusOf(answer), true
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
