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

// Each Encode function turns state of another package into a message, and the Decode function of the same name is its
// inverse. convert_test.go checks that no field is lost on the way. Times and durations are nanoseconds in messages.

// duration shortens the conversions from the messages' nanoseconds.
type duration = time.Duration

// encodeDecayingCount makes a message of an exponentially decaying count.
func encodeDecayingCount(v admission.DecayingCount) *pb.Decay {
	return &pb.Decay{N: v.Count, At: int64(v.At)}
}

// decodeDecayingCount is the inverse of encodeDecayingCount.
func decodeDecayingCount(v *pb.Decay) admission.DecayingCount {
	return admission.DecayingCount{Count: v.GetN(), At: duration(v.GetAt())}
}

// encodeDemand makes a message of the observed demand of a customer or a plan.
func encodeDemand(v admission.DemandState) *pb.Seen {
	return &pb.Seen{Asked: v.Demand, Span: v.Observed, At: int64(v.At)}
}

// decodeDemand is the inverse of encodeDemand.
func decodeDemand(v *pb.Seen) admission.DemandState {
	return admission.DemandState{Demand: v.GetAsked(), Observed: v.GetSpan(), At: duration(v.GetAt())}
}

// encodeWindowCounter makes a message of a window on the shared counter, nil for the zero state.
func encodeWindowCounter(v admission.WindowCounterState) *pb.Ledger {
	if v == (admission.WindowCounterState{}) {
		return nil
	}
	return &pb.Ledger{
		Span:   int64(v.Length),
		Phase:  int64(v.Phase),
		Window: v.Window,
		Seen:   v.LastTotal,
		SeenAt: int64(v.LastTotalAt),
		Fold:   v.Pending}
}

// decodeWindowCounter is the inverse of encodeWindowCounter.
func decodeWindowCounter(v *pb.Ledger) admission.WindowCounterState {
	return admission.WindowCounterState{
		Length:      duration(v.GetSpan()),
		Phase:       duration(v.GetPhase()),
		Window:      v.GetWindow(),
		LastTotal:   v.GetSeen(),
		LastTotalAt: duration(v.GetSeenAt()),
		Pending:     v.GetFold()}
}

// EncodeCustomer makes a message of the decision module's state of one customer.
func EncodeCustomer(c admission.CustomerState) *pb.Customer {
	return &pb.Customer{
		Id:      c.ID,
		Plan:    c.Plan,
		Doors:   c.Gateways,
		Rate:    encodeWindowCounter(c.QuotaCounter),
		Gauge:   encodeWindowCounter(c.InFlightCounter),
		Demand:  encodeWindowCounter(c.DemandCounter),
		Press:   encodeDemand(c.ObservedDemand),
		Level:   c.QuotaTokens,
		Hard:    c.CeilingTokens,
		Take:    c.OthersRate,
		Taken:   c.PredictedUsage,
		Used:    int64(c.LastSeen),
		LevelAt: int64(c.QuotaTokensAt),
		HardAt:  int64(c.CeilingTokensAt),
		Out:     int64(c.InFlight),
		Reg:     c.InFlightCounted,
		Fit:     c.UnderCapShare}
}

// DecodeCustomer is the inverse of EncodeCustomer.
func DecodeCustomer(c *pb.Customer) admission.CustomerState {
	return admission.CustomerState{
		ID:              c.GetId(),
		Plan:            c.GetPlan(),
		Gateways:        c.GetDoors(),
		QuotaCounter:    decodeWindowCounter(c.GetRate()),
		InFlightCounter: decodeWindowCounter(c.GetGauge()),
		DemandCounter:   decodeWindowCounter(c.GetDemand()),
		ObservedDemand:  decodeDemand(c.GetPress()),
		QuotaTokens:     c.GetLevel(),
		CeilingTokens:   c.GetHard(),
		OthersRate:      c.GetTake(),
		PredictedUsage:  c.GetTaken(),
		LastSeen:        duration(c.GetUsed()),
		QuotaTokensAt:   duration(c.GetLevelAt()),
		CeilingTokensAt: duration(c.GetHardAt()),
		InFlight:        int(c.GetOut()),
		InFlightCounted: c.GetReg(),
		UnderCapShare:   c.GetFit()}
}

// encodeHost makes a message of a host of the cluster. addr may be empty.
func encodeHost(e admission.ServerEntry, addr string) *pb.Host {
	return &pb.Host{
		Name:    e.Name,
		Address: addr,
		Zone:    e.Zone,
		Kind:    e.Kind,
		Cell:    int64(e.Cell),
		State:   int32(e.State),
		Size:    e.Size,
		Boot:    int64(e.Boot)}
}

// decodeHost is the inverse of encodeHost, without the address.
func decodeHost(h *pb.Host) admission.ServerEntry {
	return admission.ServerEntry{
		Name:  h.GetName(),
		Zone:  h.GetZone(),
		Kind:  h.GetKind(),
		Cell:  int(h.GetCell()),
		State: admission.ServerState(h.GetState()),
		Size:  h.GetSize(),
		Boot:  duration(h.GetBoot())}
}

// EncodeGateway makes a message of the decision module's state without its customers.
func EncodeGateway(s admission.State) *pb.Gateway {
	g := &pb.Gateway{
		Now:          int64(s.Now),
		Began:        int64(s.CeilingStart),
		Started:      s.IsStarted,
		Random:       s.Random,
		Logs:         int64(s.LogLines),
		Failures:     int64(s.CounterFailures),
		Open:         s.IsBreakerOpen,
		NextProbe:    int64(s.NextCounterProbe),
		AnsweredAt:   int64(s.CounterAnsweredAt),
		Ease:         int64(s.CounterBaseline),
		CallRate:     s.CallsPerRequest,
		AskShare:     s.QueryShare,
		Asked:        s.QueryShareAverage,
		HoldAt:       int64(s.RecheckAt),
		Budget:       s.RetryBudget,
		Served:       encodeDecayingCount(s.Answers),
		Unheard:      s.TimeoutShare,
		Usual:        s.MeanLatency,
		OutFor:       s.MeanTimeInFlight,
		Admit:        s.AdmitShare,
		Held:         s.Held,
		LiveAttempts: s.LiveAttempts,
		Short:        s.TopClassShortage,
		ShortAt:      int64(s.TopClassShortageAt)}
	for _, c := range s.Classes {
		g.Classes = append(g.Classes, &pb.Class{
			Name:    c.Name,
			Took:    c.Latency,
			Units:   c.Units,
			Doubted: int64(c.DoubtedAt),
			Came:    c.Frequency})
	}
	for _, p := range s.Plans {
		g.Plans = append(g.Plans, &pb.Plan{Name: p.Name, Press: encodeDemand(p.Demand)})
	}
	for _, h := range s.Servers {
		m := &pb.Server{
			Entry:    encodeHost(h.Entry, ""),
			ColdAt:   int64(h.StartedAt),
			Resp:     h.RelativeLatency,
			Heard:    int64(h.LastResponseAt),
			Ejected:  int64(h.EjectedUntil),
			Bad:      int64(h.Failures),
			Errors:   int64(h.Errors),
			Broken:   int64(h.ConnectionFailures),
			Turned:   h.RejectShare,
			TurnedAt: int64(h.RejectShareAt),
			TurnTook: h.RejectLatency,
			Thru:     encodeDecayingCount(h.Throughput)}
		for _, at := range h.Outstanding {
			m.Out = append(m.Out, int64(at))
		}
		g.Servers = append(g.Servers, m)
	}
	for _, r := range s.Requests {
		m := &pb.Request{
			Id:          r.ID,
			Class:       r.Class,
			Customer:    r.Customer,
			HasCustomer: r.HasCustomer,
			Units:       r.Units,
			At:          int64(r.ArrivedAt),
			Deadline:    int64(r.Deadline),
			Due:         int64(r.Due),
			InRate:      r.QuotaCounted,
			InGauge:     r.InFlightCounted,
			Drawn:       r.TokensTaken,
			RateWindow:  r.QuotaWindow,
			Lot:         r.SlowStartSample,
			Over:        r.IsOverQuota,
			Sent:        r.WasSent,
			Done:        r.IsDone,
			Maybe:       r.PriorServer,
			MaybeZone:   r.PriorZone,
			MaybeCell:   int64(r.PriorCell),
			HasMaybe:    r.HasPrior,
			MaybeAt:     int64(r.PriorSentAt),
			Plan:        r.Plan}
		for _, t := range r.Attempts {
			m.Tries = append(m.Tries, &pb.Attempt{Server: t.Server, At: int64(t.SentAt), Live: t.IsLive})
		}
		g.Requests = append(g.Requests, m)
	}
	for _, c := range s.Calls {
		g.Calls = append(g.Calls, &pb.Call{
			Name:        c.Name,
			Customer:    c.Customer,
			Ledger:      int64(c.Counter),
			Request:     c.Request,
			HasRequest:  c.HasRequest,
			Window:      c.Window,
			By:          c.Delta,
			Own:         c.RequestDelta,
			RequestTurn: int64(c.RequestIndex),
			Plan:        c.Plan})
	}
	return g
}

// DecodeGateway is the inverse of EncodeGateway.
func DecodeGateway(g *pb.Gateway) admission.State {
	s := admission.State{
		Now:                duration(g.GetNow()),
		CeilingStart:       duration(g.GetBegan()),
		IsStarted:          g.GetStarted(),
		Random:             g.GetRandom(),
		LogLines:           int(g.GetLogs()),
		CounterFailures:    int(g.GetFailures()),
		IsBreakerOpen:      g.GetOpen(),
		NextCounterProbe:   duration(g.GetNextProbe()),
		CounterAnsweredAt:  duration(g.GetAnsweredAt()),
		CounterBaseline:    duration(g.GetEase()),
		CallsPerRequest:    g.GetCallRate(),
		QueryShare:         g.GetAskShare(),
		QueryShareAverage:  g.GetAsked(),
		RecheckAt:          duration(g.GetHoldAt()),
		RetryBudget:        g.GetBudget(),
		Answers:            decodeDecayingCount(g.GetServed()),
		TimeoutShare:       g.GetUnheard(),
		MeanLatency:        g.GetUsual(),
		MeanTimeInFlight:   g.GetOutFor(),
		AdmitShare:         g.GetAdmit(),
		Held:               g.GetHeld(),
		LiveAttempts:       g.GetLiveAttempts(),
		TopClassShortage:   g.GetShort(),
		TopClassShortageAt: duration(g.GetShortAt())}
	for _, c := range g.GetClasses() {
		s.Classes = append(s.Classes, admission.ClassState{
			Name:      c.GetName(),
			Latency:   c.GetTook(),
			Units:     c.GetUnits(),
			DoubtedAt: duration(c.GetDoubted()),
			Frequency: c.GetCame()})
	}
	for _, p := range g.GetPlans() {
		s.Plans = append(s.Plans, admission.PlanState{Name: p.GetName(), Demand: decodeDemand(p.GetPress())})
	}
	for _, m := range g.GetServers() {
		h := admission.ServerHealth{
			Entry:              decodeHost(m.GetEntry()),
			StartedAt:          duration(m.GetColdAt()),
			RelativeLatency:    m.GetResp(),
			LastResponseAt:     duration(m.GetHeard()),
			EjectedUntil:       duration(m.GetEjected()),
			Failures:           int(m.GetBad()),
			Errors:             int(m.GetErrors()),
			ConnectionFailures: int(m.GetBroken()),
			RejectShare:        m.GetTurned(),
			RejectShareAt:      duration(m.GetTurnedAt()),
			RejectLatency:      m.GetTurnTook(),
			Throughput:         decodeDecayingCount(m.GetThru())}
		for _, at := range m.GetOut() {
			h.Outstanding = append(h.Outstanding, duration(at))
		}
		s.Servers = append(s.Servers, h)
	}
	for _, m := range g.GetRequests() {
		r := admission.RequestState{
			ID:              m.GetId(),
			Class:           m.GetClass(),
			Customer:        m.GetCustomer(),
			HasCustomer:     m.GetHasCustomer(),
			Units:           m.GetUnits(),
			ArrivedAt:       duration(m.GetAt()),
			Deadline:        duration(m.GetDeadline()),
			Due:             duration(m.GetDue()),
			QuotaCounted:    m.GetInRate(),
			InFlightCounted: m.GetInGauge(),
			TokensTaken:     m.GetDrawn(),
			QuotaWindow:     m.GetRateWindow(),
			SlowStartSample: m.GetLot(),
			IsOverQuota:     m.GetOver(),
			WasSent:         m.GetSent(),
			IsDone:          m.GetDone(),
			PriorServer:     m.GetMaybe(),
			PriorZone:       m.GetMaybeZone(),
			PriorCell:       int(m.GetMaybeCell()),
			HasPrior:        m.GetHasMaybe(),
			PriorSentAt:     duration(m.GetMaybeAt()),
			Plan:            m.GetPlan()}
		for _, t := range m.GetTries() {
			r.Attempts = append(r.Attempts, admission.AttemptState{
				Server: t.GetServer(),
				SentAt: duration(t.GetAt()),
				IsLive: t.GetLive()})
		}
		s.Requests = append(s.Requests, r)
	}
	for _, m := range g.GetCalls() {
		s.Calls = append(s.Calls, admission.CallState{
			Name:         m.GetName(),
			Customer:     m.GetCustomer(),
			Counter:      int(m.GetLedger()),
			Request:      m.GetRequest(),
			HasRequest:   m.GetHasRequest(),
			Window:       m.GetWindow(),
			Delta:        m.GetBy(),
			RequestDelta: m.GetOwn(),
			RequestIndex: int(m.GetRequestTurn()),
			Plan:         m.GetPlan()})
	}
	return s
}

// EncodeStreams makes messages of the core's open streams and idempotency keys. The snapshot's LastID isn't in them.
func EncodeStreams(snapshot core.Snapshot) (streams []*pb.Stream, keys []*pb.Key) {
	for _, s := range snapshot.Streams {
		streams = append(streams, &pb.Stream{Id: s.ID, RequestId: s.RequestID, Key: s.IdempotencyKey})
	}
	for _, k := range snapshot.Keys {
		keys = append(keys, EncodeKey(k))
	}
	return streams, keys
}

// EncodeKey makes a message of the state of an idempotency key.
func EncodeKey(k core.KeyState) *pb.Key {
	return &pb.Key{
		Key:    k.Key,
		Server: k.Host,
		Zone:   k.Zone,
		Cell:   int64(k.Cell),
		At:     int64(k.StartedAt),
		Stream: k.StreamID,
		Until:  int64(k.ExpiresAt)}
}

// DecodeKey is the inverse of EncodeKey.
func DecodeKey(k *pb.Key) core.KeyState {
	return core.KeyState{
		Key:       k.GetKey(),
		Host:      k.GetServer(),
		Zone:      k.GetZone(),
		Cell:      int(k.GetCell()),
		StartedAt: duration(k.GetAt()),
		ExpiresAt: duration(k.GetUntil()),
		StreamID:  k.GetStream()}
}

// DecodeStreams is the inverse of EncodeStreams. It also takes LastID from the message.
func DecodeStreams(s *pb.Snapshot) core.Snapshot {
	o := core.Snapshot{LastID: s.GetLastStream()}
	for _, m := range s.GetStreams() {
		o.Streams = append(o.Streams, core.StreamState{
			ID:             m.GetId(),
			RequestID:      m.GetRequestId(),
			IdempotencyKey: m.GetKey()})
	}
	for _, k := range s.GetKeys() {
		o.Keys = append(o.Keys, DecodeKey(k))
	}
	return o
}

// EncodeHosts makes messages of the cluster's hosts.
func EncodeHosts(l discovery.List) (hosts []*pb.Host) {
	for _, e := range l.Entries {
		hosts = append(hosts, encodeHost(e.ServerEntry, e.Addr))
	}
	return hosts
}

// DecodeHosts is the inverse of EncodeHosts. It also takes the list's version from the message.
func DecodeHosts(s *pb.Snapshot) discovery.List {
	l := discovery.List{Version: s.GetListVersion(), Full: true}
	for _, h := range s.GetHosts() {
		l.Entries = append(l.Entries, discovery.Entry{ServerEntry: decodeHost(h), Addr: h.GetAddress()})
	}
	return l
}

// EncodeClientConn makes a message of the state of a client connection, including its partly read request.
func EncodeClientConn(s downstream.ConnState) *pb.ClientConnection {
	p := s.Parser
	m := &pb.Parser{
		Buffered:  p.Buffered,
		InBody:    p.InBody,
		Framing:   int32(p.Framing),
		Left:      int64(p.BytesLeft),
		Chunk:     int32(p.ChunkState),
		Body:      p.Body,
		Trail:     int64(p.TrailerBytes),
		Method:    p.Method,
		Target:    p.Target,
		Close:     p.Close,
		Continues: p.ExpectsContinue,
		Scanned:   int64(p.Scanned),
		HasStart:  p.HasStartLine}
	for _, h := range p.Headers {
		m.Headers = append(m.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	var arrivals []*pb.Arrival
	for _, a := range s.Arrivals {
		arrivals = append(arrivals, &pb.Arrival{End: a.End, At: int64(a.At)})
	}
	return &pb.ClientConnection{
		Listener: s.ListenerAddress,
		Out:      s.Unsent,
		Since:    int64(s.PhaseSince),
		Opened:   int64(s.OpenedAt),
		Served:   s.WasServed,
		Parser:   m,
		Arrivals: arrivals}
}

// DecodeClientConn is the inverse of EncodeClientConn.
func DecodeClientConn(m *pb.ClientConnection) downstream.ConnState {
	p := m.GetParser()
	s := downstream.ConnState{
		ListenerAddress: m.GetListener(),
		Unsent:          m.GetOut(),
		PhaseSince:      duration(m.GetSince()),
		OpenedAt:        duration(m.GetOpened()),
		WasServed:       m.GetServed(),
		Parser: http1.RequestParserState{
			Buffered:        p.GetBuffered(),
			InBody:          p.GetInBody(),
			Framing:         int(p.GetFraming()),
			BytesLeft:       int(p.GetLeft()),
			ChunkState:      int(p.GetChunk()),
			Body:            p.GetBody(),
			TrailerBytes:    int(p.GetTrail()),
			Method:          p.GetMethod(),
			Target:          p.GetTarget(),
			Close:           p.GetClose(),
			ExpectsContinue: p.GetContinues(),
			Scanned:         int(p.GetScanned()),
			HasStartLine:    p.GetHasStart()}}
	for _, h := range p.GetHeaders() {
		s.Parser.Headers = append(s.Parser.Headers, http1.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	for _, a := range m.GetArrivals() {
		s.Arrivals = append(s.Arrivals, downstream.Arrival{End: a.GetEnd(), At: duration(a.GetAt())})
	}
	return s
}

// EncodeAttemptEnded makes a message of an attempt that ended at the given time of the event loop's clock. The fields Done,
// Billed, Used, Report and NotReplayable aren't in it.
func EncodeAttemptEnded(ev admission.AttemptEnded, at time.Duration) *pb.AttemptEnded {
	return &pb.AttemptEnded{
		Stream:  ev.ID,
		Attempt: int32(ev.Attempt),
		Host:    ev.Server,
		Outcome: int32(ev.Outcome),
		Took:    int64(ev.Took),
		At:      int64(at)}
}

// DecodeAttemptEnded is the inverse of EncodeAttemptEnded. The event only updates the decision module's statistics, so Done
// is always set. An unknown outcome becomes Cancelled.
func DecodeAttemptEnded(m *pb.AttemptEnded) (ev admission.AttemptEnded, at time.Duration) {
	o := admission.Outcome(m.GetOutcome())
	if o < 0 || o >= admission.OutcomeCount {
		o = admission.Cancelled
	}
	return admission.AttemptEnded{
		ID:      m.GetStream(),
		Attempt: int(m.GetAttempt()),
		Server:  m.GetHost(),
		Outcome: o,
		Took:    duration(m.GetTook()),
		Done:    true}, duration(m.GetAt())
}
