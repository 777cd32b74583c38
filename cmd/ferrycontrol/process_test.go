package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/controlserver"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

const patience = 20 * time.Second // for what takes milliseconds where the disk is quick

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ferrycontrol")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ferrycontrol")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// replicaProcess is one that runs, or has ended by itself.
type replicaProcess struct {
	*exec.Cmd
	ended chan struct{}
}

// processes is a group whose replicas are processes of the real binary.
type processes struct {
	t        *testing.T
	replicas []controlserver.Replica
	flags    []string
	data     string // directory of the replicas' directories
	running  map[string]*replicaProcess
	log      *os.File
}

func newProcesses(t *testing.T, flags ...string) *processes {
	g := &processes{t: t, flags: flags, data: t.TempDir(), running: map[string]*replicaProcess{}}
	for _, id := range []string{"a", "b", "c"} {
		g.replicas = append(g.replicas, controlserver.Replica{ID: id, Raft: nettest.FreeAddress(t), Listen: nettest.FreeAddress(t)})
	}
	var err error
	g.log, err = os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	for _, r := range g.replicas {
		g.flags = append(g.flags, "--replica", fmt.Sprintf("%s=%s,%s", r.ID, r.Raft, r.Listen))
	}
	t.Cleanup(func() {
		for id := range g.running {
			g.kill(id)
		}
		if t.Failed() {
			log, _ := os.ReadFile(g.log.Name())
			t.Logf("%s", log)
		}
		_ = g.log.Close()
	})
	return g
}

// addresses are where all replicas listen, running or not.
func (g *processes) addresses() (all []string) {
	for _, r := range g.replicas {
		all = append(all, r.Listen)
	}
	return all
}

func (g *processes) replica(id string) controlserver.Replica {
	for _, r := range g.replicas {
		if r.ID == id {
			return r
		}
	}
	g.t.Fatalf("no replica %q", id)
	return controlserver.Replica{}
}

func (g *processes) startAll() {
	for _, r := range g.replicas {
		g.start(r.ID)
	}
}

func (g *processes) start(id string) {
	g.t.Helper()
	r := g.replica(id)
	arguments := append([]string{"serve", "--id", id, "--listen", r.Listen, "--raft", r.Raft, "--data",
		filepath.Join(g.data, id)}, g.flags...)
	command := exec.Command(binary, arguments...)
	command.Stdout, command.Stderr = g.log, g.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(g.t, command.Start())
	p := &replicaProcess{command, make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	g.running[id] = p
}

// requireRunning fails the test if a replica has ended by itself.
func (g *processes) requireRunning() {
	g.t.Helper()
	for id, p := range g.running {
		select {
		case <-p.ended:
			g.t.Fatalf("replica %s has ended: %v", id, p.ProcessState)
		default:
		}
	}
}

func (g *processes) signal(id string, signal syscall.Signal) {
	g.t.Helper()
	require.NoError(g.t, g.running[id].Process.Signal(signal))
}

func (g *processes) kill(id string) {
	_ = g.running[id].Process.Kill()
	<-g.running[id].ended
	delete(g.running, id)
}

// leader waits for a leader that grants leases, other than one.
func (g *processes) leader(but string) controlserver.Status {
	g.t.Helper()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		g.requireRunning()
		for _, r := range g.replicas {
			if status, ok := g.ask(r.ID); ok && status.Leases != nil && r.ID != but {
				return status
			}
		}
	}
	g.t.Fatal("no leader")
	return controlserver.Status{}
}

func (g *processes) ask(id string) (controlserver.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	response, err := controlserver.Ask(ctx, g.replica(id).Listen, controlserver.Request{Op: controlserver.OpStatus})
	if err != nil {
		return controlserver.Status{}, false
	}
	return *response.Status, true
}

// command runs a command of the operators in this process.
func command(arguments ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func parseStatus(t *testing.T, text string) (status groupStatus) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(text), &status), text)
	return status
}
