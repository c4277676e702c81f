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

// way is how callers reach the targets of a service.
type way struct {
	name    string
	entries []string
	close   func()
}

var policies = []struct {
	name   string
	policy baseline.Policy
}{{nameStatic, baseline.StaticHash}, {nameRoundRobin, baseline.RoundRobin}, {nameAdaptive, baseline.Adaptive}}

// router is the way through the VMs.
func (st *site) router() way { return way{name: "router", entries: st.entries(), close: func() {}} }

// baselineWay starts one entry for each VM, with the same delays.
func (st *site) baselineWay(name string, policy baseline.Policy, services []service) (way, error) {
	var closers []func()
	w := way{name: name, close: func() {
		for _, c := range closers {
			c()
		}
	}}
	for _, v := range st.VMs {
		mux := http.NewServeMux()
		for _, svc := range services {
			entry := st.baselineEntry(v, policy, svc)
			closers = append(closers, entry.Close)
			mux.Handle("/"+svc.name+"/", entry)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.close()
			return way{}, errors.Wrap(err, "listen for a baseline")
		}
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }() // ends when it is closed
		closers = append(closers, func() { _ = server.Close() })
		proxy, err := faultproxy.New(faultproxy.Config{Upstream: listener.Addr().String()})
		if err != nil {
			w.close()
			return way{}, err
		}
		proxy.SetBoth(faultproxy.Settings{Delay: st.fromCallers})
		closers = append(closers, proxy.Close)
		w.entries = append(w.entries, proxy.Addr())
	}
	return w, nil
}

func (st *site) baselineEntry(v *cluster.VM, policy baseline.Policy, svc service) *baseline.Entry {
	var addresses []string
	for _, t := range st.targetsOf(svc.name) {
		addresses = append(addresses, t.Address)
	}
	return baseline.New(baseline.Config{Policy: policy, Targets: addresses, Local: st.localAddress(v.DataCentre),
		ByKey: svc == st.keyed, Connections: connectionsPerTarget / vms, MaxLimit: slots})
}

// eachWay runs the router and the baselines in turn. Round robin is left out
// for a service that owns keys, because it gives a key to all targets.
func (s *session) eachWay(st *site, services []service, do func(way) error) error {
	if err := do(st.router()); err != nil {
		return err
	}
	for _, p := range policies {
		if p.policy == baseline.RoundRobin && services[0] == st.keyed {
			continue
		}
		w, err := st.baselineWay(p.name, p.policy, services)
		if err != nil {
			return err
		}
		err = do(w)
		w.close()
		if err != nil {
			return err
		}
	}
	return nil
}

const connectionsPerTarget = 100

func (st *site) targetsOf(name string) []*cluster.Target {
	var out []*cluster.Target
	for _, t := range st.Targets {
		if t.Service == name {
			out = append(out, t)
		}
	}
	return out
}

// rate is the requests a second that use a share of a service's slots.
func (svc service) rate(share float64) float64 {
	return share * float64(svc.targets*slots) / serviceTime.Seconds()
}

// serviceLoad is an undisturbed load of a service.
func (s *session) serviceLoad(w way, svc service, share float64, d time.Duration) loadgen.Config {
	path := "/" + svc.name + "/{key}"
	return loadgen.Config{Entries: w.entries, Duration: d, Rate: svc.rate(share), ReadRatio: 0.8, ReadPath: path, WritePath: path,
		Keys: 2000, Seed: s.opt.Seed}
}

// oracleTail is the latency of a perfect queue with the arrivals of a run.
// Only the way from and to the caller is added to it.
func (s *session) oracleTail(st *site, r run, factors []float64) tail {
	oracle := baseline.Oracle{Slots: slots, Factors: factors, Mean: serviceTime, Seed: s.opt.Seed}
	l := newLatencies()
	for _, d := range oracle.Run(arrivals(r)) {
		l.add(d + 2*st.fromCallers)
	}
	return l.tail()
}

// arrivals returns the times of the requests that were sent, in order.
func arrivals(r run) []time.Duration {
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

// factors returns n factors of 1, of which the first few are slowed.
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
