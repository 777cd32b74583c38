package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// takenBack: an ingress was upgraded, and its old process still passes on a long answer. The new process follows a new
// configuration. Then it is killed, and the old one serves again.
func takenBack(r *rig.Rig) error {
	w, err := r.NewWorld(6, 40*time.Millisecond)
	if err != nil {
		return err
	}
	racks := r.NewRacks()
	answer := racks.Serve(someFail(r.Seed, 0.1))
	for _, h := range w.Hosts {
		h.Answer = func(h *rig.Host, w http.ResponseWriter, req *http.Request, arrived time.Time) {
			if req.URL.Query().Get("long") == "" {
				answer(h, w, req, arrived)
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(30<<20))
			line := strings.Repeat(".", 64<<10)
			for range (30 << 20) / len(line) {
				if _, err := io.WriteString(w, line); err != nil {
					return
				}
			}
		}
	}
	if err := w.Prepare(1, func(config map[string]any) { setScope(config, "all") }); err != nil {
		return err
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	in := w.Ingresses[0]
	if err := download(w, in); err != nil {
		return err
	}
	load := w.StartLoad(60, usualKinds...)
	time.Sleep(2 * time.Second)
	r.Say("upgrade (SIGUSR2)")
	if err := in.Signal(syscall.SIGUSR2); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	successor, err := child(in.Pid())
	if err != nil {
		return err
	}
	r.Say("process %d serves; a new configuration (SIGHUP): a repeat of an order is dropped by its rack only", successor)
	setScope(in.Config, "cell")
	if err := errors.Join(in.WriteConfig(), syscall.Kill(successor, syscall.SIGHUP)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	inForce := time.Now()
	time.Sleep(3 * time.Second)
	if r.Trouble {
		r.Say("process %d is killed; orders run twice since the new configuration: %d", successor, len(racks.TwiceSince(inForce)))
		if err := syscall.Kill(successor, syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(30 * time.Second)
	load.Stop()
	for _, text := range racks.TwiceSince(inForce) {
		r.Break("%s", text)
	}
	r.Say("answers %v", load.Count())
	return nil
}

// child returns the process that a process has started.
func child(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	if err != nil {
		return 0, err
	}
	if n, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
		return n, nil
	}
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	for _, task := range tasks { // any thread may have started it
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, task.Name()))
		if n, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
			return n, nil
		}
	}
	return 0, fmt.Errorf("process %d has no child", pid)
}

// download begins a long answer and reads it at 256 kB a second.
func download(w *rig.World, in *rig.Ingress) error {
	conn, err := net.Dial("tcp", in.Addr)
	if err != nil {
		return err
	}
	w.OnClose(func() { _ = conn.Close() })
	call := rig.Call{ID: rig.NewID(), Class: "stock", Plan: "boutique", Customer: 77, Timeout: 3 * time.Second, Quota: "units=1,spread=1,first=0"}
	if _, err := io.WriteString(conn, strings.Replace(call.Text(), " HTTP/1.1", "&long=1 HTTP/1.1", 1)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	w.Say("a long answer begins, status %d", answer.StatusCode)
	go func() {
		for err == nil {
			_, err = io.CopyN(io.Discard, answer.Body, 64<<10)
			time.Sleep(250 * time.Millisecond)
		}
	}()
	return nil
}
