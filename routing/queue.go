package routing

import (
	"math"
	"slices"
	"time"
)

// Ticket is one attempt of a request that waits for a slot of an upstream or
// uses one.
type Ticket struct {
	ID             uint64
	Organisation   string
	QueueDeadline  time.Time // the ticket is shed when it is still queued then
	Deadline       time.Time // of the whole request
	AvoidUpstreams []string  // upstreams on which an earlier attempt failed
	Retry          bool      // not the first attempt; queued before first attempts
}

// organisationQueue holds one organisation's queued tickets and its use of slots.
type organisationQueue struct {
	organisation string
	waiting      []*Ticket // next to be dispatched first
	inFlight     int
	work         float64 // charged for finished and running requests, in typical requests (see chargedWork)
	lastDispatch uint64  // value of fairQueue.dispatches at its last dispatch
}

// active reports whether the organisation has queued tickets or uses slots.
func (oq *organisationQueue) active() bool { return oq.inFlight > 0 || len(oq.waiting) > 0 }

// fairQueue does fair queueing between organisations: the next ticket is taken
// from the organisation that was charged the least work, so that each gets an
// equal share under overload. Slot time is not used as the measure, because an
// organisation whose request finished on a fast upstream would then get that
// upstream's slot again.
type fairQueue struct {
	queues     []*organisationQueue // ordered by organisation
	length     int                  // tickets in all queues
	dispatches uint64               // tickets dispatched so far
}

// queueOf returns the organisation's queue; it creates one if there is none.
func (q *fairQueue) queueOf(organisation string) *organisationQueue {
	i, found := slices.BinarySearchFunc(q.queues, organisation, func(oq *organisationQueue, name string) int {
		return compareNames(oq.organisation, name)
	})
	if !found {
		q.queues = slices.Insert(q.queues, i, &organisationQueue{organisation: organisation})
	}
	return q.queues[i]
}

// push enqueues a ticket: a retry at the front, a first attempt at the back of
// its organisation's queue.
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

// nextQueue returns the queue whose first ticket is to be dispatched next, or nil.
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

// leastWork returns the least work charged to an active organisation, or 0. An
// organisation that becomes active is charged at least that much, so that it
// gains no credit by being idle.
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

// servedBefore reports whether a is served before b: the organisation that was
// charged less work goes first and, at equal work, the one whose last dispatch is
// earlier.
func servedBefore(a, b *organisationQueue) bool {
	if a.work != b.work {
		return a.work < b.work
	}
	return a.lastDispatch < b.lastDispatch
}

// pop removes the first ticket of oq and charges its organisation one slot and
// one typical request.
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

// releaseSlot ends a ticket's use of a slot and corrects the charge: work is the
// actual work in typical requests, of which pop charged one.
func (q *fairQueue) releaseSlot(organisation string, work float64) {
	oq := q.queueOf(organisation)
	oq.inFlight--
	oq.work += work - 1
}

// dropNewestOfLongest removes and returns the last ticket of the longest queue:
// its newest first attempt, unless only retries are queued.
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

// remove removes a ticket; it reports whether it was queued.
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

// removeExpired removes and returns the tickets that have reached their queue
// deadline.
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

// activeQueues returns the number of active organisations.
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
