package front

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Customer reads the customer's number: 16 hexadecimal digits, or fewer, below 2^33.
func Customer(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 33)
	return n, err == nil && len(text) <= 16
}

// Timeout reads a time such as "480m" (milliseconds) or "480000u" (microseconds).
func Timeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		if digits, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
		unit = time.Microsecond
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || strings.Trim(digits, "0123456789.") != "" || f <= 0 || f > 1e12 {
		return 0, false
	}
	return time.Duration(f * float64(unit)).Truncate(time.Microsecond), true
}

// Quota reads the platform's form of a quota, "units=2,spread=3,first=1", into whichever of the three are not nil. Fields
// that are missing leave them as they are. Each has a range of its own.
func Quota(text string, set *admission.Settings, units, spread, first *int) error {
	seen := map[string]bool{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seen[name] {
			return fmt.Errorf("%s is there twice", name)
		}
		seen[name] = true
		var into *int
		lowest, highest := 1, set.Gateways
		switch name {
		case "units":
			if into = units; set.MaxUnits > 0 {
				highest = set.MaxUnits
			} else {
				highest = 1e6
			}
		case "spread":
			into = spread
		case "first":
			into, lowest, highest = first, 0, set.Gateways-1
		}
		if into == nil {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < lowest || n > highest || strings.HasPrefix(value, "+") {
			return fmt.Errorf("%s is %q", name, value)
		}
		*into = n
	}
	return nil
}
