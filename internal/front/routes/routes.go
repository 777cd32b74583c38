// Package routes compiles routes, wherever they were written down, into one
// immutable table, and refuses those that would break a rule.
package routes

import (
	"fmt"
	"net/url"
	"slices"
	"strings"

	"ferryfront.example/ferryfront/admission"
)

// Where a field of a request stands.
const (
	InHeader = "header"
	InQuery  = "query"
	InPath   = "path"
	InBody   = "body" // a member of the JSON object that the body holds
)

// KeyHeader carries the key of a request that must not take effect twice.
const KeyHeader = "Idempotency-Key"

// Field is a field that a request must have.
type Field struct{ In, Name string }

// Spec is a route as it was written down, in a description or by hand.
type Spec struct {
	Method, Path string // a segment of the path in braces stands for any one segment
	Class        string
	Cost         int
	Repeat       string // "safe", "keyed" or "never": what the author takes for granted; may be empty
	Required     []Field
	Body         bool // a body is required
}

func (s Spec) String() string { return s.Method + " " + s.Path }

// Route is a compiled route.
type Route struct {
	Spec
	ClassIndex int
	segments   []segment
}

type segment struct {
	text  string // decoded, or the name of a parameter
	param bool
}

// Table finds routes. It does not change once compiled.
type Table struct{ bySize map[int][]*Route }

var repeats = map[string]admission.Effect{
	"safe": admission.Safe, "keyed": admission.Keyed, "never": admission.Unsafe,
}

// methods that are carried, and whether they write.
var methods = map[string]bool{"GET": false, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

// Compile checks routes against the settings. Its errors name method and path.
func Compile(specs []Spec, set admission.Settings) (*Table, error) {
	t := &Table{bySize: map[int][]*Route{}}
	for _, s := range specs {
		r, err := compile(s, set)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s, err)
		}
		for _, o := range t.bySize[len(r.segments)] {
			if err := conflict(r, o); err != nil {
				return nil, fmt.Errorf("%s: %w", s, err)
			}
		}
		t.bySize[len(r.segments)] = append(t.bySize[len(r.segments)], r)
	}
	for _, rs := range t.bySize { // literal segments go before parameters, from the left
		slices.SortStableFunc(rs, func(a, b *Route) int {
			for i := range a.segments {
				if pa, pb := a.segments[i].param, b.segments[i].param; pa != pb {
					if pb {
						return -1
					}
					return 1
				}
			}
			return 0
		})
	}
	return t, nil
}

func compile(s Spec, set admission.Settings) (*Route, error) {
	writes, ok := methods[s.Method]
	if !ok {
		return nil, fmt.Errorf("the method is not carried")
	}
	r := &Route{Spec: s, ClassIndex: slices.IndexFunc(set.Classes, func(c admission.Class) bool { return c.Name == s.Class && !c.IsRemoved })}
	if r.ClassIndex < 0 {
		return nil, fmt.Errorf("class %q is not known", s.Class)
	}
	class := &set.Classes[r.ClassIndex]
	if most := max(1, set.MaxUnits); s.Cost < 1 || s.Cost > most {
		return nil, fmt.Errorf("cost %d is outside 1 to %d", s.Cost, most)
	}
	if repeat, ok := repeats[s.Repeat]; s.Repeat != "" && !ok {
		return nil, fmt.Errorf("repeat %q is none of safe, keyed and never", s.Repeat)
	} else if writes && (class.Effect == admission.Safe || s.Repeat == "safe") {
		return nil, fmt.Errorf("a writing method must not be marked safe to repeat (class %q)", s.Class)
	} else if !writes && class.Effect != admission.Safe {
		return nil, fmt.Errorf("a lookup must not be marked %q, a class that takes effect", s.Class)
	} else if s.Repeat != "" && repeat != class.Effect {
		return nil, fmt.Errorf("repeat %q is not what class %q allows", s.Repeat, s.Class)
	}
	if class.Effect == admission.Keyed && !slices.ContainsFunc(s.Required, func(f Field) bool {
		return f.In == InHeader && strings.EqualFold(f.Name, KeyHeader)
	}) {
		return nil, fmt.Errorf("class %q needs a required header %s", s.Class, KeyHeader)
	}
	for _, f := range s.Required {
		if f.In != InHeader && f.In != InQuery && f.In != InPath && f.In != InBody || f.Name == "" {
			return nil, fmt.Errorf("a required field %q in %q", f.Name, f.In)
		}
	}
	return r, r.split()
}

func (r *Route) split() error {
	rest, ok := strings.CutPrefix(r.Path, "/")
	if !ok || strings.ContainsAny(r.Path, "?#") {
		return fmt.Errorf("the path is malformed")
	}
	for s := range strings.SplitSeq(rest, "/") {
		text, err := url.PathUnescape(s)
		seg := segment{text: text}
		if name, ok := strings.CutPrefix(s, "{"); ok {
			name, ok = strings.CutSuffix(name, "}")
			if !ok {
				return fmt.Errorf("the path is malformed")
			}
			seg = segment{text: name, param: true}
		}
		if err != nil || dots(text) || strings.ContainsAny(seg.text, "{}") {
			return fmt.Errorf("the path is malformed")
		}
		r.segments = append(r.segments, seg)
	}
	return nil
}

// dots: a segment that means another path.
func dots(s string) bool { return s == "." || s == ".." }

// conflict tells whether some path could be either route's with nothing to choose between them. Of two
// that meet, the one that is literal wherever the other is may go first.
func conflict(a, b *Route) error {
	if a.Path == b.Path {
		if a.Method == b.Method {
			return fmt.Errorf("is there twice")
		}
		return nil
	}
	aFirst, bFirst := true, true
	for i := range a.segments {
		x, y := a.segments[i], b.segments[i]
		switch {
		case !x.param && !y.param && x.text != y.text:
			return nil // they never meet
		case x.param && !y.param:
			aFirst = false
		case !x.param && y.param:
			bFirst = false
		}
	}
	if aFirst != bFirst {
		return nil
	}
	return fmt.Errorf("conflicts with %s", b.Spec)
}

// All returns the routes in order of path and method.
func (t *Table) All() []*Route {
	var all []*Route
	for _, rs := range t.bySize {
		all = append(all, rs...)
	}
	slices.SortFunc(all, func(a, b *Route) int { return strings.Compare(a.Path+" "+a.Method, b.Path+" "+b.Method) })
	return all
}

// Match is what a path was found to be.
type Match struct {
	Route   *Route
	Params  map[string]string
	Allowed []string // where the path is known and the method is not
}

// Find finds the route of a request. Where the path is not known all of Match is empty.
func (t *Table) Find(method, path string) Match {
	parts, ok := split(path)
	if !ok {
		return Match{}
	}
	var m Match
	shape := ""
	for _, r := range t.bySize[len(parts)] {
		if !r.meets(parts) || shape != "" && r.Path != shape {
			continue // a more literal path has been found, and its methods are the path's
		}
		shape = r.Path
		if r.Method != method {
			m.Allowed = append(m.Allowed, r.Method)
			continue
		}
		m = Match{Route: r}
		for i, s := range r.segments {
			if s.param {
				if m.Params == nil {
					m.Params = map[string]string{}
				}
				m.Params[s.text] = parts[i]
			}
		}
		return m
	}
	slices.Sort(m.Allowed)
	return m
}

// split decodes the segments of a path. One with dot segments is nobody's: whoever reads it next might
// resolve them, and serve a route of another class and cost.
func split(path string) ([]string, bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	parts := strings.Split(rest, "/")
	for i, p := range parts {
		text, err := url.PathUnescape(p)
		if err != nil || dots(text) || strings.Contains(text, "/../") || strings.Contains(text, "\\") {
			return nil, false
		}
		parts[i] = text
	}
	return parts, true
}

func (r *Route) meets(parts []string) bool {
	for i, s := range r.segments {
		if s.param && parts[i] == "" || !s.param && parts[i] != s.text {
			return false
		}
	}
	return true
}
