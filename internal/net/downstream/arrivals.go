package downstream

import "time"

// arrivals records when the buffered, unparsed input of a connection arrived. The timeout that a client states for its
// request runs from the request's last byte, even if the request waits behind the one before it.
type arrivals struct {
	total int64 // bytes buffered since the connection was opened
	marks []arrival
}

// arrival records that all bytes before an offset had arrived at a time.
type arrival struct {
	upTo int64
	at   time.Duration
}

// arrivalMergeWindow is the time within which received bytes share one record, with the time of the first.
const arrivalMergeWindow = 5 * time.Millisecond

// maxArrivals is the number of records that are kept for a client that writes in many small parts. Beyond it the oldest
// is dropped, and its bytes count as having arrived with the next.
const maxArrivals = 64

// add records bytes that have been added to the buffer.
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

// lastParsed returns when the last parsed byte arrived, given the number of buffered bytes that are not parsed yet. It
// returns now if there is no record of that byte, and drops the records before it.
func (a *arrivals) lastParsed(unparsed int, now time.Duration) time.Duration {
	parsed := a.total - int64(unparsed)
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
