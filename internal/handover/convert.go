package handover

import (
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/http1"
)

// Between the parts' own types and the messages. A pair of functions each; convert_test.go holds them to be
// each other's inverse.

type d = time.Duration

func decay(v admission.Decay) *pb.Decay { return &pb.Decay{N: v.N, At: int64(v.At)} }

func fromDecay(v *pb.Decay) admission.Decay { return admission.Decay{N: v.GetN(), At: d(v.GetAt())} }

func seen(v admission.Seen) *pb.Seen {
	return &pb.Seen{Asked: v.Asked, Span: v.Span, At: int64(v.At)}
}

func fromSeen(v *pb.Seen) admission.Seen {
	return admission.Seen{Asked: v.GetAsked(), Span: v.GetSpan(), At: d(v.GetAt())}
}

func ledger(v admission.LedgerState) *pb.Ledger {
	if v == (admission.LedgerState{}) {
		return nil
	}
	return &pb.Ledger{Span: int64(v.Span), Phase: int64(v.Phase), Window: v.Window, Seen: v.Seen, SeenAt: int64(v.SeenAt),
		Fold: v.Fold}
}

func fromLedger(v *pb.Ledger) admission.LedgerState {
	return admission.LedgerState{Span: d(v.GetSpan()), Phase: d(v.GetPhase()), Window: v.GetWindow(), Seen: v.GetSeen(),
		SeenAt: d(v.GetSeenAt()), Fold: v.GetFold()}
}

// Customer makes a message of a customer.
func Customer(c admission.CustomerState) *pb.Customer {
	return &pb.Customer{Id: c.ID, Plan: c.Plan, Doors: c.Doors, Rate: ledger(c.Rate), Gauge: ledger(c.Gauge),
		Demand: ledger(c.Demand), Press: seen(c.Press), Level: c.Level, Hard: c.Hard, Take: c.Take, Taken: c.Taken,
		Used: int64(c.Used), LevelAt: int64(c.LevelAt), HardAt: int64(c.HardAt), Out: int64(c.Out), Reg: c.Reg, Fit: c.Fit}
}

// FromCustomer is its inverse.
func FromCustomer(c *pb.Customer) admission.CustomerState {
	return admission.CustomerState{ID: c.GetId(), Plan: c.GetPlan(), Doors: c.GetDoors(), Rate: fromLedger(c.GetRate()),
		Gauge: fromLedger(c.GetGauge()), Demand: fromLedger(c.GetDemand()), Press: fromSeen(c.GetPress()),
		Level: c.GetLevel(), Hard: c.GetHard(), Take: c.GetTake(), Taken: c.GetTaken(), Used: d(c.GetUsed()),
		LevelAt: d(c.GetLevelAt()), HardAt: d(c.GetHardAt()), Out: int(c.GetOut()), Reg: c.GetReg(), Fit: c.GetFit()}
}

func host(e admission.ServerEntry, addr string) *pb.Host {
	return &pb.Host{Name: e.Name, Address: addr, Zone: e.Zone, Kind: e.Kind, Cell: int64(e.Cell), State: int32(e.State),
		Size: e.Size, Boot: int64(e.Boot)}
}

func fromHost(h *pb.Host) admission.ServerEntry {
	return admission.ServerEntry{Name: h.GetName(), Zone: h.GetZone(), Kind: h.GetKind(), Cell: int(h.GetCell()),
		State: admission.ServerState(h.GetState()), Size: h.GetSize(), Boot: d(h.GetBoot())}
}

// Gateway makes a message of the module's state.
func Gateway(s admission.State) *pb.Gateway {
	g := &pb.Gateway{Now: int64(s.Now), Began: int64(s.Began), Started: s.Started, Random: s.Random, Logs: int64(s.Logs),
		Failures: int64(s.Failures), Open: s.Open, NextProbe: int64(s.NextProbe), AnsweredAt: int64(s.AnsweredAt),
		Ease: int64(s.Ease), CallRate: s.CallRate, AskShare: s.AskShare, Asked: s.Asked, HoldAt: int64(s.HoldAt),
		Budget: s.Budget, Served: decay(s.Served), Unheard: s.Unheard, Usual: s.Usual, OutFor: s.OutFor, Admit: s.Admit,
		Held: s.Held, LiveAttempts: s.LiveAttempts, Short: s.Short,
		ShortAt: int64(s.ShortAt)}
	for _, c := range s.Classes {
		g.Classes = append(g.Classes, &pb.Class{Name: c.Name, Took: c.Took, Units: c.Units, Doubted: int64(c.Doubted),
			Came: c.Came})
	}
	for _, p := range s.Plans {
		g.Plans = append(g.Plans, &pb.Plan{Name: p.Name, Press: seen(p.Press)})
	}
	for _, h := range s.Servers {
		m := &pb.Server{Entry: host(h.Entry, ""), ColdAt: int64(h.ColdAt), Resp: h.Resp, Heard: int64(h.Heard),
			Ejected: int64(h.Ejected), Bad: int64(h.Bad), Errors: int64(h.Errors), Broken: int64(h.Broken), Turned: h.Turned,
			TurnedAt: int64(h.TurnedAt), TurnTook: h.TurnTook, Thru: decay(h.Thru)}
		for _, at := range h.Out {
			m.Out = append(m.Out, int64(at))
		}
		g.Servers = append(g.Servers, m)
	}
	for _, r := range s.Requests {
		m := &pb.Request{Id: r.ID, Class: r.Class, Customer: r.Customer, HasCustomer: r.HasCustomer, Units: r.Units,
			At: int64(r.At), Deadline: int64(r.Deadline), Due: int64(r.Due), InRate: r.InRate, InGauge: r.InGauge,
			Drawn: r.Drawn, RateWindow: r.RateWindow, Lot: r.Lot, Over: r.Over, Sent: r.Sent, Done: r.Done, Maybe: r.Maybe,
			MaybeZone: r.MaybeZone, MaybeCell: int64(r.MaybeCell), HasMaybe: r.HasMaybe, MaybeAt: int64(r.MaybeAt), Plan: r.Plan}
		for _, t := range r.Tries {
			m.Tries = append(m.Tries, &pb.Attempt{Server: t.Server, At: int64(t.At), Live: t.Live})
		}
		g.Requests = append(g.Requests, m)
	}
	for _, c := range s.Calls {
		g.Calls = append(g.Calls, &pb.Call{Name: c.Name, Customer: c.Customer, Ledger: int64(c.Ledger), Request: c.Request,
			HasRequest: c.HasRequest, Window: c.Window, By: c.By, Own: c.Own, RequestTurn: int64(c.RequestTurn), Plan: c.Plan})
	}
	return g
}

// FromGateway is its inverse.
func FromGateway(g *pb.Gateway) admission.State {
	s := admission.State{Now: d(g.GetNow()), Began: d(g.GetBegan()), Started: g.GetStarted(), Random: g.GetRandom(),
		Logs: int(g.GetLogs()), Failures: int(g.GetFailures()), Open: g.GetOpen(), NextProbe: d(g.GetNextProbe()),
		AnsweredAt: d(g.GetAnsweredAt()), Ease: d(g.GetEase()), CallRate: g.GetCallRate(), AskShare: g.GetAskShare(),
		Asked: g.GetAsked(), HoldAt: d(g.GetHoldAt()), Budget: g.GetBudget(), Served: fromDecay(g.GetServed()),
		Unheard: g.GetUnheard(), Usual: g.GetUsual(), OutFor: g.GetOutFor(), Admit: g.GetAdmit(), Held: g.GetHeld(),
		LiveAttempts: g.GetLiveAttempts(), Short: g.GetShort(), ShortAt: d(g.GetShortAt())}
	for _, c := range g.GetClasses() {
		s.Classes = append(s.Classes, admission.ClassState{Name: c.GetName(), Took: c.GetTook(), Units: c.GetUnits(),
			Doubted: d(c.GetDoubted()), Came: c.GetCame()})
	}
	for _, p := range g.GetPlans() {
		s.Plans = append(s.Plans, admission.PlanState{Name: p.GetName(), Press: fromSeen(p.GetPress())})
	}
	for _, m := range g.GetServers() {
		h := admission.ServerHealth{Entry: fromHost(m.GetEntry()), ColdAt: d(m.GetColdAt()), Resp: m.GetResp(),
			Heard: d(m.GetHeard()), Ejected: d(m.GetEjected()), Bad: int(m.GetBad()), Errors: int(m.GetErrors()),
			Broken: int(m.GetBroken()), Turned: m.GetTurned(), TurnedAt: d(m.GetTurnedAt()), TurnTook: m.GetTurnTook(),
			Thru: fromDecay(m.GetThru())}
		for _, at := range m.GetOut() {
			h.Out = append(h.Out, d(at))
		}
		s.Servers = append(s.Servers, h)
	}
	for _, m := range g.GetRequests() {
		r := admission.RequestState{ID: m.GetId(), Class: m.GetClass(), Customer: m.GetCustomer(),
			HasCustomer: m.GetHasCustomer(), Units: m.GetUnits(), At: d(m.GetAt()), Deadline: d(m.GetDeadline()),
			Due: d(m.GetDue()), InRate: m.GetInRate(), InGauge: m.GetInGauge(), Drawn: m.GetDrawn(),
			RateWindow: m.GetRateWindow(), Lot: m.GetLot(), Over: m.GetOver(), Sent: m.GetSent(), Done: m.GetDone(),
			Maybe: m.GetMaybe(), MaybeZone: m.GetMaybeZone(), MaybeCell: int(m.GetMaybeCell()), HasMaybe: m.GetHasMaybe(),
			MaybeAt: d(m.GetMaybeAt()), Plan: m.GetPlan()}
		for _, t := range m.GetTries() {
			r.Tries = append(r.Tries, admission.AttemptState{Server: t.GetServer(), At: d(t.GetAt()), Live: t.GetLive()})
		}
		s.Requests = append(s.Requests, r)
	}
	for _, m := range g.GetCalls() {
		s.Calls = append(s.Calls, admission.CallState{Name: m.GetName(), Customer: m.GetCustomer(),
			Ledger: int(m.GetLedger()), Request: m.GetRequest(), HasRequest: m.GetHasRequest(), Window: m.GetWindow(),
			By: m.GetBy(), Own: m.GetOwn(), RequestTurn: int(m.GetRequestTurn()), Plan: m.GetPlan()})
	}
	return s
}

// Open makes messages of a core's open streams and keys.
func Open(o core.Snapshot) (streams []*pb.Stream, keys []*pb.Key) {
	for _, s := range o.Streams {
		streams = append(streams, &pb.Stream{Id: s.ID, RequestId: s.RequestID, Key: s.IdempotencyKey})
	}
	for _, k := range o.Keys {
		keys = append(keys, &pb.Key{Key: k.Key, Server: k.Host, Zone: k.Zone, Cell: int64(k.Cell), At: int64(k.StartedAt),
			Stream: k.StreamID, Until: int64(k.ExpiresAt)})
	}
	return streams, keys
}

// FromOpen is its inverse.
func FromOpen(s *pb.Snapshot) core.Snapshot {
	o := core.Snapshot{LastID: s.GetLastStream()}
	for _, m := range s.GetStreams() {
		o.Streams = append(o.Streams, core.StreamState{ID: m.GetId(), RequestID: m.GetRequestId(), IdempotencyKey: m.GetKey()})
	}
	for _, k := range s.GetKeys() {
		o.Keys = append(o.Keys, core.KeyState{Key: k.GetKey(), Host: k.GetServer(), Zone: k.GetZone(),
			Cell: int(k.GetCell()), StartedAt: d(k.GetAt()), ExpiresAt: d(k.GetUntil()), StreamID: k.GetStream()})
	}
	return o
}

// Hosts makes messages of the cluster.
func Hosts(l discovery.List) (hosts []*pb.Host) {
	for _, e := range l.Entries {
		hosts = append(hosts, host(e.ServerEntry, e.Addr))
	}
	return hosts
}

// FromHosts is its inverse.
func FromHosts(s *pb.Snapshot) discovery.List {
	l := discovery.List{Version: s.GetListVersion(), Full: true}
	for _, h := range s.GetHosts() {
		l.Entries = append(l.Entries, discovery.Entry{ServerEntry: fromHost(h), Addr: h.GetAddress()})
	}
	return l
}

// Client makes a message of a client connection.
func Client(s downstream.State) *pb.ClientConnection {
	p := s.Parser
	m := &pb.Parser{Buffered: p.Buffered, InBody: p.InBody, Framing: int32(p.Framing), Left: int64(p.BytesLeft),
		Chunk: int32(p.ChunkState), Body: p.Body, Trail: int64(p.TrailerBytes), Method: p.Method, Target: p.Target, Close: p.Close,
		Continues: p.ExpectsContinue, Scanned: int64(p.Scanned), HasStart: p.HasStartLine}
	for _, h := range p.Headers {
		m.Headers = append(m.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	return &pb.ClientConnection{Listener: s.Listener, Out: s.Out, Since: int64(s.Since), Opened: int64(s.Opened),
		Served: s.Served, Parser: m}
}

// FromClient is its inverse.
func FromClient(m *pb.ClientConnection) downstream.State {
	p := m.GetParser()
	s := downstream.State{Listener: m.GetListener(), Out: m.GetOut(), Since: d(m.GetSince()), Opened: d(m.GetOpened()),
		Served: m.GetServed(), Parser: http1.RequestParserState{Buffered: p.GetBuffered(), InBody: p.GetInBody(),
			Framing: int(p.GetFraming()), BytesLeft: int(p.GetLeft()), ChunkState: int(p.GetChunk()), Body: p.GetBody(),
			TrailerBytes: int(p.GetTrail()), Method: p.GetMethod(), Target: p.GetTarget(), Close: p.GetClose(),
			ExpectsContinue: p.GetContinues(), Scanned: int(p.GetScanned()), HasStartLine: p.GetHasStart()}}
	for _, h := range p.GetHeaders() {
		s.Parser.Headers = append(s.Parser.Headers, http1.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return s
}

// Attempt makes a message of an attempt's end.
func Attempt(ev admission.AttemptEnded, at time.Duration) *pb.AttemptEnded {
	return &pb.AttemptEnded{Stream: ev.ID, Attempt: int32(ev.Attempt), Host: ev.Server, Outcome: int32(ev.Outcome),
		Took: int64(ev.Took), At: int64(at)}
}

// FromAttempt is its inverse. It is for the module's books only, so its request counts as finished.
func FromAttempt(m *pb.AttemptEnded) (ev admission.AttemptEnded, at time.Duration) {
	o := admission.Outcome(m.GetOutcome())
	if o < 0 || o >= admission.OutcomeCount {
		o = admission.Cancelled
	}
	return admission.AttemptEnded{ID: m.GetStream(), Attempt: int(m.GetAttempt()), Server: m.GetHost(), Outcome: o,
		Took: d(m.GetTook()), Done: true}, d(m.GetAt())
}
