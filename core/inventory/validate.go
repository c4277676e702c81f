package inventory

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/jsonc"
)

const maxDeadline = 10 * time.Minute // a request with a longer deadline could outlive the retention of write intents

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Parse reads a document from JSON with comments and validates it. Wrong syntax,
// fields, types or values are returned as jsonc.Problems.
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

// Validate checks a document that was not read from a file. The error is a
// jsonc.Problems without files and lines.
func (d *Document) Validate() error { return d.validate(nil) }

func (d *Document) validate(src *jsonc.Source) error {
	v := validator{doc: d, src: src}
	v.checkName("deployment", d.Deployment)
	v.checkDataCentres()
	v.checkServices()
	v.checkTargets()
	v.checkRules()
	return v.problems.ErrorOrNil()
}

// validator collects the problems of a document.
type validator struct {
	doc             *Document
	src             *jsonc.Source
	problems        jsonc.Problems
	dataCentreNames map[string]bool
	serviceByName   map[string]Service
}

func (v *validator) addProblem(field, format string, args ...any) {
	v.problems = append(v.problems, v.src.Problem(field, format, args...))
}

func (v *validator) checkName(field, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		v.addProblem(field, "%q is not a valid name: 1 to %d characters of a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit", name, MaxNameLength)
	}
}

func (v *validator) checkRange(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.addProblem(field, "%d is outside %d to %d", value, lowest, highest)
	}
}

func (v *validator) checkDataCentres() {
	v.dataCentreNames = map[string]bool{}
	if len(v.doc.DataCentres) == 0 {
		v.addProblem("data_centres", "at least one data centre is needed")
	}
	for i, dc := range v.doc.DataCentres {
		field := fmt.Sprintf("data_centres[%d].name", i)
		v.checkName(field, dc.Name)
		if v.dataCentreNames[dc.Name] {
			v.addProblem(field, "data centre %q is listed twice", dc.Name)
		}
		v.dataCentreNames[dc.Name] = true
	}
}

func (v *validator) checkServices() {
	v.serviceByName = map[string]Service{}
	for i, s := range v.doc.Services {
		fieldPrefix := fmt.Sprintf("services[%d].", i)
		v.checkName(fieldPrefix+"name", s.Name)
		if _, duplicate := v.serviceByName[s.Name]; duplicate {
			v.addProblem(fieldPrefix+"name", "service %q is listed twice", s.Name)
		}
		v.serviceByName[s.Name] = s
		switch s.Ownership {
		case OwnershipKey:
			v.checkRange(fieldPrefix+"shards", s.Shards, 1, MaxShards)
		case OwnershipPool:
			if s.Shards != 0 {
				v.addProblem(fieldPrefix+"shards", "a service with pool ownership has no shards")
			}
		default:
			v.addProblem(fieldPrefix+"ownership", "%q is not %q or %q", s.Ownership, OwnershipKey, OwnershipPool)
		}
		if s.MaxQueue < 0 {
			v.addProblem(fieldPrefix+"max_queue", "must not be negative")
		}
	}
}

func (v *validator) checkTargets() {
	names, addresses := map[string]bool{}, map[string]string{}
	hasTarget := map[string]bool{}
	for i, t := range v.doc.Targets {
		fieldPrefix := fmt.Sprintf("targets[%d].", i)
		v.checkName(fieldPrefix+"name", t.Name)
		if names[t.Name] {
			v.addProblem(fieldPrefix+"name", "target %q is listed twice", t.Name)
		}
		names[t.Name] = true
		hasTarget[t.Service] = true
		v.checkTargetLocation(fieldPrefix, t, addresses)
		v.checkRange(fieldPrefix+"slots", t.Slots, 1, MaxSlots)
		if t.Connections < t.Slots {
			v.addProblem(fieldPrefix+"connections", "%d connections are too few for %d slots", t.Connections, t.Slots)
		}
		if t.Weight < 0 || t.Weight > 1000 {
			v.addProblem(fieldPrefix+"weight", "%g is outside 0 to 1000", t.Weight)
		}
	}
	for i, s := range v.doc.Services {
		if !hasTarget[s.Name] {
			v.addProblem(fmt.Sprintf("services[%d].name", i), "service %q has no target", s.Name)
		}
	}
}

// checkTargetLocation checks the service, data centre and address of a target.
func (v *validator) checkTargetLocation(fieldPrefix string, t Target, addresses map[string]string) {
	if _, ok := v.serviceByName[t.Service]; !ok {
		v.addProblem(fieldPrefix+"service", "service %q does not exist", t.Service)
	}
	if !v.dataCentreNames[t.DataCentre] {
		v.addProblem(fieldPrefix+"data_centre", "data centre %q does not exist", t.DataCentre)
	}
	addr, err := netip.ParseAddrPort(t.Address)
	if err != nil || addr.Port() == 0 {
		v.addProblem(fieldPrefix+"address", "%q is not an IP address and port", t.Address)
	}
	if other, duplicate := addresses[t.Address]; duplicate {
		v.addProblem(fieldPrefix+"address", "address is already used by target %q", other)
	}
	addresses[t.Address] = t.Name
}

func (v *validator) checkRules() {
	prefixes := map[string]bool{}
	for i, r := range v.doc.Rules {
		fieldPrefix := fmt.Sprintf("rules[%d].", i)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			v.addProblem(fieldPrefix+"path_prefix", "%q must begin with /", r.PathPrefix)
		}
		if prefixes[r.PathPrefix] {
			v.addProblem(fieldPrefix+"path_prefix", "prefix %q is listed twice", r.PathPrefix)
		}
		prefixes[r.PathPrefix] = true
		v.checkRuleKey(fieldPrefix, r)
		if r.DefaultDeadline < 0 || r.DefaultDeadline.Std() > maxDeadline {
			v.addProblem(fieldPrefix+"default_deadline", "%v is outside 0s to %v", r.DefaultDeadline.Std(), maxDeadline)
		}
		if r.MaxBodyBytes < 0 || r.MaxBodyBytes > MaxBodyBytesLimit {
			v.addProblem(fieldPrefix+"max_body_bytes", "%d is outside 0 to %d", r.MaxBodyBytes, MaxBodyBytesLimit)
		}
	}
}

// checkRuleKey checks that the service of a rule exists, and that the rule can
// determine the key if the service has key ownership.
func (v *validator) checkRuleKey(fieldPrefix string, r Rule) {
	s, ok := v.serviceByName[r.Service]
	if !ok {
		v.addProblem(fieldPrefix+"service", "service %q does not exist", r.Service)
		return
	}
	if r.KeyTemplate != "" {
		if strings.Count(r.KeyTemplate, "{key}") != 1 {
			v.addProblem(fieldPrefix+"key_template", "%q must contain {key} exactly once", r.KeyTemplate)
		}
		if !strings.HasPrefix(r.KeyTemplate, strings.TrimSuffix(r.PathPrefix, "/")) {
			v.addProblem(fieldPrefix+"key_template", "%q can never match the prefix %q", r.KeyTemplate, r.PathPrefix)
		}
	}
	if s.Ownership == OwnershipKey && r.KeyHeader == "" && r.KeyTemplate == "" {
		v.addProblem(fieldPrefix+"key_header", "service %q has key ownership: the rule needs key_header or key_template", s.Name)
	}
}
