// Command rig plays one case of the review: it starts processes of the router with the
// command of the deploy file on loopback addresses, beside stand-ins for the store, the
// upstreams and the requesters.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the name of a case to what it does. It returns how often the rule was broken.
var cases = map[string]func(r *rig, trouble bool) (broken int, err error){
	"heads":   answersWithLargeHeads,
	"noproof": answersWithoutProof,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", "../..", "root of the repository")
	trouble := flag.Bool("trouble", true, "false leaves the disruption out")
	flag.Parse()
	os.Exit(play(*name, *record, *root, *trouble))
}

func play(name, record, root string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRig(root, record, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := run(r, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	result := "the rule held"
	if broken > 0 {
		result = fmt.Sprintf("the rule was broken %d times", broken)
	}
	r.record.note("%s", result)
	fmt.Println(name+":", result)
	if broken > 0 {
		return 1
	}
	return 0
}
