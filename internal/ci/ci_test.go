// Package ci holds the tests of the scripts in .ci: the one that passes over tests known to fail, and the one that checks
// the comments of the packages that are listed for it.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// run has the script run a command in a tree of two tests, and tells what it printed and whether it passed.
func run(t *testing.T, known string, command ...string) (string, bool) {
	script, err := filepath.Abs("../../.ci/known-red")
	require.NoError(t, err)
	dir := t.TempDir()
	tests := "package p\n\nfunc TestGood(t *testing.T) {}\n\nfunc TestBad(t *testing.T) { t.Fail() }\n\nfunc TestBadder(t *testing.T) { t.Fail() }\n"
	files := map[string]string{"go.mod": "module p\n", "p_test.go": "package p\n\nimport \"testing\"\n" + tests[len("package p\n"):]}
	if known != "" {
		files["KNOWN-RED.txt"] = known
	}
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	cmd := exec.Command(script, command...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

func TestKnownRed(t *testing.T) {
	line := "TestBad, a fault of its own, issue 27\n"
	for name, c := range map[string]struct {
		known  string
		passes bool
		prints string
	}{
		"none: what fails, fails":     {"", false, "--- FAIL: TestBad"},
		"one of two: the other fails": {line, false, "--- FAIL: TestBadder"},
		"both: they are printed and passed over": {line + " TestBadder , another that can't be mended ,issue 27", true,
			"known red, not run: TestBadder (another that can't be mended, issue 27)"},
		"no cause":                 {"TestBad, , issue 27\n", false, `wants "test, cause, issue"`},
		"no issue":                 {"TestBad, a fault\n", false, `wants "test, cause, issue"`},
		"no test":                  {", a fault, issue 27\n", false, `wants "test, cause, issue"`},
		"an empty line":            {line + "\n", false, `wants "test, cause, issue"`},
		"a test that is not there": {"TestGone, a fault, issue 27\n", false, "names no test that exists: TestGone"},
		"a pattern":                {"Test.*, a fault, issue 27\n", false, "names no test that exists"},
		"four lines":               {line + line + line + line, false, "has 4 lines, three at most"},
	} {
		t.Run(name, func(t *testing.T) {
			out, passed := run(t, c.known, "go", "test", "-count=1", "./...")
			require.Equal(t, c.passes, passed, out)
			require.Contains(t, out, c.prints)
		})
	}
	out, _ := run(t, line, "go", "test", "-count=1", "./...")
	require.NotContains(t, out, "--- FAIL: TestBad ", "it is skipped, and only it")
}

// documented has the script of documented packages run a command in a tree of two packages, beside such a list, and tells
// what it printed and whether it passed.
func documented(t *testing.T, list string, command ...string) (string, bool) {
	script, err := filepath.Abs("../../.ci/documented")
	require.NoError(t, err)
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module p\n", "a/a.go": "package a\n", "b/b.go": "package b\n",
		".ci/documented-packages": list} {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	cmd := exec.Command(script, command...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

func TestDocumentedPackages(t *testing.T) {
	for name, c := range map[string]struct {
		list   string
		passes bool
		prints string
	}{
		"all are checked":              {"a\nb\n", true, "2 packages\n-checks inherit,ST1000,ST1020,ST1021,ST1022 ./a ./b\n"},
		"the last without end of line": {"a\nb", true, " ./a ./b\n"},
		"one that does not exist":      {"a\nb\nc\n", false, "names a package that does not exist: c"},
		"a pattern":                    {"...\n", false, `names no package: "..."`},
		"a comment":                    {"# a\n", false, "names no package"},
		"an empty line":                {"\na\n", false, `names no package: ""`},
		"one twice":                    {"a\na\n", false, "names a package twice"},
		"out of order":                 {"b\na\n", false, "is not in order"},
		"none":                         {"", false, "is empty"},
	} {
		t.Run(name, func(t *testing.T) {
			out, passed := documented(t, c.list, "echo")
			require.Equal(t, c.passes, passed, out)
			require.Contains(t, out, c.prints)
		})
	}
	_, passed := documented(t, "a\n", "false")
	require.False(t, passed, "what the check finds fails the script")
}
