package lab

import (
	"fmt"
	"io"
	"net"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Requests that an upgrade finds half read, or out at a host.

// halfRequests upgrades while connections have sent half a request each, which has to be answered when the rest has come.
func halfRequests(b *harness) error {
	const count = 200
	conns := make([]net.Conn, count)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	rests := make([]string, count)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", b.ingress.Addr); err != nil {
			return err
		}
		// Each is cut at a place of its own: within the head, between head and body, within the body.
		text := halfRequest(i)
		cut := len(text) * (i + 1) / (count + 1)
		rests[i] = text[cut:]
		if _, err := io.WriteString(conns[i], text[:cut]); err != nil {
			return err
		}
	}
	err := until("all are read", func() bool {
		s, err := b.status()
		return err == nil && s.Connections >= count
	})
	if err != nil {
		return err
	}
	got, err := b.upgrade(nil)
	if err != nil {
		return err
	}
	b.extra["clients_handed"] = float64(got.ClientConnections)
	return finishRequests(conns, rests)
}

// halfRequest is the text of a request with a key, id and customer of its own.
func halfRequest(i int) string {
	return fmt.Sprintf("POST /api/%s?class=order HTTP/1.1\r\nRequest-Id: half%d\r\nRequest-Class: order\r\nX-Plan: boutique\r\n"+
		"Idempotency-Key: half%d\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 10\r\n\r\n0123456789",
		standin.CustomerName(1000+i), i, i)
}

// finishRequests sends the rest of each request, a few at a time since it is not the hosts' capacity that is tried, and
// returns the first error of a request without a good answer.
func finishRequests(conns []net.Conn, rests []string) error {
	const concurrent = 8
	errs := make(chan error, len(conns))
	slots := make(chan struct{}, concurrent)
	for i, conn := range conns {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			err := finishRequest(conn, rests[i])
			if err != nil {
				err = fmt.Errorf("half request %d: %w", i, err)
			}
			errs <- err
		}()
	}
	for range conns {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// finishRequest sends the rest of a request and reads the status of its answer, which has to be 200.
func finishRequest(conn net.Conn, rest string) error {
	const want = "HTTP/1.1 200"
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, rest); err != nil {
		return err
	}
	status := make([]byte, len(want))
	if _, err := io.ReadFull(conn, status); err != nil {
		return err
	}
	if string(status) != want {
		return fmt.Errorf("answered %q", status)
	}
	return nil
}

// orderInFlight upgrades while an order is out at the old process. Its key and its id are refused at the new one
// meanwhile, and a repeat after that goes to the cell that knows the key.
func orderInFlight(b *harness) error {
	ask := standin.Ask{ID: "first", Key: "the-key", Customer: standin.CustomerName(1), Class: "order", Plan: "boutique"}
	first := make(chan standin.Answer, 1)
	go func() { first <- b.clients.Do(ask) }()
	err := until("the order is at a host", func() bool { return len(b.world.Record.Runs()) == 1 })
	if err != nil {
		return err
	}
	var sameKey, sameID standin.Answer
	_, err = b.upgradeDuring("probation", func() error {
		err := until("the new process answers", func() bool {
			s, err := b.status()
			return err == nil && s.Phase == "trial"
		})
		again := ask
		again.ID = "second"
		sameKey = b.clients.Do(again)
		again = ask
		again.Key = "another-key"
		sameID = b.clients.Do(again)
		return err
	})
	if err != nil {
		return err
	}
	if got := <-first; got.Status != 200 {
		return fmt.Errorf("the order's first client got %d %s", got.Status, got.Lost)
	}
	if sameKey.Status != 409 || sameID.Status != 409 {
		return fmt.Errorf("with the key of an open order %d, with its id %d, and not 409", sameKey.Status, sameID.Status)
	}
	if err := b.waitIdle(); err != nil {
		return err
	}
	if err := b.repeatInCell(ask); err != nil {
		return err
	}
	return b.mustUpgrade()
}

// repeatInCell asks for an order again that is over and whose window is open. The repeat has to run in the cell that knows
// the key, whichever process takes it.
func (b *harness) repeatInCell(order standin.Ask) error {
	cell := b.world.Record.Runs()[0].Cell
	again := order
	again.ID = "third"
	if got := b.clients.Do(again); got.Status != 200 {
		return fmt.Errorf("a repeat within the window got %d %s", got.Status, got.Lost)
	}
	for _, run := range b.world.Record.Runs() {
		if run.Key == order.Key && run.Cell != cell {
			return fmt.Errorf("the order ran in cells %d and %d", cell, run.Cell)
		}
	}
	return nil
}
