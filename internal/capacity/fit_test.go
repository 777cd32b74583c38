package capacity

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFitFindsTheModelOfMadeUpPoints(t *testing.T) {
	sizes := []float64{40, 160, 325, 650}
	for _, model := range []Model{Constant, Linear, Linearithmic, Quadratic} {
		for _, noise := range []float64{0, 0.01} {
			random := rand.New(rand.NewPCG(1, 2))
			const slope, intercept = 2.0, 30.0
			var points []Point
			for _, size := range sizes {
				value := model.At(size, slope, intercept)
				points = append(points, Point{size, value * (1 + noise*(2*random.Float64()-1))})
			}
			found, foundSlope, foundIntercept, r2 := Fit(points)
			require.Equal(t, model, found, "%s, noise %v: r2 %v", model, noise, r2)
			assert.Greater(t, r2, 0.99)
			assert.InEpsilon(t, model.At(1300, slope, intercept), found.At(1300, foundSlope, foundIntercept), 0.05)
		}
	}
}

func TestFitPrefersTheSimplerModel(t *testing.T) {
	points := []Point{{200, 10.4}, {800, 39}, {2400, 123}, {7200, 355}} // linear with noise of 3%
	model, slope, _, _ := Fit(points)
	assert.Equal(t, Linear, model)
	assert.InEpsilon(t, 0.05, slope, 0.05)
}

func TestFitCallsPointsWithoutTrendConstant(t *testing.T) {
	model, slope, intercept, r2 := Fit([]Point{{200, 1}, {800, 5}, {2400, 1}, {7200, 3}})
	assert.Equal(t, Constant, model)
	assert.Zero(t, slope)
	assert.Equal(t, 2.5, intercept)
	assert.Zero(t, r2)
}
