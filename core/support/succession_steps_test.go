package support

import (
	"fmt"
	"slices"
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
)

// modelVM is one process of a VM.
type modelVM struct {
	m                                                        *succession
	index                                                    int
	process                                                  string
	started                                                  time.Duration
	frozenUntil                                              time.Duration
	end                                                      int              // the log is known up to here
	freshAt                                                  time.Duration    // when it was known to its end
	cell                                                     *record          // the newest known one
	registered                                               [modelVMs]string // known processes
	heard                                                    map[string]time.Duration
	follower                                                 Follower
	leads                                                    *leadership
	deputyChange                                             int // the record whose leader has a deputy
	deputy                                                   string
	retiring                                                 bool
	claiming                                                 bool
	registering                                              bool
	nextRead, nextSync, nextReconcile, nextPlan, nextSupport time.Duration
}

// leadership is a process's work as leader or deputy.
type leadership struct {
	keys      *keyspace.Manager
	support   Leader
	deputyFor *record
	follows   string
	stopped   bool // handoverStarted of node/cell
	claiming  bool
	writing   bool
	startedAt time.Duration
	// candidates are those of the last proposal, the next one is made at nextPropose or once
	// they differ.
	candidates  []keyspace.Candidate
	nextPropose time.Duration
}

func (m *succession) start(i int) {
	m.starts++
	m.vms[i] = &modelVM{m: m, index: i, process: fmt.Sprintf("vm%d#%d", i, m.starts), started: m.now, freshAt: -time.Hour, heard: map[string]time.Duration{}}
	m.note("%s starts", m.vms[i].process)
}

func (m *succession) end(v *modelVM) {
	m.vms[v.index] = nil
	m.note("%s ends", v.process)
	m.after(time.Duration(300+m.draw("restarts after", 8000))*ms, nil, func() {
		if m.vms[v.index] == nil {
			m.start(v.index)
		}
	})
}

// leader returns one of the VMs that act as leader or deputy, or nil.
func (m *succession) leader() *modelVM {
	var out []*modelVM
	for _, v := range m.vms {
		if v != nil && v.leads != nil {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out[m.draw("leader", len(out))]
}

// step does what a process does now and then.
func (v *modelVM) step() {
	m := v.m
	if m.now >= v.nextRead {
		v.nextRead = m.now + 300*ms
		v.read(func(bool) {})
	}
	switch {
	case !v.ready():
		v.register()
	case m.now >= v.nextSync:
		v.nextSync = m.now + 250*ms
		v.sync()
	}
	if m.now >= v.nextReconcile {
		v.nextReconcile = m.now + reconcileInterval
		v.reconcile()
	}
	if l := v.leads; l != nil {
		v.stepLeadership(l)
	}
}

// ready reports whether the VM's view includes its own registration.
func (v *modelVM) ready() bool { return v.registered[v.index] == v.process }

func (v *modelVM) register() {
	if v.registering || v.freshAt < 0 {
		return
	}
	v.registering = true
	v.append(entry{vm: v.index, process: v.process}, func(_, _ bool) { v.registering = false })
}

func (v *modelVM) newRecord(keys []keyspace.Assignment, earlier time.Duration) *record {
	v.m.changes++
	return &record{change: v.m.changes, vm: v.index, process: v.process, keys: keys, earlier: max(0, earlier)}
}

// ended reports whether the process that a record names is known to have ended.
func (v *modelVM) ended(r *record) bool { return v.registered[r.vm] != r.process }

// hasDeputy reports whether another VM is known as deputy of the leader of the newest record.
func (v *modelVM) hasDeputy() bool {
	return v.cell != nil && v.deputyChange == v.cell.change && v.deputy != v.process
}

// reconcile starts or ends the VM's leadership, or claims the cell.
func (v *modelVM) reconcile() {
	l := v.leads
	mine := v.cell != nil && v.cell.process == v.process
	switch {
	case l != nil && (!v.isCurrent(l) || l.stopped && v.hasDeputy()):
		v.leads = nil
	case l != nil || v.claiming:
	case mine && !v.hasDeputy():
		v.lead(v.cell, maxHold())
	case v.ready() && !v.retiring && v.shouldClaim() && v.m.chance("claims", 2):
		v.tryClaim()
	}
}

// shouldClaim reports whether neither the leader nor its known deputy answers.
func (v *modelVM) shouldClaim() bool {
	if v.cell == nil {
		return true
	}
	acts := v.cell.process
	if v.hasDeputy() {
		acts = v.deputy
	} else if v.ended(v.cell) {
		return true
	}
	at, heard := v.heard[acts]
	return !heard && v.m.now > v.started+leaderTimeout || heard && v.m.now > at+leaderTimeout
}

// lead starts to lead by a record; grants of earlier leaders hold for at most bound.
func (v *modelVM) lead(r *record, bound time.Duration) {
	v.leads = &leadership{keys: keyspace.New(modelKeyConfig(), r.assignments(), v.m.now+max(bound, r.earlier)), startedAt: v.m.now}
}

func (v *modelVM) isCurrent(l *leadership) bool {
	if l.deputyFor != nil {
		return sameRecord(v.cell, l.deputyFor)
	}
	return v.cell != nil && v.cell.process == v.process
}

func (v *modelVM) mayGrant(l *leadership) bool {
	return v.holdsLease(l) && v.isCurrent(l) && !l.stopped
}

func (v *modelVM) holdsLease(l *leadership) bool {
	age := v.m.now - v.freshAt
	byStore := l.deputyFor == nil || v.m.faults.supportByName
	return byStore && age <= leaderLease || age <= MaxExtension && l.support.HasSupport(v.m.now, modelVMs)
}

func (v *modelVM) stepLeadership(l *leadership) {
	m := v.m
	if m.now >= v.nextSupport {
		v.nextSupport = m.now + supportInterval
		v.requestSupport(l)
	}
	if v.mayGrant(l) {
		for _, a := range l.keys.Step(m.now, func(keyspace.Holder) bool { return true }) {
			m.perform(v, l, a)
		}
	}
	if l.stopped || !v.isCurrent(l) && !m.faults.replacesNewest {
		return
	}
	v.writeAgain(l)
	if m.now >= v.nextPlan {
		v.nextPlan = m.now + planInterval
		v.plan(l)
	}
}

func (v *modelVM) requestSupport(l *leadership) {
	m := v.m
	if age := m.now - v.freshAt; age < supportAfter && l.deputyFor == nil || age > MaxExtension || !v.isCurrent(l) || l.stopped {
		return
	}
	asked, change, g := m.now, v.cell.change, Grantor{Leader: v.cell.process}
	if l.deputyFor != nil && !m.faults.supportByName {
		g.Deputy, g.Follows = v.process, l.follows
	}
	if l.deputyFor != nil && v.supports(g, change) {
		l.support.RecordSupport(v.process, asked)
	}
	for i := range modelVMs {
		if i == v.index {
			continue
		}
		m.call(v, i, rpcTimeout, func(o *modelVM, reply func(any)) { reply(o.supports(g, change)) }, func(result any, ok bool) {
			if ok && result.(bool) {
				l.support.RecordSupport(fmt.Sprint(i), asked)
			}
		})
	}
}

// supports answers a request for support.
func (v *modelVM) supports(g Grantor, change int) bool {
	leading := v.cell != nil && v.cell.process == g.Leader && v.ready()
	if g.Deputy != "" {
		leading = leading && v.cell.change == change && v.earlierSupportLeft() <= 0
	}
	return v.follower.GrantSupport(v.m.now, g, leading)
}

// earlierSupportLeft returns for how long support of the VM's earlier process may last.
func (v *modelVM) earlierSupportLeft() time.Duration { return v.started + Lease - v.m.now }

// writeAgain writes the leader's record again if it overstates the grants of earlier leaders.
func (v *modelVM) writeAgain(l *leadership) {
	m, previous := v.m, v.cell
	left := l.keys.PriorManagerHoldBound() - m.now
	if l.deputyFor != nil || l.writing || m.now-v.freshAt > leaderLease || previous.earlier == 0 || left > 0 || l.keys.Pending() {
		return
	}
	l.writing = true
	v.write(v.newRecord(l.keys.Assignments(), 0), previous, 1<<62, func(bool) { l.writing = false })
}

// plan proposes new owners and writes them. A deputy tries to become the leader.
func (v *modelVM) plan(l *leadership) {
	m, previous := v.m, v.cell
	if l.deputyFor == nil && m.now < m.noStore[v.index] && m.chance("hands over", 3) {
		v.tryHandover(l)
		return
	}
	if l.deputyFor != nil {
		if m.now-v.freshAt <= leaderLease && !l.claiming {
			l.claiming = true
			v.claimAsDeputy(l)
		}
		return
	}
	if m.now-v.freshAt > leaderLease || l.writing {
		return
	}
	var candidates []keyspace.Candidate
	for i := range modelTargets {
		if h := (keyspace.Holder{Target: fmt.Sprint("t", i), Life: 1}); l.keys.FailingFor(m.now, h) <= unreachable && m.now >= m.unusable[i] {
			candidates = append(candidates, keyspace.Candidate{Holder: h, Capacity: 3})
		}
	}
	if slices.Equal(candidates, l.candidates) && m.now < l.nextPropose {
		return // a proposal takes 1 ms of processor time
	}
	l.candidates, l.nextPropose = candidates, m.now+proposeInterval
	if keys, change := l.keys.Propose(m.now, candidates, &m.load); change {
		r := v.newRecord(keys, l.keys.PriorManagerHoldBound()-m.now)
		v.write(r, previous, 1<<62, func(ok bool) {
			if ok {
				l.keys.Committed(m.now, r.number)
			}
		})
	}
}
