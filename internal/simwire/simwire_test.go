package simwire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"ferryfront.example/ferryfront/admission"
)

const bornLine = `{"Born":{"gatekeeper":3,"nonce64":18446744073709551615,"params":{"balancers":4,"me":3,"period":4.0,` +
	`"zone":"a","discovery":"ask","unknown":{"x":1},"classes":[{"name":"page","onTime":800.0,"deadline":3000.0,` +
	`"value":1.5,"lateShare":0.2,"effect":"dedup","dedupScope":"cell","repeatWindow":6000.0}],` +
	`"tiersOfService":[{"name":"plus","quotaRate":8.5,"storeSize":36.0,"atOnce":3,"valueFactor":1.3,"hardRate":17,` +
	`"neverOverDepth":72,"hardSlack":7.2}],"extra":{"hasCounter":true,"counterTimeout":80.0,"maxUnits":6,"settles":true},` +
	`"limits":{"maxAttempts":4,"cancelling":true,"probes":true,"mayTell":true,"parallelTries":true,"retryAfter":true,` +
	`"maxRetryAfter":2000.0,"dialTimeout":250.0},"rules":{"answerSlack":16.0,"drainGrace":1000.0,"cold":18000.0,` +
	`"coldFrom":0.18,"fall":1000.0,"tipMultiple":3.0,"askWithin":10000.0},"stats":{"how":"probe","names":["avg_ms"]}}}}`

func born(t *testing.T) *Decoder {
	t.Helper()
	d := NewDecoder()
	if _, err := d.Decode([]byte(bornLine)); err != nil {
		t.Fatal(err)
	}
	return d
}

func TestBorn(t *testing.T) {
	l, err := NewDecoder().Decode([]byte(bornLine))
	if err != nil {
		t.Fatal(err)
	}
	s := l.Settings
	if l.Kind != Born || l.Instance != 3 || l.Seed != 18446744073709551615 || s.Gateways != 4 || s.Index != 3 ||
		s.Tick != 4*time.Millisecond || !s.MustSubscribe || !s.HasCounter || !s.HasBilledUnits || !s.CanHedge ||
		s.CounterTimeout != 80*time.Millisecond || s.WarmUpTime != 18*time.Second || s.InitialCapacity != 0.18 {
		t.Fatalf("%+v", l)
	}
	wantClass := admission.Class{Name: "page", LatencyTarget: 800 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1.5,
		LateWorth: 0.2, Effect: admission.Keyed, Scope: admission.ScopeCell, RepeatWindow: 6 * time.Second}
	wantPlan := admission.Plan{Name: "plus", Rate: 8.5, Burst: 36, MaxInFlight: 3, WorthFactor: 1.3, CeilingRate: 17,
		CeilingBurst: 72, CeilingSlack: 7.2}
	if s.Classes[0] != wantClass || s.Plans[0] != wantPlan {
		t.Fatalf("%+v %+v", s.Classes, s.Plans)
	}
}

func TestEvents(t *testing.T) {
	d := born(t)
	for line, want := range map[string]admission.Event{
		`{"NewRequest":{"gatekeeper":3,"rid":4294967295,"type":"page","plan":"plus","account":4569004829183723,"expiresIn":240.5,"priceUnits":2,"doors":3,"firstDoor":1,"isRetry":true,"write":true,"new":[1]}}`: admission.RequestArrived{
			ID: 4294967295, Customer: 4569004829183723, ExpiresIn: 240500 * time.Microsecond, Units: 2, Gateways: 3,
			FirstGateway: 1, IsRetry: true, IsWrite: true},
		`{"Finished":{"gatekeeper":3,"rid":7,"worker":"w","took":18.5,"billed":3,"ending":"OK","shot":1,"ended":true,"pressure":[1,2]}}`: admission.AttemptEnded{
			ID: 7, Attempt: 1, Server: "w", Outcome: admission.OK, Took: 18500 * time.Microsecond, Done: true, Billed: 3,
			Report: []float64{1, 2}},
		`{"ClientLeft":{"gatekeeper":3,"rid":7}}`:  admission.ClientLeft{ID: 7},
		`{"Ring":{"gatekeeper":3,"nonce":"12"}}`:   admission.TimerFired{Token: 12},
		`{"Ring":{"gatekeeper":3,"nonce":"mine"}}`: nil,
		`{"Total":{"gatekeeper":3,"total":38,"entryName":"n","took":2.15,"ending":"OK"}}`: admission.CounterAnswered{
			Name: "n", Total: 38, Took: 2150 * time.Microsecond},
		`{"Echo":{"gatekeeper":3,"worker":"w","ending":"UNAVAILABLE","took":1}}`: admission.ProbeEnded{
			Server: "w", Took: time.Millisecond, Outcome: admission.Unreachable},
		`{"Mail":{"gatekeeper":3,"src":1,"payload":"6869"}}`: admission.PeerMessage{From: 1, Payload: []byte("hi")},
		`{"Opened":{"gatekeeper":3,"rid":7,"shot":1,"worker":"w","took":1}}`: admission.StreamOpened{
			ID: 7, Attempt: 1, Server: "w", Took: time.Millisecond},
		`{"Update":{"gatekeeper":3,"scope":"D","version":41,"membersList":[{"worker":"w","az":"a","machine":"m","pack":2,"condition":"L","size":1.5,"bootTime":6100.0}]}}`: admission.ServerList{
			Version: 41, Servers: []admission.ServerEntry{{Name: "w", Zone: "a", Kind: "m", Cell: 2,
				State: admission.Draining, Size: 1.5, Boot: 6100 * time.Millisecond}}},
	} {
		l, err := d.Decode([]byte(line))
		if err != nil || l.Instance != 3 || !reflect.DeepEqual(l.Event, want) {
			t.Errorf("%s\n got %#v, %v\nwant %#v", line, l.Event, err, want)
		}
	}
}

func TestMalformedLinesAreNamed(t *testing.T) {
	for line, says := range map[string]string{
		`not json`:                        "malformed line",
		`{}`:                              "one key",
		`{"Tick":{}}`:                     "atTime is missing",
		`{"Tick":{"atTime":"x"}}`:         "not a time",
		`{"Nonsense":{"gatekeeper":3}}`:   "Nonsense: no event known here",
		`{"ClientLeft":{"rid":1}}`:        "gatekeeper is missing",
		`{"ClientLeft":{"gatekeeper":3}}`: "rid is missing",
		`{"ClientLeft":{"gatekeeper":3,"rid":4294967296}}`:                                             "rid",
		`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"other","plan":"plus","expiresIn":1}}`:           "no class",
		`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"page","plan":"other","expiresIn":1}}`:           "no plan",
		`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"page","plan":"plus"}}`:                          "expiresIn",
		`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"page","plan":"plus","expiresIn":1e300}}`:        "not a time",
		`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"page","plan":"plus","expiresIn":1,"doors":-1}}`: "negative",
		`{"Finished":{"gatekeeper":3,"rid":1,"ending":"FINE"}}`:                                        "no outcome",
		`{"Update":{"gatekeeper":3,"scope":"Z"}}`:                                                      "scope",
		`{"Update":{"gatekeeper":3,"scope":"F","membersList":[{"worker":"w","condition":"Q"}]}}`:       "condition",
		`{"Mail":{"gatekeeper":3,"payload":"xyz"}}`:                                                    "payload",
		`{"Born":{"gatekeeper":3}}`:                                                                    "params is missing",
		strings.Replace(bornLine, `"balancers":4,`, ``, 1):                                             "balancers is missing",
		strings.Replace(bornLine, `"discovery":"ask"`, `"discovery":"guess"`, 1):                       "discovery",
		strings.Replace(bornLine, `"effect":"dedup"`, `"effect":"odd"`, 1):                             "effect",
		strings.Replace(bornLine, `18446744073709551615`, `99999999999999999999`, 1):                   "nonce64",
	} {
		_, err := born(t).Decode([]byte(line))
		if err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s\n got %v, want it to say %q", line, err, says)
		}
	}
}

func TestActions(t *testing.T) {
	for want, a := range map[string]admission.Action{
		`{"Send":{"gatekeeper":3,"rid":9,"worker":"w","maxWait":80.5}}`:      admission.Send{ID: 9, Server: "w", Wait: 80500 * time.Microsecond},
		`{"Send":{"gatekeeper":3,"rid":9,"worker":"w"}}`:                     admission.Send{ID: 9, Server: "w"},
		`{"CallOff":{"gatekeeper":3,"rid":9,"shot":1}}`:                      admission.Cancel{ID: 9, Attempt: 1},
		`{"TurnAway":{"gatekeeper":3,"rid":9,"comeBack":5}}`:                 admission.Refuse{ID: 9, RetryAfter: 5 * time.Millisecond},
		`{"TurnAway":{"gatekeeper":3,"rid":9}}`:                              admission.Refuse{ID: 9},
		`{"RespondError":{"gatekeeper":3,"rid":9}}`:                          admission.Fail{ID: 9},
		`{"WakeAt":{"gatekeeper":3,"nonce":"4","alarmTime":8912.25}}`:        admission.SetTimer{Token: 4, At: 8912250 * time.Microsecond},
		`{"Incr":{"gatekeeper":3,"keepFor":3000,"by":-4.5,"entryName":"n"}}`: admission.CounterAdd{Name: "n", Delta: -4.5, TTL: 3 * time.Second},
		`{"Check":{"gatekeeper":3,"worker":"w"}}`:                            admission.Probe{Server: "w"},
		`{"Close":{"gatekeeper":3,"worker":"w"}}`:                            admission.CloseIdle{Server: "w"},
		`{"Post":{"gatekeeper":3,"whom":-1,"payload":"6869"}}`:               admission.SendPeerMessage{To: -1, Payload: []byte("hi")},
		`{"KeepInformed":{"gatekeeper":3,"on":true}}`:                        admission.Subscribe{On: true},
		`{"ReadList":{"gatekeeper":3}}`:                                      admission.FetchList{},
		`{"Debug":{"gatekeeper":3,"msg":"a \"b\"\n"}}`:                       admission.Log{Text: "a \"b\"\n"},
	} {
		got := string(AppendAction(nil, 3, a))
		if got != want+"\n" || !json.Valid([]byte(got)) {
			t.Errorf("got %swant %s", got, want)
		}
	}
	if got := string(AppendPanic(nil, 3, "x")); got != "{\"Panic\":{\"gatekeeper\":3,\"msg\":\"x\"}}\n" {
		t.Error(got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(bornLine)
	f.Add(`{"Tick":{"atTime":1}}`)
	f.Add(`{"Update":{"gatekeeper":3,"scope":"F","membersList":[{"worker":"w"}]}}`)
	f.Add(`{"NewRequest":{"gatekeeper":3,"rid":1,"type":"page","plan":"plus","expiresIn":1}}`)
	f.Fuzz(func(t *testing.T, line string) {
		d := NewDecoder()
		if _, err := d.Decode([]byte(bornLine)); err != nil {
			t.Fatal(err)
		}
		l, err := d.Decode([]byte(line)) // must not panic
		if err == nil && l.Kind == Born {
			_, _ = admission.New(l.Settings, l.Seed)
		}
	})
}
