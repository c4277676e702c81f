// Command drive plays the scripts of the second review: it starts the program's processes
// beside stand-ins of the store and of upstreams, and checks a rule from what requesters,
// upstreams and the platform see. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"slow-readers": slowReaders,
	"leaving":      leaving,
	"reborn":       reborn,
	"late-beat":    lateBeat,
	"headers":      headers,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER REPOSITORY")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, folder, root string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	rec := &recorder{file: file, began: time.Now()}
	d, err := newDeployment(dir, root, rec)
	if err != nil {
		return fail(err)
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %v", name, trouble)
	broken, err := cases[name](d, trouble)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		return fail(err)
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
