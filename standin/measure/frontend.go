package measure

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/mangogate/mangogate/standin/baseline"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/loadgen"
	"github.com/pkg/errors"
)

// frontEnd is what callers send requests to: the router or a baseline.
type frontEnd struct {
	name    string
	entries []string
	close   func()
}

// baselinePolicies lists the baselines in the order in which they run.
var baselinePolicies = []struct {
	name   string
	policy baseline.Policy
}{{nameStatic, baseline.StaticHash}, {nameRoundRobin, baseline.RoundRobin}, {nameAdaptive, baseline.Adaptive}}

// router returns the front end that consists of the VMs.
func (tb *testbed) router() frontEnd {
	return frontEnd{name: "router", entries: tb.entries(), close: func() {}}
}

// startBaseline starts a baseline with an entry in place of each VM, in the same data
// centre and with the same network delays.
func (tb *testbed) startBaseline(name string, policy baseline.Policy, services []service) (frontEnd, error) {
	var closers []func()
	fe := frontEnd{name: name, close: func() {
		for _, c := range closers {
			c()
		}
	}}
	for _, v := range tb.VMs {
		mux := http.NewServeMux()
		for _, svc := range services {
			entry := tb.baselineEntry(v, policy, svc)
			closers = append(closers, entry.Close)
			mux.Handle("/"+svc.name+"/", entry)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fe.close()
			return frontEnd{}, errors.Wrap(err, "listen for a baseline")
		}
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }() // returns when the server is closed
		closers = append(closers, func() { _ = server.Close() })
		proxy, err := faultproxy.New(faultproxy.Config{Upstream: listener.Addr().String()})
		if err != nil {
			fe.close()
			return frontEnd{}, err
		}
		proxy.SetBoth(faultproxy.Settings{Delay: tb.callerDelay})
		closers = append(closers, proxy.Close)
		fe.entries = append(fe.entries, proxy.Addr())
	}
	return fe, nil
}

func (tb *testbed) baselineEntry(v *cluster.VM, policy baseline.Policy, svc service) *baseline.Entry {
	var addresses []string
	for _, t := range tb.targetsOf(svc.name) {
		addresses = append(addresses, t.Address)
	}
	return baseline.New(baseline.Config{Policy: policy, Targets: addresses, Local: tb.localAddress(v.DataCentre),
		ByKey: svc == tb.keyed, Connections: connectionsPerTarget / vms, MaxLimit: slots})
}

// forEachFrontEnd calls do with the router and then with each baseline. Round robin
// is left out if services starts with the keyed service, because it would send the
// requests for one key to all targets.
func (s *session) forEachFrontEnd(tb *testbed, services []service, do func(frontEnd) error) error {
	if err := do(tb.router()); err != nil {
		return err
	}
	for _, p := range baselinePolicies {
		if p.policy == baseline.RoundRobin && services[0] == tb.keyed {
			continue
		}
		fe, err := tb.startBaseline(p.name, p.policy, services)
		if err != nil {
			return err
		}
		err = do(fe)
		fe.close()
		if err != nil {
			return err
		}
	}
	return nil
}

const connectionsPerTarget = 100

func (tb *testbed) targetsOf(name string) []*cluster.Target {
	var out []*cluster.Target
	for _, t := range tb.Targets {
		if t.Service == name {
			out = append(out, t)
		}
	}
	return out
}

// rate returns the requests per second that keep a share of a service's slots busy.
func (svc service) rate(share float64) float64 {
	return share * float64(svc.targets*slots) / serviceTime.Seconds()
}

// serviceLoad returns the settings of a load on one service that keeps a share of its
// slots busy, without hang-ups and hot keys.
func (s *session) serviceLoad(fe frontEnd, svc service, share float64, d time.Duration) loadgen.Config {
	path := "/" + svc.name + "/{key}"
	return loadgen.Config{Entries: fe.entries, Duration: d, Rate: svc.rate(share), ReadRatio: 0.8, ReadPath: path, WritePath: path,
		Keys: 2000, Seed: s.opt.Seed}
}

// oracleTail returns the latencies of the oracle for the arrivals of a load. Of the
// network delays it includes only callerDelay.
func (s *session) oracleTail(tb *testbed, r loadResult, factors []float64) quantiles {
	oracle := baseline.Oracle{Slots: slots, Factors: factors, Mean: serviceTime, Seed: s.opt.Seed}
	l := newLatencies()
	for _, d := range oracle.Run(arrivals(r)) {
		l.add(d + 2*tb.callerDelay)
	}
	return l.quantiles()
}

// arrivals returns the arrival times since the first one, in ascending order.
func arrivals(r loadResult) []time.Duration {
	var starts []time.Time
	for _, res := range r.results {
		if !res.Start.IsZero() {
			starts = append(starts, res.Start)
		}
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	out := make([]time.Duration, len(starts))
	for i, at := range starts {
		out[i] = at.Sub(starts[0])
	}
	return out
}

// factors returns the service time factors of n targets: factor for the first slowed
// targets, and 1 for the others.
func factors(n, slowed int, factor float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
		if i < slowed {
			out[i] = factor
		}
	}
	return out
}
