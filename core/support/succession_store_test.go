package support

import "time"

// append sends one append behind the end of the log that the VM knows. conflict tells that the
// store has refused it because the log has grown.
func (v *modelVM) append(e entry, answer func(ok, conflict bool)) {
	m, end, answered := v.m, v.end, false
	began := m.now
	finish := func(ok, conflict bool) {
		if !answered {
			answered = true
			answer(ok, conflict)
		}
	}
	if m.now < m.noStore[v.index] {
		m.after(0, v, func() { finish(false, false) })
		return
	}
	m.after(rpcTimeout, v, func() { finish(false, false) })
	m.after(m.way(2*time.Second), nil, func() {
		if len(m.log) != end {
			m.after(0, v, func() { finish(false, true) })
			return
		}
		if e.cell != nil {
			e.cell.number = int64(end) + 1
			m.note("record %d of %s replaces the one before: %v, earlier grants %s", e.cell.number, e.cell.process, e.cell.keys, e.cell.earlier)
		}
		m.log = append(m.log, e)
		if m.now < m.noAnswer[v.index] {
			return
		}
		m.after(0, v, func() {
			if !answered {
				v.apply(m.log[:end+1], began)
				finish(true, false)
			}
		})
	})
}

// read reads the log to its end.
func (v *modelVM) read(then func(ok bool)) {
	m, began, answered := v.m, v.m.now, false
	if m.now < m.noStore[v.index] {
		m.after(0, v, func() { then(false) })
		return
	}
	m.after(rpcTimeout, v, func() {
		if !answered {
			answered = true
			then(false)
		}
	})
	m.after(m.way(rpcTimeout), nil, func() {
		read := m.log[:len(m.log):len(m.log)]
		if m.now < m.noAnswer[v.index] {
			return
		}
		m.after(m.way(rpcTimeout), v, func() {
			if !answered {
				answered = true
				v.apply(read, began)
				then(true)
			}
		})
	})
}

// apply applies the log as it was at some time after began.
func (v *modelVM) apply(log []entry, began time.Duration) {
	if len(log) < v.end {
		return
	}
	for _, e := range log[v.end:] {
		if e.cell == nil {
			v.registered[e.vm] = e.process
		}
		v.learn(e.cell)
	}
	v.end, v.freshAt = len(log), max(v.freshAt, began)
}

func (v *modelVM) learn(r *record) {
	if r != nil && (v.cell == nil || r.number > v.cell.number) {
		v.cell = r
	}
}

// sync exchanges views with all other VMs that the VM reaches.
func (v *modelVM) sync() {
	m := v.m
	for i, o := range m.vms {
		if o == nil || o == v || m.now < o.frozenUntil || m.now < m.cut[v.index][i] || m.now < m.cut[i][v.index] {
			continue
		}
		v.heard[o.process] = m.now
		v.learn(o.cell)
		if o.end >= v.end {
			v.apply(m.log[:o.end], o.freshAt)
		}
	}
}

// write writes a record in place of previous, and retries until its outcome is known or the
// given time has come.
func (v *modelVM) write(r, previous *record, until time.Duration, then func(ok bool)) {
	if v.m.faults.replacesNewest {
		previous = v.cell
	}
	v.attempt(r, previous, until, then)
}

// attempt is write without its fault.
func (v *modelVM) attempt(r, previous *record, until time.Duration, then func(ok bool)) {
	switch {
	case sameRecord(v.cell, r):
		then(true)
		return
	case !sameRecord(v.cell, previous), v.m.now > until:
		then(false)
		return
	}
	retry := func() { v.attempt(r, previous, until, then) }
	v.append(entry{cell: r}, func(ok, conflict bool) {
		switch {
		case ok:
			then(true)
		case conflict:
			v.read(func(ok bool) {
				if ok {
					retry()
				} else {
					v.m.after(appendRetry, v, retry)
				}
			})
		default:
			v.read(func(bool) { v.m.after(appendRetry, v, retry) })
		}
	})
}
