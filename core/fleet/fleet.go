// Package fleet defines the plain data types in which a VM keeps its view of the
// system: the routing configuration, the targets, the VMs and the cells.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
)

// Config is one version of the routing configuration that the operators set.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces are the customers whose callers identify themselves with keys. If
	// there are none, requests need no key.
	Workspaces []Workspace
}

// Workspace is a customer of the operators.
type Workspace struct {
	Name string
	Keys []string // each authenticates callers as this workspace
	// Priority overrides that of the route if HasPriority is set. A pointer would not do:
	// VMs exchange configurations as gob, which drops a pointer to 0.
	Priority    int
	HasPriority bool
	// Rate is the number of requests/s that all VMs together may run for the workspace,
	// after a burst of up to Burst requests. 0 means no limit.
	Rate, Burst float64
}

// Limited reports whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int           // largest request header, in bytes
	BodyBytes     int64         // largest request body, in bytes
	HeaderTimeout time.Duration // longest time in which a caller must send a request header
	IdleTimeout   time.Duration // longest time for which a connection may stay idle
}

// Route sends the requests for one host and path prefix to one or more services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with "/"
	Idempotent bool   // requests may be executed more than once
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: a later response is worth less.
	Objective time.Duration
	Attempts  int // largest number of targets that one request is sent to
	Priority  int // 0 is the highest priority
	Parts     []RoutePart
	// Public routes need no key, also if the configuration has workspaces.
	Public bool
}

// RoutePart is one of the services of a route. Requests are split over them in
// proportion to their weights.
type RoutePart struct {
	Service string
	Weight  float64
}

// Service is a set of targets that can serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the number of open connections that each target accepts from
	// all VMs together.
	Connections int
	WarmUp      time.Duration // how long a target counts as cold after its start
	ColdRate    float64       // requests/s that a cold target can serve
	Keyed       bool          // each key is owned by exactly one target
}

// Target is one process of a back-end server, identified by its start.
type Target struct {
	ID         string
	Life       int64 // start of the process, Unix milliseconds; 0 if unknown
	Service    string
	Address    string
	DataCentre string
	Slots      int           // requests that the target runs concurrently
	Leaving    bool          // the target reports that it is about to stop
	ColdFor    time.Duration // remaining time as a cold target, as of its report
}

// VM is one process of the system and the machine it runs on.
type VM struct {
	ID          string
	DataCentre  string
	PeerAddress string
	Boot        string // differs for each start of the process
	// Cores is the processor time that the VM may use, in cores.
	Cores float64
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 in records of earlier versions
	// and where the settings do not state it.
	LinkMbps float64 `json:",omitempty"`
	// Era is the era of the store that the process knew when it registered.
	Era int64
	// Registration is above that of each earlier registration of the VM that the process knew
	// when it registered; 0 in records of earlier versions.
	Registration int64 `json:",omitempty"`
}

func (c *Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Pick maps a fraction in [0, 1) to a service, so that a uniformly random fraction
// picks each in proportion to its weight. The route must have at least one part.
func (r *Route) Pick(fraction float64) string {
	var totalWeight float64
	for _, p := range r.Parts {
		totalWeight += p.Weight
	}
	remaining := fraction * totalWeight
	for _, p := range r.Parts {
		if remaining < p.Weight {
			return p.Service
		}
		remaining -= p.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}

// Table is an index of a configuration with many routes or workspaces.
type Table struct {
	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
}

// NewTable indexes the routes of a configuration by host and its workspaces by key.
func NewTable(c *Config) *Table {
	t := &Table{byHost: make(map[string][]*Route), byKey: make(map[string]*Workspace)}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.byKey[key] = &c.Workspaces[i]
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Workspace returns the workspace that a key authenticates.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Match returns the route of the host with the longest path prefix that matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Cell is the record of a service's leader: the VM that lends the slots of the
// service's targets to the other VMs and, for services with keys, grants the keys
// to targets.
type Cell struct {
	Service string
	Leader  string // id of the VM
	Boot    string // VM.Boot of the leader's process
	// Change differs for each version of the record that a process writes.
	Change uint64
	// Era is the era of the store that the writer knew. A record of an earlier era than the
	// store's was restored from a copy, and later ones of its era may be lost.
	Era  int64
	Keys []keyspace.Assignment
	// Hold is how long the leader's grants of keys last; 0 in records of earlier versions,
	// whose grants last for ShortestHold.
	Hold time.Duration
	// EarlierGrants is for how long from its writing on grants of earlier leaders may hold.
	// A successor that the writer has told nothing else counts it anew.
	EarlierGrants time.Duration
	// UnknownHolders tells that such grants may be of keys and to targets that the record
	// does not name.
	UnknownHolders bool
}

// ShortestHold and LongestHold bound the duration of a grant of keys.
const (
	// ShortestHold spans the replacement of a lost leader, so that keys stay held.
	ShortestHold = 1800 * time.Millisecond
	// LongestHold is how long keys of a lost target may have no owner: with the call that
	// is in flight at its loss and a slow clock, they are served again within 4 s.
	LongestHold = 2900 * time.Millisecond
)

// GrantHold returns how long grants of the leader that the record names last.
func (c *Cell) GrantHold() time.Duration {
	if c == nil || c.Hold == 0 {
		return ShortestHold
	}
	return c.Hold
}
