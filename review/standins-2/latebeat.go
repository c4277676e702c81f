package main

import (
	"fmt"
	"time"
)

// lateBeat checks that no two upstreams hold a key for over half a second. An upstream crashes
// and starts again under its id at another address, and its address goes to an upstream of
// another service. With trouble, the store left the last write of the upstream's first life
// without an answer and carries it out late.
func lateBeat(d *deployment, trouble bool) (bool, error) {
	if err := d.startKeyed(); err != nil {
		return false, err
	}
	l := d.startLoad()
	time.Sleep(5 * time.Second)

	old := d.upstreams[0]
	address := old.listener.Addr().String()
	if trouble {
		old.beatUnanswered(lateness)
		d.rec.logf("the store does not answer a write of %s", old.id)
	} else {
		old.beat()
	}
	time.Sleep(100 * time.Millisecond)
	crashedAt := time.Now()
	old.crash()
	d.rec.logf("%s at %s crashes; it holds nothing any more", old.id, address)
	time.Sleep(700 * time.Millisecond)
	again, err := d.startAgain(old)
	if err != nil {
		return false, err
	}
	time.Sleep(1800 * time.Millisecond)
	if err := d.reuse(address, crashedAt); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	d.rec.logf("%s holds %d of %d recorded keys", again.id, again.keyed.keys(), allKeys/keyStride)
	if again.keyed.keys() == 0 {
		return false, fmt.Errorf("%s was granted no keys", again.id)
	}
	time.Sleep(6 * time.Second)
	return d.end(l), nil
}

// lateness is how late the store carries out the write: 1 to 6 s.
const lateness = 4 * time.Second
