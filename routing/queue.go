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

// organisationQueue is one organisation's queue and its use of slots.
type organisationQueue struct {
	organisation string
	waiting      []*Ticket // first come first
	inFlight     int
	work         float64 // work done and begun, in typical requests
	lastDispatch uint64  // sequence number of its last dispatch
}

// active reports whether the organisation waits or uses slots.
func (oq *organisationQueue) active() bool { return oq.inFlight > 0 || len(oq.waiting) > 0 }

// fairQueue holds waiting tickets and picks the organisation that has used the
// least work, so that each gets an equal share when all want more. Time on a
// slot would not do: the organisation whose request ends on a fast runner would
// get that runner's slot again.
type fairQueue struct {
	queues     []*organisationQueue // ordered by organisation
	length     int
	dispatches uint64
}

func (q *fairQueue) queueOf(organisation string) *organisationQueue {
	i, found := slices.BinarySearchFunc(q.queues, organisation, func(oq *organisationQueue, name string) int {
		return compareNames(oq.organisation, name)
	})
	if !found {
		q.queues = slices.Insert(q.queues, i, &organisationQueue{organisation: organisation})
	}
	return q.queues[i]
}

func (q *fairQueue) push(t *Ticket) {
	oq := q.queueOf(t.Organisation)
	if !oq.active() {
		oq.work = max(oq.work, q.leastWork())
	}
	if t.Retry {
		oq.waiting = slices.Insert(oq.waiting, 0, t)
	} else {
		oq.waiting = append(oq.waiting, t)
	}
	q.length++
}

// nextQueue returns the line whose first ticket is to be served nextQueue, or nil.
func (q *fairQueue) nextQueue() *organisationQueue {
	var best *organisationQueue
	for _, oq := range q.queues {
		if len(oq.waiting) == 0 {
			continue
		}
		if best == nil || servedBefore(oq, best) {
			best = oq
		}
	}
	return best
}

// leastWork returns the smallest use of an active organisation. One that comes
// back from idling starts there and has saved nothing up.
func (q *fairQueue) leastWork() float64 {
	least := math.Inf(1)
	for _, oq := range q.queues {
		if oq.active() {
			least = min(least, oq.work)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func servedBefore(a, b *organisationQueue) bool {
	if a.work != b.work {
		return a.work < b.work
	}
	return a.lastDispatch < b.lastDispatch
}

// pop takes the first ticket of l and counts it as using a slot.
func (q *fairQueue) pop(oq *organisationQueue) *Ticket {
	t := oq.waiting[0]
	oq.waiting = slices.Delete(oq.waiting, 0, 1)
	q.length--
	q.dispatches++
	oq.lastDispatch = q.dispatches
	oq.inFlight++
	oq.work++
	return t
}

// releaseSlot ends a ticket's use of a slot. work is what it took, in typical
// requests; one was charged when it began.
func (q *fairQueue) releaseSlot(organisation string, work float64) {
	oq := q.queueOf(organisation)
	oq.inFlight--
	oq.work += work - 1
}

// dropNewestOfLongest removes the newest first attempt of the longest line.
func (q *fairQueue) dropNewestOfLongest() *Ticket {
	var longest *organisationQueue
	for _, oq := range q.queues {
		if longest == nil || len(oq.waiting) > len(longest.waiting) {
			longest = oq
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
	for _, oq := range q.queues {
		for i, t := range oq.waiting {
			if t.ID == id {
				oq.waiting = slices.Delete(oq.waiting, i, i+1)
				q.length--
				return true
			}
		}
	}
	return false
}

// removeExpired removes and returns the tickets that have waited too long.
func (q *fairQueue) removeExpired(now time.Time) []*Ticket {
	var out []*Ticket
	for _, oq := range q.queues {
		oq.waiting = slices.DeleteFunc(oq.waiting, func(t *Ticket) bool {
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

// activeQueues counts the organisations that wait or use slots.
func (q *fairQueue) activeQueues() int {
	n := 0
	for _, oq := range q.queues {
		if oq.active() {
			n++
		}
	}
	return n
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
