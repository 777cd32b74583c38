package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// ControlGroup is the replicas of a control group: processes of the real binary.
type ControlGroup struct {
	Binary   string
	Dir      string
	Flags    []string // more of each
	replicas []*controlReplica
}

// controlReplica is one, whichever process serves it now.
type controlReplica struct {
	id, listen, raft, log string
	process               *exec.Cmd // nil: none
	ended                 chan struct{}
	reserved              []*reservation // its addresses while it does not run
}

// groupStarts is how often a group is started anew with other addresses: on a machine that runs much else, one that was
// free may be taken before a replica listens there.
const groupStarts = 4

// NewControlGroup starts so many replicas, whose files go into dir, and waits until one of them leads.
func NewControlGroup(dir, binary string, replicas int, flags ...string) (*ControlGroup, error) {
	var failures []error
	for try := range groupStarts {
		g := &ControlGroup{Binary: binary, Dir: filepath.Join(dir, fmt.Sprintf("control%d", try)), Flags: flags}
		err := g.startAll(replicas)
		if err == nil {
			return g, nil
		}
		failures = append(failures, err, errors.New(g.Logs()))
		g.Close()
	}
	return nil, errors.Join(failures...)
}

// startAll starts the replicas, and waits until one leads and all run.
func (g *ControlGroup) startAll(replicas int) error {
	if err := os.MkdirAll(g.Dir, 0o700); err != nil {
		return err
	}
	for i := range replicas {
		r := &controlReplica{id: fmt.Sprintf("r%d", i), log: filepath.Join(g.Dir, fmt.Sprintf("r%d.log", i))}
		var err error
		if r.listen, err = Free(); err != nil {
			return err
		}
		if r.raft, err = Free(); err != nil {
			return err
		}
		g.replicas = append(g.replicas, r)
		if err := r.reserve(); err != nil {
			return err
		}
	}
	for i := range g.replicas {
		if err := g.Start(i); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range g.replicas {
			select {
			case <-r.ended:
				return fmt.Errorf("%s has ended", r.id)
			default:
			}
		}
		if name, err := g.leader(); err == nil && name != "" {
			return nil
		}
	}
	return errors.New("no replica leads")
}

// Addrs are where the replicas take ingresses.
func (g *ControlGroup) Addrs() (addrs []string) {
	for _, r := range g.replicas {
		addrs = append(addrs, r.listen)
	}
	return addrs
}

// Start starts a replica that does not run, on what its directory holds.
func (g *ControlGroup) Start(i int) error {
	r := g.replicas[i]
	args := []string{"serve", "--id", r.id, "--listen", r.listen, "--raft", r.raft, "--data", filepath.Join(g.Dir, r.id)}
	for _, other := range g.replicas {
		args = append(args, "--replica", other.id+"="+other.raft+","+other.listen)
	}
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.release()
	cmd := exec.Command(g.Binary, append(args, g.Flags...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.process, r.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(r.ended)
	return nil
}

// Kill ends a replica at once.
func (g *ControlGroup) Kill(i int) {
	r := g.replicas[i]
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill()
	<-r.ended
	r.process = nil
	_ = r.reserve() // else somebody may take its addresses meanwhile
}

// reserve keeps the replica's addresses while it does not run.
func (r *controlReplica) reserve() error {
	for _, addr := range []string{r.listen, r.raft} {
		kept, err := reserve(addr)
		if err != nil {
			return err
		}
		r.reserved = append(r.reserved, kept)
	}
	return nil
}

func (r *controlReplica) release() {
	for _, kept := range r.reserved {
		kept.release()
	}
	r.reserved = nil
}

// PIDs are those of the replicas that run.
func (g *ControlGroup) PIDs() (pids []int) {
	for _, r := range g.replicas {
		if r.process != nil {
			pids = append(pids, r.process.Process.Pid)
		}
	}
	return pids
}

// Signal sends a replica a signal.
func (g *ControlGroup) Signal(i int, s syscall.Signal) {
	if p := g.replicas[i].process; p != nil {
		_ = p.Process.Signal(s)
	}
}

// controlStatus is what is read of the answer of ferrycontrol status.
type controlStatus struct {
	Leader string `json:"leader"`
}

// Leader is the number of the replica that leads, waited for so long.
func (g *ControlGroup) Leader(most time.Duration) (int, error) {
	for end := time.Now().Add(most); ; time.Sleep(20 * time.Millisecond) {
		name, err := g.leader()
		for i, r := range g.replicas {
			if err == nil && r.id == name {
				return i, nil
			}
		}
		if time.Now().After(end) {
			return 0, errors.Join(errors.New("no replica leads"), err)
		}
	}
}

func (g *ControlGroup) leader() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	args := []string{"status", "--json"}
	for _, r := range g.replicas {
		args = append(args, "--replica", r.listen)
	}
	out, err := exec.CommandContext(ctx, g.Binary, args...).Output()
	if err != nil {
		return "", err
	}
	var s controlStatus
	err = json.Unmarshal(out, &s)
	return s.Leader, err
}

// Logs are what the replicas have logged. It is safe on nil.
func (g *ControlGroup) Logs() (text string) {
	if g == nil {
		return ""
	}
	for _, r := range g.replicas {
		raw, _ := os.ReadFile(r.log)
		text += "== " + r.id + "\n" + string(raw)
	}
	return text
}

// Close ends all replicas. It is safe on nil.
func (g *ControlGroup) Close() {
	if g == nil {
		return
	}
	for i, r := range g.replicas {
		g.Kill(i)
		r.release()
	}
}
