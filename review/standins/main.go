// Command standins shows faults of mangogate with real processes on loopback: it starts VMs
// with the command of the deploy file, plays the store, the upstreams and the requesters, and
// checks one rule by what upstreams and requesters have seen.
//
//	standins CASE RECORD   plays a case and writes what happened to the file RECORD
//	standins upstream ...  is one upstream, started by a case
//
// The exit status of a case is 1 if the rule was broken, 0 if it held, 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(*fleet) int{
	"restart-same-id": restartSameID,
	"half-close":      halfClose,
	"big-uploads":     bigUploads,
	"copy-of-grant":   copyOfGrant,
	"foreign-entry":   foreignEntry,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		runUpstream(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and ends all processes that it started.
func play(name, recordPath string) (status int) {
	f, err := newFleet(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.close()
	defer func() {
		if p := recover(); p != nil {
			f.note("could not run: %v", p)
			status = couldNot
		}
		f.note("exit status %d", status)
	}()
	return cases[name](f)
}

// must ends a case that cannot run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
