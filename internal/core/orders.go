package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// orders remembers by idempotency key what may have run. Upstream hosts of one cell drop a repeat of a key for
// the class's window: for as long, a request with that key goes there or nowhere, and never while another with
// it is open. Once the window is over a key is as new: its client has been told that it may have taken effect.
type orders struct {
	windows []time.Duration // by class, 0 where it carries no key
	byKey   map[string]*order
	places  map[string]place // of hosts, by name
	ending  []ending         // keys that nothing is open with, in the order in which that came
}

// ending is when a key is to be forgotten. It is looked at when requests come, and not by a timer: a turn of the
// loop for it would cost as much as one for a request.
type ending struct {
	key   string
	until time.Duration
}

type place struct {
	zone string
	cell int
}

type order struct {
	stream uint64 // open with it, 0 if none
	ran    bool   // it may have, at the host
	host   string
	place  place
	at     time.Duration
	until  time.Duration // of the window
}

// list notes where hosts are.
func (o *orders) list(ev admission.ServerList) {
	for _, e := range ev.Servers {
		if e.State == admission.Gone {
			delete(o.places, e.Name)
		} else {
			o.places[e.Name] = place{e.Zone, e.Cell}
		}
	}
}

func (o *orders) window(class int) time.Duration {
	if class < 0 || class >= len(o.windows) {
		return 0
	}
	return o.windows[class]
}

// earlier tells where a key may have run, nil if nowhere that matters.
func (o *orders) earlier(key string, now time.Duration) *admission.PriorAttempt {
	if k := o.byKey[key]; k != nil && k.ran && now < k.until {
		return &admission.PriorAttempt{Server: k.host, Zone: k.place.zone, Cell: k.place.cell, SentAt: k.at}
	}
	return nil
}

// open tells whether a stream with the key is.
func (o *orders) open(key string) bool {
	k := o.byKey[key]
	return k != nil && k.stream != 0
}

func (o *orders) begin(key string, stream uint64) {
	if o.byKey[key] == nil {
		o.byKey[key] = &order{}
	}
	o.byKey[key].stream = stream
}

// sent notes that a key is on its way. The first place that may have run it counts, for a later one is of the
// same cell. It tells until when a repeat has to be there, 0 if it is none: it may still wait for its connection.
func (o *orders) sent(key, host string, now, window time.Duration) (until time.Duration) {
	k := o.byKey[key]
	switch {
	case k == nil:
		return 0
	case k.ran && now < k.until:
		return k.until
	}
	k.ran, k.host, k.place, k.at, k.until = true, host, o.places[host], now, now+window
	return 0
}

// moved notes that what was sent at a time runs from another on: only then had all of it come.
func (o *orders) moved(key, host string, was, now, window time.Duration) {
	if k := o.byKey[key]; k != nil && k.ran && k.host == host && k.at == was {
		k.at, k.until = now, now+window
	}
}

// unran notes that what was sent at a time has surely not run.
func (o *orders) unran(key, host string, at time.Duration) {
	if k := o.byKey[key]; k != nil && k.ran && k.host == host && k.at == at {
		k.ran = false
	}
}

// end notes that the stream is over. Its key is remembered until the end of the window, if it may have run.
func (o *orders) end(key string, stream uint64) {
	k := o.byKey[key]
	if k == nil || k.stream != stream {
		return
	}
	if k.stream = 0; !k.ran {
		delete(o.byKey, key)
		return
	}
	o.ending = append(o.ending, ending{key, k.until})
}

// expire forgets keys whose windows are over. One with a short window waits behind one with a longer.
func (o *orders) expire(now time.Duration) {
	for len(o.ending) > 0 && now >= o.ending[0].until {
		if k := o.byKey[o.ending[0].key]; k != nil && k.stream == 0 && now >= k.until {
			delete(o.byKey, o.ending[0].key)
		}
		o.ending = o.ending[1:]
	}
}
