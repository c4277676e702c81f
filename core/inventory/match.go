package inventory

import (
	"net/url"
	"slices"
	"strings"
	"time"
)

// Match returns the rule with the longest prefix of path, and false if no rule
// matches. A prefix matches whole path elements only: /fields matches /fields and
// /fields/7, but not /fieldsets. The path must be escaped (URL.EscapedPath), as
// for Key.
func (d *Document) Match(path string) (Rule, bool) {
	best := -1
	for i, r := range d.Rules {
		if hasPrefix(path, r.PathPrefix) && (best < 0 || len(r.PathPrefix) > len(d.Rules[best].PathPrefix)) {
			best = i
		}
	}
	if best < 0 {
		return Rule{}, false
	}
	return d.Rules[best], true
}

// hasPrefix reports whether a path begins with the path elements of prefix.
func hasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Key returns the key of a request: the header value or, if that is empty, the key
// in the path. It returns false if the rule requires a key and the request has
// none or an empty one. The path must be escaped (URL.EscapedPath). A %2F is part
// of the key, and different escapings of a key, such as a%20b and %61%20b, give
// the same key and so the same owner. A header value is used without unescaping.
func (r Rule) Key(path, headerValue string) (string, bool) {
	if r.KeyHeader != "" && headerValue != "" {
		return headerValue, true
	}
	if r.KeyTemplate != "" {
		return keyFromPath(r.KeyTemplate, path)
	}
	return "", r.KeyHeader == ""
}

// keyFromPath returns the key in a path that matches the template. Path elements are
// unescaped before they are compared, and the path may have more elements than the
// template. It returns false if the path does not match or the key is empty.
func keyFromPath(template, path string) (string, bool) {
	templateElements := strings.Split(template, "/")
	pathElements := strings.Split(path, "/")
	if len(pathElements) < len(templateElements) {
		return "", false
	}
	key := ""
	for i, element := range templateElements {
		value, err := url.PathUnescape(pathElements[i])
		if err != nil {
			return "", false
		}
		prefix, suffix, holdsKey := strings.Cut(element, "{key}")
		if !holdsKey {
			if element != value {
				return "", false
			}
			continue
		}
		if len(value) < len(prefix)+len(suffix) || !strings.HasPrefix(value, prefix) || !strings.HasSuffix(value, suffix) {
			return "", false
		}
		key = value[len(prefix) : len(value)-len(suffix)]
	}
	return key, key != ""
}

// IsRead reports whether the rule treats a method as idempotent.
func (r Rule) IsRead(method string) bool {
	if len(r.ReadMethods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(r.ReadMethods, method)
}

// Deadline returns the time that a request without a deadline header may take.
func (r Rule) Deadline() time.Duration {
	if r.DefaultDeadline == 0 {
		return DefaultDeadlineMillis * time.Millisecond
	}
	return r.DefaultDeadline.Std()
}

// BodyLimit returns the size of the largest accepted request body, in bytes.
func (r Rule) BodyLimit() int64 {
	if r.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return r.MaxBodyBytes
}
