// Package fleet holds what a VM believes about its surroundings: the routing
// configuration, the targets, the data centres that are taken out of service,
// the other VMs, and the cells. All types are plain values.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/keyspace"
)

// Config is one version of the operators' routing configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int           // largest request header
	BodyBytes     int64         // largest request body
	HeaderTimeout time.Duration // longest time for a caller to send a header
	IdleTimeout   time.Duration // longest time that a connection may stay idle
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool   // requests may run more than once
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	Attempts  int // most targets for one request
	Priority  int // 0 is the most urgent
	Parts     []RoutePart
}

// RoutePart is one of the services that share a route, by weight.
type RoutePart struct {
	Service string
	Weight  float64
}

// Service is a set of targets that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the number of open connections that each target accepts
	// from all VMs together.
	Connections int
	WarmUp      time.Duration // how long a target stays cold after its start
	ColdRate    float64       // requests/s that a cold target bears
	Keyed       bool          // each key has exactly one owner
}

// Target is one life of a back-end process.
type Target struct {
	ID         string
	Life       int64 // start of the process, Unix milliseconds; 0 if unknown
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool          // reports that it will stop
	ColdFor    time.Duration // as of the report
}

// VM is one process of the system.
type VM struct {
	ID          string
	DataCentre  string
	PeerAddress string
	Boot        string // new at each start of the process
	// Cores is the processor time that the VM may use, in cores.
	Cores float64
}

// Service returns the service of a name.
func (c *Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Pick returns the service for a point in [0, 1) of the weights' sum.
func (r *Route) Pick(point float64) string {
	var sum float64
	for _, p := range r.Parts {
		sum += p.Weight
	}
	rest := point * sum
	for _, p := range r.Parts {
		if rest < p.Weight {
			return p.Service
		}
		rest -= p.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}

// Table finds routes by host. It serves configurations with many routes.
type Table struct {
	byHost map[string][]*Route // longest prefix first
}

// NewTable indexes the routes of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Cell is the record of a service's leader: the VM that lends slots and, for
// services with keys, grants them.
type Cell struct {
	Service string
	Leader  string // VM id
	Boot    string // of the leader's process
	// Change is new for each version that a process writes.
	Change uint64
	Keys   []keyspace.Assignment
}
