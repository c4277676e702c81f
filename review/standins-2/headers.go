package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// headerBytes is the size of the fields that a requester adds; with the others it stays below
// maxHeaderBytes, 16,384.
const headerBytes = 15_900

// headers lets requesters send heads within the limit and stop short of the end of a body of
// 10 bytes. With trouble a head has many short fields, and otherwise one long one.
func headers(d *deployment, trouble bool) (bool, error) {
	fields := "x-note: " + strings.Repeat("n", headerBytes-10) + "\r\n"
	if trouble {
		var b strings.Builder
		for n := 0; b.Len() < headerBytes-8; n++ {
			fmt.Fprintf(&b, "x%x:\r\n", n)
		}
		fields = b.String()
	}
	return playAttack(d, attack{
		requesters: 700, openFor: 2 * time.Second, lasts: 4 * time.Second, answerBytes: 400,
		send: func(address, id string, end time.Time) (int, bool) {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return 0, false
			}
			defer c.Close()
			c.SetDeadline(end)
			fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nRequest-Deadline: 4000\r\nContent-Length: 10\r\n%s\r\n123456789", id, fields)
			answer, _ := io.ReadAll(c) // until end, or until the channel is closed
			return statusOf(answer), wholeLength(answer) > 0 && len(answer) >= wholeLength(answer)
		},
	})
}
