// Package jsonc decodes JSON with comments into Go structs and reports every
// problem with its file, line and field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Problem is one error in a document.
type Problem struct {
	File    string
	Line    int    // from 1; for an absent field, the line of its nearest existing parent; 0 if unknown
	Field   string // path of the field, such as targets[3].slots
	Message string
}

// Error returns "file:line: field: message", without a line or field that is not set.
func (p Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return where + ": " + p.Message
	}
	return where + ": " + p.Field + ": " + p.Message
}

// Problems is a list of errors in a document. As an error value it must not be
// empty; see ErrorOrNil.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns the list as an error, or nil if it is empty.
func (ps Problems) ErrorOrNil() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Source is a parsed document that can find the lines of its fields.
type Source struct {
	file string
	text []byte
	root hujson.Value
}

// Decode parses text, checks it against the type that into points to, and stores
// the result in *into. It returns Problems for a syntax error, and for all unknown
// or repeated fields and wrong values; the Source is nil only for a syntax error.
func Decode(file string, text []byte, into any) (*Source, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	src := &Source{file: file, text: text, root: root}
	c := checker{src: src}
	c.check(root, reflect.TypeOf(into).Elem(), "")
	if len(c.problems) > 0 {
		return src, c.problems
	}
	standard := root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into); err != nil {
		return src, errors.Wrapf(err, "decode %s", file)
	}
	return src, nil
}

// syntaxProblem parses the line from the text of the error, because hujson does not
// return a typed error.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: err.Error()}
	if n, _ := fmt.Sscanf(p.Message, "hujson: line %d,", &p.Line); n == 1 {
		_, p.Message, _ = strings.Cut(p.Message, ", ")
	}
	return p
}

// Problem returns a problem with the field at a path such as targets[3].slots. A nil
// Source leaves file and line empty.
func (s *Source) Problem(field, format string, args ...any) Problem {
	p := Problem{Field: field, Message: fmt.Sprintf(format, args...)}
	if s == nil {
		return p
	}
	p.File = s.file
	for ptr := jsonPointer(field); ; ptr = ptr[:strings.LastIndexByte(ptr, '/')] {
		if v := s.root.Find(ptr); v != nil {
			p.Line = s.line(v.StartOffset)
			return p
		}
		if ptr == "" {
			return p
		}
	}
}

func (s *Source) line(offset int) int {
	return 1 + bytes.Count(s.text[:min(offset, len(s.text))], []byte("\n"))
}

// jsonPointer converts a path such as targets[3].slots into the JSON pointer
// /targets/3/slots.
func jsonPointer(field string) string {
	if field == "" {
		return ""
	}
	return "/" + strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(field)
}

// checker collects the problems of a document.
type checker struct {
	src      *Source
	problems Problems
}

// report adds a problem at an offset of the text.
func (c *checker) report(offset int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File: c.src.file, Line: c.src.line(offset), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// check compares a value and everything below it with the type t.
func (c *checker) check(v hujson.Value, t reflect.Type, field string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	object, isObject := v.Value.(*hujson.Object)
	array, isArray := v.Value.(*hujson.Array)
	switch {
	case reflect.PointerTo(t).Implements(unmarshaler):
		c.checkLeaf(v, t, field)
	case t.Kind() == reflect.Struct && isObject:
		c.checkStruct(object, t, field)
	case t.Kind() == reflect.Map && isObject:
		for _, m := range object.Members {
			c.check(m.Value, t.Elem(), joinPath(field, memberName(m)))
		}
	case t.Kind() == reflect.Slice && isArray:
		for i, e := range array.Elements {
			c.check(e, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
		}
	default:
		c.checkLeaf(v, t, field)
	}
}

func (c *checker) checkStruct(object *hujson.Object, t reflect.Type, field string) {
	known := fieldsByName(t)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := memberName(m)
		ft, ok := known[name]
		switch {
		case !ok:
			c.report(m.Name.StartOffset, joinPath(field, name), "unknown field")
		case seen[name]:
			c.report(m.Name.StartOffset, joinPath(field, name), "field appears more than once")
		default:
			c.check(m.Value, ft, joinPath(field, name))
		}
		seen[name] = true
	}
}

// checkLeaf checks a value by decoding it, without looking at its parts.
func (c *checker) checkLeaf(v hujson.Value, t reflect.Type, field string) {
	clone := v.Clone()
	clone.Standardize()
	if err := json.Unmarshal(bytes.TrimSpace(clone.Pack()), reflect.New(t).Interface()); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			c.report(v.StartOffset, field, "must be of type %s, not %s", t, typeErr.Value)
			return
		}
		c.report(v.StartOffset, field, "%v", err)
	}
}

// fieldsByName returns the types of the struct fields with a JSON tag, by JSON name.
func fieldsByName(t reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			known[name] = f.Type
		}
	}
	return known
}

func memberName(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// Duration is a time.Duration that JSON holds as a string with a unit, such as
// "250ms".
type Duration time.Duration

// UnmarshalJSON returns an error for a value that is not a string with a unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration must be a string with a unit, such as \"250ms\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q needs a unit: ns, us, ms, s, m or h", text)
	}
	*d = Duration(parsed)
	return nil
}

func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

func (d Duration) Std() time.Duration { return time.Duration(d) }
