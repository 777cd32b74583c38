package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// longestLine bounds one line of a data file, in bytes.
const longestLine = 1 << 20

// ReadMeasurements reads a data file, one measurement a line.
func ReadMeasurements(path string) ([]Measurement, error) { return readLines[Measurement](path) }

// ReadRuns reads the lines of the scale test. A file that does not exist holds none.
func ReadRuns(path string) ([]ScaleRun, error) {
	runs, err := readLines[ScaleRun](path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return runs, err
}

// readLines reads a file with a JSON value on each line. Errors name file and line.
func readLines[T any](path string) ([]T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all []T
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, longestLine)
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var one T
		if err := json.Unmarshal(lines.Bytes(), &one); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		all = append(all, one)
	}
	return all, lines.Err()
}

// WriteMeasurements replaces a data file in one step, one measurement a line.
func WriteMeasurements(path string, measurements []Measurement) error {
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	for _, measurement := range measurements {
		if err := lines.Encode(measurement); err != nil {
			return err
		}
	}
	return replaceFile(path, text.Bytes())
}

// replaceFile writes a file beside the old one and renames it.
func replaceFile(path string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, content, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Merge returns known measurements with those measured anew in their places, and the others of these behind them, all
// in the order of the roles.
func Merge(known, measured []Measurement) []Measurement {
	merged := slices.Clone(known)
	for _, measurement := range measured {
		at := slices.IndexFunc(merged, func(m Measurement) bool {
			return m.Role == measurement.Role && m.Quantity == measurement.Quantity
		})
		if at < 0 {
			merged = append(merged, measurement)
			continue
		}
		merged[at] = measurement
	}
	roles := Roles()
	slices.SortStableFunc(merged, func(a, b Measurement) int {
		return slices.Index(roles, a.Role) - slices.Index(roles, b.Role)
	})
	return merged
}
