package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/front/openapi"
	"ferryfront.example/ferryfront/internal/front/routes"
)

// Of a measurement of the route table.
const (
	routeLookups  = 500
	routeRepeats  = 5
	routeSegments = 4 // paths have 3 to so many more segments
)

// routeCost is what a route table of some size costs.
type routeCost struct {
	lookupMicroseconds float64 // a request
	loadMilliseconds   float64 // from the description's text to the table
	megabytes          float64 // of heap for the table
}

// routeSpec is route number i of the services: each has some 52 routes, a third of them to a single object.
func routeSpec(i int) (path string, parameter bool) {
	service, resource := i%TargetServices, i/TargetServices
	path = fmt.Sprintf("/service-%d/resource-%d", service, resource)
	for extra := range resource % routeSegments {
		path += fmt.Sprintf("/part-%d", extra)
	}
	if parameter = resource%3 == 0; parameter {
		path += "/{id}"
	}
	return path, parameter
}

// describeRoutes is an OpenAPI description of so many routes.
func describeRoutes(n int) ([]byte, error) {
	paths := map[string]any{}
	for i := range n {
		path, parameter := routeSpec(i)
		operation := map[string]any{openapi.Extension: map[string]any{"class": "stock"},
			"responses": map[string]any{"200": map[string]any{"description": "what was asked for"}}}
		if parameter {
			operation["parameters"] = []any{map[string]any{"name": "id", "in": "path", "required": true,
				"schema": map[string]any{"type": "string"}}}
		}
		paths[path] = map[string]any{"get": operation}
	}
	return json.Marshal(map[string]any{"openapi": "3.0.3", "paths": paths,
		"info": map[string]any{"title": "all services", "version": "1"}})
}

// loadRoutes compiles a description as the front does.
func loadRoutes(description []byte, settings admission.Settings) (*routes.Table, error) {
	specs, err := openapi.Describe(description)
	if err != nil {
		return nil, err
	}
	return routes.Compile(specs, settings)
}

// measureRoutes measures a table of so many routes.
func measureRoutes(_ context.Context, n int) (cost routeCost, err error) {
	description, err := describeRoutes(n)
	if err != nil {
		return cost, err
	}
	var table *routes.Table
	spent := leastProcessorTime(1, func() {
		var heap float64
		table, heap, err = heapOf(func() (*routes.Table, error) { return loadRoutes(description, fleetSettings(TargetIngresses)) })
		cost.megabytes = heap / 1e6
	})
	if err != nil {
		return cost, err
	}
	cost.loadMilliseconds = milliseconds(spent)
	random := rand.New(rand.NewPCG(decisionSeed, uint64(n)))
	var paths []string
	for range routeLookups {
		path, _ := routeSpec(random.IntN(n))
		paths = append(paths, path)
	}
	found := 0
	spent = leastProcessorTime(routeRepeats, func() {
		for _, path := range paths {
			if table.Find("GET", path).Route != nil {
				found++
			}
		}
	})
	if found != routeLookups*routeRepeats {
		return cost, fmt.Errorf("%d of %d paths were found", found, routeLookups*routeRepeats)
	}
	cost.lookupMicroseconds = float64(spent.Nanoseconds()) / 1e3 / routeLookups
	return cost, nil
}
