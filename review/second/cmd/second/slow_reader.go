package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// slowReader: clients that take some seconds to read long answers, on connections that end with the answer.
func slowReader(r *rig.Rig) error {
	w, err := r.NewWorld(4, 30*time.Millisecond)
	if err != nil {
		return err
	}
	for _, h := range w.Hosts {
		h.Answer = func(h *rig.Host, answer http.ResponseWriter, req *http.Request, _ time.Time) {
			time.Sleep(h.Work)
			line := req.Header.Get("Request-Id") + " " + h.Name + "\n"
			length, _ := strconv.Atoi(req.URL.Query().Get("length"))
			body := strings.Repeat(line, length/len(line))
			for len(body) > 0 { // in pieces, without a length
				n := min(len(body), 16<<10)
				if _, err := io.WriteString(answer, body[:n]); err != nil {
					return
				}
				body = body[n:]
			}
		}
	}
	if err := w.Prepare(1, nil); err != nil {
		return err
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var reading sync.WaitGroup
	for n, length := range lengths() {
		time.Sleep(25 * time.Millisecond)
		reading.Go(func() { readSlowly(w, n, length) })
	}
	reading.Wait()
	return nil
}

// lengths are those of the answers, in bytes: from 0.5 to 8 MB, and closer to each other around what the system holds of
// an answer between the two processes, which is 3.7 MB with Linux's usual buffers.
func lengths() (all []int) {
	for length := 512 << 10; length < 8<<20; length += 96 << 10 {
		all = append(all, length)
	}
	for length := 3300 << 10; length < 4300<<10; length += 5 << 10 {
		all = append(all, length)
	}
	return all
}

// readSlowly asks for a long answer on a connection that ends with it, and reads it in two goes with a pause between.
func readSlowly(w *rig.World, n, length int) {
	call := rig.Call{ID: rig.NewID(), Class: "stock", Plan: "boutique", Customer: uint64(2000 + n), Timeout: 3 * time.Second, Quota: "units=1,spread=1,first=0"}
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
	}}
	conn, err := dialer.Dial("tcp", w.Ingresses[0].Addr)
	if err != nil {
		w.Note("no connection", "id", call.ID, "error", err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(90 * time.Second))
	text := strings.Replace(call.Text(), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	text = strings.Replace(text, " HTTP/1.1", fmt.Sprintf("&length=%d HTTP/1.1", length), 1)
	if _, err := io.WriteString(conn, text); err != nil {
		w.Note("not sent", "id", call.ID, "error", err)
		return
	}
	began := time.Now()
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		w.Break("request %s got no answer: %v", call.ID, err)
		return
	}
	first := time.Since(began)
	body, err := readInPieces(answer.Body, w.Trouble)
	w.Note("answer", "id", call.ID, "status", answer.StatusCode, "first", first.Round(time.Millisecond), "bytes", body, "error", err)
	if err != nil {
		w.Break("%s", fmt.Sprintf("the answer to request %s (status %d, first byte after %v) was cut off by the ingress after %d bytes: %v", call.ID, answer.StatusCode, first.Round(time.Millisecond), body, err))
	}
}

// readInPieces reads a body to its end, and tells how long it was. With pauses it rests for 3 s after the first bytes.
func readInPieces(from io.Reader, pauses bool) (n int64, err error) {
	if n, err = io.CopyN(io.Discard, from, 1<<10); err != nil {
		return n, err
	}
	if pauses {
		time.Sleep(3 * time.Second)
	}
	m, err := io.Copy(io.Discard, from)
	return n + m, err
}
