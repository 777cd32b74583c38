package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// withFileLine prefixes a parse error with the file's path and, where it is known, the line of the field. It takes the
// field's full name from the beginning of the error's text and parses raw, the file's text, once more to find its line;
// only a file with an error costs that. For a field that is missing it takes the line of the object that should hold it.
func withFileLine(path string, raw []byte, err error) error {
	var syntax *json.SyntaxError
	if bad := json.Unmarshal(raw, new(any)); errors.As(bad, &syntax) {
		return fmt.Errorf("%s:%d: %w", path, lineAt(raw, syntax.Offset), err)
	}
	lines := fieldLines(raw)
	field, _, _ := strings.Cut(err.Error(), " ")
	for field = strings.TrimSuffix(field, ":"); field != ""; field = field[:max(0, strings.LastIndexAny(field, ".["))] {
		if line, ok := lines[field]; ok {
			return fmt.Errorf("%s:%d: %w", path, line, err)
		}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// lineAt returns the line, from 1, of the byte before an offset.
func lineAt(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:max(0, min(offset-1, int64(len(raw))))], []byte{'\n'})
}

// fieldLines returns the line of each field's value, by the field's full name, such as "settings.classes[0].name". It
// returns nil if raw is no JSON.
func fieldLines(raw []byte) map[string]int {
	lines, d := map[string]int{}, json.NewDecoder(bytes.NewReader(raw))
	var walk func(path string) error
	walk = func(path string) error {
		token, err := d.Token()
		if err != nil {
			return err
		}
		if path != "" {
			if _, ok := lines[path]; !ok { // of a repeated name the first counts, as it does for Parse
				lines[path] = lineAt(raw, d.InputOffset())
			}
		}
		delim, isContainer := token.(json.Delim)
		for i := 0; isContainer && d.More(); i++ {
			name := fmt.Sprintf("%s[%d]", path, i)
			if delim == '{' {
				key, err := d.Token()
				if err != nil {
					return err
				}
				name = fmt.Sprint(key)
				if path != "" {
					name = path + "." + name
				}
			}
			if err := walk(name); err != nil {
				return err
			}
		}
		if isContainer {
			_, err = d.Token()
		}
		return err
	}
	if err := walk(""); err != nil && !errors.Is(err, io.EOF) {
		return nil
	}
	return lines
}
