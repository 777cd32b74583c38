package routes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
)

var set = admission.Settings{MaxUnits: 4, Classes: []admission.Class{{Name: "catalogue"}, {Name: "stock"},
	{Name: "order", Effect: admission.Keyed}, {Name: "payment", Effect: admission.Unsafe}}}

var key = []Field{{InHeader, "idempotency-key"}}

func TestRefusedRoutesNameMethodPathAndFault(t *testing.T) {
	get := Spec{Method: "GET", Path: "/p/{id}", Class: "catalogue", Cost: 1}
	with := func(change func(*Spec)) []Spec {
		s := get
		change(&s)
		return []Spec{s}
	}
	for says, specs := range map[string][]Spec{
		`GET /p/{id}: class "dear" is not known`:           with(func(s *Spec) { s.Class = "dear" }),
		`GET /p/{id}: class "" is not known`:               with(func(s *Spec) { s.Class = "" }),
		`GET /p/{id}: cost 0 is outside 1 to 4`:            with(func(s *Spec) { s.Cost = 0 }),
		`GET /p/{id}: cost 5 is outside 1 to 4`:            with(func(s *Spec) { s.Cost = 5 }),
		`GET /p/{id}: a lookup must not be marked "order"`: with(func(s *Spec) { s.Class, s.Required = "order", key }),
		`POST /p/{id}: class "order" needs a required header Idempotency-Key`: with(func(s *Spec) {
			s.Method, s.Class = "POST", "order"
		}),
		`POST /p/{id}: a writing method must not be marked safe to repeat (class "stock")`: with(func(s *Spec) {
			s.Method, s.Class = "POST", "stock"
		}),
		`PUT /p/{id}: a writing method must not be marked safe to repeat (class "order")`: with(func(s *Spec) {
			s.Method, s.Class, s.Repeat, s.Required = "PUT", "order", "safe", key
		}),
		`POST /p/{id}: repeat "keyed" is not what class "payment" allows`: with(func(s *Spec) {
			s.Method, s.Class, s.Repeat = "POST", "payment", "keyed"
		}),
		`GET /p/{id}: repeat "often"`:                with(func(s *Spec) { s.Repeat = "often" }),
		`HEAD /p/{id}: the method is not carried`:    with(func(s *Spec) { s.Method = "HEAD" }),
		`GET /p/{id: the path is malformed`:          with(func(s *Spec) { s.Path = "/p/{id" }),
		`GET /p/../q: the path is malformed`:         with(func(s *Spec) { s.Path = "/p/../q" }),
		`GET p: the path is malformed`:               with(func(s *Spec) { s.Path = "p" }),
		`GET /p/{id}: is there twice`:                {get, get},
		`GET /p/{sku}: conflicts with GET /p/{id}`:   append([]Spec{get}, with(func(s *Spec) { s.Path = "/p/{sku}" })...),
		`GET /{any}/new: conflicts with GET /p/{id}`: append([]Spec{get}, with(func(s *Spec) { s.Path = "/{any}/new" })...),
		`DELETE /p/{sku}: conflicts with GET /p/{id}`: append([]Spec{get}, with(func(s *Spec) {
			s.Method, s.Path, s.Class = "DELETE", "/p/{sku}", "payment"
		})...),
	} {
		_, err := Compile(specs, set)
		require.ErrorContains(t, err, says)
	}
}

func TestFind(t *testing.T) {
	table, err := Compile([]Spec{
		{Method: "GET", Path: "/p/{id}", Class: "catalogue", Cost: 2},
		{Method: "GET", Path: "/p/new", Class: "stock", Cost: 1},
		{Method: "PUT", Path: "/p/{id}", Class: "payment", Cost: 1},
		{Method: "GET", Path: "/a%20b/{x}/{y}", Class: "stock", Cost: 1},
		{Method: "GET", Path: "/", Class: "stock", Cost: 1},
	}, set)
	require.NoError(t, err)
	for path, want := range map[string]string{"/p/7": "/p/{id}", "/p/new": "/p/new", "/p/%6eew": "/p/new",
		"/a%20b/1/2": "/a%20b/{x}/{y}", "/a b/1/2": "/a%20b/{x}/{y}", "/": "/"} {
		m := table.Find("GET", path)
		require.NotNil(t, m.Route, path)
		require.Equal(t, want, m.Route.Path, path)
	}
	require.Equal(t, map[string]string{"x": "1/", "y": "é"}, table.Find("GET", "/a%20b/1%2F/%C3%A9").Params)
	// A path that the next reader might take for another is nobody's.
	for _, path := range []string{"/p", "/p/", "/p/7/", "/p/..", "/p/%2e%2e", "/p/%zz", "p", "", "/P/7", "/p/a\\b"} {
		m := table.Find("GET", path)
		require.Nil(t, m.Route, path)
		require.Empty(t, m.Allowed, path)
	}
	require.Equal(t, []string{"GET", "PUT"}, table.Find("POST", "/p/7").Allowed)
	require.Equal(t, []string{"GET"}, table.Find("PUT", "/p/new").Allowed, "the literal path's methods")
	require.Len(t, table.All(), 5)
}
