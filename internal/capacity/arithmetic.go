package capacity

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// machines are all of the target: ingresses, servers and the machines set aside for control.
const machines = TargetIngresses + TargetServers + BudgetControlMachines

// absences are how long a machine may be gone.
func absences() []time.Duration {
	return []time.Duration{10 * time.Second, time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 4 * time.Hour}
}

// missing is how many of the ingresses are gone on average, and how often at least one is, where so many absences of a
// length begin a day, at times that do not depend on each other.
func missing(beginADay float64, length time.Duration) (mean, atLeastOne float64) {
	mean = beginADay * length.Hours() / 24
	return mean, 1 - math.Exp(-mean)
}

// arithmeticTable tells how often some ingress is missing, if failures fall on all machines alike, and if all of them
// fall on ingresses.
func arithmeticTable() string {
	const alike = TargetIngresses / machines
	var rows [][]string
	for _, cause := range []struct {
		name string
		aDay float64
	}{{"failure", FailuresADay}, {"restart or replacement", ReplacementsADay}} {
		for _, length := range absences() {
			row := []string{cause.name, length.String()}
			for _, part := range []float64{alike, 1} {
				mean, atLeastOne := missing(cause.aDay*part, length)
				row = append(row, figure(mean), strconv.FormatFloat(100*atLeastOne, 'f', 1, 64)+"%",
					strconv.FormatFloat(ChangesADay*atLeastOne, 'f', 0, 64))
			}
			rows = append(rows, row)
		}
	}
	return table([]string{"cause", "each gone for", fmt.Sprintf("alike over %d machines: missing on average", int(machines)),
		"at least one missing", "changes a day that wait", "all of them ingresses: missing on average", "at least one missing",
		"changes a day that wait"}, rows)
}
