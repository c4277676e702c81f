package support

import (
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
)

// votes are the answers of VMs that released the leader of a record and its deputies.
type votes struct {
	record          *record
	supportEnd      time.Duration    // of what the VMs that voted gave before
	process         [modelVMs]string // that released the leader
	deputy, follows string           // releaseVotes in node/cell tells what they mean
}

// releaseReply is a VM's answer to a request to release a leader.
type releaseReply struct {
	hears   bool
	left    time.Duration
	process string
}

// requestReleases asks all VMs to release the leader of a record. then gets ok false if one of
// them hears the leader or the deputy that it knows.
func (v *modelVM) requestReleases(r *votes, then func(ok bool)) {
	m, ok, ended := v.m, true, false
	own := r.record.process == v.process
	r.supportEnd = max(r.supportEnd, m.now+v.releases(r, own))
	finish := func() {
		if !ended {
			ended = true
			then(ok)
		}
	}
	for i := range modelVMs {
		if i == v.index || i == r.record.vm && !v.ended(r.record) {
			continue
		}
		m.call(v, i, rpcTimeout, func(o *modelVM, reply func(any)) {
			if r.deputy == "" && o.hears(r, v.process) {
				reply(releaseReply{hears: true})
				return
			}
			reply(releaseReply{left: o.releases(r, own), process: o.process})
		}, func(result any, answered bool) {
			if !answered {
				return
			}
			reply := result.(releaseReply)
			if reply.hears {
				ok = false
				return
			}
			r.process[i] = reply.process
			r.supportEnd = max(r.supportEnd, m.now+reply.left)
			if v.leaseOfLeader(r) == 0 && v.hasMajority(r) {
				finish()
			}
		})
	}
	m.after(rpcTimeout, v, finish)
}

// hears reports whether the VM hears the leader of the votes' record, or its known deputy.
func (v *modelVM) hears(r *votes, claimant string) bool {
	if v.cell == nil || v.cell.process != r.record.process {
		return false
	}
	acts := v.cell.process
	if v.deputyChange == v.cell.change {
		acts = v.deputy
	} else if v.ended(v.cell) {
		return false
	}
	at, heard := v.heard[acts]
	return acts != r.follows && acts != claimant && (acts == v.process || heard && v.m.now < at+leaderTimeout)
}

func (v *modelVM) releases(r *votes, claimsOwnCell bool) time.Duration {
	if claimsOwnCell {
		return 0
	}
	return max(v.earlierSupportLeft(), v.follower.Release(v.m.now, r.record.process, r.deputy))
}

// hasMajority counts the VMs whose process that voted is still the registered one.
func (v *modelVM) hasMajority(r *votes) bool {
	n := 1
	for i, process := range r.process {
		if process != "" && process == v.registered[i] {
			n++
		}
	}
	return n >= Majority(modelVMs)
}

func (v *modelVM) leaseOfLeader(r *votes) time.Duration {
	if r.deputy != "" || r.follows != "" || v.ended(r.record) {
		return 0
	}
	return leaderLease
}

func (v *modelVM) grantBound(r *votes) time.Duration {
	return GrantBound(v.hasMajority(r), r.supportEnd-v.m.now, v.leaseOfLeader(r))
}

// tryClaim claims the cell, whose leader seems lost.
func (v *modelVM) tryClaim() {
	seen := v.cell
	v.claiming = true
	done := func(bool) { v.claiming = false }
	if seen == nil || v.m.faults.claimAsksNobody && v.ended(seen) {
		v.claim(seen, func() time.Duration { return 0 }, nil, 1<<62, done)
		return
	}
	r := &votes{record: seen}
	v.requestReleases(r, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		v.claimAfter(r, nil, 1<<62, done)
	})
}

// claimAsDeputy makes a deputy the leader.
func (v *modelVM) claimAsDeputy(l *leadership) {
	done := func(bool) { l.claiming = false }
	v.read(func(ok bool) {
		if !ok || !v.isCurrent(l) {
			done(false)
			return
		}
		until := v.m.now + time.Second + rpcTimeout
		if v.m.faults.supportByName {
			v.claim(l.deputyFor, func() time.Duration { return leaderLease }, nil, until, done)
			return
		}
		r := &votes{record: l.deputyFor, deputy: v.process}
		v.requestReleases(r, func(bool) {
			v.claimAfter(r, nil, until, done)
		})
	})
}

// claimAfter claims the cell with the votes on its leader, and asks for the lacking ones then.
func (v *modelVM) claimAfter(r *votes, earlier *time.Duration, until time.Duration, then func(ok bool)) {
	v.claim(r.record, func() time.Duration { return v.grantBound(r) }, earlier, until, func(ok bool) {
		then(ok)
		if ok {
			v.watch(v.leads, r, v.m.now, v.hasMajority(r))
		}
	})
}

// claim writes a record that names the VM, if the cell still has the leader that was seen.
// earlier is what the leader that gives way tells of grants of earlier ones, or nil.
func (v *modelVM) claim(seen *record, bound func() time.Duration, earlier *time.Duration, until time.Duration, then func(ok bool)) {
	v.read(func(ok bool) {
		current := v.cell
		overtaken := earlier != nil && !v.m.faults.takesLaterRecord && !sameRecord(current, seen)
		if !ok || overtaken || !sameLeader(current, seen) || v.m.now > until {
			then(false)
			return
		}
		inherited := time.Duration(0)
		if current != nil {
			inherited = current.earlier
		}
		if earlier != nil {
			inherited = *earlier
		}
		wait := func() time.Duration { return max(bound()+maxHold(), inherited) }
		var stored []keyspace.Assignment
		if current != nil {
			stored = current.assignments()
		}
		r := v.newRecord(keyspace.New(modelKeyConfig(), stored, 0).TakeOver(), wait())
		v.write(r, current, until, func(ok bool) {
			if ok {
				v.m.note("%s leads by record %d, bound %s", v.process, r.number, bound())
				v.lead(r, wait())
			}
			then(ok)
		})
	})
}

// watch lowers the time for which grants of the previous leader may hold, once a majority has
// released it and once its process has ended.
func (v *modelVM) watch(l *leadership, r *votes, began time.Duration, majority bool) {
	m := v.m
	lower := func(leaseEnds time.Duration) {
		l.keys.LowerPriorManagerHoldBound(m.now, max(leaseEnds+maxHold(), l.startedAt+r.record.earlier))
	}
	lowerIfEnded := func() {
		if v.leaseOfLeader(r) == 0 {
			lower(max(m.now, r.supportEnd))
			return
		}
		v.watch(l, r, began, true)
	}
	m.after(releaseRetry, v, func() {
		switch {
		case v.leads != l || l.keys.PriorManagerHoldBound() <= m.now:
		case majority:
			lowerIfEnded()
		default:
			v.requestReleases(r, func(bool) {
				if !v.hasMajority(r) {
					v.watch(l, r, began, false)
					return
				}
				lower(max(began+v.leaseOfLeader(r), r.supportEnd))
				lowerIfEnded()
			})
		}
	})
}

// retire hands the cell over before the VM shuts down, which it then does.
func (v *modelVM) retire() {
	m := v.m
	v.retiring = true
	m.note("%s retires", v.process)
	m.after(handoverTimeout+100*ms, v, func() { m.end(v) })
	if l := v.leads; l != nil && v.isCurrent(l) && !l.stopped {
		l.stopped = true
		v.askToLead(l, v.cell, m.now+handoverTimeout, true, v.candidates())
	}
}

// tryHandover hands the cell of a leader that does not reach the store to another VM.
func (v *modelVM) tryHandover(l *leadership) {
	if !v.isCurrent(l) {
		return
	}
	l.stopped = true
	v.askToLead(l, v.cell, v.m.now+handoverTimeout, true, v.candidates()[:1])
}

// candidates returns the VMs to ask to lead the cell, in order.
func (v *modelVM) candidates() []int {
	var out []int
	for i := range maxCandidates {
		out = append(out, (v.index+1+i)%modelVMs)
	}
	return out
}

func (l *leadership) deputyProcess(v *modelVM) string {
	if l.deputyFor == nil {
		return ""
	}
	return v.process
}

// askToLead asks the candidates one after the other to take the cell, and then to be deputy.
func (v *modelVM) askToLead(l *leadership, c *record, until time.Duration, refused bool, candidates []int) {
	m := v.m
	if late := m.now >= until; late || len(candidates) == 0 {
		refused = refused && !late
		if v.retiring && (refused || m.faults.deputyBesideTake) {
			v.askToAct(l, c, until, true, refused, v.candidates())
		} else {
			v.goOn(l, c, refused)
		}
		return
	}
	deputy, earlier := l.deputyProcess(v), max(0, l.keys.PriorManagerHoldBound()-m.now)
	m.call(v, candidates[0], until-m.now, func(o *modelVM, reply func(any)) {
		o.take(c, deputy, earlier, reply)
	}, func(result any, ok bool) {
		if !v.isCurrent(l) {
			return
		}
		v.askToLead(l, c, until, refused && ok && result == "refused", candidates[1:])
	})
}

// take makes the VM the leader at the request of the present one or its deputy, which has stopped.
func (v *modelVM) take(c *record, deputy string, earlier time.Duration, reply func(any)) {
	until := v.m.now + handoverTimeout
	v.read(func(ok bool) {
		if !ok || v.retiring || v.claiming || !v.ready() {
			reply("refused")
			return
		}
		if !sameRecord(v.cell, c) {
			reply("failed")
			return
		}
		v.claiming = true
		done := func(bool) { v.claiming = false; reply("taken or failed") }
		if deputy == "" { // the leader has stopped, and has no deputy
			v.claim(c, func() time.Duration { return 0 }, &earlier, until, done)
			return
		}
		r := &votes{record: c, follows: deputy}
		v.requestReleases(r, func(bool) {
			v.claimAfter(r, &earlier, until, done)
		})
	})
}

// askToAct asks the candidates one after the other to be deputy.
func (v *modelVM) askToAct(l *leadership, c *record, until time.Duration, actRefused, leadRefused bool, candidates []int) {
	m := v.m
	if m.now >= until || len(candidates) == 0 { // none is asked once the time is over
		if actRefused { // else a VM may act as deputy
			v.goOn(l, c, leadRefused)
		}
		return
	}
	follows := l.deputyProcess(v)
	m.call(v, candidates[0], until-m.now, func(o *modelVM, reply func(any)) {
		acts := o.act(c, follows)
		if m.losesActAnswer {
			m.losesActAnswer, m.unknownDeputy = false, o.index
			m.note("the answer of %s, which was asked to be deputy, is lost", o.process)
			reply(nil) // the connection breaks
			return
		}
		reply(acts)
	}, func(result any, ok bool) {
		acts, answered := result.(bool)
		if ok && acts {
			v.deputyChange, v.deputy = c.change, m.vms[candidates[0]].processOr()
			return
		}
		v.askToAct(l, c, until, actRefused && ok && answered, leadRefused, candidates[1:])
	})
}

// goOn lets a leader grant again after a handover that failed.
func (v *modelVM) goOn(l *leadership, c *record, refused bool) {
	if refused {
		l.stopped = false
		return
	}
	v.reclaim(l, c)
}

func (v *modelVM) processOr() string {
	if v == nil {
		return "ended"
	}
	return v.process
}

// act makes the VM the deputy of the leader of a record, and reports whether it has.
func (v *modelVM) act(c *record, follows string) bool {
	v.learn(c)
	g := Grantor{Leader: c.process, Deputy: v.process, Follows: follows}
	if v.m.faults.supportByName {
		g.Deputy, g.Follows = "", ""
	}
	if v.retiring || v.leads != nil || !sameRecord(v.cell, c) || !v.follower.MaySupport(v.m.now, g) {
		return false
	}
	v.lead(c, maxHold())
	v.leads.deputyFor, v.leads.follows, v.leads.support.IsDeputy = c, follows, !v.m.faults.supportByName
	v.deputyChange, v.deputy = c.change, v.process
	v.m.note("%s is deputy for record %d, follows %q", v.process, c.number, follows)
	for i := range modelVMs {
		if i != v.index {
			v.m.call(v, i, rpcTimeout, func(o *modelVM, _ func(any)) {
				o.learn(c)
				if o.cell.change == c.change || o.deputyChange != o.cell.change {
					o.deputyChange, o.deputy = c.change, v.process
				}
			}, func(any, bool) {})
		}
	}
	return true
}

// reclaim lets a leader go on whose handover had no answer: by a new record, since a VM that
// was asked may still replace the one before.
func (v *modelVM) reclaim(l *leadership, c *record) {
	if !v.isCurrent(l) || l.deputyFor != nil {
		return
	}
	if !sameRecord(v.cell, c) { // a proposal of its own was written meanwhile
		l.stopped = false
		return
	}
	r := v.newRecord(c.keys, l.keys.PriorManagerHoldBound()-v.m.now)
	v.write(r, c, 1<<62, func(ok bool) {
		if ok {
			v.m.note("%s goes on by record %d", v.process, r.number)
			v.lead(r, maxHold())
		} else if v.isCurrent(l) && !sameRecord(v.cell, c) {
			l.stopped = false
		}
	})
}
