package capacity

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Names of the page's tables that are no role's.
const (
	tableRuns       = "scale-runs"
	tableOverBudget = "over-budget"
	tableArithmetic = "failure-arithmetic"
)

// The markers between which a table stands in the page.
const (
	markerBegin = "<!-- table:%s -->\n"
	markerEnd   = "<!-- end -->"
)

// RewritePage puts the tables made from the data files between the page's markers. A runs file that does not exist
// holds no runs.
func RewritePage(page, data, runs string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	next, err := Render(string(text), data, runs)
	if err != nil || next == string(text) {
		return err
	}
	return replaceFile(page, []byte(next))
}

// Render returns a page's text with its tables made anew from the data files.
func Render(text, data, runs string) (string, error) {
	measurements, err := ReadMeasurements(data)
	if err != nil {
		return "", err
	}
	scaleRuns, err := ReadRuns(runs)
	if err != nil {
		return "", err
	}
	scaleRuns = latest(scaleRuns)
	for _, role := range Roles() {
		if !slices.ContainsFunc(measurements, func(m Measurement) bool { return m.Role == role }) {
			return "", fmt.Errorf("%s has no measurement of the role %s", data, role)
		}
		if text, err = replaceTable(text, string(role), roleTable(measurements, role)); err != nil {
			return "", err
		}
	}
	for _, other := range []struct{ name, table string }{
		{tableArithmetic, arithmeticTable()},
		{tableRuns, runsTable(scaleRuns)},
		{tableOverBudget, excessTable(excesses(measurements, scaleRuns))},
	} {
		if text, err = replaceTable(text, other.name, other.table); err != nil {
			return "", err
		}
	}
	return replaceValues(text, measurements)
}

// replaceTable puts a table between the markers of its name.
func replaceTable(text, name, table string) (string, error) {
	begin := fmt.Sprintf(markerBegin, name)
	before, rest, found := strings.Cut(text, begin)
	if !found {
		return "", fmt.Errorf("the page has no marker %q", strings.TrimSpace(begin))
	}
	_, after, found := strings.Cut(rest, markerEnd)
	if !found {
		return "", fmt.Errorf("the page has no %q behind %q", markerEnd, strings.TrimSpace(begin))
	}
	return before + begin + "\n" + table + "\n" + markerEnd + after, nil
}

// table lays out rows as Markdown.
func table(header []string, rows [][]string) string {
	var text strings.Builder
	line := func(cells []string) { fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | ")) }
	line(header)
	line(slices.Repeat([]string{"---"}, len(header)))
	for _, row := range rows {
		line(row)
	}
	return text.String()
}

// roleTable has a row for each quantity of a role, and below it what stands in for real parts.
func roleTable(measurements []Measurement, role Role) string {
	var rows [][]string
	standins := map[string][]string{} // quantities by text
	var texts []string                // in order
	for _, m := range measurements {
		if m.Role != role {
			continue
		}
		rows = append(rows, []string{m.Quantity, m.Unit, m.Parameter, points(m), model(m), figure(m.Slope),
			fmt.Sprintf("%s at %s", m.figure(m.AtTarget), figure(m.Target)), optional(m.Budget), within(m.Within), m.Mechanism})
		if m.Standin == "" {
			continue
		}
		if standins[m.Standin] == nil {
			texts = append(texts, m.Standin)
		}
		standins[m.Standin] = append(standins[m.Standin], m.Quantity)
	}
	var notes strings.Builder
	for _, text := range texts {
		fmt.Fprintf(&notes, "\nStand-in (%s): %s.\n", strings.Join(standins[text], "; "), text)
	}
	return table([]string{"quantity", "unit", "parameter", "points", "model (r2)", "slope", "at target", "budget", "within",
		"mechanism"}, rows) + notes.String()
}

func points(m Measurement) string {
	cells := make([]string, len(m.Points))
	for i, point := range m.Points {
		cells[i] = figure(point.Size) + ": " + m.figure(point.Value)
	}
	return strings.Join(cells, "; ")
}

// figure writes a value of the measurement.
func (m Measurement) figure(value float64) string {
	if m.capped(value) {
		return "not within " + figure(m.Cap)
	}
	return figure(value)
}

func model(m Measurement) string { return fmt.Sprintf("%s (%.3f)", m.Model, m.R2) }

// runsTable has a row for each run of the scale test.
func runsTable(runs []ScaleRun) string {
	if len(runs) == 0 {
		return "No run of the scale test is recorded yet.\n"
	}
	names := map[string]string{AgreementGossip: "before", AgreementControl: "after"}
	var rows [][]string
	for _, r := range runs {
		rows = append(rows, []string{r.Event, cmp.Or(names[r.Agreement], r.Agreement), strconv.Itoa(r.Instances),
			fmt.Sprintf("%d, %d", r.Real, r.Hollow), strconv.Itoa(r.Processes), strconv.Itoa(r.Hosts),
			optional(r.InForceP50MS), optional(r.InForceMaxMS), optional(r.NotInForce), optional(r.SettledP90MS),
			fmt.Sprintf("%s of %s", optional(r.ContradictionMS), optional(r.ContradictionBoundMS)),
			fmt.Sprintf("%s, %s, %s", optional(r.Lost), optional(r.Doubled), optional(r.CeilingBreaks)),
			optional(r.ControlCPUShareMax), optional(r.ControlBytesPerSMax), optional(r.ControlMemoryMBMax),
			optional(r.MemoryMBTotal)})
	}
	return table([]string{"event", "build", "ingresses", "real, hollow", "processes", "servers", "in force, p50 ms",
		"in force, max ms", "not in force", "settled, p90 ms", "contradiction, ms of bound", "lost, run twice, ceilings passed",
		"control CPU, share", "control bytes/s", "control MB", "MB in all"}, rows)
}

// excess is a figure over its budget.
type excess struct {
	where, figure, value, budget string
	times                        float64 // the budget; infinite where nothing is allowed, or it was never reached
	mechanism                    string
}

// excesses returns what is over its budget, the worst first: of the measurements at the target, and of the runs with
// as many ingresses as the target.
func excesses(measurements []Measurement, runs []ScaleRun) []excess {
	var all []excess
	for _, m := range measurements {
		if m.Within != nil && !*m.Within {
			times := ratio(m.AtTarget, *m.Budget)
			if m.capped(m.AtTarget) {
				times = math.Inf(1)
			}
			all = append(all, excess{string(m.Role), m.Quantity, m.figure(m.AtTarget) + " " + m.Unit, figure(*m.Budget), times,
				m.Mechanism})
		}
	}
	for _, run := range runs {
		if run.Instances != TargetIngresses {
			continue
		}
		for _, l := range run.limits() {
			if l.value != nil && *l.value > l.most {
				all = append(all, excess{"scale run, " + run.Event + ", " + run.Agreement, l.figure, figure(*l.value),
					figure(l.most), ratio(*l.value, l.most), l.mechanism})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b excess) int { return cmp.Compare(b.times, a.times) })
	return all
}

func ratio(value, budget float64) float64 {
	if budget == 0 {
		return math.Inf(1)
	}
	return value / budget
}

// excessTable ranks what is over its budget.
func excessTable(all []excess) string {
	if len(all) == 0 {
		return "Nothing measured is over its budget.\n"
	}
	var rows [][]string
	for i, e := range all {
		times := "-"
		if !math.IsInf(e.times, 1) {
			times = strconv.FormatFloat(e.times, 'f', 1, 64)
		}
		rows = append(rows, []string{strconv.Itoa(i + 1), e.where, e.figure, e.value, e.budget, times, e.mechanism})
	}
	return table([]string{"rank", "where", "figure", "value", "budget", "times the budget", "mechanism"}, rows)
}

// figure writes a number with as many digits as tell something, and no exponent below a billion.
func figure(value float64) string {
	value = significant(value)
	if math.Abs(value) >= 1e9 || value != 0 && math.Abs(value) < 1e-3 {
		return strconv.FormatFloat(value, 'g', -1, 64)
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func optional(value *float64) string {
	if value == nil {
		return "-"
	}
	return figure(*value)
}

func within(value *bool) string {
	switch {
	case value == nil:
		return "-"
	case *value:
		return "yes"
	}
	return "**no**"
}
