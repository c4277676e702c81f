package main

import "sync"

// taken is a grant that an upstream has taken.
type taken struct {
	lease
	by *upstream
}

var owners struct {
	sync.Mutex
	history []taken
	broken  int
}

// checkOwners checks the second sentence of OWNER for a grant: the fence has to be above all
// with which other upstreams had the keys.
func checkOwners(r *rig, u *upstream, l lease) {
	owners.Lock()
	defer owners.Unlock()
	for _, t := range owners.history {
		if t.by != u && t.From <= l.To && t.To >= l.From && t.Fence >= l.Fence {
			owners.broken++
			r.record.note("BROKEN OWNER: %s takes the keys %d to %d with fence %d; %s had keys of these with fence %d", u.id, l.From, l.To, l.Fence, t.by.id, t.Fence)
			break
		}
	}
	owners.history = append(owners.history, taken{l, u})
}
