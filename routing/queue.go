package routing

import (
	"math"
	"slices"
	"time"
)

// Ticket is a request that waits for, or uses, an upstream's slot.
type Ticket struct {
	ID             uint64
	Organisation   string
	QueueDeadline  time.Time // sheds the request when it still waits then
	Deadline       time.Time // end of the request
	AvoidUpstreams []string  // upstreams on which an earlier attempt failed
	Retry          bool      // a later attempt: it goes before first attempts
}

// line is one organisation's queue and its use of slots.
type line struct {
	organisation string
	waiting      []*Ticket // first come first
	inFlight     int
	used         float64 // work done and begun, in typical requests
	served       uint64  // sequence number of its last dispatch
}

// active reports whether the organisation waits or uses slots.
func (l *line) active() bool { return l.inFlight > 0 || len(l.waiting) > 0 }

// fairQueue holds waiting tickets and picks the organisation that has used the
// least work, so that each gets an equal share when all want more. Time on a
// slot would not do: the organisation whose request ends on a fast runner would
// get that runner's slot again.
type fairQueue struct {
	lines  []*line // ordered by organisation
	length int
	seq    uint64
}

func (q *fairQueue) line(organisation string) *line {
	i, found := slices.BinarySearchFunc(q.lines, organisation, func(l *line, name string) int {
		return compare(l.organisation, name)
	})
	if !found {
		q.lines = slices.Insert(q.lines, i, &line{organisation: organisation})
	}
	return q.lines[i]
}

func (q *fairQueue) push(t *Ticket) {
	l := q.line(t.Organisation)
	if !l.active() {
		l.used = max(l.used, q.leastUsed())
	}
	if t.Retry {
		l.waiting = slices.Insert(l.waiting, 0, t)
	} else {
		l.waiting = append(l.waiting, t)
	}
	q.length++
}

// next returns the line whose first ticket is to be served next, or nil.
func (q *fairQueue) next() *line {
	var best *line
	for _, l := range q.lines {
		if len(l.waiting) == 0 {
			continue
		}
		if best == nil || before(l, best) {
			best = l
		}
	}
	return best
}

// leastUsed returns the smallest use of an active organisation. One that comes
// back from idling starts there and has saved nothing up.
func (q *fairQueue) leastUsed() float64 {
	least := math.Inf(1)
	for _, l := range q.lines {
		if l.active() {
			least = min(least, l.used)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func before(a, b *line) bool {
	if a.used != b.used {
		return a.used < b.used
	}
	return a.served < b.served
}

// pop takes the first ticket of l and counts it as using a slot.
func (q *fairQueue) pop(l *line) *Ticket {
	t := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	q.length--
	q.seq++
	l.served = q.seq
	l.inFlight++
	l.used++
	return t
}

// release ends a ticket's use of a slot. work is what it took, in typical
// requests; one was charged when it began.
func (q *fairQueue) release(organisation string, work float64) {
	l := q.line(organisation)
	l.inFlight--
	l.used += work - 1
}

// dropFromLongest removes the newest first attempt of the longest line.
func (q *fairQueue) dropFromLongest() *Ticket {
	var longest *line
	for _, l := range q.lines {
		if longest == nil || len(l.waiting) > len(longest.waiting) {
			longest = l
		}
	}
	last := len(longest.waiting) - 1
	t := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	q.length--
	return t
}

// remove takes a waiting ticket out; it reports whether it was there.
func (q *fairQueue) remove(id uint64) bool {
	for _, l := range q.lines {
		for i, t := range l.waiting {
			if t.ID == id {
				l.waiting = slices.Delete(l.waiting, i, i+1)
				q.length--
				return true
			}
		}
	}
	return false
}

// expired removes and returns the tickets that have waited too long.
func (q *fairQueue) expired(now time.Time) []*Ticket {
	var out []*Ticket
	for _, l := range q.lines {
		l.waiting = slices.DeleteFunc(l.waiting, func(t *Ticket) bool {
			late := !now.Before(t.QueueDeadline)
			if late {
				out = append(out, t)
			}
			return late
		})
	}
	q.length -= len(out)
	return out
}

// busyLines counts the organisations that wait or use slots.
func (q *fairQueue) busyLines() int {
	n := 0
	for _, l := range q.lines {
		if l.active() {
			n++
		}
	}
	return n
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
