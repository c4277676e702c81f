package inventory

import (
	"slices"
	"strings"
	"time"
)

// Match returns the rule with the longest prefix of path, and false when no
// rule matches.
func (d *Document) Match(path string) (Rule, bool) {
	best := -1
	for i, r := range d.Rules {
		if strings.HasPrefix(path, r.PathPrefix) && (best < 0 || len(r.PathPrefix) > len(d.Rules[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return Rule{}, false
	}
	return d.Rules[best], true
}

// Key returns the key of a request from its header value or, failing that,
// from the path. It returns false when the rule asks for a key and there is none.
func (r Rule) Key(path, headerValue string) (string, bool) {
	if r.KeyHeader != "" && headerValue != "" {
		return headerValue, true
	}
	if r.KeyTemplate != "" {
		return keyFromPath(r.KeyTemplate, path)
	}
	return "", r.KeyHeader == ""
}

// keyFromPath matches path elements one by one; extra elements after the
// template are allowed.
func keyFromPath(template, path string) (string, bool) {
	want := strings.Split(template, "/")
	have := strings.Split(path, "/")
	if len(have) < len(want) {
		return "", false
	}
	key := ""
	for i, element := range want {
		if element == "{key}" {
			key = have[i]
			continue
		}
		if prefix, suffix, ok := strings.Cut(element, "{key}"); ok {
			if len(have[i]) < len(prefix)+len(suffix) || !strings.HasPrefix(have[i], prefix) || !strings.HasSuffix(have[i], suffix) {
				return "", false
			}
			key = have[i][len(prefix) : len(have[i])-len(suffix)]
			continue
		}
		if element != have[i] {
			return "", false
		}
	}
	return key, key != ""
}

// IsRead tells whether a method is idempotent under the rule.
func (r Rule) IsRead(method string) bool {
	if len(r.ReadMethods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(r.ReadMethods, method)
}

// Deadline returns the time a request without a deadline header may take.
func (r Rule) Deadline() time.Duration {
	if r.DefaultDeadline == 0 {
		return DefaultDeadlineMillis * time.Millisecond
	}
	return r.DefaultDeadline.Std()
}

// BodyLimit returns the largest request body, in bytes.
func (r Rule) BodyLimit() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}
