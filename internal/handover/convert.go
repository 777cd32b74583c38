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

func decay(v admission.DecayingCount) *pb.Decay { return &pb.Decay{N: v.Count, At: int64(v.At)} }

func fromDecay(v *pb.Decay) admission.DecayingCount {
	return admission.DecayingCount{Count: v.GetN(), At: d(v.GetAt())}
}

func seen(v admission.DemandState) *pb.Seen {
	return &pb.Seen{Asked: v.Demand, Span: v.Observed, At: int64(v.At)}
}

func fromSeen(v *pb.Seen) admission.DemandState {
	return admission.DemandState{Demand: v.GetAsked(), Observed: v.GetSpan(), At: d(v.GetAt())}
}

func ledger(v admission.WindowCounterState) *pb.Ledger {
	if v == (admission.WindowCounterState{}) {
		return nil
	}
	return &pb.Ledger{Span: int64(v.Length), Phase: int64(v.Phase), Window: v.Window, Seen: v.LastTotal, SeenAt: int64(v.LastTotalAt),
		Fold: v.Pending}
}

func fromLedger(v *pb.Ledger) admission.WindowCounterState {
	return admission.WindowCounterState{Length: d(v.GetSpan()), Phase: d(v.GetPhase()), Window: v.GetWindow(), LastTotal: v.GetSeen(),
		LastTotalAt: d(v.GetSeenAt()), Pending: v.GetFold()}
}

// Customer makes a message of a customer.
func Customer(c admission.CustomerState) *pb.Customer {
	return &pb.Customer{Id: c.ID, Plan: c.Plan, Doors: c.Gateways, Rate: ledger(c.QuotaCounter), Gauge: ledger(c.InFlightCounter),
		Demand: ledger(c.DemandCounter), Press: seen(c.ObservedDemand), Level: c.QuotaTokens, Hard: c.CeilingTokens, Take: c.OthersRate, Taken: c.PredictedUsage,
		Used: int64(c.LastSeen), LevelAt: int64(c.QuotaTokensAt), HardAt: int64(c.CeilingTokensAt), Out: int64(c.InFlight), Reg: c.InFlightCounted, Fit: c.UnderCapShare}
}

// FromCustomer is its inverse.
func FromCustomer(c *pb.Customer) admission.CustomerState {
	return admission.CustomerState{ID: c.GetId(), Plan: c.GetPlan(), Gateways: c.GetDoors(), QuotaCounter: fromLedger(c.GetRate()),
		InFlightCounter: fromLedger(c.GetGauge()), DemandCounter: fromLedger(c.GetDemand()), ObservedDemand: fromSeen(c.GetPress()),
		QuotaTokens: c.GetLevel(), CeilingTokens: c.GetHard(), OthersRate: c.GetTake(), PredictedUsage: c.GetTaken(), LastSeen: d(c.GetUsed()),
		QuotaTokensAt: d(c.GetLevelAt()), CeilingTokensAt: d(c.GetHardAt()), InFlight: int(c.GetOut()), InFlightCounted: c.GetReg(), UnderCapShare: c.GetFit()}
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
	g := &pb.Gateway{Now: int64(s.Now), Began: int64(s.CeilingStart), Started: s.IsStarted, Random: s.Random, Logs: int64(s.LogLines),
		Failures: int64(s.CounterFailures), Open: s.IsBreakerOpen, NextProbe: int64(s.NextCounterProbe), AnsweredAt: int64(s.CounterAnsweredAt),
		Ease: int64(s.CounterBaseline), CallRate: s.CallsPerRequest, AskShare: s.QueryShare, Asked: s.QueryShareAverage, HoldAt: int64(s.RecheckAt),
		Budget: s.RetryBudget, Served: decay(s.Answers), Unheard: s.TimeoutShare, Usual: s.MeanLatency, OutFor: s.MeanTimeInFlight, Admit: s.AdmitShare,
		Held: s.Held, LiveAttempts: s.LiveAttempts, Short: s.TopClassShortage,
		ShortAt: int64(s.TopClassShortageAt)}
	for _, c := range s.Classes {
		g.Classes = append(g.Classes, &pb.Class{Name: c.Name, Took: c.Latency, Units: c.Units, Doubted: int64(c.DoubtedAt),
			Came: c.Frequency})
	}
	for _, p := range s.Plans {
		g.Plans = append(g.Plans, &pb.Plan{Name: p.Name, Press: seen(p.Demand)})
	}
	for _, h := range s.Servers {
		m := &pb.Server{Entry: host(h.Entry, ""), ColdAt: int64(h.StartedAt), Resp: h.RelativeLatency, Heard: int64(h.LastResponseAt),
			Ejected: int64(h.EjectedUntil), Bad: int64(h.Failures), Errors: int64(h.Errors), Broken: int64(h.ConnectionFailures), Turned: h.RejectShare,
			TurnedAt: int64(h.RejectShareAt), TurnTook: h.RejectLatency, Thru: decay(h.Throughput)}
		for _, at := range h.Outstanding {
			m.Out = append(m.Out, int64(at))
		}
		g.Servers = append(g.Servers, m)
	}
	for _, r := range s.Requests {
		m := &pb.Request{Id: r.ID, Class: r.Class, Customer: r.Customer, HasCustomer: r.HasCustomer, Units: r.Units,
			At: int64(r.ArrivedAt), Deadline: int64(r.Deadline), Due: int64(r.Due), InRate: r.QuotaCounted, InGauge: r.InFlightCounted,
			Drawn: r.TokensTaken, RateWindow: r.QuotaWindow, Lot: r.SlowStartSample, Over: r.IsOverQuota, Sent: r.WasSent, Done: r.IsDone, Maybe: r.PriorServer,
			MaybeZone: r.PriorZone, MaybeCell: int64(r.PriorCell), HasMaybe: r.HasPrior, MaybeAt: int64(r.PriorSentAt), Plan: r.Plan}
		for _, t := range r.Attempts {
			m.Tries = append(m.Tries, &pb.Attempt{Server: t.Server, At: int64(t.SentAt), Live: t.IsLive})
		}
		g.Requests = append(g.Requests, m)
	}
	for _, c := range s.Calls {
		g.Calls = append(g.Calls, &pb.Call{Name: c.Name, Customer: c.Customer, Ledger: int64(c.Counter), Request: c.Request,
			HasRequest: c.HasRequest, Window: c.Window, By: c.Delta, Own: c.RequestDelta, RequestTurn: int64(c.RequestIndex), Plan: c.Plan})
	}
	return g
}

// FromGateway is its inverse.
func FromGateway(g *pb.Gateway) admission.State {
	s := admission.State{Now: d(g.GetNow()), CeilingStart: d(g.GetBegan()), IsStarted: g.GetStarted(), Random: g.GetRandom(),
		LogLines: int(g.GetLogs()), CounterFailures: int(g.GetFailures()), IsBreakerOpen: g.GetOpen(), NextCounterProbe: d(g.GetNextProbe()),
		CounterAnsweredAt: d(g.GetAnsweredAt()), CounterBaseline: d(g.GetEase()), CallsPerRequest: g.GetCallRate(), QueryShare: g.GetAskShare(),
		QueryShareAverage: g.GetAsked(), RecheckAt: d(g.GetHoldAt()), RetryBudget: g.GetBudget(), Answers: fromDecay(g.GetServed()),
		TimeoutShare: g.GetUnheard(), MeanLatency: g.GetUsual(), MeanTimeInFlight: g.GetOutFor(), AdmitShare: g.GetAdmit(), Held: g.GetHeld(),
		LiveAttempts: g.GetLiveAttempts(), TopClassShortage: g.GetShort(), TopClassShortageAt: d(g.GetShortAt())}
	for _, c := range g.GetClasses() {
		s.Classes = append(s.Classes, admission.ClassState{Name: c.GetName(), Latency: c.GetTook(), Units: c.GetUnits(),
			DoubtedAt: d(c.GetDoubted()), Frequency: c.GetCame()})
	}
	for _, p := range g.GetPlans() {
		s.Plans = append(s.Plans, admission.PlanState{Name: p.GetName(), Demand: fromSeen(p.GetPress())})
	}
	for _, m := range g.GetServers() {
		h := admission.ServerHealth{Entry: fromHost(m.GetEntry()), StartedAt: d(m.GetColdAt()), RelativeLatency: m.GetResp(),
			LastResponseAt: d(m.GetHeard()), EjectedUntil: d(m.GetEjected()), Failures: int(m.GetBad()), Errors: int(m.GetErrors()),
			ConnectionFailures: int(m.GetBroken()), RejectShare: m.GetTurned(), RejectShareAt: d(m.GetTurnedAt()), RejectLatency: m.GetTurnTook(),
			Throughput: fromDecay(m.GetThru())}
		for _, at := range m.GetOut() {
			h.Outstanding = append(h.Outstanding, d(at))
		}
		s.Servers = append(s.Servers, h)
	}
	for _, m := range g.GetRequests() {
		r := admission.RequestState{ID: m.GetId(), Class: m.GetClass(), Customer: m.GetCustomer(),
			HasCustomer: m.GetHasCustomer(), Units: m.GetUnits(), ArrivedAt: d(m.GetAt()), Deadline: d(m.GetDeadline()),
			Due: d(m.GetDue()), QuotaCounted: m.GetInRate(), InFlightCounted: m.GetInGauge(), TokensTaken: m.GetDrawn(),
			QuotaWindow: m.GetRateWindow(), SlowStartSample: m.GetLot(), IsOverQuota: m.GetOver(), WasSent: m.GetSent(), IsDone: m.GetDone(),
			PriorServer: m.GetMaybe(), PriorZone: m.GetMaybeZone(), PriorCell: int(m.GetMaybeCell()), HasPrior: m.GetHasMaybe(),
			PriorSentAt: d(m.GetMaybeAt()), Plan: m.GetPlan()}
		for _, t := range m.GetTries() {
			r.Attempts = append(r.Attempts, admission.AttemptState{Server: t.GetServer(), SentAt: d(t.GetAt()), IsLive: t.GetLive()})
		}
		s.Requests = append(s.Requests, r)
	}
	for _, m := range g.GetCalls() {
		s.Calls = append(s.Calls, admission.CallState{Name: m.GetName(), Customer: m.GetCustomer(),
			Counter: int(m.GetLedger()), Request: m.GetRequest(), HasRequest: m.GetHasRequest(), Window: m.GetWindow(),
			Delta: m.GetBy(), RequestDelta: m.GetOwn(), RequestIndex: int(m.GetRequestTurn()), Plan: m.GetPlan()})
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
func Client(s downstream.ConnState) *pb.ClientConnection {
	p := s.Parser
	m := &pb.Parser{Buffered: p.Buffered, InBody: p.InBody, Framing: int32(p.Framing), Left: int64(p.BytesLeft),
		Chunk: int32(p.ChunkState), Body: p.Body, Trail: int64(p.TrailerBytes), Method: p.Method, Target: p.Target, Close: p.Close,
		Continues: p.ExpectsContinue, Scanned: int64(p.Scanned), HasStart: p.HasStartLine}
	for _, h := range p.Headers {
		m.Headers = append(m.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	return &pb.ClientConnection{Listener: s.ListenerAddress, Out: s.Unsent, Since: int64(s.PhaseSince), Opened: int64(s.OpenedAt),
		Served: s.WasServed, Parser: m}
}

// FromClient is its inverse.
func FromClient(m *pb.ClientConnection) downstream.ConnState {
	p := m.GetParser()
	s := downstream.ConnState{ListenerAddress: m.GetListener(), Unsent: m.GetOut(), PhaseSince: d(m.GetSince()), OpenedAt: d(m.GetOpened()),
		WasServed: m.GetServed(), Parser: http1.RequestParserState{Buffered: p.GetBuffered(), InBody: p.GetInBody(),
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
