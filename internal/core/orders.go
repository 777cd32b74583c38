package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
)

// keyTable remembers by idempotency key what may have run. Upstream hosts of one cell drop a repeat of a key for
// the class's window: for as long, a request with that key goes there or nowhere, and never while another with
// it is open. Once the window is over a key is as new: its client has been told that it may have taken effect.
type keyTable struct {
	repeatWindows []time.Duration // by class, 0 where it carries no key
	entries       map[string]*keyEntry
	hostLocations map[string]location // of hosts, by name
	expirations   []keyExpiry         // keys that nothing is open with, in the order in which that came
}

// keyExpiry is when a key is to be forgotten. It is looked at when requests come, and not by a timer: a turn of the
// loop for it would cost as much as one for a request.
type keyExpiry struct {
	key       string
	expiresAt time.Duration
}

type location struct {
	zone string
	cell int
}

type keyEntry struct {
	streamID   uint64 // open with it, 0 if none
	mayHaveRun bool   // it may have, at the host
	host       string
	location   location
	startedAt  time.Duration
	expiresAt  time.Duration // of the window
}

// updateLocations notes where hosts are.
func (o *keyTable) updateLocations(ev admission.ServerList) {
	for _, e := range ev.Servers {
		if e.State == admission.Gone {
			delete(o.hostLocations, e.Name)
		} else {
			o.hostLocations[e.Name] = location{e.Zone, e.Cell}
		}
	}
}

func (o *keyTable) repeatWindow(class int) time.Duration {
	if class < 0 || class >= len(o.repeatWindows) {
		return 0
	}
	return o.repeatWindows[class]
}

// earlierAttempt tells where a key may have run, nil if nowhere that matters.
func (o *keyTable) earlierAttempt(key string, now time.Duration) *admission.Earlier {
	if k := o.entries[key]; k != nil && k.mayHaveRun && now < k.expiresAt {
		return &admission.Earlier{Server: k.host, Zone: k.location.zone, Cell: k.location.cell, At: k.startedAt}
	}
	return nil
}

// hasOpenStream tells whether a stream with the key is.
func (o *keyTable) hasOpenStream(key string) bool {
	k := o.entries[key]
	return k != nil && k.streamID != 0
}

func (o *keyTable) openStream(key string, stream uint64) {
	if o.entries[key] == nil {
		o.entries[key] = &keyEntry{}
	}
	o.entries[key].streamID = stream
}

// recordAttempt notes that a key is on its way. The first place that may have run it counts, for a later one is of the
// same cell. It tells until when a repeat has to be there, 0 if it is none: it may still wait for its connection.
func (o *keyTable) recordAttempt(key, host string, now, window time.Duration) (until time.Duration) {
	k := o.entries[key]
	switch {
	case k == nil:
		return 0
	case k.mayHaveRun && now < k.expiresAt:
		return k.expiresAt
	}
	k.mayHaveRun, k.host, k.location, k.startedAt, k.expiresAt = true, host, o.hostLocations[host], now, now+window
	return 0
}

// updateStart notes that what was sent at a time runs from another on: only then had all of it come.
func (o *keyTable) updateStart(key, host string, was, now, window time.Duration) {
	if k := o.entries[key]; k != nil && k.mayHaveRun && k.host == host && k.startedAt == was {
		k.startedAt, k.expiresAt = now, now+window
	}
}

// clearAttempt notes that what was sent at a time has surely not run.
func (o *keyTable) clearAttempt(key, host string, at time.Duration) {
	if k := o.entries[key]; k != nil && k.mayHaveRun && k.host == host && k.startedAt == at {
		k.mayHaveRun = false
	}
}

// closeStream notes that the stream is over. Its key is remembered until the closeStream of the window, if it may have run.
func (o *keyTable) closeStream(key string, stream uint64) {
	k := o.entries[key]
	if k == nil || k.streamID != stream {
		return
	}
	if k.streamID = 0; !k.mayHaveRun {
		delete(o.entries, key)
		return
	}
	o.expirations = append(o.expirations, keyExpiry{key, k.expiresAt})
}

// removeExpired forgets keys whose windows are over. One with a short window waits behind one with a longer.
func (o *keyTable) removeExpired(now time.Duration) {
	for len(o.expirations) > 0 && now >= o.expirations[0].expiresAt {
		if k := o.entries[o.expirations[0].key]; k != nil && k.streamID == 0 && now >= k.expiresAt {
			delete(o.entries, o.expirations[0].key)
		}
		o.expirations = o.expirations[1:]
	}
}
