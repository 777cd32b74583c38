package main

import (
	"bufio"
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

const (
	longAnswers = 200
	longPieces  = 60
	pieceBytes  = 2 << 10 // 120 KB in all
)

// plannedEnd: an ingress is told to end while long answers are under way. As each ends, its client sends the next request
// on the connection, which the ingress has left open.
func plannedEnd(r *rig.Rig) error {
	w, err := r.NewWorld(6, 130*time.Millisecond) // the work of the class stock
	if err != nil {
		return err
	}
	for _, h := range w.Hosts {
		h.Answer = func(h *rig.Host, answer http.ResponseWriter, req *http.Request, _ time.Time) {
			milliseconds, _ := strconv.Atoi(req.URL.Query().Get("long"))
			if milliseconds == 0 {
				time.Sleep(h.Work)
				_, _ = io.WriteString(answer, req.Header.Get("Request-Id"))
				return
			}
			writeSlowly(answer, time.Duration(milliseconds)*time.Millisecond)
		}
	}
	if err := w.Prepare(1, nil); err != nil {
		return err
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	in := w.Ingresses[0]
	time.Sleep(2 * time.Second)
	var asking sync.WaitGroup
	for n := range longAnswers { // begun over 2 s, of 4.5 to 5 s each: they end 2 to 4.5 s after SIGTERM
		asking.Go(func() { askTwice(w, in.Addr, n, time.Duration(4500+5*n/2)*time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if r.Trouble {
		r.Say("SIGTERM to %s", in.Name)
		if err := in.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if !in.WaitEnded(3700 * time.Millisecond) {
			r.Say("%s has not ended by itself in 3.7 s: SIGKILL", in.Name)
			in.Kill()
		}
	}
	asking.Wait()
	return nil
}

// writeSlowly writes a long answer of a known length evenly over a time.
func writeSlowly(answer http.ResponseWriter, over time.Duration) {
	answer.Header().Set("Content-Length", strconv.Itoa(longPieces*pieceBytes))
	began := time.Now()
	for n := range longPieces {
		time.Sleep(time.Until(began.Add(over * time.Duration(n) / (longPieces - 1))))
		if _, err := io.WriteString(answer, strings.Repeat(".", pieceBytes)); err != nil || http.NewResponseController(answer).Flush() != nil {
			return
		}
	}
}

// askTwice asks for a long answer and then, on the same connection, for a short one. A short one that an order server was
// sent and that gets no answer is lost.
func askTwice(w *rig.World, addr string, n int, over time.Duration) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	reader := bufio.NewReader(conn)
	call := rig.Call{ID: rig.NewID(), Class: "stock", Plan: "boutique", Customer: uint64(3000 + n), Timeout: 3 * time.Second, Quota: "units=1,spread=1,first=0"}
	long := strings.Replace(call.Text(), " HTTP/1.1", "&long="+strconv.Itoa(int(over.Milliseconds()))+" HTTP/1.1", 1)
	if closing, _, err := exchange(conn, reader, long); err != nil || closing {
		w.Note("long answer not whole, or the last", "id", call.ID, "closing", closing, "error", err)
		return
	}
	call.ID = rig.NewID()
	sent := w.Since()
	_, status, err := exchange(conn, reader, call.Text())
	w.Note("answer", "id", call.ID, "sent", sent, "status", status, "error", err)
	if err == nil {
		return
	}
	for _, h := range w.Hosts {
		for _, got := range h.Got() {
			if got.ID == call.ID {
				w.Break("request %s was sent on a connection that the ingress had left open, was run by %s and got no answer: %v", call.ID, h.Name, err)
			}
		}
	}
}

// exchange sends a request and reads its answer. It tells whether the answer closes the connection.
func exchange(conn net.Conn, reader *bufio.Reader, text string) (closing bool, status int, err error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return false, 0, err
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.Close, answer.StatusCode, err
}
