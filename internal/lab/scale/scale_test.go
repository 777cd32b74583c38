package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/lab"
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		panic(err)
	}
	binaries = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func shortRun(t *testing.T, event string) Run {
	return Run{Setup: lab.Setup{Ferryfront: filepath.Join(binaries, "ferryfront"), Lab: filepath.Join(binaries, "ferrylab"),
		Dir: t.TempDir(), Say: t.Logf}, Instances: 14, Real: 3, PerProcess: 6, Event: event, Agreement: Gossip, Short: true}
}

// The short form of the test: a fleet of 14, some of them in two hollow processes, and one change of the settings.
func TestAChangeInASmallFleet(t *testing.T) {
	line, err := shortRun(t, "change").Play()
	require.NoError(t, err)
	require.Empty(t, line.Error)
	require.False(t, line.Failed(), "%+v", line)
	require.Equal(t, []int{14, 3, 11, 155}, []int{line.Instances, line.Real, line.Hollow, line.Hosts})
	require.Equal(t, 1+3+2, line.Processes)
	require.Zero(t, *line.NotInForce)
	require.LessOrEqual(t, *line.InForceP50MS, *line.InForceMaxMS)
	require.Positive(t, *line.InForceP50MS)
	require.Positive(t, line.Requests)
	require.Positive(t, line.MemoryMBTotal)
	raw, err := json.Marshal(line)
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(raw, &fields))
	for _, name := range []string{"event", "agreement", "instances", "real", "hollow", "processes", "hosts", "in_force_ms_p50",
		"in_force_ms_max", "not_in_force", "settled_ms_p90", "contradiction_ms", "contradiction_bound_ms", "lost", "doubled",
		"ceiling_breaks", "control_cpu_share_max", "control_bytes_per_s_max", "control_memory_mb_max", "memory_mb_total",
		"seconds", "error"} {
		require.Contains(t, fields, name)
	}
}

// A member that was killed comes back within its process, and settles; none was started without a change.
func TestARestartInASmallFleet(t *testing.T) {
	line, err := shortRun(t, "restart").Play()
	require.NoError(t, err)
	require.Empty(t, line.Error)
	require.False(t, line.Failed(), "%+v", line)
	require.Equal(t, [2]int{1, 1}, *line.SettledOf)
	require.Positive(t, *line.SettledP90MS)
	require.Nil(t, line.InForceMaxMS)
}

// By a control group the same figures come: a change has to pass through it, and the leader's death holds it up only
// until there is another one.
func TestAKilledLeaderInASmallFleet(t *testing.T) {
	run := shortRun(t, "leader")
	run.Agreement = Control
	line, err := run.Play()
	require.NoError(t, err)
	require.Empty(t, line.Error)
	require.False(t, line.Failed(), "%+v", line)
	require.Zero(t, *line.NotInForce)
	require.Equal(t, 1+3+2+replicas, line.Processes)
	require.Zero(t, *line.ContradictionBoundMS)
}

// What can't be run is told before anything is started.
func TestRunsThatCanNotBe(t *testing.T) {
	for says, change := range map[string]func(*Run){
		"no event":     func(r *Run) { r.Event = "flood" },
		"no agreement": func(r *Run) { r.Agreement = "vote" },
		"instances":    func(r *Run) { r.Instances = 4 },
		"RLIMIT":       func(r *Run) { r.Hosts = 1 << 30 },
	} {
		r := shortRun(t, "change")
		change(&r)
		_, err := r.Play()
		require.ErrorContains(t, err, says)
	}
}

// A run that holds more memory than it may ends itself.
func TestARunEndsItselfAtItsBound(t *testing.T) {
	r := shortRun(t, "change")
	r.MemoryMB = 10
	line, err := r.Play()
	require.NoError(t, err)
	require.Contains(t, line.Error, "at most 10 are allowed")
}

// Without a control group there is nothing to tell of its loss.
func TestAnEventThatNeedsAGroup(t *testing.T) {
	line, err := shortRun(t, "control-down").Play()
	require.NoError(t, err)
	require.Nil(t, line.Lost)
	require.NotEmpty(t, line.Note)
	require.False(t, line.Failed())
}
