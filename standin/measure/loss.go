package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
)

const (
	lossBefore = 500 * time.Millisecond
	lossAfter  = 4200 * time.Millisecond
	planAfter  = 3000 * time.Millisecond
	lossShare  = 0.2 // of the slots in use
	lossKeys   = 60
	// A key is served again within 4 s of a loss.
	servedAgainMS = 4000
	stopTimeout   = 25 * time.Second
)

// change is a loss or a planned change. It returns how it is undone.
type change struct {
	name    string
	planned bool
	leaves  bool // VMs stay out of service until the next change
	do      func() (undo func() error, err error)
}

// losses measures the unavailable time of keys.
func (s *session) losses(st *site) error {
	steady, err := s.keyGap(st, change{name: "none", do: func() (func() error, error) { return nil, nil }})
	if err != nil {
		return err
	}
	gap, _, _ := gapOf(steady)
	s.report.add(Figure{Section: 3, Deployment: st.name, Measure: "longest gap of a key", Case: "undisturbed", Value: gap, Unit: "ms"})
	for _, c := range s.changes(st) {
		r, err := s.keyGap(st, c)
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		s.lossFigures(st, c, r, gap)
	}
	return nil
}

func (s *session) lossFigures(st *site, c change, r run, steadyGap float64) {
	gap, failed, key := gapOf(r)
	note := fmt.Sprintf("%s; %d of %d not served", key, failed, r.Requests)
	note += reasons(r)
	if late := s.busy.take(); late > busyLimitMS {
		note += fmt.Sprintf("; busy %.1f ms", late)
	}
	if !c.planned {
		s.report.add(Figure{Section: 3, Deployment: st.name, Measure: "unavailable time of a key", Case: "loss of " + c.name,
			Value: gap, Unit: "ms", Target: limit(servedAgainMS), Note: note})
		return
	}
	s.report.add(Figure{Section: 3, Deployment: st.name, Measure: "unavailable time of a key", Case: c.name + " (beyond undisturbed)",
		Value: max(0, gap-steadyGap), Unit: "ms", Target: limit(0), Note: note})
	_, share := unserved(r)
	s.report.add(Figure{Section: 3, Deployment: st.name, Measure: "served share", Case: c.name, Value: share, Unit: "", Target: limit(1), AtLeast: true})
	s.report.add(Figure{Section: 3, Deployment: st.name, Measure: "p99", Case: c.name, Value: r.Latency.P99, Unit: "ms"})
}

// reasons lists how requests ended that were not served.
func reasons(r run) string {
	text := ""
	for _, o := range r.Outcomes {
		if o.Outcome != loadgen.OutcomeRun {
			text += fmt.Sprintf("; %d %s %s", o.Count, o.Outcome, o.Reason)
		}
	}
	return text
}

func gapOf(r run) (ms float64, failed int, key string) {
	failed, _ = unserved(r)
	if len(r.KeyGaps) > 0 {
		ms, key = r.KeyGaps[0].MS, r.KeyGaps[0].Key
	}
	return ms, failed, key
}

// keyGap makes a change under a load of the keyed service and undoes it after.
func (s *session) keyGap(st *site, c change) (run, error) {
	after := lossAfter
	if c.planned {
		after = planAfter
	}
	cfg := s.serviceLoad(st.router(), st.keyed, lossShare, lossBefore+after)
	// Each change has keys of its own: a read that is in flight at two losses is
	// refused for 60 s as one that crashes targets.
	cfg.KeyPrefix = strings.ReplaceAll(c.name, " ", "-") + "-"
	cfg.Keys, cfg.Repeats, cfg.RepeatReads, cfg.Deadline = lossKeys, 3, true, 5*time.Second
	type end struct {
		undo func() error
		err  error
	}
	done := make(chan end, 1)
	go func() {
		time.Sleep(lossBefore)
		undo, err := c.do()
		done <- end{undo, err}
	}()
	runs, err := load(s.ctx, cfg)
	if err != nil {
		return run{}, err
	}
	e := <-done
	if e.err != nil {
		return run{}, e.err
	}
	if e.undo != nil {
		if err := e.undo(); err != nil {
			return run{}, err
		}
	}
	if c.leaves {
		return runs[0], nil
	}
	return runs[0], st.WaitReady(s.ctx, readyTimeout)
}

func (s *session) changes(st *site) []change {
	kill := func(list ...*cluster.Process) (func() error, error) {
		for _, p := range list {
			if err := p.Kill(); err != nil {
				return nil, err
			}
		}
		return func() error { return startAgain(list) }, nil
	}
	server := func() *cluster.Process { return st.targetsOf(st.keyed.name)[1].Process }
	return []change{
		{name: "a VM", do: func() (func() error, error) {
			v, err := s.bystander(st)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "a dispatcher", do: func() (func() error, error) {
			v, _, err := s.dispatcher(st.Cluster, st.keyed.name+"/"+server().Name)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "the manager", do: func() (func() error, error) {
			v, err := s.manager(st)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "a server", do: func() (func() error, error) { return kill(server()) }},
		{name: "server and manager", do: func() (func() error, error) {
			v, err := s.manager(st)
			if err != nil {
				return nil, err
			}
			return kill(v.Process, server())
		}},
		{name: "a data centre of targets", do: func() (func() error, error) {
			var list []*cluster.Process
			for _, t := range st.targetsOf(st.keyed.name) {
				if t.DataCentre == st.dataCentres[1] {
					list = append(list, t.Process)
				}
			}
			return kill(list...)
		}},
		s.drainChange(st, "data centre out", control.ScopeDataCentre, st.dataCentres[2], true),
		s.drainChange(st, "data centre back", control.ScopeDataCentre, st.dataCentres[2], false),
		s.drainChange(st, "target out", control.ScopeTarget, server().Name, true),
		s.drainChange(st, "target back", control.ScopeTarget, server().Name, false),
		{name: "planned stop of a VM", planned: true, do: func() (func() error, error) {
			v := st.VMs[0]
			return func() error { return v.Restart() }, v.Terminate(stopTimeout)
		}},
	}
}

func (s *session) drainChange(st *site, name string, scope control.DrainScope, what string, out bool) change {
	return change{name: name, planned: true, leaves: out && scope == control.ScopeDataCentre, do: func() (func() error, error) {
		reply, err := st.Drain(s.ctx, st.VMs[1], admin.DrainRequest{Author: "measure", Scope: scope, Name: what, Out: out})
		if err == nil && reply.Result != admin.ResultAccepted {
			err = errors.Errorf("drain of %s: %s %s", what, reply.Result, reply.Detail)
		}
		return nil, err
	}}
}

func startAgain(list []*cluster.Process) error {
	for _, p := range list {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// manager returns the VM that acts as manager.
func (s *session) manager(st *site) (*cluster.VM, error) {
	var found *cluster.VM
	err := cluster.Wait(readyTimeout, func() error {
		status, err := st.Status(s.ctx, st.VMs[0])
		if err != nil {
			return err
		}
		name, term := "", uint64(0)
		for _, v := range status.VMs {
			if v.Term > term {
				name, term = v.Manager, v.Term
			}
		}
		for _, v := range st.VMs {
			if v.Name == name && v.Alive() {
				found = v
				return nil
			}
		}
		return errors.New("no VM acts as manager")
	})
	return found, err
}

// bystander returns a VM that is not the manager.
func (s *session) bystander(st *site) (*cluster.VM, error) {
	boss, err := s.manager(st)
	if err != nil {
		return nil, err
	}
	for _, v := range st.VMs[2:] {
		if v != boss {
			return v, nil
		}
	}
	return nil, errors.New("no other VM")
}
