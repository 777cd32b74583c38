package main

import (
	"strings"
	"testing"
)

const params = `{"balancers":1,"me":0,"period":1,"discovery":"push","classes":[{"name":"page","onTime":500,` +
	`"deadline":1000,"value":1,"effect":"retryable"}],"limits":{},"rules":{}}`

func TestABatchIsAnswered(t *testing.T) {
	in := `{"Tick":{"atTime":10}}
{"Born":{"gatekeeper":0,"nonce64":1,"params":` + params + `}}
{"Update":{"gatekeeper":0,"scope":"C","membersList":[{"worker":"w","condition":"U","size":1}]}}
{"YourTurn":{}}
{"Tick":{"atTime":11}}
{"NewRequest":{"gatekeeper":0,"rid":1,"type":"page","expiresIn":900}}
{"YourTurn":{}}
{"Tick":{"atTime":12}}
{"PowerOff":{"gatekeeper":0}}
{"YourTurn":{}}
`
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), `{"Ok":{}}`); n != 3 {
		t.Fatalf("%d replies:\n%s", n, out.String())
	}
	if !strings.Contains(out.String(), `{"Send":{"gatekeeper":0,"rid":1,"worker":"w"`) {
		t.Fatalf("not sent on:\n%s", out.String())
	}
}

func TestBadInputEndsWithAPlainMessage(t *testing.T) {
	tick := `{"Tick":{"atTime":10}}` + "\n"
	for in, says := range map[string]string{
		"garbage\n":                        "line 1: malformed",
		`{"YourTurn":{}}` + "\n":           "outside a batch",
		tick + tick:                        "line 2: in Tick",
		tick:                               "unexpected EOF",
		tick + `{"Odd":{"gatekeeper":0}}`:  "no event known",
		tick + `{"Ring":{"gatekeeper":0}}`: "not started",
		tick + `{"ClientLeft":{"gatekeeper":5,"rid":1}}`:                                                   "gatekeeper 5, which has not started",
		tick + `{"Born":{"gatekeeper":0,"params":` + strings.Replace(params, `"me":0`, `"me":7`, 1) + `}}`: "params.me is 7, need 0 to 0",
		tick + `{"Born":{"gatekeeper":0,"params":` + strings.Replace(params, `"me":0,`, ``, 1) + `}}`:      "me is missing",
	} {
		var out strings.Builder
		err := run(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: got %v, want it to say %q", in, err, says)
		}
		if strings.TrimSpace(strings.ReplaceAll(out.String(), `{"Ok":{}}`, "")) != "" {
			t.Errorf("%q: not wire on standard output: %s", in, out.String())
		}
	}
}
