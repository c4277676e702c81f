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
	lossBefore   = 500 * time.Millisecond
	lossAfter    = 4200 * time.Millisecond
	plannedAfter = 3000 * time.Millisecond
	lossLoad     = 0.2 // share of the slots in use
	lossKeys     = 60
	// Every key must be served again within 4 s of a loss.
	maxUnavailableMS = 4000
	stopTimeout      = 25 * time.Second
)

// change is a loss of processes or a planned change, which is made under load.
type change struct {
	name     string
	planned  bool
	staysOut bool                                  // takes VMs out of service until the next change; until then they are not ready
	do       func() (undo func() error, err error) // undo may be nil
}

// losses measures the longest gap of a key without a change, and then after losses
// and planned changes.
func (s *session) losses(tb *testbed) error {
	steady, err := s.measureChange(tb, change{name: "none", do: func() (func() error, error) { return nil, nil }})
	if err != nil {
		return err
	}
	gap, _, _ := longestGap(steady)
	s.report.add(Figure{Section: 3, Deployment: tb.name, Measure: "longest gap of a key", Case: "undisturbed", Value: gap, Unit: "ms"})
	for _, c := range s.changes(tb) {
		r, err := s.measureChange(tb, c)
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		s.lossFigures(tb, c, r, gap)
	}
	return nil
}

func (s *session) lossFigures(tb *testbed, c change, r loadResult, steadyGap float64) {
	gap, failed, key := longestGap(r)
	note := fmt.Sprintf("%s; %d of %d not served", key, failed, r.Requests)
	note += unservedReasons(r)
	if p99 := s.wakeups.takeP99(); p99 > maxWakeupDelayMS {
		note += fmt.Sprintf("; busy %.1f ms", p99)
	}
	if !c.planned {
		s.report.add(Figure{Section: 3, Deployment: tb.name, Measure: "unavailable time of a key", Case: "loss of " + c.name,
			Value: gap, Unit: "ms", Target: targetValue(maxUnavailableMS), Note: note})
		return
	}
	s.report.add(Figure{Section: 3, Deployment: tb.name, Measure: "unavailable time of a key", Case: c.name + " (beyond undisturbed)",
		Value: max(0, gap-steadyGap), Unit: "ms", Target: targetValue(0), Note: note})
	_, share := countUnserved(r)
	s.report.add(Figure{Section: 3, Deployment: tb.name, Measure: "served share", Case: c.name, Value: share, Unit: "", Target: targetValue(1), AtLeast: true})
	s.report.add(Figure{Section: 3, Deployment: tb.name, Measure: "p99", Case: c.name, Value: r.Latency.P99, Unit: "ms"})
}

// unservedReasons lists the outcomes other than run, with their number and reason.
func unservedReasons(r loadResult) string {
	text := ""
	for _, o := range r.Outcomes {
		if o.Outcome != loadgen.OutcomeRun {
			text += fmt.Sprintf("; %d %s %s", o.Count, o.Outcome, o.Reason)
		}
	}
	return text
}

// longestGap returns the longest gap of a key, the number of requests that were not
// served, and that key.
func longestGap(r loadResult) (ms float64, failed int, key string) {
	failed, _ = countUnserved(r)
	if len(r.KeyGaps) > 0 {
		ms, key = r.KeyGaps[0].MS, r.KeyGaps[0].Key
	}
	return ms, failed, key
}

// measureChange makes a change under a load of the keyed service, and undoes the
// change when the load has ended.
func (s *session) measureChange(tb *testbed, c change) (loadResult, error) {
	after := lossAfter
	if c.planned {
		after = plannedAfter
	}
	cfg := s.serviceLoad(tb.router(), tb.keyed, lossLoad, lossBefore+after)
	// Each change uses other keys: a read that is in flight at two losses is taken
	// for one that crashes targets, and is refused for 60 s.
	cfg.KeyPrefix = strings.ReplaceAll(c.name, " ", "-") + "-"
	cfg.Keys, cfg.Repeats, cfg.RepeatReads, cfg.Deadline = lossKeys, 3, true, 5*time.Second
	type outcome struct {
		undo func() error
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(lossBefore)
		undo, err := c.do()
		done <- outcome{undo, err}
	}()
	runs, err := load(s.ctx, cfg)
	if err != nil {
		return loadResult{}, err
	}
	e := <-done
	if e.err != nil {
		return loadResult{}, e.err
	}
	if e.undo != nil {
		if err := e.undo(); err != nil {
			return loadResult{}, err
		}
	}
	if c.staysOut {
		return runs[0], nil
	}
	return runs[0], tb.WaitReady(s.ctx, readyTimeout)
}

// changes returns the changes in the order in which they are made.
func (s *session) changes(tb *testbed) []change {
	kill := func(list ...*cluster.Process) (func() error, error) {
		for _, p := range list {
			if err := p.Kill(); err != nil {
				return nil, err
			}
		}
		return func() error { return restartAll(list) }, nil
	}
	server := func() *cluster.Process { return tb.targetsOf(tb.keyed.name)[1].Process }
	return []change{
		{name: "a VM", do: func() (func() error, error) {
			v, err := s.nonManager(tb)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "a dispatcher", do: func() (func() error, error) {
			v, _, err := s.dispatcher(tb.Cluster, tb.keyed.name+"/"+server().Name)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "the manager", do: func() (func() error, error) {
			v, err := s.manager(tb)
			if err != nil {
				return nil, err
			}
			return kill(v.Process)
		}},
		{name: "a server", do: func() (func() error, error) { return kill(server()) }},
		{name: "server and manager", do: func() (func() error, error) {
			v, err := s.manager(tb)
			if err != nil {
				return nil, err
			}
			return kill(v.Process, server())
		}},
		{name: "a data centre of targets", do: func() (func() error, error) {
			var list []*cluster.Process
			for _, t := range tb.targetsOf(tb.keyed.name) {
				if t.DataCentre == tb.dataCentres[1] {
					list = append(list, t.Process)
				}
			}
			return kill(list...)
		}},
		s.drainChange(tb, "data centre out", control.ScopeDataCentre, tb.dataCentres[2], true),
		s.drainChange(tb, "data centre back", control.ScopeDataCentre, tb.dataCentres[2], false),
		s.drainChange(tb, "target out", control.ScopeTarget, server().Name, true),
		s.drainChange(tb, "target back", control.ScopeTarget, server().Name, false),
		{name: "planned stop of a VM", planned: true, do: func() (func() error, error) {
			v := tb.VMs[0]
			return func() error { return v.Restart() }, v.Terminate(stopTimeout)
		}},
	}
}

// drainChange returns a planned change that takes a target or a data centre out of
// service, or puts it back.
func (s *session) drainChange(tb *testbed, name string, scope control.DrainScope, scopeName string, out bool) change {
	return change{name: name, planned: true, staysOut: out && scope == control.ScopeDataCentre, do: func() (func() error, error) {
		reply, err := tb.Drain(s.ctx, tb.VMs[1], admin.DrainRequest{Author: "measure", Scope: scope, Name: scopeName, Out: out})
		if err == nil && reply.Result != admin.ResultAccepted {
			err = errors.Errorf("drain %s: %s %s", scopeName, reply.Result, reply.Detail)
		}
		return nil, err
	}}
}

func restartAll(list []*cluster.Process) error {
	for _, p := range list {
		if err := p.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// manager returns the manager of the highest term that the VMs report. It waits
// until this VM is alive.
func (s *session) manager(tb *testbed) (*cluster.VM, error) {
	var found *cluster.VM
	err := cluster.Wait(readyTimeout, func() error {
		status, err := tb.Status(s.ctx, tb.VMs[0])
		if err != nil {
			return err
		}
		name, term := "", uint64(0)
		for _, v := range status.VMs {
			if v.Term > term {
				name, term = v.Manager, v.Term
			}
		}
		for _, v := range tb.VMs {
			if v.Name == name && v.Alive() {
				found = v
				return nil
			}
		}
		return errors.New("no VM acts as manager")
	})
	return found, err
}

// nonManager returns a VM that is not the manager. The first two VMs are left out,
// because status and drain requests go to them.
func (s *session) nonManager(tb *testbed) (*cluster.VM, error) {
	manager, err := s.manager(tb)
	if err != nil {
		return nil, err
	}
	for _, v := range tb.VMs[2:] {
		if v != manager {
			return v, nil
		}
	}
	return nil, errors.New("no VM besides the manager")
}
