package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// emptyPage has the markers of all tables.
func emptyPage() string {
	var text strings.Builder
	names := []string{tableRuns, tableOverBudget, tableArithmetic}
	for _, role := range Roles() {
		names = append(names, string(role))
	}
	for _, name := range names {
		fmt.Fprintf(&text, "## %s\n\n"+markerBegin+"old\n"+markerEnd+"\n\n", name, name)
	}
	return text.String()
}

// made is a measurement of each role; that of the counter is over its budget.
func made() []Measurement {
	var all []Measurement
	for _, role := range Roles() {
		within := role != RoleCounter
		all = append(all, Measurement{Role: role, Quantity: "calls", Unit: "ms", Parameter: "ingresses", Model: Linear,
			Points: []Point{{40, 1}, {650, 12.5}}, Slope: 0.0189, R2: 1, Target: 650, AtTarget: 12.5, Budget: Budget(5),
			Within: &within, Mechanism: "missing: sharding"})
	}
	return all
}

func TestRenderMakesEveryTable(t *testing.T) {
	dir := t.TempDir()
	data, runs := filepath.Join(dir, "slopes.jsonl"), filepath.Join(dir, "scale.jsonl")
	require.NoError(t, WriteMeasurements(data, made()))
	require.NoError(t, os.WriteFile(runs, []byte(
		`{"event":"change","agreement":"control","instances":650,"in_force_ms_max":2000,"not_in_force":0}
{"event":"change","agreement":"gossip","instances":650,"in_force_ms_max":null,"not_in_force":600}
{"event":"change","agreement":"gossip","instances":650,"in_force_ms_max":9000,"not_in_force":621}
`), 0o600))

	page, err := Render(emptyPage(), data, runs)
	require.NoError(t, err)
	assert.NotContains(t, page, "old")
	assert.Contains(t, page, "| calls | ms | ingresses | 40: 1; 650: 12.5 | linear (1.000) | 0.0189 | 12.5 at 650 | 5 | **no** |")
	assert.NotContains(t, page, "| 600 |", "a later run of the same kind goes before")
	assert.Less(t, strings.Index(page, "| change | before |"), strings.Index(page, "| change | after |"))
	assert.Contains(t, page, "| 1 | scale run, change, gossip | members on which the change is not in force | 621 | 0 | - |")
	assert.Contains(t, page, "| 2 | scale run, change, gossip | change in force everywhere, ms | 9000 | 3000 | 3.0 |")
	assert.Contains(t, page, "| 3 | counter | calls | 12.5 ms | 5 | 2.5 | missing: sharding |")

	again, err := Render(page, data, runs)
	require.NoError(t, err)
	assert.Equal(t, page, again)
}

func TestWhatWasNeverReachedRanksFirst(t *testing.T) {
	never, twice := made()[0], made()[1]
	over := false
	never.Cap, never.AtTarget, never.Within = 15, 15, &over
	twice.Within = &over
	ranked := excesses([]Measurement{twice, never}, nil)
	require.Len(t, ranked, 2)
	assert.Equal(t, "not within 15 ms", ranked[0].value)
}

func TestAStandInIsNamedOnceForAllItsQuantities(t *testing.T) {
	first, second := made()[0], made()[0]
	first.Standin, second.Standin, second.Quantity = "hosts of ours", "hosts of ours", "bytes"
	assert.Contains(t, roleTable([]Measurement{first, second}, first.Role), "\nStand-in (calls; bytes): hosts of ours.\n")
}

func TestRenderWithoutRunsSaysSo(t *testing.T) {
	data := filepath.Join(t.TempDir(), "slopes.jsonl")
	require.NoError(t, WriteMeasurements(data, made()))
	page, err := Render(emptyPage(), data, "no such file")
	require.NoError(t, err)
	assert.Contains(t, page, "No run of the scale test")
}

func TestRenderNamesWhatIsMissing(t *testing.T) {
	data := filepath.Join(t.TempDir(), "slopes.jsonl")
	require.NoError(t, WriteMeasurements(data, made()[1:]))
	_, err := Render(emptyPage(), data, "no such file")
	assert.ErrorContains(t, err, "no measurement of the role request-path")

	require.NoError(t, WriteMeasurements(data, made()))
	_, err = Render(strings.Replace(emptyPage(), "table:counter", "table:other", 1), data, "no such file")
	assert.ErrorContains(t, err, "no marker")
}

func TestMergeReplacesWhatWasMeasuredAnew(t *testing.T) {
	known := made()
	anew := known[0]
	anew.AtTarget = 99
	added := known[0]
	added.Quantity = "more"
	merged := Merge(known, []Measurement{anew, added})
	require.Len(t, merged, len(known)+1)
	assert.Equal(t, 99.0, merged[0].AtTarget)
	assert.Equal(t, "more", merged[1].Quantity)
}

func TestReadMeasurementsNamesTheLine(t *testing.T) {
	data := filepath.Join(t.TempDir(), "slopes.jsonl")
	require.NoError(t, os.WriteFile(data, []byte("{}\n{\"points\":[[1,2,3]]}\n"), 0o600))
	_, err := ReadMeasurements(data)
	assert.ErrorContains(t, err, "slopes.jsonl:2: a point has 3 numbers, not 2")
}

func TestFiguresInTheProseComeFromTheData(t *testing.T) {
	text, err := replaceValues("after <!-- value: counter/calls -->9 s<!-- /value -->, <!-- value: counter/calls at 40 -->"+
		"<!-- /value --> at 40", made())
	require.NoError(t, err)
	assert.Equal(t, "after <!-- value: counter/calls -->12.5 ms<!-- /value -->, <!-- value: counter/calls at 40 -->1 ms"+
		"<!-- /value --> at 40", text)
	_, err = replaceValues("<!-- value: counter/calls at 41 --><!-- /value -->", made())
	assert.ErrorContains(t, err, "calls at 41, which was not measured")
	_, err = replaceValues("<!-- value: counter/other --><!-- /value -->", made())
	assert.ErrorContains(t, err, "counter/other, which was not measured")
}

func TestMissingMachines(t *testing.T) {
	mean, atLeastOne := missing(24, time.Hour)
	assert.InDelta(t, 1, mean, 1e-9)
	assert.InDelta(t, 0.632, atLeastOne, 0.001)
}

func TestFigureKeepsFourDigits(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 12.345678: "12.35", 864123: "864100", 0.000012: "1.2e-05", 0.0125: "0.0125"} {
		assert.Equal(t, want, figure(value))
	}
}

// The page is made from the data: 'ferrylab scale report' at the root of the repository rewrites it.
func TestThePageAgreesWithTheData(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	require.NoError(t, err)
	made, err := Render(string(page), filepath.Join(root, "docs", "capacity", "slopes.jsonl"), filepath.Join(root, "journal", "scale.jsonl"))
	require.NoError(t, err)
	assert.Equal(t, made, string(page), "run 'ferrylab scale report'")
}

// The data has what the program measures today, under the same names.
func TestTheDataHasEveryQuantity(t *testing.T) {
	measured, err := ReadMeasurements(filepath.Join("..", "..", "docs", "capacity", "slopes.jsonl"))
	require.NoError(t, err)
	var recorded, known []string
	for _, m := range measured {
		recorded = append(recorded, string(m.Role)+"/"+m.Quantity)
	}
	for _, m := range Measurers(Environment{}) {
		known = append(known, string(m.Role)+"/"+m.Quantity)
	}
	assert.Equal(t, known, recorded, "run 'ferrylab scale slopes --json --out docs/capacity/slopes.jsonl'")
}
