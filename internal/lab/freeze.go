package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// FreezeReport is one measurement of how long nobody reads.
type FreezeReport struct {
	Customers   int     `json:"customers"`
	Connections int     `json:"connections"`
	FreezeMS    float64 `json:"freeze_ms"`
	UpgradeMS   float64 `json:"upgrade_ms"` // all of it but the probation
	OldMB       int     `json:"old_mb"`     // resident, before
	NewMB       int     `json:"new_mb"`     // resident, after
	Error       string  `json:"error,omitempty"`
}

// Freeze makes an ingress know so many customers and hold so many idle connections, and upgrades it.
// Requests go on meanwhile.
func Freeze(s Setup, customers, connections int) (FreezeReport, error) {
	r := FreezeReport{Customers: customers, Connections: connections}
	const probation = 100 * time.Millisecond
	b, err := newHarness(s, standin.Shape{Hosts: 4, Work: time.Millisecond, Settings: settings(probation)})
	if err != nil {
		return r, err
	}
	defer b.close()
	if err := b.fill(0, customers); err != nil {
		return r, err
	}
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", b.ingress.Addr)
		if err != nil {
			return r, err
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n"); err != nil {
			return r, err
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			return r, err
		}
		conns = append(conns, c)
	}
	old, err := b.status()
	if err != nil {
		return r, err
	}
	r.OldMB = resident(old.Pid)
	stop := b.load(standin.Load{Rate: 200, Customers: min(customers, 1000), Plan: "boutique", Prefix: "l", Orders: 0.15, Seed: 1})
	defer stop()
	began := time.Now()
	got, err := b.upgrade(nil)
	r.UpgradeMS = float64(time.Since(began)-probation) / 1e6
	if err != nil {
		return r, err
	}
	r.FreezeMS, r.NewMB = float64(got.FreezeMicroseconds)/1e3, resident(got.Pid)
	if int(got.Customers) < old.Customers {
		r.Error = fmt.Sprintf("%d customers were known, %d have come over", old.Customers, got.Customers)
	}
	for _, c := range conns {
		if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\n\r\n"); err != nil {
			r.Error = "an idle connection has not come over: " + err.Error()
		}
	}
	return r, nil
}

// fill has customers ask once each, over a few connections and requests sent ahead.
func (b *harness) fill(first, n int) error {
	const workers = 4
	var wg sync.WaitGroup
	errs := make(chan error, workers)
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- b.ahead(first+w*n/workers, first+(w+1)*n/workers)
		}()
	}
	wg.Wait()
	for range workers {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func (b *harness) ahead(from, to int) error {
	const batch = 100
	conn, err := net.Dial("tcp", b.ingress.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for ; from < to; from += batch {
		var text strings.Builder
		n := min(batch, to-from)
		for i := range n {
			fmt.Fprintf(&text, "GET /api/%s HTTP/1.1\r\nRequest-Id: f%d-%d\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n",
				standin.CustomerName(from+i), from+i, time.Now().UnixNano())
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return err
		}
		for range n {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
		}
	}
	return nil
}

// resident is a process's memory in MB, 0 where it can't be read.
func resident(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	if _, err := fmt.Sscan(string(raw), &size, &pages); err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
