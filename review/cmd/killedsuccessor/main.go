// Command killedsuccessor is a case of the review: in an upgrade the new process dies soon after it has taken over, while
// orders that it has sent are out. The old process carries on. No order may run in two racks.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/stand"
)

const (
	orderServers  = 9
	serversInCell = 3
	orders        = 24
	customers     = 12
	warmUp        = 4 * time.Second
	repeatWindow  = 3 * time.Second // for which the servers of a cell drop a repeat of a key
	retryPause    = 100 * time.Millisecond
	takeoverLimit = 10 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// execution is one run of an order.
type execution struct {
	server string
	cell   int
	at     time.Time
}

// fleet holds what the order servers have run.
type fleet struct {
	record   *stand.Record
	mu       sync.Mutex
	arrived  int
	executed map[string][]execution // by Idempotency-Key
}

// handler is an order server.
func (f *fleet) handler(name string, cell int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id, key := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		now, isRepeat := time.Now(), false
		f.mu.Lock()
		f.arrived++
		for _, e := range f.executed[key] {
			isRepeat = isRepeat || e.cell == cell && now.Sub(e.at) < repeatWindow
		}
		if !isRepeat {
			f.executed[key] = append(f.executed[key], execution{name, cell, now})
		}
		f.mu.Unlock()
		f.record.Printf("%s of cell %d got %s with key %s, drops it as a repeat: %v", name, cell, id, key, isRepeat)
		time.Sleep(time.Duration(120+rand.IntN(60)) * time.Millisecond) // the work; the end of the connection stops nothing
		_, _ = fmt.Fprintf(w, "order %s placed by %s\n", id, name)
	}
}

// arrivals returns how many requests the order servers have got.
func (f *fleet) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived
}

// successor returns the process that an ingress has started for an upgrade, or 0.
func successor(pid int) int {
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, list := range lists {
		text, err := os.ReadFile(list)
		if err != nil {
			continue
		}
		for field := range strings.FieldsSeq(string(text)) {
			if child, err := strconv.Atoi(field); err == nil {
				return child
			}
		}
	}
	return 0
}

func run(root, folder string) int {
	record, err := stand.OpenRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer record.Close()
	f := &fleet{record: record, executed: map[string][]execution{}}
	var hosts []stand.Host
	for i := range orderServers {
		listener, err := stand.Listen()
		if err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
		name, cell := fmt.Sprintf("s-%08x", 0x5be2a07c+i), i/serversInCell
		server := &http.Server{Handler: f.handler(name, cell), ReadHeaderTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second}
		go func() { _ = server.Serve(listener) }()
		hosts = append(hosts, stand.Host{ID: name, Addr: listener.Addr().String(), Zone: "salle-" + string("abc"[i%3]),
			Kind: "std-2c", Cell: cell, State: "Ready", Weight: 1})
	}
	world, err := stand.NewWorld(root, record, hosts)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer world.Close()
	in, err := world.Start(0, stand.Levis(0, 1))
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	time.Sleep(warmUp)
	record.Printf("SIGUSR2 to the ingress, process %d", in.Pid())
	if err := syscall.Kill(in.Pid(), syscall.SIGUSR2); err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	for end := time.Now().Add(takeoverLimit); !strings.Contains(in.Log(), "taken over"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			fmt.Println("no process has taken over")
			return stand.NotRun
		}
	}
	next := successor(in.Pid())
	if next == 0 {
		fmt.Println("the new process was not found")
		return stand.NotRun
	}
	defer func() { _ = syscall.Kill(next, syscall.SIGKILL) }()
	record.Printf("process %d has taken over", next)
	return order(record, f, in.Addr, next)
}

// order sends orders to the new process, kills it, and judges what was run.
func order(record *stand.Record, f *fleet, address string, next int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range orders {
		key := fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		wg.Go(func() {
			client := &stand.Client{Addr: address}
			for try := range 20 {
				request := stand.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "order", Plan: "distributeur", Key: key,
					Customer: uint64(1 + i%customers), Timeout: 3 * time.Second, Spread: 1}
				answer := client.Do(request)
				record.Printf("key %s, try %d as %s: status %d, %v, after %s", key, try+1, request.ID, answer.Status, answer.Err,
					answer.Done.Round(time.Millisecond))
				if answer.Err == nil && answer.Status != http.StatusTooManyRequests && answer.Status != http.StatusServiceUnavailable {
					mu.Lock()
					defer mu.Unlock()
					answered++
					return
				}
				time.Sleep(retryPause) // it was refused, or the ingress was unreachable
			}
		})
	}
	if stand.Trouble() {
		for end := time.Now().Add(time.Second); f.arrivals() < orders && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		record.Printf("kill -9 of the new process %d, %d orders have reached order servers", next, f.arrivals())
		if err := syscall.Kill(next, syscall.SIGKILL); err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
	}
	wg.Wait()
	twice := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, executions := range f.executed {
		if len(executions) < 2 {
			continue
		}
		twice++
		record.Printf("TWICE: key %s was run by %s of cell %d and, %s later, by %s of cell %d", key, executions[0].server,
			executions[0].cell, executions[1].at.Sub(executions[0].at).Round(time.Millisecond), executions[1].server, executions[1].cell)
	}
	text := fmt.Sprintf("orders: %d, answered in the end %d, run in two racks %d", orders, answered, twice)
	record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case twice > 0:
		return stand.RuleBroken
	case answered == 0:
		return stand.NotRun
	}
	return stand.RuleHeld
}
