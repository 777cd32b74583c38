// Package rig holds the stand-ins and the process control that the cases of the second review share: clients, order
// servers, the quota counter, discovery, and the start of the project's programs with the commands of the deploy file.
// The stand-ins follow the platform's protocol page. Everything listens on loopback addresses.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Verdicts of a case, used as exit codes.
const (
	Held      = 0 // the rule was kept
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case could not run
)

// Rig is the world of one run. Close ends all that was started.
type Rig struct {
	Dir     string // temporary folder
	Trouble bool   // the disruption takes place
	Seed    uint64
	run     string // the deploy file's command of one ingress

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	start     time.Time
	processes []*Process
	breaks    []string
	closers   []func()
}

// New opens the record and makes a temporary folder. The current folder must be the repository's root.
func New(recordPath string, trouble bool) (*Rig, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if found == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	if _, err := os.Stat("bin/ferryfront"); err != nil {
		return nil, fmt.Errorf("not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &Rig{Dir: dir, Trouble: trouble, Seed: 7, run: string(found[1]), record: bufio.NewWriter(file), file: file, start: time.Now()}
	r.Note("start", "trouble", trouble, "run", r.run)
	return r, nil
}

// Since is the time since the run began.
func (r *Rig) Since() time.Duration { return time.Since(r.start) }

// Note writes one line of the record: the time, what happened, and pairs of a name and a value.
func (r *Rig) Note(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.4f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.record, " %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.record)
}

// Break notes that the rule was broken, and prints the first few breaks.
func (r *Rig) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Note("BROKEN " + text)
	r.mu.Lock()
	r.breaks = append(r.breaks, text)
	n := len(r.breaks)
	r.mu.Unlock()
	if n <= 5 {
		fmt.Println("broken:", text)
	}
}

// Say notes a line and prints it.
func (r *Rig) Say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Note(text)
	fmt.Println(text)
}

// OnClose has a function called by Close.
func (r *Rig) OnClose(f func()) { r.closers = append(r.closers, f) }

// Close ends all processes and stand-ins, and returns the verdict.
func (r *Rig) Close() int {
	for _, p := range r.processes {
		p.Kill()
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	verdict := Held
	r.mu.Lock()
	n := len(r.breaks)
	r.mu.Unlock()
	if n > 0 {
		verdict = Broken
	}
	for _, p := range r.processes {
		r.noteLog(p)
	}
	r.Note("end", "breaks", n, "verdict", verdict)
	fmt.Println("breaks:", n)
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.Dir)
	return verdict
}

// noteLog copies what a process has logged into the record, at most the first 400 lines.
func (r *Rig) noteLog(p *Process) {
	file, err := os.Open(p.Log)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for n := 0; n < 400 && lines.Scan(); n++ {
		r.Note("log of "+p.Name+":", "line", lines.Text())
	}
}

// Process is a program that was started, with the processes that it starts itself.
type Process struct {
	Name, Log string
	cmd       *exec.Cmd
	ended     chan struct{}
}

// Start runs a shell command from the root of the repository, in a process group of its own.
func (r *Rig) Start(name, command string, env ...string) (*Process, error) {
	p := &Process{Name: name, Log: filepath.Join(r.Dir, fmt.Sprintf("%s-%d.log", name, len(r.processes))), ended: make(chan struct{})}
	log, err := os.Create(p.Log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.Note("started", "name", name, "pid", p.cmd.Process.Pid, "command", command, "env", env)
	go func() {
		_ = p.cmd.Wait()
		r.Note("ended", "name", name, "pid", p.cmd.Process.Pid, "state", p.cmd.ProcessState)
		close(p.ended)
	}()
	r.processes = append(r.processes, p)
	return p, nil
}

// Pid of the process that was started.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process that was started.
func (p *Process) Signal(s syscall.Signal) error { return syscall.Kill(p.cmd.Process.Pid, s) }

// Kill ends the process and all that it started.
func (p *Process) Kill() { _ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) }

// Ended is closed when the process that was started has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// WaitEnded tells whether the process that was started ends in time.
func (p *Process) WaitEnded(most time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Ingress is one ingress, whichever process serves it.
type Ingress struct {
	*Process
	Name, Addr, ConfigPath string
	Config                 map[string]any
	Args                   string   // behind the deploy file's command
	Env                    []string // beside the platform's four variables
	TmpDir                 string
}

// Settings are the settings in an ingress's configuration.
func (in *Ingress) Settings() map[string]any { return in.Config["settings"].(map[string]any) }

// NewIngress prepares an ingress with a configuration and writes that to a file.
func (r *Rig) NewIngress(me int, config map[string]any) (*Ingress, error) {
	name := fmt.Sprintf("n%d", me)
	in := &Ingress{Name: name, Addr: FreeAddr(), Config: config, ConfigPath: filepath.Join(r.Dir, name+".json"),
		TmpDir: filepath.Join(r.Dir, name+".tmp")}
	config["name"], config["listen"] = name, in.Addr
	config["settings"].(map[string]any)["me"] = me
	return in, errors.Join(os.MkdirAll(in.TmpDir, 0o700), in.WriteConfig())
}

// WriteConfig puts the configuration in place in one step.
func (in *Ingress) WriteConfig() error {
	raw, err := json.MarshalIndent(in.Config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.ConfigPath+".next", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(in.ConfigPath+".next", in.ConfigPath)
}

// StartIngress starts a process of an ingress as the platform does, with the variables that the deployment page names.
func (r *Rig) StartIngress(in *Ingress) error {
	env := []string{"GW_NAME=" + in.Name, "GW_LISTEN=" + in.Addr, "GW_DISCOVERY=" + fmt.Sprint(in.Config["discovery"]),
		"GW_CONFIG=" + in.ConfigPath, "TMPDIR=" + in.TmpDir}
	command := r.run
	if in.Args != "" {
		command += " " + in.Args
	}
	var err error
	in.Process, err = r.Start(in.Name, command, append(env, in.Env...)...)
	return err
}

// WaitUp waits until an ingress answers GET /up with 200.
func (in *Ingress) WaitUp(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if in.IsUp() {
			return nil
		}
	}
	return fmt.Errorf("%s is not up in time", in.Name)
}

// IsUp asks GET /up.
func (in *Ingress) IsUp() bool {
	conn, err := net.DialTimeout("tcp", in.Addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	answer := make([]byte, 12)
	n, _ := conn.Read(answer)
	return string(answer[:n]) == "HTTP/1.1 200"
}

// FreeAddr is a free address of loopback.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// Replace starts a process of an ingress beside the one that serves, as the platform does, waits for its yes, and ends
// the old one: SIGTERM, and SIGKILL after the longest deadline and 0.7 s.
func (r *Rig) Replace(in *Ingress) error {
	old, mgmt := in.Process, FreeAddr()
	in.Env = []string{"GW_MGMT=" + mgmt}
	if err := r.StartIngress(in); err != nil {
		return err
	}
	for end := time.Now().Add(6 * time.Second); !saysYes(mgmt); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the new process of %s has not said yes in time", in.Name)
		}
	}
	r.Note("yes", "name", in.Name)
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !old.WaitEnded(3700 * time.Millisecond) {
		r.Note("killed", "name", in.Name, "pid", old.Pid())
		return old.Signal(syscall.SIGKILL)
	}
	return nil
}

// saysYes asks STATUS at an admin endpoint.
func saysYes(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("STATUS\n")); err != nil {
		return false
	}
	answer := make([]byte, 3)
	n, _ := conn.Read(answer)
	return string(answer[:n]) == "200"
}
