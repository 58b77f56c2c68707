package routing

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/cyclamentray/cyclamentray/kvstore"
)

const (
	queueLimitPerSlot    = 4           // queued tickets allowed for each slot of this host
	minQueueLimit        = 32          // queued tickets that are always allowed
	maxWorkCharge        = 20          // most work that one request is charged, in typical requests
	minLatencySeconds    = 1e-5        // keeps rates finite
	overloadWindow       = time.Second // the service counts as overloaded for this long after a shed
	attemptTimeoutFactor = 10          // times the average latency before an idempotent attempt times out
	minAttemptTimeout    = time.Second
)

// Topology is the membership and configuration of one service, as seen by one
// entry host.
type Topology struct {
	Self         kvstore.Host    // this entry host
	EntryHosts   []kvstore.Host  // the known entry hosts, this one included
	Silent       map[string]bool // entry hosts whose heartbeats are missing at present
	Upstreams    []kvstore.Host  // the service's upstreams
	OutOfService map[string]bool // failure domains taken out of service
}

// AttemptResult tells how an attempt ended, as far as the choice of upstreams
// depends on it.
type AttemptResult int

// Results of an attempt.
const (
	Responded   AttemptResult = iota // a complete response with a status below 500
	ServerError                      // a complete response with a 5xx status
	Failed                           // no connection, or no complete response
	Leaving                          // the upstream refused the request because it is leaving
	Full                             // the upstream refused the request because it is full
	Unused                           // the slot was given back and no request was sent
)

// AttemptReport tells the dispatcher how an attempt ended.
type AttemptReport struct {
	TicketID        uint64
	Result          AttemptResult
	ConnectionClose bool // the response carried Connection: close
}

// Dispatch is the decision to send a ticket to an upstream.
type Dispatch struct {
	TicketID       uint64
	Upstream       kvstore.Host
	AttemptTimeout time.Duration // applies to idempotent requests only
}

// ShedReason tells why a ticket was shed. It is part of the error message that
// the caller gets.
type ShedReason string

// Reasons for shedding a ticket.
const (
	NoUpstream ShedReason = "no upstream of the service is available"
	QueueFull  ShedReason = "too many requests are queued"
	TooLate    ShedReason = "the request would not finish in time"
)

// Shed is the decision to refuse a ticket that was not dispatched.
type Shed struct {
	TicketID uint64
	Reason   ShedReason
}

// Decisions are the dispatches and sheds that the caller of a Dispatcher must
// carry out.
type Decisions struct {
	Dispatches []Dispatch
	Sheds      []Shed
}

// attempt is a dispatched ticket that is not finished yet.
type attempt struct {
	ticket   *Ticket
	upstream *upstreamState
}

// Dispatcher decides for one service on one entry host which request goes to
// which upstream. It does no I/O and is deterministic: time and randomness are
// passed in. It is not safe for concurrent use.
type Dispatcher struct {
	rng       *rand.Rand
	upstreams upstreamSet
	queue     fairQueue
	budget    retryBudget
	attempts  map[uint64]attempt // by ticket ID
	lastShed  time.Time          // of a ticket shed for another reason than NoUpstream
}

// NewDispatcher returns a dispatcher without upstreams.
func NewDispatcher(rng *rand.Rand) *Dispatcher {
	return &Dispatcher{rng: rng, budget: newRetryBudget(), attempts: make(map[uint64]attempt)}
}

// UpdateTopology replaces the topology. An upstream whose name and address stay
// the same keeps its statistics and its requests in flight.
func (d *Dispatcher) UpdateTopology(now time.Time, topology Topology) Decisions {
	next := make([]*upstreamState, 0, len(topology.Upstreams))
	for _, host := range topology.Upstreams {
		u := d.upstreams.find(host.Name)
		known := u != nil && u.host.Address == host.Address
		if !known {
			u = &upstreamState{inFlight: make(map[uint64]time.Time)}
		}
		u.host = host
		u.local = host.FailureDomain == topology.Self.FailureDomain
		u.outOfService = topology.OutOfService[host.FailureDomain]
		u.setShare(now, slotShare(host, topology), known)
		next = append(next, u)
	}
	slices.SortFunc(next, func(a, b *upstreamState) int { return compareNames(a.host.Name, b.host.Name) })
	d.upstreams.states = next
	return d.dispatchWaiting(now, Decisions{})
}

// sharingHosts returns the names of the entry hosts that share an upstream.
// Silent hosts are left out, except those in the upstream's failure domain:
// behind a network partition, they may still be using the upstream.
func (topology Topology) sharingHosts(upstream kvstore.Host) []string {
	var names []string
	for _, h := range topology.EntryHosts {
		if !topology.Silent[h.Name] || h.FailureDomain == upstream.FailureDomain {
			names = append(names, h.Name)
		}
	}
	return names
}

// slotShare returns this entry host's share of an upstream's slots. It is limited
// by the share of connections too, since each request in flight uses one.
func slotShare(upstream kvstore.Host, topology Topology) int {
	names := topology.sharingHosts(upstream)
	share := CapacityShare(upstream.Slots, upstream.Name, topology.Self.Name, names)
	if upstream.Connections > 0 {
		share = min(share, CapacityShare(upstream.Connections, upstream.Name, topology.Self.Name, names))
	}
	return share
}

// Admit reports whether a ticket would be accepted now, and otherwise why not: no
// upstream is usable, or the ticket is expected to reach its queue deadline. It
// enqueues nothing. Requests with an idempotency key are checked with it before
// their key is claimed.
func (d *Dispatcher) Admit(now time.Time, t Ticket) (ShedReason, bool) {
	if !d.anyUsable() {
		return NoUpstream, false
	}
	if d.queue.length == 0 {
		return "", true
	}
	rate := d.upstreams.completionsPerSecond(now, d.upstreams.lowestLatencySeconds())
	if rate == 0 {
		return "", true
	}
	// Organisations are served in equal shares, so for each ticket of this queue one
	// ticket of every active queue is expected to be served.
	requestsAhead := float64(len(d.queue.queueOf(t.Organisation).waiting)+1) * float64(max(1, d.queue.activeQueues()))
	wait := time.Duration(requestsAhead / rate * float64(time.Second))
	if now.Add(wait).After(t.QueueDeadline) {
		return TooLate, false
	}
	return "", true
}

func (d *Dispatcher) anyUsable() bool {
	return slices.ContainsFunc(d.upstreams.states, (*upstreamState).usable)
}

// Submit enqueues a ticket; it is dispatched at once, left waiting, or shed.
func (d *Dispatcher) Submit(now time.Time, t Ticket) Decisions {
	var decisions Decisions
	if reason, ok := d.Admit(now, t); !ok {
		return d.shed(now, decisions, t.ID, reason)
	}
	if !t.Retry {
		d.budget.earn()
	}
	d.queue.push(&t)
	decisions = d.dispatchWaiting(now, decisions)
	for d.queue.length > d.queueLimit() {
		decisions = d.shed(now, decisions, d.queue.dropNewestOfLongest().ID, QueueFull)
	}
	return decisions
}

func (d *Dispatcher) queueLimit() int {
	slots := 0
	for _, u := range d.upstreams.states {
		if u.usable() {
			slots += u.share
		}
	}
	return max(minQueueLimit, queueLimitPerSlot*slots)
}

// AllowRetry takes a token for one retry from the retry budget; it reports false
// when there is none.
func (d *Dispatcher) AllowRetry() bool { return d.budget.spend() }

// Cancel removes a ticket from the queue; it reports whether it was still queued.
func (d *Dispatcher) Cancel(id uint64) bool { return d.queue.remove(id) }

// FinishAttempt frees the slot of an attempt and records its result.
func (d *Dispatcher) FinishAttempt(now time.Time, rep AttemptReport) Decisions {
	a, ok := d.attempts[rep.TicketID]
	if !ok {
		return Decisions{}
	}
	delete(d.attempts, rep.TicketID)
	d.queue.releaseSlot(a.ticket.Organisation, chargedWork(now, a.upstream, rep))
	d.recordResult(now, a.upstream, rep)
	delete(a.upstream.inFlight, rep.TicketID)
	return d.dispatchWaiting(now, Decisions{})
}

// chargedWork returns the work that a request is charged, in typical requests: its
// duration divided by the upstream's average latency, so that the charge does not
// depend on the upstream's speed. The charge is 1 when the upstream has no samples,
// or when the request got no complete response with a status below 500.
func chargedWork(now time.Time, u *upstreamState, rep AttemptReport) float64 {
	if rep.Result != Responded || u.samples == 0 {
		return 1
	}
	took := now.Sub(u.inFlight[rep.TicketID]).Seconds()
	return min(maxWorkCharge, took/max(u.latencySeconds, minLatencySeconds))
}

func (d *Dispatcher) recordResult(now time.Time, u *upstreamState, rep AttemptReport) {
	latency := now.Sub(u.inFlight[rep.TicketID])
	switch rep.Result {
	case Responded:
		u.recordSuccess(now, latency)
	case ServerError:
		u.consecutiveServerErrors++
		if u.consecutiveServerErrors >= serverErrorLimit {
			u.recordFailure(now, d.rng.Float64())
		}
	case Failed:
		u.recordFailure(now, d.rng.Float64())
	case Leaving:
		u.markLeaving(now)
	case Full:
		u.blockUntil(now.Add(fullBackoff))
	}
	if rep.ConnectionClose {
		u.markLeaving(now)
	}
}

// StartProbes returns the upstreams that the caller must probe. For each of them
// it must call FinishProbe.
func (d *Dispatcher) StartProbes(now time.Time) []kvstore.Host {
	var out []kvstore.Host
	for _, u := range d.upstreams.states {
		if u.probeDue(now) {
			u.probeInFlight = true
			out = append(out, u.host)
		}
	}
	return out
}

// FinishProbe records the result of a probe: whether the upstream responded, and
// whether it closes the connection or is unavailable (Connection: close, or 503).
func (d *Dispatcher) FinishProbe(now time.Time, upstream string, alive, closing bool) Decisions {
	if u := d.upstreams.find(upstream); u != nil {
		u.recordProbe(now, alive, closing, d.rng.Float64())
	}
	return d.dispatchWaiting(now, Decisions{})
}

// Tick sheds tickets that have reached their queue deadline and uses slots that
// have become available through the passage of time.
func (d *Dispatcher) Tick(now time.Time) Decisions { return d.dispatchWaiting(now, Decisions{}) }

// QueueLength returns the number of queued tickets.
func (d *Dispatcher) QueueLength() int { return d.queue.length }

// dispatchWaiting sheds expired tickets and dispatches queued ones to available
// upstreams. It returns decisions with its own appended.
func (d *Dispatcher) dispatchWaiting(now time.Time, decisions Decisions) Decisions {
	for _, t := range d.queue.removeExpired(now) {
		decisions = d.shed(now, decisions, t.ID, TooLate)
	}
	for _, u := range d.upstreams.states {
		u.applyPendingShare(now)
	}
	for {
		oq := d.queue.nextQueue()
		if oq == nil {
			return decisions
		}
		if !d.anyUsable() {
			decisions = d.shed(now, decisions, d.queue.dropNewestOfLongest().ID, NoUpstream)
			continue
		}
		u := d.chooseUpstream(now, oq.waiting[0])
		if u == nil {
			return decisions
		}
		decisions.Dispatches = append(decisions.Dispatches, d.dispatch(now, d.queue.pop(oq), u))
	}
}

func (d *Dispatcher) dispatch(now time.Time, t *Ticket, u *upstreamState) Dispatch {
	u.inFlight[t.ID] = now
	d.attempts[t.ID] = attempt{ticket: t, upstream: u}
	timeout := time.Duration(attemptTimeoutFactor * u.latencySeconds * float64(time.Second))
	return Dispatch{TicketID: t.ID, Upstream: u.host, AttemptTimeout: max(timeout, minAttemptTimeout)}
}

// shed returns decisions with the shed of a ticket appended. A shed for the reason
// NoUpstream does not count as overload.
func (d *Dispatcher) shed(now time.Time, decisions Decisions, id uint64, reason ShedReason) Decisions {
	if reason != NoUpstream {
		d.lastShed = now
	}
	decisions.Sheds = append(decisions.Sheds, Shed{TicketID: id, Reason: reason})
	return decisions
}

// chooseUpstream returns the available upstream with the lowest cost, or nil when
// the ticket must wait: no upstream is available, or waiting for a faster busy
// one is expected to finish sooner. Under overload the available upstream is
// used without that comparison. Upstreams on which an earlier attempt failed are
// used only when no other is available.
func (d *Dispatcher) chooseUpstream(now time.Time, t *Ticket) *upstreamState {
	lowestLatency := d.upstreams.lowestLatencySeconds()
	chosen := d.cheapestAvailable(now, lowestLatency, t.AvoidUpstreams)
	if chosen == nil && len(t.AvoidUpstreams) > 0 {
		chosen = d.cheapestAvailable(now, lowestLatency, nil)
	}
	if chosen == nil {
		return nil
	}
	overloaded := now.Sub(d.lastShed) < overloadWindow && !d.lastShed.IsZero()
	if !overloaded && d.waitingIsFaster(now, lowestLatency, chosen.expectedSeconds(now, lowestLatency)) {
		return nil
	}
	return chosen
}

// cheapestAvailable returns the available upstream with the lowest cost that is
// not in avoid, or nil. Ties are broken at random.
func (d *Dispatcher) cheapestAvailable(now time.Time, lowestLatency float64, avoid []string) *upstreamState {
	var chosen *upstreamState
	lowest := math.Inf(1)
	ties := 0
	for _, u := range d.upstreams.states {
		if !u.available(now) || slices.Contains(avoid, u.host.Name) {
			continue
		}
		cost := u.cost(now, lowestLatency)
		switch {
		case cost < lowest:
			chosen, lowest, ties = u, cost, 1
		case cost == lowest:
			ties++
			if d.rng.Intn(ties) == 0 {
				chosen = u
			}
		}
	}
	return chosen
}

// waitingIsFaster reports whether waiting for one of the busy faster upstreams is
// expected to finish sooner than using the candidate, an available upstream that
// takes candidateSeconds. All queued tickets wait for the faster ones, so the
// longer the queue, the slower an upstream may be and still be worth using.
func (d *Dispatcher) waitingIsFaster(now time.Time, lowestLatency, candidateSeconds float64) bool {
	rate, totalSeconds, inFlight := 0.0, 0.0, 0
	for _, u := range d.upstreams.states {
		n := len(u.inFlight)
		if n == 0 || u.samples == 0 || !u.usable() || now.Before(u.blockedUntil) {
			continue
		}
		expected := u.expectedSeconds(now, lowestLatency)
		if expected >= candidateSeconds {
			continue
		}
		rate += float64(n) / max(expected, minLatencySeconds)
		totalSeconds += expected * float64(n)
		inFlight += n
	}
	if inFlight == 0 {
		return false
	}
	wait := float64(d.queue.length) / rate
	return wait+totalSeconds/float64(inFlight) < candidateSeconds
}
