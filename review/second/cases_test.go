//go:build review2

package second

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSecondReviewCases runs the script of each case. It fails for each rule that is broken.
func TestSecondReviewCases(t *testing.T) {
	for _, number := range []string{"6", "7", "8", "9", "10"} {
		script := filepath.Join("..", number, "run.sh")
		if _, err := os.Stat(script); err != nil {
			continue
		}
		t.Run(number, func(t *testing.T) {
			out, err := exec.Command("/bin/sh", script).CombinedOutput()
			require.NoError(t, err, string(out))
		})
	}
}
