package admin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/node/timeline"
	"golang.org/x/sync/errgroup"
)

// VMStatus is the state of one VM.
type VMStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	// Term and Manager are the highest that the VM has heard of.
	Term    uint64 `json:"term"`
	Manager string `json:"manager"`
	// ConfigVersion is applied from the log, MapConfigVersion is what the
	// dispatch map rests on. A change is in force when both have reached it.
	ConfigVersion    uint64   `json:"config_version"`
	MapConfigVersion uint64   `json:"map_config_version"`
	MapSequence      uint64   `json:"map_sequence"`
	LogLagMS         int64    `json:"log_lag_ms"`
	Dispatches       []string `json:"dispatches"`
	Error            string   `json:"error,omitempty"` // why the VM could not be asked
}

// InForce tells whether a configuration version is in force on the VM.
func (s VMStatus) InForce(version uint64) bool {
	return s.Error == "" && s.ConfigVersion >= version && s.MapConfigVersion >= version
}

// ClusterStatus is the state of all VMs, as one of them sees it.
type ClusterStatus struct {
	ConfigVersion uint64     `json:"config_version"`
	Document      uint64     `json:"document_version"`
	Deployment    string     `json:"deployment"`
	VMs           []VMStatus `json:"vms"`
	Drains        []Drained  `json:"drains"`
	Unassigned    int        `json:"shards_without_owner"`
}

// Drained is something that operators have taken out of service.
type Drained struct {
	Scope   control.DrainScope `json:"scope"`
	Name    string             `json:"name"`
	Version uint64             `json:"version"`
	Author  string             `json:"author"`
}

const askTimeout = 800 * time.Millisecond

// self returns the state of this VM.
func (a *Admin) self() VMStatus {
	s := VMStatus{VM: a.cfg.VM, DataCentre: a.cfg.DataCentre, Ready: a.Ready() == nil, Leaving: a.leaving.Load(), Dispatches: []string{}}
	s.Term, s.Manager = a.maps.Term()
	s.LogLagMS = a.replica.Lag().Milliseconds()
	a.replica.View(func(st *control.State) { s.ConfigVersion = st.ConfigVersion() })
	if m := a.maps.Current(); m != nil {
		s.MapConfigVersion, s.MapSequence = m.ConfigVersion, m.Sequence
		for name, g := range m.Groups {
			if g.Active && g.Dispatcher == a.cfg.VM {
				s.Dispatches = append(s.Dispatches, name)
			}
		}
		slices.Sort(s.Dispatches)
	}
	return s
}

// peerAddresses returns the VMs that should be asked: the members and those in
// the dispatch map.
func (a *Admin) peerAddresses() map[string]string {
	out := map[string]string{}
	if m := a.maps.Current(); m != nil {
		for vm, address := range m.Peers {
			out[vm] = address
		}
	}
	a.replica.View(func(st *control.State) {
		members, _ := st.Members()
		for _, m := range members {
			out[m.VM] = m.PeerAddress
		}
	})
	delete(out, a.cfg.VM)
	return out
}

// askAll calls a method of every other VM; failures are passed to failed.
func (a *Admin) askAll(ctx context.Context, ask func(ctx context.Context, vm, address string)) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group errgroup.Group
	for vm, address := range a.peerAddresses() {
		group.Go(func() error {
			ask(ctx, vm, address)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// Cluster asks all VMs for their state.
func (a *Admin) Cluster(ctx context.Context) ClusterStatus {
	statuses := make(chan VMStatus, 1024)
	a.askAll(ctx, func(ctx context.Context, vm, address string) {
		var s VMStatus
		if err := a.peers.Call(ctx, address, "Admin.Status", &Nothing{}, &s); err != nil {
			s = VMStatus{VM: vm, Error: err.Error()}
		}
		statuses <- s
	})
	close(statuses)
	out := ClusterStatus{VMs: []VMStatus{a.self()}, Drains: []Drained{}}
	for s := range statuses {
		out.VMs = append(out.VMs, s)
	}
	slices.SortFunc(out.VMs, func(x, y VMStatus) int { return strings.Compare(x.VM, y.VM) })
	a.replica.View(func(st *control.State) {
		doc, version := st.Document()
		out.Deployment, out.Document, out.ConfigVersion = doc.Deployment, version, st.ConfigVersion()
		for key, d := range st.Drains() {
			if d.Out {
				out.Drains = append(out.Drains, Drained{key.Scope, key.Name, d.Version, d.Author})
			}
		}
	})
	slices.SortFunc(out.Drains, func(x, y Drained) int { return strings.Compare(string(x.Scope)+x.Name, string(y.Scope)+y.Name) })
	if m := a.maps.Current(); m != nil {
		for _, routes := range m.Shards {
			for _, r := range routes {
				if r.Owner == "" {
					out.Unassigned++
				}
			}
		}
	}
	return out
}

// OthersStay tells whether another VM answers that is not stopping.
func (a *Admin) OthersStay(ctx context.Context) bool {
	var found atomic.Bool
	a.askAll(ctx, func(ctx context.Context, _, address string) {
		var s VMStatus
		if err := a.peers.Call(ctx, address, "Admin.Status", &Nothing{}, &s); err == nil && !s.Leaving {
			found.Store(true)
		}
	})
	return found.Load()
}

// Timeline merges the events of all VMs in causal order. Missing names the VMs
// that did not answer; their events are not in the list.
func (a *Admin) Timeline(ctx context.Context) (events []timeline.Event, missing []string) {
	var mu sync.Mutex
	all := [][]timeline.Event{a.events.Events()}
	a.askAll(ctx, func(ctx context.Context, vm, address string) {
		var list EventList
		err := a.peers.Call(ctx, address, "Admin.Events", &Nothing{}, &list)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, vm)
			return
		}
		all = append(all, list.Events)
	})
	slices.Sort(missing)
	return timeline.Merge(all...), missing
}

// Nothing is an empty argument.
type Nothing struct{}

// EventList is the answer of Admin.Events.
type EventList struct{ Events []timeline.Event }

type receiver struct{ a *Admin }

// Status returns the state of this VM.
func (r *receiver) Status(_ *Nothing, s *VMStatus) error {
	*s = r.a.self()
	return nil
}

// Events returns the events of this VM.
func (r *receiver) Events(_ *Nothing, l *EventList) error {
	l.Events = r.a.events.Events()
	return nil
}
