package capacity

import (
	"context"
	"slices"
)

// Environment is what measurers that start real processes need.
type Environment struct {
	Ferryfront string // path of the ingress's binary
	Dir        string // an empty folder for files, removed by the caller
}

// Measurers returns those of all roles, in the order of the page.
func Measurers(environment Environment) []Measurer {
	return slices.Concat(requestPathMeasurers(environment), ingressControlMeasurers(), discoveryMeasurers(),
		counterMeasurers(), hostMeasurers(), controlMachineMeasurers(), replacementMeasurers())
}

// Select returns the measurers of a role and quantity; an empty one stands for all.
func Select(measurers []Measurer, role Role, quantity string) []Measurer {
	return slices.DeleteFunc(slices.Clone(measurers), func(m Measurer) bool {
		return role != "" && m.Role != role || quantity != "" && m.Quantity != quantity
	})
}

// memoize runs a measurement once a size, for measurers that read several quantities from one run.
func memoize[T any](measure func(ctx context.Context, size int) (T, error)) func(context.Context, int) (T, error) {
	known := map[int]T{}
	return func(ctx context.Context, size int) (T, error) {
		if value, found := known[size]; found {
			return value, nil
		}
		value, err := measure(ctx, size)
		if err == nil {
			known[size] = value
		}
		return value, err
	}
}
