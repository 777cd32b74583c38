package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestNothingIsSentToDrainingOrGoneServers(t *testing.T) {
	for _, state := range []ServerState{Draining, Gone} {
		d := newDriver(t, testSettings(), "s1", "s2")
		d.handle(ServerList{Kind: ListChanges, Servers: []ServerEntry{{Name: "s1", Zone: "a", State: state}}})
		for id := uint64(1); id < 20; id++ {
			d.arrive(id, 0, unlimitedPlan, 1)
		}
		for _, s := range actionsOf[Send](d.takeActions()) {
			if s.Server != "s2" {
				t.Fatalf("a request is sent to %s, want s2", s.Server)
			}
		}
	}
	d := newDriver(t, testSettings(), "s1", "s2")
	d.handle(ServerList{Kind: ListFull, Servers: []ServerEntry{{Name: "s2", Zone: "a"}}}) // s1 is not listed: it is gone
	for id := uint64(1); id < 20; id++ {
		d.arrive(id, 0, unlimitedPlan, 1)
	}
	for _, s := range actionsOf[Send](d.takeActions()) {
		if s.Server != "s2" {
			t.Fatalf("a request is sent to %s, want s2", s.Server)
		}
	}
}

// runLoad makes requests arrive at even intervals, with ids from first on, each answered after 50 ms, and returns
// how many each server was sent.
func (d *driver) runLoad(first uint64, requests int, interval time.Duration) map[string]int {
	sent := map[string]int{}
	type openAttempt struct {
		endsAt time.Duration
		send   Send
	}
	var open []openAttempt
	for id := first; id < first+uint64(requests); id++ {
		d.advance(interval)
		for len(open) > 0 && open[0].endsAt <= d.now {
			d.endAttempt(open[0].send.ID, 0, open[0].send.Server, OK)
			open = open[1:]
		}
		d.arrive(id, 0, unlimitedPlan, 1)
		for _, s := range actionsOf[Send](d.takeActions()) {
			sent[s.Server]++
			open = append(open, openAttempt{d.now + 50*ms, s})
		}
	}
	for _, o := range open {
		d.now = max(d.now, o.endsAt)
		d.endAttempt(o.send.ID, 0, o.send.Server, OK)
	}
	return sent
}

func TestColdServerStartsSlowly(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3")
	d.runLoad(1, 200, 10*ms)
	d.handle(ServerList{Kind: ListChanges, Servers: []ServerEntry{{Name: "s1", Zone: "a", Boot: d.now}}})
	sent := d.runLoad(1000, 100, 10*ms)
	// A warm server's share is a third. A cold one has 0.2 to 0.3 of that in its first second.
	if warm := (sent["s2"] + sent["s3"]) / 2; sent["s1"] == 0 || 2*sent["s1"] > warm {
		t.Fatalf("sent %v", sent)
	}
	d.advance(d.gateway.settings.WarmUpTime)
	sent = d.runLoad(5000, 300, 10*ms)
	if sent["s1"] < 50 {
		t.Fatalf("the server gets too few requests after its warm-up: %v", sent)
	}
}

// The share of a cold server must hold as a sum over many gateways that each get a few requests, also when all
// gateways have just started, and when no server is warm.
func TestColdServerIsNotOverloadedByAllGateways(t *testing.T) {
	for _, coldServers := range []int{1, 3, 10} {
		s := testSettings()
		s.Gateways = 100
		toCold, sent := 0, 0
		for index := range s.Gateways {
			g, err := New(s, uint64(index))
			if err != nil {
				t.Fatal(err)
			}
			d := &driver{t: t, gateway: g, now: time.Hour}
			list := ServerList{Kind: ListCached}
			for i := range 10 {
				e := ServerEntry{Name: fmt.Sprintf("s%d", i), Zone: "a", Size: 1}
				if i < coldServers {
					e.Boot = d.now
				}
				list.Servers = append(list.Servers, e)
			}
			d.handle(list)
			for id := uint64(1); id <= 5; id++ {
				d.advance(200 * ms)
				d.arrive(id, 0, unlimitedPlan, 1)
				for i := 0; i < len(d.actions); i++ {
					if p, ok := d.actions[i].(Probe); ok {
						d.handle(ProbeEnded{Server: p.Server, Took: ms})
					}
				}
				for _, a := range actionsOf[Send](d.takeActions()) {
					if sent++; a.Server < fmt.Sprintf("s%d", coldServers) {
						toCold++
					}
					d.endAttempt(a.ID, 0, a.Server, OK)
				}
			}
		}
		fair := float64(500*coldServers) / 10 * s.InitialCapacity
		// Even if a fair share is the full capacity of a warm server, this is less than overloads a cold one.
		if toCold == 0 || float64(toCold) > s.ColdOverloadFactor*fair {
			t.Errorf("%d cold servers: %d of %d attempts went to them, a fair share is %.0f", coldServers, toCold, sent, fair)
		}
	}
}

func TestSilentServerIsAvoidedBeforeAnyTimeout(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3")
	sentToSilent := 0
	for id := uint64(1); id < 400; id++ {
		d.advance(10 * ms)
		d.arrive(id, 0, unlimitedPlan, 1)
		for _, s := range actionsOf[Send](d.takeActions()) {
			if s.Server == "s1" {
				if id > 100 {
					sentToSilent++
				}
				continue // it accepts requests and does not answer
			}
			d.endAttempt(s.ID, 0, s.Server, OK)
		}
	}
	if sentToSilent > 2 {
		t.Fatalf("%d more attempts went to a server that does not answer, want at most 2", sentToSilent)
	}
}

// Where every server seems down, the signs are not trusted: one is tried all the same.
func TestRequestIsSentWhenAllServersFail(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	for id := uint64(1); id < 30; id++ {
		d.advance(20 * ms)
		d.arrive(id, 0, unlimitedPlan, 1)
		for n, sent := 0, actionsOf[Send](d.takeActions()); len(sent) > 0; n, sent = n+1, actionsOf[Send](d.takeActions()) {
			d.endAttempt(id, n, sent[0].Server, Unreachable)
		}
	}
	d.advance(10 * ms)
	d.arrive(100, 0, unlimitedPlan, 1)
	onlyAction[Send](d)
}

func TestEjectedServerIsUsedAgain(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3")
	d.runLoad(1, 100, 10*ms)
	d.gateway.eject(d.gateway.servers["s1"])
	if sent := d.runLoad(1000, 20, 10*ms); sent["s1"] != 0 {
		t.Fatalf("an ejected server gets requests: %v", sent)
	}
	d.advance(minEjection)
	if sent := d.runLoad(2000, 100, 10*ms); sent["s1"] == 0 {
		t.Fatal("the server gets no requests after its ejection")
	}
}

// A server that rejects some requests answers the others as fast as any server, and holds fewer of them: by
// latency alone it would get the most. Each rejection costs an attempt and the time until it arrives.
func TestServerThatRejectsGetsFewerRequests(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	sent := map[string]int{}
	for id := uint64(1); id <= 200; id++ {
		d.arrive(id, 0, unlimitedPlan, 1)
		for n := 0; ; n++ {
			sends := actionsOf[Send](d.takeActions())
			if len(sends) == 0 {
				break
			}
			if sent[sends[0].Server]++; sends[0].Server == "s1" && sent["s1"]%2 == 0 {
				d.advance(20 * ms)
				d.endAttempt(id, n, "s1", Full)
				continue
			}
			d.advance(10 * ms)
			d.endAttempt(id, n, sends[0].Server, OK)
		}
	}
	if sent["s1"] == 0 || sent["s1"] > 50 {
		t.Fatalf("sent %v", sent)
	}
	// The reject share of a server that gets no requests is forgotten.
	if s := d.gateway.servers["s1"]; s.rejectShare.Value == 0 || s.rejectShareAt(d.now+time.Minute) > 0.01 {
		t.Fatalf("the reject share is not forgotten, or was never learned: %v", s.rejectShare)
	}
}

// A server that fails at once looks like the fastest of all. Errors in a row must eject it. A single error among
// good answers must not, as the next good answer clears the count.
func TestServerWithConsecutiveErrorsIsEjected(t *testing.T) {
	for errorInterval, maxSent := range map[uint64]int{1: 20, 4: 1000} { // one in so many answers of s1 is an error
		d := newDriver(t, testSettings(), "s1", "s2")
		sent := map[string]int{}
		for id := uint64(1); id <= 200; id++ {
			d.arrive(id, 2, unlimitedPlan, 1) // an unsafe request, which is not repeated
			send := onlyAction[Send](d)
			sent[send.Server]++
			d.advance(10 * ms)
			if send.Server == "s1" && uint64(sent["s1"])%errorInterval == 0 {
				d.handle(AttemptEnded{ID: id, Server: "s1", Outcome: Errored, Took: ms})
				d.takeActions()
				continue
			}
			d.endAttempt(id, 0, send.Server, OK)
			d.takeActions()
		}
		if sent["s1"] > maxSent || maxSent == 1000 && sent["s1"] < 60 {
			t.Fatalf("one answer in %d is an error: sent %v", errorInterval, sent)
		}
	}
}

// One lost connection, or one answer that can't be read, may come from any server. Two in a row mean that the
// server is gone.
func TestOneBrokenConnectionDoesNotEject(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	for id := uint64(1); id <= 2; id++ {
		d.arrive(id, 2, unlimitedPlan, 1)
		onlyAction[Send](d)
		d.endAttempt(id, 0, "s1", Broken)
		d.takeActions()
		if isSuspect := d.gateway.isSuspect(d.gateway.servers["s1"]); isSuspect != (id == 2) {
			t.Fatalf("after %d broken connections: suspect %v", id, isSuspect)
		}
	}
}
