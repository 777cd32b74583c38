package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Done is the line that ends a reply.
const Done = "{\"Ok\":{}}\n"

func open(b []byte, name string, inst int) []byte {
	b = append(b, `{"`...)
	b = append(b, name...)
	b = append(b, `":{"gatekeeper":`...)
	return strconv.AppendInt(b, int64(inst), 10)
}

func number(b []byte, key string, v float64) []byte {
	b = append(b, `,"`...)
	b = append(b, key...)
	b = append(b, `":`...)
	return strconv.AppendFloat(b, v, 'f', -1, 64)
}

func text(b []byte, key, v string) []byte {
	q, err := json.Marshal(v)
	if err != nil { // a string always marshals
		panic(err)
	}
	b = append(b, `,"`...)
	b = append(b, key...)
	b = append(b, `":`...)
	return append(b, q...)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// AppendAction appends the line of one action of an instance.
func AppendAction(b []byte, inst int, a admission.Action) []byte {
	switch a := a.(type) {
	case admission.Send:
		b = number(open(b, "Send", inst), "rid", float64(a.ID))
		b = text(b, "worker", a.Server)
		if a.Wait != 0 {
			b = number(b, "maxWait", millis(a.Wait))
		}
	case admission.Cancel:
		b = number(open(b, "CallOff", inst), "rid", float64(a.ID))
		b = number(b, "shot", float64(a.Attempt))
	case admission.Refuse:
		b = number(open(b, "TurnAway", inst), "rid", float64(a.ID))
		if a.RetryAfter > 0 {
			b = number(b, "comeBack", millis(a.RetryAfter))
		}
	case admission.Fail:
		b = number(open(b, "RespondError", inst), "rid", float64(a.ID))
	case admission.SetTimer:
		b = text(open(b, "WakeAt", inst), "nonce", strconv.FormatUint(a.Token, 10))
		b = number(b, "alarmTime", millis(a.At))
	case admission.CounterAdd:
		b = number(open(b, "Incr", inst), "keepFor", millis(a.TTL))
		b = number(b, "by", a.Delta)
		b = text(b, "entryName", a.Name)
	case admission.Probe:
		b = text(open(b, "Check", inst), "worker", a.Server)
	case admission.CloseIdle:
		b = text(open(b, "Close", inst), "worker", a.Server)
	case admission.SendPeerMessage:
		b = number(open(b, "Post", inst), "whom", float64(a.To))
		b = text(b, "payload", hex.EncodeToString(a.Payload))
	case admission.Subscribe:
		b = open(b, "KeepInformed", inst)
		b = append(b, `,"on":`...)
		b = strconv.AppendBool(b, a.On)
	case admission.FetchList:
		b = open(b, "ReadList", inst)
	case admission.Log:
		b = text(open(b, "Debug", inst), "msg", a.Text)
	default:
		panic(fmt.Sprintf("no wire form for %T", a))
	}
	return append(b, "}}\n"...)
}

// AppendPanic appends the line that reports a failure of the decision code.
func AppendPanic(b []byte, inst int, msg string) []byte {
	return append(text(open(b, "Panic", inst), "msg", msg), "}}\n"...)
}
