package openapi

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/front/routes"
	"ferryfront.example/ferryfront/internal/settings"
)

// Extension is the member of an operation that names its class and cost:
//
//	x-ferryfront: {class: catalogue, cost: 1, repeat: safe}
//
// cost is 1 where it is left out; repeat (safe, keyed or never) may be left out, too, and is then what
// the class says.
const Extension = "x-ferryfront"

// Place says where in a request a value is found.
type Place struct {
	In, Name string
	Default  string // where the request has none
}

// File is a front's file, as it lies under deploy/.
type File struct {
	Listen      string
	Description string // path of the description; routes written by hand stand in Routes instead
	Routes      []routes.Spec
	Customer    Place
	Text        bool // customers are names rather than hexadecimal numbers
	Plan        Place
	Deadline    Place
	Doors       Place // of the ingresses that a customer uses, in the platform's form; may be left out
}

// ReadFile reads a front's file. A relative path of the description is taken from its folder.
func ReadFile(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("front: %w", err)
	}
	return ParseFile(raw, path)
}

// ParseFile reads what a front's file says. Errors name path, and relative paths are taken from its folder.
func ParseFile(raw []byte, path string) (File, error) {
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return File{}, fmt.Errorf("%s: not JSON: %w", path, err)
	}
	r := settings.NewReader(v, "")
	r.Require("listen", "customer", "plan")
	f := File{Listen: r.Text("listen"), Description: r.Text("description"), Customer: place(r, "customer"),
		Plan: place(r, "plan"), Deadline: place(r, "deadline"), Doors: place(r, "doors")}
	for _, s := range r.List("routes") {
		spec := routes.Spec{Method: s.Text("method"), Path: s.Text("path"), Class: s.Text("class"),
			Cost: cost(s), Repeat: s.Text("repeat"), Body: s.Bool("body")}
		for _, q := range s.List("required") {
			spec.Required = append(spec.Required, routes.Field{In: q.Text("in"), Name: q.Text("name")})
		}
		f.Routes = append(f.Routes, spec)
	}
	format := r.Object("customer").Text("format")
	f.Text = format == "text"
	if err := r.Err(); err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return File{}, fmt.Errorf("%s: listen: %w", path, err)
	}
	if (f.Description == "") == (len(f.Routes) == 0) {
		return File{}, fmt.Errorf("%s: needs either a description or routes", path)
	}
	if format != "" && format != "hex" && format != "text" {
		return File{}, fmt.Errorf("%s: customer.format %q is neither hex nor text", path, format)
	}
	for field, p := range map[string]Place{"customer": f.Customer, "plan": f.Plan, "deadline": f.Deadline, "doors": f.Doors} {
		if p == (Place{}) {
			continue
		}
		known := slices.Contains([]string{routes.InHeader, routes.InQuery, routes.InPath}, p.In)
		if p.In != "" && (!known || p.Name == "") || p.In == "" && p.Default == "" {
			return File{}, fmt.Errorf("%s: %s says neither where it is found (in header, query or path) nor a default", path, field)
		}
	}
	if f.Description != "" && !filepath.IsAbs(f.Description) {
		f.Description = filepath.Join(filepath.Dir(path), f.Description)
	}
	return f, nil
}

func place(r settings.Reader, key string) Place {
	o := r.Object(key)
	return Place{In: o.Text("in"), Name: o.Text("name"), Default: o.Text("default")}
}

func cost(r settings.Reader) int {
	if r.Has("cost") {
		return r.Int("cost")
	}
	return 1
}

// Load compiles the routes of a file, from its description or as they stand in it.
func (f File) Load(set admission.Settings) (*routes.Table, error) {
	if f.Description == "" {
		return f.compile(f.Routes, set)
	}
	raw, err := os.ReadFile(f.Description)
	if err != nil {
		return nil, fmt.Errorf("description: %w", err)
	}
	specs, err := Describe(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Description, err)
	}
	table, err := f.compile(specs, set)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Description, err)
	}
	return table, nil
}

// compile refuses a table with a route that no customer, plan or deadline could be found on.
func (f File) compile(specs []routes.Spec, set admission.Settings) (*routes.Table, error) {
	for _, s := range specs {
		for _, p := range []Place{f.Customer, f.Plan, f.Deadline, f.Doors} {
			if p.In == routes.InPath && p.Default == "" && !strings.Contains(s.Path, "{"+p.Name+"}") {
				return nil, fmt.Errorf("%s: the path has no {%s}", s, p.Name)
			}
		}
	}
	return routes.Compile(specs, set)
}

// Describe reads the routes of an OpenAPI description, JSON or YAML. References to other files are not
// followed. A base path of the first server goes before every path.
func Describe(raw []byte) ([]routes.Spec, error) {
	loader := openapi3.NewLoader()
	doc, err := loader.LoadFromData(raw)
	if err != nil {
		return nil, fmt.Errorf("no OpenAPI description: %w", err)
	}
	if doc.Paths == nil || doc.Paths.Len() == 0 {
		return nil, fmt.Errorf("no OpenAPI description: it has no paths")
	}
	base, err := doc.Servers.BasePath()
	if err != nil {
		return nil, fmt.Errorf("servers: %w", err)
	}
	base = strings.TrimSuffix(base, "/")
	var specs []routes.Spec
	keys := doc.Paths.Keys()
	slices.Sort(keys)
	for _, path := range keys {
		item := doc.Paths.Value(path)
		ops := item.Operations()
		methods := make([]string, 0, len(ops))
		for m := range ops {
			methods = append(methods, m)
		}
		slices.Sort(methods)
		for _, method := range methods {
			spec := routes.Spec{Method: method, Path: base + path}
			if err := describe(&spec, item, ops[method]); err != nil {
				return nil, fmt.Errorf("%s: %w", spec, err)
			}
			specs = append(specs, spec)
		}
	}
	return specs, nil
}

func describe(s *routes.Spec, item *openapi3.PathItem, op *openapi3.Operation) error {
	raw, err := json.Marshal(op.Extensions[Extension])
	if err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", Extension, err)
	}
	r := settings.NewReader(v, Extension)
	r.AllowOnly("class", "cost", "repeat")
	s.Class, s.Cost, s.Repeat = r.Text("class"), cost(r), r.Text("repeat")
	if err := r.Err(); err != nil {
		return err
	}
	// An operation's parameter goes before one of the path with the same name and place.
	own := map[routes.Field]bool{}
	for i, params := range []openapi3.Parameters{op.Parameters, item.Parameters} {
		for _, ref := range params {
			if ref == nil || ref.Value == nil {
				continue
			}
			field := routes.Field{In: ref.Value.In, Name: ref.Value.Name}
			if i == 1 && own[field] {
				continue
			}
			own[field] = true
			if ref.Value.Required && (field.In == routes.InHeader || field.In == routes.InQuery) {
				s.Required = append(s.Required, field)
			}
		}
	}
	if op.RequestBody == nil || op.RequestBody.Value == nil {
		return nil
	}
	s.Body = op.RequestBody.Value.Required
	media := op.RequestBody.Value.Content.Get("application/json")
	if s.Body && media != nil && media.Schema != nil && media.Schema.Value != nil {
		for _, name := range media.Schema.Value.Required {
			s.Required = append(s.Required, routes.Field{In: routes.InBody, Name: name})
		}
	}
	return nil
}
