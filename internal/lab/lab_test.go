package lab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/ferryfront", "../../cmd/ferrylab", "../../cmd/ferrycontrol").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func setup(t *testing.T) Setup {
	return Setup{Ferryfront: filepath.Join(bin, "ferryfront"), Lab: filepath.Join(bin, "ferrylab"), Dir: t.TempDir(), Say: t.Logf}
}

// Each hard case of an upgrade, on the real binary.
func TestFaults(t *testing.T) {
	for _, f := range Faults() {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			r, err := RunFault(setup(t), f)
			require.NoError(t, err)
			require.Empty(t, r.Error)
			require.False(t, r.Broken(), "%+v", r.Verdict)
		})
	}
}

func TestUpgradesUnderLoadLoseNothing(t *testing.T) {
	r, err := Upgrades{Setup: setup(t), Count: 5, Rate: 100, Baseline: time.Second, Customers: 20, Probation: 100 * time.Millisecond}.Run()
	require.NoError(t, err)
	require.Equal(t, 5, r.Upgrades)
	require.False(t, r.Failed(), "%+v", r)
	require.Equal(t, r.Requests, r.AnsweredOnce)
	require.Positive(t, r.Upstreams, "idle upstream connections go along")
	require.Zero(t, r.Reconnects, "no client connection was closed")
}

// The checker has to find what it is for.
func TestTheCheckerFindsWhatIsForbidden(t *testing.T) {
	w, err := standin.NewWorld(t.TempDir(), standin.Shape{Hosts: 4, Work: 20 * time.Millisecond})
	require.NoError(t, err)
	defer w.Close()
	ask := func(host int, id, key string) {
		c := &standin.Clients{Addr: w.Hosts[host].Addr(), Record: w.Record, Wait: time.Second}
		defer c.Close()
		c.Do(standin.Ask{ID: id, Key: key, Customer: standin.CustomerName(1), Class: "order"})
	}
	rules := standin.Rules{Window: standin.Window}
	ask(0, "a", "k")
	ask(1, "b", "k")
	require.False(t, w.Record.Check(rules).Broken(), "a repeat in its cell")
	ask(2, "c", "k")
	require.Equal(t, 1, w.Record.Check(rules).ForbiddenRepeats)
	done := make(chan struct{})
	w.Hosts[0].Slow(10) // a fifth of a second
	go func() { ask(0, "d", ""); close(done) }()
	require.NoError(t, until("it is out", func() bool { return len(w.Record.Runs()) == 4 }))
	ask(1, "d", "")
	<-done
	require.Equal(t, 1, w.Record.Check(rules).SecondCopies)
	require.Zero(t, w.Record.Check(rules).CeilingBreaks)
	rules.CeilingRate, rules.CeilingBurst, rules.Customers = 0.1, 1, []string{standin.CustomerName(1)}
	require.Positive(t, w.Record.Check(rules).CeilingBreaks)
	w.Discovery.Set(w.Hosts[0], "Terminating")
	time.Sleep(600 * time.Millisecond) // the grace is what is looked at
	ask(0, "e", "")
	require.Equal(t, 1, w.Record.Check(rules).LateSends)
}
