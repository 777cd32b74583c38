package downstream

import "time"

// arrivals records when the buffered, unparsed input of a connection arrived. The timeout that a client sends with
// its request runs from the request's last byte, even if the request waits behind the one before it.
type arrivals struct {
	total   int64 // bytes that were buffered for the connection, since a hand-over those that came with it included
	records []Arrival
}

// Arrival records the time, in loop time, by which all buffered bytes before the offset End had arrived.
type Arrival struct {
	End int64
	At  time.Duration
}

// arrivalMergeWindow is the time within which received bytes share one record, with the time of the first.
const arrivalMergeWindow = 5 * time.Millisecond

// maxArrivals is the maximum number of records, which a client reaches that writes in many small parts. Beyond it the
// oldest record is dropped, and its bytes count as having arrived with those of the next.
const maxArrivals = 64

// add records bytes that have been added to the buffer.
func (a *arrivals) add(bytes int, at time.Duration) {
	if bytes <= 0 {
		return
	}
	a.total += int64(bytes)
	if last := len(a.records) - 1; last >= 0 && at-a.records[last].At < arrivalMergeWindow {
		a.records[last].End = a.total
		return
	}
	if len(a.records) == maxArrivals {
		a.records = append(a.records[:0], a.records[1:]...)
	}
	a.records = append(a.records, Arrival{a.total, at})
}

// lastParsed returns when the last parsed byte arrived, given the number of buffered bytes that are not parsed yet. It
// returns now if that byte has no record, and never a time after now. It drops the records of earlier bytes.
func (a *arrivals) lastParsed(unparsed int, now time.Duration) time.Duration {
	parsed := a.total - int64(unparsed)
	obsolete := 0
	for obsolete < len(a.records) && a.records[obsolete].End < parsed {
		obsolete++
	}
	a.records = append(a.records[:0], a.records[obsolete:]...)
	if len(a.records) == 0 {
		return now
	}
	return min(now, a.records[0].At)
}

// ofBuffered returns the records of the given number of buffered bytes that are not parsed yet, with offsets from the first
// of them.
func (a *arrivals) ofBuffered(unparsed int) (records []Arrival) {
	parsed := a.total - int64(unparsed)
	for _, r := range a.records {
		if r.End > parsed {
			records = append(records, Arrival{r.End - parsed, r.At})
		}
	}
	return records
}

// restoreArrivals returns the arrivals of a connection of which another process has buffered unparsed bytes, given its
// records of them. It drops records that can't be of these bytes.
func restoreArrivals(records []Arrival, unparsed int) arrivals {
	a := arrivals{total: int64(unparsed)}
	end := int64(0)
	for _, r := range records {
		if r.End <= end || r.End > a.total || len(a.records) == maxArrivals {
			continue
		}
		a.records, end = append(a.records, r), r.End
	}
	return a
}
