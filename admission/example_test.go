package admission_test

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// A host passes events to one gateway: a request within its quota, the counter's answer, a request over its quota
// that is refused, and a timer that ends the wait for the counter.
func Example() {
	const ms = time.Millisecond
	g, err := admission.New(admission.Settings{
		Gateways: 2, Zone: "east", Tick: ms, HasCounter: true, CounterTimeout: 80 * ms, CanSendRetryAfter: true,
		MaxAttempts: 3,
		Classes:     []admission.Class{{Name: "page", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 1}},
		Plans:       []admission.Plan{{Name: "basic", Rate: 1, Burst: 5}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var timers []admission.SetTimer
	var called string // the name of the last counter call
	handle := func(now time.Duration, ev admission.Event) {
		for _, a := range g.Handle(now, ev) {
			switch a := a.(type) {
			case admission.CounterAdd:
				called = a.Name
				fmt.Printf("%v counter: add %v\n", now, a.Delta)
			case admission.Send:
				fmt.Printf("%v send request %d to %s\n", now, a.ID, a.Server)
			case admission.Refuse:
				fmt.Printf("%v refuse request %d, retry after %v\n", now, a.ID, a.RetryAfter)
			case admission.SetTimer:
				timers = append(timers, a)
			}
		}
	}
	handle(0, admission.ServerList{Kind: admission.ListCached,
		Servers: []admission.ServerEntry{{Name: "web-1", Zone: "east"}}})
	request := admission.RequestArrived{ID: 1, Customer: 7, ExpiresIn: 2 * time.Second, Units: 4, Gateways: 2}
	handle(100*ms, request)
	handle(102*ms, admission.CounterAnswered{Name: called, Total: 4, Took: 2 * ms})
	handle(150*ms, admission.AttemptEnded{ID: 1, Server: "web-1", Took: 48 * ms, Done: true})

	request.ID, request.Units = 2, 2 // a little over one unit of quota is left, so no counter call is needed
	handle(200*ms, request)

	request.ID, request.Customer = 3, 8 // another customer; the counter does not answer in time
	handle(300*ms, request)
	last := timers[len(timers)-1]
	handle(last.At, admission.TimerFired{Token: last.Token})
	// Output:
	// 100ms counter: add 4
	// 102ms send request 1 to web-1
	// 200ms refuse request 2, retry after 3.168810395s
	// 300ms counter: add 2
	// 325ms send request 3 to web-1
}
