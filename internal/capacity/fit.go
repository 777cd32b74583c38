package capacity

import (
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Model is how a quantity grows with a size.
type Model string

// The models, from the simplest to the steepest. Each is intercept + slope x term(size).
const (
	Constant     Model = "constant"
	Linear       Model = "linear"
	Linearithmic Model = "n log n"
	Quadratic    Model = "quadratic"
)

const (
	// constantSpread is the spread, as a part of the mean, under which points are held to be constant.
	constantSpread = 0.1
	// constantR2 is what a model with a slope has to explain of the variance, else the points count as constant.
	constantR2 = 0.8
	// closeR2 is a fit that no other model can better in a way that matters.
	closeR2 = 0.9999
	// betterBy is how many times smaller the unexplained variance of a steeper model has to be.
	betterBy = 4
)

// term is the part of the model that multiplies the slope.
func (m Model) term(size float64) float64 {
	switch m {
	case Linear:
		return size
	case Linearithmic:
		if size <= 1 {
			return 0
		}
		return size * math.Log2(size)
	case Quadratic:
		return size * size
	}
	return 0
}

// At returns the model's value at a size.
func (m Model) At(size, slope, intercept float64) float64 { return intercept + slope*m.term(size) }

// Fit chooses the simplest model that explains the points and returns it with its slope, intercept and the part of
// the variance that it explains. A steeper model is preferred only if it leaves a fourth of the unexplained variance
// or less; points that hardly vary, or that no model explains, are constant with slope 0, the mean as intercept and,
// since there is no variance to explain, r2 of 1 in the first case and 0 in the second.
func Fit(points []Point) (model Model, slope, intercept, r2 float64) {
	values := make([]float64, len(points))
	for i, point := range points {
		values[i] = point.Value
	}
	mean := stat.Mean(values, nil)
	if len(points) < 3 || spread(values) <= constantSpread*math.Abs(mean) {
		return Constant, 0, mean, 1
	}
	model = Linear
	slope, intercept, r2 = regress(Linear, points, values)
	for _, steeper := range []Model{Linearithmic, Quadratic} {
		otherSlope, otherIntercept, otherR2 := regress(steeper, points, values)
		if r2 < closeR2 && (1-otherR2)*betterBy < 1-r2 {
			model, slope, intercept, r2 = steeper, otherSlope, otherIntercept, otherR2
		}
	}
	if r2 < constantR2 {
		return Constant, 0, mean, 0
	}
	return model, slope, intercept, r2
}

// regress fits the slope and intercept of one model by least squares.
func regress(model Model, points []Point, values []float64) (slope, intercept, r2 float64) {
	terms := make([]float64, len(points))
	for i, point := range points {
		terms[i] = model.term(point.Size)
	}
	intercept, slope = stat.LinearRegression(terms, values, nil, false)
	return slope, intercept, stat.RSquared(terms, values, nil, intercept, slope)
}

// spread is the difference of the greatest and the least.
func spread(values []float64) float64 {
	least, greatest := math.Inf(1), math.Inf(-1)
	for _, value := range values {
		least, greatest = math.Min(least, value), math.Max(greatest, value)
	}
	return greatest - least
}

// significantDigits is how many digits a measured figure keeps.
const significantDigits = 4

// significant rounds to the digits that a measurement can support.
func significant(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}
