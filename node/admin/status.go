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

// VMStatus is the state of one VM, as that VM reports it.
type VMStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	// Term is the highest manager term that the VM knows, and Manager the VM
	// that is the manager in this term.
	Term    uint64 `json:"term"`
	Manager string `json:"manager"`
	// ConfigVersion is the version that the VM has applied from the log,
	// MapConfigVersion the one from which its dispatch map was computed. A
	// change is in force when both have reached its version.
	ConfigVersion    uint64   `json:"config_version"`
	MapConfigVersion uint64   `json:"map_config_version"`
	MapSequence      uint64   `json:"map_sequence"`
	LogLagMS         int64    `json:"log_lag_ms"`      // time since the last successful read of the log
	Dispatches       []string `json:"dispatches"`      // names of the groups that the VM dispatches
	Error            string   `json:"error,omitempty"` // why the VM did not answer; all other fields but VM are empty then
}

// InForce reports whether a configuration version is in force on the VM.
func (s VMStatus) InForce(version uint64) bool {
	return s.Error == "" && s.ConfigVersion >= version && s.MapConfigVersion >= version
}

// ClusterStatus is the state of the deployment, as collected by one VM.
type ClusterStatus struct {
	ConfigVersion uint64     `json:"config_version"`
	Document      uint64     `json:"document_version"`
	Deployment    string     `json:"deployment"`
	VMs           []VMStatus `json:"vms"`
	Drains        []Drained  `json:"drains"`
	Unassigned    int        `json:"shards_without_owner"`
}

// Drained is a data centre, VM or target that operators have taken out of service.
type Drained struct {
	Scope   control.DrainScope `json:"scope"`
	Name    string             `json:"name"`
	Version uint64             `json:"version"`
	Author  string             `json:"author"`
}

// rpcTimeout bounds the calls to all other VMs together.
const rpcTimeout = 800 * time.Millisecond

// localStatus returns the state of this VM.
func (a *Admin) localStatus() VMStatus {
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

// peerAddresses returns the peer addresses of the other VMs, by name. Those in the
// list of members take precedence over those in the dispatch map.
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

// forEachPeer runs call for every other VM concurrently, with a context that ends
// after rpcTimeout, and waits until all calls have returned.
func (a *Admin) forEachPeer(ctx context.Context, call func(ctx context.Context, vm, address string)) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var group errgroup.Group
	for vm, address := range a.peerAddresses() {
		group.Go(func() error {
			call(ctx, vm, address)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
}

// Cluster collects the state of all VMs. A VM that does not answer is included
// with its error.
func (a *Admin) Cluster(ctx context.Context) ClusterStatus {
	statuses := make(chan VMStatus, 1024)
	a.forEachPeer(ctx, func(ctx context.Context, vm, address string) {
		var s VMStatus
		if err := a.peers.Call(ctx, address, "Admin.Status", &Nothing{}, &s); err != nil {
			s = VMStatus{VM: vm, Error: err.Error()}
		}
		statuses <- s
	})
	close(statuses)
	out := ClusterStatus{VMs: []VMStatus{a.localStatus()}, Drains: []Drained{}}
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

// HasSuccessor reports whether another VM can take over from this one: it answers
// and is not leaving.
func (a *Admin) HasSuccessor(ctx context.Context) bool {
	var found atomic.Bool
	a.forEachPeer(ctx, func(ctx context.Context, _, address string) {
		var s VMStatus
		if err := a.peers.Call(ctx, address, "Admin.Status", &Nothing{}, &s); err == nil && !s.Leaving {
			found.Store(true)
		}
	})
	return found.Load()
}

// Timeline returns the events of all VMs in causal order. The VMs in missing did
// not answer, so their events are not included.
func (a *Admin) Timeline(ctx context.Context) (events []timeline.Event, missing []string) {
	var mu sync.Mutex
	all := [][]timeline.Event{a.events.Events()}
	a.forEachPeer(ctx, func(ctx context.Context, vm, address string) {
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

// Nothing is the empty argument of RPC methods.
type Nothing struct{}

// EventList is the reply of the RPC method Admin.Events.
type EventList struct{ Events []timeline.Event }

// receiver holds the RPC methods that other VMs call.
type receiver struct{ a *Admin }

// Status is an RPC method that returns the state of this VM.
func (r *receiver) Status(_ *Nothing, s *VMStatus) error {
	*s = r.a.localStatus()
	return nil
}

// Events is an RPC method that returns the recorded events of this VM.
func (r *receiver) Events(_ *Nothing, l *EventList) error {
	l.Events = r.a.events.Events()
	return nil
}
