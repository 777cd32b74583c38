package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// ControlGroup is three replicas of the control group.
type ControlGroup struct {
	*Rig
	Addrs    []string // where ingresses and operators connect
	commands []string
	Replicas []*Process
}

// StartControlGroup starts three replicas and waits until one leads.
func (r *Rig) StartControlGroup() (*ControlGroup, error) {
	g := &ControlGroup{Rig: r}
	ids := []string{"a", "b", "c"}
	var list strings.Builder
	raft := make([]string, len(ids))
	for i, id := range ids {
		g.Addrs, raft[i] = append(g.Addrs, FreeAddr()), FreeAddr()
		fmt.Fprintf(&list, " --replica %s=%s,%s", id, raft[i], g.Addrs[i])
	}
	for i, id := range ids {
		g.commands = append(g.commands, fmt.Sprintf("exec bin/ferrycontrol serve --id %s --listen %s --raft %s --data %s%s", id, g.Addrs[i], raft[i],
			filepath.Join(r.Dir, "replica-"+id), list.String()))
		p, err := r.Start("replica-"+id, g.commands[i])
		if err != nil {
			return nil, err
		}
		g.Replicas = append(g.Replicas, p)
	}
	return g, g.WaitLeader(20 * time.Second)
}

// Restart starts a replica again that has ended.
func (g *ControlGroup) Restart(i int) (err error) {
	g.Replicas[i], err = g.Start(g.Replicas[i].Name, g.commands[i])
	return err
}

// WaitLeader waits until a replica leads.
func (g *ControlGroup) WaitLeader(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if text, err := g.Ask("status", "--replica", strings.Join(g.Addrs, ",")); err == nil && strings.Contains(text, "leader") {
			return nil
		}
	}
	return fmt.Errorf("no replica leads in time")
}

// Ask runs a command of an operator.
func (g *ControlGroup) Ask(args ...string) (string, error) {
	out, err := exec.Command("bin/ferrycontrol", args...).CombinedOutput()
	g.Note("ferrycontrol", "args", args, "error", err, "output", strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return string(out), err
}

// Status is what an operator is shown.
func (g *ControlGroup) Status() string {
	text, _ := g.Ask("status", "--replica", strings.Join(g.Addrs, ","))
	return text
}

// Propose proposes the versions of a configuration file.
func (g *ControlGroup) Propose(file string) error {
	text, err := g.Ask("propose", "--replica", strings.Join(g.Addrs, ","), "--config", file)
	if err != nil {
		return fmt.Errorf("propose: %w: %s", err, text)
	}
	return nil
}

// OwnSettings writes the program's own settings of an ingress: a control socket and the replicas.
func (r *Rig) OwnSettings(name string, replicas []string, more string) (path, socket string, err error) {
	path, socket = filepath.Join(r.Dir, name+".cue"), filepath.Join(r.Dir, name+".sock")
	text := fmt.Sprintf("control: %q\n%s\n", socket, more)
	if len(replicas) > 0 {
		text += fmt.Sprintf("control_group: replicas: [\"%s\"]\n", strings.Join(replicas, `", "`))
	}
	return path, socket, os.WriteFile(path, []byte(text), 0o600)
}

// Operator runs a command of the ingress's own program, as an operator does.
func (r *Rig) Operator(args ...string) (string, error) {
	out, err := exec.Command("bin/ferryfront", args...).CombinedOutput()
	r.Note("ferryfront", "args", args, "error", err, "output", strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return string(out), err
}
