// Package configcheck checks a routing configuration before operators send it, and tells
// what it changes. It does no I/O. Names of fields are given by the caller, because they
// are names on the wire. Keys of workspaces never appear in its texts.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Document is a configuration as it was written, before values are adjusted. Times are in
// seconds.
type Document struct {
	Version     int64
	BaseVersion *int64 // version that it was made from, or nil
	Routes      []Route
	Services    []Service
	Limits      Limits
	Workspaces  []Workspace
}

// Route is a route of a Document.
type Route struct {
	Name, Host, PathPrefix string
	Kind                   string // one of Fields.Kinds
	Timeout, Objective     float64
	Priority, Attempts     int
	Service                string // "" if the route is split
	Parts                  []Part
	Public                 bool
}

// Part is one part of a split route.
type Part struct {
	Service   string
	Weight    float64
	HasWeight bool
}

// Service is a service of a Document.
type Service struct {
	Name             string
	Connections      int
	WarmUp, ColdRate float64
	Keyed            bool
}

// Limits are the limits on requests and connections of a Document.
type Limits struct {
	HeaderBytes                int
	BodyBytes                  int64
	HeaderTimeout, IdleTimeout float64
}

// Workspace is a workspace of a Document.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    *int
	Rate, Burst float64
}

// Fields holds the names of the fields that findings refer to.
type Fields struct {
	Version, BaseVersion                                       string
	Routes, Name, Host, PathPrefix, Kind, Timeout, Objective   string
	Priority, Attempts, Service, Parts, Weight, Public         string
	Services, Connections, WarmUp, ColdRate, Keyed             string
	Limits, HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout string
	Workspaces, Keys, Rate, Burst                              string
	Idempotent, NotIdempotent                                  string // the kinds of routes
}

// Severity of a finding.
type Severity string

const (
	Error   Severity = "error"   // the configuration must not be sent
	Warning Severity = "warning" // it can be sent, but probably means something else
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	// Path is the field, such as routes[3].host. It is empty if the text is no JSON; Line
	// and Column, from 1 on, tell the place then.
	Path     string   `json:"path,omitempty"`
	Line     int      `json:"line,omitempty"`
	Column   int      `json:"column,omitempty"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String returns the finding as an operator reads it, without the name of the file.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: %s", f.Severity, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Message)
}

// HasErrors reports whether a configuration with these findings must not be sent.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// Check returns what is wrong with a configuration. inForce is the version in force, or nil
// if it is not known.
func Check(d, inForce *Document, names Fields) []Finding {
	c := checker{doc: d, f: names}
	if inForce != nil {
		c.checkVersions(inForce)
	}
	if d.Version < 0 {
		c.error(names.Version, "%d is negative", d.Version)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkLimits()
	c.checkWorkspaces()
	return c.findings
}

type checker struct {
	doc      *Document
	f        Fields
	findings []Finding
}

func (c *checker) error(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Severity: Error, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) warn(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Severity: Warning, Message: fmt.Sprintf(format, args...)})
}

// notNegative reports a negative value.
func notNegative[T cmp.Ordered](c *checker, path string, value T) bool {
	var zero T
	if value < zero {
		c.error(path, "%v is negative", value)
		return false
	}
	return true
}

func (c *checker) checkVersions(inForce *Document) {
	if c.doc.Version <= inForce.Version {
		c.error(c.f.Version, "%d is not above %d, the version in force", c.doc.Version, inForce.Version)
	}
	if base := c.doc.BaseVersion; base != nil && *base != inForce.Version {
		c.error(c.f.BaseVersion, "made from version %d, but %d is in force: what was changed since then would be undone", *base, inForce.Version)
	}
}

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.doc.Routes {
		for _, p := range r.parts() {
			used[p.Service] = true
		}
	}
	first := map[string]int{}
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("%s[%d]", c.f.Services, i)
		earlier, repeated := first[s.Name]
		switch {
		case s.Name == "":
			c.error(path+"."+c.f.Name, "is empty")
		case repeated:
			c.error(path+"."+c.f.Name, "%q is the name of %s[%d] too", s.Name, c.f.Services, earlier)
		case !used[s.Name]:
			c.warn(path, "no route uses service %q", s.Name)
		}
		if !repeated {
			first[s.Name] = i
		}
		notNegative(c, path+"."+c.f.Connections, s.Connections)
		if notNegative(c, path+"."+c.f.WarmUp, s.WarmUp) && notNegative(c, path+"."+c.f.ColdRate, s.ColdRate) && s.WarmUp > 0 && s.ColdRate == 0 {
			c.warn(path+"."+c.f.ColdRate, "is 0: a target gets no request in the first %v s after its start", s.WarmUp)
		}
	}
}

// parts returns the services of a route with their weights.
func (r *Route) parts() []Part {
	if len(r.Parts) == 0 {
		return []Part{{Service: r.Service, Weight: 1, HasWeight: true}}
	}
	return r.Parts
}

func (c *checker) checkRoutes() {
	if len(c.doc.Routes) == 0 {
		c.error(c.f.Routes, "there are none: every request would be answered with 404")
	}
	firstName, firstMatch := map[string]int{}, map[string]int{}
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		path := fmt.Sprintf("%s[%d]", c.f.Routes, i)
		if earlier, repeated := firstName[r.Name]; repeated {
			c.warn(path+"."+c.f.Name, "%q is the name of %s[%d] too: their work and figures are counted together", r.Name, c.f.Routes, earlier)
		} else {
			firstName[r.Name] = i
		}
		if r.Name == "" {
			c.warn(path+"."+c.f.Name, "is empty")
		}
		if c.checkMatch(path, r) {
			match := r.Host + r.PathPrefix
			if earlier, repeated := firstMatch[match]; repeated {
				c.error(path, "can never match: %s[%d] has the same host %q and path prefix %q", c.f.Routes, earlier, r.Host, r.PathPrefix)
			} else {
				firstMatch[match] = i
			}
		}
		c.checkRouteValues(path, r)
		c.checkParts(path, r)
	}
}

// checkMatch reports why a route can never match, and returns whether it can.
func (c *checker) checkMatch(path string, r *Route) bool {
	before := len(c.findings)
	host, prefix := path+"."+c.f.Host, path+"."+c.f.PathPrefix
	switch colon := strings.LastIndexByte(r.Host, ':'); {
	case r.Host == "":
		c.error(host, "is empty: the route can never match")
	case colon >= 0 && !strings.HasSuffix(r.Host, "]"):
		c.error(host, "%q has a port: the route can never match, because ports are removed from requests", r.Host)
	case strings.ContainsFunc(r.Host, isNoHost):
		c.error(host, "%q is no name of a host: the route can never match", r.Host)
	case strings.ToLower(r.Host) != r.Host:
		c.warn(host, "%q matches only callers that write it with the same capitals", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/"):
		c.error(prefix, "%q does not begin with /: the route can never match", r.PathPrefix)
	case strings.ContainsAny(r.PathPrefix, "?# "):
		c.error(prefix, "%q is no path: the route can never match", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		c.warn(prefix, "%q does not end with /: it matches %q too", r.PathPrefix, r.PathPrefix+"x")
	}
	return !HasErrors(c.findings[before:])
}

func isNoHost(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || strings.ContainsRune("/?#@*", r)
}

func (c *checker) checkRouteValues(path string, r *Route) {
	if r.Kind != c.f.Idempotent && r.Kind != c.f.NotIdempotent {
		c.error(path+"."+c.f.Kind, "%q is unknown, %q or %q is needed", r.Kind, c.f.Idempotent, c.f.NotIdempotent)
	}
	timeout := notNegative(c, path+"."+c.f.Timeout, r.Timeout)
	objective := notNegative(c, path+"."+c.f.Objective, r.Objective)
	if timeout && objective && r.Timeout > 0 && r.Objective > r.Timeout {
		c.error(path+"."+c.f.Objective, "%v s is above the timeout of %v s", r.Objective, r.Timeout)
	}
	notNegative(c, path+"."+c.f.Priority, r.Priority)
	if notNegative(c, path+"."+c.f.Attempts, r.Attempts) && r.Attempts == 0 {
		c.warn(path+"."+c.f.Attempts, "is 0: a request is sent once")
	}
}

func (c *checker) checkParts(path string, r *Route) {
	known := func(path, service string) {
		if !slices.ContainsFunc(c.doc.Services, func(s Service) bool { return s.Name == service }) {
			c.error(path, "there is no service %q", service)
		}
	}
	if len(r.Parts) == 0 {
		if r.Service == "" {
			c.error(path, "has neither %s nor %s", c.f.Service, c.f.Parts)
			return
		}
		known(path+"."+c.f.Service, r.Service)
		return
	}
	if r.Service != "" {
		c.warn(path+"."+c.f.Service, "%q is ignored, because the route has %s", r.Service, c.f.Parts)
	}
	var sum float64
	complete := true
	for i, p := range r.Parts {
		part := fmt.Sprintf("%s.%s[%d]", path, c.f.Parts, i)
		known(part+"."+c.f.Service, p.Service)
		switch {
		case !p.HasWeight:
			c.error(part+"."+c.f.Weight, "is missing: the service would get no request")
			complete = false
		case !notNegative(c, part+"."+c.f.Weight, p.Weight):
			complete = false
		case p.Weight == 0 && len(r.Parts) > 1:
			c.warn(part+"."+c.f.Weight, "is 0: service %q gets no request of this route", p.Service)
		}
		sum += p.Weight
	}
	if complete && sum == 0 {
		c.error(path+"."+c.f.Parts, "the weights sum to 0")
	}
}

func (c *checker) checkLimits() {
	l, path := &c.doc.Limits, c.f.Limits+"."
	if notNegative(c, path+c.f.HeaderBytes, l.HeaderBytes) && l.HeaderBytes > 0 {
		c.checkHeaderBytes(path + c.f.HeaderBytes)
	}
	if notNegative(c, path+c.f.BodyBytes, l.BodyBytes) && l.BodyBytes == 0 {
		for i, r := range c.doc.Routes {
			if r.Kind == c.f.NotIdempotent {
				c.warn(path+c.f.BodyBytes, "is 0: requests with a body are refused, and %s[%d] (%q) is for writes", c.f.Routes, i, r.Name)
				break
			}
		}
	}
	notNegative(c, path+c.f.HeaderTimeout, l.HeaderTimeout)
	notNegative(c, path+c.f.IdleTimeout, l.IdleTimeout)
}

// requestLineBytes is the least size of a request header besides path, host and key:
// method, version, the names of two headers and line ends.
const requestLineBytes = len("GET  HTTP/1.1\r\nHost: \r\n\r\n")

// checkHeaderBytes reports the first route whose shortest request does not fit.
func (c *checker) checkHeaderBytes(path string) {
	key := 0
	for _, w := range c.doc.Workspaces {
		for _, k := range w.Keys {
			key = max(key, len(k)+len("Key: \r\n"))
		}
	}
	for i, r := range c.doc.Routes {
		need := requestLineBytes + len(r.Host) + len(r.PathPrefix)
		if !r.Public {
			need += key
		}
		if need > c.doc.Limits.HeaderBytes {
			c.error(path, "%d is below what a request of %s[%d] (%q) needs, %d", c.doc.Limits.HeaderBytes, c.f.Routes, i, r.Name, need)
			return
		}
	}
}

func (c *checker) checkWorkspaces() {
	firstName, firstKey := map[string]int{}, map[string]string{}
	for i, w := range c.doc.Workspaces {
		path := fmt.Sprintf("%s[%d]", c.f.Workspaces, i)
		earlier, repeated := firstName[w.Name]
		switch {
		case w.Name == "":
			c.error(path+"."+c.f.Name, "is empty")
		case repeated && (w.Rate != c.doc.Workspaces[earlier].Rate || w.Burst != c.doc.Workspaces[earlier].Burst):
			e := c.doc.Workspaces[earlier]
			c.error(path, "%q has an allowance of %s here and of %s in %s[%d]", w.Name, allowance(w), allowance(e), c.f.Workspaces, earlier)
		case repeated:
			c.error(path+"."+c.f.Name, "%q is the name of %s[%d] too", w.Name, c.f.Workspaces, earlier)
		default:
			firstName[w.Name] = i
		}
		rate, burst := notNegative(c, path+"."+c.f.Rate, w.Rate), notNegative(c, path+"."+c.f.Burst, w.Burst)
		if rate && burst && w.Rate == 0 && w.Burst > 0 {
			c.error(path+"."+c.f.Burst, "is %v, but without %s there is no limit", w.Burst, c.f.Rate)
		}
		if w.Priority != nil {
			notNegative(c, path+"."+c.f.Priority, *w.Priority)
		}
		if len(w.Keys) == 0 {
			c.warn(path+"."+c.f.Keys, "there are none: no request can be of workspace %q", w.Name)
		}
		for j, k := range w.Keys {
			key := fmt.Sprintf("%s.%s[%d]", path, c.f.Keys, j)
			switch earlier, repeated := firstKey[k]; {
			case k == "":
				c.warn(key, "is empty and is ignored")
			case strings.TrimSpace(k) != k || strings.ContainsFunc(k, unicode.IsControl):
				c.error(key, "has spaces at an end or control characters: no request can have it")
			case repeated:
				c.error(key, "is the same key as %s", earlier)
			default:
				firstKey[k] = key
			}
		}
	}
}

// allowance describes the allowance of a workspace.
func allowance(w Workspace) string {
	if w.Rate <= 0 {
		return "no limit"
	}
	return fmt.Sprintf("%v requests/s and a burst of %v", w.Rate, w.Burst)
}
