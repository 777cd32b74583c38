package config

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A read that fails with a temporary error is repeated. A permanent error is returned at once.
func TestReadFileRetriesTransientErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte("text"), 0o600))
	errs := []error{}
	t.Cleanup(func() { readOSFile = os.ReadFile })
	readOSFile = func(path string) ([]byte, error) {
		if len(errs) > 0 {
			err := errs[0]
			errs = errs[1:]
			return nil, &os.PathError{Op: "open", Path: path, Err: err}
		}
		return os.ReadFile(path)
	}
	errs = []error{syscall.EIO, syscall.ENFILE, syscall.EINTR}
	raw, err := readFile(path)
	require.NoError(t, err)
	require.Equal(t, "text", string(raw))
	errs = []error{syscall.ENOENT, syscall.EIO}
	_, err = readFile(path)
	require.ErrorIs(t, err, syscall.ENOENT)
	require.Len(t, errs, 1)
}
