// Package inventory holds the configuration document that operators keep in
// version control: data centres, services, targets and routing rules.
package inventory

import "github.com/mangogate/mangogate/core/jsonc"

// Ownership says which targets may run a request of a service.
type Ownership string

const (
	// OwnershipKey means that each key is owned by exactly one target, which runs
	// all requests for the key.
	OwnershipKey Ownership = "key"
	// OwnershipPool means that any target may run any request.
	OwnershipPool Ownership = "pool"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Deployment  string       `json:"deployment"`
	DataCentres []DataCentre `json:"data_centres"`
	Services    []Service    `json:"services"`
	Targets     []Target     `json:"targets"`
	Rules       []Rule       `json:"rules"`
}

// DataCentre is a failure zone that operators can take out of service.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Service is a set of targets that run the same kind of requests.
type Service struct {
	Name      string    `json:"name"`
	Ownership Ownership `json:"ownership"`
	// Shards is the number of hash ranges of a service with key ownership.
	Shards int `json:"shards,omitempty"`
	// ChecksFences says that the targets reject requests with an old fencing token.
	ChecksFences bool `json:"checks_fences,omitempty"`
	// MaxQueue is the maximum number of queued requests per dispatch group; 0
	// means DefaultMaxQueue.
	MaxQueue int `json:"max_queue,omitempty"`
}

// Target is one back-end process.
type Target struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // IP address and port
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of open connections that the target accepts.
	Connections int `json:"connections"`
	// Weight sets the target's share of the keys relative to the other targets of
	// its service; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// EffectiveWeight returns the weight, or 1 if none is set.
func (t Target) EffectiveWeight() float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// Rule routes requests with a path prefix to a service. The longest matching
// prefix wins.
type Rule struct {
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// KeyHeader names the request header that carries the key.
	KeyHeader string `json:"key_header,omitempty"`
	// KeyTemplate is a URL path with one {key}, such as /fields/{key}/conditions.
	KeyTemplate string `json:"key_template,omitempty"`
	// ReadMethods are the methods treated as idempotent; empty means GET and HEAD.
	ReadMethods []string `json:"read_methods,omitempty"`
	// DefaultDeadline applies to requests without a deadline header; 0 means
	// DefaultDeadlineMillis.
	DefaultDeadline jsonc.Duration `json:"default_deadline,omitempty"`
	// MaxBodyBytes limits the request body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

const (
	DefaultMaxBodyBytes   = 1 << 20 // bytes
	MaxBodyBytesLimit     = 8 << 20 // bytes; forwarded bodies are buffered in memory
	DefaultMaxQueue       = 256     // queued requests per dispatch group
	MaxShards             = 1 << 16 // shards per service
	MaxSlots              = 1024    // requests that a target runs concurrently
	MaxNameLength         = 64      // bytes
	DefaultDeadlineMillis = 5000
)

func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (d *Document) Target(name string) (Target, bool) {
	for _, t := range d.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// TargetsOf returns the targets of a service in document order.
func (d *Document) TargetsOf(service string) []Target {
	var out []Target
	for _, t := range d.Targets {
		if t.Service == service {
			out = append(out, t)
		}
	}
	return out
}
