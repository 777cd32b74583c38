package downstream

import "time"

// arrivals remembers when the bytes of a connection came that are held and not parsed yet: the time that a client gives
// for an answer runs from its request's last byte, also where that waits behind the request before.
type arrivals struct {
	total int64 // bytes that have come and were held
	marks []arrival
}

// arrival tells that all bytes up to a place had come at a time.
type arrival struct {
	upTo int64
	at   time.Duration
}

// arrivalMergeWindow: bytes that come closer together than this are remembered together, with the time of the first.
const arrivalMergeWindow = 5 * time.Millisecond

// maxArrivals bounds what is remembered of a client that writes in many pieces. Beyond it the oldest go: what came with
// them counts as come with the next.
const maxArrivals = 64

// add notes bytes that are held from now on.
func (a *arrivals) add(bytes int, at time.Duration) {
	if bytes <= 0 {
		return
	}
	a.total += int64(bytes)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < arrivalMergeWindow {
		a.marks[last].upTo = a.total
		return
	}
	if len(a.marks) == maxArrivals {
		a.marks = append(a.marks[:0], a.marks[1:]...)
	}
	a.marks = append(a.marks, arrival{a.total, at})
}

// lastParsed tells when the last byte came lastParsed what is parsed already, where so many bytes are held that are not; now, where
// nothing is known lastParsed it.
func (a *arrivals) lastParsed(held int, now time.Duration) time.Duration {
	parsed := a.total - int64(held)
	done := 0
	for done < len(a.marks) && a.marks[done].upTo < parsed {
		done++
	}
	a.marks = append(a.marks[:0], a.marks[done:]...)
	if len(a.marks) == 0 {
		return now
	}
	return min(now, a.marks[0].at)
}
