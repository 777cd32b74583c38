package capacity

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
)

// unitRatio is the unit of quantities that have none.
const unitRatio = "ratio"

// valuePattern is a figure within the page's prose: <!-- value: ROLE/QUANTITY -->...<!-- /value -->, at the target, or
// with " at SIZE" behind the quantity at one of the sizes measured.
var valuePattern = regexp.MustCompile(`(<!-- value: ([a-z-]+)/(.+?)(?: at (\d+))? -->).*?(<!-- /value -->)`)

// replaceValues puts measured figures with their units into the page's prose.
func replaceValues(text string, measurements []Measurement) (string, error) {
	var failed error
	replaced := valuePattern.ReplaceAllStringFunc(text, func(marked string) string {
		parts := valuePattern.FindStringSubmatch(marked)
		value, err := proseValue(measurements, Role(parts[2]), parts[3], parts[4])
		if err != nil && failed == nil {
			failed = err
		}
		return parts[1] + value + parts[5]
	})
	return replaced, failed
}

// proseValue is a quantity with its unit, at the target or at a size that was measured.
func proseValue(measurements []Measurement, role Role, quantity, size string) (string, error) {
	at := slices.IndexFunc(measurements, func(m Measurement) bool { return m.Role == role && m.Quantity == quantity })
	if at < 0 {
		return "", fmt.Errorf("the page names %s/%s, which was not measured", role, quantity)
	}
	m := measurements[at]
	value := m.AtTarget
	if size != "" {
		point := slices.IndexFunc(m.Points, func(p Point) bool { return strconv.FormatFloat(p.Size, 'f', -1, 64) == size })
		if point < 0 {
			return "", fmt.Errorf("the page names %s/%s at %s, which was not measured", role, quantity, size)
		}
		value = m.Points[point].Value
	}
	if m.Unit == unitRatio {
		return m.figure(value), nil
	}
	return m.figure(value) + " " + m.Unit, nil
}
