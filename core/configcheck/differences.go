package configcheck

import (
	"fmt"
	"strings"
)

// Difference is a change from one configuration to another, in words.
type Difference struct {
	Change string `json:"change"`
	Effect string `json:"effect"` // what it does to callers and targets
}

func (d Difference) String() string { return d.Change + ": " + d.Effect }

// Differences returns what changes when to replaces from, in the order of to.
func Differences(from, to *Document, names Fields) []Difference {
	d := differ{from: from, to: to, f: names}
	d.routes()
	d.services()
	d.limits()
	d.workspaces()
	return d.out
}

type differ struct {
	from, to *Document
	f        Fields
	out      []Difference
}

func (d *differ) add(change, effect string) { d.out = append(d.out, Difference{change, effect}) }

func (d *differ) routes() {
	before := map[string]*Route{}
	for i := range d.from.Routes {
		before[d.from.Routes[i].Name] = &d.from.Routes[i]
	}
	after := map[string]bool{}
	for i := range d.to.Routes {
		r := &d.to.Routes[i]
		after[r.Name] = true
		if old := before[r.Name]; old == nil {
			d.add(fmt.Sprintf("route %q is new", r.Name), fmt.Sprintf("requests for %s%s go to %s", r.Host, r.PathPrefix, split(r)))
		} else {
			d.route(old, r)
		}
	}
	for i := range d.from.Routes {
		if r := &d.from.Routes[i]; !after[r.Name] {
			d.add(fmt.Sprintf("route %q is removed", r.Name), fmt.Sprintf("requests for %s%s %s", r.Host, r.PathPrefix, d.fate(r.Host, r.PathPrefix)))
		}
	}
}

// fate tells what becomes of requests below a path that a route no longer takes.
func (d *differ) fate(host, prefix string) string {
	best := -1
	for i, r := range d.to.Routes {
		if r.Host == host && strings.HasPrefix(prefix, r.PathPrefix) && (best < 0 || len(r.PathPrefix) > len(d.to.Routes[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return "are answered with 404"
	}
	return fmt.Sprintf("match route %q", d.to.Routes[best].Name)
}

// split describes where the requests of a route go.
func split(r *Route) string {
	parts := r.parts()
	if len(parts) == 1 {
		return fmt.Sprintf("service %q", parts[0].Service)
	}
	var sum float64
	for _, p := range parts {
		sum += p.Weight
	}
	var out []string
	for _, p := range parts {
		out = append(out, fmt.Sprintf("%.3g %% to service %q", 100*p.Weight/max(sum, 1e-9), p.Service))
	}
	return strings.Join(out, ", ")
}

func (d *differ) route(old, r *Route) {
	name := fmt.Sprintf("route %q: ", r.Name)
	if old.Host != r.Host || old.PathPrefix != r.PathPrefix {
		d.add(fmt.Sprintf("%s%s%s becomes %s%s", name, old.Host, old.PathPrefix, r.Host, r.PathPrefix),
			fmt.Sprintf("requests for %s%s %s", old.Host, old.PathPrefix, d.fate(old.Host, old.PathPrefix)))
	}
	if was, is := split(old), split(r); was != is {
		d.add(name+"another split", fmt.Sprintf("requests go to %s, before to %s", is, was))
	}
	if old.Kind != r.Kind {
		effect := "a request that may have run is not sent again"
		if r.Kind == d.f.Idempotent {
			effect = "requests may run more than once"
		}
		d.add(fmt.Sprintf("%s%s %q becomes %q", name, d.f.Kind, old.Kind, r.Kind), effect)
	}
	if old.Timeout != r.Timeout {
		effect := "requests may take longer"
		if r.Timeout > 0 && (old.Timeout == 0 || r.Timeout < old.Timeout) {
			effect = "requests that take longer fail"
		}
		d.add(fmt.Sprintf("%s%s %v becomes %v", name, d.f.Timeout, old.Timeout, r.Timeout), effect)
	}
	if old.Objective != r.Objective {
		effect := "requests may wait longer for a slot"
		if r.Objective < old.Objective {
			effect = "requests are refused after a shorter wait"
		}
		d.add(fmt.Sprintf("%s%s %v becomes %v", name, d.f.Objective, old.Objective, r.Objective), effect)
	}
	if old.Priority != r.Priority {
		d.add(fmt.Sprintf("%s%s %d becomes %d", name, d.f.Priority, old.Priority, r.Priority), priorityEffect(old.Priority, r.Priority))
	}
	if old.Attempts != r.Attempts {
		d.add(fmt.Sprintf("%s%s %d becomes %d", name, d.f.Attempts, old.Attempts, r.Attempts), fmt.Sprintf("a request is sent to up to %d targets", max(1, r.Attempts)))
	}
	switch {
	case old.Public && !r.Public:
		d.add(name+"no longer public", "requests need a key")
	case !old.Public && r.Public:
		d.add(name+"becomes public", "requests need no key, and targets are told no workspace")
	}
}

// priorityEffect tells what another priority does; 0 is the most urgent.
func priorityEffect(old, now int) string {
	if now < old {
		return "requests are served before more others"
	}
	return "requests are served after more others"
}

func (d *differ) services() {
	before := map[string]Service{}
	for _, s := range d.from.Services {
		before[s.Name] = s
	}
	after := map[string]bool{}
	for _, s := range d.to.Services {
		after[s.Name] = true
		old, known := before[s.Name]
		name := fmt.Sprintf("service %q", s.Name)
		if !known {
			d.add(name+" is new", "its targets get requests once they have registered")
			continue
		}
		if old.Keyed != s.Keyed {
			effect := "any target serves any key"
			if s.Keyed {
				effect = "each key has one owner, which is assigned anew"
			}
			d.add(fmt.Sprintf("%s: %s %v becomes %v", name, d.f.Keyed, old.Keyed, s.Keyed), effect)
		}
		if old.Connections != s.Connections {
			d.add(fmt.Sprintf("%s: %s %d becomes %d", name, d.f.Connections, old.Connections, s.Connections), "another number of connections to each target")
		}
		if old.WarmUp != s.WarmUp || old.ColdRate != s.ColdRate {
			d.add(fmt.Sprintf("%s: %s %v, %s %v become %v, %v", name, d.f.WarmUp, old.WarmUp, d.f.ColdRate, old.ColdRate, s.WarmUp, s.ColdRate),
				fmt.Sprintf("targets get up to %v requests/s in the first %v s after their start", s.ColdRate, s.WarmUp))
		}
	}
	for _, s := range d.from.Services {
		if !after[s.Name] {
			d.add(fmt.Sprintf("service %q is removed", s.Name), "its targets get no requests")
		}
	}
}

func (d *differ) limits() {
	was, is := d.from.Limits, d.to.Limits
	limit := func(name string, old, now any, smaller bool, effect string) {
		if old != now {
			if !smaller {
				effect = "more is accepted"
			}
			d.add(fmt.Sprintf("%s.%s %v becomes %v", d.f.Limits, name, old, now), effect)
		}
	}
	limit(d.f.HeaderBytes, was.HeaderBytes, is.HeaderBytes, is.HeaderBytes < was.HeaderBytes, "larger headers are refused")
	limit(d.f.BodyBytes, was.BodyBytes, is.BodyBytes, is.BodyBytes < was.BodyBytes, "larger bodies are refused with 413")
	limit(d.f.HeaderTimeout, was.HeaderTimeout, is.HeaderTimeout, is.HeaderTimeout < was.HeaderTimeout, "slower callers are disconnected")
	limit(d.f.IdleTimeout, was.IdleTimeout, is.IdleTimeout, is.IdleTimeout < was.IdleTimeout, "idle connections are closed sooner")
}

func (d *differ) workspaces() {
	switch {
	case len(d.from.Workspaces) == 0 && len(d.to.Workspaces) > 0:
		d.add("the first workspaces", "requests on routes that are not public need a key")
	case len(d.from.Workspaces) > 0 && len(d.to.Workspaces) == 0:
		d.add("no workspaces are left", "requests need no key")
	}
	owner := func(doc *Document) map[string]string {
		out := map[string]string{}
		for _, w := range doc.Workspaces {
			for _, k := range w.Keys {
				if k != "" {
					out[k] = w.Name
				}
			}
		}
		return out
	}
	ownerBefore, ownerAfter := owner(d.from), owner(d.to)
	before, after := map[string]Workspace{}, map[string]bool{}
	for _, w := range d.from.Workspaces {
		before[w.Name] = w
	}
	for _, w := range d.to.Workspaces {
		after[w.Name] = true
		old, known := before[w.Name]
		if known {
			d.workspace(old, w, ownerBefore, ownerAfter)
		} else {
			d.add(fmt.Sprintf("workspace %q is new", w.Name), fmt.Sprintf("%s %s valid; allowance: %s", keys(len(w.Keys)), plural(len(w.Keys), "becomes", "become"), allowance(w)))
		}
	}
	for _, w := range d.from.Workspaces {
		if !after[w.Name] {
			d.add(fmt.Sprintf("workspace %q is removed", w.Name), lostKeys(w, ownerAfter))
		}
	}
}

func keys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

// plural returns a verb in the form for a number of keys.
func plural(n int, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

// lostKeys tells what becomes of the keys that a workspace had and has no longer.
func lostKeys(old Workspace, ownerAfter map[string]string) string {
	invalid, moved := 0, 0
	for _, k := range old.Keys {
		switch owner, valid := ownerAfter[k]; {
		case k == "":
		case !valid:
			invalid++
		case owner != old.Name:
			moved++
		}
	}
	var out []string
	if invalid > 0 || moved == 0 {
		out = append(out, fmt.Sprintf("%s %s invalid: requests with %s are answered with 401", keys(invalid), plural(invalid, "becomes", "become"), plural(invalid, "it", "them")))
	}
	if moved > 0 {
		out = append(out, fmt.Sprintf("%s %s to another workspace", keys(moved), plural(moved, "belongs", "belong")))
	}
	return strings.Join(out, "; ")
}

func (d *differ) workspace(old, w Workspace, ownerBefore, ownerAfter map[string]string) {
	name := fmt.Sprintf("workspace %q: ", w.Name)
	lost, added := 0, 0
	for _, k := range old.Keys {
		if k != "" && ownerAfter[k] != w.Name {
			lost++
		}
	}
	for _, k := range w.Keys {
		if k != "" && ownerBefore[k] != w.Name {
			added++
		}
	}
	if lost > 0 {
		d.add(fmt.Sprintf("%s%s removed", name, keys(lost)), lostKeys(old, ownerAfter))
	}
	if added > 0 {
		d.add(fmt.Sprintf("%s%s added", name, keys(added)), fmt.Sprintf("requests with %s are accepted", plural(added, "it", "them")))
	}
	if was, is := allowance(old), allowance(w); was != is {
		effect := "more requests are accepted"
		if w.Rate > 0 && (old.Rate <= 0 || w.Rate < old.Rate || w.Rate == old.Rate && w.Burst < old.Burst) {
			effect = "requests beyond it are answered with 429"
		}
		d.add(fmt.Sprintf("%sallowance of %s becomes %s", name, was, is), effect)
	}
	switch {
	case old.Priority == nil && w.Priority != nil:
		d.add(fmt.Sprintf("%s%s %d", name, d.f.Priority, *w.Priority), "overrides the priority of routes")
	case old.Priority != nil && w.Priority == nil:
		d.add(fmt.Sprintf("%sno %s", name, d.f.Priority), "the priority of routes counts")
	case old.Priority != nil && *old.Priority != *w.Priority:
		d.add(fmt.Sprintf("%s%s %d becomes %d", name, d.f.Priority, *old.Priority, *w.Priority), priorityEffect(*old.Priority, *w.Priority))
	}
}
