package inventory

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/jsonc"
)

const maxDeadline = 10 * time.Minute // a longer deadline would outlive the retention of write intents

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Parse reads a document from JSON with comments and validates it. The error
// is jsonc.Problems, with file, line and field of each fault.
func Parse(file string, text []byte) (*Document, error) {
	var doc Document
	src, err := jsonc.Decode(file, text, &doc)
	if err != nil {
		return nil, err
	}
	if err := doc.validate(src); err != nil {
		return nil, err
	}
	return &doc, nil
}

// Validate checks a document that was not read from a file.
func (d *Document) Validate() error { return d.validate(nil) }

func (d *Document) validate(src *jsonc.Source) error {
	v := validator{doc: d, src: src}
	v.name("deployment", d.Deployment)
	v.dataCentres()
	v.services()
	v.targets()
	v.rules()
	return v.problems.ErrorOrNil()
}

type validator struct {
	doc         *Document
	src         *jsonc.Source
	problems    jsonc.Problems
	centreNames map[string]bool
	serviceOf   map[string]Service
}

func (v *validator) fail(field, format string, args ...any) {
	v.problems = append(v.problems, v.src.Problem(field, format, args...))
}

func (v *validator) name(field, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		v.fail(field, "%q is not a name: 1 to %d of a-z, 0-9, '.', '_' and '-'", name, MaxNameLength)
	}
}

func (v *validator) between(field string, value, low, high int) {
	if value < low || value > high {
		v.fail(field, "%d is outside %d to %d", value, low, high)
	}
}

func (v *validator) dataCentres() {
	v.centreNames = map[string]bool{}
	if len(v.doc.DataCentres) == 0 {
		v.fail("data_centres", "at least one data centre is needed")
	}
	for i, dc := range v.doc.DataCentres {
		field := fmt.Sprintf("data_centres[%d].name", i)
		v.name(field, dc.Name)
		if v.centreNames[dc.Name] {
			v.fail(field, "data centre %q is listed twice", dc.Name)
		}
		v.centreNames[dc.Name] = true
	}
}

func (v *validator) services() {
	v.serviceOf = map[string]Service{}
	for i, s := range v.doc.Services {
		at := fmt.Sprintf("services[%d].", i)
		v.name(at+"name", s.Name)
		if _, twice := v.serviceOf[s.Name]; twice {
			v.fail(at+"name", "service %q is listed twice", s.Name)
		}
		v.serviceOf[s.Name] = s
		switch s.Ownership {
		case OwnershipKey:
			v.between(at+"shards", s.Shards, 1, MaxShards)
		case OwnershipPool:
			if s.Shards != 0 {
				v.fail(at+"shards", "a service with pool ownership has no shards")
			}
		default:
			v.fail(at+"ownership", "%q is not %q or %q", s.Ownership, OwnershipKey, OwnershipPool)
		}
		if s.MaxQueue < 0 {
			v.fail(at+"max_queue", "must not be negative")
		}
	}
}

func (v *validator) targets() {
	names, addresses := map[string]bool{}, map[string]string{}
	used := map[string]bool{}
	for i, t := range v.doc.Targets {
		at := fmt.Sprintf("targets[%d].", i)
		v.name(at+"name", t.Name)
		if names[t.Name] {
			v.fail(at+"name", "target %q is listed twice", t.Name)
		}
		names[t.Name] = true
		used[t.Service] = true
		v.targetPlace(at, t, addresses)
		v.between(at+"slots", t.Slots, 1, MaxSlots)
		if t.Connections < t.Slots {
			v.fail(at+"connections", "%d connections cannot carry %d slots", t.Connections, t.Slots)
		}
		if t.Weight < 0 || t.Weight > 1000 {
			v.fail(at+"weight", "%g is outside 0 to 1000", t.Weight)
		}
	}
	for i, s := range v.doc.Services {
		if !used[s.Name] {
			v.fail(fmt.Sprintf("services[%d].name", i), "service %q has no target", s.Name)
		}
	}
}

func (v *validator) targetPlace(at string, t Target, addresses map[string]string) {
	if _, ok := v.serviceOf[t.Service]; !ok {
		v.fail(at+"service", "service %q does not exist", t.Service)
	}
	if !v.centreNames[t.DataCentre] {
		v.fail(at+"data_centre", "data centre %q does not exist", t.DataCentre)
	}
	addr, err := netip.ParseAddrPort(t.Address)
	if err != nil || addr.Port() == 0 {
		v.fail(at+"address", "%q is not an IP address and port", t.Address)
	}
	if other, twice := addresses[t.Address]; twice {
		v.fail(at+"address", "address is that of target %q too", other)
	}
	addresses[t.Address] = t.Name
}

func (v *validator) rules() {
	prefixes := map[string]bool{}
	for i, r := range v.doc.Rules {
		at := fmt.Sprintf("rules[%d].", i)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.fail(at+"path_prefix", "%q must begin with /", r.PathPrefix)
		}
		if prefixes[r.PathPrefix] {
			v.fail(at+"path_prefix", "prefix %q is listed twice", r.PathPrefix)
		}
		prefixes[r.PathPrefix] = true
		v.ruleKey(at, r)
		if r.DefaultDeadline < 0 || r.DefaultDeadline.Std() > maxDeadline {
			v.fail(at+"default_deadline", "%v is outside 0s to %v", r.DefaultDeadline.Std(), maxDeadline)
		}
		if r.MaxBodyBytes < 0 || r.MaxBodyBytes > MaxMaxBodyBytes {
			v.fail(at+"max_body_bytes", "%d is outside 0 to %d", r.MaxBodyBytes, MaxMaxBodyBytes)
		}
	}
}

func (v *validator) ruleKey(at string, r Rule) {
	s, ok := v.serviceOf[r.Service]
	if !ok {
		v.fail(at+"service", "service %q does not exist", r.Service)
		return
	}
	if r.KeyTemplate != "" {
		if strings.Count(r.KeyTemplate, "{key}") != 1 {
			v.fail(at+"key_template", "%q must hold {key} once", r.KeyTemplate)
		}
		if !strings.HasPrefix(r.KeyTemplate, strings.TrimSuffix(r.PathPrefix, "/")) {
			v.fail(at+"key_template", "%q can never match the prefix %q", r.KeyTemplate, r.PathPrefix)
		}
	}
	if s.Ownership == OwnershipKey && r.KeyHeader == "" && r.KeyTemplate == "" {
		v.fail(at+"key_header", "service %q is divided by key: the rule needs key_header or key_template", s.Name)
	}
}
